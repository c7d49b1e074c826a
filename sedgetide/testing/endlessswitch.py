"""Sockets of a simulated upstream that answer without end for a time."""

import enum
import time
from typing import Any

from gevent import socket

from sedgetide.platform import _names
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.endless import Kind
from sedgetide.testing.endless import send_endlessly
from sedgetide.wire.delivery import set_reset_on_close
from sedgetide.wire.messages import Answer

SWITCH_PATH = "/endless/"
_ORDER_PATHS = (_names.GRANT_PATH.encode(), _names.RELEASE_PATH.encode())


class Target(enum.Enum):
    """Which answers have no end."""

    REQUESTS = "requests"
    ORDERS = "orders"
    BOTH = "both"


class Switch:
    """Decides which answers have no end, and until when."""

    def __init__(self) -> None:
        self.kind = Kind.INTERIM
        self._target = Target.BOTH
        self._until = 0.0

    def set(self, path: str) -> Answer:
        """Apply a request such as ``/endless/interim/both/2.5``."""
        kind, target, seconds = path.removeprefix(SWITCH_PATH).split("/")
        self.kind = Kind(kind)
        self._target = Target(target)
        self._until = time.monotonic() + float(seconds)
        return Answer(200, [])

    def is_over(self) -> bool:
        """Return whether all answers have an end again."""
        return time.monotonic() >= self._until

    def affects(self, request: bytes) -> bool:
        """Return whether the answer to a request has no end now."""
        if self.is_over() or SWITCH_PATH.encode() in request:
            return False
        is_order = any(path in request for path in _ORDER_PATHS)
        wanted = Target.ORDERS if is_order else Target.REQUESTS
        return self._target in (wanted, Target.BOTH)


class _EndlessSocket(socket.socket):
    """Accepted socket that sends other bytes than it is told to."""

    switch: Switch
    _request = b""
    _endless = False

    def recv(self, *arguments: Any) -> bytes:
        data: bytes = super().recv(*arguments)
        self._request = data or self._request
        return data

    def send(self, data: bytes, *arguments: Any, **options: Any) -> int:
        if self._endless or not self.switch.affects(self._request):
            size: int = super().send(data, *arguments, **options)
            return size
        self._endless = True
        self.settimeout(None)
        send_endlessly(self.sendall, self.switch.kind, self.switch.is_over)
        set_reset_on_close(self)
        raise ConnectionResetError("the endless answer is over")


class EndlessListener:
    """Listening socket whose accepted sockets obey a switch.

    Parameters
    ----------
    port : int
        Port on the loopback address.
    switch : Switch
        Decides which answers have no end.
    """

    def __init__(self, port: int, switch: Switch) -> None:
        self._listener = open_listener("127.0.0.1", port)
        self._switch = switch

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection and its peer."""
        accepted, peer = self._listener.accept()
        wrapped = _EndlessSocket(fileno=accepted.detach())
        wrapped.switch = self._switch
        return wrapped, peer

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()
