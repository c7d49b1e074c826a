"""A fleet of real processes, each host with callers that send without end.

``python -m sedgetide.testing.endlesscallerfleet KIND...`` prints for each kind
how many requests of other callers were answered before, during and after it,
and the longest time for which a host answered nothing.
"""

import argparse
import collections
from collections.abc import Iterator
import pathlib
import sys
import tempfile
import time

import gevent
from gevent.subprocess import PIPE
from gevent.subprocess import Popen
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.endlesscallers import Kind
from sedgetide.testing.endlesscallers import Sent
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.loopstalls import format_stalls
from sedgetide.testing.loopstalls import LoopStalls
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.trialparts import Part
from sedgetide.testing.trialparts import ProcessorUse
from sedgetide.testing.trialparts import summarize_routes
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_HOSTS = 4
_CALLERS = 16
_WARM_UP = 3.0
_PROBE_INTERVAL = 0.02
_PROBE_TIMEOUT = 30.0
_ROUTE = "/archive/x"


class Port(msgspec.Struct, frozen=True):
    """Port of the hosts to which the endless callers connect.

    Parameters
    ----------
    name : str
        ``front``, ``ready``, ``admin`` or ``forward``.
    path : str
        Path of requests that it answers.
    """

    name: str
    path: str

    def find_address(self, host: SoakHost) -> str:
        """Return the address of the port of a host."""
        ports = {
            "front": host.port,
            "ready": host.ready_port,
            "admin": host.admin_port,
        }
        return f"127.0.0.1:{ports[self.name]}"


PORTS = {
    "front": Port("front", _ROUTE),
    "ready": Port("ready", _names.READINESS_PATH),
    "admin": Port("admin", "/state"),
}


class TrialResult(msgspec.Struct):
    """Result of one trial.

    Parameters
    ----------
    kind, port : str
        What was sent to which port.
    parts : list of Part
        The parts before, during and after it.
    silence : float
        Longest time in seconds for which a host answered nothing meanwhile.
    lost : int
        Requests of the other callers without a whole response.
    sent : list of Sent
        What the endless callers report.
    """

    kind: str
    port: str
    parts: list[Part]
    silence: float
    lost: int
    sent: list[Sent]

    @property
    def before(self) -> float:
        """Whole responses a second that the other callers got before."""
        return self.parts[0].rate

    @property
    def during(self) -> float:
        """Whole responses a second that they got meanwhile."""
        return self.parts[1].rate

    @property
    def after(self) -> float:
        """Whole responses a second that they got afterwards."""
        return self.parts[2].rate


class Prober:
    """Asks one host for a route that it does not have, again and again."""

    def __init__(self, host: SoakHost) -> None:
        self._address = f"127.0.0.1:{host.port}"
        self._began: float | None = None
        self._longest = 0.0

    def find_longest(self) -> float:
        """Return the longest time without an answer, up to now."""
        if self._began is None:
            return self._longest
        return max(self._longest, time.monotonic() - self._began)

    def run(self) -> None:
        """Probe until this greenlet is killed."""
        request = Request("GET", "/unknown", [("Host", HOST)], b"")
        connection = Connection(self._address, 1 << 20)
        try:
            connection.open(1.0)
            while True:
                self._began = time.monotonic()
                connection.exchange(request, _PROBE_TIMEOUT)
                self._longest = self.find_longest()
                self._began = None
                gevent.sleep(_PROBE_INTERVAL)
        except UpstreamError:
            self._longest = _PROBE_TIMEOUT
        finally:
            connection.close()


