"""One connection to a server; nothing is ever sent twice by itself."""

from collections.abc import Callable
import contextlib
import select
import struct
import time

import gevent
from gevent import socket
from gevent.socket import wait_read
import h11

from sedgetide.coding.addresses import split_address
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import decode_headers
from sedgetide.wire.messages import encode_headers
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Headers
from sedgetide.wire.messages import Request

_BLOCK = 64 * 1024
_HEAD_BYTES = 64 * 1024
_UNACKNOWLEDGED_MS = 1500
_PROBE_AFTER_S = 1
_PROBES = 3
_IDLE_LIFE = 8.0
_LONGEST_IDLE = 30.0
_IDLE_SHARE = 0.9
# More answers than this in front of the own one are no mere late repeat.
_FOREIGN_MOST = 3
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Belongs = Callable[[Headers], bool]


def _accept_any(_: Headers) -> bool:
    return True


def set_probes(connection: socket.socket) -> None:
    """Let the kernel notice a connection that has gone silent.

    A path that has lost track of a connection resets nothing: without
    this, what waits on it waits until its own deadline.
    """
    option = connection.setsockopt
    option(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    option(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_AFTER_S)
    option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


class Connection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Largest body accepted in an answer.

    Attributes
    ----------
    rested : float
        Seconds that it had been idle when it was taken last.
    """

    def __init__(self, address: str, body_limit: int) -> None:
        self.address = address
        self._body_limit = body_limit
        self._socket: socket.socket | None = None
        self._used_at = 0.0
        self._idle_life = _IDLE_LIFE
        self.rested = 0.0

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
            set_probes(self._socket)
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
        self._used_at = time.monotonic()

    def settle(self, seconds: float) -> None:
        """Wait a moment for a server that is full to reset the connection.

        A reset that comes after the request has left says nothing about
        whether it ran; before, it proves that nothing did.

        Raises
        ------
        UpstreamError
            With ``sent`` false.
        """
        with contextlib.suppress(TimeoutError):
            wait_read(self._socket.fileno(), timeout=seconds)
            self.close()
            raise UpstreamError(
                ErrorCode.UPSTREAM_FULL,
                Step.CONNECT,
                self.address,
                "closed before anything was sent",
                sent=False,
            )

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on it now.

        Bytes that wait before anything was asked are a second answer to an
        earlier request, or the server's close.
        """
        if self._socket is None:
            return False
        if time.monotonic() - self._used_at > self._idle_life:
            return False
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def ended(self) -> bool:
        """Whether the server has closed it, also while a request is on it."""
        if self._socket is None:
            return True
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def note_rest(self) -> None:
        """Remember for how long it has been idle, before it is used."""
        self.rested = time.monotonic() - self._used_at

    def exchange(
        self,
        request: Request,
        timeout: float,
        belongs: Belongs = _accept_any,
    ) -> Answer:
        """Send a request and read its whole answer.

        Parameters
        ----------
        request : Request
            What to send, with its Host header.
        timeout : float
            Seconds to wait for the answer.
        belongs : callable
            Tells by an answer's headers whether it is for this request;
            others are passed over.

        Raises
        ------
        UpstreamError
            With ``sent`` true; the connection is closed, since a late
            answer on it would be taken for that of the next request.
        """
        whole = False
        try:
            with gevent.Timeout(timeout):
                answer = self._exchange(request, belongs)
            whole = True
            return answer
        except gevent.Timeout as error:
            raise self._fail(
                ErrorCode.UPSTREAM_SILENT, f"no answer in {timeout:.3f} s"
            ) from error
        except (OSError, h11.ProtocolError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            raise self._fail(ErrorCode.BAD_ANSWER, detail) from error
        finally:
            if not whole:
                self.abort()

    def _fail(self, code: ErrorCode, detail: str) -> UpstreamError:
        return UpstreamError(
            code, Step.ANSWER, self.address, detail, sent=True
        )

    def _exchange(self, request: Request, belongs: Belongs) -> Answer:
        data, parser = _format(request)
        self._socket.sendall(data)
        for _ in range(_FOREIGN_MOST):
            answer = self._read_answer(parser)
            rest, ended = parser.trailing_data
            if belongs(answer.headers):
                self._finish(answer, parser, rest, ended)
                return answer
            # An answer that comes a second time stands where the own one
            # is expected; only the id tells them apart.
            _, parser = _format(request)
            if rest:
                parser.receive_data(rest)
            if ended:
                parser.receive_data(b"")
        raise ValueError("only answers to other requests")

    def _read_answer(self, parser: h11.Connection) -> Answer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(self._socket.recv(_BLOCK))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._body_limit:
                    raise ValueError(f"body over {self._body_limit} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("closed before an answer")
        headers = decode_headers(head.headers.raw_items())
        return Answer(head.status_code, headers, bytes(body))

    def _finish(
        self,
        answer: Answer,
        parser: h11.Connection,
        rest: bytes,
        ended: bool,
    ) -> None:
        self._used_at = time.monotonic()
        _note_idle_life(self, answer.headers)
        done = parser.their_state is h11.DONE
        if rest or ended or not done:
            # What follows a whole answer belongs to no request.
            self.close()

    def set_idle_life(self, seconds: float) -> None:
        """Set for how long the server keeps an idle connection."""
        self._idle_life = min(_LONGEST_IDLE, seconds * _IDLE_SHARE)

    @property
    def is_open(self) -> bool:
        """Whether it has a socket."""
        return self._socket is not None

    def abort(self) -> None:
        """Close the connection and take back what has not arrived yet.

        After a plain close the kernel goes on sending what a cut holds up,
        and an order given up long ago would be taken when the cut heals,
        after newer ones. A reset drops it.
        """
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self.close()

    def close(self) -> None:
        """Close the connection; closing twice does nothing."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.close()
            self._socket = None


def _note_idle_life(connection: Connection, headers: Headers) -> None:
    for part in (find_header(headers, "keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            connection.set_idle_life(float(value))


def _format(request: Request) -> tuple[bytes, h11.Connection]:
    """Return a request's bytes and a parser for its answer."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
    headers = [*request.headers]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(request.body))))
    data = parser.send(
        h11.Request(
            method=request.method,
            target=request.target,
            headers=encode_headers(headers),
        )
    )
    if request.body:
        data += parser.send(h11.Data(data=request.body))
    data += parser.send(h11.EndOfMessage())
    return data, parser


