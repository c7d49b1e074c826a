"""Routes by host and longest path prefix, and the times of a request."""

import msgspec
import xxhash

from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName


class RouteTable:
    """Routes of one policy, with one lookup per path segment.

    Parameters
    ----------
    policy : Policy
        Policy in force.
    """

    def __init__(self, policy: Policy) -> None:
        self._hosts: dict[str, dict[str, RouteRule]] = {}
        for route in policy.routes:
            routes = self._hosts.setdefault(route.host.lower(), {})
            routes[route.prefix] = route

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host header, with or without a port.
        path : str
            Path as sent, without the query.
        """
        routes = self._hosts.get(_drop_port(host).lower())
        if routes is None:
            return None
        # Every prefix ends with a slash, so only such prefixes can match.
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _drop_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def choose_service(route: RouteRule, request: RequestId) -> ServiceName:
    """Return the service to which a request of a route is sent.

    The choice is a hash of the request id, so that all hosts agree and the
    shares follow the weights without shared state.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh32_intdigest(request.encode()) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


class RequestTimes(msgspec.Struct, frozen=True):
    """Monotonic times of one request.

    Parameters
    ----------
    began : float
        When the request had been read.
    final : float
        When the caller gets a final answer at the latest: the deadline of
        the caller or the timeout of the route, whichever comes first.
    objective : float
        Until when an answer meets the objective of the route.
    """

    began: float
    final: float
    objective: float

    def find_hold_deadline(self) -> float:
        """Return until when the request may be held before it is sent.

        After that, it is better to tell the caller at once that the request
        was not run, while there is time for a retry.
        """
        time_limit = min(self.objective - self.began, self.final - self.began)
        return self.began + time_limit * _HOLD_SHARE

    def find_useful_time(self, now: float) -> float:
        """Return the remaining seconds for an answer within the objective.

        A margin is subtracted because service times vary: a request that is
        expected to end just in time is late in half of the cases.
        """
        useful = min(self.objective, self.final) - self.began
        return max(0.0, self.began + useful * _USEFUL_SHARE - now)


_HOLD_SHARE = 0.5
_USEFUL_SHARE = 0.9


def compute_times(
    route: RouteRule, deadline: float | None, began: float
) -> RequestTimes:
    """Return the times of a request.

    Parameters
    ----------
    route : RouteRule
        Route of the request.
    deadline : float or None
        Seconds until the caller's deadline; None when not stated.
    began : float
        Monotonic time at which the request had been read.
    """
    left = route.timeout if deadline is None else min(deadline, route.timeout)
    return RequestTimes(began, began + left, began + route.objective)
