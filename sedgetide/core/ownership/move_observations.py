"""Times since which every leader is known to be aware of a move."""

from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure


class MoveObservations:
    """Moves that this host has observed in the stored range table.

    A move is in the table from the time it was written, but if the answer
    to the write was lost, the leader that wrote it may be unaware of it and
    still renew the grant of the previous owner. Only a later version of the
    table that still contains the move proves that its writer knew of it,
    because that version was based on it. Later leaders have read the table
    before they send their first order.
    """

    def __init__(self) -> None:
        self._table = RangeTable()
        self._known_since: dict[Tenure, float] = {}
        self._first_seen: dict[Tenure, float] = {}

    def note_table(self, table: RangeTable, now: float) -> None:
        """Record a newer version of the table."""
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

    @property
    def table(self) -> RangeTable:
        """Newest version of the table, as it was stored."""
        return self._table

    def find_first_seen(self, tenure: Tenure) -> float | None:
        """Return when a move was first observed, or None."""
        return self._first_seen.get(tenure)

    def find_known_since(self, tenure: Tenure) -> float:
        """Return the time since which every leader knows of a move.

        Returns
        -------
        float
            Local time; infinite while this is not certain.
        """
        return self._known_since.get(tenure, float("inf"))
