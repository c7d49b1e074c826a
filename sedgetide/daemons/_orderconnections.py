"""Connections on which a leader sends orders to one upstream."""

import abc
from collections.abc import Callable

from gevent.event import Event as Wake
from gevent.lock import BoundedSemaphore

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.continuity import ProcessContinuity
from sedgetide.daemons._upstreampath import PathObserver
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.client import Connection
from sedgetide.wire.client import ConnectionPool

_CONNECT_TIMEOUT = 0.5
_SPARE_TIMEOUT = 0.1
# Seconds until another spare is tried. An upstream at its connection limit
# resets each of them.
_SPARE_RETRY_DELAY = 5.0
# One for each order that renewals send at the same time, and a spare.
_MAX_IDLE = 4
# Seconds between two looks at whether the orders under way have arrived.
_CHECK_INTERVAL = 0.02
# Seconds after which an idle connection is used before others, so that
# upstreams don't close it.
_MAX_REST = 2.0


class OrderConnections(abc.ABC):
    """Connections on which a leader sends orders to one upstream.

    Parameters
    ----------
    upstream : UpstreamName
        Name of the upstream.
    pool : ConnectionPool
        Idle connections to its address.
    path : PathObserver
        Records whether the upstream is reached.
    """

    def __init__(
        self, upstream: UpstreamName, pool: ConnectionPool, path: PathObserver
    ) -> None:
        self._upstream = upstream
        self._pool = pool
        self._path = path

    @property
    @abc.abstractmethod
    def session(self) -> int:
        """Number of processes that may have been at the address so far."""

    @abc.abstractmethod
    def take(self) -> Connection:
        """Return a connection to the process of the current session.

        Raises
        ------
        UpstreamError
            With ``sent`` false, if there is none and none can be opened.
        """

    @abc.abstractmethod
    def take_for_release(self, fresh: bool) -> Connection:
        """Return a connection for an order that any process may get.

        Such an order takes up to seconds, so the connections that renewals
        need are left to them if another one can be opened.

        Parameters
        ----------
        fresh : bool
            Whether it has to be a new one.

        Raises
        ------
        UpstreamError
            As in :meth:`take`.
        """

    @abc.abstractmethod
    def note_answered(self, connection: Connection, sent_at: float) -> None:
        """Take back a connection on which an order was answered.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the order was sent, at the earliest.
        """

    @abc.abstractmethod
    def note_unanswered(self, connection: Connection, sent_at: float) -> None:
        """Record that an order has arrived, and got no whole answer."""

    @abc.abstractmethod
    def note_path_lost(self, connection: Connection) -> None:
        """Record that an order did not arrive on an open connection."""

    @abc.abstractmethod
    def note_ended(self, connection: Connection) -> None:
        """Record that a connection has ended or was given up."""

    @abc.abstractmethod
    def give_back(self, connection: Connection) -> None:
        """Take back a connection on which nothing was sent."""

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _connect(
        self, take: Callable[[float], Connection], timeout: float
    ) -> Connection:
        """Return a connection of the pool, and record what the path is like.

        Parameters
        ----------
        take : callable
            Returns a connection of the pool within a time in seconds.
        """
        try:
            connection = take(timeout)
        except UpstreamError as error:
            # An accepted connection that is reset only shows that the
            # upstream is at its connection limit.
            if error.code is ErrorCode.UPSTREAM_FULL:
                self._path.note_connected()
            else:
                self._path.note_missed()
            raise
        if connection.is_new:
            self._path.note_connected()
        return connection


class PlainConnections(OrderConnections):
    """Connections to an upstream whose name no later process has.

    Another process refuses orders for this one by itself, so there is one
    session.
    """

    session = 0

    def take(self) -> Connection:
        return self._connect(self._pool.take, _CONNECT_TIMEOUT)

    def take_for_release(self, fresh: bool) -> Connection:
        take = self._pool.open if fresh else self._pool.take
        return self._connect(take, _CONNECT_TIMEOUT)

    def note_answered(self, connection: Connection, sent_at: float) -> None:
        self.give_back(connection)

    def note_unanswered(self, connection: Connection, sent_at: float) -> None:
        """Do nothing."""

    def note_path_lost(self, connection: Connection) -> None:
        """Do nothing."""

    def note_ended(self, connection: Connection) -> None:
        """Do nothing."""

    def give_back(self, connection: Connection) -> None:
        self._pool.give_back(connection)
        self._pool.trim(_MAX_IDLE)


