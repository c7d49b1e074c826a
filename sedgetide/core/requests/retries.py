"""Retry budget: retries stay a share of requests, whatever fails."""

_INITIAL_TOKENS = 10.0


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
    """

    def __init__(self, ratio: float = 0.1, most: float = 100.0) -> None:
        self._ratio = ratio
        self._most = most
        self._tokens = min(_INITIAL_TOKENS, most)

    def note_request(self) -> None:
        """Earn for a request."""
        self._tokens = min(self._most, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Spend one token for a retry; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
