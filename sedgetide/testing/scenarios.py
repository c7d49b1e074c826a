"""Scenarios: a simulated world under load, checked after each tick."""

from collections.abc import Callable
import itertools

import msgspec

from sedgetide.core.configuration.services import PriorityClass
from sedgetide.core.configuration.services import Route
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text
from sedgetide.core.configuration.services import Upstream
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import Ownership
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.testing.journals import find_repeated_runs
from sedgetide.testing.journals import find_two_owners
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.world import FakeKeeper
from sedgetide.testing.world import ProcessState
from sedgetide.testing.world import TICK
from sedgetide.testing.world import World
from sedgetide.testing.worldrequests import Attempt
from sedgetide.testing.worldrequests import Callers

SHARDS = 4
UPSTREAMS = ("u1", "u2", "u3")
# Fault durations in seconds; longer than any lease or takeover.
_FAULT_DURATION_CHECKED = 3.0
_FAULT_DURATION_UNCHECKED = 6.0
_MAX_DRAIN_TIME = 2.0
_MAX_APPLY_TIME = 2.0
_REPEAT_DELAY = 1.0
_MAX_TICKS = 400


def make_configuration(draining: str = "", checks_orders: bool = True) -> Text:
    """Return a configuration with one keyed service and three upstreams."""
    upstreams = tuple(
        Upstream(
            name,
            "one",
            f"10.0.0.{index}:80",
            UpstreamState.DRAINING
            if name == draining
            else UpstreamState.ACTIVE,
        )
        for index, name in enumerate(UPSTREAMS, 1)
    )
    service = Service(
        "s",
        "/s",
        4,
        10,
        (Route("/{key}", ("POST",), "c", deadline=3.0),),
        upstreams,
        keyed=True,
        shards=SHARDS,
        homes=("one",),
        checks_orders=checks_orders,
    )
    return Text("w", ("one",), (PriorityClass("c", 0),), (service,))


