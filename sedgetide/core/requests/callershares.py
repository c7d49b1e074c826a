"""Shares of places for callers with many requests in hand.

A connection on which requests are always ready would fill each queue up to its
limit of pipelined requests, and all others would wait behind it, or be refused
as their wait would be too long. A caller with few requests in hand is never
limited; one with more is deep. Its requests rank behind those of others, and
while upstreams have no places to spare, they are started one after another.
"""

# Requests that a caller may have in hand on one connection as if each came
# from a caller of its own. Clients that pipeline a few stay below it.
_FEW_REQUESTS = 4
_MAX_PIPELINED = 32
_DECREASE_FACTOR = 0.5
# Requests by which the limit grows while as many as it allows are answered.
_INCREMENT = 0.25
# Below one, the limit is the share of the time in which a request runs.
_MIN_LIMIT = 0.1
# Seconds; a close of the caller is noticed after a pause.
_MAX_PAUSE = 0.05
# Share of a window for requests of deep connections. A full window is twice
# the slots of the upstream, so its half keeps them busy.
_DEEP_SHARE = 0.5


def find_window_share(rank: int) -> float:
    """Return the share of a window that requests of a rank may fill.

    Without a share, bursts of a caller at several hosts overflow the upstream,
    whose refusals then reduce the windows for everyone.
    """
    return _DEEP_SHARE if rank else 1.0


class StartLimit:
    """Limit of the requests of one connection that run at the same time.

    Each response from an upstream with spare places increases it, and each
    from one where requests wait decreases it.

    Attributes
    ----------
    is_deep : bool
        Whether the connection has had many requests in hand since it was last
        idle.
    """

    def __init__(self) -> None:
        self._limit = float(_MAX_PIPELINED)
        self.is_deep = False
        self._next_at = float("-inf")

    def may_start(self, in_hand: int) -> bool:
        """Return whether another request may start.

        Parameters
        ----------
        in_hand : int
            Number of earlier requests whose responses are not sent yet.
        """
        if in_hand >= _FEW_REQUESTS:
            self.is_deep = True
        return not self.is_deep or in_hand < max(1, int(self._limit))

    def find_pause(self, now: float) -> float:
        """Return the seconds until the next request may start.

        Refusals take a millisecond, so that requests that are refused one
        after another would keep the event loop busy.
        """
        return max(0.0, self._next_at - now) if self.is_deep else 0.0

    def find_rank(self, in_hand: int) -> int:
        """Return the rank of the next request among those of equal priority.

        Lower ranks go first; those of callers with few requests have zero.
        """
        return max(int(self.is_deep), in_hand + 1 - _FEW_REQUESTS)

    def note_answer(self, congested: bool, seconds: float, now: float) -> None:
        """Record a response.

        Parameters
        ----------
        congested : bool
            Whether its request, or others at the same upstream, had to wait
            for a place or got none.
        seconds : float
            Time that its request took.
        now : float
            Current monotonic time in seconds.
        """
        if congested:
            self._limit = max(_MIN_LIMIT, self._limit * _DECREASE_FACTOR)
        else:
            grown = self._limit + _INCREMENT / max(1.0, self._limit)
            self._limit = min(float(_MAX_PIPELINED), grown)
        if self._limit < 1.0:
            pause = seconds * (1.0 / self._limit - 1.0)
            self._next_at = now + min(_MAX_PAUSE, pause)

    def note_idle(self) -> None:
        """Record that no request is in hand or ready."""
        self.is_deep = False
