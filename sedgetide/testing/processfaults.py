"""Cells of the fault matrix with real processes and sockets.

The stand-ins' journals and the callers' answers are checked as in the small
world; darkness is measured per key, as callers see it.
"""

from collections.abc import Callable
import contextlib
import statistics
import time

import gevent
import msgspec

from sedgetide.backends.httpstore import HttpStore
from sedgetide.command.configuration import set_upstream_state
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.errors import StoreConflict
from sedgetide.testing.callers import Load
from sedgetide.testing.callers import Told
from sedgetide.testing.fleet import Daemon
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.fleet import wait_for
from sedgetide.testing.journals import find_doubled
from sedgetide.testing.journals import find_false_refusals
from sedgetide.testing.journals import find_lost
from sedgetide.testing.journals import find_two_owners
from sedgetide.testing.speed import make_text

_RATE = 120.0
_NAMES = 40
_WARM = 1.0
_PAUSE = 3.0
_AFTER = 3.0
_LEAVES_WITHIN = 2.0


class ProcessCell(msgspec.Struct, frozen=True):
    """Result of one cell with real processes."""

    fault: str
    step: str
    broken: list[str]
    unavailable: float
    outcomes: dict[str, int]
    note: str = ""


def make_fleet() -> Fleet:
    """Return a data centre of three upstreams, not yet started."""
    text = make_text(slots=4, shards=12)
    service = text["services"][0]
    service["upstreams"] = [
        {**service["upstreams"][0], "name": f"u-{n:02}"} for n in (1, 2, 3)
    ]
    return Fleet(text, upstreams=3)


def measure_unavailable(told: list[Told], since: float) -> float:
    """Return the longest time one key could not be used.

    Parameters
    ----------
    told : list of Told
        What callers were told.
    since : float
        Requests that ended before count for nothing.

    Returns
    -------
    float
        Seconds from the start of a request that was not answered to the
        end of the next answered one of its key; also the longest wait for
        an answer.
    """
    longest = 0.0
    failed_since: dict[str, float] = {}
    for each in sorted(told, key=lambda each: each.began):
        if each.began + each.took < since:
            continue
        if each.outcome != "answered":
            failed_since.setdefault(each.path, each.began)
            continue
        began = failed_since.pop(each.path, each.began)
        longest = max(longest, each.began + each.took - began)
    return longest


class Stage:
    """A started fleet under load.

    Parameters
    ----------
    fleet : Fleet
        Started and serving.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        addresses = [
            entry.settings["listen"] for entry in fleet.entries.values()
        ]
        self.load = Load(
            addresses,
            [("GET", "/s/k{n}"), ("POST", "/s/k{n}"), ("GET", "/s/m{n}")],
            _RATE,
            _NAMES,
        )
        self.note = ""
        self.broken: list[str] = []

    def keeper(self) -> Daemon:
        """Return the keeper of the first upstream."""
        return self.fleet.find_keeper("u-01")

    def drain(self, name: str, state: UpstreamState) -> float:
        """Change an upstream's state and return when it was accepted."""
        store = HttpStore([self.fleet.store_address], 5.0)
        with contextlib.closing(store):
            set_upstream_state(store, name, state)
        return time.monotonic()

    def kill_upstream(self, name: str) -> None:
        """End the process of an upstream."""
        self.fleet.upstreams[name].kill()

    def start_upstream(self, name: str) -> None:
        """Start an upstream's process again."""
        self.fleet.start_upstream(*self.fleet.find_service(name))


def _kill_keeper(stage: Stage) -> None:
    keeper = stage.keeper()
    keeper.process.kill()
    gevent.sleep(_PAUSE)
    stage.fleet.restart(keeper)


def _pause_keeper(stage: Stage) -> None:
    keeper = stage.keeper()
    keeper.process.pause()
    gevent.sleep(_PAUSE)
    keeper.process.resume()


def _stop_keeper(stage: Stage) -> None:
    keeper = stage.keeper()
    keeper.process.terminate()
    if keeper.process.join() != 0:
        stage.broken.append("exit code of the stopped keeper")
    stage.fleet.restart(keeper)


def _kill_entry(stage: Stage) -> None:
    entry = next(iter(stage.fleet.entries.values()))
    entry.process.kill()
    gevent.sleep(_PAUSE)
    stage.fleet.restart(entry)


