"""Retry budget: retries stay a share of requests, whatever fails."""

import msgspec

_INITIAL_TOKENS = 10.0
_LEAST_BURST = 1.0
_LARGEST_BURST = 4.0
# Hosts that start anew bring a first retry besides what was saved before.
_RESERVE = 0.7
FIRST_TOKENS = 1.0


class RetryPolicy(msgspec.Struct, frozen=True):
    """What a deployment grants for retries.

    Parameters
    ----------
    ratio : float
        Share of a host's own requests that it may send once more.
    slack : float
        Retries granted beside, to all hosts together.
    """

    ratio: float
    slack: float


def compute_burst_limit(slack: float, hosts: int | None) -> float:
    """Return how many retries a host may save up.

    All hosts may fall back on what they saved in the same moment, when an
    upstream's loss meets them all. Together that has to stay within what
    the deployment grants beside the share of its requests.

    Parameters
    ----------
    slack : float
        Retries granted to all hosts together beside the share.
    hosts : int or None
        Number of hosts; None when it is not known yet.
    """
    if hosts is None:
        return _LEAST_BURST
    share = slack * _RESERVE / max(1, hosts)
    return min(_LARGEST_BURST, max(_LEAST_BURST, share))


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Without it, the failure of one upstream in three would multiply the load
    on the others just when they have the least room.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    most : float
        Tokens kept at most, which bounds a burst of retries.
    saved : float
        Tokens at the beginning.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        most: float = 100.0,
        saved: float = _INITIAL_TOKENS,
    ) -> None:
        self._ratio = ratio
        self._most = most
        self._tokens = min(saved, most)

    def limit(self, most: float) -> None:
        """Set how many tokens are kept at most."""
        self._most = most
        self._tokens = min(self._tokens, most)

    def note_request(self) -> None:
        """Earn for a request."""
        self._tokens = min(self._most, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Spend one token for a retry; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
