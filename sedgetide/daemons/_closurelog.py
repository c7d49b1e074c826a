"""Logs and counts the connections that the servers of a host close."""

import collections

from sedgetide.core.requests.closures import Closure
from sedgetide.daemons._hostmetrics import CLOSED_CONNECTIONS
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event


class ClosureLog:
    """Records why connections of callers, hosts or operators were closed."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record(self, listener: str, closure: Closure) -> None:
        """Log and count one connection.

        Parameters
        ----------
        listener : str
            Name of the server that has closed it.
        closure : Closure
            The connection and the reason.
        """
        reason = closure.reason.value
        self._counts[listener, reason] += 1
        CLOSED_CONNECTIONS.labels(listener, reason).inc()
        log_event(
            Event.CONNECTION_CLOSED,
            listener=listener,
            reason=reason,
            peer=closure.peer,
            bytes=closure.received,
            requests=closure.requests,
        )

    def dump_state(self) -> list[dict[str, str | int]]:
        """Return the number of closed connections by server and reason."""
        return [
            {"listener": listener, "reason": reason, "count": count}
            for (listener, reason), count in sorted(self._counts.items())
        ]
