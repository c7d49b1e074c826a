"""Choice of a route by host and longest path prefix."""

import msgspec
import xxhash

from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName


class RouteTable:
    """Routes of one policy, found by one look-up for each path segment.

    Parameters
    ----------
    policy : Policy
        Version in force.
    """

    def __init__(self, policy: Policy) -> None:
        self._hosts: dict[str, dict[str, RouteRule]] = {}
        for route in policy.routes:
            routes = self._hosts.setdefault(route.host.lower(), {})
            routes[route.prefix] = route

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that begins a path.

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
        # Every prefix ends with a slash, so only those can match.
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
    """Return the service that a request of a route goes to.

    The id decides, so that all hosts agree and shares follow the weights
    without any state.
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
    """Times of one request by the own clock.

    Parameters
    ----------
    began : float
        When it had been read.
    final : float
        When its caller gets a final answer at the latest: its deadline or
        the route's timeout, whichever comes first.
    objective : float
        Until when an answer is worth most.
    """

    began: float
    final: float
    objective: float

    def find_hold_deadline(self) -> float:
        """Return until when the request may wait to be sent.

        Beyond, its caller does better to hear at once that it has not run
        and to come again than to learn the same near its deadline.
        """
        patience = min(self.objective - self.began, self.final - self.began)
        return self.began + patience * _PATIENCE

    def find_useful_time(self, now: float) -> float:
        """Return the seconds within which an answer is still in time.

        A little is kept back, since what a request takes varies: one that
        would just be in time is late half of the time.
        """
        useful = min(self.objective, self.final) - self.began
        return max(0.0, self.began + useful * _USEFUL - now)


_PATIENCE = 0.5
_USEFUL = 0.9


def compute_times(
    route: RouteRule, deadline: float | None, began: float
) -> RequestTimes:
    """Return the times of a request.

    Parameters
    ----------
    route : RouteRule
        Its route.
    deadline : float or None
        Seconds that the caller waits; None when it did not say.
    began : float
        Own clock.
    """
    left = route.timeout if deadline is None else min(deadline, route.timeout)
    return RequestTimes(began, began + left, began + route.objective)
