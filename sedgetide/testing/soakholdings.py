"""Check that no two upstreams of a soak hold the same keys.

Upstreams record each grant that they apply and each release, and the harness
records the end of each process. Grants and renewals that were held up on
their way, or applied late, are not counted: an upstream may apply them after
the leader has waited for the end of their hold, and it is not the leader that
could prevent it. Those are the grants that

- the upstream applied after it had held up their call, and
- an upstream applied within 300 ms after their sender, or the upstream, was
  resumed, or after a path over which they may have come was healed.
"""

import collections
from collections.abc import Sequence

import msgspec

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import EXITED
from sedgetide.testing.rangeupstream import GRANTED
from sedgetide.testing.rangeupstream import RELEASED

# Seconds for which two upstreams may hold the same key.
MAX_SHARED = 0.5
# Seconds after a heal in which data that was held up is delivered.
DELIVERED_WITHIN = 0.3


class Heal(msgspec.Struct, frozen=True):
    """End of a fault that held up orders.

    Parameters
    ----------
    at : float
        Time of the machine's monotonic clock.
    upstream : str
        Prefix of the names of the upstreams whose orders were held up; all
        upstreams when empty.
    """

    at: float
    upstream: str = ""


class Holding(msgspec.Struct):
    """Time for which one incarnation of an upstream held keys.

    Parameters
    ----------
    upstream : str
        Id of the incarnation.
    low, high : int
        First and last key.
    since, until : float
        Time from the grant to its expiry, release or the process's end.
        Renewals continue a holding.
    """

    upstream: str
    low: int
    high: int
    since: float
    until: float


def list_counted_grants(
    events: Sequence[Event], heals: Sequence[Heal]
) -> list[Event]:
    """Return the grants that were neither held up nor applied late."""
    return [
        event
        for event in events
        if event.kind == GRANTED
        and not event.late
        and not any(
            0.0 <= event.at - heal.at <= DELIVERED_WITHIN
            and event.upstream.startswith(heal.upstream)
            for heal in heals
        )
    ]


def _list_bounds(events: Sequence[Event]) -> list[tuple[int, int]]:
    """Return the largest ranges that no order splits."""
    starts = {each.keys.low for each in events if each.keys is not None}
    starts |= {each.keys.high + 1 for each in events if each.keys is not None}
    ordered = sorted(starts)
    return [
        (low, following - 1)
        for low, following in zip(ordered, ordered[1:], strict=False)
    ]


class _RangeHistory:
    """Holdings of one range that no order splits, in the order of events."""

    def __init__(self, low: int, high: int) -> None:
        self._low = low
        self._high = high
        self._current: dict[str, Holding] = {}
        self._fences: dict[str, int] = {}
        self.holdings: list[Holding] = []
        self.problems: list[str] = []

    def _is_affected(self, event: Event) -> bool:
        return event.keys is None or (
            event.keys.low <= self._low and self._high <= event.keys.high
        )

    def apply(self, event: Event) -> None:
        """Apply a grant, a release, or the end of a process."""
        if not self._is_affected(event):
            return
        current = self._current.get(event.upstream)
        is_held = current is not None and event.at < current.until
        if event.kind == GRANTED:
            self._grant(event, current if is_held else None)
        elif is_held:
            current.until = event.at

    def _grant(self, event: Event, current: Holding | None) -> None:
        is_renewed = self._fences.get(event.upstream) == event.fence
        if current is None or not is_renewed:
            self._check_fence(event)
        self._fences[event.upstream] = event.fence
        if current is None:
            current = Holding(
                event.upstream, self._low, self._high, event.at, event.until
            )
            self._current[event.upstream] = current
            self.holdings.append(current)
        current.until = max(event.at, event.until)

    def _check_fence(self, event: Event) -> None:
        for name, fence in self._fences.items():
            if name != event.upstream and fence >= event.fence:
                self.problems.append(
                    f"keys {self._low} to {self._high}: {event.upstream} took "
                    f"them at fence {event.fence}, and {name} had them at "
                    f"{fence}"
                )


