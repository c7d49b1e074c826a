"""Fleet of real processes in the shape of a deployment.

Each host has a process that carries its connections, and callers are
processes of their own, so that the harness does no work for a request. Hosts
may be started from the folder of another version.
"""

import base64
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import contextlib
import itertools
import pathlib
import subprocess
import sys
import time
from typing import Any

import gevent
from gevent.fileobject import FileObject
from gevent.pool import Group
import msgspec

from sedgetide.platform import _names
from sedgetide.testing.callerprocess import CallerCommand
from sedgetide.testing.deploymentshape import DeploymentShape
from sedgetide.testing.deploymentshape import list_places
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.fleetroutes import make_routes
from sedgetide.testing.fleetroutes import PLAIN
from sedgetide.testing.gateways import Path
from sedgetide.testing.hostlinks import Addresses
from sedgetide.testing.hostlinks import CutCommand
from sedgetide.testing.hostlinks import HealCommand
from sedgetide.testing.hostlinks import HealReport
from sedgetide.testing.hostlinks import StoreCommand
from sedgetide.testing.ports import find_port
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import EXITED
from sedgetide.testing.rangeupstream import FAULT_PATH
from sedgetide.testing.rangeupstream import name_life
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Program
from sedgetide.testing.soakholdings import Heal

GRACE = 4.0
_CALLER_PROCESSES = 2
_CALLERS = 20
_EXIT_TIMEOUT = 10.0
_POLL_INTERVAL = 0.1
# Routes that each configuration has.
_FIRST_ROUTES = 3
# Addresses that a host may have one after the other.
_ADDRESSES = 3
_PRESENT = pathlib.Path(__file__).resolve().parents[2]
_LAUNCHER = pathlib.Path(__file__).with_name("hostlauncher.py")


class Controlled(Program):
    """Process that reads commands as JSON lines from standard input."""

    def __init__(
        self, name: str, folder: pathlib.Path, arguments: list[str]
    ) -> None:
        super().__init__(name, folder, arguments)
        self._input: Any = None

    def start(self) -> None:
        """Start the process."""
        with self.output.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
            )
        self._input = FileObject(self._process.stdin, "wb", bufsize=0)

    def send(self, command: msgspec.Struct) -> None:
        """Send a command."""
        self._input.write(msgspec.json.encode(command) + b"\n")

    def end_input(self) -> None:
        """Close standard input."""
        if self._input is not None:
            self._input.close()


def _read_lines(program: Program, kind: Any) -> list[Any]:
    """Return the complete lines of a process's output that are of a kind."""
    found = []
    for line in program.output.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            with contextlib.suppress(msgspec.MsgspecError):
                found.append(msgspec.json.decode(line, type=kind))
    return found


class DeployedHost:
    """Host process and the process that carries its connections.

    Parameters
    ----------
    name : str
        Name of the host.
    centre : int
        Number of its data centre.
    folder : pathlib.Path
        Folder for settings and output.
    store_port : int
        Port of the store.
    source : pathlib.Path
        Folder of the version that the host runs.
    """

    def __init__(
        self,
        name: str,
        centre: int,
        folder: pathlib.Path,
        store_port: int,
        source: pathlib.Path,
    ) -> None:
        self.name = name
        self.centre = centre
        self._folder = folder
        self._source = source
        self._ports = [
            [find_port() for _ in range(5)] for _ in range(_ADDRESSES)
        ]
        self._address = 0
        self.links = Controlled(
            f"{name}-links",
            folder,
            ["-m", "sedgetide.testing.hostlinks", str(store_port)],
        )
        self._path = folder / f"{name}.json"
        self.program = Program(name, folder, [])

    @property
    def ports(self) -> list[int]:
        """All ports that the host may have."""
        return [port for each in self._ports for port in each]

    @property
    def front(self) -> str:
        """Present address for callers."""
        return f"127.0.0.1:{self._ports[self._address][0]}"

    def start_links(self) -> None:
        """Start the process that carries the connections."""
        self.links.start()

    def prepare(self, direct: Iterable[int]) -> bool:
        """Prepare the start once the links are ready; return whether so."""
        found = _read_lines(self.links, Addresses)
        if not found:
            return False
        store_port = int(found[0].store.rpartition(":")[2])
        ports = ",".join(map(str, [store_port, *direct]))
        self._store = found[0].store
        self.program.arguments = [
            str(_LAUNCHER),
            str(self._source),
            found[0].gateway,
            ports,
            str(self._path),
        ]
        self._write_settings()
        return True

    def _write_settings(self) -> None:
        ports = self._ports[self._address]
        settings: dict[str, Any] = {
            "host": self.name,
            "data_centre": f"dc-{self.centre}",
            "listen": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
            "admin": f"127.0.0.1:{ports[2]}",
            "link": f"127.0.0.1:{ports[3]}",
            "stores": [self._store],
            "grace": GRACE,
        }
        known = self._source / "sedgetide" / "coding" / "settings.py"
        if "forward_port" in known.read_text():
            settings["forward_port"] = ports[4]
        self._path.write_bytes(msgspec.json.encode(settings))

    def replace(self) -> None:
        """Have the next start at another address."""
        self._address = (self._address + 1) % _ADDRESSES
        self._write_settings()

    def is_ready(self) -> bool:
        """Return whether the host reports ready to the load balancer."""
        port = self._ports[self._address][1]
        answer = call(port, "GET", _names.READINESS_PATH)
        return answer is not None and answer.status == 200

    def close(self) -> None:
        """Kill both processes."""
        self.program.close()
        self.links.close()


