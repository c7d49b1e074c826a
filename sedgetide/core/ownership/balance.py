"""Planning of the moves that balance load between upstreams."""

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
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import MoveReason
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure

_MIN_CONCURRENT_MOVES = 8
_MOVES_PER_UPSTREAM = 0.4
# An upstream without ranges takes half of the load of one busy upstream in its
# first move and half of the remainder in its second.
_MOVES_PER_EMPTY_UPSTREAM = 2
# The load of an upstream as averaged by the load tracker varies by a fifth by
# chance alone, so a smaller difference does not justify a move.
_TOLERATED_DIFFERENCE = 0.25
_BUSY_UTILIZATION = 0.55
# Above this utilization requests wait longer than they run.
_FULL_UTILIZATION = 0.85
_MIN_SHARE_OF_WANTED = 0.25
# Share of the work of the best range with which a narrower one is preferred.
_SHARE_OF_MOST_WORK = 0.7
_WIDTH_FACTOR = 2.0
_MAX_RANGES_PER_UPSTREAM = 24
_MAX_UNJOINED_RANGES_PER_UPSTREAM = 7
_NARROW_RANGE_KEYS = 512
# In slots: 40 joined ranges amount to the work of one upstream.
_NEGLIGIBLE_WORK = 0.05


def max_concurrent_moves(eligible: int, empty: int = 0) -> int:
    """Return the maximum number of ranges that may move at a time.

    The limit grows with the number of upstreams, so that each one gives or
    receives a range within one or two rounds; a fixed limit would leave a
    large service unbalanced for minutes. Upstreams without ranges are
    filled at once: they return together when a data centre that was cut off
    does, and until then the other upstreams are overloaded.

    Parameters
    ----------
    eligible : int
        Number of upstreams that may own keys.
    empty : int
        Number of those that neither own a range nor are to receive one.
    """
    usual = max(
        _MIN_CONCURRENT_MOVES, math.ceil(_MOVES_PER_UPSTREAM * eligible)
    )
    return max(usual, _MOVES_PER_EMPTY_UPSTREAM * empty)


def count_empty(
    table: RangeTable, eligible: Collection[IncarnationName]
) -> int:
    """Return how many eligible upstreams have and are to get no range."""
    holders = {each.successor or each.owner for each in table.tenures}
    return sum(1 for name in eligible if name not in holders)


def plan_evictions(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    evacuated: Collection[IncarnationName] = (),
) -> list[Move]:
    """Return moves of the ranges whose owners may no longer own keys.

    Parameters
    ----------
    table : RangeTable
        Current owners.
    eligible : mapping
        Upstreams that may own keys.
    rates : mapping
        Average number of slots that each key occupies.
    evacuated : collection of IncarnationName
        Owners in evacuated data centres, whose ranges are moved gradually
        by :func:`plan_evacuation` instead.
    """
    if not eligible:
        return []
    loads = ProjectedLoad(table.tenures, eligible, rates)
    groups = group_keys(rates, table.tenures)
    moves = []
    for tenure, keys in zip(table.tenures, groups, strict=True):
        stays = tenure.owner in eligible or tenure.owner in evacuated
        if tenure.moving or stays:
            continue
        destination = loads.find_idlest()
        work = sum(rates[key] for key in keys)
        loads.apply_move(work, None, destination)
        moves.append(Move(tenure.keys, destination, MoveReason.EVICTION))
    return moves


def plan_balance(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    max_moves: int = _MIN_CONCURRENT_MOVES,
) -> list[Move]:
    """Return moves from the busiest upstreams to the idlest ones.

    Busy keys lie close together, so a move cuts out of the busiest upstream
    a range that holds about half of the difference in load. Narrow ranges
    are cheap to move, since the cost depends on the share of all keys.

    Parameters
    ----------
    table : RangeTable
        Current owners.
    eligible : mapping
        Upstreams that may own keys.
    rates : mapping
        Average number of slots that each key occupies.
    max_moves : int
        Maximum number of moves to return.
    """
    if len(eligible) < 2:
        return []
    if len(table.tenures) > _MAX_RANGES_PER_UPSTREAM * len(eligible):
        return []
    loads = ProjectedLoad(table.tenures, eligible, rates)
    moves = plan_isolation(loads, max_moves)
    sources = set(eligible).difference(loads.hot_key_owners)
    while sources and len(moves) < max_moves:
        source = max(
            sources, key=lambda name: (loads.find_utilization(name), name)
        )
        destination = loads.find_idlest()
        if not _is_move_worthwhile(loads, source, destination):
            break
        move = _plan_move(loads, source, destination)
        if move is None:
            sources.remove(source)
        else:
            moves.append(move)
    return moves


def _is_move_worthwhile(
    loads: ProjectedLoad, source: IncarnationName, destination: IncarnationName
) -> bool:
    if loads.counts[destination] == 0:
        return True
    busy, idle = (
        loads.find_utilization(source),
        loads.find_utilization(destination),
    )
    tolerated = max(_TOLERATED_DIFFERENCE, 0.25 * busy)
    return busy >= _BUSY_UTILIZATION and busy - idle >= tolerated


