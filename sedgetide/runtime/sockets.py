"""Listening sockets of HTTP servers."""

from gevent import socket

_BACKLOG = 1024


def open_listener(address: str, port: int) -> socket.socket:
    """Return a listening socket whose connections do not delay segments.

    Without TCP_NODELAY the second segment of a keep-alive answer waits for
    the delayed acknowledgement of the first, some 40 ms.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address, port))
    listener.listen(_BACKLOG)
    return listener
