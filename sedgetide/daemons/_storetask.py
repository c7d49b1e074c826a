"""Tasks of a keeper that call the platform's store."""

import abc
import contextlib
import logging

import gevent

from sedgetide.backends.store import Store
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import encode_assignment
from sedgetide.core.configuration.records import Record
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.tasks import spawn_vital

_WATCH_WAIT = 5.0
_RETRY_DELAY = 0.2

_log = logging.getLogger(__name__)


class StoreListener(abc.ABC):
    """Interface of the process that a store task reports to."""

    @abc.abstractmethod
    def is_watching(self) -> bool:
        """Return whether this process watches for its data centre."""

    @abc.abstractmethod
    def handle_records(self, records: list[Record]) -> None:
        """Handle records read from the store."""

    @abc.abstractmethod
    def handle_proof(
        self, asked_at: float, revision: Revision, record: Record | None
    ) -> None:
        """Handle a read of the assignment's revision.

        Parameters
        ----------
        asked_at : float
            Own clock before the read was sent.
        revision : Revision
            Current revision of the assignment.
        record : Record or None
            The assignment, if its revision is another than at the last read.
        """

    @abc.abstractmethod
    def set_store_unavailable(self, unavailable: bool) -> None:
        """Set whether the last call to the store failed."""


class StoreTask:
    """Watches the store and reads the assignment's revision at intervals.

    Such a read proves that there was no newer assignment when it was sent.

    Parameters
    ----------
    store : Store
        Client, closed by the task.
    key : str
        Key of the data centre's assignment.
    interval : float
        Seconds between reads of the revision.
    listener : StoreListener
        Receives records and proofs.
    """

    def __init__(
        self, store: Store, key: str, interval: float, listener: StoreListener
    ) -> None:
        self._store = store
        self._key = key
        self._interval = interval
        self._listener = listener
        self._since = Revision(0)
        self._watched = False
        self._known_revision = Revision(0)
        self.last_error = ""
        self.reached_at = float("-inf")

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start both loops; the stack stops them."""
        stack.callback(self._store.close)
        for loop in (self._watch_loop, self._proof_loop):
            spawn_vital(loop, stack)

    def _watch_loop(self) -> None:
        while True:
            if not self._listener.is_watching():
                gevent.sleep(self._interval)
                continue
            try:
                self.watch_once()
            except StoreError as error:
                self._note_error(error)
                gevent.sleep(_RETRY_DELAY)

    def watch_once(self) -> None:
        """Watch the store once and pass on the changes.

        The first call doesn't wait, so that a starting process gets all
        existing records at once.
        """
        wait = _WATCH_WAIT if self._watched else 0.0
        changes = self._store.watch("", self._since, wait)
        self._watched = True
        self._listener.handle_records(changes.records)
        # A restored store may answer with a lower revision, but records are
        # never replaced by older ones.
        self._since = max(self._since, changes.revision)

    def _proof_loop(self) -> None:
        while True:
            if self._listener.is_watching():
                self._prove()
            gevent.sleep(self._interval)

    def _prove(self) -> None:
        asked_at = read_clock()
        try:
            revision = self._store.read_revision(self._key)
            record = None
            if revision != self._known_revision:
                record = self._store.read(self._key)
        except StoreError as error:
            self._note_error(error)
            return
        self._known_revision = revision
        self.reached_at = read_clock()
        self.last_error = ""
        self._listener.set_store_unavailable(False)
        self._listener.handle_proof(asked_at, revision, record)

    def _note_error(self, error: StoreError) -> None:
        if not self.last_error:
            _log.warning("store away", extra={"error": str(error)})
        self.last_error = str(error)
        self._listener.set_store_unavailable(True)


def swap_assignment(
    store: Store, key: str, assignment: Assignment, expected: Revision
) -> Record | None:
    """Write an assignment by compare-and-swap.

    Parameters
    ----------
    store : Store
        Client.
    key : str
        Key of the assignment.
    assignment : Assignment
        New version, with its own change id.
    expected : Revision
        Revision of the version on which the new one is based.

    Returns
    -------
    Record or None
        Record in the store after the write; None if it is unknown.

    Notes
    -----
    A write without an answer may have taken effect, so the record is read
    back. Its change id shows whose version it is: without it a writer could
    mistake another's change for its own, or its own for a failure.
    """
    value = encode_assignment(assignment)
    try:
        revision = store.swap(key, value, expected)
        return Record(key, revision, value)
    except StoreConflict as error:
        _log.info("swap lost", extra={"error": str(error)})
    except StoreError as error:
        _log.warning("swap unanswered", extra={"error": str(error)})
        if error.code is ErrorCode.STORE_UNAVAILABLE:
            return None
    with contextlib.suppress(StoreError):
        return _read_back(store, key, assignment)
    return None


def _read_back(store: Store, key: str, assignment: Assignment) -> Record:
    record = store.read(key)
    if record is None:
        return None
    found = decode_assignment(record.value)
    _log.info(
        "swap read back",
        extra={
            "revision": record.revision,
            "own": found.change_id == assignment.change_id,
        },
    )
    return record
