"""Randomized soak test with faults, run on real processes of one machine.

The seed determines which faults are injected and when; faults overlap. The
guarantees are checked against what callers and upstreams recorded, never
against what the hosts report.

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
from sedgetide.testing.soakchecks import SoakChecks
from sedgetide.testing.soakevacuations import find_flooded
from sedgetide.testing.soakevacuations import find_late_runs
from sedgetide.testing.soakevacuations import Operator
from sedgetide.testing.soakfaults import Fault
from sedgetide.testing.soakfaults import FaultSampler
from sedgetide.testing.soakfaults import FaultSet
from sedgetide.testing.soakfaults import find_fault_set
from sedgetide.testing.soakfaults import RECOVERY_TIME
from sedgetide.testing.soakfleet import ColdStartLimits
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakleaving import find_late_sends
from sedgetide.testing.soakpushback import draw_scripts
from sedgetide.testing.soakpushback import find_pushback_violations
from sedgetide.testing.soakpushback import HostOutage

CALLERS = 14
# Seconds. Where upstreams crash repeatedly, the leader is often lost soon
# after an upstream, and keys may then be without an owner for 12 s. Requests
# of the following 4.5 s are checked.
_RECOVERY_TIME_DEADLY = 16.5
_FAILED_RUNS = "build/soak"
_DEADLY_CALLERS = 5
# Enough hosts in front of upstreams of one slot that some of them lend its
# places to others.
_CROWDED_HOSTS = 6


class Soak:
    """One soak run with its fleet, callers, faults and checks.

    Parameters
    ----------
    seed : int
        Seed that determines the faults.
    folder : pathlib.Path
        Folder for settings and process output.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self._random = random.Random(seed)
        late_grants = self._random.choice((0.0, 0.0, 0.1))
        self._fault_set = find_fault_set(seed)
        self.fleet = self._make_fleet(folder, late_grants)
        crashing = self._fault_set >= FaultSet.DEADLY
        self._recovery_time = (
            _RECOVERY_TIME_DEADLY if crashing else RECOVERY_TIME
        )
        self._operator = Operator(self.fleet)
        self._fault_times: list[tuple[float, float]] = []
        self._outages: list[HostOutage] = []
        self._checks = SoakChecks(self.fleet, self._recovery_time)
        self.injected: list[str] = []
        self._callers = [
            Caller(number, self.fleet, seed) for number in range(CALLERS)
        ]
        self._fault_sampler = FaultSampler(
            self._fault_set, self._random, self.fleet, self._operator
        )
        with_copies = self._fault_set is FaultSet.COPIES
        self._deadly = [
            DeadlyCaller(CALLERS + number, self.fleet, seed, with_copies)
            for number in range(_DEADLY_CALLERS if with_copies else 1)
        ]

    def _make_fleet(self, folder: pathlib.Path, late_grants: float) -> Fleet:
        match self._fault_set:
            case FaultSet.PATHS:
                return self._make_routed_fleet(folder, late_grants)
            case FaultSet.ISOLATED:
                return Fleet(
                    folder,
                    late_grants,
                    ({},) * self._random.choice((3, 5, 8)),
                    slots=3,
                    era=self._random.choice((0, 6, 6)),
                    with_gateways=True,
                )
            case FaultSet.RESTORES:
                era = self._random.choice((0, 0, 6))
                options = ({},) * self._random.choice((3, 3, 8))
                return Fleet(
                    folder,
                    late_grants,
                    options,
                    cold=ColdStartLimits(),
                    era=era,
                )
            case FaultSet.PUSHBACK:
                says = draw_scripts(self._random)
                return Fleet(folder, late_grants, says=says)
            case FaultSet.COPIES:
                return Fleet(
                    folder, late_grants, crash_on=DEADLY_PATH, slots=4
                )
            case FaultSet.EVACUATED:
                return Fleet(folder, late_grants, cold=ColdStartLimits())
            case FaultSet.DEADLY:
                return Fleet(folder, late_grants, crash_on=DEADLY_PATH)
            case FaultSet.CROWDED:
                return Fleet(
                    folder, late_grants, ({},) * _CROWDED_HOSTS, slots=1
                )
        return Fleet(folder, late_grants)

    def _make_routed_fleet(
        self, folder: pathlib.Path, late_grants: float
    ) -> Fleet:
        """Return a fleet whose hosts have gateways, and some no peers."""
        count = self._random.choice((3, 5, 8))
        alone = self._random.choice((0, 0, 1, 2))
        options = [{}] * (count - alone) + [{"forward_port": None}] * alone
        return Fleet(folder, late_grants, options, slots=3, with_gateways=True)

    def run(self) -> None:
        """Run the soak and check the guarantees."""
        try:
            self.fleet.start()
            tasks = [gevent.spawn(caller.run) for caller in self._callers]
            if self._fault_set in (FaultSet.DEADLY, FaultSet.COPIES):
                tasks += [gevent.spawn(each.run) for each in self._deadly]
            if self._fault_set >= FaultSet.DEADLY:
                tasks.append(gevent.spawn(self.fleet.supervise))
            began = time.monotonic()
            injections = [
                gevent.spawn_later(fault.at, self._inject, fault)
                for fault in self._fault_sampler.draw()
            ]
            gevent.joinall(injections)
            faults_ended = time.monotonic()
            gevent.sleep(self._recovery_time)
            ended = time.monotonic()
            gevent.killall(tasks)
            gevent.sleep(0.2)
            self._check(ended)
            self.injected.insert(
                0, f"faults ended after {faults_ended - began:.1f} s"
            )
        finally:
            self.fleet.close()

    def _inject(self, fault: Fault) -> None:
        self.injected.append(f"{fault.at:.1f} {fault.name} {fault.seconds:g}")
        began = time.monotonic()
        fault.begin()
        gevent.sleep(fault.seconds)
        fault.end()
        if not fault.name.startswith("evacuate"):
            self._fault_times.append((began, time.monotonic()))
        if fault.hosts:
            self._outages.append(
                HostOutage(
                    fault.hosts, began, time.monotonic(), fault.upstream
                )
            )

    # Checks

    @property
    def problems(self) -> list[str]:
        """Violations of the guarantees, one text each."""
        return self._checks.problems

    def _check(self, ended: float) -> None:
        records = [
            record for caller in self._callers for record in caller.records
        ]
        events = self.fleet.read_events()
        checks = self._checks
        deadly = [
            record for caller in self._deadly for record in caller.records
        ]
        checks.check_runs([*records, *deadly], events)
        checks.check_deadly(events)
        if self._fault_set is not FaultSet.PUSHBACK:
            checks.check_quarantined(records)
        checks.problems += find_pushback_violations(
            events, records, self._outages
        )
        checks.check_answers(records)
        checks.check_owners(events)
        checks.check_holdings(events, ended)
        checks.check_recovery(records, ended)
        checks.check_configuration(self._fault_sampler.extra_routes)
        checks.problems += find_flooded(events)
        checks.problems += find_late_sends(events, self._fault_times)
        checks.problems += find_late_runs(
            self.fleet, self._operator.evacuations, events, self._fault_times
        )


