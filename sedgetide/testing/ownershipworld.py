"""Randomized simulation of range ownership under faults, in simulated time.

Simulated hosts stand for election, lead, move ranges and renew grants with
the production classes (:class:`Leadership`, :class:`Term`,
:class:`RangeTable`). Injected faults: the store is reachable from some hosts
only, drops the leader's record or applies writes late; hosts pause or lose
all state; upstreams are unreachable, refuse connections from some hosts,
apply orders late or have slow clocks.
After each step it is checked that no key is held by two upstreams, and that
each new holder of a key has a higher fence than all holders before it.
"""

import collections
from collections.abc import Callable
import random

import msgspec

from sedgetide.backends.leasestore import Write
from sedgetide.coding.ranges import decode_ranges
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.errors import RuleError
from sedgetide.core.errors import StoreError
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Grant
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_ranges_key
from sedgetide.daemons._recordkeys import parse_key
from sedgetide.daemons._recordkeys import RecordKey
from sedgetide.testing.leasestore import LeaseStoreModel
from sedgetide.testing.leasestore import StoreCopy
from sedgetide.testing.ownershipchecks import FenceCheck
from sedgetide.testing.ownershipfaults import Faults
from sedgetide.testing.ownershiphosts import NEVER
from sedgetide.testing.ownershiphosts import PathState
from sedgetide.testing.ownershiphosts import STEP
from sedgetide.testing.ownershiphosts import WorldHost
from sedgetide.testing.rangeholder import RangeHolder

