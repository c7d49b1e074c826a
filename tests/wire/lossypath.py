"""Loses packets on a loopback connection, without privileges."""

import ctypes
import struct

from gevent import socket

# Of Linux; Python's socket module doesn't name them.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_RETURN = 0x06


def drop_arrivals(peer):
    """Drop all packets that arrive for a socket, unacknowledged.

    A socket filter that accepts no byte drops each packet before TCP sees
    it, so the sender's kernel behaves as on a path that is cut.
    """
    code = ctypes.create_string_buffer(struct.pack("HBBI", _RETURN, 0, 0, 0))
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(code))
    peer.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def accept_arrivals(peer):
    """Let packets arrive again."""
    peer.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
