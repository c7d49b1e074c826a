"""Callers that send without end: requests that are never complete, or more
requests than are answered.

``python -m sedgetide.testing.endlesscallers KIND IP:PORT...`` opens one
connection to each address and prints what happened on each as a line of JSON.
"""

import argparse
import contextlib
import enum
import re
import select
import socket
import threading
import time

import msgspec

from sedgetide.coding.addresses import split_address

_RECV_BYTES = 64 * 1024
_POLL_INTERVAL = 0.05
# Repetitions of a short block, so that one call sends many of them.
_REPEATED = 4000
_ROUTED_REPEATED = 1000
_LONG_LINE = b"a" * 65536
_ENDLESS_LENGTH = 99_999_999_999
_SLOW_LENGTH = 10_000
_RECONNECT_DELAY = 0.01
_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")


class Kind(enum.Enum):
    """What is sent without end.

    Attributes
    ----------
    HEAD
        One request line.
    HEADER_LINES
        Header lines.
    CHUNKS
        Chunks of one byte.
    CHUNK_EXTENSION
        The extension of one chunk.
    CHUNK_EXTENSIONS
        Chunks of one byte with an extension of a kilobyte each.
    CHUNK_ZEROS
        Leading zeros of the size of one chunk.
    TRAILERS
        Header lines after a body in chunks.
    BODY
        A body with a length that is never reached.
    UNKNOWN_REQUESTS
        Requests without a route, whose responses are read.
    ROUTED_REQUESTS
        Requests of a route, whose responses are read.
    UNREAD
        Requests of a route, whose responses are not read.
    SLOW_HEAD, SLOW_BODY
        One byte after the other, with a pause after each.
    SILENT
        Nothing.
    """

    HEAD = "head"
    HEADER_LINES = "header-lines"
    CHUNKS = "chunks"
    CHUNK_EXTENSION = "chunk-extension"
    CHUNK_EXTENSIONS = "chunk-extensions"
    CHUNK_ZEROS = "chunk-zeros"
    TRAILERS = "trailers"
    BODY = "body"
    UNKNOWN_REQUESTS = "unknown-requests"
    ROUTED_REQUESTS = "routed-requests"
    UNREAD = "unread"
    SLOW_HEAD = "slow-head"
    SLOW_BODY = "slow-body"
    SILENT = "silent"


class Stream(msgspec.Struct, frozen=True):
    """Bytes of one connection.

    Parameters
    ----------
    opening : bytes
        Sent once.
    block : bytes
        Sent again and again.
    interval : float
        Seconds between two sends.
    reads : bool
        Whether the responses are read.
    """

    opening: bytes
    block: bytes
    interval: float = 0.0
    reads: bool = True


class Sent(msgspec.Struct):
    """What happened on the connections to one address.

    Parameters
    ----------
    kind, address : str
        What was sent, and to which address.
    connections : int
        Number of connections opened.
    sent, received : int
        Bytes.
    statuses : list of str
        Status of the first response on each connection.
    answers : dict
        Number of responses by status. Those of which the status line was cut
        between two receives are left out.
    closed_after : float or None
        Seconds after which the first connection was closed by the server.
    """

    kind: str
    address: str
    connections: int = 0
    sent: int = 0
    received: int = 0
    statuses: list[str] = []
    answers: dict[str, int] = {}
    closed_after: float | None = None


def make_stream(
    kind: Kind,
    host: str,
    path: str,
    interval: float = 1.0,
    id_header: str = "",
) -> Stream:
    """Return the bytes of a kind.

    Parameters
    ----------
    kind : Kind
        What is sent.
    host, path : str
        Host header and path of the requests with a route.
    interval : float
        Seconds between the bytes of the slow kinds.
    id_header : str
        Name of the header with the id of each request with a route. Without
        one, upstreams refuse the requests without running them.
    """
    head = f" {path} HTTP/1.1\r\nHost: {host}\r\n".encode()
    chunked = b"POST" + head + b"Transfer-Encoding: chunked\r\n\r\n"
    sized = b"POST" + head
    sized += f"Content-Length: {_ENDLESS_LENGTH}\r\n\r\n".encode()
    slow = f"Content-Length: {_SLOW_LENGTH}\r\n\r\n".encode()
    lines = b"X-Line: 1\r\n" * _REPEATED
    unknown = f"GET /unknown HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    routed = b"".join(
        b"GET" + head + _format_id(id_header, number) + b"\r\n"
        for number in range(_ROUTED_REPEATED)
    )
    extended = b"1;" + b"a" * 1024 + b"\r\nx\r\n"
    streams = {
        Kind.HEAD: Stream(b"GET /", _LONG_LINE),
        Kind.HEADER_LINES: Stream(b"GET" + head, lines),
        Kind.CHUNKS: Stream(chunked, b"1\r\nx\r\n" * _REPEATED),
        Kind.CHUNK_EXTENSION: Stream(chunked + b"1;", _LONG_LINE),
        Kind.CHUNK_EXTENSIONS: Stream(chunked, extended * 64),
        Kind.CHUNK_ZEROS: Stream(chunked, b"0" * len(_LONG_LINE)),
        Kind.TRAILERS: Stream(chunked + b"1\r\nx\r\n0\r\n", lines),
        Kind.BODY: Stream(sized, _LONG_LINE),
        Kind.UNKNOWN_REQUESTS: Stream(b"", unknown * _REPEATED),
        Kind.ROUTED_REQUESTS: Stream(b"", routed),
        Kind.UNREAD: Stream(b"", routed, reads=False),
        Kind.SLOW_HEAD: Stream(b"GET" + head, b"a", interval),
        Kind.SLOW_BODY: Stream(b"POST" + head + slow, b"a", interval),
        Kind.SILENT: Stream(b"", b""),
    }
    return streams[kind]


