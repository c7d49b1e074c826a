"""A limit that an upstream names for the requests of all hosts together.

No host knows what the others send, and a share for each breaks the limit where
hosts are many: each has one request in hand. So the lender of an upstream's
places counts the sends of all, from a token bucket, and where no lender
answers nothing is sent.
"""

import math

import msgspec

from sedgetide.core.identifiers import IncarnationName

# Tokens. Requests come in pairs, and a second lender, which for a moment
# believes to be the only one, brings as many again.
_BURST = 2.0
# Of a bucket of which nobody knows what was sent before.
_FIRST_TOKENS = 1.0
# Requests a second. Nobody learns that a limit has ended but by an answer, so
# one request goes on being sent at long intervals.
_LEAST_RATE = 0.1
# Upstreams whose words a host remembers, the last ones heard; more than any
# deployment names at a time.
_MOST_KNOWN = 4000
# Tokens; rounding must not hold back a request whose time has come.
_ROUNDING = 1e-6


class StatedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What an answer said of its upstream's limit, and when.

    An answer was written some time between the send of its request and its
    arrival, and answers overtake each other.

    Parameters
    ----------
    rate : float or None
        Requests a second; None: no limit.
    asked_at, heard_at : float
        When the request was sent, and when its answer came.
    """

    rate: float | None
    asked_at: float
    heard_at: float

    def shift(self, seconds: float) -> "StatedLimit":
        """Return the same by a clock that shows so many seconds more."""
        return StatedLimit(
            self.rate,
            round(self.asked_at + seconds, 3),
            round(self.heard_at + seconds, 3),
        )


def choose_limit(known: StatedLimit | None, said: StatedLimit) -> StatedLimit:
    """Return which of two words holds.

    The one that was certainly written later; the stricter one where nobody
    can tell.
    """
    if known is None or said.asked_at >= known.heard_at:
        return said
    if known.asked_at >= said.heard_at:
        return known
    return min(known, said, key=_read_rate)


def _read_rate(word: StatedLimit) -> float:
    return math.inf if word.rate is None else word.rate


class KnownLimits:
    """Limits as one host has heard them, of each start of an upstream."""

    def __init__(self) -> None:
        self._words: dict[IncarnationName, StatedLimit] = {}

    def note(self, upstream: IncarnationName, said: StatedLimit) -> bool:
        """Take in a word; return whether it changes the limit in force."""
        before = self._words.pop(upstream, None)
        chosen = choose_limit(before, said)
        self._words[upstream] = chosen
        if len(self._words) > _MOST_KNOWN:
            del self._words[next(iter(self._words))]
        return chosen.rate != (None if before is None else before.rate)

    def find(self, upstream: IncarnationName) -> StatedLimit | None:
        """Return the limit in force; None when there is none."""
        word = self._words.get(upstream)
        return None if word is None or word.rate is None else word

    def list_rates(self) -> dict[IncarnationName, float]:
        """Return all limits in force, in requests a second."""
        return {
            name: word.rate
            for name, word in self._words.items()
            if word.rate is not None
        }


class TokenBucket:
    """Sends that a limit allows; any number while there is none."""

    def __init__(self) -> None:
        self._word: StatedLimit | None = None
        self._rate: float | None = None
        self._tokens = _FIRST_TOKENS
        self._filled_at = 0.0

    @property
    def rate(self) -> float | None:
        """Requests a second that may be sent; None: any number."""
        return self._rate

    def note(self, said: StatedLimit, now: float) -> None:
        """Take in what a host has heard, by the own clock."""
        self._word = choose_limit(self._word, said)
        rate = self._word.rate
        if rate is not None:
            rate = max(_LEAST_RATE, rate)
        if rate == self._rate:
            return
        self._fill(now)
        if self._rate is None:
            self._tokens = _FIRST_TOKENS
        self._rate = rate

    def _fill(self, now: float) -> None:
        if self._rate is not None:
            tokens = self._tokens + (now - self._filled_at) * self._rate
            self._tokens = min(_BURST, tokens)
        self._filled_at = now

    def take(self, now: float) -> None:
        """Take in that one request is sent."""
        self._fill(now)
        self._tokens -= 1.0

    def find_wait(self, ahead: int, now: float) -> float:
        """Return after how many seconds one more may be sent.

        Parameters
        ----------
        ahead : int
            Requests that wait and go first.
        now : float
            Own clock.
        """
        if self._rate is None:
            return 0.0
        self._fill(now)
        missing = 1.0 + ahead - self._tokens
        return 0.0 if missing < _ROUNDING else missing / self._rate
