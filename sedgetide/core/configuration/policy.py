"""One validated version of the operators' routes and services.

This is the model for deployments with a registry, at which upstreams register
themselves; the operators configure only how requests are routed. Without a
registry, the text of :mod:`sedgetide.core.configuration.services` also lists
the upstreams.
"""

import msgspec

from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Version


class Share(msgspec.Struct, frozen=True):
    """Weighted share of the requests of a route that goes to a service."""

    service: ServiceName
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """Configuration of a route.

    Parameters
    ----------
    name : RouteName
        Name used in logs.
    host, prefix : str
        Host header without port, and path prefix, to match.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Seconds after which the caller gets a final answer at the latest.
    objective : float
        Target response time in seconds.
    attempts : int
        Maximum number of upstreams to which one request is sent.
    priority : int
        Priority; 0 is the most urgent.
    shares : tuple of Share
        Services and their weights; at least one.
    """

    name: RouteName
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    attempts: int
    priority: int
    shares: tuple[Share, ...]


class ServiceRule(msgspec.Struct, frozen=True):
    """Configuration of a service.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    connections : int
        Connections that one upstream accepts from all hosts together.
    keyed : bool
        Whether each key has one owning upstream.
    warming : float
        Seconds for which keys that were moved without their state are slow.
    cold : float
        Seconds after its start for which an upstream is cold.
    cold_rate : float or None
        Requests per second for which a cold upstream is designed; None if
        it can handle as many as a warm one.
    """

    name: ServiceName
    connections: int = 100
    keyed: bool = False
    warming: float = 0.0
    cold: float = 0.0
    cold_rate: float | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits for the requests of callers, in bytes and seconds."""

    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class Policy(msgspec.Struct, frozen=True):
    """One version of the operators' complete configuration."""

    version: Version
    routes: tuple[RouteRule, ...]
    services: dict[ServiceName, ServiceRule]
    limits: CallerLimits = CallerLimits()

    def list_keyed(self) -> list[ServiceName]:
        """Return the services whose keys have owners."""
        return [rule.name for rule in self.services.values() if rule.keyed]


def check_policy(policy: Policy) -> None:
    """Check the types of a policy that was read from untyped values.

    Raises
    ------
    msgspec.ValidationError
        If a value has another type than its field, or a number is too large.
    """
    try:
        encoded = msgspec.msgpack.encode(policy)
    except (OverflowError, TypeError) as error:
        raise msgspec.ValidationError(str(error)) from error
    msgspec.msgpack.decode(encoded, type=Policy)
