"""Retry budget that limits retries to a share of the requests."""

import msgspec

_INITIAL_TOKENS = 10.0
_MIN_BURST = 1.0
_MAX_BURST = 4.0
# Share of the slack that hosts may save. The rest covers restarted hosts,
# which have a first retry in addition to what was saved before.
_SAVED_SHARE = 0.7
FIRST_TOKENS = 1.0


class RetryPolicy(msgspec.Struct, frozen=True):
    """Retries that a deployment allows.

    Parameters
    ----------
    ratio : float
        Share of its own requests that a host may retry.
    slack : float
        Additional retries allowed to all hosts together.
    """

    ratio: float
    slack: float


def compute_burst_limit(slack: float, hosts: int | None) -> float:
    """Return how many retry tokens a host may save.

    When an upstream is lost, all hosts may spend their saved tokens at the
    same moment. Together they must stay within the additional retries that
    the deployment allows.

    Parameters
    ----------
    slack : float
        Additional retries allowed to all hosts together.
    hosts : int or None
        Number of hosts; None when not known yet.
    """
    if hosts is None:
        return _MIN_BURST
    share = slack * _SAVED_SHARE / max(1, hosts)
    return min(_MAX_BURST, max(_MIN_BURST, share))


class RetryBudget:
    """Budget of tokens that requests earn and retries spend.

    Without it, the failure of one upstream in three would multiply the load
    on the others when they have the least spare capacity.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    max_tokens : float
        Maximum number of tokens, which limits bursts of retries.
    initial_tokens : float
        Initial number of tokens.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        max_tokens: float = 100.0,
        initial_tokens: float = _INITIAL_TOKENS,
    ) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = min(initial_tokens, max_tokens)

    def limit(self, max_tokens: float) -> None:
        """Set the maximum number of tokens."""
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def note_request(self) -> None:
        """Add the share of a token that a request earns."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Spend one token for a retry; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
