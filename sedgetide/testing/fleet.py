"""A deployment on this machine: real processes against stand-ins.

A tool for tests, the demo and measurements. No daemon and no product
command starts a process.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from gevent import sleep
import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.httpstore import HttpStore
from sedgetide.command.configuration import apply_text
from sedgetide.command.configuration import read_text
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Revision
from sedgetide.testing.ports import find_port

_LIMIT = 64 * 1024 * 1024
_POLL = 0.02
_STOP_TIME = 30.0
_OK = 200
_SHOWN = 300

# For tests that are not about losses. With the usual durations a machine that
# stalls for half a second would show one, and requests in hand be unsure.
PATIENT_OPTIONS = {
    "timing": {"silence": 3.0, "proof_life": 3.0, "grant_life": 4.0}
}


def reserve_address() -> str:
    """Return a free ``IP:port``."""
    return f"127.0.0.1:{find_port()}"


def call(
    address: str,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    timeout: float = 10.0,
) -> HttpAnswer:
    """Send one request on a new connection."""
    connection = HttpConnection(address, _LIMIT)
    with contextlib.closing(connection):
        connection.open(timeout)
        return connection.exchange(method, path, headers, body, timeout)


def wait_for(condition: Callable[[], Any], timeout: float, what: str) -> Any:
    """Wait until a condition holds and return its value.

    Raises
    ------
    TimeoutError
        When it does not hold in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        with contextlib.suppress(UpstreamError):
            value = condition()
            if value:
                return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"not in {timeout} s: {what}")
        sleep(_POLL)


class Process:
    """One started process.

    Parameters
    ----------
    name : str
        For people.
    module : str
        Module to run.
    arguments : list of str
        Its command line.
    log : pathlib.Path
        File for standard error.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        log: pathlib.Path,
    ) -> None:
        self.name = name
        self.log = log
        with log.open("ab") as stream:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=subprocess.DEVNULL,
                stderr=stream,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """End the process without notice."""
        self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Freeze the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop."""
        self._popen.terminate()

    def join(self, timeout: float = _STOP_TIME) -> int:
        """Wait for the end and return the exit code."""
        deadline = time.monotonic() + timeout
        while self.running and time.monotonic() < deadline:
            sleep(_POLL)
        return self._popen.wait(timeout=0.1)


class Daemon(msgspec.Struct):
    """A daemon of the fleet with its settings."""

    process: Process
    module: str
    settings: dict[str, Any]
    path: pathlib.Path

    @property
    def admin(self) -> str:
        """Admin address."""
        return self.settings["admin"]

    def fetch_state(self) -> dict[str, Any]:
        """Return the state dump.

        Raises
        ------
        AssertionError
            When what answers is not this daemon, or could not make a dump.
            Without a look at it, a caller finds out by a missing field, and
            what was there instead is lost.
        """
        answer = call(self.admin, "GET", "/state", timeout=2.0)
        place = f"{self.module} at {self.admin}"
        body = answer.body[:_SHOWN]
        assert answer.status == _OK, f"{place}: {answer.status} {body!r}"
        state = msgspec.json.decode(answer.body)
        own = state["host"] == self.settings["host"]
        assert own and self.is_own_kind(state), f"{place}: {body!r}"
        return state

    def is_own_kind(self, state: dict[str, Any]) -> bool:
        """Tell whether a dump is of this daemon's program."""
        return ("upstreams" in state) == self.module.endswith("keeper")

    def is_ready(self) -> bool:
        """Ask for readiness."""
        return call(self.admin, "GET", "/readyz", timeout=2.0).status == 200


