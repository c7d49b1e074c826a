"""Writes the quarantine to the store, which outlives all hosts."""

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

# Seconds between two tries; the store that refused one is away, or another
# leader's write is on its way here.
_TRY_EVERY = 1.0
# Seconds between two writes that only drop something. What is left there too
# long costs one run of an innocent request after the loss of all hosts.
_REMOVED_EVERY = 10.0


class QuarantineWriter:
    """The leader's task of keeping the record of the quarantine true.

    All hosts may be lost at once, and the callers of deadly requests come
    again: without the record it took three more upstreams to know them, and
    the copies under the first of these ran at once.

    Parameters
    ----------
    store : LeaseStore
        The leader's client.
    knowledge : DeploymentState
        Has the quarantine, and what the store holds of it.
    """

    def __init__(self, store: LeaseStore, deployment: DeploymentState) -> None:
        self._store = store
        self._deployment = deployment
        self._tried_at = float("-inf")

    def run_periodic(self, term: Position, now: float) -> None:
        """Write stays and losses if they are others than in the store.

        Parameters
        ----------
        term : Position
            Of the own leader's record, under which alone it is written.
        now : float
            Own clock.
        """
        quarantine = self._deployment.quarantine
        recorded = self._deployment.recorded_quarantine
        record = quarantine.record(now)
        if recorded.record.has_same_content(record):
            return
        covered = recorded.record.covers(record)
        pause = _REMOVED_EVERY if covered else _TRY_EVERY
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
