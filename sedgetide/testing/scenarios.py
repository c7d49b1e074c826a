"""A small world under load, with all promises checked each tick."""

from collections.abc import Callable

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
from sedgetide.testing.journals import find_doubled
from sedgetide.testing.journals import find_two_owners
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.world import FakeKeeper
from sedgetide.testing.world import Running
from sedgetide.testing.world import TICK
from sedgetide.testing.world import World
from sedgetide.testing.worldrequests import Attempt
from sedgetide.testing.worldrequests import Callers

SHARDS = 4
UPSTREAMS = ("u1", "u2", "u3")
# Longer than every lease, and than a takeover takes.
_PAUSE_CHECKED = 3.0
_PAUSE_UNCHECKED = 6.0
_LEAVES_WITHIN = 2.0
_IN_FORCE_WITHIN = 2.0
_REPEAT_AFTER = 1.0
_LIMIT = 400


def make_text(draining: str = "", checks_orders: bool = True) -> Text:
    """Return a text with one keyed service and three upstreams."""
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
    """A world under a load, with the promises checked after each tick.

    Parameters
    ----------
    checks_orders : bool
        Whether the upstreams refuse stale orders.
    """

    stop_notice = 1.0

    def __init__(self, checks_orders: bool = True) -> None:
        self.world = World(make_text("", checks_orders), 3, checks_orders)
        self.callers = Callers(self.world)
        self.broken: list[str] = []
        self.dark: dict[ShardKey, float] = {}
        self.longest_dark = 0.0
        self.refused = 0
        self.calm_since = 0.0
        self.load = True
        self.target = ShardKey(self.world.list_keys()[0].service, 0)
        self.watched: Attempt | None = None
        self.pause = _PAUSE_CHECKED if checks_orders else _PAUSE_UNCHECKED
        self._checks_orders = checks_orders
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._ticks = 0
        self._repeats: list[tuple[float, Attempt]] = []
        self._drained: dict[str, float] = {}
        self._edited_at = float("-inf")
        self._revisions: dict[str, int] = {}
        self._acknowledged: dict[ShardKey, Ownership] = {}
        self.planned_only = False

    # Time

    def tick(self) -> None:
        """Let one tick pass, with load, and check all promises."""
        self._ticks += 1
        self._run_later()
        self.world.tick()
        if self.load:
            keys = self.world.list_keys()
            key = keys[self._ticks % len(keys)]
            self.callers.send(key, idempotent=self._ticks % 2 == 0)
        self._repeat()
        seen = len(self.callers.told)
        self.callers.tick()
        self._check_told(seen)
        self._check_owners()
        self._check_assignment()
        self._check_text()
        self._check_leaving()
        self._measure_dark()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK)):
            self.tick()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Let time pass until a condition holds.

        Raises
        ------
        TimeoutError
            When it never does; the step then can not be reached.
        """
        for _ in range(_LIMIT):
            if condition():
                return
            self.tick()
        raise TimeoutError("step not reached")

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        self._later.append((self.world.now + seconds, action))

    def _run_later(self) -> None:
        due = [each for each in self._later if each[0] <= self.world.now]
        self._later = [each for each in self._later if each not in due]
        for _, action in due:
            action()

    # Who is who

    def owner(self) -> UpstreamName:
        """Return the upstream that has the target shard."""
        found = self.world.assignment.find_owner(self.target)
        return UpstreamName("u1") if found is None else found.upstream

    def keeper(self) -> FakeKeeper:
        """Return the keeper of the target's owner."""
        for keeper in self.world.keepers.values():
            lease = keeper.leases.get(self.owner())
            running = keeper.state is Running.RUNNING
            if lease is not None and running and not lease.standing_back:
                return keeper
        return self.any_keeper()

    def any_keeper(self) -> FakeKeeper:
        """Return the first keeper that runs."""
        for keeper in self.world.keepers.values():
            if keeper.state is Running.RUNNING:
                return keeper
        return next(iter(self.world.keepers.values()))

    def assigner(self) -> FakeKeeper:
        """Return the keeper that changes the assignment."""
        keeper = self.any_keeper()
        now = keeper.clock.read(self.world.now)
        host = keeper.view.find_assigner(now)
        return keeper if host is None else self.world.keepers[host]

    def drain(self, name: str) -> None:
        """Have the operators drain an upstream."""
        self.world.edit_text(make_text(name, self._checks_orders))
        self._drained = {name: self.world.now} if name else {}
        self._edited_at = self.world.now

    # Promises

    def _break(self, promise: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"{self.world.now - 1000:.2f}: {promise}")

    def _check_owners(self) -> None:
        for key in self.world.list_keys():
            owners = self.world.list_owners(key)
            if len(owners) > 1:
                self._break(f"{key} has owners {owners}")

    def _check_assignment(self) -> None:
        """Check that what was acknowledged stays."""
        for key, owner in self.world.assignment.shards.items():
            known = self._acknowledged.get(key)
            if known is not None and known.epoch > owner.epoch:
                self._break(f"{key} fell from epoch {known.epoch}")
            if known is not None and known.epoch == owner.epoch:
                moved = known.upstream != owner.upstream
                if moved and known.state is ShardState.OWNED:
                    self._break(f"{key} changed hands within an epoch")
            self._acknowledged[key] = owner

    def _check_told(self, seen: int) -> None:
        for told in self.callers.told[seen:]:
            if told.answer != told.operation:
                self._break(f"answer of another: {told}")
            if told.outcome is not Outcome.ANSWERED:
                self.refused += 1
                if self.planned_only:
                    self._break(f"a planned stop cut {told}")
        for attempt in self.callers.attempts[-_LIMIT:]:
            self._note_repeat(attempt)

    def _note_repeat(self, attempt: Attempt) -> None:
        """Have the caller repeat what it was told nothing sure of."""
        if attempt.told is None or not attempt.first or attempt.idempotent:
            return
        if attempt.told.outcome is Outcome.UNKNOWN:
            attempt.first = False
            due = self.world.now + _REPEAT_AFTER
            self._repeats.append((due, attempt))

    def _repeat(self) -> None:
        for due, attempt in list(self._repeats):
            if due <= self.world.now:
                self._repeats.remove((due, attempt))
                self.callers.send(attempt.key, operation=attempt.operation)

    def _check_text(self) -> None:
        """Check that texts never go back and are soon in force."""
        if self.disturbed:
            self.calm_since = self.world.now
        since = max(self._edited_at, self.calm_since)
        late = self.world.now - since > _IN_FORCE_WITHIN
        for host, keeper in self.world.keepers.items():
            name = keeper.incarnation
            revision = keeper.text_revision
            if revision < self._revisions.get(name, 0):
                self._break(f"text of {host} went back to {revision}")
            self._revisions[name] = revision
            known = revision == self.world.text_revision
            if late and not known and self._could_know(keeper):
                self._break(f"{host} is at text {revision}")

    def _could_know(self, keeper: FakeKeeper) -> bool:
        if keeper.state is not Running.RUNNING or self.disturbed:
            return False
        return self.world.reaches_store(keeper.host)

    @property
    def disturbed(self) -> bool:
        """Whether any fault holds at present."""
        world = self.world
        return bool(
            world.cuts
            or world.store_fault is not StoreFault.NONE
            or self._later
        )

    def _check_leaving(self) -> None:
        for name, since in self._drained.items():
            if self.world.now - since < _LEAVES_WITHIN or self.disturbed:
                continue
            upstream = self.world.upstreams[UpstreamName(name)]
            late = [
                each
                for each in upstream.model.journal[-5:]
                if each.began > since + _LEAVES_WITHIN
                and each.began > self.calm_since + _LEAVES_WITHIN
            ]
            if late:
                self._break(f"{name} got new work while leaving")

    def _measure_dark(self) -> None:
        """Measure how long each shard is not served in its own centre."""
        for key in self.world.list_keys():
            if self._is_served(key):
                self.dark.pop(key, None)
                continue
            since = self.dark.setdefault(key, self.world.now)
            self.longest_dark = max(self.longest_dark, self.world.now - since)

    def _is_served(self, key: ShardKey) -> bool:
        for keeper in self.world.keepers.values():
            if keeper.state is not Running.RUNNING:
                continue
            now = keeper.clock.read(self.world.now)
            for name, lease in keeper.leases.items():
                upstream = self.world.upstreams[name]
                if upstream.state is not Running.RUNNING:
                    continue
                if not self.world.reaches(keeper.host, name):
                    continue
                if lease.find_refusal_reason(key, now + 1.0, now) is None:
                    return True
        return False

    def check_at_end(self) -> None:
        """Check what only the whole journal shows."""
        journal = [
            msgspec.to_builtins(entry)
            for upstream in self.world.upstreams.values()
            for model in [upstream.model, *upstream.past]
            for entry in model.journal
        ]
        self.broken += [f"doubled {each}" for each in find_doubled(journal)]
        self.broken += find_two_owners(journal)
        ran = {each["operation"] for each in journal}
        outcomes: dict[str, set[Outcome]] = {}
        for told in self.callers.told:
            outcomes.setdefault(told.operation, set()).add(told.outcome)
        for operation, found in outcomes.items():
            if found == {Outcome.NOT_RUN} and operation in ran:
                self._break(f"false not-run of {operation}")
            if Outcome.ANSWERED in found and operation not in ran:
                self._break(f"answered without a run: {operation}")


def start_again(keeper: FakeKeeper) -> None:
    """Start a dead keeper as a new process."""
    if keeper.state is Running.DEAD:
        keeper.start()
