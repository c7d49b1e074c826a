"""Runs of a fleet in a deployment's shape, with faults drawn from a seed.

    python -m sedgetide.testing.deploymentruns --seed 7
    python -m sedgetide.testing.deploymentruns --first 1 --count 8 --jobs 2 \
        --source ../earlier-version

What upstreams recorded is checked, never what hosts report. A case is a pair
of upstreams that hold the same keys, or that both begin requests on a key, a
range that is taken at a wrong fence, or a grant of a key on which another
upstream is at work.
"""

import argparse
from collections.abc import Sequence
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import gevent
import msgspec

from sedgetide.testing.deploymentfaults import DeploymentFaultSampler
from sedgetide.testing.deploymentfaults import ScheduledFault
from sedgetide.testing.deploymentfleet import DeploymentFleet
from sedgetide.testing.deploymentshape import DeploymentShape
from sedgetide.testing.deploymentshape import parse_shape
from sedgetide.testing.deploymentshape import RFI_GATEWAY
from sedgetide.testing.gateways import Path
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import GRANTED
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakholdings import find_holding_violations
from sedgetide.testing.soakholdings import Heal
from sedgetide.testing.soakholdings import list_counted_grants
from sedgetide.testing.workchecks import find_grants_over_work

# Seconds from the first traffic on.
_FIRST_FAULT = 2.0
_LAST_FAULT = 29.0
_FINAL_FAULT = 32.0
_END = 41.0
_LEAD_TIME = 1.0
_FAULT_COUNT = (10, 15)
_SERVED_WINDOW = 3.0
_PRESENT = pathlib.Path(__file__).resolve().parents[2]


class Cases(msgspec.Struct, frozen=True):
    """Violations of the rule that one upstream holds a key.

    Parameters
    ----------
    counted : tuple of str
        Violations by grants that were neither held up nor applied late.
    held_up : tuple of str
        Violations that only grants that were held up, or applied late, show.
    """

    counted: tuple[str, ...]
    held_up: tuple[str, ...]


def find_cases(
    events: Sequence[Event], heals: Sequence[Heal], ended: float
) -> Cases:
    """Return the violations with the exempted grants and without them."""
    counted = tuple(
        find_holding_violations(events, heals, ended)
        + find_grants_over_work(list_prompt(events, heals))
    )
    prompt = [msgspec.structs.replace(each, late=False) for each in events]
    every = find_holding_violations(prompt, (), ended)
    every += find_grants_over_work(prompt)
    return Cases(counted, tuple(e for e in every if e not in counted))


def list_prompt(events: Sequence[Event], heals: Sequence[Heal]) -> list[Event]:
    """Return the events without grants that were held up or applied late."""
    counted = {id(each) for each in list_counted_grants(events, heals)}
    return [e for e in events if e.kind != GRANTED or id(e) in counted]