class ProvenConnections(OrderConnections):
    """Connections to an upstream that may restart under its name.

    A restarted process has lost its highest fencing token. Until the registry
    shows its restart, only connections tell it from the former one; see
    :class:`ProcessContinuity`. So one more is open than orders use, if the
    upstream accepts it: an answer on one proves that the others lead to the
    same process, and one may end at any time.

    Parameters
    ----------
    upstream, pool, path : UpstreamName, ConnectionPool, PathObserver
        As of the base class.
    max_wait : float
        Seconds to wait for a connection that other orders use.
    """

    def __init__(
        self,
        upstream: UpstreamName,
        pool: ConnectionPool,
        path: PathObserver,
        max_wait: float,
    ) -> None:
        super().__init__(upstream, pool, path)
        self._max_wait = max_wait
        self._continuity: ProcessContinuity[Connection] = ProcessContinuity()
        self._returned = Wake()
        self._opening = BoundedSemaphore(1)
        self._failure: UpstreamError | None = None
        self._failed_at = float("-inf")
        self._spare_failed_at = float("-inf")

    @property
    def session(self) -> int:
        return self._continuity.session

    def take(self) -> Connection:
        deadline = read_clock() + self._max_wait
        while read_clock() < deadline:
            self._returned.clear()
            connection = self._take_proven() or self._begin_session()
            if connection is not None:
                self._open_spare()
                return connection
            self._open_spare()
            self._returned.wait(_CHECK_INTERVAL)
        raise UpstreamError(
            ErrorCode.CONNECTIONS_IN_USE,
            Step.CONNECT,
            self._pool.address,
            "other orders use all connections",
            sent=False,
        )

    def _take_proven(self) -> Connection | None:
        """Return an idle connection that is proven, if any."""
        is_proven = self._continuity.is_proven
        connection = self._pool.take_idle(
            lambda each: is_proven(each) and each.rested > _MAX_REST,
            oldest=True,
        ) or self._pool.take_idle(is_proven)
        if connection is None:
            self._drop_ended()
            self._check_deliveries()
            connection = self._pool.take_idle(is_proven)
        return connection

    def _check_deliveries(self) -> None:
        """Find out which orders under way have arrived."""
        for each in self._continuity.list_known():
            if each.stalled:
                self.note_path_lost(each)
            else:
                self._continuity.note_alive(each, each.delivered_at)

    def _drop_ended(self) -> None:
        """Find out which connections have ended."""
        self._pool.prune()
        for each in self._continuity.list_known():
            if each.ended:
                self._continuity.note_ended(each)
        # The session of the others has ended.
        self._pool.drop(lambda each: not self._continuity.is_known(each))

    def _begin_session(self) -> Connection | None:
        """Open the first connection of a session; return None if it has one.

        Connections that are opened at the same time may lead to a process
        and to its successor.
        """
        began = read_clock()
        with self._opening:
            if self._continuity.has_proven:
                return None
            if self._failure is not None and self._failed_at > began:
                raise self._failure
            try:
                return self._open_known(_CONNECT_TIMEOUT)
            except UpstreamError as error:
                self._failure, self._failed_at = error, read_clock()
                if error.code is not ErrorCode.UPSTREAM_FULL:
                    self._continuity.note_refused()
                raise

    def _open_known(self, timeout: float) -> Connection:
        """Open a connection that is or may become proven."""
        connect_at = read_clock()
        connection = self._connect(self._pool.open, timeout)
        self._note_opened(connection, connect_at)
        return connection

    def _note_opened(self, connection: Connection, connect_at: float) -> None:
        begins_session = not self._continuity.has_proven
        self._continuity.note_opened(
            connection, connect_at, connection.opened_at
        )
        log_event(
            Event.ORDER_CONNECTION,
            upstream=self._upstream,
            port=connection.local_port,
            session=self.session,
            proven=begins_session,
            others=len(self._continuity.list_known()) - 1,
        )

    def _open_spare(self) -> None:
        """Open a connection if none is idle.

        If the orders on all others end without answers, it shows that the
        process is the same.
        """
        if self._pool.count_idle() > 0:
            return
        if read_clock() - self._spare_failed_at < _SPARE_RETRY_DELAY:
            return
        connect_at = read_clock()
        try:
            connection = self._pool.open(_SPARE_TIMEOUT)
        except UpstreamError:
            # Its short time limit says nothing about the path, on which
            # another connection is open.
            self._spare_failed_at = read_clock()
            return
        self._note_opened(connection, connect_at)
        self._pool.give_back(connection)

    def take_for_release(self, fresh: bool) -> Connection:
        self._drop_ended()
        connection = None
        if not fresh and self._pool.count_idle() > 1:
            connection = self._pool.take_idle(lambda _: True)
        if connection is None:
            connection = self._open_for_release(fresh)
        return connection

    def _open_for_release(self, fresh: bool) -> Connection:
        try:
            return self._open_known(_CONNECT_TIMEOUT)
        except UpstreamError as error:
            if error.code is not ErrorCode.UPSTREAM_FULL:
                self._continuity.note_refused()
            connection = None if fresh else self._take_proven()
            if connection is None:
                raise
            return connection

    def note_answered(self, connection: Connection, sent_at: float) -> None:
        self._continuity.note_alive(connection, sent_at)
        self.give_back(connection)

    def give_back(self, connection: Connection) -> None:
        proven = self._continuity.is_proven(connection)
        kept = self._continuity.is_known(connection) and not connection.is_new
        if connection.is_open and (proven or kept):
            self._pool.give_back(connection)
            self._pool.trim(_MAX_IDLE)
            self._returned.set()
        else:
            connection.close()
            self.note_ended(connection)

    def note_unanswered(self, connection: Connection, sent_at: float) -> None:
        self._continuity.note_alive(connection, sent_at)
        # Others may be as silent, and each costs the time of an order. One is
        # enough to prove that a new one leads to the same process.
        self._pool.trim(1)

    def note_path_lost(self, connection: Connection) -> None:
        if not self._continuity.is_known(connection):
            # It is one of an earlier session.
            return
        self._continuity.note_path_lost()
        self._pool.drop(lambda _: True)
        self._returned.set()

    def note_ended(self, connection: Connection) -> None:
        self._continuity.note_ended(connection)
        self._drop_ended()
        self._returned.set()
