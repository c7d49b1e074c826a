"""Client that sends grants and releases of key ranges to one upstream."""

from collections.abc import Callable
import enum
import uuid

import msgspec

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.dialects import OrderRequest
from sedgetide.core.errors import AnswerCutError
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.silence import Silence
from sedgetide.core.requests.answerids import AnswerIds
from sedgetide.daemons._hostmetrics import ORDERS
from sedgetide.daemons._orderconnections import PlainConnections
from sedgetide.daemons._orderconnections import ProvenConnections
from sedgetide.daemons._upstreampath import IgnoredPath
from sedgetide.daemons._upstreampath import PathObserver
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.client import Connection
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.delivery import DeliveryLimit
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Headers
from sedgetide.wire.messages import Request

_ANSWER_BYTES = 64 * 1024
_RELEASE_TIMEOUT = 3.0
_RESET_WAIT = 0.003
# Seconds between the decision to send an order and its send. Longer pauses
# are rare, and an order from before one is prepared again.
_MAX_SEND_DELAY = 0.05
_MAX_PREPARATIONS = 3
# Seconds from the decision to the answer above which a grant is logged.
_SLOW_GRANT = 0.3
_OK = 200
IGNORED_PATH = IgnoredPath()


class OrderOutcome(enum.Enum):
    """Outcome of an order.

    Attributes
    ----------
    DONE
        The upstream carried out the order.
    FENCED
        The upstream rejected the order as it has seen a higher fencing
        token.
    FOREIGN
        Another upstream answered at the address; the addressee has ended.
    RESTARTED
        The order wasn't sent: the upstream may have restarted since it was
        granted the keys, and must not get them again at the same fence.
    BLOCKED
        The order wasn't sent, as others used all connections.
    UNSENT
        The order wasn't sent.
    UNKNOWN
        The upstream may have carried out the order, or may still do so.
    """

    DONE = "done"
    FENCED = "fenced"
    FOREIGN = "foreign"
    RESTARTED = "restarted"
    BLOCKED = "blocked"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class OrderResult(msgspec.Struct, frozen=True):
    """Result of an order.

    Parameters
    ----------
    taken : OrderOutcome
        Outcome of the order.
    handover : str
        State that the old owner returns with a release, to be passed to the
        next owner with its grant.
    detail : str
        Human-readable error message.
    identified : bool
        Whether the answer is certainly that to this order. If not, the order
        may still arrive, until the limit of its delivery.
    decided_at : float or None
        Own clock when it was decided that the order may be sent; None if it
        wasn't sent.
    """

    taken: OrderOutcome
    handover: str = ""
    detail: str = ""
    identified: bool = True
    decided_at: float | None = None


class _PreparedOrder(msgspec.Struct, frozen=True):
    """An order, and when it was decided that it may be sent."""

    request: OrderRequest
    decided_at: float


