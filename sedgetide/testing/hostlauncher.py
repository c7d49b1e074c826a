"""Runs a host of any version with its connections through a gateway.

    python hostlauncher.py SOURCE GATEWAY PORT,... SETTINGS

SOURCE is the folder that the package is imported from, and the ports are
those of other hosts and of the store, which are reached directly. Nothing of
this version is imported. The event loop stalls for half a second times the
number of a real-time signal.
"""

import os
import runpy
import signal
import sys
import time

import gevent
from gevent import socket

_CONNECTED = b"+"
_STALL_UNIT = 0.5
_MAX_STALLS = 10

_sleep = time.sleep
_connect_directly = socket.create_connection


def _connect(
    gateway: tuple[str, int], address: tuple[str, int], timeout: float | None
) -> socket.socket:
    """Open a connection through the gateway; see ``connect_through``."""
    began = time.monotonic()
    connection = _connect_directly(gateway, timeout=timeout)
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
    if answer != _CONNECTED:
        connection.close()
        raise ConnectionRefusedError("refused by the gateway")
    return connection


def _install(gateway: str, direct: frozenset[int]) -> None:
    """Replace the function that the host opens its connections with."""
    host, _, port = gateway.rpartition(":")

    def create_connection(
        address: tuple[str, int], timeout: float | None = None
    ) -> socket.socket:
        if address[1] in direct:
            return _connect_directly(address, timeout=timeout)
        return _connect((host, int(port)), address, timeout)

    socket.create_connection = create_connection


def main() -> None:
    """Install the gateway and the signals, and run the platform's host."""
    source, gateway, ports, settings = sys.argv[1:]
    os.chdir(source)
    # The folder of this file has modules that would hide others.
    sys.path[0] = source
    _install(gateway, frozenset(map(int, ports.split(","))))
    for count in range(1, _MAX_STALLS + 1):
        gevent.signal_handler(
            signal.SIGRTMIN + count, _sleep, count * _STALL_UNIT
        )
    sys.argv = ["sedgetide-host", settings]
    runpy.run_module("sedgetide.platform", run_name="__main__")


if __name__ == "__main__":
    main()
