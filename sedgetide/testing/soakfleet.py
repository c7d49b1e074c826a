"""The processes of a soak, and the proxies between them."""

from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import gevent
import msgspec

from sedgetide.coding.settings import HostSettings
from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.ports import find_port
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.rangeupstream import CRASHED
from sedgetide.testing.rangeupstream import Event
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request

HOST = "soak.example"
KEYED = "maps"
PLAIN = "archive"
GRACE = 4.0
_ENDED = 10.0
# Seconds; faults of the store last four at most.
_WRITTEN = 20.0
# Seconds after which a crashed upstream is back.
_DOWN = 1.0
# Places after the name of the program, proc(5).
_USER_TICKS = 11
_SYSTEM_TICKS = 12
# Share of runs that fail at an upstream that asks something of its senders.
_FAILING = 0.1


class Program:
    """One process, started again under the same settings when asked.

    Parameters
    ----------
    name : str
        For its files.
    folder : pathlib.Path
        Where its output goes.
    arguments : list of str
        What follows the interpreter.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, arguments: list[str]
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.output = folder / f"{name}.out"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, unless it runs; its output is appended to its file.

        Two faults of one process that overlap both end with a start; a
        second process would stay behind when the soak ends.
        """
        if self.running:
            return
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    @property
    def identifier(self) -> int:
        """Process id of its last start."""
        return self._process.pid

    @property
    def crashed(self) -> bool:
        """Whether the process has ended by a crash of its own."""
        return not self.running and self._process.returncode == CRASHED

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def read_processor_time(self) -> float:
        """Return the seconds of processor time that it has used."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def wait(self, seconds: float = _ENDED) -> None:
        """Wait for its end."""
        end = time.monotonic() + seconds
        while self.running and time.monotonic() < end:
            gevent.sleep(0.02)

    def close(self) -> None:
        """End it, whatever it does."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()


