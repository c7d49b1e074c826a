"""Encoding of the values in the store."""

import msgspec

from sedgetide.coding.decoding import decode_json
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import Ownership
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState

MAX_VALUE_BYTES = 1024 * 1024

_encoder = msgspec.json.Encoder(order="deterministic")


class StoredText(msgspec.Struct, frozen=True):
    """The configuration, with the id of the change that wrote it."""

    change_id: ChangeId
    text: str


class _ShardRow(msgspec.Struct, frozen=True, array_like=True):
    service: str
    shard: int
    state: str
    upstream: str
    epoch: int


def encode_text(stored: StoredText) -> bytes:
    """Encode the configuration for the store."""
    return _encoder.encode(stored)


def decode_text(value: bytes) -> StoredText:
    """Decode the configuration from the store."""
    return decode_json(value, StoredText)


class _StoredAssignment(msgspec.Struct, frozen=True):
    change_id: str
    members: dict[str, list[str]]
    shards: list[_ShardRow]


def encode_assignment(assignment: Assignment) -> bytes:
    """Encode an assignment for the store; equal ones give equal bytes."""
    rows = [
        _ShardRow(
            key.service,
            key.shard,
            owner.state.value,
            owner.upstream,
            owner.epoch,
        )
        for key, owner in sorted(assignment.shards.items())
    ]
    members = {
        host: [member.link, member.admin]
        for host, member in assignment.members.items()
    }
    return _encoder.encode(
        _StoredAssignment(assignment.change_id, members, rows)
    )


def decode_assignment(value: bytes) -> Assignment:
    """Decode an assignment from the store.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not an assignment.
    """
    stored = decode_json(value, _StoredAssignment)
    try:
        return _make_assignment(stored)
    except ValueError as error:
        raise msgspec.ValidationError(str(error)) from error


def _make_assignment(stored: _StoredAssignment) -> Assignment:
    return Assignment(
        ChangeId(stored.change_id),
        {
            HostName(host): Member(LinkAddress(link), admin)
            for host, (link, admin) in stored.members.items()
        },
        {
            ShardKey(ServiceName(row.service), Shard(row.shard)): Ownership(
                ShardState(row.state),
                UpstreamName(row.upstream),
                Epoch(row.epoch),
            )
            for row in stored.shards
        },
    )
