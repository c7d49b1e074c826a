"""Random streams of requests: whole, broken, cut off, or without end."""

from collections.abc import Callable
import random

import msgspec

_METHODS = ("GET", "POST", "HEAD", "PUT", "get", "\x00", "")
_TARGETS = ("/x", "/unknown", "/", "*", "x", "/%zz?\x7f", "/" + "a" * 3000)
_LINES = (
    "Host: a",
    "Host: a",
    "Host: b",
    "Content-Length: 3",
    "Content-Length: -1",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip",
    "Connection: close",
    "Expect: 100-continue",
    "X: " + "y" * 5000,
    ": empty",
    "no colon",
    " folded",
    "X: \x00",
)
_CHUNK_SIZES = ("1", "0", "5", "fffff", "000001", "1;a=b", "x", "-1", "f" * 30)
_MAX_PARTS = 30
_MAX_REPEATS = 3000
_MUTATION_SHARE = 0.15


class Script(msgspec.Struct, frozen=True):
    """What one caller sends.

    Parameters
    ----------
    sends : list of bytes
        Sent one after the other.
    pauses : list of float
        Seconds to wait after each.
    reads : bool
        Whether it reads the responses.
    """

    sends: list[bytes]
    pauses: list[float]
    reads: bool


def draw_script(source: random.Random) -> Script:
    """Return a random script."""
    parts = [_draw_part(source) for _ in range(source.randrange(_MAX_PARTS))]
    if source.random() < 0.5:
        parts.append(_draw_part(source) * source.randrange(_MAX_REPEATS))
    data = bytearray(b"".join(parts))
    if data and source.random() < _MUTATION_SHARE:
        for _ in range(source.randrange(1, 5)):
            data[source.randrange(len(data))] = source.randrange(256)
    sends = _split(source, bytes(data))
    pauses = [source.choice((0.0, 0.0, 0.0, 0.01)) for _ in sends]
    return Script(sends, pauses, source.random() < 0.8)


def _split(source: random.Random, data: bytes) -> list[bytes]:
    sends = []
    while data and len(sends) < _MAX_PARTS:
        size = source.choice((1, 10, 100, 10_000, 1_000_000))
        sends.append(data[:size])
        data = data[size:]
    return sends


def _draw_part(source: random.Random) -> bytes:
    draw: Callable[[random.Random], bytes] = source.choice(
        (_draw_whole, _draw_whole, _draw_head, _draw_chunk, _draw_bytes)
    )
    return draw(source)


def _draw_whole(source: random.Random) -> bytes:
    if source.random() < 0.6:
        return b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    head = b"POST /x HTTP/1.1\r\nHost: a\r\n"
    if source.random() < 0.5:
        size = source.randrange(2000)
        return head + f"Content-Length: {size}\r\n\r\n".encode() + b"x" * size
    chunks = b"1\r\nx\r\n" * source.randrange(300)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def _draw_head(source: random.Random) -> bytes:
    method, target = source.choice(_METHODS), source.choice(_TARGETS)
    lines = source.choices(_LINES, k=source.randrange(6))
    head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines])
    return head.encode("latin-1") + source.choice((b"\r\n\r\n", b"\n\n", b""))


def _draw_chunk(source: random.Random) -> bytes:
    return source.choice(_CHUNK_SIZES).encode() + b"\r\nx\r\n"


def _draw_bytes(source: random.Random) -> bytes:
    return source.randbytes(source.randrange(100))
