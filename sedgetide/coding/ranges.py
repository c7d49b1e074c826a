"""Short form of a range table, as it lies in the store.

Every host gets every version, so names of upstreams stand in it once and
the end of a range is the beginning of the next.
"""

import msgspec

from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure

_NOBODY = -1


class _ShortTable(msgspec.Struct, array_like=True):
    fence: int
    names: list[str]
    # First key, owner, fence and successor of each range.
    rows: list[tuple[int, int, int, int]]


def encode_ranges(table: RangeTable) -> bytes:
    """Return the short form of a table."""
    # In an order that a move leaves as it is, so that versions differ in few
    # bytes.
    names = sorted(
        {each.owner for each in table.tenures}
        | {each.successor for each in table.tenures if each.moving}
    )
    numbers = {name: index for index, name in enumerate(names)}
    numbers[NO_UPSTREAM] = _NOBODY
    rows = [
        (
            each.low,
            numbers[each.owner],
            each.fence,
            numbers[each.successor],
        )
        for each in table.tenures
    ]
    return msgspec.msgpack.encode(_ShortTable(table.fence, names, rows))


def decode_ranges(value: bytes) -> RangeTable:
    """Read the short form of a table.

    Raises
    ------
    msgspec.MsgspecError
        When it is no table.
    """
    short = msgspec.msgpack.decode(value, type=_ShortTable)
    names = [IncarnationName(name) for name in short.names]
    ends = [row[0] - 1 for row in short.rows[1:]] + [LAST_KEY]
    tenures = [
        Tenure(
            Key(low),
            Key(end),
            names[owner],
            Fence(fence),
            NO_UPSTREAM if successor == _NOBODY else names[successor],
        )
        for (low, owner, fence, successor), end in zip(
            short.rows, ends, strict=True
        )
    ]
    return RangeTable(Fence(short.fence), tuple(tenures))
