"""Model of the configuration text: services, routes, upstreams, classes."""

import enum
from typing import Annotated

import msgspec

from sedgetide.core.constraints import Name
from sedgetide.core.constraints import PositiveInt
from sedgetide.core.constraints import Seconds

MAX_SHARDS = 16_384
KEY_SEGMENT = "{key}"

Path = Annotated[str, msgspec.Meta(pattern=r"^(/[A-Za-z0-9._~-]+|/\{key\})*$")]
Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{3,10}$")]
Weight = Annotated[float, msgspec.Meta(ge=0)]
ShardCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARDS)]


class UpstreamState(enum.Enum):
    """State of an upstream as requested by the operators.

    Attributes
    ----------
    ACTIVE
        May own shards and receive requests.
    DRAINING
        Releases its shards and receives no new requests.
    """

    ACTIVE = "active"
    DRAINING = "draining"


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Priority class of requests; lower numbers are more urgent."""

    name: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=99)]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of requests by method and path prefix.

    Parameters
    ----------
    path : str
        Path prefix below the prefix of the service; ``{key}`` matches the
        segment that contains the key.
    methods : tuple of str
        HTTP methods to which the route applies.
    priority_class : str
        Name of the priority class, ``class`` in the text.
    idempotent : bool
        Whether a request may run more than once; false by default.
    deadline : float
        Seconds within which the caller needs an answer.
    """

    path: Path
    methods: tuple[Method, ...]
    priority_class: Name = msgspec.field(name="class")
    idempotent: bool = False
    deadline: Seconds = 5.0


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server of a service."""

    name: Name
    data_centre: Name
    address: str
    state: UpstreamState = UpstreamState.ACTIVE


class Pin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Owner of a shard as chosen by the operators."""

    shard: Annotated[int, msgspec.Meta(ge=0)]
    upstream: Name


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relative costs of churn and of unavailability; only the ratio counts."""

    churn: Weight = 1.0
    unavailable: Weight = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its upstreams.

    Parameters
    ----------
    name, prefix : str
        Name of the service, and path prefix of its requests.
    keyed : bool
        Whether each key has one owning upstream.
    slots, connections : int
        Concurrent requests and connections that each upstream accepts.
    shards : int
        Number of shards of a keyed service; it cannot be changed.
    homes : tuple of str
        Data centres among which the shards are divided; they cannot be
        changed.
    checks_orders : bool
        Whether upstreams refuse grants and requests of a stale epoch or
        sender.
    depends_on : tuple of str
        Services that this one needs in order to answer.
    pins : tuple of Pin
        Owners chosen by the operators, which apply while they are active.
    """

    name: Name
    prefix: Path
    slots: PositiveInt
    connections: PositiveInt
    routes: tuple[Route, ...]
    upstreams: tuple[Upstream, ...]
    keyed: bool = False
    shards: ShardCount | None = None
    homes: tuple[Name, ...] = ()
    checks_orders: bool = False
    depends_on: tuple[Name, ...] = ()
    weights: Weights = Weights()
    pins: tuple[Pin, ...] = ()

    def find_longest_deadline(self) -> float:
        """Return the longest deadline of the routes in seconds."""
        return max((route.deadline for route in self.routes), default=0.0)


class Text(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete configuration text."""

    name: Name
    data_centres: tuple[Name, ...]
    classes: tuple[PriorityClass, ...]
    services: tuple[Service, ...]

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def find_priority(self, class_name: str) -> int:
        """Return the priority number of a class."""
        for each in self.classes:
            if each.name == class_name:
                return each.priority
        raise KeyError(class_name)