def _stop_entry(stage: Stage) -> None:
    entry = next(iter(stage.fleet.entries.values()))
    entry.process.terminate()
    wait_for(lambda: not entry.is_ready(), 10, "unready")
    stage.load.addresses.remove(entry.settings["listen"])
    entry.process.join()
    stage.fleet.restart(entry)


def _kill_role(role: str) -> Callable[[Stage], None]:
    def kill(stage: Stage) -> None:
        keeper = stage.fleet.find_role(role)
        keeper.process.kill()
        gevent.sleep(_PAUSE)
        stage.fleet.restart(keeper)

    return kill


def _lose_upstream(stage: Stage) -> None:
    """Lose the upstream that owns the most shards at the time."""
    owners = [owner for owner, _ in stage.fleet.list_grants().values()]
    name = max(sorted(set(owners)), key=owners.count)
    stage.kill_upstream(name)
    gevent.sleep(_PAUSE)
    stage.start_upstream(name)


def _restart_upstream(stage: Stage) -> None:
    stage.kill_upstream("u-01")
    stage.start_upstream("u-01")
    gevent.sleep(_PAUSE)


def _freeze_upstream(stage: Stage) -> None:
    process = stage.fleet.upstreams["u-01"]
    process.pause()
    gevent.sleep(_PAUSE)
    process.resume()


def _silence_connections(stage: Stage) -> None:
    """Let all open connections of an upstream stay silent for good."""
    stage.fleet.set_upstream_fault("u-01", silence=True)
    gevent.sleep(_PAUSE)


def _cut_answers(stage: Stage) -> None:
    stage.fleet.set_upstream_fault("u-01", cut_answers=True)
    gevent.sleep(_PAUSE)
    stage.fleet.set_upstream_fault("u-01", cut_answers=False)


def _drop_answers(stage: Stage) -> None:
    stage.fleet.set_upstream_fault("u-01", drop_answers=True)
    gevent.sleep(1.0)
    stage.fleet.set_upstream_fault("u-01", drop_answers=False)


def _store(fault: str, delay: float = 0.0) -> Callable[[Stage], None]:
    def strike(stage: Stage) -> None:
        stage.fleet.set_store_fault(fault, delay)
        gevent.sleep(2 * _PAUSE)
        stage.fleet.set_store_fault("none")

    return strike


def _store_and_keeper(stage: Stage) -> None:
    stage.fleet.set_store_fault("down")
    gevent.sleep(1.0)
    keeper = stage.keeper()
    keeper.process.kill()
    gevent.sleep(_PAUSE)
    stage.fleet.set_store_fault("none")
    stage.fleet.restart(keeper)


def _drain(stage: Stage) -> None:
    accepted = stage.drain("u-01", UpstreamState.DRAINING)
    gevent.sleep(_LEAVES_WITHIN + 1.0)
    late = [
        each
        for each in stage.fleet.read_journals()
        if each["upstream"] == "u-01"
        and each["began"] > accepted + _LEAVES_WITHIN
    ]
    if late:
        stage.broken.append(f"{len(late)} requests to a leaving upstream")
    stage.drain("u-01", UpstreamState.ACTIVE)


def _drain_with(
    strike: Callable[[Stage], None],
) -> Callable[[Stage], None]:
    def run(stage: Stage) -> None:
        stage.drain("u-01", UpstreamState.DRAINING)
        strike(stage)
        stage.drain("u-01", UpstreamState.ACTIVE)

    return run


def _lose_replies(stage: Stage) -> None:
    """Lose the reply of every write while a move is under way."""
    stage.drain("u-01", UpstreamState.DRAINING)
    stage.fleet.set_store_fault("lost-reply")
    gevent.sleep(_PAUSE)
    stage.fleet.set_store_fault("none")


def _race_edits(stage: Stage) -> None:
    """Have two operators edit the same revision."""

    def edit(name: str) -> bool:
        try:
            stage.drain(name, UpstreamState.DRAINING)
        except StoreConflict:
            return False
        return True

    tasks = [gevent.spawn(edit, name) for name in ("u-01", "u-02")]
    gevent.joinall(tasks)
    won = sum(bool(task.value) for task in tasks)
    stage.note = f"{won} of 2 edits accepted"
    if won == 0:
        stage.broken.append("both edits were refused")
    gevent.sleep(_PAUSE)


