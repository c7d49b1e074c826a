"""How many requests a cold upstream bears, over all hosts.

An upstream that has just started, or lost what it keeps in memory, ends when
it is sent more than it bears. Hosts that do not know of each other's sends
would each take it for idle, all at once. So one host, the lender of its
places, counts what all of them send.

Two hosts may believe for a moment that they are the lender. Each therefore
lets only half of the bound pass, and needs nobody's word to keep to it; where
no lender answers, nothing is sent to a cold upstream.
"""

import collections
import math

# The one that is named, and one that has not heard yet that it no longer is.
_LENDERS_AT_ONCE = 2
# Seconds. The bound holds in any one second at the upstream. Sends that were
# allowed over a little more than one arrive closer together when the first
# of them were held up on their way.
_SPAN = 1.25
# Requests a second; more is no bound.
_MOST = 1_000_000


def compute_cold_send_limit(rate: float, overrun: float, slack: float) -> int:
    """Return how many sends one lender allows in the time of a span.

    Parameters
    ----------
    rate : float
        Requests a second that a cold upstream is made for.
    overrun : float
        Factor of it that it bears.
    slack : float
        Requests that it bears besides.
    """
    total = min(_MOST, rate * overrun + slack)
    return max(0, math.floor(total / _LENDERS_AT_ONCE))


class RecentSends:
    """Sends that a lender has allowed to one upstream lately."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Take in that one send is allowed."""
        self._times.append(now)
        while self._times[0] <= now - _SPAN:
            self._times.popleft()

    def find_wait(self, bound: int, ahead: int, now: float) -> float:
        """Return after how many seconds one more may be allowed.

        Parameters
        ----------
        bound : int
            Most sends in the time of a span.
        ahead : int
            Requests that wait and go first.
        now : float
            Own clock.
        """
        if bound <= 0:
            return float("inf")
        times = [each for each in self._times if each > now - _SPAN]
        known = len(times)
        position = known + ahead
        spans = 0
        # Each send has to wait until the one before it by as many as the
        # bound is a span old.
        while position >= known:
            position -= bound
            if position < 0:
                return spans * _SPAN
            spans += 1
        return times[position] + spans * _SPAN - now
