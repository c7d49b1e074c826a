"""Shares of the event loop for connections that always have input ready."""

# Share of the event loop for all busy connections together.
_BUSY_SHARE = 0.25
# Share of the event loop above which a connection is busy, after a burst.
_FREE_SHARE = 0.002
_FREE_BURST = 0.01
# Seconds for which a connection counts as busy after it was so.
_BUSY_TIME = 0.5
# Seconds of work that a busy connection may do at once.
_BURST = 0.05
# Seconds; a close of the peer is noticed after a pause.
_MAX_PAUSE = 0.2


class LoopShares:
    """Divides a share of the event loop among the busy connections."""

    def __init__(self) -> None:
        self._busy_until: dict[int, float] = {}

    def note_busy(self, connection: int, now: float) -> None:
        """Record that a connection is busy."""
        self._busy_until[connection] = now + _BUSY_TIME

    def remove(self, connection: int) -> None:
        """Forget a connection."""
        self._busy_until.pop(connection, None)

    def find_rate(self, now: float) -> float:
        """Return the share of one connection, in seconds a second."""
        for connection, until in list(self._busy_until.items()):
            if until <= now:
                del self._busy_until[connection]
        return _BUSY_SHARE / max(1, len(self._busy_until))


class _LeakyBucket:
    """Seconds of work in excess of a rate."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self._updated_at = now

    def add(self, work: float, rate: float, now: float) -> None:
        leaked = (now - self._updated_at) * rate
        self.level = max(0.0, self.level - leaked) + work
        self._updated_at = now


class ConnectionShare:
    """Work of one connection, counted against its share.

    Parameters
    ----------
    shares : LoopShares
        Shares of all connections.
    now : float
        Current time in seconds.
    """

    def __init__(self, shares: LoopShares, now: float) -> None:
        self._shares = shares
        self._recent = _LeakyBucket(now)
        self._owed = _LeakyBucket(now)

    def charge(self, work: float, now: float) -> float:
        """Count work; return the seconds to pause before any more.

        Parameters
        ----------
        work : float
            Seconds for which the connection has used the event loop.
        now : float
            Current time in seconds.
        """
        self._recent.add(work, _FREE_SHARE, now)
        if self._recent.level > _FREE_BURST:
            self._recent.level = min(self._recent.level, 2 * _FREE_BURST)
            self._shares.note_busy(id(self), now)
        rate = self._shares.find_rate(now)
        self._owed.add(work, rate, now)
        return min(max(0.0, (self._owed.level - _BURST) / rate), _MAX_PAUSE)

    def close(self) -> None:
        """Leave the share to other connections."""
        self._shares.remove(id(self))
