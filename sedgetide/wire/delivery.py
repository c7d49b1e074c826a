"""Limits on how late a request may be sent, and delivered by the kernel."""

import os
import struct

from gevent import socket
from gevent.socket import wait_write
import msgspec

from sedgetide.runtime.clock import read_clock

_LINGER_RESET = struct.pack("ii", 1, 0)
_LINGER_NONE = struct.pack("ii", 0, 0)
_INFO_BYTES = 104
# Position of the retransmission timeout, in microseconds, in ``tcp_info``.
_RTO_OFFSET = 8
# Position of the number of packets that aren't acknowledged.
_UNACKED_OFFSET = 24
# The kernel sends unacknowledged data twice more, as a loss probe and as a
# first retransmission, before it applies TCP_USER_TIMEOUT. Each comes at most
# one retransmission timeout after the last.
_UNLIMITED_SENDS = 2
_MIN_LIMIT_MS = 1


class SendOverdue(Exception):
    """Raised when a request can no longer be sent in time.

    Parameters
    ----------
    begun : bool
        Whether a part of the request was sent.
    """

    def __init__(self, begun: bool) -> None:
        super().__init__("not sent in time")
        self.begun = begun


class DeliveryLimit(msgspec.Struct, frozen=True):
    """Limit for a request that must not arrive late.

    The process may be paused at any point, and may end after the send. Its
    kernel would go on delivering the request.

    Parameters
    ----------
    send_by : float
        Time of the own clock after which no byte is sent.
    arrive_within : float
        Seconds after the send within which the request arrives or is
        discarded.
    """

    send_by: float
    arrive_within: float

    def apply(self, connection: socket.socket) -> None:
        """Limit the delivery of what is sent on a connection from now on.

        Until :func:`lift_limit`, the kernel also discards what it has not
        delivered when the process ends.
        """
        rto = _read_info(connection, _RTO_OFFSET) / 1e6
        limit = self.arrive_within - _UNLIMITED_SENDS * rto
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(_MIN_LIMIT_MS, int(limit * 1000)),
        )
        set_reset_on_close(connection)

    def send(self, connection: socket.socket, data: bytes) -> None:
        """Send data unless it is too late.

        A method of the socket would wait while its buffer is full, and send
        the rest however late it gets to it.

        Raises
        ------
        SendOverdue
            If some of the data is not sent in time.
        """
        left = memoryview(data)
        while left:
            remaining = self.send_by - read_clock()
            if remaining <= 0:
                raise SendOverdue(len(left) < len(data))
            try:
                left = left[os.write(connection.fileno(), left) :]
            except BlockingIOError:
                wait_write(
                    connection.fileno(),
                    timeout=remaining,
                    timeout_exc=SendOverdue(len(left) < len(data)),
                )


def _read_info(connection: socket.socket, offset: int) -> int:
    """Return a number of the kernel's ``tcp_info``."""
    info = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
    )
    found: int = struct.unpack_from("I", info, offset)[0]
    return found


def has_undelivered(connection: socket.socket) -> bool:
    """Return whether data was sent that the peer hasn't acknowledged."""
    return _read_info(connection, _UNACKED_OFFSET) > 0


def set_reset_on_close(connection: socket.socket) -> None:
    """Make a close discard data that is not delivered."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)


def lift_limit(connection: socket.socket, limit_ms: int) -> None:
    """Restore the limit of a connection after a complete answer."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms
    )
