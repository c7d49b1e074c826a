"""Answers a second of a fleet of which one upstream answers without end.

    python -m sedgetide.testing.endlessfleet --kinds interim small-chunks

For each kind the rates without and with endless answers are printed, and the
longest time for which a host did not answer its readiness check.
"""

import argparse
import collections
from collections.abc import Sequence
import contextlib
import pathlib
import tempfile
import time

import gevent
import msgspec

from sedgetide.testing.endless import Kind
from sedgetide.testing.endlessswitch import Target
from sedgetide.testing.endlessupstream import answer_endlessly
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.fleetroutes import PLAIN
from sedgetide.testing.loopstalls import format_stalls
from sedgetide.testing.loopstalls import LoopStall
from sedgetide.testing.loopstalls import LoopStalls
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakchecks import SoakChecks
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.soakfleet import SoakUpstream

_HOSTS = 4
_CALLERS = 16
_SETTLED = 5.0
_CHECK_INTERVAL = 0.02
# No request has this path; upstreams that may crash have no proxies, which
# would carry endless answers through this process.
_NO_PATH = "/none"


class Result(msgspec.Struct, frozen=True):
    """What callers saw without and with endless answers.

    Parameters
    ----------
    rate_before, rate_during : float
        Answers a second, of any status.
    served_before, served_during : float
        Answers a second with status 200.
    statuses : dict
        Number of answers by status while answers were endless.
    silence_before, silence_during : float
        Longest time in seconds for which a host was not heard.
    problems : list of str
        Violations of the guarantees.
    stalls : list of LoopStall
        Interruptions of the event loops of the hosts meanwhile.
    """

    rate_before: float
    rate_during: float
    served_before: float
    served_during: float
    statuses: dict[int, int]
    silence_before: float
    silence_during: float
    problems: list[str]
    stalls: list[LoopStall]


class _Watch:
    """Checks whether a host answers, and for how long it does not."""

    def __init__(self, host: SoakHost) -> None:
        self._host = host
        self._heard_at = 0.0
        self._silence = 0.0

    def begin(self) -> None:
        """Measure from now on."""
        self._heard_at = time.monotonic()
        self._silence = 0.0

    def run(self) -> None:
        """Check the host until this greenlet is killed."""
        while True:
            gevent.sleep(_CHECK_INTERVAL)
            if self._host.is_ready():
                self._silence = self.silence
                self._heard_at = time.monotonic()

    @property
    def silence(self) -> float:
        """Longest time for which the host was not heard, until now."""
        return max(self._silence, time.monotonic() - self._heard_at)


class EndlessFleet:
    """Fleet with one upstream that answers without end.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and process output.
    keyed : bool
        Whether this upstream holds keys.
    """

    def __init__(self, folder: pathlib.Path, keyed: bool) -> None:
        self._stack = contextlib.ExitStack()
        self._fleet = Fleet(
            folder, 0.0, ({},) * _HOSTS, slots=4, crash_on=_NO_PATH
        )
        self._stack.callback(self._fleet.close)
        self._endless = SoakUpstream(
            len(self._fleet.upstreams),
            KEYED if keyed else PLAIN,
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
        self._stack.callback(self._endless.close)
        self._fleet.upstreams.append(self._endless)
        self._callers = [
            Caller(number, self._fleet, 1) for number in range(_CALLERS)
        ]
        self._watches = [_Watch(host) for host in self._fleet.hosts]
        hosts = [host.program for host in self._fleet.hosts]
        self._stalls = LoopStalls(hosts)

    def start(self) -> None:
        """Start the processes, and callers and checks in this one."""
        self._fleet.start()
        for each in (*self._callers, *self._watches):
            task = gevent.spawn(each.run)
            self._stack.callback(task.kill)
        gevent.sleep(_SETTLED)

    def run(self, kind: Kind, target: Target, seconds: float) -> Result:
        """Compare some seconds without and with endless answers."""
        before, silence_before = self._run(seconds)
        self._stalls.read_new()
        answer_endlessly(self._endless, kind, target, seconds)
        during, silence_during = self._run(seconds)
        statuses = collections.Counter(each.status for each in during)
        return Result(
            len(before) / seconds,
            len(during) / seconds,
            _count_served(before) / seconds,
            _count_served(during) / seconds,
            dict(statuses),
            silence_before,
            silence_during,
            self._check(),
            self._stalls.read_new(),
        )

    def _run(self, seconds: float) -> tuple[list[RequestRecord], float]:
        """Return the requests of some seconds, and the longest silence."""
        for watch in self._watches:
            watch.begin()
        began = time.monotonic()
        gevent.sleep(seconds)
        records = [
            record
            for caller in self._callers
            for record in caller.records
            if record.at >= began and record is not caller.records[-1]
        ]
        return records, max(each.silence for each in self._watches)

    def _check(self) -> list[str]:
        checks = SoakChecks(self._fleet, 0.0)
        records = [each for caller in self._callers for each in caller.records]
        events = self._fleet.read_events()
        checks.check_runs(records, events)
        checks.check_answers(records)
        checks.check_owners(events)
        return checks.problems

    def count_cuts(self) -> int:
        """Return the number of log lines of cut reads."""
        return sum(
            host.program.output.read_text().count("event=read-cut")
            for host in self._fleet.hosts
        )

    def close(self) -> None:
        """End callers and processes."""
        self._stack.close()


def _count_served(records: Sequence[RequestRecord]) -> int:
    return sum(1 for each in records if each.status == 200)


def main() -> int:
    """Print the result for each kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    kinds = [kind.value for kind in Kind]
    parser.add_argument("--kinds", nargs="+", choices=kinds, default=kinds)
    parser.add_argument("--target", default=Target.BOTH.value)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--pause", type=float, default=3.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as s:
        fleet = EndlessFleet(pathlib.Path(folder), options.keyed)
        s.callback(fleet.close)
        fleet.start()
        for kind in options.kinds:
            result = fleet.run(
                Kind(kind), Target(options.target), options.seconds
            )
            print(kind, msgspec.json.encode(result).decode())
            print("  loops:", format_stalls(result.stalls), flush=True)
            gevent.sleep(options.pause)
        print("lines of cut reads", fleet.count_cuts())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
