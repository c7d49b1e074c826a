"""Processes of a soak and the proxies between them."""

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
from sedgetide.core.identifiers import StartTime
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.fleetroutes import make_routes
from sedgetide.testing.fleetroutes import PLAIN
from sedgetide.testing.gateways import Gateway
from sedgetide.testing.ports import find_port
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.rangeupstream import CRASHED
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import EXITED
from sedgetide.testing.rangeupstream import name_life
from sedgetide.testing.soakholdings import Heal
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request

GRACE = 4.0
_EXIT_TIMEOUT = 10.0
_LEADER_TIMEOUT = 1.0
# Seconds; faults of the store last 4 s at most.
_WRITE_TIMEOUT = 20.0
# Seconds after which a crashed upstream is restarted.
_RESTART_DELAY = 1.0
# Field indices in /proc/PID/stat after the command name, see proc(5).
_USER_TICKS = 11
_SYSTEM_TICKS = 12
# Share of requests that an upstream with a script runs and answers with a
# failure.
_FAILURE_SHARE = 0.1


class Program:
    """One child process that can be restarted with the same arguments.

    Parameters
    ----------
    name : str
        Stem of the name of its output file.
    folder : pathlib.Path
        Folder of the output file.
    arguments : list of str
        Arguments of the Python interpreter.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, arguments: list[str]
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.output = folder / f"{name}.out"
        self.resumed_at: list[float] = []
        self._ended_at: float | None = None
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process unless it runs; output is appended to its file.

        Two overlapping faults of one process both end with a start; a second
        process would be left running after the soak.
        """
        if self.running:
            return
        self._ended_at = None
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.poll() is None:
            if number is signal.SIGCONT:
                self.resumed_at.append(time.monotonic())
            os.kill(self._process.pid, number)

    @property
    def process_id(self) -> int:
        """Process id of the last start."""
        return self._process.pid

    @property
    def crashed(self) -> bool:
        """Whether the process has exited with the status of a crash."""
        return not self.running and self._process.returncode == CRASHED

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        if self._process is None:
            return False
        if self._process.poll() is None:
            return True
        if self._ended_at is None:
            self._ended_at = time.monotonic()
        return False

    @property
    def ended_at(self) -> float | None:
        """Time at which the end of the last start was seen, if it ended."""
        return None if self.running else self._ended_at

    def read_processor_time(self) -> float:
        """Return the processor time that the process has used, in s."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def wait(self, seconds: float = _EXIT_TIMEOUT) -> None:
        """Wait until the process has exited, or until the time is up."""
        end = time.monotonic() + seconds
        while self.running and time.monotonic() < end:
            gevent.sleep(0.02)

    def close(self) -> None:
        """Kill the process, also when it is stopped by a signal."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()


class SoakHost:
    """Host process with proxies before it and between it and the store.

    Parameters
    ----------
    number : int
        Number of the host.
    folder : pathlib.Path
        Folder for its settings and output.
    store_port : int
        Port of the store.
    options : mapping
        Settings besides its name and addresses.
    upstreams : sequence of str
        Addresses of the upstreams that it reaches through a gateway of its
        own; without any it has none.
    """

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_port: int,
        options: Mapping[str, Any],
        upstreams: Sequence[str] = (),
    ) -> None:
        self.name = f"host-{number}"
        self.data_centre = f"dc-{number % 2}"
        ports = [find_port() for _ in range(5)]
        self.store = Proxy(store_port)
        self.front = Proxy(ports[0])
        forwarding = {"forward_port": ports[4]}
        settings = HostSettings(
            host=self.name,
            data_centre=self.data_centre,
            listen=f"127.0.0.1:{ports[0]}",
            ready=f"127.0.0.1:{ports[1]}",
            admin=f"127.0.0.1:{ports[2]}",
            link=f"127.0.0.1:{ports[3]}",
            stores=(self.store.address,),
            grace=GRACE,
            **{**forwarding, **options},
        )
        self.port, self.ready_port, self.admin_port = ports[:3]
        path = folder / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.gateway = Gateway()
        arguments = ["-m", "sedgetide.platform", str(path)]
        if upstreams:
            arguments = [
                "-m",
                "sedgetide.testing.gatewayhost",
                self.gateway.address,
                ",".join(upstreams),
                str(path),
            ]
        self.program = Program(self.name, folder, arguments)

    def is_ready(self) -> bool:
        """Return whether the host reports ready to the load balancer."""
        answer = call(self.ready_port, "GET", _names.READINESS_PATH)
        return answer is not None and answer.status == 200

    def read_leader(self) -> str | None:
        """Return the name of the leader that the host knows, or None."""
        answer = call(self.admin_port, "GET", "/state")
        if answer is None:
            return None
        leader = msgspec.json.decode(answer.body)["knowledge"]["leader"]
        return None if leader is None else leader["record"]["host"]

    def close(self) -> None:
        """Kill the process and close its proxies."""
        self.program.close()
        self.gateway.close()
        self.store.close()
        self.front.close()