class DeployedUpstream:
    """Place at which upstream processes are started one after another."""

    def __init__(
        self,
        number: int,
        service: str,
        centre: int,
        folder: pathlib.Path,
        store_port: int,
        shape: DeploymentShape,
    ) -> None:
        self.service = service
        self.centre = centre
        self._shape = shape
        self._folder = folder
        self._number = number
        self.store = Proxy(store_port)
        self.port = find_port()
        self.name = ""
        self._starts = 0
        self.programs: list[Program] = []
        self._lives: list[str] = []
        self.addresses: set[str] = set()
        # Times at which the event loop went on after a stall.
        self.stalled_until: list[float] = []

    @property
    def address(self) -> str:
        """Address of the last start."""
        return f"127.0.0.1:{self.port}"

    @property
    def program(self) -> Program:
        """The process that was started last."""
        return self.programs[-1]

    @property
    def prefix(self) -> str:
        """Prefix of the names of all processes of this place."""
        return f"i-{self._number}-"

    def start(self, port: int | None = None) -> None:
        """Start a process under a new name, at a new address or a given one.

        A deployment that reuses names keeps the name and the address.
        """
        if self.programs and self.program.running:
            return
        is_kept = self._shape.reuses_names and bool(self.name) and port is None
        self._starts += 1
        if not is_kept:
            self.port = port or (find_port() if self.name else self.port)
            self.name = f"{self.prefix}{self._starts}"
        program = Program(
            f"{self.name}-{self._starts}", self._folder, self._list_arguments()
        )
        program.start()
        self.addresses.add(self.address)
        self.programs.append(program)
        self._lives.append(name_life(self.name, self._starts))

    def _list_arguments(self) -> list[str]:
        arguments = [
            "-m",
            "sedgetide.testing.rangeupstream",
            f"--name={self.name}",
            f"--born={self._starts}",
            f"--service={self.service}",
            f"--data-centre=dc-{self.centre}",
            f"--port={self.port}",
            f"--address={self.address}",
            f"--store={self.store.address}",
            f"--slots={self._shape.slots}",
            f"--work={self._shape.work}",
            f"--heartbeat={self._shape.heartbeat}",
        ]
        if not self._shape.reuses_names:
            arguments.append("--unborn")
        if not self._shape.echoes_orders:
            arguments.append("--without-order-ids")
        if self.service == KEYED:
            arguments.append("--keyed")
        return arguments

    def set_fault(self, **fault: float) -> None:
        """Stall the process, or have it hold up grants."""
        call(self.port, "POST", FAULT_PATH, fault)
        if "stall" in fault:
            self.stalled_until.append(time.monotonic() + fault["stall"])

    def list_exits(self) -> list[Event]:
        """Return an event for each process of this place that has ended."""
        return [
            Event(program.ended_at, EXITED, life, "", -1, 0)
            for life, program in zip(self._lives, self.programs, strict=True)
            if program.ended_at is not None
        ]

    def list_heals(self) -> list[Heal]:
        """Return the times at which orders to it may have been held up."""
        times = [at for each in self.programs for at in each.resumed_at]
        return [Heal(at, self.prefix) for at in [*times, *self.stalled_until]]

    def close(self) -> None:
        """Kill all processes and close the proxy."""
        for program in self.programs:
            program.close()
        self.store.close()


