"""Log line, counter and state of fences that a leader raises."""

from typing import Any

from sedgetide.core.history import Position
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.daemons._hostmetrics import FENCES_RAISED
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

_RETRY_DELAY = 1.0


class RaisedFences:
    """Decides when tables with the fences of a term are written."""

    def __init__(self) -> None:
        self._tried_at: dict[ServiceName, float] = {}
        self._newest: dict[ServiceName, dict[str, Any]] = {}

    def begin_term(self) -> None:
        """Forget the attempts to write tables of the last term."""
        self._tried_at.clear()

    def is_due(
        self,
        service: ServiceName,
        table: RangeTable,
        raised: RangeTable,
        term: Position,
        now: float,
    ) -> bool:
        """Return whether a table with the fences of the term is to be written.

        Grants don't wait for it, so a failed write is repeated less often
        than that of a move.

        Parameters
        ----------
        service : ServiceName
            Service of the tables.
        table, raised : RangeTable
            Table that is known, and the one with the fences of the term; the
            same object if there is nothing to raise.
        term : Position
            Term of the leader.
        now : float
            Own clock.
        """
        if raised is table:
            return False
        last = self._tried_at.get(service, float("-inf"))
        if now - last < _RETRY_DELAY:
            return False
        ranges = len({*raised.tenures} - {*table.tenures})
        if service not in self._tried_at:
            FENCES_RAISED.labels(service).inc(ranges)
        self._tried_at[service] = now
        self._newest[service] = {
            "term": str(term),
            "ranges": ranges,
            "fence": raised.fence,
        }
        log_event(
            Event.FENCES_RAISED,
            service=service,
            term=term,
            ranges=ranges,
            fence=raised.fence,
        )
        return True

    def dump_state(self) -> dict[str, dict[str, Any]]:
        """Return what was raised last, in this term or an earlier one."""
        return dict(self._newest)
