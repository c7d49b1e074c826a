"""Backpressure signalled by upstreams in their answers."""

from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Upstreams whose backoffs are kept; expired ones are evicted first.
_MAX_KEPT = 4000


class Pushback(msgspec.Struct, frozen=True):
    """Backpressure that an upstream signals with one answer.

    Parameters
    ----------
    limit : float or None
        Requests per second that it accepts from all hosts together; None
        when it states no limit.
    leaving : bool
        Whether it is about to shut down.
    backoff : float or None
        Seconds for which the host that it refused should send nothing; None
        when not requested.
    problems : tuple of str
        Descriptions of values that could not be parsed, with the accepted
        form.
    """

    limit: float | None = None
    leaving: bool = False
    backoff: float | None = None
    problems: tuple[str, ...] = ()


class Backoffs:
    """Backoff periods during which this host sends nothing to an upstream."""

    def __init__(self) -> None:
        self._until: dict[IncarnationName, float] = {}

    def note(
        self, upstream: IncarnationName, seconds: float, now: float
    ) -> bool:
        """Record that an upstream requests a backoff from now on.

        A shorter backoff does not end a longer one, because the order in
        which they were requested is unknown.

        Returns
        -------
        bool
            Whether no backoff was active before.
        """
        before = self._until.get(upstream, now)
        self._until[upstream] = max(before, now + seconds)
        if len(self._until) > _MAX_KEPT:
            self._evict(now)
        return before <= now

    def _evict(self, now: float) -> None:
        ending = sorted(self._until.items(), key=lambda each: each[1])
        kept = [each for each in ending if each[1] > now]
        self._until = dict(kept[-_MAX_KEPT:])

    def find_remaining(self, upstream: IncarnationName, now: float) -> float:
        """Return the remaining seconds of a backoff; zero without one."""
        return max(0.0, self._until.get(upstream, now) - now)

    def list_active(self, now: float) -> set[IncarnationName]:
        """Return the upstreams with an active backoff."""
        return {name for name, end in self._until.items() if end > now}

    def find_shortest(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> float:
        """Return the shortest remaining backoff of upstreams, in seconds."""
        return min(
            (self.find_remaining(each, now) for each in upstreams), default=0.0
        )
