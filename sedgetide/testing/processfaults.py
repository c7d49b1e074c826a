"""Cells of the fault matrix that run with real processes and sockets.

The journals of the simulated upstreams and the answers to callers are checked
as in the simulation. Unavailability is measured for each key, as its callers
see it.
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
from sedgetide.testing.callers import CallResult
from sedgetide.testing.callers import Load
from sedgetide.testing.fleet import Daemon
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.fleet import wait_for
from sedgetide.testing.journals import find_false_refusals
from sedgetide.testing.journals import find_repeated_runs
from sedgetide.testing.journals import find_two_owners
from sedgetide.testing.journals import find_unrecorded
from sedgetide.testing.speed import make_text

_RATE = 120.0
_KEY_COUNT = 40
_WARMUP_TIME = 1.0
_FAULT_TIME = 3.0
_RECOVERY_TIME = 3.0
_DRAINED_WITHIN = 2.0


class ProcessCell(msgspec.Struct, frozen=True):
    """Result of one cell with real processes."""

    fault: str
    step: str
    broken: list[str]
    unavailable: float
    outcomes: dict[str, int]
    note: str = ""


def make_fleet() -> Fleet:
    """Return a fleet of one data centre and three upstreams, not started."""
    text = make_text(slots=4, shards=12)
    service = text["services"][0]
    service["upstreams"] = [
        {**service["upstreams"][0], "name": f"u-{n:02}"} for n in (1, 2, 3)
    ]
    return Fleet(text, upstreams=3)


def measure_unavailable(call_results: list[CallResult], since: float) -> float:
    """Return the longest time for which one key was unavailable.

    Parameters
    ----------
    call_results : list of CallResult
        Results of all requests.
    since : float
        Requests that ended before this time are ignored.

    Returns
    -------
    float
        Longest time in seconds from the start of a request that was not
        answered to the end of the next answered one of its key, or the
        longest time to an answer if that is longer.
    """
    longest = 0.0
    failed_since: dict[str, float] = {}
    for each in sorted(call_results, key=lambda each: each.began):
        if each.began + each.took < since:
            continue
        if each.outcome != "answered":
            failed_since.setdefault(each.path, each.began)
            continue
        began = failed_since.pop(each.path, each.began)
        longest = max(longest, each.began + each.took - began)
    return longest


class LoadedFleet:
    """Fleet under load.

    Parameters
    ----------
    fleet : Fleet
        A fleet that serves requests.
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
            _KEY_COUNT,
        )
        self.note = ""
        self.broken: list[str] = []

    def find_keeper(self) -> Daemon:
        """Return the keeper of the first upstream."""
        return self.fleet.find_keeper("u-01")

    def drain(self, name: str, state: UpstreamState) -> float:
        """Change an upstream's state and return when it was accepted."""
        store = HttpStore([self.fleet.store_address], 5.0)
        with contextlib.closing(store):
            set_upstream_state(store, name, state)
        return time.monotonic()

    def kill_upstream(self, name: str) -> None:
        """Kill the process of an upstream."""
        self.fleet.upstreams[name].kill()

    def start_upstream(self, name: str) -> None:
        """Restart the process of an upstream."""
        self.fleet.start_upstream(*self.fleet.find_service(name))


def _kill_keeper(loaded: LoadedFleet) -> None:
    keeper = loaded.find_keeper()
    keeper.process.kill()
    gevent.sleep(_FAULT_TIME)
    loaded.fleet.restart(keeper)


def _pause_keeper(loaded: LoadedFleet) -> None:
    keeper = loaded.find_keeper()
    keeper.process.pause()
    gevent.sleep(_FAULT_TIME)
    keeper.process.resume()


def _stop_keeper(loaded: LoadedFleet) -> None:
    keeper = loaded.find_keeper()
    keeper.process.terminate()
    if keeper.process.join() != 0:
        loaded.broken.append("exit code of the stopped keeper")
    loaded.fleet.restart(keeper)


