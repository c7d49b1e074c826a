"""Times at which refused callers are expected to return to one upstream."""

import bisect

from sedgetide.core.requests.retryafter import SHORT_RETRY_DELAY

# A caller waits for no more than this share of the time that it has left.
_OBEYED_SHARE = 1.0 / 3.0
# Seconds; assumed for a caller that states no deadline.
_DEFAULT_REACH = 1.5
# Seconds; bursts and hot keys are over by then, and keys have moved.
_MAX_REACH = 5.0
# Seconds after its time until a promise expires.
_GRACE = 1.0
# Seconds by which a caller may return too early.
_EARLY = 0.5


class Promises:
    """Promised times of return.

    Parameters
    ----------
    bound : int
        Maximum number of promises kept. Further callers are told a time, but
        are not counted on.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        # Times of return by priority, in ascending order.
        self._times: dict[int, list[float]] = {}
        # Time of the latest promise that its caller can wait for.
        self._latest = float("-inf")

    def count(self, now: float) -> int:
        """Return the number of promises that have not expired."""
        self._expire(now)
        return sum(len(times) for times in self._times.values())

    def promise(
        self,
        priority: int,
        wait: float,
        interval: float,
        deadline: float | None,
        now: float,
    ) -> float:
        """Promise a refused caller a time of return.

        Parameters
        ----------
        priority : int
            Priority of the request.
        wait : float
            Seconds until the requests that go before it have been served;
            infinite when these arrive faster than places become free.
        interval : float
            Seconds between two places that become free for promises.
        deadline : float or None
            Seconds until the caller's deadline; None when not stated.
        now : float
            Current monotonic time in seconds.

        Returns
        -------
        float
            Seconds until the promised time, which may be more than the caller
            waits for.
        """
        if deadline is None:
            deadline = _DEFAULT_REACH / _OBEYED_SHARE
        reach = min(_MAX_REACH, max(0.0, deadline) * _OBEYED_SHARE)
        if wait == float("inf"):
            # Nothing is known about when a place becomes free. The later the
            # caller returns, the more likely the overload is over.
            delay = max(SHORT_RETRY_DELAY, reach)
        else:
            earliest = max(now + wait, self._latest + interval)
            # A return after the caller's deadline would be of no use.
            delay = max(SHORT_RETRY_DELAY, min(earliest - now, deadline))
            if delay <= reach:
                self._latest = now + delay
        if self.count(now) < self._bound:
            times = self._times.setdefault(priority, [])
            bisect.insort(times, now + min(delay, reach))
        return delay

    def note_return(self, priority: int, now: float) -> None:
        """Drop the promise of a caller that returns."""
        self._expire(now)
        times = self._times.get(priority)
        if times and times[0] <= now + _EARLY:
            del times[0]

    def count_due(self, priority: int, until: float, now: float) -> int:
        """Return how many callers are expected to return.

        Parameters
        ----------
        priority : int
            Lowest urgency of the callers to count.
        until : float
            Monotonic time up to which they return.
        now : float
            Current monotonic time in seconds.
        """
        self._expire(now)
        return sum(
            bisect.bisect_right(times, until)
            for other, times in self._times.items()
            if other <= priority
        )

    def _expire(self, now: float) -> None:
        for times in self._times.values():
            if times and times[0] < now - _GRACE:
                del times[: bisect.bisect_left(times, now - _GRACE)]
