"""Rate limits stated by upstreams for the requests of all hosts together.

No host knows what the others send, and giving each host a share would exceed
the limit with many hosts, since each of them may have one request in progress.
Therefore the lender of an upstream's places counts the sends of all hosts in a
token bucket. If no lender answers, nothing is sent.
"""

import math

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Tokens. Requests arrive in pairs, and a second lender that briefly believes
# itself to be the only one allows as many again.
_BURST = 2.0
# Tokens of a new bucket, for which earlier sends are unknown.
_INITIAL_TOKENS = 1.0
# Requests per second. The end of a limit is only learnt from an answer, so a
# request is still sent at long intervals.
_MIN_RATE = 0.1
# Upstreams whose limits a host keeps. The one heard from least recently is
# evicted first; no deployment has this many limited upstreams at a time.
_MAX_KNOWN = 4000
# Tokens; rounding errors must not delay a request that is due.
_TOLERANCE = 1e-6


class StatedLimit(msgspec.Struct, frozen=True, array_like=True):
    """Limit stated in an answer, and when the answer was written.

    An answer is written at some time between the send of its request and its
    own arrival, and answers may arrive out of order.

    Parameters
    ----------
    rate : float or None
        Requests per second; None for no limit.
    asked_at, heard_at : float
        Times at which the request was sent and its answer arrived.
    """

    rate: float | None
    asked_at: float
    heard_at: float

    def shift(self, seconds: float) -> "StatedLimit":
        """Return the limit with its times converted to another clock.

        Parameters
        ----------
        seconds : float
            Seconds by which the other clock is ahead.
        """
        return StatedLimit(
            self.rate,
            round(self.asked_at + seconds, 3),
            round(self.heard_at + seconds, 3),
        )


def choose_limit(known: StatedLimit | None, said: StatedLimit) -> StatedLimit:
    """Return which of two stated limits is in force.

    This is the one that was certainly written later, or the stricter one if
    their order is unknown.
    """
    if known is None or said.asked_at >= known.heard_at:
        return said
    if known.asked_at >= said.heard_at:
        return known
    return min(known, said, key=_get_rate)


def _get_rate(limit: StatedLimit) -> float:
    return math.inf if limit.rate is None else limit.rate


class KnownLimits:
    """Limits known to one host, by incarnation of an upstream."""

    def __init__(self) -> None:
        self._limits: dict[IncarnationName, StatedLimit] = {}

    def note(self, upstream: IncarnationName, said: StatedLimit) -> bool:
        """Record a stated limit; return whether the limit in force changes."""
        before = self._limits.pop(upstream, None)
        chosen = choose_limit(before, said)
        self._limits[upstream] = chosen
        if len(self._limits) > _MAX_KNOWN:
            del self._limits[next(iter(self._limits))]
        return chosen.rate != (None if before is None else before.rate)

    def find(self, upstream: IncarnationName) -> StatedLimit | None:
        """Return the limit in force; None when there is none."""
        limit = self._limits.get(upstream)
        return None if limit is None or limit.rate is None else limit

    def list_rates(self) -> dict[IncarnationName, float]:
        """Return all limits in force, in requests per second."""
        return {
            name: limit.rate
            for name, limit in self._limits.items()
            if limit.rate is not None
        }


class TokenBucket:
    """Token bucket that enforces a stated limit, if there is one."""

    def __init__(self) -> None:
        self._stated: StatedLimit | None = None
        self._rate: float | None = None
        self._tokens = _INITIAL_TOKENS
        self._filled_at = 0.0

    @property
    def rate(self) -> float | None:
        """Allowed requests per second; None for no limit."""
        return self._rate

    def note(self, said: StatedLimit, now: float) -> None:
        """Update the limit from an answer; times are local monotonic times."""
        self._stated = choose_limit(self._stated, said)
        rate = self._stated.rate
        if rate is not None:
            rate = max(_MIN_RATE, rate)
        if rate == self._rate:
            return
        self._refill(now)
        if self._rate is None:
            self._tokens = _INITIAL_TOKENS
        self._rate = rate

    def _refill(self, now: float) -> None:
        if self._rate is not None:
            tokens = self._tokens + (now - self._filled_at) * self._rate
            self._tokens = min(_BURST, tokens)
        self._filled_at = now

    def take(self, now: float) -> None:
        """Consume a token for a sent request."""
        self._refill(now)
        self._tokens -= 1.0

    def find_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until another request may be sent.

        Parameters
        ----------
        ahead : int
            Number of waiting requests that go first.
        now : float
            Current monotonic time in seconds.
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        missing = 1.0 + ahead - self._tokens
        return 0.0 if missing < _TOLERANCE else missing / self._rate
