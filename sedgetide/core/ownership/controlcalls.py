"""Control calls to an upstream, and their answers."""

import enum

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.grants import Token

NO_DEADLINE = float("inf")


class ControlCallKind(enum.Enum):
    """Type of a control call to an upstream."""

    STATUS = "status"
    GRANT = "grant"
    RELEASE = "release"


class ControlCall(msgspec.Struct, frozen=True):
    """A control call to be sent to an upstream.

    Grant and release calls are orders, which the upstream obeys; a status
    call only queries it.

    Parameters
    ----------
    kind : ControlCallKind
        Type of the call.
    token : Token or None
        Stamp to echo; None for a status call.
    shards : dict
        Shards that the order applies to, with their epochs.
    not_after : float
        Local time after which the call must not be sent.
    """

    kind: ControlCallKind
    token: Token | None = None
    shards: dict[ShardKey, Epoch] = {}
    not_after: float = NO_DEADLINE


class ControlAnswer(msgspec.Struct, frozen=True):
    """An upstream's answer to a control call.

    Parameters
    ----------
    token : Token
        Stamp of the upstream and the times around the call.
    orderer : str
        Keeper whose grants the upstream held before the call.
    held : float
        Remaining lifetime of those grants in seconds.
    refused : frozenset
        Shards that the upstream refused: a grant because it knows a newer
        epoch, a release because a request for the shard is running.
    """

    token: Token
    orderer: str = ""
    held: float = 0.0
    refused: frozenset[ShardKey] = frozenset()
