"""Demand for the places of one upstream, and the service times there."""

import collections
import math

# Seconds over which arrivals are counted, and width of one count. An
# exponential decay with the same variance would still show a demand of more
# than 1 for 4.5 s after a burst of ten times what can be served.
_WINDOW_SECONDS = 3.0
_BUCKET_SECONDS = 0.1
# Smoothing factor; half of the weight is on the last seven answers.
_SMOOTHING = 0.1
_SAMPLES = 30
# A fifth of the requests take less than a short service time.
_SHORT_SHARE = 0.2
# Four fifths take no more than a typical one. With the mean instead, twice as
# many of the less urgent requests got no answer before their final deadline
# (replay of two kinds at a load of 1.3).
_TYPICAL_SHARE = 0.8


class _Arrivals:
    """Number of arrivals within the window."""

    def __init__(self) -> None:
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def note(self, now: float) -> None:
        bucket = math.floor(now / _BUCKET_SECONDS)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._expire(now)
            self._buckets.append([bucket, 0])
        self._buckets[-1][1] += 1
        self._total += 1

    def count(self, now: float) -> int:
        self._expire(now)
        return self._total

    def _expire(self, now: float) -> None:
        oldest = math.floor((now - _WINDOW_SECONDS) / _BUCKET_SECONDS)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]


class Demand:
    """Rates of recent arrivals, by priority and by first or later attempt."""

    def __init__(self) -> None:
        self._arrivals: dict[tuple[int, bool], _Arrivals] = {}

    def note_arrival(self, priority: int, returning: bool, now: float) -> None:
        """Record a request for a place."""
        arrivals = self._arrivals.get((priority, returning))
        if arrivals is None:
            arrivals = self._arrivals[priority, returning] = _Arrivals()
        arrivals.note(now)

    def find_rate(self, priority: int | None, late: bool, now: float) -> float:
        """Return how many arrivals per second go before a request.

        Parameters
        ----------
        priority : int or None
            Priority of the request; all arrivals count when it is None.
        late : bool
            Whether the request is late or returning, so that first attempts
            of the same priority go before it as well.
        now : float
            Current monotonic time in seconds.
        """
        total = 0
        for (other, returning), arrivals in self._arrivals.items():
            if priority is None or (
                not returning and other < priority + int(late)
            ):
                total += arrivals.count(now)
        return total / _WINDOW_SECONDS


class ServiceTimes:
    """Mean, short and typical service time of recent requests.

    Parameters
    ----------
    first_estimate : float
        Service time in seconds assumed before the first answer.
    """

    def __init__(self, first_estimate: float) -> None:
        self.mean = first_estimate
        self.short = first_estimate
        self.typical = first_estimate
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )

    def note(self, seconds: float) -> None:
        """Record the service time of an answered request."""
        self.mean += _SMOOTHING * (seconds - self.mean)
        self._samples.append(seconds)
        ordered = sorted(self._samples)
        self.short = ordered[int(len(ordered) * _SHORT_SHARE)]
        typical = ordered[int(len(ordered) * _TYPICAL_SHARE)]
        self.typical = max(self.mean, typical)
