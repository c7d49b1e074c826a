"""HTTP/1.1 client connection that never retries.

Only the response parser of geventhttpclient is used. Its sockets read without
limits. Its client retries a request when the server closes the connection,
without regard to whether the request is idempotent.
"""

from collections.abc import Iterable
import contextlib
import select

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPResponse

from sedgetide.coding.addresses import split_address
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.requests.readlimits import ReadBudget
from sedgetide.core.requests.readlimits import ReadCut
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.boundedreader import BoundedReader
from sedgetide.wire.cutreads import make_cut_error
from sedgetide.wire.cutreads import make_timeout_error
from sedgetide.wire.delivery import set_reset_on_close
from sedgetide.wire.messages import check_status

# Bytes that are parsed in one step.
_PART_BYTES = 16 * 1024
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
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


def is_hop_header(name: str) -> bool:
    """Return whether a header is hop-by-hop."""
    return name.lower() in _HOP_HEADERS


def drop_hop_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return headers without the hop-by-hop ones."""
    return [
        (name, value) for name, value in headers if not is_hop_header(name)
    ]


class HttpAnswer:
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of tuple
        Names and values as received.
    body : bytes
        Complete body.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def find_header(self, name: str) -> str | None:
        """Return the value of a header, or None when it is absent.

        ``name`` is in lower case.
        """
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None


def _format_request(
    method: str,
    path: str,
    host: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body


class _Response(HTTPResponse):
    """Parser of one response, which keeps no trailers.

    Attributes
    ----------
    body : bytearray
        Body as far as it was parsed.
    pieces : int
        Parts of the body in the last bytes that were parsed; each begins at
        the start of these bytes or of a chunk.
    trailer_bytes : int
        Size of the trailers.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.body = bytearray()
        self.pieces = 0
        self.trailer_bytes = 0
        self._has_more = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; those after the end of the response are ignored."""
        self.pieces = 0
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._has_more:
                raise

    @property
    def has_head(self) -> bool:
        """Whether the head is complete, and not that of an interim one."""
        is_final: bool = self.get_code() >= _FIRST_FINAL_STATUS
        return self.headers_complete and is_final

    def _on_message_begin(self) -> None:
        if self.message_complete and self.has_head:
            self._has_more = True
            raise HTTPParseError("data after the response")
        super()._on_message_begin()

    def _on_body(self, data: bytearray) -> None:
        self.pieces += 1
        self.body += data

    def _on_header_field(self, string: str) -> None:
        if self.headers_complete:
            self.trailer_bytes += len(string)
        else:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if self.headers_complete:
            self.trailer_bytes += len(string)
        else:
            super()._on_header_value(string)


def _require_length(response: HTTPResponse, method: str) -> None:
    """Reject a response whose body would end with the connection.

    An interrupted transfer would look the same as a complete one, so that a
    truncated body would be passed on as complete.
    """
    if method == "HEAD" or response.status_code in _STATUSES_WITHOUT_BODY:
        return
    if "content-length" in response or "transfer-encoding" in response:
        return
    raise ValueError("response without Content-Length or Transfer-Encoding")


def _require_data(data: bytes) -> bytes:
    if not data:
        raise ValueError("connection closed before the end of the response")
    return data


def _read_part(response: _Response, reader: BoundedReader) -> None:
    """Read and parse one more part of the body."""
    before = len(response.body)
    response.feed(_require_data(reader.read(_PART_BYTES)))
    chunks = max(0, response.pieces - 1)
    reader.budget.note_body(len(response.body) - before, chunks)
    reader.budget.check_framing_part(response.trailer_bytes)
    reader.pace()


class HttpConnection:
    """A client connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Maximum size of a response body in bytes.

    Attributes
    ----------
    answered_at : float
        Monotonic time of the last response.
    """

    def __init__(self, address: str, body_limit: int) -> None:
        self.address = address
        self.answered_at = float("-inf")
        self._body_limit = body_limit
        self._socket: socket.socket | None = None

    def open(self, timeout: float) -> None:
        """Connect to the server.

        Raises
        ------
        UpstreamError
            With ``sent`` false, if the connection cannot be opened.
        """
        try:
            self._socket = socket.create_connection(
                split_address(self.address), timeout=timeout
            )
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.settimeout(None)
        except OSError as error:
            self.close()
            raise UpstreamError(
                ErrorCode.UPSTREAM_UNREACHABLE,
                Step.CONNECT,
                self.address,
                str(error),
                sent=False,
            ) from error

    def exchange(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        timeout: float,
        not_after: float = float("inf"),
    ) -> HttpAnswer:
        """Send one request and read its complete response.

        Parameters
        ----------
        timeout : float
            Seconds to wait for the response.
        not_after : float
            Monotonic time after which the request is not sent.

        Raises
        ------
        UpstreamError
            With ``sent`` false if ``not_after`` has passed. Otherwise with
            ``sent`` true; the connection is closed, because a late response
            on it would be taken for that of the next request.
        """
        data = _format_request(method, path, self.address, headers, body)
        if read_clock() >= not_after:
            raise UpstreamError(
                ErrorCode.TOO_LATE,
                Step.SEND,
                self.address,
                "authority or deadline expired before the request was sent",
                sent=False,
            )
        whole = False
        budget = ReadBudget(self._body_limit, read_clock() + timeout)
        try:
            with gevent.Timeout(timeout) as timer:
                self._socket.sendall(data)
                answer = self._read_answer(method, budget)
            whole = True
            return answer
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise make_timeout_error(self.address, budget, timeout) from error
        except ReadCut as cut:
            raise make_cut_error(self.address, budget, cut) from cut
        except (OSError, HTTPParseError, ValueError) as error:
            raise UpstreamError(
                ErrorCode.BAD_ANSWER,
                Step.ANSWER,
                self.address,
                str(error),
                sent=True,
            ) from error
        finally:
            if not whole:
                self._abort()

    def _read_answer(self, method: str, budget: ReadBudget) -> HttpAnswer:
        reader = BoundedReader(self._socket, budget)
        response = _Response(method)
        while not response.has_head:
            response.feed(_require_data(reader.read_head()))
            if response.headers_complete:
                check_status(response.get_code())
        _require_length(response, method)
        if not response.message_complete:
            budget.check_length(response.content_length or 0)
        while not response.message_complete:
            _read_part(response, reader)
        headers = drop_hop_headers(response.items())
        answer = HttpAnswer(
            response.status_code, headers, bytes(response.body)
        )
        self.answered_at = read_clock()
        if response.should_close() or reader.unread:
            self.close()
        return answer

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on the connection now.

        Input that is pending before a request is sent is an extra response
        to an earlier one, or the server's close.
        """
        if self._socket is None:
            return False
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def _abort(self) -> None:
        """Reset the connection, so that its peer stops to send."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                set_reset_on_close(self._socket)
        self.close()

    def close(self) -> None:
        """Close the connection; has no effect when already closed."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
