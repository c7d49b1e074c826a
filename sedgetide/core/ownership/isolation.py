"""Isolation of hot keys, which need more capacity than one upstream has.

A single key cannot be split among upstreams. Instead, its upstream is
relieved of all other keys, so that their requests do not queue behind it, and
the key is placed on one of the fastest upstreams, so that as many of its own
requests as possible are served.
"""

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.projected_load import ProjectedLoad
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import MoveReason
from sedgetide.core.ownership.ranges import Tenure

_HOT_KEY_UTILIZATION = 0.9
# If all upstreams are equally busy, none can take over the other keys.
_HOT_KEY_MEAN_FACTOR = 1.5
# A faster upstream must make up for two moves and for the interruption of its
# own keys.
_FASTER_TIME_RATIO = 0.68
_UPSTREAMS_PER_HOT_KEY = 8
# Pace is known to a twenty-fifth; of upstreams as fast as can be told, the
# one with the least work has the fewest keys to give away.
_SIMILAR_TIME = 1.08
# Slots; a twentieth of what the slowest upstream can do.
_IDLE_WORK = 0.05


class _HotKey(msgspec.Struct, frozen=True):
    key: Key
    owner: IncarnationName
    tenure: Tenure
    work: float


def plan_isolation(loads: ProjectedLoad, max_moves: int) -> list[Move]:
    """Return moves that isolate hot keys on fast upstreams.

    Parameters
    ----------
    loads : ProjectedLoad
        Utilization of all upstreams; updated with the planned moves.
    max_moves : int
        Maximum number of moves.
    """
    moves: list[Move] = []
    hot_keys = _list_hot_keys(loads)
    loads.hot_key_owners.update(hot.owner for hot in hot_keys)
    for hot in hot_keys:
        owner = hot.owner
        faster = _find_faster_upstream(loads, owner)
        if faster is not None:
            keys = KeyRange(hot.key, hot.key)
            moves.append(Move(keys, faster, MoveReason.HOT_KEY))
            loads.apply_move(hot.work, owner, faster)
            loads.hot_key_owners.add(faster)
            owner = faster
        for keys, work in _list_other_ranges(loads, owner, hot):
            destination = loads.find_idlest()
            if destination in loads.hot_key_owners:
                break
            moves.append(Move(keys, destination, MoveReason.HOT_KEY))
            loads.apply_move(work, owner, destination)
    return moves[: max(0, max_moves)]


def _list_hot_keys(loads: ProjectedLoad) -> list[_HotKey]:
    """Return the hottest key of each of a few upstreams.

    At most one upstream in eight is reserved for a hot key.
    """
    found = []
    threshold = max(
        _HOT_KEY_UTILIZATION,
        _HOT_KEY_MEAN_FACTOR * loads.find_mean_utilization(),
    )
    for name, ranges in loads.keys.items():
        for tenure, keys in ranges:
            for key in keys:
                work = loads.rates[key]
                if _find_utilization(loads, name, work) >= threshold:
                    found.append(_HotKey(key, name, tenure, work))
    found.sort(key=lambda hot: (-hot.work, hot.key))
    owners: set[IncarnationName] = set()
    bound = len(loads.eligible) // _UPSTREAMS_PER_HOT_KEY
    hottest = []
    for hot in found:
        if hot.owner not in owners and len(owners) < bound:
            owners.add(hot.owner)
            hottest.append(hot)
    return hottest


def _find_utilization(
    loads: ProjectedLoad, name: IncarnationName, work: float
) -> float:
    candidate = loads.eligible[name]
    return work * candidate.slowness / candidate.slots


def _find_faster_upstream(
    loads: ProjectedLoad, owner: IncarnationName
) -> IncarnationName | None:
    """Return an upstream that is much faster than the owner, or None."""
    own = _find_utilization(loads, owner, 1.0)
    others = loads.eligible.keys() - loads.hot_key_owners
    if not others:
        return None
    best = min(_find_utilization(loads, name, 1.0) for name in others)
    if best > _FASTER_TIME_RATIO * own:
        return None
    return min(
        (
            name
            for name in others
            if _find_utilization(loads, name, 1.0) <= _SIMILAR_TIME * best
        ),
        key=lambda name: (loads.work[name], name),
    )


def _list_other_ranges(
    loads: ProjectedLoad, owner: IncarnationName, hot: _HotKey
) -> list[tuple[KeyRange, float]]:
    """Return an upstream's ranges without the hot key, the busiest first.

    Idle ranges stay: moving them costs as much and frees no capacity.
    """
    found: list[tuple[KeyRange, float]] = []
    for tenure, keys in loads.keys[owner]:
        parts = [(tenure.low, tenure.high)]
        if tenure == hot.tenure:
            parts = [(tenure.low, hot.key - 1), (hot.key + 1, tenure.high)]
        for low, high in parts:
            work = sum(loads.rates[key] for key in keys if low <= key <= high)
            if low <= high and work > _IDLE_WORK:
                found.append((KeyRange(Key(low), Key(high)), work))
    found.sort(key=lambda each: -each[1])
    return found