class DeploymentFleet:
    """Store, hosts, upstreams and callers.

    Parameters
    ----------
    shape : DeploymentShape
        Number of processes, and their settings.
    folder : pathlib.Path
        Folder for settings and output.
    seed : int
        Seed of the callers.
    source : pathlib.Path
        Folder of the version that the hosts run.
    """

    def __init__(
        self,
        shape: DeploymentShape,
        folder: pathlib.Path,
        seed: int,
        source: pathlib.Path = _PRESENT,
    ) -> None:
        self.shape = shape
        self._folder = folder
        self._numbers = itertools.count(1)
        self._tasks = Group()
        self._stack = contextlib.ExitStack()
        self.store_port = find_port()
        self.store = Program("store", folder, self._list_store_arguments())
        self._stack.callback(self.store.close)
        self.hosts = [
            self._own(
                DeployedHost(
                    f"host-{number}", centre, folder, self.store_port, source
                )
            )
            for number, centre in enumerate(list_places(shape.hosts))
        ]
        self.upstreams = [
            self._make_upstream(service, centre)
            for service, counts in ((KEYED, shape.keyed), (PLAIN, shape.plain))
            for centre in list_places(counts)
        ]
        self._outputs = [
            folder / f"records-{number}.jsonl"
            for number in range(_CALLER_PROCESSES)
        ]
        self.callers = [
            self._make_callers(number, seed)
            for number in range(_CALLER_PROCESSES)
        ]
        self._version = 0
        self._cuts = itertools.count()
        self.extra_routes: list[str] = []
        self.leaders: list[tuple[float, str]] = []

    def _list_store_arguments(self) -> list[str]:
        module = "sedgetide.testing.platformstore"
        return ["-m", module, f"--port={self.store_port}", "--era=6"]

    def _own(self, part: Any) -> Any:
        self._stack.callback(part.close)
        return part

    def _make_upstream(self, service: str, centre: int) -> DeployedUpstream:
        upstream: DeployedUpstream = self._own(
            DeployedUpstream(
                next(self._numbers),
                service,
                centre,
                self._folder,
                self.store_port,
                self.shape,
            )
        )
        return upstream

    def _make_callers(self, number: int, seed: int) -> Controlled:
        program: Controlled = self._own(
            Controlled(
                f"callers-{number}",
                self._folder,
                [
                    "-m",
                    "sedgetide.testing.callerprocess",
                    f"--seed={seed}",
                    f"--first={number * _CALLERS}",
                    f"--callers={_CALLERS}",
                    f"--rate={self.shape.rate / _CALLER_PROCESSES}",
                    f"--output={self._outputs[number]}",
                ],
            )
        )
        return program

    # Start and end

    def start(self, seconds: float = 60.0) -> None:
        """Start all processes and wait until every host is ready.

        Raises
        ------
        TimeoutError
            If a process doesn't start in time.
        """
        end = time.monotonic() + seconds
        self.store.start()
        for host in self.hosts:
            host.start_links()
        self._wait_until(self._has_store, end, "the store did not start")
        self.configure()
        for upstream in self.upstreams:
            upstream.start()
        direct = [port for host in self.hosts for port in host.ports]
        for host in self.hosts:
            self._wait_until(
                lambda host=host: host.prepare(direct), end, host.name
            )
            host.program.start()
        for host in self.hosts:
            self._wait_until(host.is_ready, end, host.name)
        following = gevent.spawn(self._follow_leader)
        self._stack.callback(following.kill)
        for each in self.callers:
            each.start()
        self.announce()

    def _wait_until(self, is_done: Any, end: float, name: str) -> None:
        while not is_done():
            if time.monotonic() > end:
                raise TimeoutError(f"{name} is not ready in time")
            gevent.sleep(_POLL_INTERVAL)

    def _has_store(self) -> bool:
        answer = call(self.store_port, "GET", _names.RANGE_PATH)
        return answer is not None and answer.status == 200

    def stop_callers(self) -> list[RequestRecord]:
        """End the callers and return the records of their requests."""
        for each in self.callers:
            each.end_input()
        for each in self.callers:
            each.wait(_EXIT_TIMEOUT)
        decoder = msgspec.json.Decoder(RequestRecord)
        return [
            decoder.decode(line)
            for path in self._outputs
            if path.exists()
            for line in path.read_bytes().splitlines()
        ]

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Run a function in a task that ends when the fleet is closed.

        A fault that went on then would start processes again.
        """
        self._tasks.spawn(function, *arguments)

    def close(self) -> None:
        """End all tasks and kill all processes."""
        self._tasks.kill()
        self._stack.close()

    # Callers

    def announce(self) -> None:
        """Tell the callers the addresses of the hosts."""
        self.command(CallerCommand(tuple(each.front for each in self.hosts)))

    def command(self, command: CallerCommand) -> None:
        """Send a command to all callers."""
        for each in self.callers:
            each.send(command)

    # Configuration and store

    def configure(self, extra_routes: int = 0) -> None:
        """Write the next version of the configuration."""
        first = len(self.extra_routes)
        self.extra_routes += [
            f"extra{first + each}" for each in range(extra_routes)
        ]
        self._version += 1
        document = make_configuration(
            self._version, self.shape.routes, self.extra_routes
        )
        self.put(_names.CONFIGURATION_KEY, document)

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator does, and retry until it is stored."""
        document = {"key": key, "value": value}
        while True:
            answer = call(self.store_port, "POST", "/put", document)
            if answer is not None and answer.status == 200:
                return
            gevent.sleep(_POLL_INTERVAL)

    def set_store_fault(self, **fault: Any) -> None:
        """Inject a fault into the store."""
        call(self.store_port, "POST", "/fault", fault)

    def _follow_leader(self) -> None:
        """Note each change of the leader."""
        while True:
            name = self._read_leader()
            if name and (not self.leaders or self.leaders[-1][1] != name):
                self.leaders.append((time.monotonic(), name))
            gevent.sleep(_POLL_INTERVAL)

    def _read_leader(self) -> str:
        """Return the host in the store's record of the leader, or nothing."""
        path = f"{_names.RANGE_PATH}?path-prefix=sedgetide/"
        answer = call(self.store_port, "GET", path)
        if answer is None or answer.status != 200:
            return ""
        for item in msgspec.json.decode(answer.body)["items"]:
            if item["key"].endswith("/leader"):
                return _decode_host(item["value"])
        return ""

    def find_leader(self) -> DeployedHost:
        """Return the host that was last known to lead."""
        name = self.leaders[-1][1] if self.leaders else self.hosts[0].name
        return next(each for each in self.hosts if each.name == name)

    # Upstreams

    def list_keyed(self) -> list[DeployedUpstream]:
        """Return the upstreams that own keys."""
        return [each for each in self.upstreams if each.service == KEYED]

    def add_upstream(
        self, service: str, centre: int, port: int | None = None
    ) -> DeployedUpstream:
        """Start one more upstream, at a given address or a new one."""
        upstream = self._make_upstream(service, centre)
        self.upstreams.append(upstream)
        upstream.start(port)
        return upstream

    def put_entry(
        self, name: str, service: str, centre: int, address: str
    ) -> None:
        """Write the entry of an upstream that has ended, as if sent late."""
        value = {
            "address": address,
            "info": {
                "service": service,
                "version": "v1",
                "zone": f"dc-{centre}",
                "slots": self.shape.slots,
            },
            "status": {"state": "ready", "sequence": 1, "warmup-left-ms": 0},
        }
        document = {
            "key": _names.REGISTRY_PREFIX + name,
            "value": value,
            "life": 3 * self.shape.heartbeat,
        }
        call(self.store_port, "POST", "/put", document)

    # Paths

    def cut(
        self,
        hosts: Collection[DeployedHost],
        path: Path,
        addresses: Collection[str] = (),
    ) -> int:
        """Cut the paths of hosts to upstreams; return the cut's number."""
        number = next(self._cuts)
        for host in hosts:
            host.links.send(CutCommand(number, path, tuple(addresses)))
        return number

    def heal(self, hosts: Collection[DeployedHost], number: int) -> None:
        """Remove a cut."""
        for host in hosts:
            host.links.send(HealCommand(number))

    def set_store_path(
        self, hosts: Collection[DeployedHost], command: StoreCommand
    ) -> None:
        """Change the paths of hosts to the store."""
        for host in hosts:
            host.links.send(command)

    # What was recorded

    def read_events(self) -> list[Event]:
        """Return the events of all upstreams, by time."""
        events = []
        for upstream in self.upstreams:
            events += upstream.list_exits()
            for program in upstream.programs:
                events += _read_events(program)
        return sorted(events, key=lambda event: event.at)

    def list_heals(self) -> list[Heal]:
        """Return the times after which held up orders may be delivered."""
        heals = [heal for each in self.upstreams for heal in each.list_heals()]
        for host in self.hosts:
            heals += [Heal(at) for at in host.program.resumed_at]
            for report in _read_lines(host.links, HealReport):
                heals += self._list_healed(report)
        return heals

    def _list_healed(self, report: HealReport) -> list[Heal]:
        if not report.addresses:
            return [Heal(report.at)]
        return [
            Heal(report.at, each.prefix)
            for each in self.upstreams
            if each.addresses & frozenset(report.addresses)
        ]


def _read_events(program: Program) -> list[Event]:
    decoder = msgspec.json.Decoder(Event)
    return [
        decoder.decode(line)
        for line in program.output.read_bytes().splitlines()
        if line.startswith(b'{"at"') and line.endswith(b"}")
    ]


def _decode_host(value: str) -> str:
    found: str = msgspec.json.decode(base64.b64decode(value)).get("host", "")
    return found


def make_configuration(
    version: int, routes: int, extra_routes: list[str]
) -> dict[str, Any]:
    """Return a version of the configuration.

    Parameters
    ----------
    version : int
        Number of the version.
    routes : int
        Number of routes without the additional ones.
    extra_routes : list of str
        Names of additional routes.
    """
    names = [f"route{each}" for each in range(_FIRST_ROUTES, routes)]
    services = {"columns": ["name", "sharded"]}
    services["rows"] = [[KEYED, True], [PLAIN, False]]
    return {
        "version": f"r{version}",
        "routes": make_routes([*names, *extra_routes]),
        "services": services,
    }
