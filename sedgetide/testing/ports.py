"""Ports for processes that are about to be started."""

import itertools
import os

from sedgetide.runtime.sockets import open_listener

# Below the range from which the kernel takes the ports of connections; a
# slice for each process, since several may run side by side.
_PORTS = itertools.count(20_000 + os.getpid() * 64 % 12_000)


def find_port() -> int:
    """Return a port that is free and that nobody else will choose.

    One that the kernel had chosen may be given to an outgoing connection
    before the process that it is for has bound it: that process ends, or a
    call to it reaches another.
    """
    for port in _PORTS:
        try:
            open_listener("127.0.0.1", port).close()
        except OSError:
            continue
        return port
    raise AssertionError("unreachable")
