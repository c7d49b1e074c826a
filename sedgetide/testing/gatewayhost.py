"""Runs a host whose connections to upstreams go through its own gateway.

    python -m sedgetide.testing.gatewayhost GATEWAY UPSTREAM,... SETTINGS

All other connections are opened directly.
"""

import runpy
import sys

from gevent import socket

from sedgetide.coding.addresses import split_address
from sedgetide.testing.gateways import connect_through


def _install(gateway: str, upstreams: frozenset[tuple[str, int]]) -> None:
    """Replace the function that the host opens its connections with."""
    connect_directly = socket.create_connection

    def create_connection(
        address: tuple[str, int], timeout: float | None = None
    ) -> socket.socket:
        if tuple(address) in upstreams:
            return connect_through(gateway, address, timeout)
        return connect_directly(address, timeout=timeout)

    socket.create_connection = create_connection


def main() -> None:
    """Install the gateway and run the platform's host."""
    gateway, upstreams, settings = sys.argv[1:]
    _install(
        gateway,
        frozenset(map(split_address, filter(None, upstreams.split(",")))),
    )
    sys.argv = ["sedgetide-host", settings]
    runpy.run_module("sedgetide.platform", run_name="__main__")


if __name__ == "__main__":
    main()
