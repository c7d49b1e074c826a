"""The task of a keeper that writes changes of the assignment."""

import logging

import gevent

from sedgetide.backends.store import Store
from sedgetide.core.membership.datacentre import AssignmentChange
from sedgetide.daemons._metrics import ASSIGNMENT_CHANGES
from sedgetide.daemons._storetask import StoreListener
from sedgetide.daemons._storetask import swap_assignment

_log = logging.getLogger(__name__)


class AssignmentWriter:
    """Writes one planned change at a time.

    Parameters
    ----------
    store : Store
        Client for writes, owned by the caller.
    key : str
        Key of the assignment.
    owner : StoreListener
        Given each version found in the store.
    """

    def __init__(self, store: Store, key: str, owner: StoreListener) -> None:
        self._store = store
        self._key = key
        self._owner = owner
        self._task: gevent.Greenlet | None = None

    @property
    def busy(self) -> bool:
        """Whether a change is being written."""
        return self._task is not None and not self._task.dead

    def write(self, plan: AssignmentChange) -> None:
        """Begin to write a change."""
        self._task = gevent.spawn(self._write, plan)

    def close(self) -> None:
        """Stop a write that is under way."""
        if self._task is not None:
            self._task.kill()

    def _write(self, plan: AssignmentChange) -> None:
        record = swap_assignment(
            self._store, self._key, plan.assignment, plan.expected
        )
        if record is None:
            # Another member may reach the store; let it assign.
            self._owner.set_store_unavailable(True)
            return
        ASSIGNMENT_CHANGES.inc()
        _log.info(
            "assignment written",
            extra={
                "revision": record.revision,
                "members": len(plan.assignment.members),
                "shards": len(plan.assignment.shards),
                "releasing": len(plan.assignment.list_releasing()),
            },
        )
        self._owner.handle_records([record])