class DeploymentRun:
    """One run with its faults and checks.

    Parameters
    ----------
    shape : DeploymentShape
        Shape of the fleet.
    seed : int
        Seed of the faults and callers.
    folder : pathlib.Path
        Folder for settings and output.
    source : pathlib.Path
        Folder of the version that the hosts run.
    kinds : sequence of str
        Kinds of faults to draw from; all when empty.
    paths : Path
        State of all paths from hosts to upstreams, besides the faults.
    """

    def __init__(
        self,
        shape: DeploymentShape,
        seed: int,
        folder: pathlib.Path,
        source: pathlib.Path = _PRESENT,
        kinds: Sequence[str] = (),
        paths: Path = Path.OPEN,
    ) -> None:
        self._paths = paths
        self._random = random.Random(seed)
        self.fleet = DeploymentFleet(shape, folder, seed, source)
        self.sampler = DeploymentFaultSampler(self._random, self.fleet, kinds)
        self.timeline: list[str] = []
        self.served = 0
        self.began = 0.0

    def run(self) -> Cases:
        """Run the fleet with drawn faults and check it."""
        return self.play(self._draw(), _END)

    def play(self, faults: Sequence[ScheduledFault], seconds: float) -> Cases:
        """Run the fleet for some seconds of traffic and check it."""
        try:
            self.fleet.start()
            gevent.sleep(_LEAD_TIME)
            self.began = time.monotonic()
            if self._paths is not Path.OPEN:
                self.fleet.cut(self.fleet.hosts, self._paths)
            self._inject_all(faults, seconds)
            records = self.fleet.stop_callers()
            ended = time.monotonic()
            events = self.fleet.read_events()
            self._describe(records, events)
            return find_cases(events, self.fleet.list_heals(), ended)
        finally:
            self.fleet.close()

    def _draw(self) -> list[ScheduledFault]:
        count = self._random.randint(*_FAULT_COUNT)
        drawn = self.sampler.draw(count, _FIRST_FAULT, _LAST_FAULT)
        final = ScheduledFault(_FINAL_FAULT, self.sampler.draw_final())
        return [*drawn, final]

    def _inject_all(
        self, faults: Sequence[ScheduledFault], seconds: float
    ) -> None:
        tasks = [
            gevent.spawn_later(each.at, self._inject, each) for each in faults
        ]
        try:
            gevent.sleep(self.began + seconds - time.monotonic())
            gevent.joinall(tasks, timeout=10.0)
        finally:
            gevent.killall(tasks)

    def _inject(self, scheduled: ScheduledFault) -> None:
        fault = scheduled.fault
        began = time.monotonic()
        fault.begin()
        gevent.sleep(fault.seconds)
        fault.end()
        ended = time.monotonic()
        self.timeline.append(
            f"{began:.2f} to {ended:.2f} ({scheduled.at:.1f}): {fault.name}"
        )

    def _describe(
        self, records: Sequence[RequestRecord], events: Sequence[Event]
    ) -> None:
        self.timeline += [
            f"{at:.2f}: {name} leads" for at, name in self.fleet.leaders
        ]
        last = max(each.at for each in records) - _SERVED_WINDOW - 1.5
        recent = [
            each for each in records if last <= each.at < last + _SERVED_WINDOW
        ]
        self.served = sum(1 for each in records if each.status == 200)
        again = sum(1 for each in recent if each.status == 200)
        self.summary = (
            f"{self.served} of {len(records)} served, "
            f"{again} of {len(recent)} in the last seconds; "
            f"{len(events)} events; load {os.getloadavg()[0]:.0f}"
        )


def _run_seed(options: argparse.Namespace) -> int:
    folder = options.keep or pathlib.Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise SystemExit(f"{folder}: an empty folder is accepted")
    kinds = list(filter(None, options.kinds.split(",")))
    run = DeploymentRun(
        options.shape,
        options.seed,
        folder,
        options.source,
        kinds,
        options.paths,
    )
    cases = run.run()
    lines = [
        f"seed {options.seed} {options.source.name}: "
        f"{len(cases.counted)} cases, {len(cases.held_up)} more with grants "
        f"that were held up; {run.summary}; {folder}",
        *[f"  case: {each}" for each in cases.counted],
        *[f"  held up: {each}" for each in cases.held_up],
    ]
    if cases.counted or cases.held_up:
        lines += [f"  {each}" for each in sorted(run.timeline)]
    print("\n".join(lines), flush=True)
    (folder / "report.txt").write_text(
        "\n".join([*lines, *sorted(run.timeline)]) + "\n"
    )
    return 1 if cases.counted else 0


def _run_seeds(options: argparse.Namespace) -> int:
    waiting = list(range(options.first, options.first + options.count))
    running: list[subprocess.Popen[bytes]] = []
    broken = 0
    while waiting or running:
        while waiting and len(running) < options.jobs:
            running.append(subprocess.Popen(_make_command(options, waiting)))
        for each in [each for each in running if each.poll() is not None]:
            running.remove(each)
            broken += each.returncode != 0
        time.sleep(0.1)
    print(f"{options.count} seeds, {broken} with cases")
    return 1 if broken else 0


def _make_command(
    options: argparse.Namespace, waiting: list[int]
) -> list[str]:
    """Return the command of the next seed."""
    seed = waiting.pop(0)
    shape = msgspec.json.encode(options.shape).decode()
    command = [sys.executable, "-m", __spec__.name, f"--seed={seed}"]
    command += [f"--shape={shape}", f"--source={options.source}"]
    command.append(f"--kinds={options.kinds}")
    command.append(f"--paths={options.paths.value}")
    if options.keep is not None:
        command.append(f"--keep={options.keep / str(seed)}")
    return command


def main() -> int:
    """Run one seed, or several in parallel processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--source", type=pathlib.Path, default=_PRESENT)
    parser.add_argument("--kinds", default="", metavar="NAME,...")
    parser.add_argument("--paths", type=Path, default=Path.OPEN)
    parser.add_argument("--shape", type=parse_shape, default=RFI_GATEWAY)
    options = parser.parse_args()
    options.source = options.source.resolve()
    # A run that is ended still closes its fleet.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if options.seed is not None:
        return _run_seed(options)
    return _run_seeds(options)


if __name__ == "__main__":
    raise SystemExit(main())
