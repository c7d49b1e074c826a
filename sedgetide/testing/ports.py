"""Allocation of ports for processes that are about to be started."""

import contextlib
import socket

from sedgetide.runtime.sockets import open_listener

# Below the kernel's range of ephemeral ports.
_FIRST = 20_000
# A run of the test suite needs some hundreds of ports.
_SLICE = 500
_SLICES = 24
# One port for each slice; the process that listens on it owns the slice.
_FIRST_CLAIM = _FIRST - _SLICES


class _PortAllocator:
    """Ports of the slices that this process owns until it exits."""

    def __init__(self) -> None:
        self._claims: list[socket.socket] = []
        self._waiting: list[int] = []

    def take(self) -> int:
        """Return a free port of a slice that this process owns."""
        while True:
            if not self._waiting:
                self._waiting = self._claim()
            port = self._waiting.pop(0)
            with contextlib.suppress(OSError):
                open_listener("127.0.0.1", port).close()
                return port

    def _claim(self) -> list[int]:
        for index in range(_SLICES):
            claim = socket.socket()
            try:
                claim.bind(("127.0.0.1", _FIRST_CLAIM + index))
                claim.listen(1)
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            first = _FIRST + index * _SLICE
            return list(range(first, first + _SLICE))
        raise OSError(
            f"ports {_FIRST} to {_FIRST + _SLICES * _SLICE - 1}: all slices "
            "are claimed by other processes"
        )


_PORTS = _PortAllocator()


def find_port() -> int:
    """Return a free port that no other process can get from this function.

    A port chosen by the kernel may be assigned to an outgoing connection
    before the process that it is meant for has bound it. That process then
    fails to start, or calls to it reach another process. Slices by process id
    had the same problem: of 900 ports chosen by three processes that were
    started together, 428 were distinct.

    Raises
    ------
    OSError
        When other processes own all slices.
    """
    return _PORTS.take()
