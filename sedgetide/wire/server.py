"""Callers' connections: pipelined requests in, answers out in order."""

import collections
from collections.abc import Callable
import contextlib
import logging

import gevent
from gevent.event import Event
from gevent.socket import SHUT_WR
from gevent.socket import socket
import h11

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.wire.client import set_probes
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import decode_headers
from sedgetide.wire.messages import encode_headers
from sedgetide.wire.messages import Request

_BLOCK = 64 * 1024
_MOST_PIPELINED = 32
_LINGER = 1.0
# Seconds; an upload in hand has left by then.
_CROWDED_RETRY = 1.0
_UNBOUNDED = 1 << 62

_log = logging.getLogger(__name__)

RequestHandler = Callable[[Request], Answer]


class _Rejected(Exception):
    """A request that can not be read, with the status that says so."""

    def __init__(self, status: int, retry_after: float | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.retry_after = retry_after

    def make_answer(self) -> Answer:
        headers = []
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{self.retry_after:g}"))
        return Answer(self.status, headers, reusable=False)


class _Turn:
    """A request and its place in the order of answers."""

    def __init__(self, parser: h11.Connection, request: Request) -> None:
        self.parser = parser
        self.request = request
        self.answer: Answer | None = None
        self.task: gevent.Greenlet | None = None


class Server:
    """Accepts callers' connections and serves their requests.

    Parameters
    ----------
    serve : callable
        Brings a request to its answer; killed when the caller leaves.
    is_idempotent : callable
        Whether a request may be worked on beside others of its connection.
    read_limits : callable
        Bounds now in force.
    bodies : BodyBudget or None
        Bytes of bodies that may be in hand; None: any number.
    """

    def __init__(
        self,
        serve: RequestHandler,
        is_idempotent: Callable[[Request], bool],
        read_limits: Callable[[], CallerLimits],
        bodies: BodyBudget | None = None,
    ) -> None:
        self.bodies = bodies or BodyBudget(_UNBOUNDED)
        self.serve = serve
        self.is_idempotent = is_idempotent
        self.read_limits = read_limits
        self.close_after_answer = False
        self.connections: set[CallerConnection] = set()
        self.in_hand = 0
        self._accepting: gevent.Greenlet | None = None
        self._listener: socket | None = None

    def start(self, listener: socket) -> None:
        """Begin to accept connections."""
        self._listener = listener
        self._accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                accepted, peer = self._listener.accept()
            except OSError as error:
                # Out of descriptors, or a connection reset in the queue.
                _log.warning("accept failed", extra={"error": str(error)})
                gevent.sleep(0.05)
                continue
            connection = CallerConnection(self, accepted, peer[0])
            self.connections.add(connection)
            gevent.spawn(connection.run)

    def stop_accepting(self) -> None:
        """Take no new connections."""
        if self._accepting is not None:
            self._accepting.kill()
        if self._listener is not None:
            self._listener.close()

    def begin_stop(self) -> None:
        """Ask callers with each answer to go elsewhere."""
        self.close_after_answer = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection:
    """One caller's connection.

    A reader takes requests as they come, a writer sends answers in their
    order. The reader goes on while requests are worked on: it is the one
    who sees that the caller has left.

    Parameters
    ----------
    server : Server
        Who serves.
    connection : socket
        Accepted socket.
    caller : str
        IP address of its other end.
    """

    def __init__(
        self, server: Server, connection: socket, caller: str
    ) -> None:
        self._server = server
        self._socket = connection
        self._caller = caller
        self._turns: collections.deque[_Turn] = collections.deque()
        self._moved = Event()
        self._reading_done = False
        self._writer: gevent.Greenlet | None = None
        self._reader: gevent.Greenlet | None = None
        self._partial = False
        self._buffer = b""
        # Bytes of bodies that this connection holds.
        self._held = 0

    def run(self) -> None:
        """RequestHandler until either side closes."""
        try:
            set_probes(self._socket)
            self._reader = gevent.getcurrent()
            self._writer = gevent.spawn(self._write)
            self._read()
        except (OSError, h11.ProtocolError, gevent.Timeout):
            pass
        finally:
            self._leave()

    def _leave(self) -> None:
        """Cancel what is worked on: nobody waits for it any longer."""
        self._server.connections.discard(self)
        self._let_go(self._held)
        for turn in self._turns:
            if turn.task is not None and not turn.task.ready():
                turn.task.kill(block=False)
        self._turns.clear()
        if self._writer is not None:
            self._writer.kill(block=False)
        with contextlib.suppress(OSError):
            self._socket.close()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if not self._turns and not self._partial and self._reader:
            self._reader.kill(block=False)

    def _hold(self, size: int) -> None:
        if not self._server.bodies.take(size):
            raise _Rejected(503, _CROWDED_RETRY)
        self._held += size

    def _let_go(self, size: int) -> None:
        self._server.bodies.give_back(size)
        self._held -= size

    # Reading

    def _read(self) -> None:
        while not self._reading_done:
            request, parser = self._read_request()
            if request is None:
                break
            turn = _Turn(parser, request)
            self._wait_for_room(request)
            if self._reading_done:
                # It came behind an answer that closes: not read, as far
                # as the caller can tell, and sent again elsewhere.
                break
            self._turns.append(turn)
            turn.task = gevent.spawn(self._work, turn)
        self._watch_close()

    def _wait_for_room(self, request: Request) -> None:
        """Let unsafe requests go one after the other, others together."""
        while self._turns:
            alone = not self._server.is_idempotent(request) or not (
                self._server.is_idempotent(self._turns[-1].request)
            )
            if not alone and len(self._turns) < _MOST_PIPELINED:
                return
            self._receive_while_busy()

    def _receive_while_busy(self) -> None:
        """Wait until an answer has left, looking out for the close."""
        self._moved.clear()
        watcher = gevent.spawn(self._moved.wait)
        try:
            while not watcher.ready() and self._turns:
                with gevent.Timeout(0.05, False):
                    self._buffer += self._receive()
        finally:
            watcher.kill(block=False)

    def _receive(self) -> bytes:
        data = self._socket.recv(_BLOCK)
        if not data:
            raise ConnectionResetError("closed by the caller")
        return data

    def _watch_close(self) -> None:
        """Read on until the caller closes; what it sends is not served."""
        while True:
            with gevent.Timeout(_LINGER, False):
                self._receive()
                continue
            if not self._turns:
                return

    def _read_request(self) -> tuple[Request | None, h11.Connection]:
        limits = self._server.read_limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes + 4096
        )
        self._partial = bool(self._buffer)
        if self._buffer:
            parser.receive_data(self._buffer)
            self._buffer = b""
        try:
            request = self._parse(parser, limits)
        except _Rejected as error:
            self._reject(parser, error.make_answer())
            return None, parser
        self._partial = False
        self._buffer = parser.trailing_data[0]
        return request, parser

    def _parse(
        self, parser: h11.Connection, limits: CallerLimits
    ) -> Request | None:
        """Read one request; None when the caller closed before any."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._next_event(parser, limits)
            if isinstance(event, h11.Request):
                head = event
                if _has_two_lengths(event):
                    raise _Rejected(400)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _Rejected(413)
                self._hold(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return _make_request(head, bytes(body), self._caller)
            else:
                return None

    def _next_event(
        self, parser: h11.Connection, limits: CallerLimits
    ) -> h11.Event:
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                raise _Rejected(error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            if parser.they_are_waiting_for_100_continue:
                self._send_continue(parser)
            self._feed(parser, limits)

    def _feed(self, parser: h11.Connection, limits: CallerLimits) -> None:
        wait = limits.header_timeout if self._partial else limits.idle_timeout
        data = None
        while data is None:
            with gevent.Timeout(wait, False):
                data = self._receive()
            if data is None and (self._partial or not self._turns):
                raise ConnectionAbortedError("nothing came in time")
        self._partial = True
        parser.receive_data(data)

    def _send_continue(self, parser: h11.Connection) -> None:
        if not self._turns:
            self._socket.sendall(
                parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )

    def _reject(self, parser: h11.Connection, answer: Answer) -> None:
        """Answer a request that is not read, and end the connection."""
        turn = _Turn(parser, Request("GET", "/", [], b""))
        turn.answer = answer
        self._turns.append(turn)
        self._moved.set()
        while self._turns:
            gevent.sleep(0.01)

    # Working and writing

    def _work(self, turn: _Turn) -> None:
        self._server.in_hand += 1
        try:
            turn.answer = self._server.serve(turn.request)
        except Exception:
            _log.exception("request failed")
            turn.answer = Answer(502, [])
        finally:
            self._server.in_hand -= 1
            self._moved.set()

    def _write(self) -> None:
        while True:
            while not self._turns or self._turns[0].answer is None:
                self._moved.clear()
                self._moved.wait()
            turn = self._turns[0]
            last = self._server.close_after_answer or not turn.answer.reusable
            try:
                self._socket.sendall(_format_answer(turn, last))
                if last or turn.parser.our_state is not h11.DONE:
                    self._end()
                    return
            except OSError:
                self._reader.kill(block=False)
                return
            self._turns.popleft()
            self._let_go(len(turn.request.body))
            self._moved.set()

    def _end(self) -> None:
        """Close after an answer, without a reset that would destroy it.

        A socket closed with unread bytes in it is reset, and the reset
        overtakes what the caller has not read yet.
        """
        self._reading_done = True
        for turn in list(self._turns)[1:]:
            if turn.task is not None:
                turn.task.kill(block=False)
        self._turns.clear()
        with contextlib.suppress(OSError):
            self._socket.shutdown(SHUT_WR)
        gevent.spawn_later(_LINGER, self._reader.kill, block=False)


def _has_two_lengths(head: h11.Request) -> bool:
    """Tell whether a head says in two ways where its body ends.

    Two readers may believe different ones: what is a body to one is a
    request of its own to the other, which no caller has sent.
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


def _format_answer(turn: _Turn, last: bool) -> bytes:
    answer = turn.answer
    headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
    if last:
        headers.append(("Connection", "close"))
    parser = turn.parser
    data = parser.send(
        h11.Response(
            status_code=answer.status, headers=encode_headers(headers)
        )
    )
    if answer.body and turn.request.method != "HEAD":
        data += parser.send(h11.Data(data=answer.body))
    data += parser.send(h11.EndOfMessage())
    return data