def _plan_move(
    loads: ProjectedLoad, source: IncarnationName, destination: IncarnationName
) -> Move | None:
    gap = loads.find_utilization(source) - loads.find_utilization(destination)
    found = _select_range(
        loads, source, _find_work_to_move(loads, source, destination, gap)
    )
    if found is None:
        return None
    keys, work = found
    loads.apply_move(work, source, destination)
    loads.planned_ranges[source].append(keys)
    return Move(keys, destination)


def _find_work_to_move(
    loads: ProjectedLoad,
    source: IncarnationName,
    destination: IncarnationName,
    gap: float,
) -> float:
    """Return the work to move so that both upstreams are equally utilized.

    The amount is limited to the free capacity of the destination. Half of
    a load that is far too much for one upstream overloads the destination
    too, and a moving range cannot be split until the move has completed. By
    halves, a run of keys with the load of 40 upstreams took five rounds of
    0.8 s to spread; with this limit it takes two.
    """
    costs = {
        name: loads.eligible[name].slowness / loads.eligible[name].slots
        for name in (source, destination)
    }
    equal = gap / sum(costs.values())
    room = (_FULL_UTILIZATION - loads.find_utilization(destination)) / costs[
        destination
    ]
    return min(equal, room) if room > 0 else equal


def _select_range(
    loads: ProjectedLoad, source: IncarnationName, wanted: float
) -> tuple[KeyRange, float] | None:
    """Return a narrow range with about as much work as wanted.

    The cost of a move depends on the share of all keys that change their
    owner. Where all ranges are about as narrow, the most work is moved.
    """
    found = list(_list_candidate_ranges(loads, source, wanted))
    most = max((work for _, work in found), default=0.0)
    if not found or most < _MIN_SHARE_OF_WANTED * wanted:
        return None
    found = [each for each in found if each[1] >= _SHARE_OF_MOST_WORK * most]
    widest = _WIDTH_FACTOR * min(len(keys) for keys, _ in found)
    return max(
        (each for each in found if len(each[0]) <= widest),
        key=lambda each: each[1],
    )


def _list_candidate_ranges(
    loads: ProjectedLoad, source: IncarnationName, wanted: float
) -> Iterator[tuple[KeyRange, float]]:
    """Yield ranges of the source with at most 1.1 times the wanted work."""
    rates = loads.rates
    taken = loads.planned_ranges[source]
    for tenure, keys in loads.keys[source]:
        start = 0
        work = 0.0
        for end, key in enumerate(keys):
            work += rates[key]
            if any(each.low <= key <= each.high for each in taken):
                # An earlier move of this round takes this key: restart
                # after it.
                start, work = end + 1, 0.0
                continue
            while work > wanted * 1.1 and start <= end:
                work -= rates[keys[start]]
                start += 1
            if start > end:
                continue
            first, last = start == 0, end == len(keys) - 1
            if first and last and len(tenure.keys) > _NARROW_RANGE_KEYS:
                yield KeyRange(keys[start], key), work
                continue
            # Extend to the end of the tenure so that no sliver is left:
            # each range costs a renewal of its own.
            low = tenure.low if first else keys[start]
            high = tenure.high if last else key
            yield KeyRange(low, high), work


def plan_consolidation(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    max_moves: int,
) -> list[Move]:
    """Return moves of narrow idle ranges to the owner of a neighbour.

    Keys that used to be busy remain split among many owners. Joining them
    again saves renewals and leaves room to split ranges that are busy now.

    Parameters
    ----------
    table : RangeTable
        Current owners.
    eligible : mapping
        Upstreams that may own keys.
    rates : mapping
        Average number of slots that each key occupies.
    max_moves : int
        Maximum number of moves to return.
    """
    if len(table.tenures) <= _MAX_UNJOINED_RANGES_PER_UPSTREAM * len(eligible):
        return []
    busy = sorted(rates)
    moves: list[Move] = []
    last_moved = False
    for left, tenure in zip(table.tenures, table.tenures[1:], strict=False):
        settled = not left.moving and not tenure.moving and not last_moved
        foreign = tenure.owner != left.owner and left.owner in eligible
        narrow = len(tenure.keys) <= _NARROW_RANGE_KEYS
        idle = _sum_work(tenure, busy, rates) <= _NEGLIGIBLE_WORK
        last_moved = settled and foreign and narrow and idle
        if last_moved:
            moves.append(
                Move(tenure.keys, left.owner, MoveReason.CONSOLIDATION)
            )
        if len(moves) >= max_moves:
            break
    return moves


def _sum_work(
    tenure: Tenure, busy: Sequence[Key], rates: Mapping[Key, float]
) -> float:
    first = bisect.bisect_left(busy, tenure.low)
    last = bisect.bisect_right(busy, tenure.high)
    return sum(rates[key] for key in busy[first:last])
