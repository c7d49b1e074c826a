"""Channels to upstreams: connections, a window, and a queue of requests."""

import gevent
from gevent.event import Event

from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.answerids import AnswerIds
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.idleconnections import IdleLimit
from sedgetide.core.requests.owedanswers import OwedAnswers
from sedgetide.core.requests.windowqueue import WindowQueue
from sedgetide.core.requests.windows import Window
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.client import ConnectionPool

# Seconds to wait for the reset of a full upstream. It arrives within 1.5 ms;
# this is twice that.
_RESET_WAIT = 0.003


class UpstreamChannel:
    """Connections, window and health of one upstream, as seen by this host.

    Parameters
    ----------
    upstream : RegisteredUpstream
        The upstream.
    body_limit : int
        Largest body accepted in an answer.
    idle_limit : IdleLimit
        How long connections may stay idle. Shared by all upstreams of a
        service, since a single one gets too few requests to learn it from.
    memory : BodyBudget or None
        Memory for unfinished answers of all servers; None for no limit.
    """

    def __init__(
        self,
        upstream: RegisteredUpstream,
        body_limit: int,
        idle_limit: IdleLimit,
        memory: BodyBudget | None = None,
    ) -> None:
        self.pool = ConnectionPool(
            upstream.address, body_limit, _RESET_WAIT, memory
        )
        self.idle_limit = idle_limit
        self.window = Window(upstream.slots)
        self.health = UpstreamHealth()
        self.owed = OwedAnswers()
        self.answer_ids = AnswerIds()
        self._queue: WindowQueue[Event] = WindowQueue(self.window, self.health)
        self._timer: gevent.Greenlet | None = None

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for the window to open."""
        return len(self._queue)

    def has_room(self, rank: int) -> bool:
        """Return whether the window admits a request of a rank at once."""
        return self._queue.has_room(read_clock(), rank)

    def acquire(self, priority: int, wait: float, rank: int = 0) -> bool:
        """Wait until the window admits a request; return whether it did.

        Parameters
        ----------
        priority : int
            Lower is more urgent.
        wait : float
            Seconds for which it may wait. A request that is expected to wait
            longer is refused at once.
        rank : int
            Rank among requests of equal priority.
        """
        now = read_clock()
        if self._queue.try_enter(now, rank):
            return True
        if self._queue.is_wait_too_long(priority, wait, now, rank):
            return False
        waiter = Event()
        self._queue.push(waiter, priority, rank)
        self.admit()
        admitted = False
        try:
            waiter.wait(wait)
            admitted = waiter.is_set()
            return admitted
        finally:
            if not admitted:
                self._cancel_wait(waiter)

    def force_acquire(self) -> None:
        """Count a request as in flight whatever the window allows.

        Used for requests with a place granted by the lender.
        """
        self.window.in_flight += 1

    def estimate_wait(self, priority: int, rank: int = 0) -> float:
        """Return the shortest expected wait of a new request, in seconds."""
        return self._queue.estimate_wait(priority, read_clock(), rank)

    def _cancel_wait(self, waiter: Event) -> None:
        """Remove a waiter from the queue, or release its slot if admitted.

        A caller may disconnect in the same loop iteration in which its
        request is admitted; without the release the window would lose that
        slot for good.
        """
        if not self._queue.remove(waiter):
            self.release()

    def release(self) -> None:
        """End a request in flight and admit waiting ones."""
        self._queue.note_end(read_clock())
        self.admit()

    def admit(self) -> None:
        """Admit as many requests as the window allows, most urgent first."""
        now = read_clock()
        for waiter in self._queue.take(now):
            waiter.set()
        opening = self._queue.find_opening(now)
        if opening is not None and opening > now:
            self._schedule_admit(opening, now)

    def _schedule_admit(self, opening: float, now: float) -> None:
        if self._timer is None or self._timer.ready():
            self._timer = gevent.spawn_later(opening - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.admit()

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


class UpstreamChannels:
    """Channels to all upstreams of a host, opened on first use.

    Parameters
    ----------
    body_limit : int
        Largest body accepted in an answer.
    memory : BodyBudget or None
        Memory for unfinished answers of all servers; None for no limit.
    """

    def __init__(
        self, body_limit: int, memory: BodyBudget | None = None
    ) -> None:
        self._body_limit = body_limit
        self._memory = memory
        self._channels: dict[str, UpstreamChannel] = {}
        self._idle_limits: dict[ServiceName, IdleLimit] = {}

    def find(self, upstream: RegisteredUpstream) -> UpstreamChannel:
        """Return the channel to an upstream."""
        channel = self._channels.get(upstream.name)
        if channel is None:
            idle_limit = self._idle_limits.setdefault(
                upstream.service, IdleLimit()
            )
            channel = UpstreamChannel(
                upstream, self._body_limit, idle_limit, self._memory
            )
            self._channels[upstream.name] = channel
        return channel

    def prune(self, known: set[str]) -> None:
        """Close unused channels to unregistered upstreams, and prune others.

        Parameters
        ----------
        known : set of str
            Names of the registered upstreams.
        """
        for name in list(self._channels):
            channel = self._channels[name]
            if name not in known and not channel.window.in_flight:
                self._channels.pop(name).close()
            else:
                channel.pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        for channel in self._channels.values():
            channel.close()
