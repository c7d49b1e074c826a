"""For how long a kept connection may have rested before it is used."""

_SHORTEST = 0.2
_CLOSER = 0.5
_MEMORY = 30.0


class IdleLimit:
    """Longest rest after which a connection is still taken to be alive.

    Upstreams close idle connections after a time that they announce, and
    some forget them sooner and without notice. What is sent next is reset,
    and nothing but the upstream's own word tells whether it ran: a request
    that may run once is lost. After such a reset those requests go out on
    connections that rested less, or on new ones, until it is forgotten.
    """

    def __init__(self) -> None:
        self._longest = float("inf")
        self._noted_at = float("-inf")

    def note_reset(self, rested: float, now: float) -> None:
        """Take in that a request got a reset instead of an answer.

        Parameters
        ----------
        rested : float
            Seconds for which its connection had been idle; a reset after a
            short rest tells of something else.
        now : float
            Own clock.
        """
        if rested < _SHORTEST:
            return
        closer = max(_SHORTEST, rested * _CLOSER)
        self._longest = min(self.find_max_idle(now), closer)
        self._noted_at = now

    def find_max_idle(self, now: float) -> float:
        """Return the longest rest that is trusted, in seconds."""
        if now - self._noted_at > _MEMORY:
            return float("inf")
        return self._longest
