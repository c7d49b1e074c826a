"""Which ranges should get another owner."""

import bisect
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.isolation import plan_isolation
from sedgetide.core.ownership.projected_load import EligibleUpstream
from sedgetide.core.ownership.projected_load import ProjectedLoad
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure

_LEAST_BOUND = 8
_MOVES_EACH = 0.4
# An upstream that owns nothing takes half of what one busy upstream has in one
# move, and half of the rest in the next.
_MOVES_TO_FILL = 2
# What one upstream is asked for in the memory of the load book varies by a
# fifth by chance alone; less than this is no reason to move anything.
_TOLERATED_DIFFERENCE = 0.25
_BUSY = 0.55
# Beyond it requests wait longer than they run.
_FULL = 0.85
_LEAST_SHARE = 0.25
_RANGES_EACH = 24
_RANGES_CROWDED = 7
_NARROW = 512
# Slots: 40 joined ranges are the work of one upstream.
_NEGLIGIBLE = 0.05


def max_concurrent_moves(eligible: int, empty: int = 0) -> int:
    """Return how many ranges may be on their way at a time.

    Each upstream gives or gets one in a round or two, however many there
    are: a bound that did not grow with them would leave a large service
    unbalanced for minutes. Those that own nothing are filled at once: they
    come back together when a cut data centre does, and until then the
    others are asked for more than they can do.

    Parameters
    ----------
    takers : int
        Number of upstreams that may own keys.
    empty : int
        Number of those that own none and get none.
    """
    usual = max(_LEAST_BOUND, math.ceil(_MOVES_EACH * eligible))
    return max(usual, _MOVES_TO_FILL * empty)


def count_empty(
    table: RangeTable, eligible: Collection[IncarnationName]
) -> int:
    """Return how many takers neither own a range nor are to get one."""
    holders = {each.successor or each.owner for each in table.tenures}
    return sum(1 for name in eligible if name not in holders)


def plan_evictions(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    evacuated: Collection[IncarnationName] = (),
) -> list[Move]:
    """Return moves of the ranges whose owner may not own any longer.

    Parameters
    ----------
    table : RangeTable
        Owners now.
    takers : mapping
        Upstreams that may own keys.
    rates : mapping
        Slots that each key keeps busy.
    evacuated : collection of IncarnationName
        Owners whose ranges leave at a pace of their own.
    """
    if not eligible:
        return []
    loads = ProjectedLoad(table.tenures, eligible, rates)
    moves = []
    for tenure in table.tenures:
        stays = tenure.owner in eligible or tenure.owner in evacuated
        if tenure.moving or stays:
            continue
        goal = loads.find_idlest()
        work = sum(
            rate
            for key, rate in rates.items()
            if tenure.low <= key <= tenure.high
        )
        loads.shift(work, None, goal)
        moves.append(Move(tenure.keys, goal))
    return moves


def plan_balance(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    most: int = _LEAST_BOUND,
) -> list[Move]:
    """Return moves from the busiest upstreams to the idlest.

    Busy keys lie close together, so a range is cut out of the busiest
    upstream's that holds about half of the difference. Narrow ranges are
    cheap to move: what counts is the share of all keys.
    """
    if len(eligible) < 2:
        return []
    if len(table.tenures) > _RANGES_EACH * len(eligible):
        return []
    loads = ProjectedLoad(table.tenures, eligible, rates)
    moves = plan_isolation(loads, most)
    sources = set(eligible).difference(loads.crowded)
    while sources and len(moves) < most:
        source = max(sources, key=lambda name: (loads.find_busy(name), name))
        goal = loads.find_idlest()
        if not _is_worth_a_move(loads, source, goal):
            break
        move = _plan_one(loads, source, goal)
        if move is None:
            sources.remove(source)
        else:
            moves.append(move)
    return moves


def _is_worth_a_move(
    loads: ProjectedLoad, source: IncarnationName, goal: IncarnationName
) -> bool:
    if loads.counts[goal] == 0:
        return True
    busy, idle = loads.find_busy(source), loads.find_busy(goal)
    tolerated = max(_TOLERATED_DIFFERENCE, 0.25 * busy)
    return busy >= _BUSY and busy - idle >= tolerated