def _kill_entry(loaded: LoadedFleet) -> None:
    entry = next(iter(loaded.fleet.entries.values()))
    entry.process.kill()
    gevent.sleep(_FAULT_TIME)
    loaded.fleet.restart(entry)


def _stop_entry(loaded: LoadedFleet) -> None:
    entry = next(iter(loaded.fleet.entries.values()))
    entry.process.terminate()
    wait_for(lambda: not entry.is_ready(), 10, "unready")
    loaded.load.addresses.remove(entry.settings["listen"])
    entry.process.join()
    loaded.fleet.restart(entry)


def _kill_role(role: str) -> Callable[[LoadedFleet], None]:
    def kill(loaded: LoadedFleet) -> None:
        keeper = loaded.fleet.find_role(role)
        keeper.process.kill()
        gevent.sleep(_FAULT_TIME)
        loaded.fleet.restart(keeper)

    return kill


def _lose_upstream(loaded: LoadedFleet) -> None:
    """Kill and restart the upstream that currently owns most shards."""
    owners = [owner for owner, _ in loaded.fleet.list_grants().values()]
    name = max(sorted(set(owners)), key=owners.count)
    loaded.kill_upstream(name)
    gevent.sleep(_FAULT_TIME)
    loaded.start_upstream(name)


def _restart_upstream(loaded: LoadedFleet) -> None:
    loaded.kill_upstream("u-01")
    loaded.start_upstream("u-01")
    gevent.sleep(_FAULT_TIME)


def _freeze_upstream(loaded: LoadedFleet) -> None:
    process = loaded.fleet.upstreams["u-01"]
    process.pause()
    gevent.sleep(_FAULT_TIME)
    process.resume()


def _silence_connections(loaded: LoadedFleet) -> None:
    """Silence an upstream's open connections without closing them."""
    loaded.fleet.set_upstream_fault("u-01", silence=True)
    gevent.sleep(_FAULT_TIME)


def _cut_answers(loaded: LoadedFleet) -> None:
    loaded.fleet.set_upstream_fault("u-01", cut_answers=True)
    gevent.sleep(_FAULT_TIME)
    loaded.fleet.set_upstream_fault("u-01", cut_answers=False)


def _drop_answers(loaded: LoadedFleet) -> None:
    loaded.fleet.set_upstream_fault("u-01", drop_answers=True)
    gevent.sleep(1.0)
    loaded.fleet.set_upstream_fault("u-01", drop_answers=False)


def _store(fault: str, delay: float = 0.0) -> Callable[[LoadedFleet], None]:
    def inject_fault(loaded: LoadedFleet) -> None:
        loaded.fleet.set_store_fault(fault, delay)
        gevent.sleep(2 * _FAULT_TIME)
        loaded.fleet.set_store_fault("none")

    return inject_fault


def _store_and_keeper(loaded: LoadedFleet) -> None:
    loaded.fleet.set_store_fault("down")
    gevent.sleep(1.0)
    keeper = loaded.find_keeper()
    keeper.process.kill()
    gevent.sleep(_FAULT_TIME)
    loaded.fleet.set_store_fault("none")
    loaded.fleet.restart(keeper)


def _drain(loaded: LoadedFleet) -> None:
    accepted = loaded.drain("u-01", UpstreamState.DRAINING)
    gevent.sleep(_DRAINED_WITHIN + 1.0)
    late = [
        each
        for each in loaded.fleet.read_journals()
        if each["upstream"] == "u-01"
        and each["began"] > accepted + _DRAINED_WITHIN
    ]
    if late:
        loaded.broken.append(f"{len(late)} requests to a draining upstream")
    loaded.drain("u-01", UpstreamState.ACTIVE)


def _drain_with(
    inject_fault: Callable[[LoadedFleet], None],
) -> Callable[[LoadedFleet], None]:
    def run(loaded: LoadedFleet) -> None:
        loaded.drain("u-01", UpstreamState.DRAINING)
        inject_fault(loaded)
        loaded.drain("u-01", UpstreamState.ACTIVE)

    return run


