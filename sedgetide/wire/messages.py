"""Complete HTTP requests and responses."""

import msgspec

Headers = list[tuple[str, str]]

# RFC 9110, section 15: other status codes are invalid.
_STATUSES = range(100, 600)

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


def check_status(status: int) -> None:
    """Check the status code of a response.

    Raises
    ------
    ValueError
        If it is invalid, so that the bytes are no response.
    """
    if status not in _STATUSES:
        raise ValueError(
            f"status {status:03d}: accepted is a number from "
            f"{_STATUSES.start} to {_STATUSES.stop - 1}"
        )


class Request(msgspec.Struct, frozen=True):
    """A complete HTTP request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of tuple
        Names and values in their order.
    body : bytes
        Complete body; empty when there is none.
    caller : str
        IP address of the caller; empty when the request was not received
        on a connection.
    rank : int
        Rank among requests of equal priority; lower ones go first. See
        :class:`~sedgetide.core.requests.callershares.StartLimit`.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    caller: str = ""
    rank: int = 0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Answer(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    ``reusable`` is false when the connection has to be closed after it.
    ``congested`` is true when requests wait for places at the upstream, or
    none was free. It is not sent to the caller.
    """

    status: int
    headers: Headers
    body: bytes = b""
    reusable: bool = True
    congested: bool = False


def find_header(headers: Headers, name: str) -> str | None:
    """Return a header's first value; ``name`` is in lower case."""
    for each, value in headers:
        if each.lower() == name:
            return value
    return None


def drop_hop_headers(headers: Headers) -> Headers:
    """Return headers without the hop-by-hop ones."""
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
    """Decode headers as Latin-1, because HTTP/1.1 allows any byte."""
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw
    ]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode headers as Latin-1."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]
