"""Operations on sets of key ranges."""

from collections.abc import Iterable

from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import KeyRange


def merge_ranges(ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Return the union as disjoint ranges in ascending order.

    Adjacent ranges are joined.
    """
    merged: list[KeyRange] = []
    for keys in sorted(ranges):
        if merged and keys.low <= merged[-1].high + 1:
            last = merged.pop()
            keys = KeyRange(last.low, max(last.high, keys.high))
        merged.append(keys)
    return merged


def subtract_ranges(
    keys: KeyRange, removed: Iterable[KeyRange]
) -> list[KeyRange]:
    """Return the parts of a range that are in none of the removed ones."""
    parts = []
    low = keys.low
    for each in merge_ranges(removed):
        if not each.overlaps(keys):
            continue
        if low < each.low:
            parts.append(KeyRange(low, Key(each.low - 1)))
        low = Key(each.high + 1)
    if low <= keys.high:
        parts.append(KeyRange(low, keys.high))
    return parts