CELLS: list[tuple[str, str, Callable[[Stage], None]]] = [
    ("none", "renewal", lambda stage: gevent.sleep(_PAUSE)),
    ("keeper killed", "renewal", _kill_keeper),
    ("keeper paused", "renewal", _pause_keeper),
    ("planned stop", "keeper under load", _stop_keeper),
    ("entry killed", "requests in hand", _kill_entry),
    ("planned stop", "entry under load", _stop_entry),
    ("assigner killed", "renewal", _kill_role("assigner")),
    ("watcher killed", "renewal", _kill_role("watching")),
    ("upstream killed", "requests in hand", _lose_upstream),
    ("upstream restarted", "requests in hand", _restart_upstream),
    ("upstream frozen", "requests in hand", _freeze_upstream),
    ("connections silent", "renewal and requests", _silence_connections),
    ("answers cut", "answering", _cut_answers),
    ("answers never sent", "answering", _drop_answers),
    ("store down", "renewal", _store("down")),
    ("store slow", "renewal", _store("slow", 0.3)),
    ("store down, keeper killed", "renewal", _store_and_keeper),
    ("none", "drain", _drain),
    ("keeper paused", "drain", _drain_with(_pause_keeper)),
    ("assigner killed", "drain", _drain_with(_kill_role("assigner"))),
    ("upstream killed", "drain", _drain_with(_lose_upstream)),
    ("reply lost", "drain", _lose_replies),
    ("racing edits", "text accepted", _race_edits),
]


def run_process_cell(
    fault: str, step: str, strike: Callable[[Stage], None]
) -> ProcessCell:
    """Run one cell with a fresh fleet."""
    with make_fleet() as fleet:
        fleet.start(keepers=3, entries=2)
        stage = Stage(fleet)
        stage.load.start()
        gevent.sleep(_WARM)
        struck_at = time.monotonic()
        strike(stage)
        gevent.sleep(_AFTER)
        told = stage.load.stop()
        broken = stage.broken + check_promises(fleet, told)
        outcomes: dict[str, int] = {}
        for each in told:
            name = f"{each.outcome} {each.reason}".strip()
            outcomes[name] = outcomes.get(name, 0) + 1
        if step.endswith("under load") and set(outcomes) != {"answered"}:
            broken.append("a planned stop cut requests")
        return ProcessCell(
            fault,
            step,
            broken,
            measure_unavailable(told, struck_at),
            outcomes,
            stage.note,
        )


def check_promises(fleet: Fleet, told: list[Told]) -> list[str]:
    """Return the promises that the journals show to be broken."""
    journal = fleet.read_journals()
    refused = [e.operation for e in told if e.outcome == "not-run"]
    answered = [e.operation for e in told if e.outcome == "answered"]
    broken = [f"doubled {each}" for each in find_doubled(journal)]
    broken += find_two_owners(journal)
    broken += [
        f"false not-run of {each}"
        for each in find_false_refusals(journal, refused)
    ]
    broken += [
        f"answered without a run: {each}"
        for each in find_lost(journal, answered)
    ]
    broken += [
        f"answer of another or cut: {each.path}"
        for each in told
        if each.outcome == "answered" and not each.whole
    ]
    return broken


class Losses(msgspec.Struct, frozen=True):
    """Unavailable times of repeated losses in seconds."""

    what: str
    times: list[float]

    @property
    def median(self) -> float:
        """Median of the times."""
        return statistics.median(self.times)

    @property
    def worst(self) -> float:
        """Longest of the times."""
        return max(self.times)


def measure_losses(
    what: str, strike: Callable[[Stage], None], count: int
) -> tuple[Losses, list[str]]:
    """Lose the same kind of process again and again under load."""
    times = []
    with make_fleet() as fleet:
        fleet.start(keepers=3, entries=2)
        stage = Stage(fleet)
        stage.load.start()
        gevent.sleep(_WARM)
        for _ in range(count):
            struck_at = time.monotonic()
            strike(stage)
            gevent.sleep(_AFTER)
            seen = list(stage.load.told)
            times.append(measure_unavailable(seen, struck_at))
        told = stage.load.stop()
        broken = stage.broken + check_promises(fleet, told)
    return Losses(what, times), broken


LOSSES: list[tuple[str, Callable[[Stage], None]]] = [
    ("keeper", _kill_keeper),
    ("entry", _kill_entry),
    ("upstream", _lose_upstream),
]