def run_soak(seed: int, folder: pathlib.Path) -> Soak:
    """Run the soak of one seed.

    Parameters
    ----------
    seed : int
        Seed that determines the faults.
    folder : pathlib.Path
        Folder for settings and process output; it is not removed.
    """
    soak = Soak(seed, folder)
    soak.run()
    return soak


def _run_seed(seed: int, keep: pathlib.Path | None) -> int:
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch) if keep is None else keep
        folder.mkdir(parents=True, exist_ok=True)
        soak = run_soak(seed, folder)
        if soak.problems and keep is None:
            shutil.copytree(
                scratch, f"{_FAILED_RUNS}/{seed}", dirs_exist_ok=True
            )
    print(f"seed {seed}: {len(soak.problems)} violations; {soak.injected}")
    for problem in soak.problems[:5]:
        print(f"  {problem}")
    return 1 if soak.problems else 0


def _run_seeds(seeds: list[int], jobs: int) -> int:
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
    print(f"{len(seeds)} seeds, {broken} with violations")
    return 1 if broken else 0


def main() -> int:
    """Run one seed, or many seeds in parallel processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    if options.seed is not None:
        return _run_seed(options.seed, options.keep)
    seeds = list(range(options.first, options.first + options.count))
    return _run_seeds(seeds, options.jobs)


if __name__ == "__main__":
    raise SystemExit(main())
