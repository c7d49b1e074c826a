"""Process that carries one host's connections to the store and upstreams.

    python -m sedgetide.testing.hostlinks STORE_PORT

It writes the addresses for the host as a JSON line, reads commands as JSON
lines from standard input, and writes a line for each path that is open again.
"""

import sys
from typing import Any

import gevent
from gevent.fileobject import FileObject
import msgspec

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.gateways import Cut
from sedgetide.testing.gateways import Gateway
from sedgetide.testing.gateways import Path
from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request
from sedgetide.wire.server import Server


class Addresses(msgspec.Struct, frozen=True):
    """Addresses at which the process carries a host's connections."""

    gateway: str
    store: str


class CutCommand(msgspec.Struct, frozen=True, tag="cut"):
    """Changes the path to some upstreams.

    Parameters
    ----------
    number : int
        Number of the cut, by which it is removed.
    path : Path
        State of the path.
    addresses : tuple of str
        Addresses of the upstreams; all upstreams when empty.
    """

    number: int
    path: Path
    addresses: tuple[str, ...] = ()


class HealCommand(msgspec.Struct, frozen=True, tag="heal"):
    """Removes a cut."""

    number: int


class StoreCommand(msgspec.Struct, frozen=True, tag="store"):
    """Changes the path to the store.

    Parameters
    ----------
    mode : Mode
        How connections are treated.
    status : int
        Status with which all calls are refused in place of the store; 0 when
        the store is reached.
    delay : float
        Seconds of the mode that delays data.
    """

    mode: Mode = Mode.PASS
    status: int = 0
    delay: float = 0.05


Command = CutCommand | HealCommand | StoreCommand


class HealReport(msgspec.Struct, frozen=True):
    """A path over which data that was held back may have been delivered."""

    at: float
    addresses: tuple[str, ...]


class _Refusal:
    """Server that refuses all calls in place of the store."""

    def __init__(self) -> None:
        self.status = 503
        listener = open_listener("127.0.0.1", 0)
        self.port: int = listener.getsockname()[1]
        Server(self._serve, lambda _: True, CallerLimits).start(listener)

    def _serve(self, request: Request) -> Answer:
        headers = [("Content-Type", "application/json")]
        return Answer(self.status, headers, b"{}")


class HostLinks:
    """Gateway and store proxy of one host, controlled by commands."""

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._gateway = Gateway()
        self._store = Proxy(store_port)
        self._refusal = _Refusal()
        self._cuts: dict[int, Cut] = {}
        self._addresses: dict[int, tuple[str, ...]] = {}
        self.addresses = Addresses(self._gateway.address, self._store.address)

    def apply(self, command: Command) -> HealReport | None:
        """Apply a command; return the report of a path that it opens."""
        match command:
            case CutCommand():
                self._add_cut(command)
            case HealCommand():
                return self._remove_cut(command.number)
            case StoreCommand():
                self._set_store(command)
        return None

    def _add_cut(self, command: CutCommand) -> None:
        affected = frozenset(command.addresses)

        def is_affected(address: str) -> bool:
            return not affected or address in affected

        cut = Cut(command.path, is_affected)
        self._cuts[command.number] = cut
        self._addresses[command.number] = command.addresses
        self._gateway.add_cut(cut)

    def _remove_cut(self, number: int) -> HealReport | None:
        cut = self._cuts.pop(number, None)
        if cut is None:
            return None
        known = len(self._gateway.heals)
        self._gateway.remove_cut(cut)
        addresses = self._addresses.pop(number)
        for at, _ in self._gateway.heals[known:]:
            return HealReport(at, addresses)
        return None

    def _set_store(self, command: StoreCommand) -> None:
        is_refused = command.status > 0
        self._refusal.status = command.status
        self._store.delay = command.delay
        target = self._refusal.port if is_refused else self._store_port
        if target != self._store.target or command.mode is Mode.REFUSE:
            self._store.target = target
            self._store.reset_all()
        self._store.mode = command.mode


def _write(document: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    """Apply commands until standard input ends."""
    links = HostLinks(int(sys.argv[1]))
    _write(links.addresses)
    decoder = msgspec.json.Decoder(Command)
    for line in FileObject(sys.stdin.buffer, "rb"):
        report = links.apply(decoder.decode(line))
        if report is not None:
            _write(report)
        gevent.sleep(0)


if __name__ == "__main__":
    main()
