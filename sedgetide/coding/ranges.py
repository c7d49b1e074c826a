"""Compact encoding of a range table for the store.

Every version is sent to every host. Therefore each upstream name is encoded
only once, and the end of a range is implied by the start of the next.
"""

from typing import Annotated

import msgspec

from sedgetide.coding.decoding import decode_msgpack
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.ownership.ranges import FIRST_KEY
from sedgetide.core.ownership.ranges import KEY_COUNT
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure

_NO_OWNER = -1


class _EncodedTable(msgspec.Struct, array_like=True):
    fence: int
    names: list[str]
    # First key, owner, fence and successor of each range.
    rows: Annotated[
        list[tuple[int, int, int, int]], msgspec.Meta(max_length=KEY_COUNT)
    ]


_decoder = msgspec.msgpack.Decoder(_EncodedTable)


def encode_ranges(table: RangeTable) -> bytes:
    """Encode a range table."""
    # The order is not changed by a move, so that successive versions differ
    # in few bytes and compress well relative to each other.
    names = sorted(
        {each.owner for each in table.tenures}
        | {each.successor for each in table.tenures if each.moving}
    )
    indices = {name: index for index, name in enumerate(names)}
    indices[NO_UPSTREAM] = _NO_OWNER
    rows = [
        (
            each.low,
            indices[each.owner],
            each.fence,
            indices[each.successor],
        )
        for each in table.tenures
    ]
    return msgspec.msgpack.encode(_EncodedTable(table.fence, names, rows))


def decode_ranges(value: bytes) -> RangeTable:
    """Decode a range table.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not a range table.
    """
    encoded = decode_msgpack(value, _decoder)
    _check_rows(encoded)
    names = [IncarnationName(name) for name in encoded.names]
    ends = [row[0] - 1 for row in encoded.rows[1:]] + [LAST_KEY]
    tenures = [
        Tenure(
            Key(low),
            Key(end),
            names[owner],
            Fence(fence),
            NO_UPSTREAM if successor == _NO_OWNER else names[successor],
        )
        for (low, owner, fence, successor), end in zip(
            encoded.rows, ends, strict=True
        )
    ]
    return RangeTable(Fence(encoded.fence), tuple(tenures))


def _check_rows(encoded: _EncodedTable) -> None:
    """Check that the rows are those of a range table."""
    last = len(encoded.names) - 1
    if not encoded.rows or encoded.rows[0][0] != FIRST_KEY:
        raise msgspec.ValidationError(f"expected a range from key {FIRST_KEY}")
    before = FIRST_KEY - 1
    for low, owner, _, successor in encoded.rows:
        if not before < low <= LAST_KEY:
            raise msgspec.ValidationError(
                f"range from key {low}: expected one after key {before}, up "
                f"to {LAST_KEY}"
            )
        if not 0 <= owner <= last or not _NO_OWNER <= successor <= last:
            raise msgspec.ValidationError(
                f"range from key {low}: expected names from 0 to {last}"
            )
        before = low