class Scenario:
    """A simulated world under load, with guarantees checked each tick.

    Parameters
    ----------
    checks_orders : bool
        Whether the upstreams refuse stale orders.
    """

    stop_notice = 1.0

    def __init__(self, checks_orders: bool = True) -> None:
        self.world = World(
            make_configuration("", checks_orders), 3, checks_orders
        )
        self.callers = Callers(self.world)
        self.broken: list[str] = []
        self.unserved_since: dict[ShardKey, float] = {}
        self.longest_unserved = 0.0
        self.refused = 0
        self.fault_free_since = 0.0
        self.load = True
        self.target = ShardKey(self.world.list_keys()[0].service, 0)
        self.watched: Attempt | None = None
        self.fault_duration = (
            _FAULT_DURATION_CHECKED
            if checks_orders
            else _FAULT_DURATION_UNCHECKED
        )
        self._checks_orders = checks_orders
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self._ticks = 0
        self._repeats: list[tuple[float, Attempt]] = []
        self._drained: dict[str, float] = {}
        self._edited_at = float("-inf")
        self._revisions: dict[str, int] = {}
        self._acknowledged: dict[ShardKey, Ownership] = {}
        self.planned_only = False

    # Time

    def tick(self) -> None:
        """Advance by one tick, send load, and check all guarantees."""
        self._ticks += 1
        self._run_scheduled()
        self.world.tick()
        if self.load:
            keys = self.world.list_keys()
            key = keys[self._ticks % len(keys)]
            self.callers.send(key, idempotent=self._ticks % 2 == 0)
        self._send_due_repeats()
        seen = len(self.callers.told)
        self.callers.tick()
        self._check_outcomes(seen)
        self._check_owners()
        self._check_assignment()
        self._check_configuration()
        self._check_drained()
        self._measure_unserved()

    def run(self, seconds: float) -> None:
        """Advance the simulation by some seconds."""
        for _ in range(round(seconds / TICK)):
            self.tick()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Advance the simulation until a condition holds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within the maximum of ticks.
        """
        for _ in range(_MAX_TICKS):
            if condition():
                return
            self.tick()
        raise TimeoutError(f"condition not met within {_MAX_TICKS} ticks")

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._scheduled.append((self.world.now + seconds, action))

    def _run_scheduled(self) -> None:
        due = [each for each in self._scheduled if each[0] <= self.world.now]
        self._scheduled = [each for each in self._scheduled if each not in due]
        for _, action in due:
            action()

    # Roles

    def owner(self) -> UpstreamName:
        """Return the upstream that owns the target shard."""
        found = self.world.assignment.find_owner(self.target)
        return UpstreamName("u1") if found is None else found.upstream

    def keeper(self) -> FakeKeeper:
        """Return the keeper that serves the owner of the target shard."""
        for keeper in self.world.keepers.values():
            lease = keeper.leases.get(self.owner())
            running = keeper.state is ProcessState.RUNNING
            if lease is not None and running and not lease.standing_back:
                return keeper
        return self.any_keeper()

    def any_keeper(self) -> FakeKeeper:
        """Return the first running keeper."""
        for keeper in self.world.keepers.values():
            if keeper.state is ProcessState.RUNNING:
                return keeper
        return next(iter(self.world.keepers.values()))

    def assigner(self) -> FakeKeeper:
        """Return the keeper that writes the assignment."""
        keeper = self.any_keeper()
        now = keeper.clock.read(self.world.now)
        host = keeper.view.find_assigner(now)
        return keeper if host is None else self.world.keepers[host]

    def drain(self, name: str) -> None:
        """Drain an upstream by a change of the configuration."""
        self.world.edit_configuration(
            make_configuration(name, self._checks_orders)
        )
        self._drained = {name: self.world.now} if name else {}
        self._edited_at = self.world.now

    # Guarantees

    def _record_violation(self, violation: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self.world.now - 1000:.2f}: {violation}")

    def _check_owners(self) -> None:
        for key in self.world.list_keys():
            owners = self.world.list_owners(key)
            if len(owners) > 1:
                self._record_violation(f"{key} has owners {owners}")

    def _check_assignment(self) -> None:
        """Check that acknowledged changes of the assignment are not lost."""
        for key, owner in self.world.assignment.shards.items():
            known = self._acknowledged.get(key)
            if known is not None and known.epoch > owner.epoch:
                self._record_violation(
                    f"{key} went back from epoch {known.epoch}"
                )
            if known is not None and known.epoch == owner.epoch:
                moved = known.upstream != owner.upstream
                if moved and known.state is ShardState.OWNED:
                    self._record_violation(
                        f"{key} changed owner within an epoch"
                    )
            self._acknowledged[key] = owner

    def _check_outcomes(self, seen: int) -> None:
        for told in self.callers.told[seen:]:
            if told.answer != told.operation:
                self._record_violation(f"answer of another operation: {told}")
            if told.outcome is not Outcome.ANSWERED:
                self.refused += 1
                if self.planned_only:
                    self._record_violation(f"a planned stop aborted {told}")
        for attempt in self.callers.attempts[-_MAX_TICKS:]:
            self._schedule_repeat(attempt)

    def _schedule_repeat(self, attempt: Attempt) -> None:
        """Schedule the caller's repeat of an operation of unknown outcome."""
        if attempt.told is None or not attempt.first or attempt.idempotent:
            return
        if attempt.told.outcome is Outcome.UNKNOWN:
            attempt.first = False
            due = self.world.now + _REPEAT_DELAY
            self._repeats.append((due, attempt))

    def _send_due_repeats(self) -> None:
        for due, attempt in list(self._repeats):
            if due <= self.world.now:
                self._repeats.remove((due, attempt))
                self.callers.send(attempt.key, operation=attempt.operation)

    def _check_configuration(self) -> None:
        """Check that revisions never go back and are applied in time."""
        if self.fault_active:
            self.fault_free_since = self.world.now
        since = max(self._edited_at, self.fault_free_since)
        late = self.world.now - since > _MAX_APPLY_TIME
        for host, keeper in self.world.keepers.items():
            name = keeper.incarnation
            revision = keeper.configuration_revision
            if revision < self._revisions.get(name, 0):
                self._record_violation(
                    f"configuration of {host} went back to {revision}"
                )
            self._revisions[name] = revision
            known = revision == self.world.configuration_revision
            if late and not known and self._can_read_configuration(keeper):
                self._record_violation(
                    f"{host} is at configuration {revision}"
                )

    def _can_read_configuration(self, keeper: FakeKeeper) -> bool:
        if keeper.state is not ProcessState.RUNNING or self.fault_active:
            return False
        return self.world.can_reach_store(keeper.host)

    @property
    def fault_active(self) -> bool:
        """Whether a fault is active or an action is scheduled."""
        world = self.world
        return bool(
            world.cuts
            or world.store_fault is not StoreFault.NONE
            or self._scheduled
        )

    def _check_drained(self) -> None:
        for name, since in self._drained.items():
            if self.world.now - since < _MAX_DRAIN_TIME or self.fault_active:
                continue
            upstream = self.world.upstreams[UpstreamName(name)]
            late = [
                each
                for each in upstream.model.journal[-5:]
                if each.began > since + _MAX_DRAIN_TIME
                and each.began > self.fault_free_since + _MAX_DRAIN_TIME
            ]
            if late:
                self._record_violation(
                    f"{name} got new requests while draining"
                )

    def _measure_unserved(self) -> None:
        """Measure how long each shard is not served in its data centre."""
        for key in self.world.list_keys():
            if self._is_served(key):
                self.unserved_since.pop(key, None)
                continue
            since = self.unserved_since.setdefault(key, self.world.now)
            self.longest_unserved = max(
                self.longest_unserved, self.world.now - since
            )

    def _is_served(self, key: ShardKey) -> bool:
        for keeper in self.world.keepers.values():
            if keeper.state is not ProcessState.RUNNING:
                continue
            now = keeper.clock.read(self.world.now)
            for name, lease in keeper.leases.items():
                upstream = self.world.upstreams[name]
                if upstream.state is not ProcessState.RUNNING:
                    continue
                if not self.world.is_connected(keeper.host, name):
                    continue
                if lease.find_refusal_reason(key, now + 1.0, now) is None:
                    return True
        return False

    def _check_processes(self) -> None:
        """Check that an epoch is granted to one process of an upstream."""
        for upstream in self.world.upstreams.values():
            models = [*upstream.past_models, upstream.model]
            for former, later in itertools.pairwise(models):
                for key, epoch in sorted(former.taken & later.taken):
                    self._record_violation(
                        f"{key} granted to two processes of "
                        f"{upstream.name} at epoch {epoch}"
                    )

    def check_at_end(self) -> None:
        """Check the guarantees that need the complete journal."""
        self._check_processes()
        journal = [
            msgspec.to_builtins(entry)
            for upstream in self.world.upstreams.values()
            for model in [upstream.model, *upstream.past_models]
            for entry in model.journal
        ]
        self.broken += [
            f"ran twice: {each}" for each in find_repeated_runs(journal)
        ]
        self.broken += find_two_owners(journal)
        ran = {each["operation"] for each in journal}
        outcomes: dict[str, set[Outcome]] = {}
        for told in self.callers.told:
            outcomes.setdefault(told.operation, set()).add(told.outcome)
        for operation, found in outcomes.items():
            if found == {Outcome.NOT_RUN} and operation in ran:
                self._record_violation(
                    f"reported not-run but ran: {operation}"
                )
            if Outcome.ANSWERED in found and operation not in ran:
                self._record_violation(
                    f"reported answered but did not run: {operation}"
                )


def restart_if_dead(keeper: FakeKeeper) -> None:
    """Start a keeper as a new process if it is dead."""
    if keeper.state is ProcessState.DEAD:
        keeper.start()
