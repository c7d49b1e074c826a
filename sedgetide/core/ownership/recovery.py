"""Conditions for the first grant after the store was restored from a backup.

The restored store has lost its last writes. Keys may have moved in that time
without any running host knowing of it, and a leader that granted them to the
owners it knows could create a second owner. Therefore the upstreams that may
hold keys of the service first release all of them, at a fence higher than
that of any earlier grant. Which upstreams these are, and which keys those may
hold that don't answer, is known only to the former leader, which reports its
holds. Without its report, keys are granted once all earlier grants have
expired. Each restoration begins a new era of the store.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import RetainedRange
from sedgetide.core.ownership.rangesets import merge_ranges

_ERA_BITS = 32
# Seconds from the first release to the decision without those that have not
# answered. An answer takes milliseconds, unless requests are still running.
ANSWER_TIME = 0.4


def find_first_fence(era: Era) -> Fence:
    """Return a fence that is higher than all fences of earlier eras.

    Fences are counted in the range table, so a restored older table would
    issue some of them again. The era in the high bits prevents this.
    """
    return Fence(era << _ERA_BITS)


class Basis(enum.Enum):
    """Why keys may be released and granted again, as in log lines.

    Attributes
    ----------
    REPORT
        The former leader has reported which keys may be held.
    FIRST_START
        No leader has granted keys in an earlier era.
    EXPIRED
        All grants of earlier eras have expired.
    """

    REPORT = "report"
    FIRST_START = "first-start"
    EXPIRED = "expired"


class Action(enum.Enum):
    """What the leader does next."""

    WAIT = "wait"
    ASK = "ask"
    GRANT = "grant"


class Decision(msgspec.Struct, frozen=True):
    """What the leader does next in the recovery of a service.

    Parameters
    ----------
    action : Action
        Whether to wait, to ask for releases, or to grant keys.
    basis : Basis or None
        Why; None while waiting.
    pending : frozenset of IncarnationName
        Upstreams to ask for the release of all keys, or upstreams that have
        not released theirs when keys are granted.
    retained : tuple of RetainedRange
        Ranges that may still be held when the others are granted. Disjoint,
        in ascending order.
    """

    action: Action
    basis: Basis | None = None
    pending: frozenset[IncarnationName] = frozenset()
    retained: tuple[RetainedRange, ...] = ()


WAIT = Decision(Action.WAIT)


class Recovery:
    """Decides when keys of one service may be granted in a new era.

    Parameters
    ----------
    settled_at : float
        Time at which all running upstreams are registered again, and hosts
        have reported what they know of the former era. Before it the
        upstreams to ask are not known.
    grants_expire_at : float
        Time at which all grants of earlier eras have expired.
    """

    def __init__(self, settled_at: float, grants_expire_at: float) -> None:
        self._settled_at = settled_at
        self._grants_expire_at = grants_expire_at
        self._released: set[IncarnationName] = set()
        self._asked_at: float | None = None

    def note_asked(self, now: float) -> None:
        """Record that pending upstreams are asked to release all keys."""
        if self._asked_at is None:
            self._asked_at = now

    def note_released(self, upstream: IncarnationName) -> None:
        """Record that an upstream has released all keys."""
        self._released.add(upstream)

    def list_released(self) -> Collection[IncarnationName]:
        """Return the upstreams that have released all keys."""
        return frozenset(self._released)

    def list_pending_releases(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> list[IncarnationName]:
        """Return the upstreams that still have to release their keys."""
        if not self._settled_at <= now < self._grants_expire_at:
            return []
        return [each for each in upstreams if each not in self._released]

    def is_over(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> bool:
        """Return whether keys may be granted again."""
        if now >= self._grants_expire_at:
            return True
        return now >= self._settled_at and self._released.issuperset(upstreams)

    def decide(
        self,
        upstreams: Collection[IncarnationName],
        report: ReportedHolds | None,
        first_start: bool,
        now: float,
    ) -> Decision:
        """Return what to do now.

        Parameters
        ----------
        upstreams : collection of IncarnationName
            Upstreams of the service that the leader knows.
        report : ReportedHolds or None
            Accepted report of the former leader.
        first_start : bool
            Whether no leader of an earlier era has ever been known.
        """
        decision = self._choose(upstreams, report, first_start, now)
        if decision.action is Action.WAIT:
            self._asked_at = None
        return decision

    def _choose(
        self,
        upstreams: Collection[IncarnationName],
        report: ReportedHolds | None,
        first_start: bool,
        now: float,
    ) -> Decision:
        if now >= self._grants_expire_at:
            return Decision(Action.GRANT, Basis.EXPIRED)
        if now < self._settled_at:
            return WAIT
        if report is not None:
            return self._choose_by_report(upstreams, report, now)
        if first_start:
            return self._choose_at_first_start(upstreams)
        return WAIT

    def _choose_by_report(
        self,
        upstreams: Collection[IncarnationName],
        report: ReportedHolds,
        now: float,
    ) -> Decision:
        held = [
            each
            for each in report.holds
            if each.until > now and each.upstream not in self._released
        ]
        retained = _list_retained(held)
        if now < report.inherited_until or _has_overlap(retained):
            return WAIT
        pending = self._list_pending(
            {*upstreams, *(each.upstream for each in held)}
        )
        if not pending:
            return Decision(Action.GRANT, Basis.REPORT)
        if self._asked_at is None or now < self._asked_at + ANSWER_TIME:
            return Decision(Action.ASK, Basis.REPORT, pending)
        return Decision(Action.GRANT, Basis.REPORT, pending, tuple(retained))

    def _choose_at_first_start(
        self, upstreams: Collection[IncarnationName]
    ) -> Decision:
        pending = self._list_pending(upstreams)
        action = Action.ASK if pending else Action.GRANT
        return Decision(action, Basis.FIRST_START, pending)

    def _list_pending(
        self, upstreams: Iterable[IncarnationName]
    ) -> frozenset[IncarnationName]:
        return frozenset(upstreams) - self._released


def _list_retained(holds: Iterable[UpstreamHold]) -> list[RetainedRange]:
    """Return the union of the keys that each upstream may hold."""
    ranges: dict[IncarnationName, list[KeyRange]] = {}
    for each in holds:
        ranges.setdefault(each.upstream, []).append(each.keys)
    retained = [
        RetainedRange(keys, upstream)
        for upstream, some in ranges.items()
        for keys in merge_ranges(some)
    ]
    return sorted(retained, key=lambda each: each.keys)


def _has_overlap(retained: Sequence[RetainedRange]) -> bool:
    """Return whether two upstreams may hold the same key.

    Parameters
    ----------
    retained : sequence of RetainedRange
        In ascending order; those of one upstream are disjoint.
    """
    return any(
        left.keys.overlaps(right.keys)
        for left, right in zip(retained, retained[1:], strict=False)
    )


class RecoveredTable(msgspec.Struct, frozen=True):
    """What the first table of an era is made from.

    Parameters
    ----------
    known : RangeTable
        Last known tenures, at the fence at which upstreams have released
        their keys, less one.
    silent : frozenset of IncarnationName
        Upstreams that have not released their keys.
    retained : tuple of RetainedRange
        Ranges that these may still hold.
    """

    known: RangeTable
    silent: frozenset[IncarnationName] = frozenset()
    retained: tuple[RetainedRange, ...] = ()

    def restart(
        self, owners: Sequence[tuple[IncarnationName, int]]
    ) -> RangeTable:
        """Return the first table of the era.

        Keys that a silent upstream can't hold go to others, if there are
        any. A release that a silent upstream reads late is of a lower fence
        than the table, so that it doesn't end a grant of this era.

        Parameters
        ----------
        owners : sequence of tuple
            Upstreams that may own keys and their weights, by name.

        Raises
        ------
        RuleError
            If ``owners`` is empty.
        """
        answering = [each for each in owners if each[0] not in self.silent]
        answering = answering or list(owners)
        fence = self.known.fence
        if self.silent:
            fence = Fence(fence + 1)
        table = self.known
        if not table.tenures:
            table = table.assign_first(answering)
        names = [name for name, _ in answering]
        return table.restart(fence, names, self.retained)
