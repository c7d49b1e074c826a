"""Batches of completed moves, for one notice to the hosts instead of many."""

from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.ranges import Tenure

# Seconds for which hosts learn later of a completed move. Moves that begin
# together end a few milliseconds apart.
_DELAY = 0.02


class MoveBatcher:
    """Collects completed moves until the first of them is old enough.

    Parameters
    ----------
    delay : float
        Seconds for which the first move of a batch waits for others.
    """

    def __init__(self, delay: float = _DELAY) -> None:
        self._delay = delay
        self._moves: dict[ServiceName, list[Tenure]] = {}
        self._due: float | None = None

    @property
    def due(self) -> float | None:
        """Time at which the batch has to be sent; None if it is empty."""
        return self._due

    def add(self, service: ServiceName, tenure: Tenure, now: float) -> None:
        """Add a completed move, as the table showed it while it moved."""
        self._moves.setdefault(service, []).append(tenure)
        if self._due is None:
            self._due = now + self._delay

    def take(self, now: float) -> dict[ServiceName, list[Tenure]]:
        """Return and remove the batch; empty before it is due."""
        if self._due is None or now < self._due:
            return {}
        moves, self._moves = self._moves, {}
        self._due = None
        return moves