class Fleet:
    """One deployment with its own stand-in store.

    Parameters
    ----------
    text : dict
        Operators' text; the addresses of upstreams are replaced by those
        of the stand-ins.
    upstreams : int
        Upstreams kept for each service in each data centre.
    service_ms : float
        Time the upstreams take for a request.
    options : dict
        Settings that every daemon gets besides its own.
    """

    def __init__(
        self,
        text: dict[str, Any],
        upstreams: int = 1,
        service_ms: float = 2.0,
        options: dict[str, Any] | None = None,
    ) -> None:
        self.text = text
        self.upstreams: dict[str, Process] = {}
        self.entries: dict[str, Daemon] = {}
        self.keepers: dict[str, Daemon] = {}
        self.store_address = reserve_address()
        self._service_ms = service_ms
        self._options = options or {}
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._reduce(upstreams)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _reduce(self, count: int) -> None:
        for service in self.text["services"]:
            kept = []
            for centre in self.text["data_centres"]:
                kept += [
                    each
                    for each in service["upstreams"]
                    if each["data_centre"] == centre
                ][:count]
            for upstream in kept:
                upstream["address"] = reserve_address()
            service["upstreams"] = kept

    def list_upstreams(self) -> dict[str, str]:
        """Return the address of each upstream by name."""
        return {
            upstream["name"]: upstream["address"]
            for service in self.text["services"]
            for upstream in service["upstreams"]
        }

    def start_store(self) -> None:
        """Start the stand-in store."""
        port = self.store_address.rpartition(":")[2]
        self.store = self._run(
            "store", "sedgetide.testing.store", "--port", port
        )

    def start_upstreams(self) -> None:
        """Start a stand-in for each upstream of the text."""
        for service in self.text["services"]:
            for upstream in service["upstreams"]:
                self.start_upstream(service, upstream)

    def start_upstream(
        self, service: dict[str, Any], upstream: dict[str, Any]
    ) -> None:
        """Start the stand-in of one upstream."""
        arguments = [
            "--name",
            upstream["name"],
            "--port",
            upstream["address"].rpartition(":")[2],
            "--slots",
            str(service["slots"]),
            "--connections",
            str(service["connections"]),
            "--service-ms",
            str(self._service_ms),
            "--journal",
            str(self._folder / f"{upstream['name']}.journal"),
        ]
        if service.get("keyed") and not service.get("checks_orders"):
            arguments.append("--unchecked")
        self.upstreams[upstream["name"]] = self._run(
            upstream["name"], "sedgetide.testing.upstream", *arguments
        )

    def start_daemons(self, keepers: int = 3, entries: int = 1) -> None:
        """Start keepers and entries in every data centre."""
        for centre in self.text["data_centres"]:
            links = [reserve_address() for _ in range(keepers)]
            for number, link in enumerate(links):
                host = f"{centre}-{number + 1}"
                self.start_keeper(host, centre, link, links)
            for number in range(entries):
                self.start_entry(f"{centre}-{number + 1}", centre, links)

    def start_keeper(
        self, host: str, centre: str, link: str, links: list[str]
    ) -> None:
        """Start one keeper."""
        settings = {
            **self._options,
            "host": host,
            "data_centre": centre,
            "link": link,
            "admin": reserve_address(),
            "stores": [self.store_address],
            "keepers": [each for each in links if each != link],
        }
        self.keepers[host] = self._start_daemon("keeper", host, settings)

    def start_entry(self, host: str, centre: str, links: list[str]) -> None:
        """Start one entry."""
        settings = {
            **self._options,
            "host": host,
            "data_centre": centre,
            "listen": reserve_address(),
            "link": reserve_address(),
            "admin": reserve_address(),
            "keepers": links,
        }
        self.entries[host] = self._start_daemon("entry", host, settings)

    def _start_daemon(
        self, program: str, host: str, settings: dict[str, Any]
    ) -> Daemon:
        path = self._folder / f"{program}-{host}.json"
        path.write_bytes(msgspec.json.encode(settings))
        module = f"sedgetide.daemons.{program}"
        process = self._run(f"{program}-{host}", module, str(path))
        return Daemon(process, module, settings, path)

    def start_tool(self, name: str, module: str, *arguments: str) -> Process:
        """Start another program that ends with the fleet."""
        return self._run(name, module, *arguments)

    def restart(self, daemon: Daemon) -> None:
        """Start a daemon that has ended once more."""
        name = daemon.process.name
        daemon.process = self._run(name, daemon.module, str(daemon.path))

    def _run(self, name: str, module: str, *arguments: str) -> Process:
        log = self._folder / f"{name}.log"
        process = Process(name, module, list(arguments), log)
        self._stack.callback(process.kill)
        return process

    def apply_text(self) -> Revision:
        """Put the fleet's text in force."""
        store = HttpStore([self.store_address], 5.0)
        with contextlib.closing(store):
            base = read_text(store).revision
            content = msgspec.json.encode(self.text)
            return apply_text(store, content, base)

    def start(self, keepers: int = 3, entries: int = 1) -> None:
        """Start everything and wait until it serves."""
        self.start_store()
        self.start_upstreams()
        address = self.store_address
        wait_for(lambda: call(address, "GET", "/calls"), 20, "store")
        self.apply_text()
        self.start_daemons(keepers, entries)
        self.wait_until_served(40.0)

    def wait_until_served(self, timeout: float) -> None:
        """Wait until every shard has an owner with a live grant."""
        wanted = sum(
            service["shards"]
            for service in self.text["services"]
            if service.get("keyed")
        )
        wait_for(lambda: len(self.list_grants()) >= wanted, timeout, "grants")
        for entry in self.entries.values():
            wait_for(entry.is_ready, timeout, "entry ready")

    def list_grants(self) -> dict[str, tuple[str, int]]:
        """Return upstream and epoch of each shard as the keepers see it."""
        grants = {}
        for keeper in self.keepers.values():
            if not keeper.process.running:
                continue
            for upstream in keeper.fetch_state()["upstreams"]:
                if upstream["standing_back"]:
                    continue
                for shard, epoch in upstream["grants"].items():
                    grants[shard] = (upstream["upstream"], epoch)
        return grants

    def find_service(self, upstream: str) -> tuple[dict, dict]:
        """Return the text's entries of an upstream's service and itself."""
        for service in self.text["services"]:
            for each in service["upstreams"]:
                if each["name"] == upstream:
                    return service, each
        raise LookupError(upstream)

    def find_role(self, role: str) -> Daemon:
        """Return the first running keeper with a role in its state.

        Parameters
        ----------
        role : str
            ``assigner`` or ``watching``.
        """
        for keeper in self.keepers.values():
            if keeper.process.running and keeper.fetch_state()[role]:
                return keeper
        raise LookupError(f"no keeper is {role}")

    def find_keeper(self, upstream: str) -> Daemon:
        """Return the keeper of an upstream."""
        for keeper in self.keepers.values():
            if not keeper.process.running:
                continue
            for each in keeper.fetch_state()["upstreams"]:
                if each["upstream"] == upstream and not each["standing_back"]:
                    return keeper
        raise LookupError(f"nobody keeps {upstream}")

    def set_store_fault(self, fault: str, delay: float = 0.0) -> None:
        """Switch the store to a fault, or to ``none``."""
        body = msgspec.json.encode({"fault": fault, "delay": delay})
        call(self.store_address, "POST", "/fault", body=body)

    def set_upstream_fault(self, name: str, **behaviour: Any) -> None:
        """Change the behaviour of a stand-in upstream."""
        address = self.list_upstreams()[name]
        call(address, "POST", "/fault", body=msgspec.json.encode(behaviour))

    def read_journals(self) -> list[dict[str, Any]]:
        """Return what all upstreams really ran, by start."""
        entries = [
            msgspec.json.decode(line)
            for path in self._folder.glob("*.journal")
            for line in path.read_bytes().splitlines()
        ]
        return sorted(entries, key=lambda each: each["began"])

    def show_logs(self) -> str:
        """Return what the processes logged, for a failed test."""
        return "\n".join(
            f"== {path.name}\n{path.read_text()[-3000:]}"
            for path in sorted(self._folder.glob("*.log"))
            if path.stat().st_size
        )

    def close(self) -> None:
        """Kill all processes."""
        self._stack.close()
