"""Limit of the idle time after which a connection is still reused."""

_MIN_IDLE = 0.2
_REDUCTION_FACTOR = 0.5
_RETENTION_SECONDS = 30.0


class IdleLimit:
    """Longest idle time after which a connection is assumed to be alive.

    Upstreams announce after which time they close idle connections, but some
    drop them earlier and without notice. The next request is then reset, and
    only the upstream could tell whether it ran: a non-idempotent request is
    lost. After such a reset, these requests use connections that have been
    idle for a shorter time, or new ones, until the reset is forgotten.
    """

    def __init__(self) -> None:
        self._max_idle = float("inf")
        self._reset_at = float("-inf")

    def note_reset(self, rested: float, now: float) -> None:
        """Record that a request was reset instead of answered.

        Parameters
        ----------
        rested : float
            Seconds for which its connection had been idle. A reset after a
            short idle time has another cause and is ignored.
        now : float
            Current monotonic time in seconds.
        """
        if rested < _MIN_IDLE:
            return
        reduced = max(_MIN_IDLE, rested * _REDUCTION_FACTOR)
        self._max_idle = min(self.find_max_idle(now), reduced)
        self._reset_at = now

    def find_max_idle(self, now: float) -> float:
        """Return the longest idle time for reuse, in seconds."""
        if now - self._reset_at > _RETENTION_SECONDS:
            return float("inf")
        return self._max_idle
