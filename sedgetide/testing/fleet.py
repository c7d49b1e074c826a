"""Deployment of real daemons on this machine with a simulated environment.

Store and upstreams are simulated. This is for tests, the demo and
measurements only; no daemon and no product command starts a process.
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

_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_POLL_INTERVAL = 0.02
_STOP_TIMEOUT = 30.0
_OK = 200
_MAX_SHOWN_BYTES = 300

# For tests that don't examine losses. With the default durations a machine
# that stalls for half a second would cause a loss, and requests in progress
# would get an uncertain outcome.
LONG_TIMEOUT_OPTIONS = {
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
    connection = HttpConnection(address, _MAX_ANSWER_BYTES)
    with contextlib.closing(connection):
        connection.open(timeout)
        return connection.exchange(method, path, headers, body, timeout)


def wait_for(condition: Callable[[], Any], timeout: float, what: str) -> Any:
    """Wait until a condition holds and return its value.

    Raises
    ------
    TimeoutError
        When it does not hold within the timeout.
    """
    deadline = time.monotonic() + timeout
    while True:
        with contextlib.suppress(UpstreamError):
            value = condition()
            if value:
                return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out after {timeout} s: {what}")
        sleep(_POLL_INTERVAL)


class Process:
    """One child process, started on construction.

    Parameters
    ----------
    name : str
        Name for messages and files.
    module : str
        Module to run.
    arguments : list of str
        Command line arguments of the module.
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
        """Whether the process has not exited."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process."""
        self._popen.kill()
        self._popen.wait()

    def pause(self) -> None:
        """Suspend the process by SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop by SIGTERM."""
        self._popen.terminate()

    def join(self, timeout: float = _STOP_TIMEOUT) -> int:
        """Wait for the process to exit and return its exit code."""
        deadline = time.monotonic() + timeout
        while self.running and time.monotonic() < deadline:
            sleep(_POLL_INTERVAL)
        return self._popen.wait(timeout=0.1)


class Daemon(msgspec.Struct):
    """Daemon of a fleet with its settings."""

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
            When another process answers, or the daemon fails to make a dump.
            Without this check the caller would fail on a missing field, and
            the message would not show the actual answer.
        """
        answer = call(self.admin, "GET", "/state", timeout=2.0)
        place = f"{self.module} at {self.admin}"
        body = answer.body[:_MAX_SHOWN_BYTES]
        assert answer.status == _OK, f"{place}: {answer.status} {body!r}"
        state = msgspec.json.decode(answer.body)
        own = state["host"] == self.settings["host"]
        assert own and self.is_same_kind(state), f"{place}: {body!r}"
        return state

    def is_same_kind(self, state: dict[str, Any]) -> bool:
        """Return whether a dump comes from a daemon of this kind."""
        return ("upstreams" in state) == self.module.endswith("keeper")

    def is_ready(self) -> bool:
        """Return whether the daemon reports ready."""
        return call(self.admin, "GET", "/readyz", timeout=2.0).status == 200


class Fleet:
    """One deployment with its own simulated store.

    Parameters
    ----------
    text : dict
        Configuration text; the addresses of upstreams are replaced by those
        of the simulated upstreams.
    upstreams : int
        Number of upstreams to start for each service in each data centre.
    service_ms : float
        Service time of the upstreams for a request.
    options : dict
        Additional settings of every daemon.
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
        self._select_upstreams(upstreams)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _select_upstreams(self, count: int) -> None:
        for service in self.text["services"]:
            kept = []
            for data_centre in self.text["data_centres"]:
                kept += [
                    each
                    for each in service["upstreams"]
                    if each["data_centre"] == data_centre
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
        """Start the simulated store."""
        port = self.store_address.rpartition(":")[2]
        self.store = self._run(
            "store", "sedgetide.testing.store", "--port", port
        )

    def start_upstreams(self) -> None:
        """Start a simulated upstream for each one in the configuration."""
        for service in self.text["services"]:
            for upstream in service["upstreams"]:
                self.start_upstream(service, upstream)

    def start_upstream(
        self, service: dict[str, Any], upstream: dict[str, Any]
    ) -> None:
        """Start one simulated upstream."""
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
        for data_centre in self.text["data_centres"]:
            links = [reserve_address() for _ in range(keepers)]
            for number, link in enumerate(links):
                host = f"{data_centre}-{number + 1}"
                self.start_keeper(host, data_centre, link, links)
            for number in range(entries):
                self.start_entry(
                    f"{data_centre}-{number + 1}", data_centre, links
                )

    def start_keeper(
        self, host: str, data_centre: str, link: str, links: list[str]
    ) -> None:
        """Start one keeper."""
        settings = {
            **self._options,
            "host": host,
            "data_centre": data_centre,
            "link": link,
            "admin": reserve_address(),
            "stores": [self.store_address],
            "keepers": [each for each in links if each != link],
        }
        self.keepers[host] = self._start_daemon("keeper", host, settings)

    def start_entry(
        self, host: str, data_centre: str, links: list[str]
    ) -> None:
        """Start one entry."""
        settings = {
            **self._options,
            "host": host,
            "data_centre": data_centre,
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
        """Start another program, which is killed with the fleet."""
        return self._run(name, module, *arguments)

    def restart(self, daemon: Daemon) -> None:
        """Restart a daemon that has exited."""
        name = daemon.process.name
        daemon.process = self._run(name, daemon.module, str(daemon.path))

    def _run(self, name: str, module: str, *arguments: str) -> Process:
        log = self._folder / f"{name}.log"
        process = Process(name, module, list(arguments), log)
        self._stack.callback(process.kill)
        return process

    def apply_text(self) -> Revision:
        """Apply the fleet's configuration text."""
        store = HttpStore([self.store_address], 5.0)
        with contextlib.closing(store):
            base = read_text(store).revision
            content = msgspec.json.encode(self.text)
            return apply_text(store, content, base)

    def start(self, keepers: int = 3, entries: int = 1) -> None:
        """Start all processes and wait until requests are served."""
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
        """Return upstream and epoch of each shard, from the keepers' state."""
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
        """Return the configuration of an upstream's service and of itself."""
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
        raise LookupError(f"no running keeper keeps upstream {upstream}")

    def set_store_fault(self, fault: str, delay: float = 0.0) -> None:
        """Inject a fault into the store; ``none`` ends it."""
        body = msgspec.json.encode({"fault": fault, "delay": delay})
        call(self.store_address, "POST", "/fault", body=body)

    def set_upstream_fault(self, name: str, **behaviour: Any) -> None:
        """Change the behaviour of a simulated upstream."""
        address = self.list_upstreams()[name]
        call(address, "POST", "/fault", body=msgspec.json.encode(behaviour))

    def read_journals(self) -> list[dict[str, Any]]:
        """Return the requests that all upstreams ran, by start time."""
        entries = [
            msgspec.json.decode(line)
            for path in self._folder.glob("*.journal")
            for line in path.read_bytes().splitlines()
        ]
        return sorted(entries, key=lambda each: each["began"])

    def show_logs(self) -> str:
        """Return the ends of all logs, for the report of a failed test."""
        return "\n".join(
            f"== {path.name}\n{path.read_text()[-3000:]}"
            for path in sorted(self._folder.glob("*.log"))
            if path.stat().st_size
        )

    def close(self) -> None:
        """Kill all processes."""
        self._stack.close()
