"""Writes the quarantine to the store, which survives the loss of all hosts."""

import msgspec

from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import StoreError
from sedgetide.core.history import Position
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_quarantine_key
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds between two attempts. After a failed one the store is unavailable, or
# another leader's write has not arrived here yet.
_RETRY_INTERVAL = 1.0
# Seconds between two writes that only remove something. An entry that is kept
# too long costs one trial of an innocent request after the loss of all hosts.
_REMOVAL_INTERVAL = 10.0


class QuarantineWriter:
    """Keeps the stored quarantine up to date while this host leads.

    All hosts may be lost at once while callers repeat a request that crashes
    upstreams. Without the record it took three more upstreams to quarantine
    it again, and copies ran at the same time before the first loss.

    Parameters
    ----------
    store : LeaseStore
        The leader's client of the store.
    deployment : DeploymentState
        Holds the quarantine, and the record as the store has it.
    """

    def __init__(self, store: LeaseStore, deployment: DeploymentState) -> None:
        self._store = store
        self._deployment = deployment
        self._tried_at = float("-inf")

    def run_periodic(self, term: Position, now: float) -> None:
        """Write stays and losses if they differ from those in the store.

        Parameters
        ----------
        term : Position
            Position of this host's leader record; the write fails under any
            other.
        now : float
            Current time by the host's clock.
        """
        quarantine = self._deployment.quarantine
        recorded = self._deployment.recorded_quarantine
        record = quarantine.record(now)
        if recorded.record.has_same_content(record):
            return
        covered = recorded.record.covers(record)
        pause = _REMOVAL_INTERVAL if covered else _RETRY_INTERVAL
        if now - self._tried_at < pause:
            return
        self._tried_at = now
        value = msgspec.json.encode(record)
        key = make_quarantine_key(term.era)
        expected = {make_leader_key(term.era): term, key: recorded.position}
        try:
            self._store.transact(term.era, expected, [Write(key, value)])
        except StoreError as error:
            log_event(Event.QUARANTINE_UNWRITTEN, error=error)
