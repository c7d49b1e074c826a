"""Detection of callers that retry, by the time left until their deadline."""

import msgspec

from sedgetide.core.identifiers import RouteName

# The longest deadline of a route is forgotten after one to two windows, so a
# change of its callers' deadlines takes effect within two minutes.
_WINDOW_SECONDS = 60.0
# Share of the objective. A refused caller retries later than that; network
# latency shortens a deadline by far less.
_OVERDUE_SHARE = 0.5


class _LongestDeadline(msgspec.Struct):
    started_at: float
    current: float = 0.0
    previous: float = 0.0


class OverdueDetector:
    """Distinguishes retries from first attempts by the remaining deadline.

    Requests may state the time left until their deadline, and all callers of
    a route start with about the same deadline. A request with less time left
    has been refused before and can no longer be answered within the
    objective. Under overload, requests that can still meet the objective go
    first: served in order of arrival, overdue requests would delay the
    others past their objective as well.
    """

    def __init__(self) -> None:
        self._longest: dict[RouteName, _LongestDeadline] = {}

    def is_overdue(
        self,
        route: RouteName,
        left: float | None,
        objective: float,
        now: float,
    ) -> bool:
        """Record a request's deadline and return whether it is overdue.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        left : float or None
            Seconds until the caller's deadline; None when not stated.
        objective : float
            Seconds within which an answer meets the route's objective.
        now : float
            Current monotonic time in seconds.
        """
        if left is None:
            return False
        longest = self._longest.setdefault(route, _LongestDeadline(now))
        if now - longest.started_at > _WINDOW_SECONDS:
            longest.started_at, longest.previous, longest.current = (
                now,
                longest.current,
                0.0,
            )
        longest.current = max(longest.current, left)
        return (
            max(longest.current, longest.previous) - left
            > _OVERDUE_SHARE * objective
        )
