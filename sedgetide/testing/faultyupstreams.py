"""What a fleet serves beside upstreams that answer without end, or not.

    python -m sedgetide.testing.faultyupstreams slow header-lines frozen killed

Requests are sent at fixed times, so that one that waits for such an upstream
keeps no other from being sent. For each fault it prints what became of those
for keys of the faulty upstreams and of the others, before and meanwhile.
"""

import argparse
import collections
from collections.abc import Sequence
import contextlib
import pathlib
import re
import signal
import tempfile
import time

import gevent
import msgspec

from sedgetide.core.membership.incarnations import name_incarnation
from sedgetide.testing.endless import Kind
from sedgetide.testing.endlessswitch import Target
from sedgetide.testing.endlessupstream import answer_endlessly
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.pacedcallers import OwnerWatch
from sedgetide.testing.pacedcallers import PacedCallers
from sedgetide.testing.pacedcallers import PacedRecord
from sedgetide.testing.soakchecks import SoakChecks
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakUpstream

_HOSTS = 4
_SETTLED = 5.0
# No request has this path; upstreams that may crash have no proxies, which
# would carry endless answers through this process.
_NO_PATH = "/none"
_FROZEN = "frozen"
_KILLED = "killed"
_EVENT = re.compile(r"event=(\S+)(?:.* reason=(\S+))?")
# Lines of each request and each connection.
_FREQUENT = frozenset({"request", "connection-closed"})


class Group(msgspec.Struct, frozen=True):
    """What became of some requests.

    Parameters
    ----------
    sent : int
        Number of requests.
    served : float
        Share with status 200.
    statuses : dict
        Number of requests by status; 0 without an answer.
    median, late, longest : float
        Seconds until the answer: median, nine tenths and maximum.
    """

    sent: int
    served: float
    statuses: dict[int, int]
    median: float
    late: float
    longest: float


class Result(msgspec.Struct, frozen=True):
    """What callers saw without and with a fault.

    Parameters
    ----------
    others_before, own_before : Group
        Requests before the fault: those without a key and for keys of sound
        upstreams, and those for keys of faulty upstreams.
    others, own : Group
        The same during the fault.
    events : dict
        Number of log lines by event and reason during the fault.
    problems : list of str
        Violations of the guarantees.
    """

    others_before: Group
    own_before: Group
    others: Group
    own: Group
    events: dict[str, int]
    problems: list[str]


