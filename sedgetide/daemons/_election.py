"""Becoming the leader, and proving again and again to be it."""

import contextlib
import random

import msgspec

from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import LeaseEnded
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.history import NO_POSITION
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import find_election_delay
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

_LONGEST_DELAY = 0.4
_FRESH = 8.0


class Election:
    """Holds the leader's record for this host, when it can.

    Parameters
    ----------
    store : LeaseStore
        Its own client.
    record : LeaderRecord
        What is written.
    leadership : Leadership
        Whether this host leads.
    knowledge : DeploymentState
        Who leads, as the store told last.
    durations : Durations
        Life of the lease.
    processors : float
        Cores' worth of time that the host has.
    """

    def __init__(
        self,
        store: LeaseStore,
        record: LeaderRecord,
        leadership: Leadership,
        deployment: DeploymentState,
        durations: Durations,
        processors: float = 1.0,
    ) -> None:
        self._store = store
        self._yield = find_election_delay(processors)
        self._record = record
        self._leadership = leadership
        self._deployment = deployment
        self._durations = durations
        self._lease: LeaseId = NO_LEASE
        self._verified_at = float("-inf")
        self._try_at: float | None = None
        self._random = random.Random(record.incarnation)

    @property
    def waiting(self) -> bool:
        """Whether it is about to stand, at a time of its own."""
        return self._try_at is not None

    def step(self, now: float) -> None:
        """Do what is due: stand, or prove to be leader still."""
        if self._leadership.is_certainly_lost(now):
            self._end("proof too old")
        if self._leadership.era_ended:
            if not self._leadership.may_order(now):
                self._end("the store has come back from a copy")
            return
        if self._leadership.term != NO_POSITION:
            if now - self._verified_at >= self._durations.verify:
                self._verify()
            return
        if self._is_vacant(now):
            self._stand(now)

    def _is_vacant(self, now: float) -> bool:
        """Tell whether nobody leads and it is this host's turn to try.

        The delay differs from host to host, so that not all ask for a
        lease at once.
        """
        silent = now - self._deployment.heard_at >= _FRESH
        if silent or not self._deployment.has_listed_era:
            self._try_at = None
            return False
        if self._has_former_record():
            return self._try_at is None or now >= self._try_at
        if self._deployment.leader is not None:
            self._try_at = None
            return False
        if self._try_at is None:
            delay = self._random.uniform(0.0, _LONGEST_DELAY)
            self._try_at = now + self._yield + delay
        return now >= self._try_at

    def _has_former_record(self) -> bool:
        """Tell whether the leader is a process of this host that has ended.

        After all hosts were killed and are back, the record stays for the
        rest of its lease, up to 2 s in which no grant is renewed and keys
        go dark. This process has bound the address at which the one in the
        record took its reports, so that one is gone.
        """
        leader = self._deployment.leader
        if leader is None or self._leadership.term != NO_POSITION:
            return False
        record = leader.record
        same_place = (record.host, record.link) == (
            self._record.host,
            self._record.link,
        )
        return same_place and record.incarnation != self._record.incarnation

    def _stand(self, now: float) -> None:
        self._try_at = now + self._random.uniform(0.5, 1.0)
        era = self._deployment.as_of.era
        key = make_leader_key(era)
        expected = NO_POSITION
        if self._has_former_record():
            expected = self._deployment.leader.position
        try:
            lease = self._store.open_lease(self._durations.lease)
            asked_at = read_clock()
            position = self._store.transact(
                era,
                {key: expected},
                [Write(key, msgspec.json.encode(self._record), lease)],
            )
        except StoreConflict:
            # Ids of leases are given out again in a later era.
            if self._deployment.has_listed_era:
                self._drop_lease(lease)
            return
        except StoreError as error:
            log_event(Event.NOT_ELECTED, error=error)
            return
        self._lease = lease
        self._verified_at = asked_at
        self._leadership.begin(position, asked_at, read_clock())
        log_event(Event.LEADING, term=position)

    def _drop_lease(self, lease: LeaseId) -> None:
        with contextlib.suppress(StoreError):
            self._store.end_lease(lease)

    def _verify(self) -> None:
        """Renew the lease and read the own record.

        The read is the proof: the store may have taken the record away
        and renew the lease all the same.
        """
        asked_at = read_clock()
        key = make_leader_key(self._leadership.term.era)
        try:
            self._store.renew_lease(self._lease)
            item = self._store.read(key)
        except LeaseEnded:
            if not self._leadership.era_ended:
                self._end("lease ended")
            return
        except StoreError as error:
            age = read_clock() - asked_at
            log_event(Event.NOT_VERIFIED, error=error, age=f"{age:.2f}")
            self._verified_at = asked_at - self._durations.verify / 2
            return
        self._verified_at = asked_at
        if self._leadership.era_ended:
            return
        position = NO_POSITION if item is None else item.position
        if not self._leadership.note_read(position, asked_at):
            self._end("record taken away")

    def _end(self, reason: str) -> None:
        self._leadership.end()
        self._lease = NO_LEASE
        log_event(Event.LEADING_NO_MORE, reason=reason)

    def resign(self) -> None:
        """Stop to lead, so that another host need not wait for the lease."""
        if self._leadership.term == NO_POSITION:
            return
        lease = NO_LEASE if self._leadership.era_ended else self._lease
        self._end("resigned")
        if lease != NO_LEASE:
            self._drop_lease(lease)

    def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
