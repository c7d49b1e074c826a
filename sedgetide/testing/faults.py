"""Faults of the fault matrix; most end after a fixed duration."""

from collections.abc import Callable

from sedgetide.testing.scenarios import restart_if_dead
from sedgetide.testing.scenarios import Scenario
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.world import FakeKeeper
from sedgetide.testing.world import ProcessState
from sedgetide.testing.world import STORE


def _kill(scenario: Scenario, keeper: FakeKeeper) -> None:
    keeper.state = ProcessState.DEAD
    scenario.schedule(scenario.fault_duration, lambda: restart_if_dead(keeper))


def _pause(scenario: Scenario, keeper: FakeKeeper) -> None:
    if keeper.state is not ProcessState.RUNNING:
        return
    keeper.pause()

    def resume() -> None:
        if keeper.state is ProcessState.PAUSED:
            keeper.resume()

    scenario.schedule(scenario.fault_duration, resume)


def _pause_at_write(scenario: Scenario) -> None:
    """Pause the assigner after it planned a change, before it writes it."""
    keeper = scenario.assigner()
    keeper.pause_at_write = True

    def resume() -> None:
        keeper.pause_at_write = False
        if keeper.state is ProcessState.PAUSED:
            keeper.resume()

    scenario.schedule(scenario.fault_duration, resume)


def _delay_records(scenario: Scenario) -> None:
    """Deliver the current records to every keeper again, after newer ones."""
    world = scenario.world
    configuration, configuration_revision = (
        world.configuration,
        world.configuration_revision,
    )
    assignment, revision = world.read_assignment()

    def arrive() -> None:
        for keeper in world.keepers.values():
            keeper.apply_configuration(configuration, configuration_revision)
            keeper.apply_assignment(assignment, revision)

    scenario.schedule(scenario.fault_duration, arrive)
    scenario.drain("u2")


def _restart(scenario: Scenario) -> None:
    scenario.keeper().start()


def _find_watcher(scenario: Scenario) -> FakeKeeper:
    for keeper in scenario.world.keepers.values():
        now = keeper.clock.read(scenario.world.now)
        running = keeper.state is ProcessState.RUNNING
        if running and keeper.view.is_watching(now):
            return keeper
    return scenario.any_keeper()


def _heal(scenario: Scenario) -> None:
    scenario.world.heal()


def _cut_keeper(scenario: Scenario, store: bool, peers: bool) -> None:
    keeper = scenario.keeper()
    if store:
        scenario.world.cut(keeper.host, STORE)
    if peers:
        for host in scenario.world.keepers:
            if host != keeper.host:
                scenario.world.cut(keeper.host, host)
    scenario.schedule(scenario.fault_duration, lambda: _heal(scenario))


def _cut_data_centre(scenario: Scenario) -> None:
    for host in scenario.world.keepers:
        scenario.world.cut(host, STORE)
    scenario.schedule(scenario.fault_duration, lambda: _heal(scenario))


def _cut_entry(scenario: Scenario) -> None:
    for host in scenario.world.keepers:
        scenario.world.cut(scenario.callers.name, host)
    scenario.schedule(scenario.fault_duration, lambda: _heal(scenario))


def _cut_upstream(scenario: Scenario) -> None:
    scenario.world.cut(scenario.keeper().host, scenario.owner())
    scenario.schedule(scenario.fault_duration, lambda: _heal(scenario))


def _fail_store(scenario: Scenario, fault: StoreFault) -> None:
    scenario.world.store_fault = fault

    def end() -> None:
        scenario.world.store_fault = StoreFault.NONE

    scenario.schedule(scenario.fault_duration, end)


def _kill_upstream(scenario: Scenario) -> None:
    upstream = scenario.world.upstreams[scenario.owner()]
    upstream.state = ProcessState.DEAD
    scenario.schedule(scenario.fault_duration, upstream.restart)


def _restart_upstream(scenario: Scenario) -> None:
    scenario.world.upstreams[scenario.owner()].restart()


def _freeze_upstream(scenario: Scenario) -> None:
    upstream = scenario.world.upstreams[scenario.owner()]
    if upstream.state is not ProcessState.RUNNING:
        return
    upstream.state = ProcessState.PAUSED

    def resume() -> None:
        if upstream.state is ProcessState.PAUSED:
            upstream.resume(scenario.world.now)

    scenario.schedule(scenario.fault_duration, resume)


def _race_edits(scenario: Scenario) -> None:
    scenario.drain("u2")
    scenario.tick()
    scenario.drain("u3")


def _skew_clocks(scenario: Scenario, rate: float) -> None:
    """Run the keepers' clocks at another rate than the upstreams'."""
    error = scenario.world.timing.clock_error / 2
    now = scenario.world.now
    for keeper in scenario.world.keepers.values():
        _set_rate(keeper.clock, 1.0 + rate * error, now)
    for upstream in scenario.world.upstreams.values():
        _set_rate(upstream.clock, 1.0 - rate * error, now)


def _set_rate(clock: object, rate: float, now: float) -> None:
    clock.offset += now * (clock.rate - rate)
    clock.rate = rate


FAULTS: dict[str, Callable[[Scenario], None]] = {
    "none": lambda scenario: None,
    "keeper killed": lambda scenario: _kill(scenario, scenario.keeper()),
    "keeper restarted": _restart,
    "keeper paused": lambda scenario: _pause(scenario, scenario.keeper()),
    "assigner killed": lambda scenario: _kill(scenario, scenario.assigner()),
    "assigner paused": lambda scenario: _pause(scenario, scenario.assigner()),
    "assigner paused at a write": _pause_at_write,
    "records overtaken": _delay_records,
    "watcher killed": lambda scenario: _kill(
        scenario, _find_watcher(scenario)
    ),
    "upstream killed": _kill_upstream,
    "upstream restarted": _restart_upstream,
    "upstream frozen": _freeze_upstream,
    "keeper cut from store": lambda scenario: _cut_keeper(
        scenario, True, False
    ),
    "keeper cut from peers": lambda scenario: _cut_keeper(
        scenario, False, True
    ),
    "keeper cut from both": lambda scenario: _cut_keeper(scenario, True, True),
    "keeper cut from upstream": _cut_upstream,
    "centre cut from platform": _cut_data_centre,
    "centre cut from others": _cut_entry,
    "store down": lambda scenario: _fail_store(scenario, StoreFault.DOWN),
    "reply lost": lambda scenario: _fail_store(
        scenario, StoreFault.LOST_REPLY
    ),
    "racing edits": _race_edits,
    "clocks fast": lambda scenario: _skew_clocks(scenario, 1.0),
    "clocks slow": lambda scenario: _skew_clocks(scenario, -1.0),
}
