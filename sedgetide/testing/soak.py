"""A randomized fault soak of real processes on one machine.

One seed decides which faults strike when; they overlap. Promises are
checked from what callers and upstreams saw, never from what the hosts say.

    python -m sedgetide.testing.soak --seed 7
    python -m sedgetide.testing.soak --first 1 --count 50 --jobs 4
"""

import argparse
from collections.abc import Callable
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import gevent
from gevent.lock import BoundedSemaphore
import msgspec

from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLY_PATH
from sedgetide.testing.soakcallers import DeadlyCaller
from sedgetide.testing.soakevacuations import draw_data_centre
from sedgetide.testing.soakevacuations import find_floods
from sedgetide.testing.soakevacuations import find_late_runs
from sedgetide.testing.soakevacuations import Operator
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import ColdStarts
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import GRACE
from sedgetide.testing.soakpromises import Promises
from sedgetide.testing.soakpushback import Absence
from sedgetide.testing.soakpushback import draw_scripts
from sedgetide.testing.soakpushback import find_ignored

CALLERS = 14
FAULT_TIME = 9.0
CALM_TIME = 12.0
# Seconds; where upstreams crash again and again, a leader is often lost soon
# after one, and then keys may be dark for 12 s. Who asks in the 4.5 s after
# that is judged.
_CALM_TIME_DEADLY = 16.5
_KEPT = "build/soak"
_RESETS = 40
_FIRST_WITH_FORGETTING = 1000
_FIRST_WITH_RESTARTS = 2000
_FIRST_CROWDED = 3000
_FIRST_DEADLY = 4000
_FIRST_EVACUATED = 5000
# From here on copies of one deadly request come from several callers at once.
_FIRST_COPIES = 6000
# From here on upstreams ask something of those who send to them.
_FIRST_ASKING = 7000
_COPIES = 5
# Seconds between the wish and its end; the soak may end before.
_EVACUATED_FOR = (0.4, 3.0, 9.0, 60.0)
# So many hosts before upstreams of one slot that some lend its places.
_CROWD = 6
_FOREIGN_ENTRIES = (
    "no entry at all",
    {"address": 7, "info": [], "status": None},
    {
        "address": "127.0.0.1:1",
        "info": {"service": "maps", "version": "v1", "zone": "z", "slots": -1},
        "status": {"state": "resting", "sequence": 0, "warmup-left-ms": 0},
    },
)
_RESET_PAUSE = 0.05


class Fault(msgspec.Struct, frozen=True):
    """Something that begins at a time and ends some seconds later.

    Parameters
    ----------
    at, seconds : float
        When it begins, from the first traffic on, and how long it lasts.
    name : str
        For people.
    begin, end : callable
        Do and undo it.
    hosts : tuple of int
        Hosts that are out of touch meanwhile.
    upstream : str
        Beginning of the names of the upstreams that they do not reach; all
        when empty.
    """

    at: float
    seconds: float
    name: str
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None
    hosts: tuple[int, ...] = ()
    upstream: str = ""


def _reset_often(proxy: Proxy) -> None:
    """Reset what is open again and again, so that some of it is at work."""
    for _ in range(_RESETS):
        proxy.reset_all()
        gevent.sleep(_RESET_PAUSE)


