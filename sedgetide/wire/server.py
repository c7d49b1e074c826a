"""HTTP/1.1 server with pipelining."""

import collections
from collections.abc import Callable
import contextlib
import logging
import select
import time

import gevent
from gevent.event import Event
from gevent.socket import IPPROTO_TCP
from gevent.socket import SHUT_WR
from gevent.socket import socket
from gevent.socket import TCP_NOTSENT_LOWAT
from gevent.socket import wait_read
from gevent.socket import wait_write
import h11
import msgspec

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.callershares import StartLimit
from sedgetide.core.requests.closures import CloseReason
from sedgetide.core.requests.closures import Closure
from sedgetide.core.requests.connectionlimits import choose_idlest
from sedgetide.core.requests.loopshares import ConnectionShare
from sedgetide.core.requests.loopshares import LoopShares
from sedgetide.core.requests.readlimits import has_many_blanks
from sedgetide.core.requests.transferlimits import RequestLimits
from sedgetide.core.requests.transferlimits import TransferDeadline
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.client import CALLER_TIMEOUT_MS
from sedgetide.wire.client import enable_keepalive_probes
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import decode_headers
from sedgetide.wire.messages import encode_headers
from sedgetide.wire.messages import Request

_RECV_BYTES = 64 * 1024
_SEND_BYTES = 256 * 1024
# Bytes passed to the parser at once while it reads a head: it copies those
# that belong to the next request.
_HEAD_PIECE_BYTES = 4 * 1024
_CHUNKED_PIECE_BYTES = 16 * 1024
# The same if there are many blanks in a row, which may be in a header line.
_BLANK_PIECE_BYTES = 1024
# Bytes per connection, of input and of responses, above which no more
# pipelined requests are read.
_MAX_BUFFERED_BYTES = 64 * 1024
_MAX_UNSENT_BYTES = 1024 * 1024
# Bytes that the kernel queues before it sends them. With more, it takes the
# next ones after seconds only, and a caller that reads slowly seems to stand.
_MAX_QUEUED_BYTES = 64 * 1024
_LINGER_TIMEOUT = 1.0
# Seconds between checks for a close while a request runs.
_CLOSE_POLL_INTERVAL = 0.05
# Seconds of work after which a connection lets others run. A pause of zero
# would not: the event loop repeats such callbacks before it polls sockets.
_SLICE = 0.001
_MIN_PAUSE = 0.0005
# Seconds of work that are charged for a receive and for a response.
_RECEIVE_COST = 0.00001
_RESPONSE_COST = 0.00003
# In seconds; an upload in progress has usually finished by then.
_BUSY_RETRY_AFTER = 1.0
_UNLIMITED_BYTES = 1 << 62
_UNLIMITED_CONNECTIONS = 1 << 62
_REASONS_BY_STATUS = {
    400: CloseReason.MALFORMED,
    431: CloseReason.HEAD_TOO_LONG,
}
_STATUSES = {
    CloseReason.BODY_TOO_LONG: 413,
    CloseReason.FRAMING_TOO_LONG: 400,
    CloseReason.TOO_SLOW: 408,
}

_log = logging.getLogger(__name__)

RequestHandler = Callable[[Request], Answer]
RefusalObserver = Callable[[Request, float], None]
ClosureObserver = Callable[[Closure], None]


def ignore_closure(_: Closure) -> None:
    """Do nothing about a connection that was closed."""


class _Rejected(Exception):
    """Raised for a request that is rejected while it is read."""

    def __init__(
        self,
        status: int,
        retry_after: float | None = None,
        reason: CloseReason | None = None,
    ) -> None:
        super().__init__(status)
        self.status = status
        self.retry_after = retry_after
        self.reason = reason or _REASONS_BY_STATUS.get(status)

    def make_answer(self) -> Answer:
        headers = []
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{self.retry_after:g}"))
        return Answer(self.status, headers, reusable=False)


class _PendingRequest:
    """A pipelined request and its response."""

    def __init__(self, parser: h11.Connection, request: Request) -> None:
        self.parser = parser
        self.request = request
        self.answer: Answer | None = None
        self.task: gevent.Greenlet | None = None


