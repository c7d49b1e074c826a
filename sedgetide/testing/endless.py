"""Simulated server whose answers have no end.

It reads a request, then sends what its path names, a kind of bytes such as
``/interim`` or the stream of a seed, ``/stream/7``, until the peer closes.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import itertools

import gevent
from gevent import socket

from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.answerstreams import make_stream

_BLOCK_BYTES = 64 * 1024
_SLOW_INTERVAL = 1.0
_STREAM = "stream/"
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_COMPLETE = _OK + b"Content-Length: 2\r\n\r\nok"


class Kind(enum.Enum):
    """What is sent without end.

    Attributes
    ----------
    BLANKS
        Not without end: one header line of blanks that no parser accepts.
    BLANKS_IN_TRAILERS
        The same in the trailers.
    FOLDED_TRAILERS
        The same in lines that continue the one before.
    SLOW
        A header line of which one byte a second arrives.
    """

    STATUS_LINE = "status-line"
    HEAD = "head"
    HEADER_LINES = "header-lines"
    INTERIM = "interim"
    LENGTH = "length"
    TO_CLOSE = "to-close"
    SMALL_CHUNKS = "small-chunks"
    LARGE_CHUNKS = "large-chunks"
    EXTENSION = "extension"
    ZEROS = "zeros"
    TRAILERS = "trailers"
    TRAILER_LINE = "trailer-line"
    ANSWERS = "answers"
    BLANKS = "blanks"
    BLANKS_IN_TRAILERS = "blanks-in-trailers"
    FOLDED_TRAILERS = "folded-trailers"
    SLOW = "slow"


_BAD_LINE = b"x:" + b" " * 60_000 + b"\x00\r\n\r\n"
_BAD_LINES = b"x:\r\n" + b" \r\n" * 5000 + b" \x00\r\n\r\n"
# Start of the answer, and what follows again and again.
_PARTS = {
    Kind.STATUS_LINE: (b"HTTP/1.1 200 ", b"x"),
    Kind.HEAD: (_OK + b"x: ", b"y"),
    Kind.HEADER_LINES: (_OK, b"a: b\r\n"),
    Kind.INTERIM: (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    Kind.LENGTH: (_OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    Kind.TO_CLOSE: (_OK + b"Connection: close\r\n\r\n", b"x"),
    Kind.SMALL_CHUNKS: (_CHUNKED, b"1\r\nx\r\n"),
    Kind.LARGE_CHUNKS: (_CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    Kind.EXTENSION: (_CHUNKED + b"1;", b"x"),
    Kind.ZEROS: (_CHUNKED, b"0"),
    Kind.TRAILERS: (_CHUNKED + b"0\r\n", b"a: b\r\n"),
    Kind.TRAILER_LINE: (_CHUNKED + b"0\r\nx: ", b"y"),
    Kind.ANSWERS: (b"", _COMPLETE),
    Kind.BLANKS: (_OK + _BAD_LINE, b"x"),
    Kind.BLANKS_IN_TRAILERS: (_CHUNKED + b"0\r\n" + _BAD_LINE, b"x"),
    Kind.FOLDED_TRAILERS: (_CHUNKED + b"0\r\n" + _BAD_LINES, b"x"),
    Kind.SLOW: (_OK + b"x: ", b"y"),
}


def make_blocks(kind: Kind) -> Iterator[bytes]:
    """Yield the blocks of an endless answer."""
    start, again = _PARTS[kind]
    yield start
    if kind is Kind.SLOW:
        yield from itertools.repeat(again)
    yield from itertools.repeat(again * (_BLOCK_BYTES // len(again)))


def send_endlessly(
    send: Callable[[bytes], object],
    kind: Kind,
    is_over: Callable[[], bool] = lambda: False,
) -> None:
    """Send an answer until the peer closes or it is over.

    Parameters
    ----------
    send : callable
        Sends all of a block.
    kind : Kind
        What is sent.
    is_over : callable
        Returns whether to stop.
    """
    with contextlib.suppress(OSError):
        for block in make_blocks(kind):
            if is_over():
                break
            send(block)
            gevent.sleep(_SLOW_INTERVAL if kind is Kind.SLOW else 0)


def _send_requested(peer: socket.socket, request: bytes) -> None:
    """Send what the path of a request names until the peer closes."""
    name = request.split(b" ", 2)[1].decode().lstrip("/")
    if not name.startswith(_STREAM):
        send_endlessly(peer.sendall, Kind(name))
        return
    with contextlib.suppress(OSError):
        for block in make_stream(int(name.removeprefix(_STREAM))):
            peer.sendall(block)


class EndlessServer:
    """Server that answers each connection's first request without end.

    Parameters
    ----------
    port : int
        Port on the loopback address; 0 for any.
    """

    def __init__(self, port: int = 0) -> None:
        self._listener = open_listener("127.0.0.1", port)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._tasks = [gevent.spawn(self._accept)]

    def _accept(self) -> None:
        while True:
            peer, _ = self._listener.accept()
            self._tasks.append(gevent.spawn(self._serve, peer))

    def _serve(self, peer: socket.socket) -> None:
        with contextlib.closing(peer):
            request = peer.recv(_BLOCK_BYTES)
            if request:
                _send_requested(peer, request)

    def close(self) -> None:
        """Stop accepting, and end all connections."""
        gevent.killall(self._tasks)
        self._listener.close()


def main() -> int:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    server = EndlessServer(options.port)
    print(server.address, flush=True)
    gevent.wait()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
