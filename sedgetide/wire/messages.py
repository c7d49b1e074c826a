"""Requests and answers, whole."""

import msgspec

Headers = list[tuple[str, str]]

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Request(msgspec.Struct, frozen=True):
    """A caller's request, read to its end.

    Parameters
    ----------
    method, target : str
        As in its first line.
    headers : list of tuple
        In their order.
    body : bytes
        Whole; empty when there is none.
    caller : str
        IP address that it came from; empty when it did not come from a
        connection.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    caller: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Answer(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes = b""
    reusable: bool = True


def find_header(headers: Headers, name: str) -> str | None:
    """Return a header's first value; ``name`` is in lower case."""
    for each, value in headers:
        if each.lower() == name:
            return value
    return None


def drop_hop_headers(headers: Headers) -> Headers:
    """Return headers without those that concern one connection only."""
    named = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS and name.lower() not in named
    ]


def decode_headers(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Return headers as text; HTTP/1.1 allows any byte."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw
    ]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]
