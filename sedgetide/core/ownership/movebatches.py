"""Batches of news about moves, for one notice to the hosts instead of many."""

import msgspec

from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.ranges import MoveId
from sedgetide.core.ownership.ranges import Tenure

# Seconds by which a notice is delayed to include further moves: those that
# begin together end a few milliseconds apart.
_DELAY = 0.02


class MoveBatch(msgspec.Struct):
    """News about the moves of one service.

    Parameters
    ----------
    completed : list of Tenure
        Ranges that have moved, as the table showed them while they moved.
    hold_ends : dict
        Local times at which the holds of lost owners end.
    """

    completed: list[Tenure] = []
    hold_ends: dict[MoveId, float] = {}


class MoveBatcher:
    """Collects news about moves until the oldest of it is due.

    Parameters
    ----------
    delay : float
        Seconds for which the first news of a batch waits for more.
    """

    def __init__(self, delay: float = _DELAY) -> None:
        self._delay = delay
        self._batches: dict[ServiceName, MoveBatch] = {}
        self._due: float | None = None

    @property
    def due(self) -> float | None:
        """Time at which the batch has to be sent; None if it is empty."""
        return self._due

    def add(self, service: ServiceName, tenure: Tenure, now: float) -> None:
        """Add a completed move, as the table showed it while it moved."""
        self._open_batch(service, now).completed.append(tenure)

    def add_hold(
        self, service: ServiceName, tenure: Tenure, end: float, now: float
    ) -> None:
        """Add until when the previous owner may hold a moving range."""
        self._open_batch(service, now).hold_ends[tenure.move_id] = end

    def _open_batch(self, service: ServiceName, now: float) -> MoveBatch:
        if self._due is None:
            self._due = now + self._delay
        return self._batches.setdefault(service, MoveBatch())

    def take(self, now: float) -> dict[ServiceName, MoveBatch]:
        """Return and remove all news; empty before it is due."""
        if self._due is None or now < self._due:
            return {}
        batches, self._batches = self._batches, {}
        self._due = None
        return batches
