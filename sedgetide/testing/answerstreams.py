"""Random streams of pieces of answers, valid and not, without end."""

from collections.abc import Iterator
import itertools
import random

_HEADS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 150000\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\n\r\n",
    b"",
)
_PIECES = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"a: b\r\n",
    b"a:",
    b": \r\n",
    b" folded\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"\n",
    b"\r",
    b"1\r\nx\r\n",
    b"10\r\n0123456789abcdef\r\n",
    b"800\r\n" + b"y" * 2048 + b"\r\n",
    b"0\r\n",
    b"0",
    b"ffffffffffffffff\r\n",
    b"1;" + b"e" * 50 + b"\r\nx\r\n",
    b" " * 1000,
    b" " * 30_000,
    b" \r\n" * 5000,
    b"\t \t ",
    b"\x00",
    b"\xff\xfe",
    b"x" * 5000,
)


def make_stream(seed: int) -> Iterator[bytes]:
    """Yield blocks without end: a head, then some pieces repeated.

    Parameters
    ----------
    seed : int
        Seed that determines the pieces and the sizes of the blocks.
    """
    source = random.Random(seed)
    yield source.choice(_HEADS)
    pieces = source.choices(_PIECES, k=source.randrange(1, 5))
    again = b"".join(pieces) * source.choice((1, 20, 500))
    size = source.choice((7, 100, 1460, 65536))
    again = (again * (1 + size // len(again)))[: max(size, len(again))]
    for at in itertools.cycle(range(0, len(again), size)):
        yield again[at : at + size]
