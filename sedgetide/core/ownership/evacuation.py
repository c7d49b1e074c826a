"""Gradual move of keys out of an evacuated data centre.

If all ranges moved at once, a third of a service's keys would have no owner
until the running requests have ended, and the requests queued meanwhile
would reach the other upstreams in one burst. If they moved one by one, some
would still be there when the data centre has to be empty.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.projected_load import EligibleUpstream
from sedgetide.core.ownership.projected_load import ProjectedLoad
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import MoveReason
from sedgetide.core.ownership.ranges import RangeTable

# Number of rounds in which the ranges are moved.
_ROUNDS = 4
# Seconds; most releases are answered within this time. The leader checks ten
# times a second, so all moves have started 1.2 s after it learns of the
# evacuation.
_ROUND_SECONDS = 0.35


class EvacuationPacer:
    """Limits how many ranges start to move per round of an evacuation."""

    def __init__(self) -> None:
        self._rounds = _ROUNDS
        self._began_at = float("-inf")

    def allow(self, left: int, serving: bool, now: float) -> int:
        """Return how many ranges may start to move now.

        Parameters
        ----------
        left : int
            Number of ranges that have to move and are not moving yet.
        serving : bool
            Whether their owners still receive requests. If not, the keys
            are unavailable, which is worse than a burst at other upstreams.
        now : float
            Current monotonic time in seconds.
        """
        if left == 0:
            self._rounds = _ROUNDS
            return 0
        if not serving:
            return left
        if now - self._began_at < _ROUND_SECONDS:
            return 0
        self._began_at = now
        allowed = math.ceil(left / self._rounds)
        self._rounds = max(1, self._rounds - 1)
        return allowed


def plan_evacuation(
    table: RangeTable,
    eligible: Mapping[IncarnationName, EligibleUpstream],
    rates: Mapping[Key, float],
    owners: Collection[IncarnationName],
    max_moves: int,
) -> list[Move]:
    """Return moves of ranges out of an evacuated data centre.

    The busiest ranges move first, because the last ones find the least
    free capacity.

    Parameters
    ----------
    table : RangeTable
        Current owners.
    eligible : mapping
        Upstreams that may own keys.
    rates : mapping
        Average number of slots that each key occupies.
    owners : collection of IncarnationName
        Upstreams that have to give up all their ranges.
    max_moves : int
        Maximum number of moves in this round.
    """
    if not eligible or max_moves <= 0:
        return []
    groups = group_keys(rates, table.tenures)
    leaving = [
        (sum(rates[key] for key in keys), tenure)
        for tenure, keys in zip(table.tenures, groups, strict=True)
        if tenure.owner in owners and not tenure.moving
    ]
    leaving.sort(key=lambda each: (-each[0], each[1].low))
    loads = ProjectedLoad(table.tenures, eligible, rates)
    moves = []
    for work, tenure in leaving[:max_moves]:
        destination = loads.find_idlest()
        loads.apply_move(work, None, destination)
        moves.append(Move(tenure.keys, destination, MoveReason.EVACUATION))
    return moves
