"""Whether a server's process is still there."""

import enum

from gevent import socket

from sedgetide.coding.addresses import split_address


class Presence(enum.Enum):
    """What a new connection tells of a server.

    Attributes
    ----------
    LISTENING
        It opened: a process is there.
    ENDED
        It was refused: no process listens at the address.
    UNKNOWN
        Nothing came back, as from a dark host or through a cut.
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
        Seconds to wait for it to open.
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
