"""Orders to upstreams: grants and releases over connections kept for them."""

from collections.abc import Callable
import enum
import weakref

import msgspec

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.dialects import OrderRequest
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.daemons._hostmetrics import ORDERS
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.client import Connection
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request

_ANSWER_BYTES = 64 * 1024
_CONNECT_TIMEOUT = 0.5
_RELEASE_TIMEOUT = 3.0
_RESET_WAIT = 0.003
# Seconds; a process takes longer to start.
_MIN_RESTART_TIME = 0.1
_OK = 200


class OrderOutcome(enum.Enum):
    """What became of an order.

    Attributes
    ----------
    DONE
        The upstream obeyed.
    FENCED
        It has seen a higher fence.
    FOREIGN
        Another upstream has the address; the one that was meant has ended.
    RESTARTED
        Nothing has left this host: the upstream may have started again
        since it took the keys, and must not get them at the same fence.
    UNSENT
        Nothing has left this host.
    UNKNOWN
        It may have obeyed, or still may.
    """

    DONE = "done"
    FENCED = "fenced"
    FOREIGN = "foreign"
    RESTARTED = "restarted"
    UNSENT = "unsent"
    UNKNOWN = "unknown"


class OrderResult(msgspec.Struct, frozen=True):
    """What became of an order.

    Parameters
    ----------
    taken : OrderOutcome
        Whether it was obeyed.
    handover : str
        State that a release hands to the next owner.
    detail : str
        What went wrong, for people.
    """

    taken: OrderOutcome
    handover: str = ""
    detail: str = ""


