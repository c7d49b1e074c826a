"""Simulation of keepers, upstreams and a store, without sockets.

The decision logic is that of the daemons. The I/O of their tasks is replaced
by direct calls, which fail during a network cut, a pause or an outage. Time is
simulated.
"""

from collections.abc import Callable
import enum
import uuid

import msgspec

from sedgetide.core.configuration.records import build_assignment_key
from sedgetide.core.configuration.records import CONFIGURATION_KEY
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.datacentre import AssignmentChange
from sedgetide.core.membership.datacentre import DataCentreView
from sedgetide.core.membership.liveness import Liveness
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.controlcalls import ControlAnswer
from sedgetide.core.ownership.controlcalls import ControlCall
from sedgetide.core.ownership.controlcalls import ControlCallKind
from sedgetide.core.ownership.grants import Token
from sedgetide.core.ownership.leasing import UpstreamLease
from sedgetide.core.requests.operations import OperationLog
from sedgetide.core.timing import Timing
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.storemodel import StoreModel
from sedgetide.testing.upstreammodel import UpstreamModel

TICK = 0.05
DATA_CENTRE = DataCentre("one")
SERVICE = ServiceName("s")
KEY = build_assignment_key(DATA_CENTRE)
STORE = "store"
WALL_CLOCK_OFFSET = 1_700_000_000.0
_OPERATION_WINDOW = 600.0
_MAX_OPERATIONS = 10_000
# Clocks of hosts in one data centre; operators must keep them this close.
_CLOCK_SKEW = 0.1


class ProcessState(enum.Enum):
    """State of a simulated process."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


class Clock(msgspec.Struct):
    """A monotonic clock with its own offset and rate."""

    offset: float = 0.0
    rate: float = 1.0

    def read(self, now: float) -> float:
        """Return this clock's reading at a simulated time."""
        return self.offset + now * self.rate


class FakeUpstream:
    """An upstream whose socket buffer outlasts a pause.

    Calls that arrive during the pause are handled when it resumes.
    """

    def __init__(self, name: str, checks: bool, clock: Clock) -> None:
        self.name = UpstreamName(name)
        self.state = ProcessState.RUNNING
        self.clock = clock
        self.checks = checks
        self.buffer: list[Callable[[float], object]] = []
        self.past_models: list[UpstreamModel] = []
        self.model = self._make_model()

    def _make_model(self) -> UpstreamModel:
        return UpstreamModel(self.name, uuid.uuid4().hex, self.checks, 4)

    def restart(self) -> None:
        """Start a new process without state."""
        self.past_models.append(self.model)
        self.model = self._make_model()
        self.buffer.clear()
        self.state = ProcessState.RUNNING

    def resume(self, now: float) -> None:
        """Continue after a pause, and handle the buffered calls."""
        self.state = ProcessState.RUNNING
        buffer, self.buffer = self.buffer, []
        for call in buffer:
            call(now)

    def handle_control_call(
        self, call: ControlCall, orderer: str, now: float, life: float
    ):
        """Handle a control call; return the fields of the answer."""
        clock = self.clock.read(now)
        previous, held = self.model.orderer, self.model.measure_held(clock)
        refused: list[ShardKey] = []
        former = call.token is not None and (
            call.token.incarnation != self.model.incarnation
        )
        if call.kind is ControlCallKind.GRANT and former:
            # It was to be sent on a connection to the former process.
            refused = list(call.shards)
        elif call.kind is ControlCallKind.GRANT:
            previous, refused = self.model.grant(
                orderer, call.token.stamp, life, call.shards, clock
            )
        elif call.kind is ControlCallKind.RELEASE:
            refused = self.model.release(call.shards)
        stamp = self.model.issue_stamp(clock)
        return stamp, previous, held, frozenset(refused)


