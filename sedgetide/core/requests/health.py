"""How an upstream does, as one host's own requests show it."""

# Seconds; what a request is taken to need where none was answered yet.
FIRST_GUESS = 0.2
# Half of the weight lies on the last three answers: a slow-down is seen
# within as many, and one slow answer alone moves it by a fifth.
_TIME_GAIN = 0.2
# Three answers undo what one failure said.
_FORGIVEN = 0.7
_MOST_FAILURES = 8.0
# One failure may be the request's own.
_SUSPICIOUS = 2.0
# Seconds; after them one request tries it again.
_SUSPECT_FOR = 2.0

# A connection that did not open is no request's own fault.
UNREACHED_WEIGHT = 2.0


class UpstreamHealth:
    """Time that requests take at an upstream, and whether they fail there.

    Attributes
    ----------
    service_time : float or None
        Seconds; None before the first answer.
    """

    def __init__(self) -> None:
        self.service_time: float | None = None
        self._unreached_since: float | None = None
        self._failures = 0.0
        self._failed_at = float("-inf")

    def estimate_seconds(self) -> float:
        """Return how long a request takes there."""
        return self.service_time or FIRST_GUESS

    def note_success(self, seconds: float) -> None:
        """Take in the time of an answer."""
        if self.service_time is None:
            self.service_time = seconds
        self.service_time += _TIME_GAIN * (seconds - self.service_time)
        self._failures *= _FORGIVEN
        self._unreached_since = None

    def note_unreached(self, now: float) -> None:
        """Take in that no connection to it opened."""
        if self._unreached_since is None:
            self._unreached_since = now

    def find_unreachable_time(self, now: float) -> float:
        """Return for how many seconds it has not been reached."""
        since = self._unreached_since
        return 0.0 if since is None else now - since

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Take in that a request got no usable answer.

        Parameters
        ----------
        now : float
            Own clock.
        weight : float
            How much it says of the upstream; one for a failed request.
        """
        self._failures = min(_MOST_FAILURES, self._failures + weight)
        self._failed_at = now

    def is_suspect(self, now: float) -> bool:
        """Tell whether it failed lately, so that others are better."""
        recent = now - self._failed_at < _SUSPECT_FOR
        return recent and self._failures >= _SUSPICIOUS
