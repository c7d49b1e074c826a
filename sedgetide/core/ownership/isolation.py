"""Keys that are more than one upstream's work.

Nothing can share out a single key. What can be done: its upstream keeps
nothing else, so that other keys' callers do not wait behind it, and it is
one of the fastest, so that as many of its own callers as possible are
served.
"""

from collections.abc import Iterator

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.projected_load import ProjectedLoad
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import Tenure

_MORE_THAN_ENOUGH = 0.9
# Where all upstreams are as busy, none can take what another has besides.
_FAR_ABOVE_MEAN = 1.5
# A faster upstream has to be worth two moves and what its keys feel of them.
_MUCH_FASTER = 0.65
_MOST_SHARE = 8


class _HotKey(msgspec.Struct, frozen=True):
    key: Key
    owner: IncarnationName
    tenure: Tenure
    work: float


def plan_isolation(loads: ProjectedLoad, most: int) -> list[Move]:
    """Return moves that leave hot keys alone at fast upstreams.

    Parameters
    ----------
    loads : ProjectedLoad
        How busy all are; takes in what is planned.
    most : int
        Largest number of moves.
    """
    moves: list[Move] = []
    for hot in _list_hot_keys(loads):
        loads.crowded.add(hot.owner)
        faster = _find_faster(loads, hot.owner)
        if faster is not None:
            loads.crowded.add(faster)
            moves.append(Move(KeyRange(hot.key, hot.key), faster))
            loads.shift(hot.work, hot.owner, faster)
            continue
        for keys, work in _list_others(loads, hot):
            goal = loads.find_idlest()
            if goal in loads.crowded:
                break
            moves.append(Move(keys, goal))
            loads.shift(work, hot.owner, goal)
    return moves[: max(0, most)]


def _list_hot_keys(loads: ProjectedLoad) -> list[_HotKey]:
    """Return the hottest keys, of a few upstreams at most."""
    found = []
    least = max(_MORE_THAN_ENOUGH, _FAR_ABOVE_MEAN * loads.find_mean())
    for name, ranges in loads.keys.items():
        for tenure, keys in ranges:
            for key in keys:
                work = loads.rates[key]
                if _find_busy(loads, name, work) >= least:
                    found.append(_HotKey(key, name, tenure, work))
    found.sort(key=lambda hot: (-hot.work, hot.key))
    owners: set[IncarnationName] = set()
    bound = len(loads.eligible) // _MOST_SHARE
    hottest = []
    for hot in found:
        if hot.owner not in owners and len(owners) < bound:
            owners.add(hot.owner)
            hottest.append(hot)
    return hottest


def _find_busy(
    loads: ProjectedLoad, name: IncarnationName, work: float
) -> float:
    taker = loads.eligible[name]
    return work * taker.slowness / taker.slots


def _find_faster(
    loads: ProjectedLoad, owner: IncarnationName
) -> IncarnationName | None:
    """Return an upstream that gets much more done than the owner."""
    own = _find_busy(loads, owner, 1.0)
    others = loads.eligible.keys() - loads.crowded
    if not others:
        return None
    best = min(others, key=lambda name: (_find_busy(loads, name, 1.0), name))
    if _find_busy(loads, best, 1.0) > _MUCH_FASTER * own:
        return None
    return best


def _list_others(
    loads: ProjectedLoad, hot: _HotKey
) -> Iterator[tuple[KeyRange, float]]:
    """Yield all that the owner has besides its hot key, with its work."""
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
