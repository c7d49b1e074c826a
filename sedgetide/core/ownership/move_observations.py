"""Since when it is certain that every leader knows of a move."""

from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure


class MoveObservations:
    """Moves that this host has seen in the record, and since when.

    A move stands in the record from the moment at which it was written;
    but the leader that wrote it may not know that yet, if the answer was
    lost, and renew the old owner's grant all the while. Only a later
    version that still has the move proves that its writer knew: it was
    written on top. Each leader after that has read it before its first
    order.
    """

    def __init__(self) -> None:
        self._table = RangeTable()
        self._known_since: dict[Tenure, float] = {}
        self._first_seen: dict[Tenure, float] = {}

    def note_table(self, table: RangeTable, now: float) -> None:
        """Take in a newer version of the record."""
        before = set(self._table.list_moving())
        since = self._known_since
        first = self._first_seen
        self._first_seen = {
            tenure: first.get(tenure, now) for tenure in table.list_moving()
        }
        self._known_since = {
            tenure: since.get(tenure, now)
            for tenure in table.list_moving()
            if tenure in before
        }
        self._table = table

    def find_first_seen(self, tenure: Tenure) -> float | None:
        """Return when a move was first seen; None for one that was not."""
        return self._first_seen.get(tenure)

    def find_known_since(self, tenure: Tenure) -> float:
        """Return since when each leader knows of a move.

        Returns
        -------
        float
            Own clock; infinite while it is not certain.
        """
        return self._known_since.get(tenure, float("inf"))
