"""HTTP/1.1 client connections and their pool; no automatic retries."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import select

import gevent
from gevent import socket
from gevent.socket import wait_read
import h11

from sedgetide.coding.addresses import split_address
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.readlimits import MAX_HEAD_BYTES
from sedgetide.core.requests.readlimits import ReadBound
from sedgetide.core.requests.readlimits import ReadBudget
from sedgetide.core.requests.readlimits import ReadCut
from sedgetide.core.requests.sentids import SentIds
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.boundedreader import BoundedReader
from sedgetide.wire.cutreads import make_cut_error
from sedgetide.wire.cutreads import make_timeout_error
from sedgetide.wire.delivery import DeliveryLimit
from sedgetide.wire.delivery import has_undelivered
from sedgetide.wire.delivery import lift_limit
from sedgetide.wire.delivery import SendOverdue
from sedgetide.wire.delivery import set_reset_on_close
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import check_status
from sedgetide.wire.messages import decode_headers
from sedgetide.wire.messages import encode_headers
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Headers
from sedgetide.wire.messages import Request
from sedgetide.wire.skippedanswers import note_skipped_answer

_RECV_BYTES = 64 * 1024
# Milliseconds until unacknowledged data, or unanswered keepalive probes, end a
# connection. An upstream's is replaced by a new one; a caller's is not, so two
# probes in a row may be lost on it.
_UPSTREAM_TIMEOUT_MS = 1500
CALLER_TIMEOUT_MS = 3500
KEEPALIVE_INTERVAL_S = 1
_DEFAULT_IDLE_TIMEOUT = 8.0
_MAX_IDLE_TIMEOUT = 30.0
_IDLE_TIMEOUT_FRACTION = 0.9
# Seconds after which sent data is acknowledged on a path that works. A busy
# server delays it by 40 ms, or by a round trip if that is longer.
_MAX_ACK_DELAY = 0.2
# This many responses to other requests are not just late duplicates.
_MAX_ANSWERS_READ = 3
_LENGTH = "content-length"
_BAD = ErrorCode.BAD_ANSWER

AnswerFilter = Callable[[Headers], bool]


def _accept_any(_: Headers) -> bool:
    return True


def _ignore() -> None:
    """Do nothing."""


def _accept_connection(_: "Connection") -> bool:
    return True


def enable_keepalive_probes(connection: socket.socket, limit_ms: int) -> None:
    """Enable TCP keepalive probes and a limit for unacknowledged data.

    A middlebox that drops a connection without a reset leaves it open at
    both ends. Without probes, a request on it would wait until its deadline.

    Parameters
    ----------
    connection : socket
        Connected socket.
    limit_ms : int
        Milliseconds without an acknowledgement that end the connection. The
        limit also decides when probes are given up, whatever their number.
    """
    option = connection.setsockopt
    option(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    option(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


class Connection:
    """A client connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Maximum size of a response body in bytes.
    bodies : BodyBudget or None
        Memory for the unfinished response bodies of the server; None for no
        limit.
    memory : BodyBudget or None
        Memory for those of all servers; None for no limit.

    Attributes
    ----------
    rested : float
        Seconds for which it had been idle when it was last taken from the
        pool; 0 for a new connection.
    opened_at : float
        Monotonic time at which it was opened; 0 before.
    answered : bool
        Whether a response to a request was read on it.
    local_port : int
        Own port, by which the server's logs name the connection; 0 before it
        was opened.
    sent_ids : SentIds
        Ids of the requests that were sent on it.
    """

    def __init__(
        self,
        address: str,
        body_limit: int,
        bodies: BodyBudget | None = None,
        memory: BodyBudget | None = None,
    ) -> None:
        self.address = address
        self._body_limit = body_limit
        self._bodies = bodies
        self._memory = memory
        self._socket: socket.socket | None = None
        self._used_at = 0.0
        self._sent_at = 0.0
        self._is_sent = True
        self._idle_timeout = _DEFAULT_IDLE_TIMEOUT
        self.rested = 0.0
        self.opened_at = 0.0
        self.answered = False
        self.local_port = 0
        self.sent_ids = SentIds()

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
            enable_keepalive_probes(self._socket, _UPSTREAM_TIMEOUT_MS)
            self._socket.settimeout(None)
            self.local_port = self._socket.getsockname()[1]
        except OSError as error:
            self.close()
            raise UpstreamError(
                ErrorCode.UPSTREAM_UNREACHABLE,
                Step.CONNECT,
                self.address,
                str(error),
                sent=False,
            ) from error
        self._used_at = self.opened_at = read_clock()

    def wait_for_reset(self, seconds: float) -> None:
        """Give a server without a free slot time to reset the connection.

        If the reset arrives before the request is sent, the request is known
        not to have run. If it arrives later, the outcome is unknown.

        Raises
        ------
        UpstreamError
            With ``sent`` false, if the server closes the connection.
        """
        with contextlib.suppress(TimeoutError):
            wait_read(self._socket.fileno(), timeout=seconds)
            self.close()
            raise UpstreamError(
                ErrorCode.UPSTREAM_FULL,
                Step.CONNECT,
                self.address,
                "connection closed before the request was sent",
                sent=False,
            )

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on the connection now.

        Input that is pending before a request is sent is either a duplicate
        response to an earlier request, or the server's close.
        """
        if self._socket is None:
            return False
        if read_clock() - self._used_at > self._idle_timeout:
            return False
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    @property
    def ended(self) -> bool:
        """Whether the server has closed it, also during a request."""
        if self._socket is None:
            return True
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    @property
    def stalled(self) -> bool:
        """Whether the server's host doesn't acknowledge what was sent."""
        if self._socket is None:
            return True
        if read_clock() - self._sent_at < _MAX_ACK_DELAY:
            return False
        return has_undelivered(self._socket)

    @property
    def delivered_at(self) -> float:
        """Time at which the last request was sent, if it has arrived.

        Minus infinity if the server's host hasn't acknowledged all of it, or
        if the server has closed the connection.
        """
        if self.ended or not self._is_sent or has_undelivered(self._socket):
            return float("-inf")
        return self._sent_at

    def record_idle_time(self) -> None:
        """Record for how long the connection has been idle."""
        self.rested = read_clock() - self._used_at

    def exchange(
        self,
        request: Request,
        timeout: float,
        is_own_answer: AnswerFilter = _accept_any,
        delivery: DeliveryLimit | None = None,
        on_timeout: Callable[[], None] = _ignore,
        body_limit: int | None = None,
    ) -> Answer:
        """Send a request and read its complete response.

        Parameters
        ----------
        request : Request
            Request to send, with its Host header.
        timeout : float
            Seconds to wait for the response.
        is_own_answer : callable
            Returns whether a response belongs to this request, given its
            headers. Other responses are skipped.
        delivery : DeliveryLimit or None
            Limit for a request that must not arrive late. It applies until
            it is lifted.
        on_timeout : callable
            Called when there is no response in time, before the connection
            is closed.
        body_limit : int or None
            Maximum size of the response body in bytes, if it is less than
            that of the connection.

        Raises
        ------
        UpstreamError
            With ``sent`` true; the connection is closed, because a late
            response on it would be taken for that of the next request.
            With ``sent`` false and code TOO_LATE, if the request was not
            sent by its limit; the connection stays open if nothing of it
            was sent.
        """
        whole = False
        limit = self._body_limit
        if body_limit is not None:
            limit = min(limit, body_limit)
        budget = ReadBudget(
            limit, read_clock() + timeout, self._bodies, self._memory
        )
        try:
            with gevent.Timeout(timeout) as timer:
                answer = self._exchange(
                    request, is_own_answer, delivery, budget
                )
            whole = True
            return answer
        except SendOverdue as error:
            whole = not error.begun
            if whole:
                self.lift_delivery_limit()
            raise UpstreamError(
                ErrorCode.TOO_LATE,
                Step.SEND,
                self.address,
                str(error),
                sent=False,
            ) from error
        except gevent.Timeout as error:
            if error is not timer:
                raise
            on_timeout()
            raise make_timeout_error(self.address, budget, timeout) from error
        except ReadCut as cut:
            if cut.bound is ReadBound.TIME:
                on_timeout()
            raise make_cut_error(self.address, budget, cut) from cut
        except (OSError, h11.ProtocolError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            # The kernel ends the connection when the limit is over.
            silent = delivery is not None and isinstance(error, TimeoutError)
            code = ErrorCode.UPSTREAM_SILENT if silent else _BAD
            raise self._make_error(code, detail) from error
        finally:
            budget.release()
            if not whole:
                self.abort()

    def lift_delivery_limit(self) -> None:
        """Restore the limits of an idle connection after an answer."""
        if self._socket is not None:
            lift_limit(self._socket, _UPSTREAM_TIMEOUT_MS)

    def _make_error(self, code: ErrorCode, detail: str) -> UpstreamError:
        return UpstreamError(
            code, Step.ANSWER, self.address, detail, sent=True
        )

    def _exchange(
        self,
        request: Request,
        is_own_answer: AnswerFilter,
        delivery: DeliveryLimit | None,
        budget: ReadBudget,
    ) -> Answer:
        data, parser = _format_request(request)
        self._sent_at, self._is_sent = read_clock(), False
        if delivery is None:
            self._socket.sendall(data)
        else:
            delivery.apply(self._socket)
            delivery.send(self._socket, data)
        self._is_sent = True
        reader = BoundedReader(self._socket, budget)
        for _ in range(_MAX_ANSWERS_READ):
            answer = _read_answer(parser, reader)
            rest, ended = parser.trailing_data
            reader.return_unparsed(rest)
            if is_own_answer(answer.headers):
                self.answered = True
                self._finish(answer, parser, reader, ended)
                return answer
            # A duplicate of an earlier response arrives where the response
            # to this request is expected; only the id distinguishes them.
            note_skipped_answer(self.address, answer.status)
            _, parser = _format_request(request)
        raise ValueError("received only responses to other requests")

    def _finish(
        self,
        answer: Answer,
        parser: h11.Connection,
        reader: BoundedReader,
        ended: bool,
    ) -> None:
        self._used_at = read_clock()
        _apply_keep_alive(self, answer.headers)
        done = parser.their_state is h11.DONE
        if reader.unread or ended or not done:
            # Data after a complete response belongs to no request.
            self.close()

    def set_idle_timeout(self, seconds: float) -> None:
        """Apply the idle timeout that the server has announced."""
        self._idle_timeout = min(
            _MAX_IDLE_TIMEOUT, seconds * _IDLE_TIMEOUT_FRACTION
        )

    @property
    def is_new(self) -> bool:
        """Whether it has not been taken from a pool before."""
        return self.rested == 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection has a socket."""
        return self._socket is not None

    def abort(self) -> None:
        """Reset the connection and discard data that is not yet delivered.

        After a normal close, the kernel keeps retransmitting unacknowledged
        data. An order that was given up during a network partition would
        arrive when the partition ends, after newer orders. A reset discards
        the data.
        """
        if self._socket is not None:
            with contextlib.suppress(OSError):
                set_reset_on_close(self._socket)
        self.close()

    def close(self) -> None:
        """Close the connection; has no effect when already closed."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.close()
            self._socket = None


def _apply_keep_alive(connection: Connection, headers: Headers) -> None:
    for part in (find_header(headers, "keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            connection.set_idle_timeout(float(value))


def _format_request(request: Request) -> tuple[bytes, h11.Connection]:
    """Return the bytes of a request and a parser for its response."""
    parser = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
    )
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


def _read_answer(parser: h11.Connection, reader: BoundedReader) -> Answer:
    head = _read_head(parser, reader)
    headers = decode_headers(head.headers.raw_items())
    is_chunked = find_header(headers, "transfer-encoding") is not None
    length = int(find_header(headers, _LENGTH) or 0)
    body = bytearray()
    if reader.unread:
        parser.receive_data(_read_part(reader, is_chunked))
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            # Not before, because a response to HEAD has only the length.
            reader.budget.check_length(length)
            if is_chunked:
                unparsed, _ = parser.trailing_data
                reader.budget.check_framing_part(len(unparsed))
            parser.receive_data(_read_part(reader, is_chunked))
        elif isinstance(event, h11.Data):
            body += event.data
            reader.budget.note_body(len(event.data), event.chunk_start)
        else:
            break
        reader.pace()
    return Answer(head.status_code, headers, bytes(body))


def _read_part(reader: BoundedReader, is_chunked: bool) -> bytes:
    return reader.read_chunked() if is_chunked else reader.read(_RECV_BYTES)


def _read_head(parser: h11.Connection, reader: BoundedReader) -> h11.Response:
    """Return the head of an answer, after any interim answers."""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(reader.read_head())
        elif isinstance(event, h11.Response):
            check_status(event.status_code)
            return event
        elif not isinstance(event, h11.InformationalResponse):
            raise ValueError("connection closed before a response")
        reader.pace()


class ConnectionPool:
    """Pool of idle connections to one server.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    body_limit : int
        Maximum size of a response body in bytes.
    reset_wait : float
        Seconds to wait on a new connection for a reset; see
        :meth:`Connection.wait_for_reset`.
    memory : BodyBudget or None
        Memory for the unfinished response bodies of all servers; None for no
        limit.
    """

    def __init__(
        self,
        address: str,
        body_limit: int,
        reset_wait: float = 0.0,
        memory: BodyBudget | None = None,
    ) -> None:
        self.address = address
        self._body_limit = body_limit
        # Of all connections, so that one server can't use up the memory.
        self._bodies = BodyBudget(body_limit)
        self._memory = memory
        self._reset_wait = reset_wait
        self._idle: list[Connection] = []
        self._closed = False

    def take(
        self,
        timeout: float,
        max_idle: float = float("inf"),
        is_suitable: Callable[[Connection], bool] = _accept_connection,
    ) -> Connection:
        """Return the most recently used idle connection, or a new one.

        Parameters
        ----------
        timeout : float
            Seconds to wait for a new connection to open.
        max_idle : float
            Maximum idle time in seconds; connections that were idle for
            longer are left in the pool.
        is_suitable : callable
            Returns whether an idle connection may be used. Others are left
            in the pool.

        Raises
        ------
        UpstreamError
            With ``sent`` false, if no connection can be opened.
        """
        newest_first = self._idle[::-1]
        connection = self._take_idle(newest_first, max_idle, is_suitable)
        return self.open(timeout) if connection is None else connection

    def take_idle(
        self, is_suitable: Callable[[Connection], bool], oldest: bool = False
    ) -> Connection | None:
        """Return the most recently used idle connection, or None.

        Parameters
        ----------
        is_suitable : callable
            As in `take`; ``rested`` of its argument is up to date.
        oldest : bool
            Whether to return the least recently used one instead.
        """
        candidates = self._idle[:] if oldest else self._idle[::-1]
        return self._take_idle(candidates, float("inf"), is_suitable)

    def open(self, timeout: float) -> Connection:
        """Return a new connection; arguments and errors as in `take`."""
        connection = Connection(
            self.address, self._body_limit, self._bodies, self._memory
        )
        connection.open(timeout)
        if self._reset_wait:
            connection.wait_for_reset(self._reset_wait)
        return connection

    def open_spare(self, timeout: float) -> None:
        """Open a connection and keep it for a later request.

        Raises
        ------
        UpstreamError
            With ``sent`` false, if no connection can be opened.
        """
        self.give_back(self.open(timeout))

    def _take_idle(
        self,
        candidates: Iterable[Connection],
        max_idle: float,
        is_suitable: Callable[[Connection], bool],
    ) -> Connection | None:
        for connection in candidates:
            connection.record_idle_time()
            if connection.rested > max_idle:
                # All other connections have been idle for longer.
                return None
            if not is_suitable(connection):
                continue
            self._idle.remove(connection)
            if connection.usable:
                return connection
            connection.close()
        return None

    @property
    def has_idle(self) -> bool:
        """Whether the pool has an idle connection."""
        return bool(self._idle)

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def give_back(self, connection: Connection) -> None:
        """Return a connection to the pool, if it is still open."""
        if self._closed:
            connection.close()
        elif connection.is_open:
            self._idle.append(connection)

    def prune(self) -> None:
        """Close idle connections that are no longer usable."""
        for connection in list(self._idle):
            if not connection.usable:
                self._idle.remove(connection)
                connection.close()

    def drop(self, is_unwanted: Callable[[Connection], bool]) -> None:
        """Close those idle connections for which a function returns true."""
        for connection in list(self._idle):
            if is_unwanted(connection):
                self._idle.remove(connection)
                connection.close()

    def drop_older(self, opened_at: float) -> None:
        """Close idle connections that were opened before a time."""
        self.drop(lambda each: each.opened_at < opened_at)

    def trim(self, count: int) -> None:
        """Close the least recently used idle connections beyond a number."""
        for connection in self._idle[: max(0, len(self._idle) - count)]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close all idle connections, and those that are returned later."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
