"""Leader election by a record under a lease in the store."""

from collections.abc import Callable
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
from sedgetide.core.membership.capacity import HostCapacity
from sedgetide.core.membership.capacity import SUFFICIENT_CAPACITY
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import find_election_delay
from sedgetide.core.ownership.leadership import find_path_delay
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

_MAX_JITTER = 0.4
_MAX_STORE_SILENCE = 8.0


class Election:
    """Acquires the leader's record for this host and verifies it.

    The record is kept under a lease. Renewing the lease doesn't prove that
    the record is still there, so the record is read again at intervals.

    Parameters
    ----------
    store : LeaseStore
        Client that no other task uses.
    record : LeaderRecord
        Record that identifies this process as the leader.
    leadership : Leadership
        Updated with the result of each write and read of the record.
    deployment : DeploymentState
        Current leader, as read from the store.
    durations : Durations
        Time to live of the lease and interval of verification.
    capacity : HostCapacity
        Processor time and bandwidth of the host.
    find_lost_share : callable
        Returns the share of the upstreams that the host does not reach.
    """

    def __init__(
        self,
        store: LeaseStore,
        record: LeaderRecord,
        leadership: Leadership,
        deployment: DeploymentState,
        durations: Durations,
        capacity: HostCapacity = SUFFICIENT_CAPACITY,
        find_lost_share: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._election_delay = find_election_delay(capacity)
        self._record = record
        self._leadership = leadership
        self._deployment = deployment
        self._durations = durations
        self._lease: LeaseId = NO_LEASE
        self._verified_at = float("-inf")
        self._next_try_at: float | None = None
        self._leaderless_since = float("-inf")
        self._find_lost_share = find_lost_share
        self._random = random.Random(record.incarnation)

    @property
    def is_candidate(self) -> bool:
        """Whether an attempt to become the leader is scheduled."""
        return self._next_try_at is not None

    def step(self, now: float) -> None:
        """Run for leader, or verify the record, if either is due."""
        if self._leadership.is_certainly_lost(now):
            self._step_down("proof of leadership expired")
        if self._leadership.era_ended:
            if not self._leadership.may_order(now):
                self._step_down("store restored from a backup")
            return
        if self._leadership.term != NO_POSITION:
            if now - self._verified_at >= self._durations.verify:
                self._verify()
            return
        if self._should_try(now):
            self._try_to_lead(now)

    def _should_try(self, now: float) -> bool:
        """Return whether there is no leader and the election delay is over.

        The delay is randomized so that not all hosts request a lease at the
        same time.
        """
        silent = now - self._deployment.heard_at >= _MAX_STORE_SILENCE
        if silent or not self._deployment.has_listed_era:
            self._next_try_at = None
            return False
        if self._is_own_stale_record():
            return self._next_try_at is None or now >= self._next_try_at
        if self._deployment.leader is not None:
            self._next_try_at = None
            return False
        if self._next_try_at is None:
            delay = self._random.uniform(0.0, _MAX_JITTER)
            self._leaderless_since = now
            self._next_try_at = now + self._election_delay + delay
        # The path may be lost, or be back, during the wait.
        path_delay = find_path_delay(self._find_lost_share())
        return now >= max(
            self._next_try_at, self._leaderless_since + path_delay
        )

    def _is_own_stale_record(self) -> bool:
        """Return whether the record is of an ended process of this host.

        When all hosts have been killed and restarted, the record stays until
        its lease expires, for up to 2 s in which no grant is renewed and
        keys become unavailable. This process has bound the address at which
        the process in the record received reports, so that one has ended.
        """
        leader = self._deployment.leader
        if leader is None or self._leadership.term != NO_POSITION:
            return False
        record = leader.record
        same_address = (record.host, record.link) == (
            self._record.host,
            self._record.link,
        )
        return same_address and record.incarnation != self._record.incarnation

    def _try_to_lead(self, now: float) -> None:
        self._next_try_at = now + self._random.uniform(0.5, 1.0)
        era = self._deployment.as_of.era
        key = make_leader_key(era)
        expected = NO_POSITION
        if self._is_own_stale_record():
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
            # After a restore of the store the id may be another host's.
            if self._deployment.has_listed_era:
                self._end_lease(lease)
            return
        except StoreError as error:
            log_event(Event.NOT_ELECTED, error=error)
            return
        self._lease = lease
        self._verified_at = asked_at
        self._leadership.begin(position, asked_at, read_clock())
        log_event(Event.LEADING, term=position)

    def _end_lease(self, lease: LeaseId) -> None:
        with contextlib.suppress(StoreError):
            self._store.end_lease(lease)

    def _verify(self) -> None:
        """Renew the lease and read this host's record.

        Only the read proves leadership: the store may remove the record and
        still renew the lease.
        """
        asked_at = read_clock()
        key = make_leader_key(self._leadership.term.era)
        try:
            self._store.renew_lease(self._lease)
            item = self._store.read(key)
        except LeaseEnded:
            if not self._leadership.era_ended:
                self._step_down("lease expired")
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
            self._step_down("record removed")

    def _step_down(self, reason: str) -> None:
        self._leadership.end()
        self._lease = NO_LEASE
        log_event(Event.LEADING_NO_MORE, reason=reason)

    def resign(self, reason: str = "resigned") -> None:
        """Step down and end the lease, so that no host waits for it."""
        if self._leadership.term == NO_POSITION:
            return
        lease = NO_LEASE if self._leadership.era_ended else self._lease
        self._step_down(reason)
        # If it stands again, it waits like any other host.
        self._next_try_at = None
        if lease != NO_LEASE:
            self._end_lease(lease)

    def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
