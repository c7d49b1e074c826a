"""Probe of whether a server process is listening."""

import enum

from gevent import socket

from sedgetide.coding.addresses import split_address


class Presence(enum.Enum):
    """Result of opening a connection to a server.

    Attributes
    ----------
    LISTENING
        The connection was opened: a process is listening.
    ENDED
        The connection was refused: no process listens at the address.
    UNKNOWN
        No response, because the host is down or unreachable.
    """

    LISTENING = "listening"
    ENDED = "ended"
    UNKNOWN = "unknown"


def probe(address: str, timeout: float) -> Presence:
    """Open a connection and close it at once.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    timeout : float
        Seconds to wait for the connection to open.
    """
    try:
        connection = socket.create_connection(
            split_address(address), timeout=timeout
        )
    except ConnectionRefusedError:
        return Presence.ENDED
    except OSError:
        return Presence.UNKNOWN
    connection.close()
    return Presence.LISTENING
