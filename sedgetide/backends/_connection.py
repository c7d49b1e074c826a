"""One HTTP/1.1 connection on which the caller decides each send.

The response parser is that of geventhttpclient. Its client is not used: it
sends a request again by itself when the server closes the connection, and
does not know which requests are idempotent.
"""

from collections.abc import Iterable
import time

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPSocketResponse

from sedgetide.coding.addresses import split_address
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError

_BLOCK_BYTES = 16 * 1024
_BODILESS = frozenset({204, 304})
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
    """Tell whether a header concerns one connection only."""
    return name.lower() in _HOP_HEADERS


def drop_hop_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return headers without those that concern one connection only."""
    return [
        (name, value) for name, value in headers if not is_hop_header(name)
    ]


class HttpAnswer:
    """A whole answer.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of tuple
        Names and values as sent.
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
        """Return a header's value, or None when it was not sent."""
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


def _require_length(response: HTTPSocketResponse, method: str) -> None:
    """Refuse an answer whose end only the connection's end would mark.

    A connection cut half way looks the same as its proper end, so a part
    of an archive would pass for the whole.
    """
    if method == "HEAD" or response.status_code in _BODILESS:
        return
    if "content-length" in response or "transfer-encoding" in response:
        return
    raise ValueError("answer without a length")


class HttpConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Largest body accepted in an answer.
    """

    def __init__(self, address: str, body_limit: int) -> None:
        self.address = address
        self.answered_at = float("-inf")
        self._body_limit = body_limit
        self._socket: socket.socket | None = None

    def open(self, timeout: float) -> None:
        """Connect.

        Raises
        ------
        UpstreamError
            With ``sent`` false.
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
        """Send one request and read its whole answer.

        Parameters
        ----------
        timeout : float
            Seconds to wait for the answer.
        not_after : float
            Monotonic clock time after which nothing is sent.

        Raises
        ------
        UpstreamError
            With ``sent`` false when it was too late to send; else with
            ``sent`` true, and the connection is closed, since a late answer
            on it would be taken for that of the next request.
        """
        data = _format_request(method, path, self.address, headers, body)
        if time.monotonic() >= not_after:
            raise UpstreamError(
                ErrorCode.TOO_LATE,
                Step.SEND,
                self.address,
                "authority or deadline ran out before the send",
                sent=False,
            )
        whole = False
        try:
            with gevent.Timeout(timeout):
                self._socket.sendall(data)
                answer = self._read_answer(method)
            whole = True
            return answer
        except gevent.Timeout as error:
            raise self._fail(
                ErrorCode.UPSTREAM_SILENT, f"no answer in {timeout:.3f} s"
            ) from error
        except (OSError, HTTPParseError, ValueError) as error:
            raise self._fail(ErrorCode.BAD_ANSWER, str(error)) from error
        finally:
            if not whole:
                self.close()

    def _fail(self, code: ErrorCode, detail: str) -> UpstreamError:
        return UpstreamError(
            code, Step.ANSWER, self.address, detail, sent=True
        )

    def _read_answer(self, method: str) -> HttpAnswer:
        response = HTTPSocketResponse(
            self._socket, block_size=_BLOCK_BYTES, method=method
        )
        _require_length(response, method)
        body = bytearray()
        while True:
            block = response.read(_BLOCK_BYTES)
            body += block
            if len(body) > self._body_limit:
                raise ValueError(f"body over {self._body_limit} bytes")
            if not block:
                break
        if not response.message_complete:
            raise ValueError("body ended early")
        headers = drop_hop_headers(response.items())
        answer = HttpAnswer(response.status_code, headers, bytes(body))
        self.answered_at = time.monotonic()
        if response.should_close():
            self.close()
        return answer

    @property
    def usable(self) -> bool:
        """Whether the connection is open."""
        return self._socket is not None

    def close(self) -> None:
        """Close the connection; closing twice does nothing."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