class Soak:
    """One run: a fleet, callers, faults, and the promises.

    Parameters
    ----------
    seed : int
        Decides the faults.
    folder : pathlib.Path
        Where settings and output go.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self._random = random.Random(seed)
        late = self._random.choice((0.0, 0.0, 0.1))
        if seed >= _FIRST_ASKING:
            says = draw_scripts(self._random)
            self.fleet = Fleet(folder, late, says=says)
        elif seed >= _FIRST_COPIES:
            self.fleet = Fleet(folder, late, crash_on=DEADLY_PATH, slots=4)
        elif seed >= _FIRST_EVACUATED:
            self.fleet = Fleet(folder, late, cold=ColdStarts())
        elif seed >= _FIRST_DEADLY:
            self.fleet = Fleet(folder, late, crash_on=DEADLY_PATH)
        elif seed >= _FIRST_CROWDED:
            self.fleet = Fleet(folder, late, ({},) * _CROWD, slots=1)
        else:
            self.fleet = Fleet(folder, late)
        self._asking = seed >= _FIRST_ASKING
        self._copied = _FIRST_COPIES <= seed < _FIRST_ASKING
        self._evacuated = _FIRST_EVACUATED <= seed < _FIRST_COPIES
        self._deadly_played = (
            self._copied or _FIRST_DEADLY <= seed < _FIRST_EVACUATED
        )
        patient = seed >= _FIRST_DEADLY
        self._calm = _CALM_TIME_DEADLY if patient else CALM_TIME
        self._evacuator = Operator(self.fleet)
        self._fault_times: list[tuple[float, float]] = []
        self._absences: list[Absence] = []
        self._promises = Promises(self.fleet, self._calm)
        self.struck: list[str] = []
        self._extra: list[str] = []
        self._operator = BoundedSemaphore()
        self._callers = [
            Caller(number, self.fleet, seed) for number in range(CALLERS)
        ]
        self._deadly = [
            DeadlyCaller(CALLERS + number, self.fleet, seed, self._copied)
            for number in range(_COPIES if self._copied else 1)
        ]

    # Faults

    def draw_faults(self) -> list[Fault]:
        """Return the faults of this seed, by time."""
        makers = [
            self._draw_host_signal,
            self._draw_upstream_loss,
            self._draw_store_fault,
            self._draw_link_fault,
            self._draw_link_fault,
            self._draw_configuration,
            self._draw_planned_stop,
        ]
        if self._copied:
            makers.remove(self._draw_upstream_loss)
            makers += [self._draw_host_signal, self._draw_loss_of_all]
        elif self._evacuated:
            makers += [self._draw_evacuation] * 3
            makers += [self._draw_cold_return, self._draw_loss_of_all]
        elif self._asking:
            makers += [self._draw_restart, self._draw_loss_of_all]
        elif self.seed >= _FIRST_DEADLY:
            # Upstreams crash as it is, and are started again for it.
            makers.remove(self._draw_upstream_loss)
        elif self.seed >= _FIRST_WITH_RESTARTS:
            makers += [self._draw_restart, self._draw_restart]
            makers.append(self._draw_foreign_entry)
        faults = [
            self._random.choice(makers)(self._random.uniform(0.5, FAULT_TIME))
            for _ in range(self._random.randrange(3, 8))
        ]
        return sorted(faults, key=lambda fault: fault.at)

    def _draw_seconds(self) -> float:
        return self._random.choice((0.3, 1.0, 2.0, 4.0))

    def _draw_host_signal(self, at: float) -> Fault:
        host = self._random.choice(self.fleet.hosts)
        hosts = (self.fleet.hosts.index(host),)
        seconds = self._draw_seconds()
        if self._random.random() < 0.5:
            return Fault(
                at,
                seconds,
                f"freeze {host.name}",
                lambda: host.program.signal(signal.SIGSTOP),
                lambda: host.program.signal(signal.SIGCONT),
                hosts,
            )

        def kill() -> None:
            host.program.close()

        return Fault(
            at,
            seconds,
            f"kill {host.name}",
            kill,
            host.program.start,
            hosts,
        )

    def _draw_planned_stop(self, at: float) -> Fault:
        host = self._random.choice(self.fleet.hosts)

        def begin() -> None:
            host.program.signal(signal.SIGTERM)

        def end() -> None:
            host.program.wait()
            host.program.close()
            host.program.start()

        hosts = (self.fleet.hosts.index(host),)
        return Fault(at, GRACE, f"stop {host.name}", begin, end, hosts)

    def _draw_upstream_loss(self, at: float) -> Fault:
        upstream = self._random.choice(self.fleet.upstreams)
        seconds = self._draw_seconds()
        if self._random.random() < 0.4:
            return Fault(
                at,
                seconds,
                "freeze an upstream",
                lambda: upstream.program.signal(signal.SIGSTOP),
                lambda: upstream.program.signal(signal.SIGCONT),
            )
        return Fault(
            at,
            seconds + 2.0,
            "kill an upstream",
            lambda: upstream.program.close(),
            upstream.start,
        )

    def _draw_restart(self, at: float) -> Fault:
        """Crash an upstream that is back under its name, often at once."""
        upstream = self._random.choice(self.fleet.upstreams)
        seconds = self._random.choice((0.1, 0.3, 1.0, 3.0))
        return Fault(
            at,
            seconds,
            "restart an upstream under its name",
            lambda: upstream.program.close(),
            upstream.start_again,
        )

    def _draw_evacuation(self, at: float) -> Fault:
        name = draw_data_centre(self._random)
        seconds = self._random.choice(_EVACUATED_FOR)

        def begin() -> None:
            with self._operator:
                self._evacuator.ask(name)
            if seconds <= CALM_TIME:
                gevent.spawn_later(seconds, end)

        def end() -> None:
            with self._operator:
                self._evacuator.take_back(name)

        return Fault(at, 0.0, f"evacuate {name} for {seconds:g}", begin)

    def _draw_cold_return(self, at: float) -> Fault:
        """End a data centre's upstreams, which come back together, cold."""
        name = draw_data_centre(self._random)
        seconds = self._random.choice((0.3, 2.0, 4.0))
        lost = [
            each for each in self.fleet.upstreams if each.data_centre == name
        ]

        def begin() -> None:
            for each in lost:
                each.program.close()

        def end() -> None:
            for each in lost:
                if not each.program.running:
                    each.start()

        return Fault(at, seconds, f"cold return of {name}", begin, end)

    def _draw_loss_of_all(self, at: float) -> Fault:
        def begin() -> None:
            for host in self.fleet.hosts:
                host.program.signal(signal.SIGKILL)

        def end() -> None:
            for host in self.fleet.hosts:
                host.program.wait()
                host.program.start()

        hosts = tuple(range(len(self.fleet.hosts)))
        return Fault(at, 0.5, "kill all hosts", begin, end, hosts)

    def _draw_foreign_entry(self, at: float) -> Fault:
        """Let another writer overwrite an entry, or add one."""
        upstream = self._random.choice(self.fleet.upstreams)
        added = self._random.random() < 0.5
        value = self._random.choice(_FOREIGN_ENTRIES)

        def begin() -> None:
            name = "i-foreign" if added else upstream.name
            self.fleet.put_entry(name, value)

        return Fault(at, 0.0, "foreign entry", begin)

    def _draw_store_fault(self, at: float) -> Fault:
        kind = self._random.choice(
            ("down", "lost", "late", "forget", "revoke")
        )
        seconds = self._draw_seconds()
        document = {"kind": kind, "seconds": seconds}
        if kind == "revoke":
            document["forget"] = self._random.random() < 0.5

        def begin() -> None:
            call(self.fleet.store_port, "POST", "/fault", document)

        return Fault(at, seconds, f"store {kind}", begin)

    def _draw_link_fault(self, at: float) -> Fault:
        proxies = {
            f"store of {host.name}": host.store for host in self.fleet.hosts
        }
        for number, upstream in enumerate(self.fleet.upstreams):
            proxies[f"upstream {number}"] = upstream.proxy
        for host in self.fleet.hosts:
            proxies[f"front of {host.name}"] = host.front
        name = self._random.choice(sorted(proxies))
        return self._break_link(at, name, proxies[name])

    def _list_link_faults(self) -> tuple[str, ...]:
        kinds = ("reset", "silence", "delay", "cut", "one-way", "refuse")
        if self.seed < _FIRST_WITH_FORGETTING:
            # Regressions go on drawing the faults that they were found with.
            return kinds
        return (*kinds, Mode.FORGET.value, Mode.FORGET.value)

    def _break_link(self, at: float, name: str, proxy: Proxy) -> Fault:
        kind = self._random.choice(self._list_link_faults())
        label = f"{kind} {name}"
        hosts: tuple[int, ...] = ()
        upstream = ""
        if name.startswith("upstream"):
            # What was held up on this way arrives together when it ends.
            hosts = tuple(range(len(self.fleet.hosts)))
            upstream = f"i-{name.split()[1]}-"
        if kind == "reset":
            return Fault(
                at, 0.0, label, lambda: gevent.spawn(_reset_often, proxy)
            )
        if kind == "silence":
            return Fault(at, 0.0, label, proxy.silence_all)

        def set_mode(mode: Mode) -> None:
            proxy.mode = mode
            if mode is Mode.REFUSE:
                proxy.reset_all()

        return Fault(
            at,
            self._draw_seconds(),
            label,
            lambda: set_mode(Mode(kind)),
            lambda: set_mode(Mode.PASS),
            hosts,
            upstream,
        )

    def _draw_configuration(self, at: float) -> Fault:
        def begin() -> None:
            # One operator: a version whose answer was lost is written again
            # before the next one. Written after it, it would replace it, and
            # hosts that start could not know of the newer one.
            with self._operator:
                self._extra.append(f"extra{len(self._extra)}")
                version = 1 + len(self._extra)
                self.fleet.configure(version, tuple(self._extra))

        return Fault(at, 0.0, "configuration", begin)

    # The run

    def run(self) -> None:
        """Play the seed and check the promises."""
        try:
            self.fleet.start()
            tasks = [gevent.spawn(caller.run) for caller in self._callers]
            if self._deadly_played:
                tasks += [gevent.spawn(each.run) for each in self._deadly]
            if self.seed >= _FIRST_DEADLY:
                tasks.append(gevent.spawn(self.fleet.supervise))
            began = time.monotonic()
            strikes = [
                gevent.spawn_later(fault.at, self._strike, fault)
                for fault in self.draw_faults()
            ]
            gevent.joinall(strikes)
            calm = time.monotonic()
            gevent.sleep(self._calm)
            ended = time.monotonic()
            gevent.killall(tasks)
            gevent.sleep(0.2)
            self._check(ended)
            self.struck.insert(0, f"calm after {calm - began:.1f} s")
        finally:
            self.fleet.close()

    def _strike(self, fault: Fault) -> None:
        self.struck.append(f"{fault.at:.1f} {fault.name} {fault.seconds:g}")
        began = time.monotonic()
        fault.begin()
        gevent.sleep(fault.seconds)
        fault.end()
        if not fault.name.startswith("evacuate"):
            self._fault_times.append((began, time.monotonic()))
        if fault.hosts:
            self._absences.append(
                Absence(fault.hosts, began, time.monotonic(), fault.upstream)
            )

    # Promises

    @property
    def problems(self) -> list[str]:
        """Promises that were broken."""
        return self._promises.problems

    def _check(self, ended: float) -> None:
        asked = [ask for caller in self._callers for ask in caller.asked]
        events = self.fleet.read_events()
        promises = self._promises
        deadly = [ask for caller in self._deadly for ask in caller.asked]
        promises.check_runs([*asked, *deadly], events)
        promises.check_deadly(events)
        if not self._asking:
            promises.check_held(asked)
        promises.problems += find_ignored(events, asked, self._absences)
        promises.check_answers(asked)
        promises.check_owners(events)
        promises.check_recovery(asked, ended)
        promises.check_configuration(self._extra)
        promises.problems += find_floods(events)
        promises.problems += find_late_runs(
            self.fleet, self._evacuator.evacuations, events, self._fault_times
        )


