"""Gateway that carries one host's connections to the upstreams.

A host that is partitioned from the upstreams still reaches callers, the store
and other hosts. Proxies before the upstreams cannot show that, since all hosts
share them. Each host of a fleet therefore gets a gateway of its own, which
its process uses for every upstream (see :mod:`sedgetide.testing.gatewayhost`).

The host sends the address of the upstream in one line. The gateway answers
with one byte once it is connected, so a connection that is never opened looks
to the host like a handshake without a reply.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import ctypes
import enum
import random
import struct
import time

import gevent
from gevent import socket

from sedgetide.coding.addresses import split_address
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.proxies import reset_socket

CONNECTED = b"+"
_BUFFER_SIZE = 65536
_POLL_INTERVAL = 0.02
_MAX_LINE = 64
# Seconds after which the kernel of a host ends a connection whose data, or
# whose keepalive probes, were not acknowledged.
_USER_TIMEOUT = 1.5


class Path(enum.Enum):
    """State of the path from a host to upstreams.

    Attributes
    ----------
    OPEN
        Connections are opened, and data is forwarded.
    HANGING
        New connections get no reply. Data of open ones is held back until
        the path is open again, or until the host gives them up.
    RESETTING
        Open connections are reset, and new ones refused.
    REFUSING
        New connections are refused, while open ones live on.
    ONE_WAY
        Data reaches the upstreams, but nothing comes back.
    DROPPING
        Packets of the host are dropped, so that its kernel repeats them or
        gives up its connections. Nothing comes back either.
    DEAF
        Packets of the host are dropped, and answers reach it.
    LOSSY
        A third of the packets of the host are dropped.
    SLOW
        Data takes a fifth of a second longer.
    REPEATING
        Some answers come once more, where the next answer is expected.
    """

    OPEN = "open"
    HANGING = "hanging"
    RESETTING = "resetting"
    REFUSING = "refusing"
    ONE_WAY = "one-way"
    DROPPING = "dropping"
    DEAF = "deaf"
    LOSSY = "lossy"
    SLOW = "slow"
    REPEATING = "repeating"


_DELAY = 0.2
# Share of answers that come once more.
_REPEATED_SHARE = 0.3
_LOSS = 0.33
# Options of Linux, see socket(7), which the module socket doesn't have.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# Instructions of a filter: code, two jumps and an operand; see bpf(4).
_LOAD_RANDOM = (0x20, 0, 0, 0xFFFFF000 + 56)
_DROP = (0x06, 0, 0, 0)
_KEEP = (0x06, 0, 0, 0xFFFFFFFF)
_SKIP_DROP = (0x35, 1, 0, int(_LOSS * (1 << 32)))
_FILTERS = {
    Path.DROPPING: (_DROP,),
    Path.DEAF: (_DROP,),
    Path.LOSSY: (_LOAD_RANDOM, _SKIP_DROP, _DROP, _KEEP),
}
# New connections get no reply.
_UNREACHED = frozenset({Path.HANGING, Path.ONE_WAY, Path.DROPPING, Path.DEAF})
_SILENT = frozenset({Path.HANGING, Path.ONE_WAY})
_REFUSED = frozenset({Path.RESETTING, Path.REFUSING})


class _Connection:
    """Both sockets of one connection through a gateway."""

    def __init__(self, client: socket.socket, address: str) -> None:
        self.client = client
        self.address = address
        self.server: socket.socket | None = None
        self.last_answer = b""

    def reset(self) -> None:
        for end in (self.client, self.server):
            if end is not None:
                reset_socket(end)

    def filter(self, path: Path) -> None:
        """Drop the packets of the host that the path loses."""
        with contextlib.suppress(OSError):
            self.client.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        if path in _FILTERS:
            with contextlib.suppress(OSError):
                _attach_filter(self.client, _FILTERS[path])


def _attach_filter(
    end: socket.socket, program: tuple[tuple[int, int, int, int], ...]
) -> None:
    code = b"".join(struct.pack("HBBI", *each) for each in program)
    buffer = ctypes.create_string_buffer(code)
    head = struct.pack("HL", len(program), ctypes.addressof(buffer))
    end.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, head)


class Cut:
    """State of the path to some upstreams, until it is removed.

    Parameters
    ----------
    path : Path
        State of the path.
    is_affected : callable
        Returns whether it applies to the upstream at an address.
    """

    def __init__(self, path: Path, is_affected: Callable[[str], bool]) -> None:
        self.path = path
        self.is_affected = is_affected


class Gateway:
    """Path of one host to all upstreams."""

    def __init__(self) -> None:
        self._random = random.Random(0)
        self._cuts: list[Cut] = []
        # Times at which data that had been held back was delivered, and for
        # which addresses.
        self.heals: list[tuple[float, Callable[[str], bool]]] = []
        self._connections: set[_Connection] = set()
        self._listener = open_listener("127.0.0.1", 0)
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._task = gevent.spawn(self._accept)

    def set_path(
        self,
        path: Path,
        is_affected: Callable[[str], bool] = lambda address: True,
    ) -> None:
        """Change the path to some upstreams; it is open to all others.

        Parameters
        ----------
        path : Path
            New state.
        is_affected : callable
            Returns whether it applies to the upstream at an address.
        """
        for cut in list(self._cuts):
            self.remove_cut(cut)
        if path is not Path.OPEN:
            self.add_cut(Cut(path, is_affected))

    def add_cut(self, cut: Cut) -> None:
        """Change the path to some upstreams, over all earlier cuts."""
        self._cuts.append(cut)
        affected = {
            each for each in self._connections if cut.is_affected(each.address)
        }
        self._filter(affected)
        if cut.path is Path.RESETTING:
            self._reset(affected)
        elif cut.path in _SILENT:
            gevent.spawn_later(
                _USER_TIMEOUT, self._give_up, cut.path, affected
            )

    def remove_cut(self, cut: Cut) -> None:
        """End a cut; has no effect when it was removed before."""
        if cut not in self._cuts:
            return
        self._cuts.remove(cut)
        self._filter(
            each for each in self._connections if cut.is_affected(each.address)
        )
        if cut.path is Path.HANGING or cut.path in _FILTERS:
            self.heals.append((time.monotonic(), cut.is_affected))

    def _filter(self, connections: Iterable[_Connection]) -> None:
        for each in list(connections):
            each.filter(self._find_path(each.address))

    def _give_up(self, path: Path, connections: set[_Connection]) -> None:
        """End connections whose keepalive probes got no reply."""
        self._reset(
            each
            for each in connections & self._connections
            if self._find_path(each.address) is path
        )

    def _reset(self, connections: Iterable[_Connection]) -> None:
        for each in list(connections):
            each.reset()

    def _find_path(self, address: str) -> Path:
        for cut in reversed(self._cuts):
            if cut.is_affected(address):
                return cut.path
        return Path.OPEN

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            gevent.spawn(self._connect, client)

    def _connect(self, client: socket.socket) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            address = _read_line(client)
        except OSError:
            client.close()
            return
        connection = _Connection(client, address)
        while self._find_path(address) in _UNREACHED:
            gevent.sleep(_POLL_INTERVAL)
        if self._find_path(address) in _REFUSED:
            connection.reset()
            return
        try:
            connection.server = socket.create_connection(
                split_address(address), 1.0
            )
            connection.server.settimeout(None)
            client.sendall(CONNECTED)
        except OSError:
            connection.reset()
            return
        self._connections.add(connection)
        connection.filter(self._find_path(address))
        gevent.spawn(self._pump, connection, client, connection.server, True)
        gevent.spawn(self._pump, connection, connection.server, client, False)

    def _pump(
        self,
        connection: _Connection,
        source: socket.socket,
        sink: socket.socket,
        to_server: bool,
    ) -> None:
        try:
            while True:
                data = source.recv(_BUFFER_SIZE)
                self._hold_back(connection.address, to_server)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if to_server:
                    self._repeat(connection)
                else:
                    connection.last_answer = data
                sink.sendall(data)
        except OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)

    def _repeat(self, connection: _Connection) -> None:
        """Send the last answer once more, before the next one."""
        if (
            connection.last_answer
            and self._find_path(connection.address) is Path.REPEATING
            and self._random.random() < _REPEATED_SHARE
        ):
            connection.client.sendall(connection.last_answer)

    def _hold_back(self, address: str, to_server: bool) -> None:
        if self._find_path(address) is Path.SLOW:
            gevent.sleep(_DELAY)
        while not to_server and self._find_path(address) is Path.DROPPING:
            gevent.sleep(_POLL_INTERVAL)
        began = time.monotonic()
        while True:
            path = self._find_path(address)
            if path not in _SILENT or (path is Path.ONE_WAY and to_server):
                return
            if time.monotonic() - began >= _USER_TIMEOUT:
                raise TimeoutError("the host has given up the connection")
            gevent.sleep(_POLL_INTERVAL)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._task.kill()
        self._listener.close()
        for each in list(self._connections):
            each.reset()


def _read_line(client: socket.socket) -> str:
    line = b""
    while not line.endswith(b"\n"):
        data = client.recv(1)
        if not data or len(line) > _MAX_LINE:
            raise ConnectionError("no address of an upstream")
        line += data
    return line.decode().strip()


def connect_through(
    gateway: str, address: tuple[str, int], timeout: float | None
) -> socket.socket:
    """Open a connection to an upstream through a gateway.

    Raises
    ------
    TimeoutError
        If the gateway doesn't connect in time.
    ConnectionRefusedError
        If the path, or the upstream, refuses the connection.
    """
    began = time.monotonic()
    connection = socket.create_connection(
        split_address(gateway), timeout=timeout
    )
    try:
        connection.sendall(f"{address[0]}:{address[1]}\n".encode())
        if timeout is not None:
            left = timeout - (time.monotonic() - began)
            connection.settimeout(max(0.001, left))
        answer = connection.recv(1)
    except ConnectionResetError as error:
        connection.close()
        raise ConnectionRefusedError("refused by the gateway") from error
    except OSError:
        connection.close()
        raise
    if answer != CONNECTED:
        connection.close()
        raise ConnectionRefusedError("refused by the gateway")
    return connection
