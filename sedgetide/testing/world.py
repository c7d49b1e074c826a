"""A few keepers, upstreams and a store without sockets, in passed-in time.

Small fakes at the interfaces of the decisions: what a daemon's tasks do with
sockets is done here by direct calls that a cut, a pause or an outage stops.
The decisions themselves are those of the daemons.
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
from sedgetide.core.ownership.grants import Token
from sedgetide.core.ownership.leasing import ControlAnswer
from sedgetide.core.ownership.leasing import ControlCall
from sedgetide.core.ownership.leasing import ControlCallKind
from sedgetide.core.ownership.leasing import UpstreamLease
from sedgetide.core.requests.operations import OperationLog
from sedgetide.core.timing import Timing
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.storemodel import StoreModel
from sedgetide.testing.upstreammodel import UpstreamModel

TICK = 0.05
CENTRE = DataCentre("one")
SERVICE = ServiceName("s")
KEY = build_assignment_key(CENTRE)
STORE = "store"
WALL = 1_700_000_000.0
_LOG_WINDOW = 600.0
_LOG_SIZE = 10_000
# Within one data centre, of hosts that keep time as operators must see to.
_CLOCK_SKEW = 0.1


class Running(enum.Enum):
    """Whether a process does anything."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


class Clock(msgspec.Struct):
    """A monotonic clock with an offset and a rate of its own."""

    offset: float = 0.0
    rate: float = 1.0

    def read(self, now: float) -> float:
        """Return this clock's reading at the true time."""
        return self.offset + now * self.rate


class FakeUpstream:
    """An upstream whose socket buffers outlast a freeze."""

    def __init__(self, name: str, checks: bool, clock: Clock) -> None:
        self.name = UpstreamName(name)
        self.state = Running.RUNNING
        self.clock = clock
        self.checks = checks
        self.buffer: list[Callable[[float], object]] = []
        self.past: list[UpstreamModel] = []
        self.model = self._make_model()

    def _make_model(self) -> UpstreamModel:
        return UpstreamModel(self.name, uuid.uuid4().hex, self.checks, 4)

    def restart(self) -> None:
        """Start a new process that remembers nothing."""
        self.past.append(self.model)
        self.model = self._make_model()
        self.buffer.clear()
        self.state = Running.RUNNING

    def resume(self, now: float) -> None:
        """Go on, and work off what came in meanwhile."""
        self.state = Running.RUNNING
        buffer, self.buffer = self.buffer, []
        for call in buffer:
            call(now)

    def order(self, call: ControlCall, orderer: str, now: float, life: float):
        """Obey a control call now; return what the answer holds."""
        clock = self.clock.read(now)
        previous, held = self.model.orderer, self.model.measure_held(clock)
        refused: list[ShardKey] = []
        if call.kind is ControlCallKind.GRANT:
            previous, refused = self.model.grant(
                orderer, call.token.stamp, life, call.shards, clock
            )
        elif call.kind is ControlCallKind.RELEASE:
            refused = self.model.release(call.shards)
        stamp = self.model.issue_stamp(clock)
        return stamp, previous, held, frozenset(refused)


