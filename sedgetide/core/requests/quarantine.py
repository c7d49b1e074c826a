"""Requests that end every upstream that runs them, and are run no more.

The load that this answers: a caller repeats a request that crashes whoever
runs it. Each loss takes an upstream's other requests with it and leaves its
keys dark for seconds, and the next owner of the key is lost the same way.

A loss is blamed on all that the upstream had and that has not ended well
since; the more there were, the less it says of each. From the first one on a
request runs one copy at a time, and after the second no other such request
runs beside it (see trials.py), so that the third says enough. A request that
three losses or more speak against is refused for a time. After it, one run
is a trial: if it ends well the request is cleared, if it ends its upstream
the next time is twice as long.

Times are those of the own clock. Copies on several hosts become alike by
:meth:`Quarantine.merge`, whatever was lost on the way: losses and clearances
are only ever added, and a clearance goes before older losses.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName

# With two slots an upstream an innocent request is beside a deadly one once or
# twice by chance; each loss more costs an upstream.
_LEAST_LOSSES = 3
# Sum of what the losses say, where none of them was a run without other
# suspects. Alone in each, a request is held after three losses, beside one
# other in each after four, beside more after five: two sends more than three,
# where an operator bears three.
_LEAST_BLAME = 2.0
_LEAST_SHARE = 0.4
# From here on the host does not send a request again by itself: its caller
# may, which leaves time for a word from other hosts.
_LOSSES_WITHOUT_RETRY = 2
# Seconds; a caller that comes again comes within minutes.
_REMEMBERED = 600.0
# Seconds. Callers who poll come each few seconds: a deadly request then costs
# one upstream in five minutes, and one that is held wrongly is served again
# after a time that people bear.
_FIRST_STAY = 300.0
_LONGEST_STAY = 3600.0
# Enough for the longest stay.
_MOST_DOUBLINGS = 4
# Seconds after its end for which a stay counts towards the next.
_STAY_REMEMBERED = 3600.0
# A loss blames at most what an upstream works on and queues. With these a
# report of all is under 200 KB, and an ordinary one some hundred bytes.
_MOST_LOSSES = 128
_MOST_SUSPECTS = 32
_MOST_CLEARED = 512
# More than these, with those of the last hour, are no requests to blame but a
# release that crashes on everything; refusing its callers' repeats would
# outlast its rollback.
_MOST_STAYS = 64


class Loss(msgspec.Struct, array_like=True):
    """An upstream that ended, and what it had that is not cleared.

    Parameters
    ----------
    upstream : IncarnationName
        Which start of which upstream.
    at : float
        When. In a report: seconds before it.
    suspects : set of Fingerprint
        Requests that it had.
    alone : set of Fingerprint
        Those of them that ran while no other grave suspect did.
    """

    upstream: IncarnationName
    at: float
    suspects: set[Fingerprint]
    alone: set[Fingerprint] = msgspec.field(default_factory=set)


class Stay(msgspec.Struct, array_like=True, frozen=True):
    """A time for which a request is refused.

    Parameters
    ----------
    fingerprint : Fingerprint
        Which request.
    at : float
        When it began. In a report: seconds before it.
    number : int
        One for the first, two for the one after a failed trial.
    """

    fingerprint: Fingerprint
    at: float
    number: int

    @property
    def seconds(self) -> float:
        """Length of the stay."""
        doublings = min(_MOST_DOUBLINGS, max(0, self.number - 1))
        return min(_LONGEST_STAY, _FIRST_STAY * 2**doublings)

    @property
    def until(self) -> float:
        """When it ends."""
        return self.at + self.seconds


class Clearance(msgspec.Struct, array_like=True, frozen=True):
    """Word that a request has ended well, or that an operator lets it go.

    Parameters
    ----------
    fingerprint : Fingerprint
        Which request.
    at : float
        When. In a report: seconds before it.
    """

    fingerprint: Fingerprint
    at: float


class QuarantineReport(msgspec.Struct, array_like=True):
    """All that one host knows, with ages in place of times."""

    losses: list[Loss] = []
    stays: list[Stay] = []
    clearances: list[Clearance] = []


class RecordedStay(msgspec.Struct, frozen=True):
    """A stay as it lies in the store.

    Parameters
    ----------
    fingerprint : Fingerprint
        Which request.
    number : int
        One for the first, more for those after failed trials.
    left : float
        Seconds that were left of it when it was written.
    """

    fingerprint: Fingerprint
    number: int
    left: float


class RecordedLoss(msgspec.Struct, frozen=True):
    """An upstream that ended, as it lies in the store.

    Parameters
    ----------
    upstream : IncarnationName
        Which start of which upstream.
    age : float
        Seconds since its end when it was written.
    suspects, alone : frozenset of Fingerprint
        As in :class:`Loss`.
    """

    upstream: IncarnationName
    age: float
    suspects: frozenset[Fingerprint]
    alone: frozenset[Fingerprint] = frozenset()


class QuarantineRecord(msgspec.Struct, frozen=True):
    """What the leader wrote down: stays, and losses that blame somebody."""

    stays: tuple[RecordedStay, ...] = ()
    losses: tuple[RecordedLoss, ...] = ()

    def covers(self, other: "QuarantineRecord") -> bool:
        """Tell whether nothing of another record is missing here."""
        stays, losses = _list_content(self)
        other_stays, other_losses = _list_content(other)
        return other_stays <= stays and other_losses <= losses

    def has_same_content(self, other: "QuarantineRecord") -> bool:
        """Tell whether both say the same, whenever they were written."""
        return _list_content(self) == _list_content(other)


def _list_content(record: QuarantineRecord) -> tuple[set, set]:
    stays = {(each.fingerprint, each.number) for each in record.stays}
    losses = {
        (each.upstream, fingerprint, fingerprint in each.alone)
        for each in record.losses
        for fingerprint in each.suspects
    }
    return stays, losses


class Quarantine:
    """What is known of requests under which upstreams ended."""

    def __init__(self) -> None:
        # Also those that blame nobody any more: word of them may come again.
        self._losses: dict[IncarnationName, Loss] = {}
        self._stays: dict[Fingerprint, Stay] = {}
        self._cleared: dict[Fingerprint, float] = {}
        self._suspects: set[Fingerprint] = set()
        self._version: int | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is known against any request."""
        return not self._suspects and not self._stays

    def find_stay_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how many seconds a request is refused still."""
        stay = self._stays.get(fingerprint)
        return 0.0 if stay is None else max(0.0, stay.until - now)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether upstreams have ended under a request.

        Also after a stay, whose losses may be forgotten before it ends.
        """
        return fingerprint in self._suspects or fingerprint in self._stays

    def is_strong_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether one more loss may decide about a request."""
        if fingerprint in self._stays:
            return True
        return self._count_losses(fingerprint) >= _LEAST_LOSSES - 1

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a host may send a request again by itself."""
        if fingerprint not in self._suspects:
            return True
        return self._count_losses(fingerprint) < _LOSSES_WITHOUT_RETRY

    def list_stays(self, now: float) -> list[Stay]:
        """Return the stays that go on, in the order of fingerprints."""
        stays = [each for each in self._stays.values() if each.until > now]
        return sorted(stays, key=lambda each: each.fingerprint)

    @property
    def version(self) -> int:
        """Number that equal contents have in common; zero for none.

        Without times: each host reads them off its own clock.
        """
        if self._version is None:
            self._version = self._find_version()
        return self._version

    def _find_version(self) -> int:
        losses = [
            (each.upstream, sorted(each.suspects), sorted(each.alone))
            for each in self._losses.values()
            if each.suspects
        ]
        stays = [
            (each.fingerprint, each.number) for each in self._stays.values()
        ]
        content = (sorted(losses), sorted(stays), sorted(self._cleared))
        if not any(content):
            return 0
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(content)) or 1

    # What is seen

    def note_loss(
        self,
        upstream: IncarnationName,
        suspects: Iterable[Fingerprint],
        at: float,
        now: float,
        alone: Iterable[Fingerprint] = (),
    ) -> bool:
        """Take in that an upstream ended; return whether that was news.

        Parameters
        ----------
        upstream : IncarnationName
            Which start of which upstream.
        suspects : iterable of Fingerprint
            Requests that it had then.
        at, now : float
            When it ended, and the present time.
        alone : iterable of Fingerprint
            Those of them that ran while no other grave suspect did.
        """
        if now - at > _REMEMBERED:
            return False
        known = self._find_loss(upstream, at)
        blamed = self._list_blamed(suspects, known.at)
        room = _MOST_SUSPECTS - len(known.suspects)
        news = sorted(blamed - known.suspects)[:room]
        known.suspects.update(news)
        self._suspects.update(news)
        told = known.suspects.intersection(alone) - known.alone
        known.alone.update(told)
        for each in told.union(news):
            self._judge(each, now)
        self._version = None
        return bool(news or told)

    def note_end(self, fingerprint: Fingerprint, now: float) -> bool:
        """Take in that a run has ended well; return whether that was news.

        A request that ends each upstream that runs it never ends well, so
        one whole answer clears it of all before.
        """
        if fingerprint not in self._suspects and (
            fingerprint not in self._stays
        ):
            return False
        self._clear(fingerprint, now, now)
        self._version = None
        return True

    def _clear(self, fingerprint: Fingerprint, at: float, now: float) -> None:
        self._cleared[fingerprint] = at
        while len(self._cleared) > _MOST_CLEARED:
            del self._cleared[min(self._cleared, key=self._cleared.get)]
        stay = self._stays.get(fingerprint)
        if stay is not None and stay.at <= at:
            del self._stays[fingerprint]
        beside: set[Fingerprint] = set()
        for loss in self._losses.values():
            if loss.at <= at and fingerprint in loss.suspects:
                loss.suspects.discard(fingerprint)
                loss.alone.discard(fingerprint)
                beside |= loss.suspects
        self._note_suspects()
        for each in beside:
            # Its share of the blame is theirs now.
            self._judge(each, now)

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        before = len(self._losses), len(self._stays), len(self._cleared)
        self._losses = {
            each.upstream: each
            for each in self._losses.values()
            if now - each.at <= _REMEMBERED
        }
        self._stays = {
            each.fingerprint: each
            for each in self._stays.values()
            if now - each.until <= _STAY_REMEMBERED
        }
        self._cleared = {
            fingerprint: at
            for fingerprint, at in self._cleared.items()
            if now - at <= _STAY_REMEMBERED
        }
        after = len(self._losses), len(self._stays), len(self._cleared)
        if after != before:
            self._version = None
            self._note_suspects()

    def _note_suspects(self) -> None:
        self._suspects = {
            suspect
            for loss in self._losses.values()
            for suspect in loss.suspects
        }

    # What follows

    def _judge(self, fingerprint: Fingerprint, now: float) -> None:
        former = self._stays.get(fingerprint)
        if former is not None:
            if self._has_failed_trial(former):
                stay = Stay(fingerprint, now, former.number + 1)
                self._stays[fingerprint] = stay
            return
        if self._count_losses(fingerprint) < _LEAST_LOSSES:
            return
        sure = self._find_blame(fingerprint) >= _LEAST_BLAME
        if sure or self._ran_alone(fingerprint):
            self._add_stay(Stay(fingerprint, now, 1))

    def _ran_alone(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a loss blames a request more than all beside it.

        They had not been at two lost upstreams before, and it had.
        """
        return any(fingerprint in each.alone for each in self._losses.values())

    def _has_failed_trial(self, former: Stay) -> bool:
        return any(
            former.fingerprint in loss.suspects and loss.at >= former.until
            for loss in self._losses.values()
        )

    def _count_losses(self, fingerprint: Fingerprint) -> int:
        return sum(
            1 for each in self._losses.values() if fingerprint in each.suspects
        )

    def _find_blame(self, fingerprint: Fingerprint) -> float:
        return sum(
            max(_LEAST_SHARE, 1 / len(each.suspects))
            for each in self._losses.values()
            if fingerprint in each.suspects
        )

    def _add_stay(self, stay: Stay) -> None:
        known = stay.fingerprint in self._stays
        if known or len(self._stays) < _MOST_STAYS:
            self._stays[stay.fingerprint] = stay

    def _find_loss(self, upstream: IncarnationName, at: float) -> Loss:
        """Return a loss, which hosts see and hear of at different times.

        Each start of an upstream ends once. A word of it that was held up,
        in a frozen host or by a cut, seems younger than it is; the earliest
        is right.
        """
        known = self._losses.get(upstream)
        if known is None:
            known = self._losses[upstream] = Loss(upstream, at, set())
            if len(self._losses) > _MOST_LOSSES:
                del self._losses[next(iter(self._losses))]
                self._note_suspects()
        if at < known.at:
            known.at = at
            known.suspects = self._list_blamed(known.suspects, at)
            known.alone &= known.suspects
            self._note_suspects()
        return known

    def _list_blamed(
        self, suspects: Iterable[Fingerprint], at: float
    ) -> set[Fingerprint]:
        """Return those that have not been cleared since a time."""
        return {
            each
            for each in suspects
            if self._cleared.get(each, float("-inf")) < at
        }

    # Copies on other hosts

    def report(self, now: float) -> QuarantineReport:
        """Return all that is known, for another host."""
        return QuarantineReport(
            [
                Loss(
                    each.upstream,
                    now - each.at,
                    set(each.suspects),
                    set(each.alone),
                )
                for each in self._losses.values()
            ],
            [
                Stay(each.fingerprint, now - each.at, each.number)
                for each in self._stays.values()
            ],
            [Clearance(each, now - at) for each, at in self._cleared.items()],
        )

    def merge(self, report: QuarantineReport, now: float) -> bool:
        """Take in another host's report; return whether it brought news."""
        before = self.version
        for clearance in report.clearances:
            at = now - clearance.at
            if clearance.at > _STAY_REMEMBERED:
                continue
            if at > self._cleared.get(clearance.fingerprint, float("-inf")):
                self._clear(clearance.fingerprint, at, now)
        for stay in report.stays:
            self._merge_stay(
                Stay(stay.fingerprint, now - stay.at, stay.number), now
            )
        for loss in report.losses:
            self.note_loss(
                loss.upstream, loss.suspects, now - loss.at, now, loss.alone
            )
        self._version = None
        return self.version != before

    def record(self, now: float) -> QuarantineRecord:
        """Return what the store should hold."""
        stays = tuple(
            RecordedStay(each.fingerprint, each.number, each.until - now)
            for each in self.list_stays(now)
        )
        losses = tuple(
            RecordedLoss(
                each.upstream,
                now - each.at,
                frozenset(each.suspects),
                frozenset(each.alone),
            )
            for each in self._losses.values()
            if each.suspects
        )
        return QuarantineRecord(stays, losses)

    def take_record(self, record: QuarantineRecord, now: float) -> None:
        """Take in what the store holds, after a start or from a leader.

        No clock is common to all hosts, so what was left counts from now;
        hosts that know better correct it.
        """
        for each in record.stays:
            stay = Stay(each.fingerprint, now, each.number)
            left = min(stay.seconds, max(0.0, each.left))
            began = now + left - stay.seconds
            self._merge_stay(Stay(each.fingerprint, began, each.number), now)
        for each in record.losses:
            age = max(0.0, each.age)
            self.note_loss(
                each.upstream, each.suspects, now - age, now, each.alone
            )
        self._version = None

    def _merge_stay(self, stay: Stay, now: float) -> None:
        cleared_at = self._cleared.get(stay.fingerprint, float("-inf"))
        if stay.at <= cleared_at or now - stay.until > _STAY_REMEMBERED:
            return
        known = self._stays.get(stay.fingerprint)
        if known is None or stay.number > known.number:
            self._add_stay(stay)
        elif stay.number == known.number and stay.at < known.at:
            # Whoever read it from the store at its start counts from then;
            # others know better, and no restart makes a stay longer.
            self._stays[stay.fingerprint] = stay