class _Shared(msgspec.Struct, frozen=True):
    """Time for which two upstreams held the same keys."""

    upstreams: tuple[str, str]
    low: int
    high: int
    since: float
    until: float


def _list_shared(holdings: Sequence[Holding]) -> list[_Shared]:
    """Return the times in which two upstreams held the same range."""
    ordered = sorted(holdings, key=lambda each: each.since)
    shared = []
    for number, first in enumerate(ordered):
        for second in ordered[number + 1 :]:
            until = min(first.until, second.until)
            if second.upstream != first.upstream and second.since < until:
                shared.append(
                    _Shared(
                        (first.upstream, second.upstream),
                        first.low,
                        first.high,
                        second.since,
                        until,
                    )
                )
    return shared


def _describe(pair: tuple[str, str], shared: Sequence[_Shared]) -> str:
    count = sum(
        high - low + 1 for low, high in {(s.low, s.high) for s in shared}
    )
    longest = max(shared, key=lambda each: each.until - each.since)
    return (
        f"{pair[0]} and {pair[1]} both held {count} keys from {longest.low} "
        f"on, for {longest.until - longest.since:.2f} s from "
        f"{longest.since:.2f}"
    )


def _find_both_at_work(
    shared: Sequence[_Shared], events: Sequence[Event]
) -> list[str]:
    """Return the keys on which both holders began requests meanwhile."""
    begins = [each for each in events if each.kind == "begin"]
    problems = []
    for each in shared:
        seen: dict[int, set[str]] = collections.defaultdict(set)
        for event in begins:
            if (
                each.low <= event.key <= each.high
                and each.since <= event.at < each.until
                and event.upstream in each.upstreams
            ):
                seen[event.key].add(event.upstream)
        problems += [
            f"key {key}: {' and '.join(each.upstreams)} both began requests "
            f"between {each.since:.2f} and {each.until:.2f}"
            for key, names in sorted(seen.items())
            if len(names) > 1
        ]
    return problems


def _replay(
    events: Sequence[Event], heals: Sequence[Heal]
) -> list[_RangeHistory]:
    """Return the histories of all ranges."""
    counted = list_counted_grants(events, heals)
    orders = sorted(
        [*counted, *(e for e in events if e.kind in (RELEASED, EXITED))],
        key=lambda event: event.at,
    )
    histories = [_RangeHistory(*each) for each in _list_bounds(orders)]
    for history in histories:
        for event in orders:
            history.apply(event)
    return histories


def list_holdings(
    events: Sequence[Event], heals: Sequence[Heal] = ()
) -> list[Holding]:
    """Return what each upstream held and for which time."""
    return [
        each for history in _replay(events, heals) for each in history.holdings
    ]


def find_holding_violations(
    events: Sequence[Event], heals: Sequence[Heal], ended: float
) -> list[str]:
    """Return violations of the rule that one upstream holds a key.

    Parameters
    ----------
    events : sequence of Event
        Events of all upstreams, with the ends of processes.
    heals : sequence of Heal
        Ends of faults that held up orders.
    ended : float
        Time at which the record ends.

    Returns
    -------
    list of str
        Pairs of upstreams that are up and hold the same keys for over half
        a second, keys on which two upstreams begin requests while both hold
        them, and keys that are taken at a fence that is not above all with
        which other upstreams had them.
    """
    problems = []
    pairs: dict[tuple[str, str], list[_Shared]] = collections.defaultdict(list)
    for history in _replay(events, heals):
        for each in history.holdings:
            each.until = min(each.until, ended)
        problems += history.problems
        shared = _list_shared(history.holdings)
        problems += _find_both_at_work(shared, events)
        for each in shared:
            if each.until - each.since > MAX_SHARED:
                pairs[each.upstreams].append(each)
    return [_describe(*each) for each in pairs.items()] + problems