class FakeKeeper:
    """The decisions of one keeper, and what its tasks remember."""

    def __init__(self, host: str, clock: Clock, world: "World") -> None:
        self.host = HostName(host)
        self.link = LinkAddress(f"link-{host}")
        self.clock = clock
        self.world = world
        self.state = Running.RUNNING
        self.start()

    def start(self) -> None:
        """Begin as a new process that remembers nothing."""
        now = self.clock.read(self.world.now)
        self.state = Running.RUNNING
        self.incarnation = uuid.uuid4().hex
        self.liveness = Liveness(self.world.timing.silence)
        self.view = DataCentreView(
            self.host,
            CENTRE,
            Member(self.link, ""),
            self.world.timing,
            self.liveness,
            now,
        )
        self.cache = RecordCache()
        self.leases: dict[UpstreamName, UpstreamLease] = {}
        self.logs: dict[UpstreamName, OperationLog] = {}
        self.late: list[tuple[UpstreamName, ControlCall, float]] = []
        self.late_plan: AssignmentChange | None = None
        self.pause_at_write = False

    @property
    def orderer(self) -> str:
        """Name by which upstreams know this process."""
        return f"{self.host}/{self.incarnation}"

    @property
    def text_revision(self) -> Revision:
        """Revision of the text in force."""
        return self.cache.find_revision(CONFIGURATION_KEY)

    def pause(self) -> None:
        """Stop between deciding on the next orders and sending them."""
        now = self.clock.read(self.world.now)
        self.state = Running.PAUSED
        self.late = [
            (name, lease.next_call(now), now)
            for name, lease in self.leases.items()
        ]

    def resume(self) -> None:
        """Go on with what was about to be sent."""
        self.state = Running.RUNNING
        late, self.late = self.late, []
        for name, call, decided_at in late:
            self.send(name, call, decided_at)
        plan, self.late_plan = self.late_plan, None
        if plan is not None:
            self._write(plan)

    def take_record(self, assignment: Assignment, revision: Revision) -> None:
        """Take in an assignment as from the store or a peer."""
        self.view.take_assignment(assignment, revision)

    def apply_configuration(self, text: Text, revision: Revision) -> None:
        """Take in a text unless a newer one is in force."""
        if self.cache.apply(Record(CONFIGURATION_KEY, revision, b"")):
            self.view.apply_configuration(text)

    def tick(self) -> None:
        """Do one round of everything the daemon's loops do."""
        now = self.clock.read(self.world.now)
        self._ask_peers(now)
        if self.view.is_watching(now):
            self._ask_store(now)
        authorization = self.view.renew(now)
        self._claim(now)
        for name, lease in list(self.leases.items()):
            lease.update(authorization)
            for _ in range(2):
                call = lease.next_call(now)
                answered = self.send(name, call, now)
                kind = lease.next_call(now).kind
                if not answered or kind is call.kind:
                    break
        self._report(now)
        plan = self.view.plan(now, ChangeId(uuid.uuid4().hex))
        if plan is not None:
            self._write(plan)

    def _ask_peers(self, now: float) -> None:
        for peer in self.world.list_reachable_keepers(self.host):
            said = peer.view.make_member_report(
                peer.clock.read(self.world.now)
            )
            self.liveness.note_answer(peer.link, now, peer.view.leaving)
            self.view.note_member_report(peer.host, now, said, now)
            peer.view.note_joiner(
                self.host,
                Member(self.link, ""),
                peer.clock.read(self.world.now),
            )
            self.take_record(peer.view.assignment, peer.view.revision)
            if peer.view.text is not None:
                self.apply_configuration(peer.view.text, peer.text_revision)

    def _ask_store(self, now: float) -> None:
        self.view.store_unavailable = not self.world.reaches_store(self.host)
        if self.view.store_unavailable:
            return
        assignment, revision = self.world.read_assignment()
        if revision:
            self.take_record(assignment, revision)
        self.view.authority.note_store(now, revision)
        if self.world.text_revision:
            self.apply_configuration(self.world.text, self.world.text_revision)

    def _claim(self, now: float) -> None:
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
        self.logs[name] = OperationLog(_LOG_WINDOW, _LOG_SIZE, _CLOCK_SKEW)

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
        if not self.world.reaches(self.host, name):
            lease.note_failure(now)
            return False
        if upstream.state is Running.PAUSED:
            upstream.buffer.append(
                lambda at: upstream.order(call, self.orderer, at, life)
            )
            lease.note_failure(now)
            return False
        if upstream.state is Running.DEAD:
            lease.note_failure(now)
            return False
        found = upstream.order(call, self.orderer, self.world.now, life)
        stamp, previous, held, refused = found
        token = Token(stamp, asked_at, now, upstream.model.incarnation)
        answer = ControlAnswer(token, previous, held, refused)
        log = self.logs[name]
        if lease.note_answer(call, answer):
            log.end_tenures()
        if call.kind is ControlCallKind.GRANT:
            for key, epoch in call.shards.items():
                if key not in refused:
                    log.begin_tenure(key, epoch, self.world.wall)
        return True

    def _report(self, now: float) -> None:
        assigner = self.view.find_assigner(now)
        if assigner is None:
            return
        peer = self.world.keepers[assigner]
        if peer is not self and not self.world.talks(self.host, assigner):
            return
        at = peer.clock.read(self.world.now)
        for lease in self.leases.values():
            if lease.has_news():
                peer.view.note_report(lease.make_report(), at)

    def _write(self, plan: AssignmentChange) -> None:
        if self.pause_at_write:
            self.pause_at_write = False
            self.pause()
            self.late_plan = plan
            return
        if not self.world.reaches_store(self.host):
            self.view.store_unavailable = True
            return
        revision = self.world.swap(plan.assignment, plan.expected)
        if revision is None or self.world.store_fault is StoreFault.LOST_REPLY:
            return
        self.take_record(plan.assignment, revision)