class ColdStartLimits(msgspec.Struct, frozen=True):
    """Load that upstreams accept after a start during traffic.

    Parameters
    ----------
    seconds : float
        Duration of the cold start.
    rate : float
        Requests per second that are configured for it.
    overrun, slack : float
        Factor and number of requests by which the rate may be exceeded.
    """

    seconds: float = 1.5
    rate: float = 2.0
    overrun: float = 1.5
    slack: float = 3.0

    @property
    def max_per_second(self) -> float:
        """Requests in one second above which a cold upstream exits."""
        return self.rate * self.overrun + self.slack


class SoakUpstream:
    """Address at which upstream processes are started one after another.

    A start gets a new name, or keeps the name of the previous one. There is
    a proxy before it, and one between it and the store.
    """

    def __init__(
        self,
        number: int,
        service: str,
        folder: pathlib.Path,
        store_port: int,
        late_grants: float,
        clock_rate: float,
        slots: int,
        crash_on: str,
        cold: ColdStartLimits | None,
        says: Sequence[str],
        work: float,
    ) -> None:
        self._work = work
        self._slots = slots
        self._says = says
        self._cold = cold
        self.data_centre = f"dc-{number % 2}"
        self._crash_on = crash_on
        self._folder = folder
        self.store = Proxy(store_port)
        self._number = number
        self.service = service
        self._late_grants = late_grants
        self._clock_rate = clock_rate
        self._starts = 0
        self._crashed_starts = 0
        self.name = ""
        self._port = find_port()
        self.proxy = Proxy(self._port)
        # A proxy would go on accepting connections after a crash.
        direct = f"127.0.0.1:{self._port}"
        self.address = direct if crash_on else self.proxy.address
        self.programs: list[Program] = []
        self._lives: list[str] = []

    @property
    def program(self) -> Program:
        """The process that was started last."""
        return self.programs[-1]

    @property
    def born(self) -> StartTime:
        """Start time that the last start announces."""
        return StartTime(self._starts)

    def note_crash(self) -> bool:
        """Return whether the last start's crash was not noted before."""
        is_new = self._crashed_starts < self._starts
        self._crashed_starts = self._starts
        return is_new

    def start(self) -> None:
        """Start a new upstream under a new name at the same address."""
        self.name = f"i-{self._number}-{self._starts + 1}"
        self.restart()

    def restart(self) -> None:
        """Start the upstream under its former name, without its state."""
        self._starts += 1
        arguments = [
            "-m",
            "sedgetide.testing.rangeupstream",
            f"--name={self.name}",
            f"--born={self._starts}",
            f"--service={self.service}",
            f"--data-centre={self.data_centre}",
            f"--port={self._port}",
            f"--address={self.address}",
            f"--store={self.store.address}",
            f"--late={self._late_grants}",
            f"--clock-rate={self._clock_rate}",
            f"--slots={self._slots}",
            f"--work={self._work}",
        ]
        if self.service == KEYED:
            arguments.append("--keyed")
        if self._cold is not None and self._starts > 1:
            # The first ones start before there is any traffic.
            arguments.append(f"--cold={self._cold.seconds}")
            arguments.append(f"--most-cold={self._cold.max_per_second}")
        if self._crash_on:
            arguments.append(f"--crash-on={self._crash_on}")
        arguments += [f"--says={line}" for line in self._says]
        if self._says:
            arguments.append(f"--failing={_FAILURE_SHARE}")
        label = f"{self.name}-{self._starts}"
        program = Program(label, self._folder, arguments)
        program.start()
        self.programs.append(program)
        self._lives.append(name_life(self.name, self._starts))

    def list_exits(self) -> list[Event]:
        """Return an event for each process of this upstream that has ended."""
        return [
            Event(program.ended_at, EXITED, life, "", -1, 0)
            for life, program in zip(self._lives, self.programs, strict=True)
            if program.ended_at is not None
        ]

    def list_heals(self) -> list[Heal]:
        """Return the times at which orders to it may have been held up."""
        times = [at for each in self.programs for at in each.resumed_at]
        times += self.proxy.healed_at
        return [Heal(at, f"i-{self._number}-") for at in times]

    def close(self) -> None:
        """Kill all processes of this upstream and close the proxies."""
        for program in self.programs:
            program.close()
        self.proxy.close()
        self.store.close()


