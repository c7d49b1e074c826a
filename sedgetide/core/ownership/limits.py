"""Request rate limits of upstreams that load balancing takes into account."""

from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Seconds. Moving keys away and back does not pay off for shorter limits.
_MIN_DURATION = 1.5
# Seconds; lenders report every 0.4 s, so three reports were missed.
_REPORT_TIMEOUT = 1.3


class _ReportedLimit(msgspec.Struct):
    rate: float
    since: float
    heard_at: float


class LimitTracker:
    """Rate limits in force, as reported by the lenders of the upstreams.

    A lender is a host that coordinates the requests of all hosts to an
    upstream; see :class:`LenderList`.
    """

    def __init__(self) -> None:
        self._limits: dict[IncarnationName, _ReportedLimit] = {}

    def note(
        self, limits: Mapping[IncarnationName, float], now: float
    ) -> None:
        """Record reported limits, in requests per second."""
        for name, rate in limits.items():
            reported = self._limits.get(name)
            if reported is None or now - reported.heard_at > _REPORT_TIMEOUT:
                reported = self._limits[name] = _ReportedLimit(rate, now, now)
            reported.rate = rate
            reported.heard_at = now

    def find(self, upstream: IncarnationName, now: float) -> float | None:
        """Return a lasting limit in requests per second, or None."""
        reported = self._limits.get(upstream)
        if reported is None or now - reported.heard_at > _REPORT_TIMEOUT:
            return None
        return reported.rate if now - reported.since >= _MIN_DURATION else None

    def prune(self, now: float) -> None:
        """Remove limits that are no longer reported."""
        self._limits = {
            name: reported
            for name, reported in self._limits.items()
            if now - reported.heard_at <= _REPORT_TIMEOUT
        }
