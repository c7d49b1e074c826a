"""A randomized fault soak of real processes on one machine.

One seed decides which faults strike when; they overlap. Promises are
checked from what callers and upstreams saw, never from what the hosts say.

    python -m sedgetide.testing.soak --seed 7
    python -m sedgetide.testing.soak --first 1 --count 50 --jobs 4
"""

import argparse
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

import gevent

from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLY_PATH
from sedgetide.testing.soakcallers import DeadlyCaller
from sedgetide.testing.soakevacuations import find_floods
from sedgetide.testing.soakevacuations import find_late_runs
from sedgetide.testing.soakevacuations import Operator
from sedgetide.testing.soakfaults import CALM_TIME
from sedgetide.testing.soakfaults import Fault
from sedgetide.testing.soakfaults import FaultDrawer
from sedgetide.testing.soakfaults import find_play
from sedgetide.testing.soakfaults import Play
from sedgetide.testing.soakfleet import ColdStarts
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakleaving import find_late_sends
from sedgetide.testing.soakpromises import Promises
from sedgetide.testing.soakpushback import Absence
from sedgetide.testing.soakpushback import draw_scripts
from sedgetide.testing.soakpushback import find_ignored

CALLERS = 14
# Seconds; where upstreams crash again and again, a leader is often lost soon
# after one, and then keys may be dark for 12 s. Who asks in the 4.5 s after
# that is judged.
_CALM_TIME_DEADLY = 16.5
_KEPT = "build/soak"
_COPIES = 5
# So many hosts before upstreams of one slot that some lend its places.
_CROWD = 6


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
        self._play = find_play(seed)
        self.fleet = self._make_fleet(folder, late)
        patient = self._play >= Play.DEADLY
        self._calm = _CALM_TIME_DEADLY if patient else CALM_TIME
        self._evacuator = Operator(self.fleet)
        self._fault_times: list[tuple[float, float]] = []
        self._absences: list[Absence] = []
        self._promises = Promises(self.fleet, self._calm)
        self.struck: list[str] = []
        self._callers = [
            Caller(number, self.fleet, seed) for number in range(CALLERS)
        ]
        self._drawer = FaultDrawer(
            self._play, self._random, self.fleet, self._evacuator
        )
        copied = self._play is Play.COPIES
        self._deadly = [
            DeadlyCaller(CALLERS + number, self.fleet, seed, copied)
            for number in range(_COPIES if copied else 1)
        ]

    def _make_fleet(self, folder: pathlib.Path, late: float) -> Fleet:
        match self._play:
            case Play.RETURNING:
                era = self._random.choice((0, 0, 6))
                options = ({},) * self._random.choice((3, 3, 8))
                return Fleet(folder, late, options, cold=ColdStarts(), era=era)
            case Play.ASKING:
                says = draw_scripts(self._random)
                return Fleet(folder, late, says=says)
            case Play.COPIES:
                return Fleet(folder, late, crash_on=DEADLY_PATH, slots=4)
            case Play.EVACUATED:
                return Fleet(folder, late, cold=ColdStarts())
            case Play.DEADLY:
                return Fleet(folder, late, crash_on=DEADLY_PATH)
            case Play.CROWDED:
                return Fleet(folder, late, ({},) * _CROWD, slots=1)
        return Fleet(folder, late)

    def run(self) -> None:
        """Play the seed and check the promises."""
        try:
            self.fleet.start()
            tasks = [gevent.spawn(caller.run) for caller in self._callers]
            if self._play in (Play.DEADLY, Play.COPIES):
                tasks += [gevent.spawn(each.run) for each in self._deadly]
            if self._play >= Play.DEADLY:
                tasks.append(gevent.spawn(self.fleet.supervise))
            began = time.monotonic()
            strikes = [
                gevent.spawn_later(fault.at, self._strike, fault)
                for fault in self._drawer.draw()
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
        if self._play is not Play.ASKING:
            promises.check_held(asked)
        promises.problems += find_ignored(events, asked, self._absences)
        promises.check_answers(asked)
        promises.check_owners(events)
        promises.check_recovery(asked, ended)
        promises.check_configuration(self._drawer.extra)
        promises.problems += find_floods(events)
        promises.problems += find_late_sends(events, self._fault_times)
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
