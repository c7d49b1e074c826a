"""Writes the quarantine to the store, which outlives all hosts."""

import msgspec

from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import Revision
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._knowledge import LEADER_KEY
from sedgetide.daemons._knowledge import QUARANTINE_KEY
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import tell

# Seconds between two tries; the store that refused one is away, or another
# leader's write is on its way here.
_TRY_EVERY = 1.0


class StayWriter:
    """The leader's task of keeping the record of stays true.

    All hosts may be lost at once, and the callers of deadly requests come
    again: without the record it took three more upstreams to know them. One
    call each time that a stay begins or ends.

    Parameters
    ----------
    store : LeaseStore
        The leader's client.
    knowledge : Knowledge
        Has the quarantine, and what the store holds of it.
    """

    def __init__(self, store: LeaseStore, knowledge: Knowledge) -> None:
        self._store = store
        self._knowledge = knowledge
        self._tried_at = float("-inf")

    def keep(self, term: Revision, now: float) -> None:
        """Write the stays if they are others than those in the store.

        Parameters
        ----------
        term : Revision
            Of the own leader's record, under which alone it is written.
        now : float
            Own clock.
        """
        quarantine = self._knowledge.quarantine
        recorded = self._knowledge.recorded_stays
        if recorded.record.names(quarantine.list_stays(now)):
            return
        if now - self._tried_at < _TRY_EVERY:
            return
        self._tried_at = now
        value = msgspec.json.encode(quarantine.record(now))
        expected = {LEADER_KEY: term, QUARANTINE_KEY: recorded.revision}
        try:
            self._store.transact(expected, [Write(QUARANTINE_KEY, value)])
        except StoreError as error:
            tell(Event.QUARANTINE_UNWRITTEN, error=error)