class FakeKeeper:
    """The decision logic of one keeper and the state of its tasks."""

    def __init__(self, host: str, clock: Clock, world: "World") -> None:
        self.host = HostName(host)
        self.link = LinkAddress(f"link-{host}")
        self.clock = clock
        self.world = world
        self.state = ProcessState.RUNNING
        self.start()

    def start(self) -> None:
        """Start as a new process without state."""
        now = self.clock.read(self.world.now)
        self.state = ProcessState.RUNNING
        self.incarnation = uuid.uuid4().hex
        self.liveness = Liveness(self.world.timing.silence)
        self.view = DataCentreView(
            self.host,
            DATA_CENTRE,
            Member(self.link, ""),
            self.world.timing,
            self.liveness,
            now,
        )
        self.cache = RecordCache()
        self.leases: dict[UpstreamName, UpstreamLease] = {}
        self.logs: dict[UpstreamName, OperationLog] = {}
        self.delayed_calls: list[tuple[UpstreamName, ControlCall, float]] = []
        self.delayed_change: AssignmentChange | None = None
        self.pause_at_write = False

    @property
    def orderer(self) -> str:
        """Host and incarnation by which upstreams identify this process."""
        return f"{self.host}/{self.incarnation}"

    @property
    def configuration_revision(self) -> Revision:
        """Revision of the configuration that this keeper applies."""
        return self.cache.find_revision(CONFIGURATION_KEY)

    def pause(self) -> None:
        """Pause after choosing the next control calls, before sending them."""
        now = self.clock.read(self.world.now)
        self.state = ProcessState.PAUSED
        self.delayed_calls = [
            (name, lease.next_call(now), now)
            for name, lease in self.leases.items()
        ]

    def resume(self) -> None:
        """Continue after a pause, and send the delayed calls and change."""
        self.state = ProcessState.RUNNING
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        for name, call, decided_at in delayed_calls:
            self.send(name, call, decided_at)
        change, self.delayed_change = self.delayed_change, None
        if change is not None:
            self._write_change(change)

    def apply_assignment(
        self, assignment: Assignment, revision: Revision
    ) -> None:
        """Apply an assignment from the store or a peer."""
        self.view.apply_assignment(assignment, revision)

    def apply_configuration(
        self, configuration: Text, revision: Revision
    ) -> None:
        """Apply a configuration unless a newer one is known."""
        if self.cache.apply(Record(CONFIGURATION_KEY, revision, b"")):
            self.view.apply_configuration(configuration)

    def tick(self) -> None:
        """Run one iteration of each loop of the daemon."""
        now = self.clock.read(self.world.now)
        self._sync_with_peers(now)
        if self.view.is_watching(now):
            self._read_store(now)
        authorization = self.view.renew(now)
        self._update_leases(now)
        for name, lease in list(self.leases.items()):
            lease.update(authorization)
            for _ in range(2):
                call = lease.next_call(now)
                answered = self.send(name, call, now)
                kind = lease.next_call(now).kind
                if not answered or kind is call.kind:
                    break
        self._send_reports(now)
        change = self.view.plan(now, ChangeId(uuid.uuid4().hex))
        if change is not None:
            self._write_change(change)

    def _sync_with_peers(self, now: float) -> None:
        for peer in self.world.list_reachable_keepers(self.host):
            member_report = peer.view.make_member_report(
                peer.clock.read(self.world.now)
            )
            self.liveness.note_answer(peer.link, now, peer.view.leaving)
            self.view.note_member_report(peer.host, now, member_report, now)
            peer.view.note_joiner(
                self.host,
                Member(self.link, ""),
                peer.clock.read(self.world.now),
            )
            self.apply_assignment(peer.view.assignment, peer.view.revision)
            if peer.view.text is not None:
                self.apply_configuration(
                    peer.view.text, peer.configuration_revision
                )

    def _read_store(self, now: float) -> None:
        self.view.store_unavailable = not self.world.can_reach_store(self.host)
        if self.view.store_unavailable:
            return
        assignment, revision = self.world.read_assignment()
        if revision:
            self.apply_assignment(assignment, revision)
        self.view.authority.note_store(now, revision)
        if self.world.configuration_revision:
            self.apply_configuration(
                self.world.configuration, self.world.configuration_revision
            )

    def _update_leases(self, now: float) -> None:
        wanted = self.view.list_kept(now)
        for name in list(self.leases):
            if name not in wanted:
                del self.leases[name]
                del self.logs[name]
        for name, (service, _) in wanted.items():
            if name not in self.leases:
                self._start_lease(name, service, now)

    def _start_lease(
        self, name: UpstreamName, service: Service, now: float
    ) -> None:
        self.leases[name] = UpstreamLease(
            name,
            self.orderer,
            service.checks_orders,
            self.world.timing,
            lambda orderer: self.view.outranks(
                orderer, name, self.clock.read(self.world.now)
            ),
            now,
        )
        self.logs[name] = OperationLog(
            _OPERATION_WINDOW, _MAX_OPERATIONS, _CLOCK_SKEW
        )

    def send(
        self, name: UpstreamName, call: ControlCall, asked_at: float
    ) -> bool:
        """Make a control call; return whether it was answered."""
        lease = self.leases[name]
        now = self.clock.read(self.world.now)
        if self.world.check_before_send and now >= call.not_after:
            return False
        upstream = self.world.upstreams[name]
        life = self.world.timing.grant_life
        if not self.world.is_connected(self.host, name):
            self._note_failed_call(name, call, now)
            return False
        if upstream.state is ProcessState.PAUSED:
            upstream.buffer.append(
                lambda at: upstream.handle_control_call(
                    call, self.orderer, at, life
                )
            )
            self._note_failed_call(name, call, now)
            return False
        if upstream.state is ProcessState.DEAD:
            lease.note_failure(now)
            return False
        found = upstream.handle_control_call(
            call, self.orderer, self.world.now, life
        )
        stamp, previous, held, refused = found
        token = Token(stamp, asked_at, now, upstream.model.incarnation)
        answer = ControlAnswer(token, previous, held, refused)
        log = self.logs[name]
        if lease.note_answer(call, answer):
            log.end_tenures()
        if call.kind is ControlCallKind.GRANT:
            for key, epoch in call.shards.items():
                if key not in refused:
                    log.begin_tenure(key, epoch, self.world.wall_clock)
        return True

    def _note_failed_call(
        self, name: UpstreamName, call: ControlCall, now: float
    ) -> None:
        """Record that a call that was sent got no answer."""
        if self.leases[name].note_failure(now, call):
            self.logs[name].end_tenures()

    def _send_reports(self, now: float) -> None:
        assigner = self.view.find_assigner(now)
        if assigner is None:
            return
        peer = self.world.keepers[assigner]
        if peer is not self and not self.world.can_reach_keeper(
            self.host, assigner
        ):
            return
        at = peer.clock.read(self.world.now)
        for lease in self.leases.values():
            if lease.needs_report():
                peer.view.note_report(lease.make_report(), at)

    def _write_change(self, change: AssignmentChange) -> None:
        if self.pause_at_write:
            self.pause_at_write = False
            self.pause()
            self.delayed_change = change
            return
        if not self.world.can_reach_store(self.host):
            self.view.store_unavailable = True
            return
        revision = self.world.swap(change.assignment, change.expected)
        if revision is None or self.world.store_fault is StoreFault.LOST_REPLY:
            return
        self.apply_assignment(change.assignment, revision)


