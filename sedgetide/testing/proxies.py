"""Loopback TCP proxy that delays, resets, blocks and silences connections."""

import contextlib
import enum
import struct
import time

import gevent
from gevent import socket

from sedgetide.runtime.sockets import open_listener

_BUFFER_SIZE = 65536
_FORGET_AFTER_IDLE = 0.2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How a proxy treats connections.

    Attributes
    ----------
    PASS
        Data is forwarded.
    DELAY
        Data is forwarded after a delay.
    CUT
        Data in both directions is held back until the mode ends.
    ONE_WAY
        Data to the server is held back; answers are forwarded.
    REFUSE
        Every connection is reset, also new ones.
    FORGET
        A connection is reset when the client sends data after an idle time,
        as if its state had been forgotten.
    """

    PASS = "pass"
    DELAY = "delay"
    CUT = "cut"
    ONE_WAY = "one-way"
    REFUSE = "refuse"
    FORGET = "forget"


def reset_socket(end: socket.socket) -> None:
    """Close a socket with a reset, which discards what was not delivered."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    with contextlib.suppress(OSError):
        end.close()


class _Pair:
    """Both sockets of one connection through the proxy."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.client = client
        self.server = server
        self.silent = False
        self._used_at = time.monotonic()

    def restart_idle_time(self) -> float:
        """Return the idle time, and restart it."""
        now = time.monotonic()
        idle, self._used_at = now - self._used_at, now
        return idle

    def reset(self) -> None:
        for end in (self.client, self.server):
            reset_socket(end)


class Proxy:
    """Forwards connections to one server.

    Parameters
    ----------
    port : int
        Port of the server.
    """

    def __init__(self, port: int) -> None:
        self.target = port
        self._mode = Mode.PASS
        # Times at which data that had been held back was delivered.
        self.healed_at: list[float] = []
        self.delay = 0.05
        self._pairs: set[_Pair] = set()
        self._listener = open_listener("127.0.0.1", 0)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._task = gevent.spawn(self._accept)

    @property
    def mode(self) -> Mode:
        """How connections are treated now."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        if self._mode in (Mode.CUT, Mode.ONE_WAY):
            self.healed_at.append(time.monotonic())
        self._mode = mode

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            gevent.spawn(self._connect, client)

    def _connect(self, client: socket.socket) -> None:
        while self.mode is Mode.CUT:
            gevent.sleep(0.02)
        try:
            server = socket.create_connection(("127.0.0.1", self.target), 1.0)
            server.settimeout(None)
        except OSError:
            server = socket.socket()
        pair = _Pair(client, server)
        if self.mode is Mode.REFUSE or server.fileno() < 0:
            pair.reset()
            return
        try:
            server.getpeername()
        except OSError:
            pair.reset()
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.add(pair)
        gevent.spawn(self._pump, pair, client, server, True)
        gevent.spawn(self._pump, pair, server, client, False)

    def _pump(
        self,
        pair: _Pair,
        source: socket.socket,
        sink: socket.socket,
        to_server: bool,
    ) -> None:
        try:
            while True:
                data = source.recv(_BUFFER_SIZE)
                idle = pair.restart_idle_time()
                if (
                    self.mode is Mode.FORGET
                    and to_server
                    and idle > _FORGET_AFTER_IDLE
                ):
                    pair.reset()
                    return
                self._hold_back(to_server)
                if pair.silent and data:
                    # A host that has lost the connection sends neither data
                    # nor a FIN or RST.
                    continue
                if pair.silent:
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pair.reset()
        finally:
            self._pairs.discard(pair)

    def _hold_back(self, to_server: bool) -> None:
        if self.mode is Mode.DELAY:
            gevent.sleep(self.delay)
        while self.mode is Mode.CUT or (
            to_server and self.mode is Mode.ONE_WAY
        ):
            gevent.sleep(0.02)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            pair.reset()

    def silence_all(self) -> None:
        """Drop all further data of every open connection, without a reset."""
        for pair in list(self._pairs):
            pair.silent = True

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._task.kill()
        self._listener.close()
        self.reset_all()
