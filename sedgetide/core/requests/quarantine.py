"""Quarantine of requests that crash every upstream that runs them.

This guards against a caller that repeats a request which crashes its
upstream. Each crash (a loss) also fails the other requests of the upstream
and leaves its keys without an owner for seconds, and the next owner of the
key crashes the same way.

A loss is blamed on all requests that the upstream was running, except those
that have succeeded since; the more there were, the lower the share of each.
After its first loss a request runs one copy at a time, and after its second
no other such request runs beside it (see trials.py), so that the third loss
is conclusive. A request that is blamed for three or more losses is refused
for a period, its stay. After the stay, one run is allowed as a trial: if it
succeeds the request is cleared; if the upstream crashes again, the next stay
is twice as long.

Times are local monotonic times. The copies of several hosts converge by
:meth:`Quarantine.merge` even if messages are lost: losses and clearances are
only ever added, and a clearance overrides older losses.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName

# With two slots per upstream, an innocent request runs beside a crashing one
# once or twice by chance; each further loss costs another upstream.
_MIN_LOSSES = 3
# Required sum of the blame shares, if the request was not the only strong
# suspect of any loss. A request that was alone in each loss is quarantined
# after three losses, beside one other after four, and beside more after five.
# That is two sends beyond the third; operators accept three.
_MIN_BLAME = 2.0
_MIN_BLAME_SHARE = 0.4
# From this number of losses on, the host does not retry a request itself. The
# caller may, which leaves time for reports from other hosts to arrive.
_LOSSES_WITHOUT_RETRY = 2
# Seconds; a caller that retries does so within minutes.
_LOSS_RETENTION = 600.0
# Seconds. Polling callers retry every few seconds: a crashing request then
# costs one upstream in five minutes, and a request quarantined by mistake is
# served again after an acceptable time.
_FIRST_STAY = 300.0
_MAX_STAY = 3600.0
# Enough to reach the longest stay.
_MAX_DOUBLINGS = 4
# Seconds after the end of a stay for which it still lengthens the next one.
_STAY_RETENTION = 3600.0
# A loss involves at most the requests that an upstream runs and queues. With
# these limits a full report is under 200 KB; a typical one is a few hundred
# bytes.
_MAX_LOSSES = 128
_MAX_SUSPECTS_PER_LOSS = 32
_MAX_CLEARANCES = 512
# More stays than this, including those of the last hour, indicate a release
# that crashes on every request. Refusing the requests of its callers would
# continue after its rollback.
_MAX_STAYS = 64


class Loss(msgspec.Struct, array_like=True):
    """An upstream that crashed, and its requests that are not cleared.

    Parameters
    ----------
    upstream : IncarnationName
        Incarnation that crashed.
    at : float
        Time of the crash; in a report, its age in seconds.
    suspects : set of Fingerprint
        Requests that it was running.
    alone : set of Fingerprint
        Suspects that ran while no other strong suspect did.
    """

    upstream: IncarnationName
    at: float
    suspects: set[Fingerprint]
    alone: set[Fingerprint] = msgspec.field(default_factory=set)


class Stay(msgspec.Struct, array_like=True, frozen=True):
    """A quarantine period, during which a request is refused.

    Parameters
    ----------
    fingerprint : Fingerprint
        Request that is refused.
    at : float
        Start of the period; in a report, its age in seconds.
    number : int
        One for the first stay; one higher after each failed trial.
    """

    fingerprint: Fingerprint
    at: float
    number: int

    @property
    def seconds(self) -> float:
        """Length of the stay in seconds."""
        doublings = min(_MAX_DOUBLINGS, max(0, self.number - 1))
        return min(_MAX_STAY, _FIRST_STAY * 2**doublings)

    @property
    def until(self) -> float:
        """Time at which the stay ends."""
        return self.at + self.seconds


class Clearance(msgspec.Struct, array_like=True, frozen=True):
    """Records that a request succeeded or was released by an operator.

    Parameters
    ----------
    fingerprint : Fingerprint
        Request that is cleared.
    at : float
        Time of the clearance; in a report, its age in seconds.
    """

    fingerprint: Fingerprint
    at: float


class QuarantineReport(msgspec.Struct, array_like=True):
    """Quarantine state of one host, with ages instead of times."""

    losses: list[Loss] = []
    stays: list[Stay] = []
    clearances: list[Clearance] = []


class RecordedStay(msgspec.Struct, frozen=True):
    """A stay as recorded in the store.

    Parameters
    ----------
    fingerprint : Fingerprint
        Request that is refused.
    number : int
        One for the first stay; one higher after each failed trial.
    left : float
        Seconds that remained when the record was written.
    """

    fingerprint: Fingerprint
    number: int
    left: float


class RecordedLoss(msgspec.Struct, frozen=True):
    """A loss as recorded in the store.

    Parameters
    ----------
    upstream : IncarnationName
        Incarnation that crashed.
    age : float
        Age of the loss in seconds when the record was written.
    suspects, alone : frozenset of Fingerprint
        As in :class:`Loss`.
    """

    upstream: IncarnationName
    age: float
    suspects: frozenset[Fingerprint]
    alone: frozenset[Fingerprint] = frozenset()


class QuarantineRecord(msgspec.Struct, frozen=True):
    """Stays and losses with suspects, as written by the leader."""

    stays: Annotated[
        tuple[RecordedStay, ...], msgspec.Meta(max_length=4 * _MAX_STAYS)
    ] = ()
    losses: Annotated[
        tuple[RecordedLoss, ...], msgspec.Meta(max_length=4 * _MAX_LOSSES)
    ] = ()

    def covers(self, other: "QuarantineRecord") -> bool:
        """Return whether this record contains all of another one."""
        stays, losses = _list_content(self)
        other_stays, other_losses = _list_content(other)
        return other_stays <= stays and other_losses <= losses

    def has_same_content(self, other: "QuarantineRecord") -> bool:
        """Return whether both records are equal apart from their times."""
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
    """Losses, stays and clearances of requests known to one host."""

    def __init__(self) -> None:
        # Includes losses without suspects, which may be reported again.
        self._losses: dict[IncarnationName, Loss] = {}
        self._stays: dict[Fingerprint, Stay] = {}
        self._cleared: dict[Fingerprint, float] = {}
        self._suspects: set[Fingerprint] = set()
        self._version: int | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is suspected or refused."""
        return not self._suspects and not self._stays

    def find_stay_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the remaining seconds for which a request is refused."""
        stay = self._stays.get(fingerprint)
        return 0.0 if stay is None else max(0.0, stay.until - now)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether upstreams have crashed while running a request.

        A request with a stay remains a suspect, because its losses may expire
        before the stay ends.
        """
        return fingerprint in self._suspects or fingerprint in self._stays

    def is_strong_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether one more loss may quarantine a request."""
        if fingerprint in self._stays:
            return True
        return self._count_losses(fingerprint) >= _MIN_LOSSES - 1

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether a host may retry a request by itself."""
        if fingerprint not in self._suspects:
            return True
        return self._count_losses(fingerprint) < _LOSSES_WITHOUT_RETRY

    def list_stays(self, now: float) -> list[Stay]:
        """Return the active stays, ordered by fingerprint."""
        stays = [each for each in self._stays.values() if each.until > now]
        return sorted(stays, key=lambda each: each.fingerprint)

    @property
    def version(self) -> int:
        """Hash of the contents; zero when empty.

        Times are excluded, because they differ between the clocks of hosts.
        """
        if self._version is None:
            self._version = self._compute_version()
        return self._version

    def _compute_version(self) -> int:
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

    # Local observations

    def note_loss(
        self,
        upstream: IncarnationName,
        suspects: Iterable[Fingerprint],
        at: float,
        now: float,
        alone: Iterable[Fingerprint] = (),
    ) -> bool:
        """Record that an upstream crashed; return whether that was new.

        Parameters
        ----------
        upstream : IncarnationName
            Incarnation that crashed.
        suspects : iterable of Fingerprint
            Requests that it was running.
        at, now : float
            Time of the crash, and current monotonic time, in seconds.
        alone : iterable of Fingerprint
            Suspects that ran while no other strong suspect did.
        """
        if now - at > _LOSS_RETENTION:
            return False
        known = self._get_or_add_loss(upstream, at)
        blamed = self._exclude_cleared(suspects, known.at)
        room = _MAX_SUSPECTS_PER_LOSS - len(known.suspects)
        new_suspects = sorted(blamed - known.suspects)[:room]
        known.suspects.update(new_suspects)
        self._suspects.update(new_suspects)
        newly_alone = known.suspects.intersection(alone) - known.alone
        known.alone.update(newly_alone)
        for each in newly_alone.union(new_suspects):
            self._update_stay(each, now)
        self._version = None
        return bool(new_suspects or newly_alone)

    def note_end(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record that a run succeeded; return whether that changed anything.

        A request that crashes every upstream never succeeds, so one complete
        answer clears it of all earlier losses.
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
        while len(self._cleared) > _MAX_CLEARANCES:
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
        self._rebuild_suspects()
        for each in beside:
            # The remaining suspects now share its part of the blame.
            self._update_stay(each, now)

    def expire(self, now: float) -> None:
        """Remove expired entries."""
        before = len(self._losses), len(self._stays), len(self._cleared)
        self._losses = {
            each.upstream: each
            for each in self._losses.values()
            if now - each.at <= _LOSS_RETENTION
        }
        self._stays = {
            each.fingerprint: each
            for each in self._stays.values()
            if now - each.until <= _STAY_RETENTION
        }
        self._cleared = {
            fingerprint: at
            for fingerprint, at in self._cleared.items()
            if now - at <= _STAY_RETENTION
        }
        after = len(self._losses), len(self._stays), len(self._cleared)
        if after != before:
            self._version = None
            self._rebuild_suspects()

    def _rebuild_suspects(self) -> None:
        self._suspects = {
            suspect
            for loss in self._losses.values()
            for suspect in loss.suspects
        }

    # Decisions

    def _update_stay(self, fingerprint: Fingerprint, now: float) -> None:
        former = self._stays.get(fingerprint)
        if former is not None:
            if self._has_failed_trial(former):
                stay = Stay(fingerprint, now, former.number + 1)
                self._stays[fingerprint] = stay
            return
        if self._count_losses(fingerprint) < _MIN_LOSSES:
            return
        sure = self._sum_blame(fingerprint) >= _MIN_BLAME
        if sure or self._ran_alone(fingerprint):
            self._add_stay(Stay(fingerprint, now, 1))

    def _ran_alone(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request was the only strong suspect of a loss.

        The other suspects of that loss did not have two earlier losses.
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

    def _sum_blame(self, fingerprint: Fingerprint) -> float:
        return sum(
            max(_MIN_BLAME_SHARE, 1 / len(each.suspects))
            for each in self._losses.values()
            if fingerprint in each.suspects
        )

    def _add_stay(self, stay: Stay) -> None:
        known = stay.fingerprint in self._stays
        if known or len(self._stays) < _MAX_STAYS:
            self._stays[stay.fingerprint] = stay

    def _get_or_add_loss(self, upstream: IncarnationName, at: float) -> Loss:
        """Return the loss of an incarnation, adding it if necessary.

        Hosts observe a loss and hear of it at different times, but each
        incarnation ends only once. A report delayed by a frozen host or a
        network partition makes the loss appear younger than it is, so the
        earliest time is kept.
        """
        known = self._losses.get(upstream)
        if known is None:
            known = self._losses[upstream] = Loss(upstream, at, set())
            if len(self._losses) > _MAX_LOSSES:
                del self._losses[next(iter(self._losses))]
                self._rebuild_suspects()
        if at < known.at:
            known.at = at
            known.suspects = self._exclude_cleared(known.suspects, at)
            known.alone &= known.suspects
            self._rebuild_suspects()
        return known

    def _exclude_cleared(
        self, suspects: Iterable[Fingerprint], at: float
    ) -> set[Fingerprint]:
        """Return the suspects that have not been cleared since a time."""
        return {
            each
            for each in suspects
            if self._cleared.get(each, float("-inf")) < at
        }

    # Replication between hosts

    def report(self, now: float) -> QuarantineReport:
        """Return the complete state for another host."""
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
        """Merge the report of another host; return whether it was new."""
        before = self.version
        for clearance in report.clearances:
            at = now - clearance.at
            if clearance.at > _STAY_RETENTION:
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
        """Return the record to write to the store."""
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

    def merge_record(self, record: QuarantineRecord, now: float) -> None:
        """Merge the record of the store, after a start or from a leader.

        Hosts have no common clock, so the remaining time of a stay counts
        from now. Hosts with more accurate times correct it.
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
        if stay.at <= cleared_at or now - stay.until > _STAY_RETENTION:
            return
        known = self._stays.get(stay.fingerprint)
        if known is None or stay.number > known.number:
            self._add_stay(stay)
        elif stay.number == known.number and stay.at < known.at:
            # A host that has read the stay from the store counts from then.
            # The earlier time of other hosts is accurate, so that a restart
            # never makes a stay longer.
            self._stays[stay.fingerprint] = stay