class Server:
    """Accepts connections of callers and serves their requests.

    Parameters
    ----------
    serve : callable
        Handles a request and returns its response; killed when the caller
        closes the connection.
    is_idempotent : callable
        Returns whether a request may run concurrently with others of its
        connection.
    read_limits : callable
        Returns the limits currently in force.
    bodies : BodyBudget or None
        Limit of the total size of the request bodies in memory; None for no
        limit.
    note_refusal : callable
        Called with each request that is refused for lack of memory for its
        body, and the Retry-After in seconds.
    note_closure : callable
        Called with each connection that is closed because of what was
        received on it.
    handler_does_io : bool
        Whether the handler waits for other processes. If not, all its time
        is charged to the connection.
    explain_rejection : callable or None
        Returns the answer with a status to a request that is rejected while
        it is read. One whose body ends early is answered with 400 only if
        there is such a function.
    max_connections : int
        Number of connections from which on the idlest ones are closed.
    """

    def __init__(
        self,
        serve: RequestHandler,
        is_idempotent: Callable[[Request], bool],
        read_limits: Callable[[], CallerLimits],
        bodies: BodyBudget | None = None,
        note_refusal: RefusalObserver = lambda request, seconds: None,
        note_closure: ClosureObserver = ignore_closure,
        handler_does_io: bool = True,
        explain_rejection: Callable[[int], Answer] | None = None,
        max_connections: int = _UNLIMITED_CONNECTIONS,
    ) -> None:
        self.bodies = bodies or BodyBudget(_UNLIMITED_BYTES)
        self.serve = serve
        self.is_idempotent = is_idempotent
        self.read_limits = read_limits
        self.note_refusal = note_refusal
        self.note_closure = note_closure
        self.handler_does_io = handler_does_io
        self.explain_rejection = explain_rejection
        self._max_connections = max_connections
        self.close_after_answer = False
        self.connections: set[CallerConnection] = set()
        self.shares = LoopShares()
        self.in_hand = 0
        self._accepting: gevent.Greenlet | None = None
        self._listener: socket | None = None

    def start(self, listener: socket) -> None:
        """Start accepting connections."""
        self._listener = listener
        self._accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                accepted, peer = self._listener.accept()
            except OSError as error:
                # Out of file descriptors, or a queued connection was reset.
                _log.warning("accept failed", extra={"error": str(error)})
                gevent.sleep(0.05)
                continue
            connection = CallerConnection(self, accepted, peer[0])
            self.connections.add(connection)
            gevent.spawn(connection.run)
            if len(self.connections) >= self._max_connections:
                self._close_idlest()
            gevent.sleep(0)

    def _close_idlest(self) -> None:
        """Close the connections that have been idle for the longest time."""
        idle = [
            (connection.idle_since, connection)
            for connection in self.connections
            if connection.is_idle
        ]
        for connection in choose_idlest(idle, self._max_connections):
            connection.displace()

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._accepting is not None:
            self._accepting.kill()
        if self._listener is not None:
            self._listener.close()

    def begin_stop(self) -> None:
        """Close each connection after its next response."""
        self.close_after_answer = True

    def count_deep(self) -> int:
        """Return the number of connections with many requests in hand."""
        return sum(each.is_deep for each in self.connections)

    def close_expired(self, now: float) -> None:
        """Close the connections that are idle for too long.

        Each closes by itself by the limits that its wait has begun with; a
        later version may allow less.
        """
        for connection in list(self.connections):
            connection.close_if_expired(now)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection:
    """The connection of one caller.

    A reader greenlet parses pipelined requests, and a writer greenlet sends
    the responses in the order of the requests. The reader keeps reading
    while requests are handled, to detect that the caller has closed the
    connection.

    Parameters
    ----------
    server : Server
        Server that accepted the connection.
    connection : socket
        Accepted socket.
    caller : str
        IP address of the caller.
    """

    def __init__(
        self, server: Server, connection: socket, caller: str
    ) -> None:
        self._server = server
        self._socket = connection
        self._caller = caller
        self._pending: collections.deque[_PendingRequest] = collections.deque()
        # Set when a response is ready to be sent, and when one was sent.
        self._answered = Event()
        self._sent = Event()
        self._reading_done = False
        self._writer: gevent.Greenlet | None = None
        self._reader: gevent.Greenlet | None = None
        self._partial = False
        self._displaced = False
        self.idle_since = read_clock()
        # Input that was not passed to the parser yet.
        self._buffer = bytearray()
        self._share = ConnectionShare(server.shares, read_clock())
        self._starts = StartLimit()
        # Seconds of work since other greenlets could run, before and since
        # the processor time of the thread at the last resumption.
        self._work = 0.0
        self._resumed_at = time.thread_time()
        # Bytes of request bodies reserved by this connection.
        self._reserved_bytes = 0
        self._received_bytes = 0
        self._received_requests = 0

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            enable_keepalive_probes(self._socket, CALLER_TIMEOUT_MS)
            self._socket.settimeout(0.0)
            self._socket.setsockopt(
                IPPROTO_TCP, TCP_NOTSENT_LOWAT, _MAX_QUEUED_BYTES
            )
            self._reader = gevent.getcurrent()
            self._resume()
            self._writer = gevent.spawn(self._write)
            self._read()
        except (OSError, h11.ProtocolError, gevent.Timeout):
            pass
        finally:
            self._clean_up()

    def _clean_up(self) -> None:
        """Cancel running requests, which no caller waits for any longer."""
        self._server.connections.discard(self)
        self._share.close()
        self._release_body(self._reserved_bytes)
        for pending in self._pending:
            if pending.task is not None and not pending.task.ready():
                pending.task.kill(block=False)
        self._pending.clear()
        if self._writer is not None:
            self._writer.kill(block=False)
        with contextlib.suppress(OSError):
            self._socket.close()

    @property
    def held_bytes(self) -> int:
        """Bytes of input, request bodies and unsent responses in memory."""
        return len(self._buffer) + self._reserved_bytes + self._unsent_bytes

    @property
    def _unsent_bytes(self) -> int:
        return sum(
            len(each.answer.body)
            for each in self._pending
            if each.answer is not None
        )

    @property
    def is_deep(self) -> bool:
        """Whether it has a request, and had many since it was last idle."""
        return self._starts.is_deep and bool(self._pending)

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if self.is_idle:
            self._reader.kill(block=False)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        if self._reader is None or self._displaced:
            return False
        return not self._pending and not self._partial

    def displace(self) -> None:
        """Close to make room for other connections."""
        self._note_closure(CloseReason.DISPLACED)
        self._displaced = True
        self._reader.kill(block=False)

    def _reserve_body(self, head: h11.Request, size: int) -> None:
        if not self._server.bodies.take(size):
            request = _make_request(head, b"", self._caller)
            self._server.note_refusal(request, _BUSY_RETRY_AFTER)
            raise _Rejected(503, _BUSY_RETRY_AFTER)
        self._reserved_bytes += size

    def _note_closure(self, reason: CloseReason) -> None:
        closure = Closure(
            reason,
            self._caller,
            self._received_bytes,
            self._received_requests,
        )
        self._server.note_closure(closure)

    def _release_body(self, size: int) -> None:
        self._server.bodies.give_back(size)
        self._reserved_bytes -= size

    # Reading of requests

    def _read(self) -> None:
        while not self._reading_done:
            request, parser = self._read_request()
            if request is None:
                break
            self._wait_for_start(request)
            if self._reading_done:
                # The response to an earlier request has closed the
                # connection. The caller takes this request for unread and
                # retries it elsewhere.
                break
            rank = self._starts.find_rank(len(self._pending))
            if rank:
                request = msgspec.structs.replace(request, rank=rank)
            pending = _PendingRequest(parser, request)
            self._pending.append(pending)
            pending.task = gevent.spawn(self._handle, pending)
        self._watch_close()

    def _wait_for_start(self, request: Request) -> None:
        """Wait until a request may start.

        Idempotent requests run concurrently, up to a limit. Any other
        request runs alone.
        """
        while self._pending:
            alone = not self._server.is_idempotent(request) or not (
                self._server.is_idempotent(self._pending[-1].request)
            )
            full = (
                not self._starts.may_start(len(self._pending))
                or self._unsent_bytes >= _MAX_UNSENT_BYTES
            )
            if not alone and not full:
                return
            self._receive_while_busy()
        pause = self._starts.find_pause(read_clock())
        if pause > 0.0:
            # The connection is not idle: its request has been read.
            self._partial = True
            self._suspend()
            gevent.sleep(pause)
            self._resume()
            self._partial = False

    def _receive_while_busy(self) -> None:
        """Buffer input until a response is sent, and detect a close."""
        self._sent.clear()
        self._suspend()
        while not self._sent.is_set() and self._pending:
            if len(self._buffer) < _MAX_BUFFERED_BYTES:
                self._buffer += self._receive(_CLOSE_POLL_INTERVAL) or b""
                self._yield_after_slice()
            elif not self._sent.wait(_CLOSE_POLL_INTERVAL):
                self._check_closed()
            self._resume()

    def _check_closed(self) -> None:
        """Detect a close of the caller behind input that is not read yet."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLRDHUP)
        if poll.poll(0):
            raise ConnectionResetError("connection closed by the caller")

    def _receive(self, seconds: float) -> bytes | None:
        """Receive some bytes; return None if none come in time."""
        self._work += _RECEIVE_COST
        try:
            data = self._socket.recv(_RECV_BYTES)
        except BlockingIOError:
            data = self._wait_and_receive(seconds)
        if data == b"":
            raise ConnectionResetError("connection closed by the caller")
        self._received_bytes += len(data or b"")
        return data

    def _wait_and_receive(self, seconds: float) -> bytes | None:
        end = read_clock() + seconds
        pause = self._end_slice()
        if pause:
            gevent.sleep(pause)
        left = max(0.0, end - read_clock())
        try:
            wait_read(self._socket.fileno(), left, TimeoutError())
            return self._socket.recv(_RECV_BYTES)
        except (BlockingIOError, TimeoutError):
            return None
        finally:
            self._resume()

    # Sharing of the event loop

    def _end_slice(self) -> float:
        """Charge the work since the last resumption; return the pause."""
        work = self._work + time.thread_time() - self._resumed_at
        self._work = 0.0
        return self._share.charge(work, read_clock())

    def _suspend(self) -> None:
        """Count the work since the last resumption before a wait."""
        now = time.thread_time()
        self._work += now - self._resumed_at
        self._resumed_at = now

    def _resume(self) -> None:
        self._resumed_at = time.thread_time()

    def _yield_after_slice(self) -> None:
        """Let other greenlets run if this one has used its slice.

        A receive returns at once while bytes are there, so that a reader of
        a caller that never pauses would not let any other greenlet run.
        """
        work = self._work + time.thread_time() - self._resumed_at
        if work >= _SLICE:
            gevent.sleep(max(_MIN_PAUSE, self._end_slice()))
            self._resume()

    def _watch_close(self) -> None:
        """Discard input until the caller closes the connection."""
        while True:
            if self._receive(_LINGER_TIMEOUT) is None and not self._pending:
                return
            self._yield_after_slice()

    def _read_request(self) -> tuple[Request | None, h11.Connection]:
        if not self._buffer:
            self._buffer += self._wait_for_request()
        # Those in force now: the wait may have lasted for many versions.
        limits = self._server.read_limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + 4096
        )
        try:
            request = self._parse(parser, limits)
        except _Rejected as error:
            if error.reason is not None:
                self._note_closure(error.reason)
            self._reject(parser, self._make_rejection(error))
            return None, parser
        self._partial = False
        self._received_requests += 1
        self._buffer[:0] = parser.trailing_data[0]
        return request, parser

    def _make_rejection(self, error: _Rejected) -> Answer:
        if self._server.explain_rejection is None:
            return error.make_answer()
        answer = self._server.explain_rejection(error.status)
        return Answer(
            answer.status, answer.headers, answer.body, reusable=False
        )

    def _parse(
        self, parser: h11.Connection, limits: CallerLimits
    ) -> Request | None:
        """Parse one request; None when the caller closed the connection."""
        self._partial = True
        progress = RequestLimits(limits, read_clock())
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._next_event(parser, progress)
            now = read_clock()
            if isinstance(event, h11.Request):
                head = event
                if _has_ambiguous_length(event):
                    raise _Rejected(400)
                _reject_for(progress.note_head(_find_length(event), now))
            elif isinstance(event, h11.Data):
                body += event.data
                _reject_for(progress.note_body(len(event.data), now))
                self._reserve_body(head, len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return _make_request(head, bytes(body), self._caller)
            else:
                return None

    def _wait_for_request(self) -> bytes:
        """Receive the first bytes of a request."""
        self.idle_since = read_clock()
        while True:
            data = self._receive(self._find_idle_time_left(read_clock()))
            if data is not None:
                if not self._pending:
                    self._starts.note_idle()
                return data
            if self._has_idled_too_long(read_clock()):
                raise ConnectionAbortedError("no request within the timeout")

    def _find_idle_time_left(self, now: float) -> float:
        timeout = self._server.read_limits().idle_timeout
        idle_since = now if self._pending else self.idle_since
        return max(0.0, idle_since + timeout - now)

    def _has_idled_too_long(self, now: float) -> bool:
        return self.is_idle and self._find_idle_time_left(now) <= 0.0

    def close_if_expired(self, now: float) -> None:
        """Close if it has been idle for longer than is allowed now."""
        if self._has_idled_too_long(now):
            self._reader.kill(block=False)

    def _next_event(
        self, parser: h11.Connection, progress: RequestLimits
    ) -> h11.Event:
        while True:
            self._yield_after_slice()
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            if not self._buffer:
                self._receive_more(parser, progress)
            data = self._take_piece(parser, progress)
            progress.note_received(len(data))
            parser.receive_data(data)

    def _take_piece(
        self, parser: h11.Connection, progress: RequestLimits
    ) -> bytes:
        """Take input that is parsed in a short time.

        On a header line that it refuses, the parser needs time that grows
        with the square of the blanks in a row.
        """
        if progress.has_length:
            size = _RECV_BYTES
        else:
            if has_many_blanks(parser.trailing_data[0]):
                raise _Rejected(400)
            in_head = not progress.in_body
            size = _HEAD_PIECE_BYTES if in_head else _CHUNKED_PIECE_BYTES
            if has_many_blanks(self._buffer[:size]):
                size = _BLANK_PIECE_BYTES
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _receive_more(
        self, parser: h11.Connection, progress: RequestLimits
    ) -> None:
        """Receive more of an incomplete request into the buffer."""
        if parser.they_are_waiting_for_100_continue:
            self._send_continue(parser)
        data = None
        while data is None:
            now = read_clock()
            reason = progress.find_excess(now)
            if reason is CloseReason.TOO_SLOW and not progress.in_body:
                self._note_closure(reason)
                raise ConnectionAbortedError("no head within the timeout")
            _reject_for(reason)
            try:
                data = self._receive(max(0.0, progress.find_end() - now))
            except ConnectionResetError:
                if progress.in_body:
                    self._answer_truncated(parser)
                raise
        self._buffer += data

    def _answer_truncated(self, parser: h11.Connection) -> None:
        if self._server.explain_rejection is not None and not self._pending:
            pending = _PendingRequest(parser, Request("GET", "/", [], b""))
            pending.answer = self._server.explain_rejection(400)
            self._send(_format_answer(pending, last=True))

    def _send_continue(self, parser: h11.Connection) -> None:
        if not self._pending:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._send(parser.send(interim))

    def _reject(self, parser: h11.Connection, answer: Answer) -> None:
        """Send the response to a rejected request and end the connection."""
        pending = _PendingRequest(parser, Request("GET", "/", [], b""))
        pending.answer = answer
        self._pending.append(pending)
        self._answered.set()

    # Handling of requests and writing of responses

    def _handle(self, pending: _PendingRequest) -> None:
        self._server.in_hand += 1
        began = read_clock()
        try:
            pending.answer = self._server.serve(pending.request)
            now = read_clock()
            self._starts.note_answer(
                pending.answer.congested, now - began, now
            )
        except Exception:
            _log.exception("request failed")
            pending.answer = Answer(502, [])
        finally:
            self._server.in_hand -= 1
            self._charge_handling(read_clock() - began)
            self._answered.set()

    def _charge_handling(self, elapsed: float) -> None:
        """Charge a request that was handled without waiting for anything.

        Requests that wait for an upstream are limited by its places.
        """
        if elapsed < _SLICE or not self._server.handler_does_io:
            self._work += elapsed + _RESPONSE_COST

    def _write(self) -> None:
        while True:
            while not self._pending or self._pending[0].answer is None:
                self._answered.clear()
                self._answered.wait()
            pending = self._pending[0]
            last = (
                self._server.close_after_answer or not pending.answer.reusable
            )
            try:
                self._send(_format_answer(pending, last))
                if last or pending.parser.our_state is not h11.DONE:
                    self._close_gracefully()
                    return
            except OSError:
                self._reader.kill(block=False)
                return
            self._pending.popleft()
            self.idle_since = read_clock()
            self._release_body(len(pending.request.body))
            self._sent.set()

    def _send(self, data: bytes) -> None:
        """Send bytes, at least at the lowest rate allowed.

        Raises
        ------
        OSError
            If the caller does not read, or has closed the connection.
        """
        # A caller may pause in reading for as long as it may be idle.
        patience = self._server.read_limits().idle_timeout
        deadline = TransferDeadline(read_clock(), patience)
        view = memoryview(data)
        while view:
            try:
                size = self._socket.send(view[:_SEND_BYTES])
            except BlockingIOError:
                self._wait_writable(deadline)
                continue
            view = view[size:]
            deadline.note_progress(size, read_clock())

    def _wait_writable(self, deadline: TransferDeadline) -> None:
        left = deadline.find_end() - read_clock()
        try:
            wait_write(
                self._socket.fileno(), max(0.0, left), TimeoutError("unread")
            )
        except TimeoutError:
            self._note_closure(CloseReason.UNREAD)
            raise

    def _close_gracefully(self) -> None:
        """Close the connection so that the last response is delivered.

        Closing a socket with unread input sends a reset, which discards
        data that the caller has not read yet.
        """
        self._reading_done = True
        for pending in list(self._pending)[1:]:
            if pending.task is not None:
                pending.task.kill(block=False)
        self._pending.clear()
        with contextlib.suppress(OSError):
            self._socket.shutdown(SHUT_WR)
        gevent.spawn_later(_LINGER_TIMEOUT, self._reader.kill, block=False)


def _reject_for(reason: CloseReason | None) -> None:
    if reason is not None:
        raise _Rejected(_STATUSES[reason], reason=reason)


def _find_length(head: h11.Request) -> int:
    """Return the announced length of the body; 0 when there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _has_ambiguous_length(head: h11.Request) -> bool:
    """Return whether both Content-Length and Transfer-Encoding are present.

    Two parsers that prefer different ones disagree on where the body ends,
    which allows request smuggling.
    """
    names = {name for name, _ in head.headers}
    return b"content-length" in names and b"transfer-encoding" in names


def _make_request(head: h11.Request, body: bytes, caller: str) -> Request:
    return Request(
        head.method.decode("latin-1"),
        head.target.decode("latin-1"),
        decode_headers(head.headers.raw_items()),
        body,
        caller,
    )


def _format_answer(pending: _PendingRequest, last: bool) -> bytes:
    answer = pending.answer
    headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
    if last:
        headers.append(("Connection", "close"))
    parser = pending.parser
    data = parser.send(
        h11.Response(
            status_code=answer.status, headers=encode_headers(headers)
        )
    )
    if answer.body and pending.request.method != "HEAD":
        data += parser.send(h11.Data(data=answer.body))
    data += parser.send(h11.EndOfMessage())
    return data