def _format_id(name: str, number: int) -> bytes:
    return f"{name}: endless-{number}\r\n".encode() if name else b""


class EndlessCaller:
    """Sends a stream to one address until its time is up.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    kind : Kind
        What is sent.
    stream : Stream
        The bytes of this kind.
    reconnects : bool
        Whether a closed connection is opened again.
    """

    def __init__(
        self, address: str, kind: Kind, stream: Stream, reconnects: bool
    ) -> None:
        self._stream = stream
        self._reconnects = reconnects
        self._position = 0
        self._answered = False
        self.result = Sent(kind.value, address)

    def run(self, seconds: float) -> None:
        """Send for so many seconds, or until the server has closed."""
        began = time.monotonic()
        end = began + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                self._run_connection(end)
            if time.monotonic() >= end:
                return
            if self.result.closed_after is None:
                self.result.closed_after = time.monotonic() - began
            if not self._reconnects:
                return
            time.sleep(_RECONNECT_DELAY)

    def _run_connection(self, end: float) -> None:
        address = split_address(self.result.address)
        with socket.create_connection(address, timeout=1.0) as connection:
            self.result.connections += 1
            self._answered = False
            self._position = 0
            connection.sendall(self._stream.opening)
            self.result.sent += len(self._stream.opening)
            connection.setblocking(False)
            self._exchange(connection, end)

    def _exchange(self, connection: socket.socket, end: float) -> None:
        due = time.monotonic()
        while time.monotonic() < end:
            sends = self._stream.block and time.monotonic() >= due
            reads = [connection] if self._stream.reads else []
            readable, writable, _ = select.select(
                reads, [connection] if sends else [], [], _POLL_INTERVAL
            )
            if readable and not self._read(connection):
                return
            if writable:
                self._send_block(connection)
                due = time.monotonic() + self._stream.interval

    def _read(self, connection: socket.socket) -> bool:
        """Read; return False when the server has closed the connection."""
        data = connection.recv(_RECV_BYTES)
        self.result.received += len(data)
        for status in _STATUS_LINE.findall(data):
            name = status.decode("latin-1")
            count = self.result.answers.get(name, 0)
            self.result.answers[name] = count + 1
        if data and not self._answered:
            self._answered = True
            self.result.statuses.append(data[9:12].decode("latin-1"))
        return bool(data)

    def _send_block(self, connection: socket.socket) -> None:
        block = self._stream.block
        size = connection.send(block[self._position :])
        self.result.sent += size
        self._position = (self._position + size) % len(block)


def main(arguments: list[str] | None = None) -> int:
    """Send one kind to some addresses, side by side."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=[each.value for each in Kind])
    parser.add_argument("addresses", nargs="+")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--host", default="a")
    parser.add_argument("--path", default="/")
    parser.add_argument("--interval", type=float, default=1.0)
    parser.add_argument("--id-header", default="")
    parser.add_argument("--reconnect", action="store_true")
    options = parser.parse_args(arguments)
    kind = Kind(options.kind)
    stream = make_stream(
        kind,
        options.host,
        options.path,
        options.interval,
        options.id_header,
    )
    callers = [
        EndlessCaller(address, kind, stream, options.reconnect)
        for address in options.addresses
    ]
    threads = [
        threading.Thread(target=each.run, args=(options.seconds,))
        for each in callers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for each in callers:
        print(msgspec.json.encode(each.result).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