class SoakHost:
    """A host with the ways to it and from it to the store."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_port: int,
        options: Mapping[str, Any],
    ) -> None:
        self.name = f"host-{number}"
        ports = [find_port() for _ in range(4)]
        self.store = Proxy(store_port)
        self.front = Proxy(ports[0])
        settings = HostSettings(
            host=self.name,
            data_centre=f"dc-{number % 2}",
            listen=f"127.0.0.1:{ports[0]}",
            ready=f"127.0.0.1:{ports[1]}",
            admin=f"127.0.0.1:{ports[2]}",
            link=f"127.0.0.1:{ports[3]}",
            stores=(self.store.address,),
            grace=GRACE,
            **options,
        )
        self.port, self.ready_port, self.admin_port = ports[:3]
        path = folder / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.program = Program(
            self.name, folder, ["-m", "sedgetide.platform", str(path)]
        )

    def is_ready(self) -> bool:
        """Tell what it answers the balancer."""
        answer = call(self.ready_port, "GET", _names.READINESS_PATH)
        return answer is not None and answer.status == 200

    def close(self) -> None:
        """End the process and its proxies."""
        self.program.close()
        self.store.close()
        self.front.close()


class ColdStarts(msgspec.Struct, frozen=True):
    """What the upstreams of a soak bear after a start during traffic."""

    seconds: float = 1.5
    rate: float = 2.0
    overrun: float = 1.5
    slack: float = 3.0

    @property
    def most(self) -> float:
        """Requests in one second above which they end."""
        return self.rate * self.overrun + self.slack


class SoakUpstream:
    """A place for an upstream; starts have names of their own, or one."""

    def __init__(
        self,
        number: int,
        service: str,
        folder: pathlib.Path,
        store_port: int,
        late: float,
        clock_rate: float,
        slots: int,
        crash_on: str,
        cold: ColdStarts | None,
        says: Sequence[str],
    ) -> None:
        self._slots = slots
        self._says = says
        self._cold = cold
        self.data_centre = f"dc-{number % 2}"
        self._crash_on = crash_on
        self._folder = folder
        self._store_port = store_port
        self._number = number
        self._service = service
        self._late = late
        self._clock_rate = clock_rate
        self._starts = 0
        self._crashed_starts = 0
        self.name = ""
        self._port = find_port()
        self.proxy = Proxy(self._port)
        # A proxy listens on when its process has crashed.
        direct = f"127.0.0.1:{self._port}"
        self.address = direct if crash_on else self.proxy.address
        self.programs: list[Program] = []

    @property
    def program(self) -> Program:
        """Its last start."""
        return self.programs[-1]

    def note_crash(self) -> bool:
        """Return whether the crash of its last start is seen just now."""
        news = self._crashed_starts < self._starts
        self._crashed_starts = self._starts
        return news

    def start(self) -> None:
        """Start it as a new upstream at the same address."""
        self.name = f"i-{self._number}-{self._starts + 1}"
        self.start_again()

    def start_again(self) -> None:
        """Start it under the name that it had; it knows nothing of before."""
        self._starts += 1
        arguments = [
            "-m",
            "sedgetide.testing.rangeupstream",
            f"--name={self.name}",
            f"--born={self._starts}",
            f"--service={self._service}",
            f"--data-centre={self.data_centre}",
            f"--port={self._port}",
            f"--address={self.address}",
            f"--store=127.0.0.1:{self._store_port}",
            f"--late={self._late}",
            f"--clock-rate={self._clock_rate}",
            f"--slots={self._slots}",
        ]
        if self._service == KEYED:
            arguments.append("--keyed")
        if self._cold is not None and self._starts > 1:
            # The first ones start before there is any traffic.
            arguments.append(f"--cold={self._cold.seconds}")
            arguments.append(f"--most-cold={self._cold.most}")
        if self._crash_on:
            arguments.append(f"--crash-on={self._crash_on}")
        arguments += [f"--says={line}" for line in self._says]
        if self._says:
            arguments.append(f"--failing={_FAILING}")
        label = f"{self.name}-{self._starts}"
        program = Program(label, self._folder, arguments)
        program.start()
        self.programs.append(program)

    def close(self) -> None:
        """End all its processes."""
        for program in self.programs:
            program.close()
        self.proxy.close()


def call(port: int, method: str, path: str, document=None) -> Answer | None:
    """Make a plain call; None when there is no answer."""
    address = f"127.0.0.1:{port}"
    body = b"" if document is None else msgspec.json.encode(document)
    connection = Connection(address, 1 << 20)
    try:
        connection.open(1.0)
        request = Request(method, path, [("Host", address)], body)
        return connection.exchange(request, 2.0)
    except UpstreamError:
        return None
    finally:
        connection.close()


class Fleet:
    """Store, hosts and upstreams of one soak.

    Parameters
    ----------
    folder : pathlib.Path
        Where settings and output go.
    late : float
        Share of grants that upstreams carry out late.
    options : sequence of mapping
        Settings of each host besides its names and addresses.
    slots : int
        Requests that an upstream works on at a time.
    crash_on : str
        Path of requests that end the upstream's process; then no proxies
        stand before upstreams.
    cold : ColdStarts or None
        What upstreams bear after a start; None when there is no bound.
    says : mapping
        Lines of a script by the number of an upstream; see
        :mod:`sedgetide.testing.remarks`.
    era : int
        First era of the store; while it is zero, none is named.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        late: float,
        options: Sequence[Mapping[str, Any]] = ({}, {}, {}),
        slots: int = 2,
        crash_on: str = "",
        cold: ColdStarts | None = None,
        says: Mapping[int, Sequence[str]] | None = None,
        era: int = 0,
    ) -> None:
        self._cold = cold
        if cold is not None:
            bounds = {"cold_overrun": cold.overrun, "cold_slack": cold.slack}
            options = [{**each, **bounds} for each in options]
        self._stack = contextlib.ExitStack()
        self.store_port = find_port()
        self.store = Program(
            "store",
            folder,
            [
                "-m",
                "sedgetide.testing.platformstore",
                f"--port={self.store_port}",
                f"--era={era}",
            ],
        )
        self.hosts = [
            SoakHost(number, folder, self.store_port, each)
            for number, each in enumerate(options)
        ]
        services = [KEYED] * 4 + [PLAIN] * 2
        self.upstreams = [
            SoakUpstream(
                number,
                service,
                folder,
                self.store_port,
                late,
                0.98 if number % 2 else 1.0,
                slots,
                crash_on,
                cold,
                (says or {}).get(number, ()),
            )
            for number, service in enumerate(services)
        ]
        for each in (self.store, *self.hosts, *self.upstreams):
            self._stack.callback(each.close)

    def start(self, seconds: float = 25.0) -> None:
        """Start all and wait until every host is ready."""
        self.store.start()
        end = time.monotonic() + seconds
        while not self._has_store():
            if not self.store.running:
                raise TimeoutError(
                    f"the store has ended: another has port {self.store_port}"
                )
            if time.monotonic() > end:
                raise TimeoutError("the store did not start")
            gevent.sleep(0.05)
        self.configure(1, ())
        for upstream in self.upstreams:
            upstream.start()
        for host in self.hosts:
            host.program.start()
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > end:
                raise TimeoutError("a host did not become ready")
            gevent.sleep(0.1)

    def _has_store(self) -> bool:
        """Tell whether a store answers, and not something else."""
        answer = call(self.store_port, "GET", _names.RANGE_PATH)
        return answer is not None and answer.status == 200

    def put_entry(self, name: str, value: object) -> None:
        """Write an entry of the registry as another writer might."""
        key = _names.REGISTRY_PREFIX + name
        document = {"key": key, "value": value, "life": 2.0}
        call(self.store_port, "POST", "/put", document)

    def configure(self, version: int, extra: tuple[str, ...]) -> None:
        """Write a version of the routes, with more of them."""
        columns = [
            "name",
            "host",
            "path-prefix",
            "kind",
            "timeout-ms",
            "target-latency-ms",
            "max-attempts",
            "service",
        ]
        rows = [
            ["map", HOST, "/map/", "safe", 1500, 500, 2, KEYED],
            ["alert", HOST, "/alert/", "unsafe", 1500, 500, 2, KEYED],
            ["old", HOST, "/archive/", "safe", 1500, 500, 2, PLAIN],
        ]
        for name in extra:
            rows.append([name, HOST, f"/{name}/", "safe", 1500, 500, 2, PLAIN])
        document = {
            "version": f"r{version}",
            "routes": {"columns": columns, "rows": rows},
            "services": self._describe_services(),
        }
        self.put(_names.CONFIGURATION_KEY, document)

    def _describe_services(self) -> dict[str, Any]:
        columns = ["name", "sharded"]
        rows: list[list[Any]] = [[KEYED, True], [PLAIN, False]]
        if self._cold is not None:
            columns += ["warmup-s", "warmup-per-s"]
            rows = [
                [*row, self._cold.seconds, self._cold.rate] for row in rows
            ]
        return {"columns": columns, "rows": rows}

    def evacuate(self, data_centre: str, asked: bool) -> None:
        """Ask for a data centre to be emptied, or take it back."""
        key = _names.EVACUATION_PREFIX + data_centre
        self.put(key, {} if asked else None)

    def restore_store(self, age: float, seconds: float) -> None:
        """Let the store go away, and come back from a copy of some age."""
        document = {"kind": "restore", "age": age, "seconds": seconds}
        call(self.store_port, "POST", "/fault", document)

    def find_data_centre(self, start: str) -> str:
        """Return where the upstream of an event is."""
        number = int(start.split("-")[1])
        return self.upstreams[number].data_centre

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator does, until it is taken.

        Raises
        ------
        TimeoutError
            When it is not, long after every fault has ended.
        """
        document = {"key": key, "value": value}
        end = time.monotonic() + _WRITTEN
        while time.monotonic() < end:
            answer = call(self.store_port, "POST", "/put", document)
            if answer is not None and answer.status == 200:
                return
            gevent.sleep(0.1)
        raise TimeoutError(f"{key}: the store did not take it")

    def supervise(self) -> None:
        """Start upstreams again that have crashed, until killed."""
        due: list[tuple[float, SoakUpstream]] = []
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for upstream in self.upstreams:
                if upstream.program.crashed and upstream.note_crash():
                    due.append((now + _DOWN, upstream))
            while due and due[0][0] <= now:
                due.pop(0)[1].start()

    def read_events(self) -> list[Event]:
        """Return what all upstreams ran, by time."""
        decoder = msgspec.json.Decoder(Event)
        events = []
        for upstream in self.upstreams:
            for program in upstream.programs:
                for line in program.output.read_bytes().splitlines():
                    if line.startswith(b'{"at"') and line.endswith(b"}"):
                        events.append(decoder.decode(line))
        return sorted(events, key=lambda event: event.at)

    def close(self) -> None:
        """End all processes."""
        self._stack.close()
