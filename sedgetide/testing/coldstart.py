"""Cold start of a simulated upstream, and slowdown of a shared machine."""

import collections
import random
import time

_SECOND = 1.0
# Seconds for which the slowdown of a shared machine stays the same.
_SLOWDOWN_INTERVAL = 0.4
_BUSY_PROBABILITY = 0.2
_BUSY_SLOWDOWN = 3.0
_COLD_SLOWDOWN = 2.0


class ColdStart:
    """Counts requests that arrive while the process is cold.

    Parameters
    ----------
    seconds : float
        Duration of the cold start.
    most : float
        Arrivals in one second above which a cold process exits.
    """

    def __init__(self, seconds: float, most: float) -> None:
        self._warm_at = time.monotonic() + seconds
        self._most = most
        self._arrivals: collections.deque[float] = collections.deque()

    def find_remaining(self, now: float) -> float:
        """Return the seconds until the process is warm."""
        return max(0.0, self._warm_at - now)

    def is_flooded(self, now: float) -> bool:
        """Record an arrival; return whether it exceeds the cold limit."""
        self._arrivals.append(now)
        while self._arrivals[0] < now - _SECOND:
            self._arrivals.popleft()
        return now < self._warm_at and len(self._arrivals) > self._most


class Slowdown:
    """Slowdown of work by a cold start and by other users of the machine.

    Parameters
    ----------
    seed : str
        Seed that determines when the machine is busy.
    varies : bool
        Whether other users make the machine busy at all.
    """

    def __init__(self, seed: str, varies: bool) -> None:
        self._seed = seed
        self._varies = varies

    def find(self, now: float, cold: bool) -> float:
        """Return the factor by which work takes longer than normal."""
        slowdown = _COLD_SLOWDOWN if cold else 1.0
        step = int(now / _SLOWDOWN_INTERVAL)
        source = random.Random(f"{self._seed}/{step}")
        if self._varies and source.random() < _BUSY_PROBABILITY:
            slowdown *= _BUSY_SLOWDOWN
        return slowdown
