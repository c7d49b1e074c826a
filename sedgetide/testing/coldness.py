"""A stand-in's cold start, and the pace of the machine it shares."""

import collections
import random
import time

_SECOND = 1.0
# Seconds for which a machine that others use keeps its pace.
_PACE_LASTS = 0.4
_BUSY_SHARE = 0.2
_BUSY_PACE = 3.0
_COLD_PACE = 2.0


class Coldness:
    """Counts arrivals while the process is cold.

    Parameters
    ----------
    seconds : float
        For which it is cold after its start.
    most : float
        Arrivals in one second above which it ends.
    """

    def __init__(self, seconds: float, most: float) -> None:
        self._warm_at = time.monotonic() + seconds
        self._most = most
        self._arrivals: collections.deque[float] = collections.deque()

    def find_left(self, now: float) -> float:
        """Return the seconds for which it is still cold."""
        return max(0.0, self._warm_at - now)

    def is_flooded(self, now: float) -> bool:
        """Take in one arrival; tell whether it is one too many."""
        self._arrivals.append(now)
        while self._arrivals[0] < now - _SECOND:
            self._arrivals.popleft()
        return now < self._warm_at and len(self._arrivals) > self._most


class Pace:
    """How long work takes on a machine that is shared, by the moment.

    Parameters
    ----------
    seed : str
        Decides when others are busy.
    varies : bool
        Whether others use the machine at all.
    """

    def __init__(self, seed: str, varies: bool) -> None:
        self._seed = seed
        self._varies = varies

    def find(self, now: float, cold: bool) -> float:
        """Return the factor by which work takes longer than usual."""
        pace = _COLD_PACE if cold else 1.0
        step = int(now / _PACE_LASTS)
        source = random.Random(f"{self._seed}/{step}")
        if self._varies and source.random() < _BUSY_SHARE:
            pace *= _BUSY_PACE
        return pace