def _plan_one(
    loads: ProjectedLoad, source: IncarnationName, goal: IncarnationName
) -> Move | None:
    gap = loads.find_busy(source) - loads.find_busy(goal)
    found = _cut_range(loads, source, _find_wanted(loads, source, goal, gap))
    if found is None:
        return None
    keys, work = found
    loads.shift(work, source, goal)
    loads.cuts[source].append(keys)
    return Move(keys, goal)


def _find_wanted(
    loads: ProjectedLoad,
    source: IncarnationName,
    goal: IncarnationName,
    gap: float,
) -> float:
    """Return the work that makes both upstreams equally busy.

    No more than the goal has room for: halves of what is far too much for
    one upstream are too much for two, and what is on its way can not be cut
    again before it has arrived. A run of keys that is the work of 40
    upstreams was spread in five rounds of 0.8 s by halves; so it takes two.
    """
    costs = {
        name: loads.eligible[name].slowness / loads.eligible[name].slots
        for name in (source, goal)
    }
    equal = gap / sum(costs.values())
    room = (_FULL - loads.find_busy(goal)) / costs[goal]
    return min(equal, room) if room > 0 else equal


def _cut_range(
    loads: ProjectedLoad, source: IncarnationName, wanted: float
) -> tuple[KeyRange, float] | None:
    best: tuple[KeyRange, float] | None = None
    for keys, work in _list_windows(loads, source, wanted):
        if best is None or work > best[1]:
            best = (keys, work)
    if best is None or best[1] < _LEAST_SHARE * wanted:
        return None
    return best


def _list_windows(
    loads: ProjectedLoad, source: IncarnationName, wanted: float
) -> Iterator[tuple[KeyRange, float]]:
    """Yield runs of busy keys that hold no more work than is wanted."""
    rates = loads.rates
    taken = loads.cuts[source]
    for tenure, keys in loads.keys[source]:
        start = 0
        work = 0.0
        for end, key in enumerate(keys):
            work += rates[key]
            if any(each.low <= key <= each.high for each in taken):
                # The range of an earlier move of this round lies between.
                start, work = end + 1, 0.0
                continue
            while work > wanted * 1.1 and start <= end:
                work -= rates[keys[start]]
                start += 1
            if start > end:
                continue
            first, last = start == 0, end == len(keys) - 1
            if first and last and len(tenure.keys) > _NARROW:
                yield KeyRange(keys[start], key), work
                continue
            # Nothing is left over at an end of the range: the pieces, each
            # renewed for itself, stay few.
            low = tenure.low if first else keys[start]
            high = tenure.high if last else key
            yield KeyRange(low, high), work


def plan_consolidation(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    most: int,
) -> list[Move]:
    """Return moves of narrow idle ranges to the owner of a neighbour.

    Yesterday's busy keys lie cut up among many owners. Joined again, they
    cost fewer renewals and leave room to cut today's.
    """
    if len(table.tenures) <= _RANGES_CROWDED * len(eligible):
        return []
    busy = sorted(rates)
    moves: list[Move] = []
    last_moved = False
    for left, tenure in zip(table.tenures, table.tenures[1:], strict=False):
        settled = not left.moving and not tenure.moving and not last_moved
        foreign = tenure.owner != left.owner and left.owner in eligible
        narrow = len(tenure.keys) <= _NARROW
        idle = _sum_work(tenure, busy, rates) <= _NEGLIGIBLE
        last_moved = settled and foreign and narrow and idle
        if last_moved:
            moves.append(Move(tenure.keys, left.owner))
        if len(moves) >= most:
            break
    return moves


def _sum_work(
    tenure: Tenure, busy: Sequence[Key], rates: Mapping[Key, float]
) -> float:
    first = bisect.bisect_left(busy, tenure.low)
    last = bisect.bisect_right(busy, tenure.high)
    return sum(rates[key] for key in busy[first:last])
