"""One version of the operators' routes and services, checked.

The service text of a deployment without a registry lists its upstreams;
here they register themselves, and the operators say only where requests
go and how.
"""

import msgspec

from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Version


class Share(msgspec.Struct, frozen=True):
    """Part of a route's requests that goes to one service."""

    service: ServiceName
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """Rules of a route.

    Parameters
    ----------
    name : RouteName
        Name, for logs.
    host, prefix : str
        Host header without port, and the path prefix.
    idempotent : bool
        Whether a request may run more than once.
    timeout : float
        Seconds after which a caller gets its final answer.
    objective : float
        Seconds within which an answer is worth most.
    attempts : int
        Upstreams to which one request may be sent.
    priority : int
        Rank; 0 goes first.
    shares : tuple of Share
        Services and weights; one at least.
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
    """Rules of a service.

    Parameters
    ----------
    name : ServiceName
        Name.
    connections : int
        Connections that one upstream accepts from all hosts together.
    keyed : bool
        Whether each key has one owning upstream.
    warming : float
        Seconds for which keys are slow that came without their state.
    cold : float
        Seconds for which an upstream is cold after its start.
    cold_rate : float or None
        Requests a second that a cold upstream is made for; None when it
        bears as many as any other.
    """

    name: ServiceName
    connections: int = 100
    keyed: bool = False
    warming: float = 0.0
    cold: float = 0.0
    cold_rate: float | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds of what a caller may send, in bytes and seconds."""

    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class Policy(msgspec.Struct, frozen=True):
    """One version of all that the operators ask for."""

    version: Version
    routes: tuple[RouteRule, ...]
    services: dict[ServiceName, ServiceRule]
    limits: CallerLimits = CallerLimits()

    def list_keyed(self) -> list[ServiceName]:
        """Return the services whose keys have owners."""
        return [rule.name for rule in self.services.values() if rule.keyed]
