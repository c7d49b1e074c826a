"""Isolation of hot keys, which need more capacity than one upstream has.

A single key cannot be split among upstreams. Instead, its upstream is
relieved of all other keys, so that their requests do not queue behind it, and
the key is placed on one of the fastest upstreams, so that as many of its own
requests as possible are served.
"""

from collections.abc import Iterator

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
_FASTER_TIME_RATIO = 0.65
_UPSTREAMS_PER_HOT_KEY = 8


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
    for hot in _list_hot_keys(loads):
        loads.hot_key_owners.add(hot.owner)
        faster = _find_faster_upstream(loads, hot.owner)
        if faster is not None:
            loads.hot_key_owners.add(faster)
            keys = KeyRange(hot.key, hot.key)
            moves.append(Move(keys, faster, MoveReason.HOT_KEY))
            loads.apply_move(hot.work, hot.owner, faster)
            continue
        for keys, work in _list_other_ranges(loads, hot):
            destination = loads.find_idlest()
            if destination in loads.hot_key_owners:
                break
            moves.append(Move(keys, destination, MoveReason.HOT_KEY))
            loads.apply_move(work, hot.owner, destination)
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
    best = min(
        others, key=lambda name: (_find_utilization(loads, name, 1.0), name)
    )
    if _find_utilization(loads, best, 1.0) > _FASTER_TIME_RATIO * own:
        return None
    return best


def _list_other_ranges(
    loads: ProjectedLoad, hot: _HotKey
) -> Iterator[tuple[KeyRange, float]]:
    """Yield the owner's ranges without the hot key, with their work."""
    for tenure, keys in loads.keys[hot.owner]:
        if tenure != hot.tenure:
            yield tenure.keys, sum(loads.rates[key] for key in keys)
            continue
        if tenure.low < hot.key:
            left = KeyRange(tenure.low, Key(hot.key - 1))
            yield left, sum(loads.rates[key] for key in keys if key < hot.key)
        if hot.key < tenure.high:
            right = KeyRange(Key(hot.key + 1), tenure.high)
            yield right, sum(loads.rates[key] for key in keys if key > hot.key)