class ConnectionPool:
    """Idle connections to one server.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Largest body accepted in an answer.
    settling : float
        Seconds to wait on a new connection for a reset; see
        :meth:`Connection.settle`.
    """

    def __init__(
        self, address: str, body_limit: int, settling: float = 0.0
    ) -> None:
        self.address = address
        self._body_limit = body_limit
        self._settling = settling
        self._idle: list[Connection] = []
        self._closed = False

    def take(
        self, timeout: float, longest_rest: float = float("inf")
    ) -> Connection:
        """Return an open connection, the one used last if any is idle.

        Parameters
        ----------
        timeout : float
            Seconds for a new connection to open.
        longest_rest : float
            Seconds; one that was idle for longer is left to others.

        Raises
        ------
        UpstreamError
            With ``sent`` false when none can be opened.
        """
        connection = self._take_idle(longest_rest)
        if connection is not None:
            return connection
        connection = Connection(self.address, self._body_limit)
        connection.open(timeout)
        if self._settling:
            connection.settle(self._settling)
        return connection

    def _take_idle(self, longest_rest: float) -> Connection | None:
        while self._idle:
            connection = self._idle[-1]
            connection.note_rest()
            if connection.rested > longest_rest:
                # The one used last; the others have rested for longer.
                return None
            self._idle.pop()
            if connection.usable:
                return connection
            connection.close()
        return None

    @property
    def has_idle(self) -> bool:
        """Whether a connection is kept that nobody uses."""
        return bool(self._idle)

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request, if it is still open."""
        if self._closed:
            connection.close()
        elif connection.is_open:
            self._idle.append(connection)

    def prune(self) -> None:
        """Close idle connections that nothing can be sent on any more."""
        for connection in list(self._idle):
            if not connection.usable:
                self._idle.remove(connection)
                connection.close()

    def close(self) -> None:
        """Close all idle connections, and those that come back."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