def play(seed: int, folder: pathlib.Path) -> Soak:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Decides the faults.
    folder : pathlib.Path
        Where settings and output go; kept.
    """
    soak = Soak(seed, folder)
    soak.run()
    return soak


def _play_here(seed: int, keep: pathlib.Path | None) -> int:
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch) if keep is None else keep
        folder.mkdir(parents=True, exist_ok=True)
        soak = play(seed, folder)
        if soak.problems and keep is None:
            shutil.copytree(scratch, f"{_KEPT}/{seed}", dirs_exist_ok=True)
    print(f"seed {seed}: {len(soak.problems)} broken; {soak.struck}")
    for problem in soak.problems[:5]:
        print(f"  {problem}")
    return 1 if soak.problems else 0


def _play_many(seeds: list[int], jobs: int) -> int:
    waiting = list(seeds)
    running: list[subprocess.Popen[bytes]] = []
    broken = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            seed = waiting.pop(0)
            command = [sys.executable, "-m", __spec__.name, f"--seed={seed}"]
            running.append(subprocess.Popen(command))
        for each in [each for each in running if each.poll() is not None]:
            running.remove(each)
            broken += each.returncode != 0
        time.sleep(0.1)
    print(f"{len(seeds)} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def main() -> int:
    """Play one seed, or many side by side."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    if options.seed is not None:
        return _play_here(options.seed, options.keep)
    seeds = list(range(options.first, options.first + options.count))
    return _play_many(seeds, options.jobs)


if __name__ == "__main__":
    raise SystemExit(main())
