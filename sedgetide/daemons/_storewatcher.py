"""The task that keeps a host's knowledge up to date."""

from collections.abc import Callable
import contextlib

import gevent

from sedgetide.backends.leasestore import LeaseStore
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import StoreError
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

# A watch whose connection or store has gone silent looks like one without
# news; this bounds how long a change of the policy can stay unseen then.
_WATCH_WAIT = 2.5
_FIRST_WATCH_WAIT = 0.2
_RETRY_DELAY = 0.15
# Seconds; a feed counts as silent after one, so this is a fifth on top.
_FED_POLL_INTERVAL = 0.2
_BATCH_DELAY = 0.15
_MAX_RETRY_DELAY = 0.6


def choose_watch_delay(leading: bool, news: int) -> float:
    """Return how long to wait before the next watch, in seconds.

    While nobody leads, every host watches for itself, and each event of
    each upstream would be a call of each host: with sixty hosts and thirty
    events a second more than the store grants. The leader acts on what it
    sees and waits for nothing.

    Parameters
    ----------
    leading : bool
        Whether this host leads.
    news : int
        Number of events that the last watch brought.
    """
    return _BATCH_DELAY if news and not leading else 0.0


class StoreWatcher:
    """Lists the store once in each era and watches it from there.

    Parameters
    ----------
    store : LeaseStore
        Its own client; a watch occupies a connection.
    prefix : str
        Beginning of all keys to follow.
    knowledge : DeploymentState
        What is kept up to date.
    is_fed : callable
        Whether the leader passes on all that the store tells.
    is_leading : callable
        Whether this host leads.
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
        """Begin to follow."""
        spawn_vital(self._loop, stack)
        stack.callback(self._store.close)

    def _loop(self) -> None:
        pause = _RETRY_DELAY
        while True:
            if self._listed and self._is_fed():
                gevent.sleep(_FED_POLL_INTERVAL)
                continue
            try:
                if self._sync_once():
                    pause = _RETRY_DELAY
                    self._history_was_lost = False
            except HistoryLost:
                log_event(Event.HISTORY_LOST, revision=self._deployment.as_of)
                self._listed = False
                if self._history_was_lost:
                    gevent.sleep(pause)
                    pause = min(_MAX_RETRY_DELAY, pause * 1.5)
                self._history_was_lost = True
            except StoreError as error:
                self._note_store_lost(error)
                gevent.sleep(pause)
                pause = min(_MAX_RETRY_DELAY, pause * 1.5)

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
            self._deployment.apply_items(listing.items, read_clock())
        self._deployment.record_sync(listing.position, read_clock())
        self._note_store_reached()
        gevent.sleep(
            choose_watch_delay(self._is_leading(), len(listing.items))
        )
        return watching

    def _note_store_lost(self, error: StoreError) -> None:
        self._deployment.directory.note_registry_outage(read_clock())
        if self.available:
            log_event(Event.STORE_LOST, error=error)
        self.available = False

    def _note_store_reached(self) -> None:
        if not self.available:
            log_event(Event.STORE_REACHED, revision=self._deployment.as_of)
        self.available = True
