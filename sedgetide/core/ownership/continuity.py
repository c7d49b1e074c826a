"""Proof that connections to an upstream lead to one and the same process."""

from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

C = TypeVar("C", bound=Hashable)


class ProcessContinuity(Generic[C]):
    """Which connections certainly lead to one process of an upstream.

    A restarted upstream answers at the same address. A connection leads to
    the process that accepted it, as long as it lasts, and an address belongs
    to one process at a time. So if a process has a connection, and answers
    on it something that was sent after another one had been opened, it has
    accepted that one as well: it listened before and after.

    A connection that looks open proves nothing. A process that ends closes
    its connections, but packets of the close may be lost or late.

    Parameters of the methods are connections of any hashable type, and
    monotonic times in seconds.

    Attributes
    ----------
    session : int
        Number of processes that may have been there so far. A process is
        assumed to be another one than that of the last session unless that is
        proved wrong.
    """

    def __init__(self) -> None:
        self.session = 0
        # The process of the session has lived since then.
        self._lives_since = 0.0
        self._proven: set[C] = set()
        # Times at which they were open.
        self._unproven: dict[C, float] = {}

    def note_opened(
        self, connection: C, connect_at: float, opened_at: float
    ) -> None:
        """Record a new connection; the first one begins the session.

        Parameters
        ----------
        connect_at, opened_at : float
            The process accepted it between these times.
        """
        if not self._proven:
            self._proven.add(connection)
            self._lives_since = opened_at
        elif self._lives_since <= connect_at:
            self._unproven[connection] = opened_at

    def note_alive(self, connection: C, sent_at: float) -> None:
        """Record that the process has received what was sent at a time."""
        if connection not in self._proven:
            return
        for each, opened_at in list(self._unproven.items()):
            if opened_at <= sent_at:
                self._proven.add(each)
                del self._unproven[each]

    def note_ended(self, connection: C) -> None:
        """Record that a connection has ended, whoever ended it."""
        self._unproven.pop(connection, None)
        if connection in self._proven:
            self._proven.remove(connection)
            self._end_session_if_unproven()

    def note_refused(self) -> None:
        """Record that no process listened at the address."""
        self._end_session_if_unproven()

    def note_path_lost(self) -> None:
        """Record that all connections may be dead without a sign of it."""
        if self._proven:
            self._proven.clear()
            self._end_session_if_unproven()

    def _end_session_if_unproven(self) -> None:
        if not self._proven:
            self.session += 1
            self._unproven.clear()

    @property
    def has_proven(self) -> bool:
        """Whether any connection leads to the process of the session."""
        return bool(self._proven)

    def is_proven(self, connection: C) -> bool:
        """Return whether a connection leads to the process of the session."""
        return connection in self._proven

    def is_known(self, connection: C) -> bool:
        """Return whether a connection is proven or may still become so."""
        return connection in self._proven or connection in self._unproven

    def list_known(self) -> list[C]:
        """Return the connections that are proven or may still become so."""
        return [*self._proven, *self._unproven]
