"""What an upstream asks of those who send to it, in its answers."""

from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Upstreams whose backoffs are remembered; one that is over is forgotten first.
_MOST_KEPT = 4000


class Pushback(msgspec.Struct, frozen=True):
    """What one answer says of the upstream that wrote it.

    Parameters
    ----------
    limit : float or None
        Requests a second that it takes from all hosts together; None when
        it names no limit.
    leaving : bool
        Whether it is about to end.
    backoff : float or None
        Seconds for which it wants nothing from the host that it turned
        away; None when it did not ask for that.
    problems : tuple of str
        What could not be read, and what is accepted instead.
    """

    limit: float | None = None
    leaving: bool = False
    backoff: float | None = None
    problems: tuple[str, ...] = ()


class Backoffs:
    """Times for which upstreams want nothing from this host."""

    def __init__(self) -> None:
        self._until: dict[IncarnationName, float] = {}

    def note(
        self, upstream: IncarnationName, seconds: float, now: float
    ) -> bool:
        """Take in that an upstream asks to be left alone from now on.

        A shorter time does not end a longer one: each was asked for, and
        nobody can tell in which order.

        Returns
        -------
        bool
            Whether none went on before.
        """
        before = self._until.get(upstream, now)
        self._until[upstream] = max(before, now + seconds)
        if len(self._until) > _MOST_KEPT:
            self._forget(now)
        return before <= now

    def _forget(self, now: float) -> None:
        ending = sorted(self._until.items(), key=lambda each: each[1])
        kept = [each for each in ending if each[1] > now]
        self._until = dict(kept[-_MOST_KEPT:])

    def find_remaining(self, upstream: IncarnationName, now: float) -> float:
        """Return the seconds that are left; zero when there are none."""
        return max(0.0, self._until.get(upstream, now) - now)

    def list_active(self, now: float) -> set[IncarnationName]:
        """Return the upstreams that want nothing at present."""
        return {name for name, end in self._until.items() if end > now}

    def find_shortest(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> float:
        """Return when the first of some upstreams may be sent to again.

        In seconds.
        """
        return min(
            (self.find_remaining(each, now) for each in upstreams), default=0.0
        )
