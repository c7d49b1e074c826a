"""Listening sockets."""

from gevent import socket

_BACKLOG = 1024


def open_listener(address: str, port: int) -> socket.socket:
    """Return a listening socket with TCP_NODELAY.

    Without it, the second segment of a response on a keep-alive connection
    waits about 40 ms for the delayed acknowledgement of the first one.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address, port))
    listener.listen(_BACKLOG)
    return listener
