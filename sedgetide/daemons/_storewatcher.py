"""Task that keeps a host's state of the deployment in sync with the store."""

from collections.abc import Callable
import contextlib

import gevent

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import StoreError
from sedgetide.core.requests.readlimits import ReadBound
from sedgetide.core.requests.readlimits import ReadCut
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

# Seconds. A watch on a broken connection or an unresponsive store looks like
# one without changes; this limits how long a change of the policy can go
# unnoticed.
_WATCH_WAIT = 2.5
_FIRST_WATCH_WAIT = 0.2
_RETRY_DELAY = 0.15
# Seconds; adds a fifth to the one second after which a feed counts as lost.
_FED_POLL_INTERVAL = 0.2
_BATCH_DELAY = 0.15
_MAX_RETRY_DELAY = 0.6

# Events that are applied in one step. Some take a tenth of a millisecond.
_PART_ITEMS = 500
# Seconds. With none, the event loop would not poll.
_PART_PAUSE = 0.0005


def is_unusable(error: StoreError) -> bool:
    """Return whether the store answered, but with more than is allowed.

    Parameters
    ----------
    error : StoreError
        Error of a call.
    """
    if error.code is ErrorCode.BAD_ANSWER:
        return True
    call = error.__cause__
    cut = None if call is None else call.__cause__
    return isinstance(cut, ReadCut) and cut.bound is ReadBound.BODY


def choose_watch_delay(leading: bool, event_count: int) -> float:
    """Return how long to wait before the next watch, in seconds.

    Without a leader every host watches the store itself, and each event
    would cause a call of each host. With sixty hosts and thirty events a
    second, that is more than the store's rate limit allows. A leader doesn't
    wait, as it has to react to events at once.

    Parameters
    ----------
    leading : bool
        Whether this host leads.
    event_count : int
        Number of events that the last watch returned.
    """
    return _BATCH_DELAY if event_count and not leading else 0.0


class StoreWatcher:
    """Lists the store once in each era and watches it from there on.

    Parameters
    ----------
    store : LeaseStore
        Client that no other task uses; a watch occupies a connection.
    prefix : str
        Prefix of the keys to watch.
    deployment : DeploymentState
        State to update.
    is_fed : callable
        Returns whether the leader's feed replaces the watch.
    is_leading : callable
        Returns whether this host leads.
    """

    def __init__(
        self,
        store: LeaseStore,
        prefix: str,
        deployment: DeploymentState,
        is_fed: Callable[[], bool],
        is_leading: Callable[[], bool],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._deployment = deployment
        self._listed = False
        self._is_fed = is_fed
        self._is_leading = is_leading
        self._history_was_lost = False
        self.available = False

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the task; the stack closes the client."""
        spawn_vital(self._loop, stack)
        stack.callback(self._store.close)

    def _loop(self) -> None:
        retry_delay = _RETRY_DELAY
        while True:
            if self._listed and self._is_fed():
                gevent.sleep(_FED_POLL_INTERVAL)
                continue
            try:
                if self._sync_once():
                    retry_delay = _RETRY_DELAY
                    self._history_was_lost = False
            except HistoryLost:
                log_event(Event.HISTORY_LOST, revision=self._deployment.as_of)
                self._listed = False
                if self._history_was_lost:
                    gevent.sleep(retry_delay)
                    retry_delay = min(_MAX_RETRY_DELAY, retry_delay * 1.5)
                self._history_was_lost = True
            except StoreError as error:
                if is_unusable(error):
                    # The same watch would get the same answer again.
                    self._listed = False
                self._note_store_lost(error)
                gevent.sleep(retry_delay)
                retry_delay = min(_MAX_RETRY_DELAY, retry_delay * 1.5)

    def _sync_once(self) -> bool:
        """List or watch once; return whether it was a watch."""
        watching = self._listed
        if not self._listed:
            listing = self._store.list(self._prefix)
            self._deployment.apply_listing(listing, read_clock())
            self._listed = True
        else:
            wait = _WATCH_WAIT if self.available else _FIRST_WATCH_WAIT
            since = self._deployment.as_of
            listing = self._store.watch(self._prefix, since, wait)
            self._apply_events(listing.items)
        self._deployment.record_sync(listing.position, read_clock())
        self._note_store_reached()
        gevent.sleep(
            choose_watch_delay(self._is_leading(), len(listing.items))
        )
        return watching

    def _apply_events(self, items: list[Item]) -> None:
        """Apply the events of a watch; other tasks run between parts."""
        for start in range(0, len(items), _PART_ITEMS):
            if start:
                gevent.sleep(_PART_PAUSE)
            part = items[start : start + _PART_ITEMS]
            self._deployment.apply_items(part, read_clock())

    def _note_store_lost(self, error: StoreError) -> None:
        self._deployment.directory.note_registry_outage(read_clock())
        if self.available:
            log_event(Event.STORE_LOST, error=error)
        self.available = False

    def _note_store_reached(self) -> None:
        if not self.available:
            log_event(Event.STORE_REACHED, revision=self._deployment.as_of)
        self.available = True
