"""Ways to upstreams: connections, a window, and those who wait for it."""

import gevent
from gevent.event import Event

from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.idleconnections import IdleLimit
from sedgetide.core.requests.windowqueue import WindowQueue
from sedgetide.core.requests.windows import Window
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.client import ConnectionPool

# A full upstream's reset arrives within 1.5 ms; twice that is waited for.
_SETTLING = 0.003


class UpstreamChannel:
    """Way from this host to one upstream.

    Parameters
    ----------
    upstream : RegisteredUpstream
        Where it leads.
    body_limit : int
        Largest body accepted in an answer.
    rests : IdleLimit
        How long its connections may rest; of all upstreams of the service,
        since one alone is sent too little to learn it from.
    """

    def __init__(
        self,
        upstream: RegisteredUpstream,
        body_limit: int,
        rests: IdleLimit,
    ) -> None:
        self.pool = ConnectionPool(upstream.address, body_limit, _SETTLING)
        self.rests = rests
        self.window = Window(upstream.slots)
        self.health = UpstreamHealth()
        self._queue: WindowQueue[Event] = WindowQueue(self.window, self.health)
        self._timer: gevent.Greenlet | None = None

    @property
    def queue_length(self) -> int:
        """Number of requests that wait for the window."""
        return len(self._queue)

    def enter(self, priority: int, wait: float) -> bool:
        """Wait for a place in the window; return whether one was got."""
        now = read_clock()
        if self._queue.try_enter(now):
            return True
        if self._queue.is_wait_too_long(priority, wait, now):
            return False
        turn = Event()
        self._queue.push(turn, priority)
        self.admit()
        admitted = False
        try:
            turn.wait(wait)
            admitted = turn.is_set()
            return admitted
        finally:
            if not admitted:
                self._withdraw(turn)

    def occupy(self) -> None:
        """Take a place whatever the window says: a lender has granted it."""
        self.window.in_flight += 1

    def estimate_wait(self, priority: int) -> float:
        """Return after how long a request might get a place, at best."""
        return self._queue.estimate_wait(priority, read_clock())

    def _withdraw(self, turn: Event) -> None:
        """Give up a wait, or the place that it has just got.

        A caller may leave in the very turn in which its request is let in;
        without this its place would be lost for good.
        """
        if not self._queue.remove(turn):
            self.leave()

    def leave(self) -> None:
        """Give the place to whoever is next."""
        self._queue.note_end(read_clock())
        self.admit()

    def admit(self) -> None:
        """Let in as many as the window holds, the most urgent first."""
        now = read_clock()
        for turn in self._queue.take(now):
            turn.set()
        opening = self._queue.find_opening(now)
        if opening is not None and opening > now:
            self._admit_at(opening, now)

    def _admit_at(self, opening: float, now: float) -> None:
        if self._timer is None or self._timer.ready():
            self._timer = gevent.spawn_later(opening - now, self._on_time)

    def _on_time(self) -> None:
        self._timer = None
        self.admit()

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


class UpstreamChannels:
    """All ways of a host, opened when first used.

    Parameters
    ----------
    body_limit : int
        Largest body accepted in an answer.
    """

    def __init__(self, body_limit: int) -> None:
        self._body_limit = body_limit
        self._lanes: dict[str, UpstreamChannel] = {}
        self._rests: dict[ServiceName, IdleLimit] = {}

    def find(self, upstream: RegisteredUpstream) -> UpstreamChannel:
        """Return the way to an upstream."""
        lane = self._lanes.get(upstream.name)
        if lane is None:
            rests = self._rests.setdefault(upstream.service, IdleLimit())
            lane = UpstreamChannel(upstream, self._body_limit, rests)
            self._lanes[upstream.name] = lane
        return lane

    def prune(self, known: set[str]) -> None:
        """Close the ways to upstreams that are gone."""
        for name in list(self._lanes):
            lane = self._lanes[name]
            if name not in known and not lane.window.in_flight:
                self._lanes.pop(name).close()
            else:
                lane.pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        for lane in self._lanes.values():
            lane.close()