class World:
    """A simulated data centre with its store, and the simulated time.

    Parameters
    ----------
    configuration : Text
        Initial configuration; its revision is 1.
    keepers : int
        Number of keepers.
    checks_orders : bool
        Whether upstreams refuse stale orders.
    """

    check_before_send = True

    def __init__(
        self, configuration: Text, keepers: int = 3, checks_orders: bool = True
    ) -> None:
        self.now = 1000.0
        self.timing = Timing()
        self.configuration = configuration
        self.configuration_revision = Revision(1)
        self.store = StoreModel()
        self.store_fault = StoreFault.NONE
        self.cuts: set[frozenset[str]] = set()
        self.assignment = EMPTY_ASSIGNMENT
        self.keepers = {
            HostName(f"k{n}"): FakeKeeper(
                f"k{n}", Clock(offset=100.0 * n), self
            )
            for n in range(1, keepers + 1)
        }
        self.upstreams = {
            UpstreamName(upstream.name): FakeUpstream(
                upstream.name, checks_orders, Clock(offset=7.0)
            )
            for service in configuration.services
            for upstream in service.upstreams
        }

    @property
    def wall_clock(self) -> float:
        """Simulated Unix time."""
        return WALL_CLOCK_OFFSET + self.now

    # Network

    def cut(self, one: str, other: str) -> None:
        """Cut the network between two processes."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all network cuts."""
        self.cuts.clear()

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether the network between two processes is not cut."""
        return frozenset((one, other)) not in self.cuts

    def can_reach_store(self, name: str) -> bool:
        """Return whether the store answers calls of a process."""
        if self.store_fault is StoreFault.DOWN:
            return False
        return self.is_connected(name, STORE)

    def can_reach_keeper(self, one: str, other: str) -> bool:
        """Return whether a keeper runs and a process is connected to it."""
        peer = self.keepers[HostName(other)]
        return peer.state is ProcessState.RUNNING and self.is_connected(
            one, other
        )

    def list_reachable_keepers(self, host: str) -> list[FakeKeeper]:
        """Return the other keepers that a host can reach."""
        return [
            peer
            for name, peer in self.keepers.items()
            if name != host and self.can_reach_keeper(host, name)
        ]

    # The store

    def read_assignment(self) -> tuple[Assignment, Revision]:
        """Return the assignment in the store and its revision."""
        record = self.store.read(KEY)
        revision = NO_REVISION if record is None else record.revision
        return self.assignment, revision

    def swap(
        self, assignment: Assignment, expected: Revision
    ) -> Revision | None:
        """Write an assignment by compare-and-swap; return None on conflict."""
        result = self.store.swap(KEY, b"", expected)
        if not result.swapped:
            return None
        self.assignment = assignment
        return result.revision

    def edit_configuration(self, configuration: Text) -> None:
        """Store a new revision of the configuration."""
        self.configuration = configuration
        self.configuration_revision = Revision(self.configuration_revision + 1)

    # Time

    def tick(self) -> None:
        """Advance the time by one tick and run every running keeper."""
        self.now += TICK
        for keeper in self.keepers.values():
            if keeper.state is ProcessState.RUNNING:
                keeper.tick()

    # Actual state, for checks

    def list_owners(self, key: ShardKey) -> list[UpstreamName]:
        """Return the upstreams that consider themselves owner of a shard."""
        return [
            upstream.name
            for upstream in self.upstreams.values()
            if upstream.state is not ProcessState.DEAD
            and upstream.model.owns(key, upstream.clock.read(self.now))
        ]

    def list_keys(self) -> list[ShardKey]:
        """Return the keys of all shards."""
        return [
            ShardKey(SERVICE, Shard(number))
            for service in self.configuration.services
            for number in range(service.shards or 0)
        ]

    def find_epoch(self, key: ShardKey) -> Epoch:
        """Return the epoch of a shard in the stored assignment."""
        owner = self.assignment.find_owner(key)
        return Epoch(0) if owner is None else owner.epoch
