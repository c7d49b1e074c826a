"""Writes changes of the assignment to the store."""

import logging

import gevent

from sedgetide.backends.store import Store
from sedgetide.core.membership.datacentre import AssignmentChange
from sedgetide.daemons._metrics import ASSIGNMENT_CHANGES
from sedgetide.daemons._storetask import StoreListener
from sedgetide.daemons._storetask import swap_assignment

_log = logging.getLogger(__name__)


class AssignmentWriter:
    """Writes planned changes of the assignment, one at a time.

    Parameters
    ----------
    store : Store
        Store client for writes; the creator closes it.
    key : str
        Store key of the assignment.
    listener : StoreListener
        Receives the record that the store holds after a write.
    """

    def __init__(
        self, store: Store, key: str, listener: StoreListener
    ) -> None:
        self._store = store
        self._key = key
        self._listener = listener
        self._task: gevent.Greenlet | None = None

    @property
    def busy(self) -> bool:
        """Whether a change is being written."""
        return self._task is not None and not self._task.dead

    def write(self, change: AssignmentChange) -> None:
        """Start writing a change in the background."""
        self._task = gevent.spawn(self._write, change)

    def close(self) -> None:
        """Abort a write in progress."""
        if self._task is not None:
            self._task.kill()

    def _write(self, change: AssignmentChange) -> None:
        record = swap_assignment(
            self._store, self._key, change.assignment, change.expected
        )
        if record is None:
            # Another member may still reach the store and assign instead.
            self._listener.set_store_unavailable(True)
            return
        ASSIGNMENT_CHANGES.inc()
        _log.info(
            "assignment written",
            extra={
                "revision": record.revision,
                "members": len(change.assignment.members),
                "shards": len(change.assignment.shards),
                "releasing": len(change.assignment.list_releasing()),
            },
        )
        self._listener.handle_records([record])
