"""Steps of the fault matrix: each runs a scenario up to a given state."""

from collections.abc import Callable

from sedgetide.core.requests.outcomes import Phase
from sedgetide.testing.scenarios import restart_if_dead
from sedgetide.testing.scenarios import Scenario
from sedgetide.testing.world import ProcessState


def _reach_steady_state(scenario: Scenario) -> None:
    scenario.run_until(
        lambda: (
            all(
                len(scenario.world.list_owners(key)) == 1
                for key in scenario.world.list_keys()
            )
            and len(scenario.world.assignment.members) == 3
        )
    )
    scenario.run(1.0)
    scenario.longest_unserved = 0.0
    scenario.unserved_since.clear()


def _reach_phase(scenario: Scenario, phase: Phase) -> None:
    _reach_steady_state(scenario)
    scenario.watched = scenario.callers.send(scenario.target)
    scenario.run_until(
        lambda: (
            scenario.watched.phase is phase
            or scenario.watched.told is not None
        )
    )


def _reach_accepted(scenario: Scenario) -> None:
    _reach_steady_state(scenario)
    scenario.watched = scenario.callers.send(scenario.target)


def _reach_running(scenario: Scenario) -> None:
    _reach_phase(scenario, Phase.HANDED_OVER)
    scenario.tick()


def _reach_answering(scenario: Scenario) -> None:
    _reach_phase(scenario, Phase.HANDED_OVER)
    scenario.run(0.1)


def _reach_move(scenario: Scenario) -> None:
    _reach_steady_state(scenario)
    scenario.drain(scenario.owner())


def _is_releasing(scenario: Scenario) -> bool:
    return bool(scenario.world.assignment.list_releasing())


def _reach_releasing(scenario: Scenario) -> None:
    _reach_move(scenario)
    scenario.run_until(lambda: _is_releasing(scenario))


def _reach_moved(scenario: Scenario) -> None:
    _reach_releasing(scenario)
    scenario.run_until(lambda: not _is_releasing(scenario))


def _reach_loss(scenario: Scenario) -> None:
    _reach_steady_state(scenario)
    scenario.world.upstreams[scenario.owner()].state = ProcessState.DEAD


def _reach_takeover(scenario: Scenario) -> None:
    _reach_loss(scenario)
    scenario.run_until(lambda: _is_releasing(scenario))


def _reach_takeover_waiting(scenario: Scenario) -> None:
    _reach_takeover(scenario)
    scenario.run(0.6)


def _reach_taken_over(scenario: Scenario) -> None:
    _reach_takeover(scenario)
    scenario.run_until(lambda: not _is_releasing(scenario))


def _reach_drain_end(scenario: Scenario) -> None:
    _reach_moved(scenario)
    scenario.run(2.5)


def _reach_stop(scenario: Scenario) -> None:
    _reach_steady_state(scenario)
    keeper = scenario.keeper()
    keeper.view.leaving = True

    def stop() -> None:
        keeper.state = ProcessState.DEAD

    scenario.planned_only = True
    scenario.schedule(scenario.stop_notice, stop)
    scenario.schedule(2.0, lambda: restart_if_dead(keeper))


def _reach_replacement(scenario: Scenario) -> None:
    _reach_steady_state(scenario)
    keeper = scenario.keeper()
    keeper.state = ProcessState.DEAD
    scenario.run(1.0)
    keeper.start()


STEPS: dict[str, Callable[[Scenario], None]] = {
    "start": lambda scenario: None,
    "first assignment": lambda scenario: scenario.run_until(
        lambda: bool(scenario.world.assignment.shards)
    ),
    "request accepted": _reach_accepted,
    "request queued": lambda scenario: _reach_phase(scenario, Phase.QUEUED),
    "request handed over": lambda scenario: _reach_phase(
        scenario, Phase.HANDED_OVER
    ),
    "request running": _reach_running,
    "request answering": _reach_answering,
    "renewal": _reach_steady_state,
    "text accepted": _reach_move,
    "move: releasing": _reach_releasing,
    "move: owned": _reach_moved,
    "drain over": _reach_drain_end,
    "loss": _reach_loss,
    "takeover: releasing": _reach_takeover,
    "takeover: waiting": _reach_takeover_waiting,
    "takeover: owned": _reach_taken_over,
    "planned stop": _reach_stop,
    "replacement started": _reach_replacement,
}