class World:
    """Everything of one data centre, and the true time.

    Parameters
    ----------
    text : Text
        Operators' text, revision 1.
    keepers : int
        Number of keepers.
    checks_orders : bool
        Whether upstreams refuse stale orders.
    """

    check_before_send = True

    def __init__(
        self, text: Text, keepers: int = 3, checks_orders: bool = True
    ) -> None:
        self.now = 1000.0
        self.timing = Timing()
        self.text = text
        self.text_revision = Revision(1)
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
            for service in text.services
            for upstream in service.upstreams
        }

    @property
    def wall(self) -> float:
        """Unix time."""
        return WALL + self.now

    # Who reaches whom

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two names."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether messages pass between two names."""
        return frozenset((one, other)) not in self.cuts

    def reaches_store(self, name: str) -> bool:
        """Tell whether a call to the store gets an answer."""
        if self.store_fault is StoreFault.DOWN:
            return False
        return self.reaches(name, STORE)

    def talks(self, one: str, other: str) -> bool:
        """Tell whether two keepers hear each other."""
        peer = self.keepers[HostName(other)]
        return peer.state is Running.RUNNING and self.reaches(one, other)

    def list_reachable_keepers(self, host: str) -> list[FakeKeeper]:
        """Return the other keepers that answer a host."""
        return [
            peer
            for name, peer in self.keepers.items()
            if name != host and self.talks(host, name)
        ]

    # The store

    def read_assignment(self) -> tuple[Assignment, Revision]:
        """Return what the store holds."""
        record = self.store.read(KEY)
        revision = NO_REVISION if record is None else record.revision
        return self.assignment, revision

    def swap(
        self, assignment: Assignment, expected: Revision
    ) -> Revision | None:
        """Write an assignment by compare-and-swap; None when refused."""
        result = self.store.swap(KEY, b"", expected)
        if not result.swapped:
            return None
        self.assignment = assignment
        return result.revision

    def edit_text(self, text: Text) -> None:
        """Put a text in force at the store."""
        self.text = text
        self.text_revision = Revision(self.text_revision + 1)

    # Time

    def tick(self) -> None:
        """Let one step of time pass."""
        self.now += TICK
        for keeper in self.keepers.values():
            if keeper.state is Running.RUNNING:
                keeper.tick()

    # What is true

    def list_owners(self, key: ShardKey) -> list[UpstreamName]:
        """Return every process that would act as owner of a shard now."""
        return [
            upstream.name
            for upstream in self.upstreams.values()
            if upstream.state is not Running.DEAD
            and upstream.model.owns(key, upstream.clock.read(self.now))
        ]

    def list_keys(self) -> list[ShardKey]:
        """Return all shards."""
        return [
            ShardKey(SERVICE, Shard(number))
            for service in self.text.services
            for number in range(service.shards or 0)
        ]

    def find_epoch(self, key: ShardKey) -> Epoch:
        """Return a shard's epoch in the store."""
        owner = self.assignment.find_owner(key)
        return Epoch(0) if owner is None else owner.epoch
