"""Peers that send to the link port of a process without end.

``python -m sedgetide.testing.endlesslinks KIND IP:PORT`` prints the number of
bytes sent.
"""

import argparse
import contextlib
import enum
import socket
import time

import pynng

from sedgetide.coding.addresses import split_address
from sedgetide.coding.messages import Cancel
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.core.identifiers import RequestId

_BLOCK = b"\x00" * 65536
# Greeting of a push socket, and the length of a frame of a terabyte.
_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
_FRAME_LENGTH = (1 << 40).to_bytes(8, "big")
_MESSAGES = 40_000
_GARBAGE = b"\xc1" * 1_000_000
_SEND_TIMEOUT_MS = 100


class LinkKind(enum.Enum):
    """What is sent without end.

    Attributes
    ----------
    BYTES
        Bytes that are no greeting.
    FRAME
        One frame with a length that is never reached.
    GARBAGE
        Frames of a megabyte that are no envelopes.
    MESSAGES
        Envelopes with as many messages as fit.
    """

    BYTES = "bytes"
    FRAME = "frame"
    GARBAGE = "garbage"
    MESSAGES = "messages"


def _send_bytes(address: str, opening: bytes, end: float) -> int:
    sent = 0
    target = split_address(address)
    with socket.create_connection(target, timeout=1.0) as connection:
        connection.sendall(opening)
        with contextlib.suppress(OSError):
            while time.monotonic() < end:
                sent += connection.send(_BLOCK)
    return sent


def _send_frames(address: str, data: bytes, end: float) -> int:
    sent = 0
    with pynng.Push0(send_timeout=_SEND_TIMEOUT_MS) as pusher:
        pusher.dial(f"tcp://{address}")
        while time.monotonic() < end:
            with contextlib.suppress(pynng.Timeout):
                pusher.send(data)
                sent += len(data)
    return sent


def send(kind: LinkKind, address: str, seconds: float) -> int:
    """Send for so many seconds; return the number of bytes."""
    end = time.monotonic() + seconds
    if kind is LinkKind.BYTES:
        return _send_bytes(address, b"", end)
    if kind is LinkKind.FRAME:
        return _send_bytes(address, _GREETING + _FRAME_LENGTH, end)
    if kind is LinkKind.GARBAGE:
        return _send_frames(address, _GARBAGE, end)
    messages = [Cancel(RequestId("7"))] * _MESSAGES
    data = encode_envelope(Envelope("127.0.0.1:1", messages))
    return _send_frames(address, data, end)


def main(arguments: list[str] | None = None) -> int:
    """Send one kind to one address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", type=LinkKind)
    parser.add_argument("address")
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args(arguments)
    print(send(options.kind, options.address, options.seconds))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
