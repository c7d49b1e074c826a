"""Faults of the fault matrix; most end by themselves after a pause."""

from collections.abc import Callable

from sedgetide.testing.scenes import Scene
from sedgetide.testing.scenes import start_again
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.world import FakeKeeper
from sedgetide.testing.world import Running
from sedgetide.testing.world import STORE


def _kill(scene: Scene, keeper: FakeKeeper) -> None:
    keeper.state = Running.DEAD
    scene.later(scene.pause, lambda: start_again(keeper))


def _pause(scene: Scene, keeper: FakeKeeper) -> None:
    if keeper.state is not Running.RUNNING:
        return
    keeper.pause()

    def resume() -> None:
        if keeper.state is Running.PAUSED:
            keeper.resume()

    scene.later(scene.pause, resume)


def _pause_at_write(scene: Scene) -> None:
    """Pause the assigner between its plan and its write."""
    keeper = scene.assigner()
    keeper.pause_at_write = True

    def resume() -> None:
        keeper.pause_at_write = False
        if keeper.state is Running.PAUSED:
            keeper.resume()

    scene.later(scene.pause, resume)


def _delay_records(scene: Scene) -> None:
    """Let today's records reach every keeper once more, much later."""
    world = scene.world
    text, text_revision = world.text, world.text_revision
    assignment, revision = world.read_assignment()

    def arrive() -> None:
        for keeper in world.keepers.values():
            keeper.take_text(text, text_revision)
            keeper.take_record(assignment, revision)

    scene.later(scene.pause, arrive)
    scene.drain("u2")


def _restart(scene: Scene) -> None:
    scene.keeper().start()


def _find_watcher(scene: Scene) -> FakeKeeper:
    for keeper in scene.world.keepers.values():
        now = keeper.clock.read(scene.world.now)
        running = keeper.state is Running.RUNNING
        if running and keeper.council.is_watching(now):
            return keeper
    return scene.any_keeper()


def _heal(scene: Scene) -> None:
    scene.world.heal()


def _cut_keeper(scene: Scene, store: bool, peers: bool) -> None:
    keeper = scene.keeper()
    if store:
        scene.world.cut(keeper.host, STORE)
    if peers:
        for host in scene.world.keepers:
            if host != keeper.host:
                scene.world.cut(keeper.host, host)
    scene.later(scene.pause, lambda: _heal(scene))


def _cut_centre(scene: Scene) -> None:
    for host in scene.world.keepers:
        scene.world.cut(host, STORE)
    scene.later(scene.pause, lambda: _heal(scene))


def _cut_entry(scene: Scene) -> None:
    for host in scene.world.keepers:
        scene.world.cut(scene.callers.name, host)
    scene.later(scene.pause, lambda: _heal(scene))


def _cut_upstream(scene: Scene) -> None:
    scene.world.cut(scene.keeper().host, scene.owner())
    scene.later(scene.pause, lambda: _heal(scene))


def _fail_store(scene: Scene, fault: StoreFault) -> None:
    scene.world.store_fault = fault

    def end() -> None:
        scene.world.store_fault = StoreFault.NONE

    scene.later(scene.pause, end)


def _kill_upstream(scene: Scene) -> None:
    upstream = scene.world.upstreams[scene.owner()]
    upstream.state = Running.DEAD
    scene.later(scene.pause, upstream.restart)


def _restart_upstream(scene: Scene) -> None:
    scene.world.upstreams[scene.owner()].restart()


def _freeze_upstream(scene: Scene) -> None:
    upstream = scene.world.upstreams[scene.owner()]
    if upstream.state is not Running.RUNNING:
        return
    upstream.state = Running.PAUSED

    def resume() -> None:
        if upstream.state is Running.PAUSED:
            upstream.resume(scene.world.now)

    scene.later(scene.pause, resume)


def _race_edits(scene: Scene) -> None:
    scene.drain("u2")
    scene.tick()
    scene.drain("u3")


def _skew(scene: Scene, rate: float) -> None:
    """Let keepers' clocks run at another rate than the upstreams'."""
    error = scene.world.timing.clock_error / 2
    now = scene.world.now
    for keeper in scene.world.keepers.values():
        _set_rate(keeper.clock, 1.0 + rate * error, now)
    for upstream in scene.world.upstreams.values():
        _set_rate(upstream.clock, 1.0 - rate * error, now)


def _set_rate(clock: object, rate: float, now: float) -> None:
    clock.offset += now * (clock.rate - rate)
    clock.rate = rate


FAULTS: dict[str, Callable[[Scene], None]] = {
    "none": lambda scene: None,
    "keeper killed": lambda scene: _kill(scene, scene.keeper()),
    "keeper restarted": _restart,
    "keeper paused": lambda scene: _pause(scene, scene.keeper()),
    "assigner killed": lambda scene: _kill(scene, scene.assigner()),
    "assigner paused": lambda scene: _pause(scene, scene.assigner()),
    "assigner paused at a write": _pause_at_write,
    "records overtaken": _delay_records,
    "watcher killed": lambda scene: _kill(scene, _find_watcher(scene)),
    "upstream killed": _kill_upstream,
    "upstream restarted": _restart_upstream,
    "upstream frozen": _freeze_upstream,
    "keeper cut from store": lambda scene: _cut_keeper(scene, True, False),
    "keeper cut from peers": lambda scene: _cut_keeper(scene, False, True),
    "keeper cut from both": lambda scene: _cut_keeper(scene, True, True),
    "keeper cut from upstream": _cut_upstream,
    "centre cut from platform": _cut_centre,
    "centre cut from others": _cut_entry,
    "store down": lambda scene: _fail_store(scene, StoreFault.DOWN),
    "reply lost": lambda scene: _fail_store(scene, StoreFault.LOST_REPLY),
    "racing edits": _race_edits,
    "clocks fast": lambda scene: _skew(scene, 1.0),
    "clocks slow": lambda scene: _skew(scene, -1.0),
}
