"""Limits that upstreams name, as far as the balance goes by them."""

from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Seconds. A limit that ends sooner is not worth the moves of keys away and
# back.
_LASTING = 1.5
# Seconds; lenders report each 0.4 s, so three reports were missed.
_SILENCE = 1.3


class _Seen(msgspec.Struct):
    rate: float
    since: float
    heard_at: float


class LimitTracker:
    """Limits in force, as the lenders of the upstreams report them."""

    def __init__(self) -> None:
        self._seen: dict[IncarnationName, _Seen] = {}

    def note(
        self, limits: Mapping[IncarnationName, float], now: float
    ) -> None:
        """Take in a report, in requests a second."""
        for name, rate in limits.items():
            seen = self._seen.get(name)
            if seen is None or now - seen.heard_at > _SILENCE:
                seen = self._seen[name] = _Seen(rate, now, now)
            seen.rate = rate
            seen.heard_at = now

    def find(self, upstream: IncarnationName, now: float) -> float | None:
        """Return a limit that has lasted, in requests a second, or None."""
        seen = self._seen.get(upstream)
        if seen is None or now - seen.heard_at > _SILENCE:
            return None
        return seen.rate if now - seen.since >= _LASTING else None

    def prune(self, now: float) -> None:
        """Forget limits that are reported no longer."""
        self._seen = {
            name: seen
            for name, seen in self._seen.items()
            if now - seen.heard_at <= _SILENCE
        }