_SERVICE = ServiceName("maps")
SLOW_CLOCK = 1.02
_PROBES = [Key(LAST_KEY * index // 24) for index in range(25)]
# One copy is made in each step, so the oldest one is 8 s old.
_MAX_COPIES = 80


class _DelayedAction(msgspec.Struct):
    """An action that is carried out when the clock reaches ``due``."""

    due: float
    act: Callable[[], None]


class OwnershipWorld:
    """Simulation of hosts, upstreams and the store with injected faults.

    Parameters
    ----------
    seed : int
        Seed of the random number generator behind all events.
    hosts, upstreams : int
        Number of hosts and of upstreams.
    durations : Durations
        Timing parameters that single ownership depends on.
    with_restores : bool
        Whether the store is also restored from older copies.
    with_refusals : bool
        Whether hosts are also refused by upstreams that run.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        upstreams: int = 3,
        durations: Durations | None = None,
        with_restores: bool = False,
        with_refusals: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.durations = durations or Durations()
        self.store = LeaseStoreModel()
        self.hosts = [
            self._create_host(f"h-{index}") for index in range(hosts)
        ]
        self.holders = {
            IncarnationName(f"u-{index}"): RangeHolder(f"u-{index}")
            for index in range(upstreams)
        }
        self.problems: list[str] = []
        self.moves_completed = 0
        self._fence_check = FenceCheck(_PROBES)
        self._delayed: list[_DelayedAction] = []
        self.copies: collections.deque[tuple[float, StoreCopy]] = (
            collections.deque(maxlen=_MAX_COPIES)
        )
        self._faults = self._create_faults(with_restores, with_refusals)

    def _create_faults(
        self, with_restores: bool, with_refusals: bool
    ) -> Faults:
        return Faults(self, with_restores, with_refusals)

    def _create_host(self, name: str) -> WorldHost:
        return WorldHost(name, self.durations)

    def _list_holders(self) -> dict[IncarnationName, RangeHolder]:
        """Return the holders of all upstreams that run."""
        return self.holders

    def count_recoveries(self) -> collections.Counter[str]:
        """Return the number of recoveries by what they were based on."""
        return collections.Counter()

    # Time

    def run(self, seconds: float) -> None:
        """Advance the simulation; stop at the first violation."""
        end = self.now + seconds
        while self.now < end and not self.problems:
            self.now += STEP
            self.store.expire(self.now)
            self.copies.append((self.now, self.store.copy()))
            self._run_delayed_actions()
            self._faults.start_random()
            self._step_upstreams()
            for host in self.hosts:
                if self.now >= host.paused_until:
                    self._step(host)
            self._check_ownership()

    def _run_delayed_actions(self) -> None:
        due = [action for action in self._delayed if action.due <= self.now]
        self._delayed = [
            action for action in self._delayed if action.due > self.now
        ]
        for action in due:
            action.act()

    def _step_upstreams(self) -> None:
        """Advance the upstreams; fixed ones do nothing by themselves."""

    def _check_ownership(self) -> None:
        holders = self._list_holders()
        for key in _PROBES:
            holding = [
                name
                for name, holder in holders.items()
                if holder.find_fence(key, self.now) is not None
            ]
            if len(holding) > 1:
                self.problems.append(
                    f"{self.now:.1f}: key {key} is held by {holding}"
                )
        self.problems += [
            f"{self.now:.1f}: {problem}"
            for problem in self._fence_check.check(holders.values(), self.now)
        ]

    def pick_upstream(self) -> str:
        """Return the upstream of which a fault closes the paths."""
        return self.random.choice(list(self.holders))

    # One host

    def _step(self, host: WorldHost) -> None:
        reached = self.now >= host.store_unreachable_until
        if reached and self.random.random() < host.read_probability:
            self._read_tables(host)
        leadership = host.leadership
        if leadership.era_ended and not leadership.may_order(self.now):
            leadership.end()
        if leadership.term == NO_POSITION:
            vacant = self.store.find(make_leader_key(self.store.era)) is None
            if reached and vacant:
                self._stand_for_election(host)
            return
        due = self.now - host.verified_at >= self.durations.verify
        if reached and due and not leadership.era_ended:
            self._verify(host)
        if leadership.may_order(self.now):
            self._lead(host)

    def _read_tables(self, host: WorldHost) -> None:
        """Read all tables in the store.

        A table of an earlier era does not prove ownership; it is only what
        recovery starts from.
        """
        host.note_era(self.store.era, self.now)
        for item in self.store.list("").items:
            name = parse_key(item.key)
            if name is not None:
                written_at = Position(name.era, item.position.revision)
                self._read_record(host, name, item.value, written_at)

    def _read_record(
        self,
        host: WorldHost,
        name: RecordKey,
        value: bytes,
        written_at: Position,
    ) -> None:
        if name.service is not None:
            host.adopt(decode_ranges(value), written_at, self.now)

    def _stand_for_election(self, host: WorldHost) -> None:
        if self.random.random() < 0.7:
            return
        key = make_leader_key(self.store.era)
        lease = self.store.open_lease(self.durations.lease, self.now)
        position = self.store.transact(
            {key: NO_REVISION},
            [Write(key, host.name.encode(), lease)],
        )
        host.lease = lease
        host.verified_at = self.now
        host.leadership.begin(position, self.now, self.now)
        host.term = Term(host.leadership, self.durations)
        host.renewed_at.clear()
        self._begin_recovery(host)
        self._read_tables(host)

    def _begin_recovery(self, host: WorldHost) -> None:
        host.recovery = Recovery(self.now, host.term.inherited_until)

    def _verify(self, host: WorldHost) -> None:
        host.verified_at = self.now
        host.note_era(self.store.era, self.now)
        if host.leadership.era_ended:
            return
        try:
            self.store.renew_lease(host.lease, self.now)
        except StoreError:
            host.leadership.end()
            return
        item = self.store.find(make_leader_key(self.store.era))
        position = NO_POSITION if item is None else item.position
        asked_at = self.now
        leadership = host.leadership
        # The answer arrives up to 0.4 s later.
        self.delay(
            self.random.uniform(0.0, 0.4),
            lambda: leadership.note_read(position, asked_at),
        )

    def delay(self, seconds: float, act: Callable[[], None]) -> None:
        """Carry out an action some seconds later."""
        self._delayed.append(_DelayedAction(self.now + seconds, act))

    def _lead(self, host: WorldHost) -> None:
        if not host.owns_table() and not self._recover(host):
            return
        if not host.leadership.era_ended:
            self._plan(host)
        for tenure in host.table.list_moving():
            self._move(host, tenure)
        for name in self._list_renewed(host):
            last = host.renewed_at.get(name, -NEVER)
            if self.now - last >= self.durations.renew:
                host.renewed_at[name] = self.now
                for tenure in host.table.list_owned(name):
                    self._grant(host, name, tenure)

    def _list_renewed(self, _: WorldHost) -> list[IncarnationName]:
        """Return the upstreams of which a leader renews the grants."""
        return list(self.holders)

    def _list_candidates(self, _: WorldHost) -> list[IncarnationName]:
        """Return the upstreams that may get keys."""
        return sorted(self.holders)

    def _recover(self, host: WorldHost) -> bool:
        """Write the first table of an era; return whether it is written."""
        if host.leadership.era_ended:
            return False
        era = host.leadership.term.era
        if era == FIRST_ERA:
            self._plan(host)
            return host.owns_table()
        first = find_first_fence(era)
        recovery = host.recovery
        for name in recovery.list_pending_releases(self.holders, self.now):
            state = host.paths.find_state(name, self.now)
            if self.is_proof_of_end(state):
                recovery.note_released(name)
            if state is PathState.OPEN and self.random.random() < 0.4:
                self._release_all(host, name, Fence(first + 1))
        if recovery.is_over(self.holders, self.now):
            for name in recovery.list_released():
                host.term.note_release(name, ALL_KEYS)
            if host.table.tenures:
                table = host.table.restart(first, list(self.holders))
            else:
                names = [(name, 1) for name in sorted(self.holders)]
                table = RangeTable(first).assign_first(names)
            self._write(host, table)
        return host.owns_table()

    def is_proof_of_end(self, _: PathState) -> bool:
        """Return whether a path shows that the upstream has ended.

        No state does: the path from this host alone may be lost.
        """
        return False

    def _release_all(
        self, host: WorldHost, name: IncarnationName, fence: Fence
    ) -> None:
        holder = self.holders[name]
        if self.random.random() < 0.15:
            self.delay(
                self.random.uniform(0.5, 9.0),
                lambda: holder.release(ALL_KEYS, fence),
            )
            return
        holder.release(ALL_KEYS, fence)
        if self.random.random() < 0.9:
            host.recovery.note_released(name)

    def _plan(self, host: WorldHost) -> None:
        candidates = self._list_candidates(host)
        if not candidates:
            return
        if not host.table.tenures:
            names = [(name, 1) for name in candidates]
            self._write(host, host.table.assign_first(names))
        elif self.random.random() < 0.15:
            self._begin_random_move(host, candidates)

    def _begin_random_move(
        self, host: WorldHost, candidates: list[IncarnationName]
    ) -> None:
        low = Key(self.random.randrange(LAST_KEY))
        tenure = host.table.find(low)
        high = Key(min(tenure.high, low + self.random.randrange(9000)))
        goal = self.random.choice(candidates)
        try:
            moved = host.table.begin([Move(KeyRange(low, high), goal)])
        except RuleError:
            return
        self._write(host, moved.merge())

    def _write(self, host: WorldHost, table: RangeTable) -> None:
        """Write a table; the answer may be lost or the write delayed."""
        if self.now < host.store_unreachable_until:
            return
        term = host.leadership.term
        expected = host.position if host.owns_table() else NO_POSITION
        leader = make_leader_key(term.era)
        key = make_ranges_key(term.era, _SERVICE)

        def write() -> None:
            try:
                position = self.store.transact(
                    {leader: term.revision, key: expected.revision},
                    [Write(key, encode_ranges(table))],
                )
            except StoreError:
                return
            if not lost and position.era == term.era:
                host.adopt(table, position, self.now)

        lost = self.random.random() < 0.1
        if self.random.random() < 0.1:
            lost = True
            self.delay(self.random.uniform(0.5, 6.0), write)
        else:
            write()

    # Orders

    def _move(self, host: WorldHost, tenure: Tenure) -> None:
        if self.is_hold_over(host, tenure):
            self._complete(host, tenure)
        elif self.random.random() < 0.4:
            self._release(host, tenure)

    def is_hold_over(self, host: WorldHost, tenure: Tenure) -> bool:
        """Return whether the owner of a moving range has stopped."""
        since = host.observations.find_known_since(tenure)
        return host.term.has_ended(tenure.owner, tenure.keys, since, self.now)

    def _release(self, host: WorldHost, tenure: Tenure) -> None:
        state = host.paths.find_state(tenure.owner, self.now)
        if state is not PathState.OPEN:
            return
        holder = self.holders[tenure.owner]
        if self.random.random() < 0.15:
            self.delay(
                self.random.uniform(0.5, 9.0),
                lambda: holder.release(tenure.keys, tenure.fence),
            )
            return
        holder.release(tenure.keys, tenure.fence)
        if self.random.random() < 0.9:
            host.term.note_release(tenure.owner, tenure.keys)

    def _complete(self, host: WorldHost, tenure: Tenure) -> None:
        self._grant(host, tenure.successor, tenure)
        done = host.table.complete([tenure])
        if done != host.table:
            self.moves_completed += 1
            self._write(host, done)

    def _grant(
        self, host: WorldHost, name: IncarnationName, tenure: Tenure
    ) -> None:
        term = host.term
        grant = term.prepare_grant(name, tenure.keys, self.now)
        if grant is None:
            return
        if host.paths.find_state(name, self.now) is not PathState.OPEN:
            term.note_arrival(grant, self.now)
            return
        self.delay(
            self.random.choice((0.0, 0.0, 0.0, 0.3, 0.9)),
            lambda: self._deliver_grant(term, name, tenure, grant),
        )

    def _deliver_grant(
        self,
        term: Term,
        name: IncarnationName,
        tenure: Tenure,
        grant: Grant,
    ) -> None:
        holder = self.holders[name]
        arrived_at = self.now
        life = grant.life * SLOW_CLOCK

        def apply_grant() -> None:
            holder.grant(tenure.keys, tenure.fence, life, arrived_at)

        if self.random.random() < 0.15:
            self.delay(self.random.uniform(0.5, 9.0), apply_grant)
        else:
            apply_grant()
        term.note_arrival(grant, arrived_at)
