"""Adaptive limit of the requests in flight from one host to one upstream.

Hosts do not know of each other's requests. Each increases its limit while the
upstream reports an empty queue, and decreases it when the queue is long, so
that together they stay below the load at which the upstream refuses requests.
With more hosts than slots, the limit falls below one request: the host then
pauses between requests.
"""

import msgspec

_INCREMENT = 0.5
_DECREASE_FACTOR = 0.7
_REFUSAL_FACTOR = 0.5
_MIN_LIMIT = 0.05
_FRACTIONAL_FACTOR = 1.5
_MIN_REMAINING_SHARE = 0.25
_MAX_PAUSE = 10.0


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Load that an upstream reported with an answer.

    Parameters
    ----------
    running, waiting : int
        Number of requests that it runs, and that wait for one of its slots.
    slots : int
        Number of requests that it runs concurrently.
    pace : float
        Factor by which requests currently take longer there than usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class Window:
    """Limit of the requests in flight from this host to one upstream.

    Parameters
    ----------
    slots : int
        Number of requests that the upstream runs concurrently.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._limit = float(max(1, slots))
        self.in_flight = 0
        self._waiting = 0
        self._reported_at = float("-inf")
        self._next_at = float("-inf")

    @property
    def limit(self) -> float:
        """Requests allowed in flight; below one, the share of busy time."""
        return self._limit

    def find_opening(self, now: float, share: float = 1.0) -> float | None:
        """Return when another request may be sent.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        share : float
            Share of the limit that this request and those like it may fill;
            at least one request is allowed.

        Returns
        -------
        float or None
            Monotonic time; None if a request can be sent only after an
            answer.
        """
        if self.in_flight >= max(1, int(self._limit * share)):
            return None
        return now if self._limit >= 1.0 else max(now, self._next_at)

    def is_free(self, now: float, share: float = 1.0) -> bool:
        """Return whether another request may be sent now."""
        opening = self.find_opening(now, share)
        return opening is not None and opening <= now

    def estimate_wait(self, ahead: int, seconds: float, now: float) -> float:
        """Return the minimum expected wait of another request in seconds.

        Parameters
        ----------
        ahead : int
            Number of waiting requests that go first.
        seconds : float
            Service time of a request there.
        now : float
            Current monotonic time in seconds.
        """
        opening = self.find_opening(now)
        if opening is None:
            # The requests in flight have been running for some time already.
            opening = now + seconds * _MIN_REMAINING_SHARE
        return opening - now + ahead * seconds / self._limit

    def note_end(self, seconds: float, now: float) -> None:
        """Record the end of a request.

        Parameters
        ----------
        seconds : float
            Service time of a request there.
        """
        self.in_flight -= 1
        if self._limit < 1.0:
            pause = seconds * (1.0 / self._limit - 1.0)
            # A slow upstream may recover much earlier, and only the next
            # request shows it.
            self._next_at = now + min(_MAX_PAUSE, pause)

    def note_load(self, load: UpstreamLoad, now: float) -> None:
        """Update the limit from the load that the upstream reported."""
        self._waiting = load.waiting
        self._reported_at = now
        if load.waiting == 0:
            self._grow()
        elif load.waiting > self.slots:
            self._limit = max(_MIN_LIMIT, self._limit * _DECREASE_FACTOR)

    def _grow(self) -> None:
        if self._limit < 1.0:
            self._limit = min(1.0, self._limit * _FRACTIONAL_FACTOR)
        else:
            max_limit = 2.0 * self.slots + 1
            self._limit = min(max_limit, self._limit + _INCREMENT)

    def note_refusal(self, load: UpstreamLoad | None = None) -> None:
        """Record that the upstream refused a request because of overload.

        Parameters
        ----------
        load : UpstreamLoad or None
            Load that it reported. An upstream that refuses requests while
            its queue is empty has spare capacity and a fault; a lower limit
            would only add refusals of this host to its own.
        """
        if load is not None and load.waiting == 0:
            return
        self._limit = max(_MIN_LIMIT, self._limit * _REFUSAL_FACTOR)

    def estimate_queue(self, now: float) -> float:
        """Return the estimated number of requests at the upstream."""
        age = now - self._reported_at
        others = self._waiting * max(0.0, 1.0 - age) if age < 1.0 else 0.0
        return self.in_flight + others
