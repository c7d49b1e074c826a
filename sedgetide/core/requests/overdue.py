"""For how long callers have been waiting already, as their deadlines tell."""

import msgspec

from sedgetide.core.identifiers import RouteName

# Seconds; a route's longest deadline is forgotten after one to two of these,
# so that a change of its callers' patience is learnt within two minutes.
_SPAN = 60.0
# Share of the objective. One that was refused comes back later than that; what
# a network takes from a deadline is far less.
_OVERDUE = 0.5


class _Longest(msgspec.Struct):
    began: float
    now: float = 0.0
    before: float = 0.0


class OverdueDetector:
    """Tells callers who come again from those who come for the first time.

    A caller tells how long it still waits, and all of a route's callers
    begin with about the same time. One who has less left has been refused
    before, and can't be answered within the objective any more. Where there
    is not enough for all, those who still can go first: served in the order
    of arrival, the late ones make the others late as well.
    """

    def __init__(self) -> None:
        self._longest: dict[RouteName, _Longest] = {}

    def is_overdue(
        self,
        route: RouteName,
        left: float | None,
        objective: float,
        now: float,
    ) -> bool:
        """Take in a caller's deadline; tell whether it came late.

        Parameters
        ----------
        route : RouteName
            Route of its request.
        left : float or None
            Seconds for which it waits; None when it did not say.
        objective : float
            Seconds within which an answer is worth most.
        now : float
            Own clock.
        """
        if left is None:
            return False
        known = self._longest.setdefault(route, _Longest(now))
        if now - known.began > _SPAN:
            known.began, known.before, known.now = now, known.now, 0.0
        known.now = max(known.now, left)
        return max(known.now, known.before) - left > _OVERDUE * objective