def summarize(records: Sequence[PacedRecord]) -> Group:
    """Return what became of some requests that have ended."""
    seconds = sorted(each.seconds for each in records) or [0.0]
    statuses = collections.Counter(each.status for each in records)
    return Group(
        len(records),
        round(statuses[200] / max(1, len(records)), 3),
        dict(statuses),
        round(seconds[len(seconds) // 2], 3),
        round(seconds[len(seconds) * 9 // 10], 3),
        round(seconds[-1], 3),
    )


class FaultyFleet:
    """Fleet with some upstreams to which faults happen.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and process output.
    count : int
        Number of faulty upstreams, beside the six of the fleet.
    rate : float
        Requests a second.
    """

    def __init__(self, folder: pathlib.Path, count: int, rate: float) -> None:
        self._stack = contextlib.ExitStack()
        self._fleet = Fleet(
            folder, 0.0, ({},) * _HOSTS, slots=4, crash_on=_NO_PATH
        )
        self._stack.callback(self._fleet.close)
        first = len(self._fleet.upstreams)
        self._faulty = [
            self._make_upstream(number, folder)
            for number in range(first, first + count)
        ]
        self._fleet.upstreams += self._faulty
        self._owners = OwnerWatch(self._fleet)
        self._callers = PacedCallers(0, self._fleet, 1, rate, self._owners)

    def _make_upstream(
        self, number: int, folder: pathlib.Path
    ) -> SoakUpstream:
        made = SoakUpstream(
            number,
            KEYED,
            folder,
            self._fleet.store_port,
            0.0,
            1.0,
            4,
            _NO_PATH,
            None,
            (),
            0.03,
        )
        self._stack.callback(made.close)
        return made

    def start(self) -> None:
        """Start the processes, and the callers in this one."""
        self._fleet.start()
        for run in (self._owners.run, self._callers.run):
            self._stack.callback(gevent.spawn(run).kill)
        gevent.sleep(_SETTLED)

    def run(self, fault: str, target: Target, seconds: float) -> Result:
        """Compare some seconds without and with a fault."""
        names = {
            name_incarnation(each.name, each.born) for each in self._faulty
        }
        before = self._record(seconds)
        sizes = self._measure_logs()
        self._begin(fault, target, seconds)
        during = self._record(seconds)
        self._end(fault)
        return Result(
            *_split(before, names),
            *_split(during, names),
            self._count_events(sizes),
            self._check(),
        )

    def _begin(self, fault: str, target: Target, seconds: float) -> None:
        for each in self._faulty:
            if fault == _FROZEN:
                each.program.signal(signal.SIGSTOP)
            elif fault == _KILLED:
                each.program.signal(signal.SIGKILL)
            else:
                answer_endlessly(each, Kind(fault), target, seconds)

    def _end(self, fault: str) -> None:
        for each in self._faulty:
            if fault == _FROZEN:
                each.program.signal(signal.SIGCONT)
            elif fault == _KILLED:
                each.start()

    def _record(self, seconds: float) -> list[PacedRecord]:
        """Return the requests sent in some seconds, once all have ended."""
        began = time.monotonic()
        gevent.sleep(seconds)
        records = [e for e in self._callers.records if e.at >= began]
        while any(each.seconds is None for each in records):
            gevent.sleep(0.01)
        return records

    def _measure_logs(self) -> list[int]:
        hosts = self._fleet.hosts
        return [each.program.output.stat().st_size for each in hosts]

    def _count_events(self, sizes: list[int]) -> dict[str, int]:
        counts: collections.Counter[str] = collections.Counter()
        for host, size in zip(self._fleet.hosts, sizes, strict=True):
            added = host.program.output.read_bytes()[size:].decode()
            for event, reason in _EVENT.findall(added):
                counts[f"{event} {reason}".strip()] += 1
        return {
            event: count
            for event, count in counts.most_common()
            if event not in _FREQUENT
        }

    def _check(self) -> list[str]:
        checks = SoakChecks(self._fleet, 0.0)
        events = self._fleet.read_events()
        checks.check_runs(self._callers.records, events)
        checks.check_answers(self._callers.records)
        checks.check_owners(events)
        return checks.problems

    def close(self) -> None:
        """End callers and processes."""
        self._stack.close()


def _split(
    records: Sequence[PacedRecord], names: set[str]
) -> tuple[Group, Group]:
    """Return the groups of the other upstreams and of the faulty ones."""
    own = [each for each in records if each.concerns(names)]
    others = [each for each in records if not each.concerns(names)]
    return summarize(others), summarize(own)


def main() -> int:
    """Print the result for each fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    kinds = [kind.value for kind in Kind]
    faults = [*kinds, _FROZEN, _KILLED]
    parser.add_argument("faults", nargs="+", choices=faults)
    parser.add_argument("--target", default=Target.BOTH.value)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--rate", type=float, default=120.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--pause", type=float, default=6.0)
    parser.add_argument("--folder", help="keep logs in this folder")
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        folder = options.folder or stack.enter_context(
            tempfile.TemporaryDirectory()
        )
        fleet = FaultyFleet(pathlib.Path(folder), options.count, options.rate)
        stack.callback(fleet.close)
        fleet.start()
        for fault in options.faults:
            result = fleet.run(fault, Target(options.target), options.seconds)
            print(fault, msgspec.json.encode(result).decode(), flush=True)
            gevent.sleep(options.pause)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