class OrderClient:
    """Gives orders to one upstream.

    A full upstream resets new connections, so the connections are kept.

    A restarted upstream answers under the same name and address, and knows
    of no fence. Its entry in the registry comes up to a second later;
    until then only the connections tell. ``session`` counts how often it
    may have restarted: it refused a connection, or ended all that were
    open. A process that ends closes its connections before its successor
    takes one, so what a new connection leads to is known once it is open.

    Parameters
    ----------
    upstream : UpstreamName
        Which.
    address : str
        ``IP:port``.
    dialect : OrderDialect
        Form of the orders.
    grant_timeout : float
        Seconds after which an unanswered grant is taken back.
    settling : float
        Seconds to wait on a new connection for a reset.
    """

    def __init__(
        self,
        upstream: UpstreamName,
        address: str,
        dialect: OrderDialect,
        grant_timeout: float,
        reset_wait: float = _RESET_WAIT,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self._dialect = dialect
        self._grant_timeout = grant_timeout
        # An upstream that is full, or gone behind something that accepts for
        # it, resets a new connection. Seen before the send, the order has not
        # left; after it, the upstream may hold the keys for a whole life
        # more, and they stay dark for as long once it is known to be lost.
        self._pool = ConnectionPool(address, _ANSWER_BYTES, reset_wait)
        self._in_use: set[Connection] = set()
        self._opened: weakref.WeakKeyDictionary[Connection, int] = (
            weakref.WeakKeyDictionary()
        )
        self.session = 0

    def connect(self) -> bool:
        """Connect, unless a connection is kept; return whether one is open."""
        try:
            connection = self._take()
        except UpstreamError:
            return False
        self._pool.give_back(connection)
        return True

    def grant(
        self,
        keys: KeyRange,
        fence: Fence,
        handover: str,
        prepare: Callable[[], float | None],
    ) -> OrderResult:
        """Give keys.

        Parameters
        ----------
        prepare : callable
            Called when the order can leave at once; returns its life, or
            None when it may not be sent any more.
        """

        def make_order() -> OrderRequest | None:
            life = prepare()
            if life is None:
                return None
            return self._dialect.make_grant(
                self.upstream, keys, fence, life, handover
            )

        result = self._send(make_order)
        self._log("grant", keys, fence, result)
        return result

    def release(
        self,
        keys: KeyRange,
        fence: Fence,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Take keys back; answered when the work on them has ended.

        Parameters
        ----------
        may_send : callable
            Called when the order can leave at once; returns whether it may.
        """

        def make_order() -> OrderRequest | None:
            if not may_send():
                return None
            return self._dialect.make_release(self.upstream, keys, fence)

        result = self._send(make_order, _RELEASE_TIMEOUT)
        self._log("release", keys, fence, result)
        return result

    def _log(
        self, order: str, keys: KeyRange, fence: Fence, result: OrderResult
    ) -> None:
        ORDERS.labels(order, result.taken.value).inc()
        if order == "grant" and result.taken is OrderOutcome.DONE:
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
        )

    def _send(
        self,
        make_order: Callable[[], OrderRequest | None],
        timeout: float | None = None,
    ) -> OrderResult:
        try:
            connection = self._take()
        except UpstreamError as error:
            return OrderResult(OrderOutcome.UNSENT, detail=error.detail)
        self._in_use.add(connection)
        try:
            return self._send_on(connection, make_order, timeout)
        finally:
            self._in_use.discard(connection)

    def _take(self) -> Connection:
        """Return a connection, and note what it tells of a restart."""
        kept = self._pool.has_idle
        try:
            connection = self._pool.take(_CONNECT_TIMEOUT)
        except UpstreamError as error:
            # One that was accepted and reset came to a full upstream.
            if kept or error.code is not ErrorCode.UPSTREAM_FULL:
                self._note_closed()
            raise
        if connection not in self._opened:
            if kept:
                self._note_closed()
            # Another order may be on a connection that has ended meanwhile,
            # and not know it yet.
            for other in self._in_use:
                if other.ended:
                    self._note_closed(other)
            self._opened[connection] = self.session
        return connection

    def _note_closed(self, ended: Connection | None = None) -> None:
        """Take in that the upstream ended a connection, or took none.

        While another is open it is the same process as before.

        Parameters
        ----------
        ended : Connection or None
            Which; None when it was not in use.
        """
        if ended is not None and self._opened.get(ended) != self.session:
            # An end of a session that is known to be over.
            return
        self._pool.prune()
        alive = any(not each.ended for each in self._in_use - {ended})
        if not alive and not self._pool.has_idle:
            self.session += 1

    def _reconnect(self, ended: Connection, sent_at: float) -> None:
        """Open a connection in place of one whose end was announced.

        What listens when the next order is due may be another start. Within
        a tenth of a second of the order it is the process that answered it:
        none starts again in so short a time. The clock is read once the
        connection is open, since this host may have been paused before.

        Parameters
        ----------
        ended : Connection
            The one that ends.
        sent_at : float
            Own clock right before the order was sent on it.
        """
        if self._pool.has_idle:
            return
        try:
            connection = self._pool.take(_MIN_RESTART_TIME)
        except UpstreamError:
            self._note_closed(ended)
            return
        if read_clock() - sent_at > _MIN_RESTART_TIME:
            self._note_closed(ended)
        self._opened[connection] = self.session
        self._pool.give_back(connection)

    def _send_on(
        self,
        connection: Connection,
        make_order: Callable[[], OrderRequest | None],
        timeout: float | None,
    ) -> OrderResult:
        order = make_order()
        if order is None:
            self._pool.give_back(connection)
            return OrderResult(OrderOutcome.UNSENT)
        request = Request(
            "POST",
            order.path,
            [("Host", self.address), *order.headers],
            order.body,
        )
        sent_at = read_clock()
        try:
            answer = connection.exchange(
                request, timeout or self._grant_timeout
            )
        except UpstreamError as error:
            if error.code is not ErrorCode.UPSTREAM_SILENT:
                self._note_closed(connection)
            return OrderResult(OrderOutcome.UNKNOWN, detail=error.detail)
        self._pool.give_back(connection)
        if not connection.is_open:
            self._reconnect(connection, sent_at)
        return self._read_result(answer)

    def _read_result(self, answer: Answer) -> OrderResult:
        if answer.status == _OK:
            handover = self._dialect.read_handover(answer.headers)
            return OrderResult(OrderOutcome.DONE, handover)
        if self._dialect.is_fenced(answer.status):
            return OrderResult(OrderOutcome.FENCED)
        if self._dialect.is_misdirected(answer.status):
            return OrderResult(OrderOutcome.FOREIGN)
        # What else it says is no proof of anything.
        return OrderResult(
            OrderOutcome.UNKNOWN, detail=f"status {answer.status}"
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
