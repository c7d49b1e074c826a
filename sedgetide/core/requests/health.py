"""Passive health checking of an upstream by the requests of one host."""

# Service time in seconds assumed before the first answer.
DEFAULT_SERVICE_TIME = 0.2
# Smoothing factor of the service time. Half of the weight is on the last three
# answers, so a slowdown is detected within three answers, while a single slow
# answer moves the estimate by only a fifth.
_SMOOTHING = 0.2
# Three successes offset one failure.
_SUCCESS_DECAY = 0.7
_MAX_FAILURE_SCORE = 8.0
# A single failure may be caused by the request itself.
_SUSPECT_SCORE = 2.0
# Seconds after which a request probes the upstream again.
_SUSPECT_SECONDS = 2.0

# A connection that cannot be opened is never the fault of a request.
UNREACHABLE_WEIGHT = 2.0


class UpstreamHealth:
    """Service time and recent failures of an upstream.

    Attributes
    ----------
    service_time : float or None
        Smoothed service time in seconds; None before the first answer.
    """

    def __init__(self) -> None:
        self.service_time: float | None = None
        self._unreachable_since: float | None = None
        self._failure_score = 0.0
        self._failed_at = float("-inf")

    def estimate_seconds(self) -> float:
        """Return the expected service time of a request in seconds."""
        return self.service_time or DEFAULT_SERVICE_TIME

    def note_success(self, seconds: float) -> None:
        """Record an answer and its service time."""
        if self.service_time is None:
            self.service_time = seconds
        self.service_time += _SMOOTHING * (seconds - self.service_time)
        self._failure_score *= _SUCCESS_DECAY
        self._unreachable_since = None

    def note_unreached(self, now: float) -> None:
        """Record that no connection could be opened."""
        if self._unreachable_since is None:
            self._unreachable_since = now

    def find_unreachable_time(self, now: float) -> float:
        """Return for how many seconds it has been unreachable."""
        since = self._unreachable_since
        return 0.0 if since is None else now - since

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Record that a request got no usable answer.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        weight : float
            Weight of the failure; one for a failed request.
        """
        self._failure_score = min(
            _MAX_FAILURE_SCORE, self._failure_score + weight
        )
        self._failed_at = now

    def is_suspect(self, now: float) -> bool:
        """Return whether it failed recently and others are preferred."""
        recent = now - self._failed_at < _SUSPECT_SECONDS
        return recent and self._failure_score >= _SUSPECT_SCORE
