"""Steps of the fault matrix: each brings a scene to where a fault strikes."""

from collections.abc import Callable

from sedgetide.core.outcomes import Phase
from sedgetide.testing.scenes import Scene
from sedgetide.testing.scenes import start_again
from sedgetide.testing.world import Running


def _settle(scene: Scene) -> None:
    scene.run_until(
        lambda: (
            all(
                len(scene.world.list_owners(key)) == 1
                for key in scene.world.list_keys()
            )
            and len(scene.world.assignment.members) == 3
        )
    )
    scene.run(1.0)
    scene.longest_dark = 0.0
    scene.dark.clear()


def _reach_phase(scene: Scene, phase: Phase) -> None:
    _settle(scene)
    scene.watched = scene.callers.send(scene.target)
    scene.run_until(
        lambda: scene.watched.phase is phase or scene.watched.told is not None
    )


def _reach_accepted(scene: Scene) -> None:
    _settle(scene)
    scene.watched = scene.callers.send(scene.target)


def _reach_running(scene: Scene) -> None:
    _reach_phase(scene, Phase.HANDED_OVER)
    scene.tick()


def _reach_answering(scene: Scene) -> None:
    _reach_phase(scene, Phase.HANDED_OVER)
    scene.run(0.1)


def _reach_move(scene: Scene) -> None:
    _settle(scene)
    scene.drain(scene.owner())


def _is_releasing(scene: Scene) -> bool:
    return bool(scene.world.assignment.list_releasing())


def _reach_releasing(scene: Scene) -> None:
    _reach_move(scene)
    scene.run_until(lambda: _is_releasing(scene))


def _reach_moved(scene: Scene) -> None:
    _reach_releasing(scene)
    scene.run_until(lambda: not _is_releasing(scene))


def _reach_loss(scene: Scene) -> None:
    _settle(scene)
    scene.world.upstreams[scene.owner()].state = Running.DEAD


def _reach_takeover(scene: Scene) -> None:
    _reach_loss(scene)
    scene.run_until(lambda: _is_releasing(scene))


def _reach_takeover_told(scene: Scene) -> None:
    _reach_takeover(scene)
    scene.run(0.6)


def _reach_taken_over(scene: Scene) -> None:
    _reach_takeover(scene)
    scene.run_until(lambda: not _is_releasing(scene))


def _reach_drain_end(scene: Scene) -> None:
    _reach_moved(scene)
    scene.run(2.5)


def _reach_stop(scene: Scene) -> None:
    _settle(scene)
    keeper = scene.keeper()
    keeper.council.leaving = True

    def stop() -> None:
        keeper.state = Running.DEAD

    scene.planned_only = True
    scene.later(scene.stop_notice, stop)
    scene.later(2.0, lambda: start_again(keeper))


def _reach_replacement(scene: Scene) -> None:
    _settle(scene)
    keeper = scene.keeper()
    keeper.state = Running.DEAD
    scene.run(1.0)
    keeper.start()


STEPS: dict[str, Callable[[Scene], None]] = {
    "start": lambda scene: None,
    "first assignment": lambda scene: scene.run_until(
        lambda: bool(scene.world.assignment.shards)
    ),
    "request accepted": _reach_accepted,
    "request queued": lambda scene: _reach_phase(scene, Phase.QUEUED),
    "request handed over": lambda scene: _reach_phase(
        scene, Phase.HANDED_OVER
    ),
    "request running": _reach_running,
    "request answering": _reach_answering,
    "renewal": _settle,
    "text accepted": _reach_move,
    "move: releasing": _reach_releasing,
    "move: owned": _reach_moved,
    "drain over": _reach_drain_end,
    "loss": _reach_loss,
    "takeover: releasing": _reach_takeover,
    "takeover: waiting": _reach_takeover_told,
    "takeover: owned": _reach_taken_over,
    "planned stop": _reach_stop,
    "replacement started": _reach_replacement,
}
