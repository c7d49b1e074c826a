"""Demand for the places of one upstream, and the service times there."""

import collections
import math

# Seconds; time constant of the decaying count of arrivals. Its variance is
# that of a count over a window of twice this length.
_DECAY_SECONDS = 1.5
# Smoothing factor; half of the weight is on the last seven answers.
_SMOOTHING = 0.1
_SAMPLES = 30
# A fifth of the requests take less than a short service time.
_SHORT_SHARE = 0.2


class Demand:
    """Rates of recent arrivals, by priority and by first or later attempt."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, bool], tuple[float, float]] = {}

    def note_arrival(self, priority: int, returning: bool, now: float) -> None:
        """Record a request for a place."""
        count, noted_at = self._counts.get((priority, returning), (0.0, now))
        decayed = count * math.exp((noted_at - now) / _DECAY_SECONDS)
        self._counts[priority, returning] = (decayed + 1.0, now)

    def find_rate(
        self, priority: int | None, same_returning: bool, now: float
    ) -> float:
        """Return how many arrivals per second go before a request.

        Parameters
        ----------
        priority : int or None
            Priority of the request; all arrivals count when it is None.
        same_returning : bool
            Whether first attempts of the same priority count as well. They
            go before requests that are late or returning.
        now : float
            Current monotonic time in seconds.
        """
        total = 0.0
        for (other, returning), (count, noted_at) in self._counts.items():
            if (
                priority is None
                or other < priority
                or (other == priority and same_returning and not returning)
            ):
                total += count * math.exp((noted_at - now) / _DECAY_SECONDS)
        return total / _DECAY_SECONDS


class ServiceTimes:
    """Mean and short service time of recent requests.

    Parameters
    ----------
    first_estimate : float
        Service time in seconds assumed before the first answer.
    """

    def __init__(self, first_estimate: float) -> None:
        self.mean = first_estimate
        self.short = first_estimate
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )

    def note(self, seconds: float) -> None:
        """Record the service time of an answered request."""
        self.mean += _SMOOTHING * (seconds - self.mean)
        self._samples.append(seconds)
        ordered = sorted(self._samples)
        self.short = ordered[int(len(ordered) * _SHORT_SHARE)]
