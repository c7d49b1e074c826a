"""The operators' text as a model: services, routes, upstreams, classes."""

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
    """What the operators want of an upstream.

    Attributes
    ----------
    ACTIVE
        May own shards and take requests.
    DRAINING
        Gives up its shards and gets nothing new.
    """

    ACTIVE = "active"
    DRAINING = "draining"


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests; a lower priority number goes first."""

    name: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=99)]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules for requests by method and path prefix.

    Parameters
    ----------
    path : str
        Prefix below the service's own; ``{key}`` stands for the segment
        that holds the key.
    methods : tuple of str
        Methods the rule covers.
    priority_class : str
        Name of a class, ``class`` in the text.
    idempotent : bool
        Whether a request may run twice; false when unsaid.
    deadline : float
        Seconds within which a caller needs the answer.
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
    """Operators' choice of the owner of one shard."""

    shard: Annotated[int, msgspec.Meta(ge=0)]
    upstream: Name


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much a service minds each harm; only the ratio counts."""

    churn: Weight = 1.0
    unavailable: Weight = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its upstreams.

    Parameters
    ----------
    name, prefix : str
        Name, and the path prefix of its requests.
    keyed : bool
        Whether each key has one owning upstream.
    slots, connections : int
        Limits of each upstream.
    shards : int
        Number of shards of a keyed service, fixed for its life.
    homes : tuple of str
        Data centres among which the shards are divided, fixed likewise.
    checks_orders : bool
        Whether upstreams refuse grants and requests of a stale epoch or
        sender.
    depends_on : tuple of str
        Services without which this one can not answer.
    pins : tuple of Pin
        Owners chosen by the operators, obeyed while they are active.
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
    """The whole of what operators write."""

    name: Name
    data_centres: tuple[Name, ...]
    classes: tuple[PriorityClass, ...]
    services: tuple[Service, ...]

    def find_service(self, name: str) -> Service | None:
        """Return a service by name."""
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
