"""Limit of the request rate to a cold upstream, over all hosts.

An upstream that has just started, or has lost its in-memory state, fails when
it is sent more than it can handle. Hosts that do not know of each other's
requests would all consider it idle and send at once. Therefore one host, the
lender of the upstream's places, counts the sends of all hosts.

Two hosts may believe for a moment that they are the lender. Each allows only
half of the limit, so that the limit holds without coordination between them.
If no lender answers, nothing is sent to a cold upstream.
"""

import collections
import math

# The current lender, and a former one that has not yet learnt of the change.
_MAX_CONCURRENT_LENDERS = 2
# The limit applies to any one second at the upstream. The window is longer
# because sends arrive closer together when the first of them are delayed on
# the way.
_WINDOW_SECONDS = 1.25
# Requests per second; a higher rate counts as unlimited.
_MAX_RATE = 1_000_000


def compute_cold_send_limit(rate: float, overrun: float, slack: float) -> int:
    """Return how many sends one lender allows per window.

    Parameters
    ----------
    rate : float
        Requests per second for which a cold upstream is designed.
    overrun : float
        Multiple of ``rate`` that it can handle.
    slack : float
        Additional requests that it can handle.
    """
    total = min(_MAX_RATE, rate * overrun + slack)
    return max(0, math.floor(total / _MAX_CONCURRENT_LENDERS))


class RecentSends:
    """Recent sends to one upstream that a lender has allowed."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Record an allowed send."""
        self._times.append(now)
        while self._times[0] <= now - _WINDOW_SECONDS:
            self._times.popleft()

    def find_wait(self, bound: int, ahead: int, now: float) -> float:
        """Return the seconds until another send may be allowed.

        Parameters
        ----------
        bound : int
            Maximum number of sends per window.
        ahead : int
            Number of waiting requests that go first.
        now : float
            Current monotonic time in seconds.
        """
        if bound <= 0:
            return float("inf")
        times = [each for each in self._times if each > now - _WINDOW_SECONDS]
        known = len(times)
        position = known + ahead
        windows = 0
        # Each send has to wait until the send ``bound`` positions before it
        # has left the window.
        while position >= known:
            position -= bound
            if position < 0:
                return windows * _WINDOW_SECONDS
            windows += 1
        return times[position] + windows * _WINDOW_SECONDS - now