class OrderClient:
    """Sends orders to one upstream.

    An upstream at its connection limit resets new connections, so
    connections are kept open.

    A restarted upstream answers under the same name and address, and has
    lost its highest fencing token. Its registry entry is updated up to a
    second later; until then a restart shows only in the connections.
    Grants go only to connections that lead to the process of the current
    ``session``; see :class:`OrderConnections`.

    An upstream may send an extra answer late, where that to the next order
    is expected. Each order has an id, which the upstream echoes; answers with
    another one are skipped, and those without one too if the upstream echoes
    ids. The first answer on a connection can't be an extra one. So a release
    goes to a new connection if the upstream echoes no ids, while its grants
    count as delivered only at their limit.

    Parameters
    ----------
    upstream : UpstreamName
        Name of the upstream.
    address : str
        ``IP:port``.
    dialect : OrderDialect
        Encodes orders for the upstream.
    grant_timeout : float
        Seconds after which an unanswered grant is aborted.
    reset_wait : float
        Seconds to wait on a new connection for a reset.
    path : PathObserver
        Records whether the upstream is reached.
    may_restart : bool
        Whether a later process may have the same name. Another one refuses
        orders by itself.

    Attributes
    ----------
    silence : Silence
        Orders without an answer since the upstream's last one.
    """

    def __init__(
        self,
        upstream: UpstreamName,
        address: str,
        dialect: OrderDialect,
        grant_timeout: float,
        reset_wait: float = _RESET_WAIT,
        path: PathObserver = IGNORED_PATH,
        may_restart: bool = True,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self._dialect = dialect
        self._grant_timeout = grant_timeout
        self._path = path
        # An upstream that is at its connection limit, or lost behind a proxy
        # that accepts for it, resets new connections. If the reset is seen
        # before the send, the order certainly wasn't sent. After the send the
        # upstream may hold the keys for a whole grant life, and they would be
        # unavailable for that long once the upstream is lost.
        pool = ConnectionPool(address, _ANSWER_BYTES, reset_wait)
        self._connections = (
            ProvenConnections(upstream, pool, path, 2.0 * grant_timeout)
            if may_restart
            else PlainConnections(upstream, pool, path)
        )
        # Connections whose last order was acknowledged, and not answered.
        self._arrived: set[Connection] = set()
        self._answer_ids = AnswerIds()
        self.silence = Silence()

    @property
    def session(self) -> int:
        """Number of processes that may have had the upstream's name so far."""
        return self._connections.session

    def connect(self) -> bool:
        """Ensure that a connection is open; return whether that succeeded."""
        try:
            connection = self._connections.take()
        except UpstreamError:
            return False
        self._connections.give_back(connection)
        return True

    def grant(
        self,
        keys: KeyRange,
        fence: Fence,
        handover: str,
        prepare: Callable[[], float | None],
    ) -> OrderResult:
        """Grant keys to the upstream.

        Parameters
        ----------
        keys : KeyRange
            Keys to grant.
        fence : Fence
            Fencing token of the grant.
        handover : str
            State returned by the previous owner.
        prepare : callable
            Called right before the send, with the connection open. Returns
            the life of the grant, or None to cancel it. Called again if this
            process is paused before the send.
        """

        def make_order() -> _PreparedOrder | None:
            # A pause after the decision must count as a delay of the order.
            decided_at = read_clock()
            life = prepare()
            if life is None:
                return None
            request = self._dialect.make_grant(
                self.upstream, keys, fence, life, handover
            )
            return _PreparedOrder(request, decided_at)

        began = read_clock()
        result = self._send(make_order)
        self._log("grant", keys, fence, result, began)
        return result

    def release(
        self,
        keys: KeyRange,
        fence: Fence,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Release keys; the answer comes once requests for them are done.

        Parameters
        ----------
        keys : KeyRange
            Keys to release.
        fence : Fence
            Fencing token of the release.
        may_send : callable
            Called right before the send, with the connection open. Returns
            whether the order may still be sent. Called again if this process
            is paused before the send.
        """

        def make_order() -> _PreparedOrder | None:
            decided_at = read_clock()
            if not may_send():
                return None
            request = self._dialect.make_release(self.upstream, keys, fence)
            return _PreparedOrder(request, decided_at)

        began = read_clock()
        result = self._send(make_order, _RELEASE_TIMEOUT, certain=True)
        self._log("release", keys, fence, result, began)
        return result

    def _log(
        self,
        order: str,
        keys: KeyRange,
        fence: Fence,
        result: OrderResult,
        began: float,
    ) -> None:
        """Log an order, unless it is a grant that was answered soon."""
        ORDERS.labels(order, result.taken.value).inc()
        now = read_clock()
        decided_at = now if result.decided_at is None else result.decided_at
        slow = now - decided_at > _SLOW_GRANT
        done = result.taken is OrderOutcome.DONE
        if order == "grant" and done and not slow:
            return
        log_event(
            Event.ORDER,
            order=order,
            upstream=self.upstream,
            low=keys.low,
            high=keys.high,
            fence=fence,
            taken=result.taken.value,
            detail=result.detail,
            waited=f"{decided_at - began:.3f}",
            seconds=f"{now - decided_at:.3f}",
        )

    def _send(
        self,
        make_order: Callable[[], _PreparedOrder | None],
        timeout: float | None = None,
        certain: bool = False,
    ) -> OrderResult:
        """Send an order.

        Parameters
        ----------
        certain : bool
            Whether only an answer counts that is certainly to this order.
        """
        try:
            if certain:
                fresh = not self._answer_ids.are_named
                connection = self._connections.take_for_release(fresh)
            else:
                connection = self._connections.take()
        except UpstreamError as error:
            blocked = error.code is ErrorCode.CONNECTIONS_IN_USE
            taken = OrderOutcome.BLOCKED if blocked else OrderOutcome.UNSENT
            return OrderResult(taken, detail=error.detail)
        finished = False
        try:
            result = self._send_on(connection, make_order, timeout, certain)
            finished = True
            return result
        finally:
            if not finished:
                # This order was cancelled.
                connection.abort()
                self._connections.note_ended(connection)

    def _send_on(
        self,
        connection: Connection,
        make_order: Callable[[], _PreparedOrder | None],
        timeout: float | None,
        certain: bool,
    ) -> OrderResult:
        for _ in range(_MAX_PREPARATIONS):
            order = make_order()
            if order is None:
                break
            try:
                result = self._exchange(connection, order, timeout, certain)
                return _date(result, order)
            except UpstreamError as error:
                if error.code is not ErrorCode.TOO_LATE:
                    self.silence.note_unanswered(order.decided_at)
                    result = self._note_failure(connection, order, error)
                    return _date(result, order)
                if not connection.is_open:
                    # A part was sent; no upstream carries out a part.
                    break
        self._connections.give_back(connection)
        return OrderResult(OrderOutcome.UNSENT)

    def _exchange(
        self,
        connection: Connection,
        order: _PreparedOrder,
        timeout: float | None,
        certain: bool,
    ) -> OrderResult:
        number = uuid.uuid4().hex
        is_first = not connection.answered

        def is_own_answer(headers: Headers) -> bool:
            return self._answer_ids.is_own(
                self._read_id(headers), number, is_first, certain
            )

        answer = connection.exchange(
            Request(
                "POST",
                order.request.path,
                [
                    ("Host", self.address),
                    (self._dialect.id_header, number),
                    *order.request.headers,
                ],
                order.request.body,
            ),
            timeout or self._grant_timeout,
            is_own_answer,
            DeliveryLimit(
                order.decided_at + _MAX_SEND_DELAY,
                self._grant_timeout - _MAX_SEND_DELAY,
            ),
            lambda: self._note_timeout(connection),
        )
        self._answer_ids.note_answer(self._read_id(answer.headers))
        identified = self._answer_ids.are_named or is_first
        if identified:
            connection.lift_delivery_limit()
        self._path.note_answer()
        self.silence.note_answer()
        self._connections.note_answered(connection, order.decided_at)
        return self._read_result(answer, identified)

    def _note_timeout(self, connection: Connection) -> None:
        """Record at the end of an order's time whether it has arrived.

        The host of a process that has ended doesn't acknowledge the order,
        but resets the connection.
        """
        if not connection.stalled:
            self._arrived.add(connection)

    def _read_id(self, headers: Headers) -> str | None:
        return find_header(headers, self._dialect.id_header.lower())

    def _note_failure(
        self,
        connection: Connection,
        order: _PreparedOrder,
        error: UpstreamError,
    ) -> OrderResult:
        arrived = connection in self._arrived
        self._arrived.discard(connection)
        if error.code is ErrorCode.UPSTREAM_SILENT:
            self._path.note_silence()
        if arrived or isinstance(error, AnswerCutError):
            # This host has ended the connection, and not the upstream.
            self._connections.note_unanswered(connection, order.decided_at)
        elif error.code is ErrorCode.UPSTREAM_SILENT:
            self._connections.note_path_lost(connection)
        self._connections.note_ended(connection)
        return OrderResult(OrderOutcome.UNKNOWN, detail=error.detail)

    def _read_result(self, answer: Answer, identified: bool) -> OrderResult:
        handover = detail = ""
        if answer.status == _OK:
            taken = OrderOutcome.DONE
            handover = self._dialect.read_handover(answer.headers)
        elif self._dialect.is_fenced(answer.status):
            taken = OrderOutcome.FENCED
        elif self._dialect.is_misdirected(answer.status):
            taken = OrderOutcome.FOREIGN
        else:
            # No other status proves whether the order was carried out.
            taken = OrderOutcome.UNKNOWN
            detail = f"status {answer.status}"
        return OrderResult(taken, handover, detail, identified)

    def close(self) -> None:
        """Close all connections."""
        self._connections.close()


def _date(result: OrderResult, order: _PreparedOrder) -> OrderResult:
    """Return the result of an order with the time of its decision."""
    return msgspec.structs.replace(result, decided_at=order.decided_at)
