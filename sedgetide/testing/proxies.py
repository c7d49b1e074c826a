"""A loopback proxy that delays, resets, cuts and silences connections."""

import contextlib
import enum
import struct
import time

import gevent
from gevent import socket

from sedgetide.runtime.sockets import open_listener

_BLOCK = 65536
_FORGOTTEN = 0.2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What a proxy does with bytes.

    Attributes
    ----------
    PASS
        Passes them on.
    DELAY
        Passes them on late.
    CUT
        Holds up both ways; they go on when it ends.
    ONE_WAY
        Holds up what goes to the server; answers still come.
    REFUSE
        Resets every connection, also new ones.
    FORGET
        Resets a connection on the first bytes that come after a rest.
    """

    PASS = "pass"
    DELAY = "delay"
    CUT = "cut"
    ONE_WAY = "one-way"
    REFUSE = "refuse"
    FORGET = "forget"


class _Pair:
    """One connection through the proxy."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.silent = False
        self._used_at = time.monotonic()

    def note_use(self) -> float:
        """Return for how long it rested, and count from now."""
        now = time.monotonic()
        rested, self._used_at = now - self._used_at, now
        return rested

    def reset(self) -> None:
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            with contextlib.suppress(OSError):
                end.close()


class Proxy:
    """Forwards connections to one server.

    Parameters
    ----------
    port : int
        Port of the server behind it.
    """

    def __init__(self, port: int) -> None:
        self.target = port
        self.mode = Mode.PASS
        self.delay = 0.05
        self._pairs: set[_Pair] = set()
        self._listener = open_listener("127.0.0.1", 0)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._task = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            gevent.spawn(self._connect, near)

    def _connect(self, near: socket.socket) -> None:
        while self.mode is Mode.CUT:
            gevent.sleep(0.02)
        try:
            far = socket.create_connection(("127.0.0.1", self.target), 1.0)
            far.settimeout(None)
        except OSError:
            far = socket.socket()
        pair = _Pair(near, far)
        if self.mode is Mode.REFUSE or far.fileno() < 0:
            pair.reset()
            return
        try:
            far.getpeername()
        except OSError:
            pair.reset()
            return
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs.add(pair)
        gevent.spawn(self._pump, pair, near, far, True)
        gevent.spawn(self._pump, pair, far, near, False)

    def _pump(
        self,
        pair: _Pair,
        source: socket.socket,
        sink: socket.socket,
        inward: bool,
    ) -> None:
        try:
            while True:
                data = source.recv(_BLOCK)
                rested = pair.note_use()
                if self.mode is Mode.FORGET and inward and rested > _FORGOTTEN:
                    pair.reset()
                    return
                self._hold_up(inward)
                if pair.silent and data:
                    # Whoever lost track of the connection says nothing of
                    # it, not even its end.
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

    def _hold_up(self, inward: bool) -> None:
        if self.mode is Mode.DELAY:
            gevent.sleep(self.delay)
        while self.mode is Mode.CUT or (inward and self.mode is Mode.ONE_WAY):
            gevent.sleep(0.02)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair in list(self._pairs):
            pair.reset()

    def silence_all(self) -> None:
        """Let every open connection go silent for good."""
        for pair in list(self._pairs):
            pair.silent = True

    def close(self) -> None:
        """Stop listening and reset what is open."""
        self._task.kill()
        self._listener.close()
        self.reset_all()