def call(
    port: int, method: str, path: str, document=None, timeout: float = 2.0
) -> Answer | None:
    """Make one HTTP call; return None when there is no answer."""
    address = f"127.0.0.1:{port}"
    body = b"" if document is None else msgspec.json.encode(document)
    connection = Connection(address, 1 << 20)
    try:
        connection.open(1.0)
        request = Request(method, path, [("Host", address)], body)
        return connection.exchange(request, timeout)
    except UpstreamError:
        return None
    finally:
        connection.close()


class Fleet:
    """Store, hosts and upstreams of one soak.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and process output.
    late_grants : float
        Share of grants that upstreams apply late.
    options : sequence of mapping
        Settings of each host besides its name and addresses.
    slots : int
        Requests that an upstream runs concurrently.
    crash_on : str
        Path of requests that crash the upstream; when set, upstreams are
        addressed without proxies.
    cold : ColdStartLimits or None
        Load that upstreams accept after a start; None for no limit.
    says : mapping
        Lines of a script by the number of an upstream; see
        :mod:`sedgetide.testing.pushbackscript`.
    era : int
        First era of the store; answers name no era while it is 0.
    with_gateways : bool
        Whether each host reaches the upstreams through its own gateway.
    work : float
        Mean seconds for which an upstream works on a request.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        late_grants: float,
        options: Sequence[Mapping[str, Any]] = ({}, {}, {}),
        slots: int = 2,
        crash_on: str = "",
        cold: ColdStartLimits | None = None,
        says: Mapping[int, Sequence[str]] | None = None,
        era: int = 0,
        with_gateways: bool = False,
        work: float = 0.03,
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
        services = [KEYED] * 4 + [PLAIN] * 2
        self.upstreams = [
            SoakUpstream(
                number,
                service,
                folder,
                self.store_port,
                late_grants,
                0.98 if number % 2 else 1.0,
                slots,
                crash_on,
                cold,
                (says or {}).get(number, ()),
                work,
            )
            for number, service in enumerate(services)
        ]
        routed = [each.address for each in self.upstreams if with_gateways]
        self.hosts = [
            SoakHost(number, folder, self.store_port, each, routed)
            for number, each in enumerate(options)
        ]
        for each in (self.store, *self.hosts, *self.upstreams):
            self._stack.callback(each.close)

    def start(self, seconds: float = 25.0) -> None:
        """Start all processes and wait until every host is ready."""
        self.store.start()
        end = time.monotonic() + seconds
        while not self._has_store():
            if not self.store.running:
                raise TimeoutError(
                    "the store has exited: another process listens on port "
                    f"{self.store_port}"
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
        """Return whether the store, and no other server, answers."""
        answer = call(self.store_port, "GET", _names.RANGE_PATH)
        return answer is not None and answer.status == 200

    def put_entry(self, name: str, value: object) -> None:
        """Write an entry of the registry as a foreign writer does."""
        key = _names.REGISTRY_PREFIX + name
        document = {"key": key, "value": value, "life": 2.0}
        call(self.store_port, "POST", "/put", document)

    def configure(self, version: int, extra_routes: tuple[str, ...]) -> None:
        """Write a version of the configuration with additional routes."""
        document = {
            "version": f"r{version}",
            "routes": make_routes(extra_routes),
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

    def evacuate(self, data_centre: str, active: bool) -> None:
        """Request the evacuation of a data centre, or cancel it."""
        key = _names.EVACUATION_PREFIX + data_centre
        self.put(key, {} if active else None)

    def restore_store(self, age: float, seconds: float) -> None:
        """Stop the store for a time, then restore it from a copy."""
        document = {"kind": "restore", "age": age, "seconds": seconds}
        call(self.store_port, "POST", "/fault", document)

    def list_keyed(self) -> list[SoakUpstream]:
        """Return the upstreams that own keys."""
        return [each for each in self.upstreams if each.service == KEYED]

    def find_leader(self) -> SoakHost | None:
        """Return the host that the first host to answer takes for leader."""
        hosts = {each.name: each for each in self.hosts}
        tasks = [gevent.spawn(each.read_leader) for each in self.hosts]
        for task in gevent.iwait(tasks, timeout=_LEADER_TIMEOUT):
            if task.value is not None:
                return hosts[task.value]
        return None

    def find_data_centre(self, start: str) -> str:
        """Return the data centre of the upstream of an event."""
        number = int(start.split("-")[1])
        return self.upstreams[number].data_centre

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator does, and retry until it is stored.

        Raises
        ------
        TimeoutError
            When the write still fails long after every fault has ended.
        """
        document = {"key": key, "value": value}
        end = time.monotonic() + _WRITE_TIMEOUT
        while time.monotonic() < end:
            answer = call(self.store_port, "POST", "/put", document)
            if answer is not None and answer.status == 200:
                return
            gevent.sleep(0.1)
        raise TimeoutError(f"the store did not accept a write of {key}")

    def supervise(self) -> None:
        """Restart crashed upstreams until this greenlet is killed."""
        due: list[tuple[float, SoakUpstream]] = []
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for upstream in self.upstreams:
                if upstream.program.crashed and upstream.note_crash():
                    due.append((now + _RESTART_DELAY, upstream))
            while due and due[0][0] <= now:
                due.pop(0)[1].start()

    def read_events(self) -> list[Event]:
        """Return the events of all upstreams, by time."""
        decoder = msgspec.json.Decoder(Event)
        events = []
        for upstream in self.upstreams:
            events += upstream.list_exits()
            for program in upstream.programs:
                for line in program.output.read_bytes().splitlines():
                    if line.startswith(b'{"at"') and line.endswith(b"}"):
                        events.append(decoder.decode(line))
        return sorted(events, key=lambda event: event.at)

    def list_heals(self) -> list[Heal]:
        """Return the times after which held up orders may be delivered."""
        heals = [heal for each in self.upstreams for heal in each.list_heals()]
        for host in self.hosts:
            heals += [Heal(at) for at in host.program.resumed_at]
            heals += [
                Heal(at, f"i-{number}-")
                for at, was_affected in host.gateway.heals
                for number, each in enumerate(self.upstreams)
                if was_affected(each.address)
            ]
        return heals

    def close(self) -> None:
        """Kill all processes and close all proxies."""
        self._stack.close()