def _drop_store_replies(loaded: LoadedFleet) -> None:
    """Drop the reply to every write during a move."""
    loaded.drain("u-01", UpstreamState.DRAINING)
    loaded.fleet.set_store_fault("lost-reply")
    gevent.sleep(_FAULT_TIME)
    loaded.fleet.set_store_fault("none")


def _race_edits(loaded: LoadedFleet) -> None:
    """Have two operators edit the same revision concurrently."""

    def edit(name: str) -> bool:
        try:
            loaded.drain(name, UpstreamState.DRAINING)
        except StoreConflict:
            return False
        return True

    tasks = [gevent.spawn(edit, name) for name in ("u-01", "u-02")]
    gevent.joinall(tasks)
    won = sum(bool(task.value) for task in tasks)
    loaded.note = f"{won} of 2 edits accepted"
    if won == 0:
        loaded.broken.append("both edits were refused")
    gevent.sleep(_FAULT_TIME)


CELLS: list[tuple[str, str, Callable[[LoadedFleet], None]]] = [
    ("none", "renewal", lambda loaded: gevent.sleep(_FAULT_TIME)),
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
    ("reply lost", "drain", _drop_store_replies),
    ("racing edits", "text accepted", _race_edits),
]


def run_process_cell(
    fault: str, step: str, inject_fault: Callable[[LoadedFleet], None]
) -> ProcessCell:
    """Run one cell with a fresh fleet."""
    with make_fleet() as fleet:
        fleet.start(keepers=3, entries=2)
        loaded = LoadedFleet(fleet)
        loaded.load.start()
        gevent.sleep(_WARMUP_TIME)
        injected_at = time.monotonic()
        inject_fault(loaded)
        gevent.sleep(_RECOVERY_TIME)
        call_results = loaded.load.stop()
        broken = loaded.broken + find_violations(fleet, call_results)
        outcomes: dict[str, int] = {}
        for each in call_results:
            name = f"{each.outcome} {each.reason}".strip()
            outcomes[name] = outcomes.get(name, 0) + 1
        if step.endswith("under load") and set(outcomes) != {"answered"}:
            broken.append("requests failed during a planned stop")
        return ProcessCell(
            fault,
            step,
            broken,
            measure_unavailable(call_results, injected_at),
            outcomes,
            loaded.note,
        )


def find_violations(fleet: Fleet, call_results: list[CallResult]) -> list[str]:
    """Return violations of the guarantees that the journals show."""
    journal = fleet.read_journals()
    refused = [e.operation for e in call_results if e.outcome == "not-run"]
    answered = [e.operation for e in call_results if e.outcome == "answered"]
    broken = [f"doubled {each}" for each in find_repeated_runs(journal)]
    broken += find_two_owners(journal)
    broken += [
        f"false not-run of {each}"
        for each in find_false_refusals(journal, refused)
    ]
    broken += [
        f"answered without a run: {each}"
        for each in find_unrecorded(journal, answered)
    ]
    broken += [
        f"truncated or mismatched answer: {each.path}"
        for each in call_results
        if each.outcome == "answered" and not each.whole
    ]
    return broken


class Losses(msgspec.Struct, frozen=True):
    """Times without service after repeated losses, in seconds."""

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
    what: str, inject_fault: Callable[[LoadedFleet], None], count: int
) -> tuple[Losses, list[str]]:
    """Repeat the loss of one kind of process under load."""
    times = []
    with make_fleet() as fleet:
        fleet.start(keepers=3, entries=2)
        loaded = LoadedFleet(fleet)
        loaded.load.start()
        gevent.sleep(_WARMUP_TIME)
        for _ in range(count):
            injected_at = time.monotonic()
            inject_fault(loaded)
            gevent.sleep(_RECOVERY_TIME)
            seen = list(loaded.load.call_results)
            times.append(measure_unavailable(seen, injected_at))
        call_results = loaded.load.stop()
        broken = loaded.broken + find_violations(fleet, call_results)
    return Losses(what, times), broken


LOSSES: list[tuple[str, Callable[[LoadedFleet], None]]] = [
    ("keeper", _kill_keeper),
    ("entry", _kill_entry),
    ("upstream", _lose_upstream),
]
