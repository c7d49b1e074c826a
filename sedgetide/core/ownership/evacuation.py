"""Keys leave an evacuated data centre a part at a time.

Moved all at once, a third of a service's keys have no owner for as long as
the requests that run take to end, and all that came for them meanwhile
reaches the other upstreams in one moment. Moved one after the other, some
are still there when the data centre has to be empty.
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
from sedgetide.core.ownership.ranges import RangeTable

# Parts in which the ranges leave.
_ROUNDS = 4
# Seconds; a release is answered within it in most cases. The leader looks ten
# times a second, so all moves have begun 1.2 s after it knows of the wish.
_ROUND = 0.35


class EvacuationPacer:
    """How many ranges may leave now."""

    def __init__(self) -> None:
        self._rounds = _ROUNDS
        self._began_at = float("-inf")

    def allow(self, left: int, serving: bool, now: float) -> int:
        """Return how many ranges may begin to move.

        Parameters
        ----------
        left : int
            Ranges that have to leave and do not move yet.
        serving : bool
            Whether their owners still get requests; if not, each moment
            costs more than a queue elsewhere.
        now : float
            Own clock.
        """
        if left == 0:
            self._rounds = _ROUNDS
            return 0
        if not serving:
            return left
        if now - self._began_at < _ROUND:
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
    most: int,
) -> list[Move]:
    """Return moves of ranges out of an evacuated data centre.

    The busiest ranges leave first: what comes last finds little room, and
    should need little.

    Parameters
    ----------
    table : RangeTable
        Owners now.
    takers : mapping
        Upstreams that may own keys.
    rates : mapping
        Slots that each key keeps busy.
    owners : collection of IncarnationName
        Upstreams that have to give up all they own.
    most : int
        Moves in this round.
    """
    if not eligible or most <= 0:
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
    for work, tenure in leaving[:most]:
        goal = loads.find_idlest()
        loads.shift(work, None, goal)
        moves.append(Move(tenure.keys, goal))
    return moves