class Trial:
    """One kind of endless callers beside others at a fleet.

    Parameters
    ----------
    fleet : Fleet
        A fleet that has started.
    kind : Kind
        What is sent without end.
    port : Port
        To which port of each host.
    seconds : float
        Duration of each of its three parts.
    """

    def __init__(
        self, fleet: Fleet, kind: Kind, port: Port, seconds: float
    ) -> None:
        self._fleet = fleet
        self._kind = kind
        self._port = port
        self._seconds = seconds
        self._callers = [
            Caller(number, fleet, 1) for number in range(_CALLERS)
        ]
        self._probers = [Prober(host) for host in fleet.hosts]
        self._stalls = LoopStalls([host.program for host in fleet.hosts])

    def run(self, *options: str) -> TrialResult:
        """Run the trial; options are those of the endless callers."""
        tasks = [gevent.spawn(each.run) for each in self._callers]
        try:
            gevent.sleep(_WARM_UP)
            before = self._observe()
            tasks += [gevent.spawn(each.run) for each in self._probers]
            process = self._start_endless(options)
            during = self._observe()
            sent, _ = process.communicate()
            silence = max(each.find_longest() for each in self._probers)
            after = self._observe()
        finally:
            gevent.killall(tasks)
        records = [each for one in self._callers for each in one.records[:-1]]
        return TrialResult(
            self._kind.value,
            self._port.name,
            [before, during, after],
            silence,
            sum(_is_lost(each) for each in records),
            [msgspec.json.decode(x, type=Sent) for x in sent.splitlines()],
        )

    def _start_endless(self, options: tuple[str, ...]) -> Popen:
        addresses = map(self._port.find_address, self._fleet.hosts)
        return Popen(
            [
                sys.executable,
                "-m",
                "sedgetide.testing.endlesscallers",
                self._kind.value,
                *addresses,
                f"--seconds={self._seconds}",
                f"--host={HOST}",
                f"--path={self._port.path}",
                *options,
            ],
            stdout=PIPE,
        )

    def _observe(self) -> Part:
        """Return what is seen in one part of the trial."""
        self._stalls.read_new()
        processors = self._read_processor_times()
        began = time.monotonic()
        gevent.sleep(self._seconds)
        ended = time.monotonic()
        records = [
            record
            for caller in self._callers
            for record in caller.records
            if began <= record.at < ended and record.status
        ]
        seconds = ended - began
        used = [
            (after - before) / seconds
            for before, after in zip(
                processors, self._read_processor_times(), strict=True
            )
        ]
        hosts = used[1 : 1 + len(self._fleet.hosts)]
        return Part(
            summarize_routes(records, seconds),
            ProcessorUse(
                used[0],
                sum(hosts),
                sum(used[1 + len(hosts) :]),
                max(hosts),
            ),
            self._stalls.read_new(),
        )

    def _read_processor_times(self) -> list[float]:
        """Return those of this process, the hosts and the upstreams, in s."""
        fleet = self._fleet
        return [
            time.process_time(),
            *(each.program.read_processor_time() for each in fleet.hosts),
            *(each.program.read_processor_time() for each in fleet.upstreams),
        ]


def _is_lost(record: RequestRecord) -> bool:
    return record.status == 0 or not record.whole


def run_trials(
    kinds: list[Kind], port: Port, seconds: float, *options: str
) -> Iterator[TrialResult]:
    """Run some kinds one after the other at one fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), 0.0, ({},) * _HOSTS)
        try:
            fleet.start()
            for kind in kinds:
                yield Trial(fleet, kind, port, seconds).run(*options)
        finally:
            fleet.close()


def main(arguments: list[str] | None = None) -> int:
    """Run trials and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kinds", nargs="*", type=Kind, default=list(Kind))
    parser.add_argument("--port", choices=sorted(PORTS), default="front")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--reconnect", action="store_true")
    parser.add_argument("--with-ids", action="store_true")
    parser.add_argument("--details", action="store_true")
    options = parser.parse_args(arguments)
    extra = ["--reconnect"] if options.reconnect else []
    if options.with_ids:
        extra.append(f"--id-header={_names.REQUEST_ID}")
    port = PORTS[options.port]
    for each in run_trials(options.kinds, port, options.seconds, *extra):
        statuses = sorted({x for sent in each.sent for x in sent.statuses})
        print(
            f"{each.kind:18} {each.before:6.1f} {each.during:6.1f} "
            f"{each.after:6.1f}/s  silence {each.silence:.2f} s  lost "
            f"{each.lost}  sent "
            f"{sum(x.sent for x in each.sent) / 1e6:.1f} MB on "
            f"{sum(x.connections for x in each.sent)} connections "
            f"{' '.join(statuses)}",
            flush=True,
        )
        if options.details:
            _print_details(each)
    return 0


def _print_details(result: TrialResult) -> None:
    answers: collections.Counter[str] = collections.Counter()
    for sent in result.sent:
        answers.update(sent.answers)
    print("  answers of the endless callers", dict(answers))
    for part in result.parts:
        routes = "  ".join(
            f"{name} {each.rate:.1f}/s refused {each.refused:.1f}/s "
            f"{1000 * each.median:.0f} ms"
            for name, each in part.routes.items()
        )
        used = part.processors
        print(
            f"  {routes}  processors: observer {used.observer:.2f} hosts "
            f"{used.hosts:.2f} (busiest {used.busiest_host:.2f}) upstreams "
            f"{used.upstreams:.2f}  loops: {format_stalls(part.stalls)}",
            flush=True,
        )


if __name__ == "__main__":
    raise SystemExit(main())
