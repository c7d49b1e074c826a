"""Owners of the ranges of one service's ordered keys.

The aggregate is immutable; each command returns the next table, which is
in force only once it stands in the store under the writer's leadership.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from sedgetide.core.errors import RuleError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import NO_FENCE
from sedgetide.core.identifiers import NO_UPSTREAM

FIRST_KEY = Key(0)
LAST_KEY = Key(65535)
KEY_COUNT = LAST_KEY + 1


class KeyRange(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Keys from ``low`` to ``high``, both included."""

    low: Key
    high: Key

    def __len__(self) -> int:
        return self.high - self.low + 1

    def overlaps(self, other: "KeyRange") -> bool:
        """Tell whether any key is in both."""
        return self.low <= other.high and other.low <= self.high

    def covers(self, other: "KeyRange") -> bool:
        """Tell whether every key of another range is in this one."""
        return self.low <= other.low and other.high <= self.high


ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


class Tenure(msgspec.Struct, frozen=True, array_like=True):
    """Who owns a range.

    Parameters
    ----------
    low, high : Key
        The range.
    owner : IncarnationName
        Owner; while the range moves, the one that has to stop first.
    fence : Fence
        Fence of the owner's grant; while the range moves, of the next.
    successor : IncarnationName
        Who gets the range next; empty when it does not move.
    """

    low: Key
    high: Key
    owner: IncarnationName
    fence: Fence
    successor: IncarnationName = NO_UPSTREAM

    @property
    def keys(self) -> KeyRange:
        """The range."""
        return KeyRange(self.low, self.high)

    @property
    def moving(self) -> bool:
        """Whether the range has no owner until the old one stopped."""
        return self.successor != NO_UPSTREAM


class Move(msgspec.Struct, frozen=True):
    """A range that is to get another owner."""

    keys: KeyRange
    successor: IncarnationName


class RangeTable(msgspec.Struct, frozen=True):
    """Owners of all keys of one service.

    Invariants: tenures are disjoint, sorted, and cover all keys once any
    was assigned; ``fence`` is the highest ever used; a range changes its
    owner only by way of a move, at a fence of its own.
    """

    fence: Fence = NO_FENCE
    tenures: tuple[Tenure, ...] = ()

    def find(self, key: Key) -> Tenure | None:
        """Return the tenure of a key, or None before the first owners."""
        index = bisect.bisect_right(self.tenures, key, key=_read_low) - 1
        return self.tenures[index] if index >= 0 else None

    def list_owned(self, owner: IncarnationName) -> list[Tenure]:
        """Return the ranges that an upstream owns and that stay."""
        return [
            each
            for each in self.tenures
            if each.owner == owner and not each.moving
        ]

    def list_moving(self) -> list[Tenure]:
        """Return the ranges that are on their way."""
        return [each for each in self.tenures if each.moving]

    def assign_first(
        self, owners: Sequence[tuple[IncarnationName, int]]
    ) -> "RangeTable":
        """Divide all keys among the first owners.

        Parameters
        ----------
        owners : sequence of tuple
            Upstreams and their weights, in the order of the ranges.

        Raises
        ------
        RuleError
            When keys have owners already, or there is none to give them.
        """
        if self.tenures or not owners:
            raise RuleError(
                Step.ASSIGN,
                f"{len(self.tenures)} ranges and {len(owners)} owners: "
                "accepted is no range and one owner or more",
            )
        fence = Fence(self.fence + 1)
        total = sum(weight for _, weight in owners)
        tenures = []
        given = 0
        low = FIRST_KEY
        for name, weight in owners:
            given += weight
            end = Key(KEY_COUNT * given // total)
            if end > low:
                tenures.append(Tenure(low, Key(end - 1), name, fence))
            low = end
        return RangeTable(fence, tuple(tenures))

    def restart(
        self, fence: Fence, owners: Collection[IncarnationName]
    ) -> "RangeTable":
        """Settle all ranges anew, after everyone has given back theirs.

        Parameters
        ----------
        fence : Fence
            Above which the new one is.
        owners : collection of IncarnationName
            Who may own; ranges of others go to whoever has the fewest keys.

        Raises
        ------
        RuleError
            When there is nobody to own them.
        """
        if not owners:
            raise RuleError(Step.ASSIGN, "no owners: accepted is one or more")
        fence = Fence(max(self.fence, fence) + 1)
        counts = dict.fromkeys(sorted(owners), 0)
        heirs = [each.successor or each.owner for each in self.tenures]
        for tenure, heir in zip(self.tenures, heirs, strict=True):
            if heir in counts:
                counts[heir] += len(tenure.keys)
        tenures: list[Tenure] = []
        for tenure, heir in zip(self.tenures, heirs, strict=True):
            owner = heir
            if owner not in counts:
                owner = min(counts, key=counts.__getitem__)
                counts[owner] += len(tenure.keys)
            low = tenure.low
            if tenures and tenures[-1].owner == owner:
                low = tenures.pop().low
            tenures.append(Tenure(low, tenure.high, owner, fence))
        return RangeTable(fence, tuple(tenures))

    def begin(self, moves: Iterable[Move]) -> "RangeTable":
        """Begin to move ranges, each within one tenure that stays.

        Raises
        ------
        RuleError
            When a range is not wholly owned by one upstream, or moves.
        """
        fence = self.fence
        tenures = list(self.tenures)
        for move in moves:
            index = _find_index(tenures, move.keys)
            fence = Fence(fence + 1)
            tenures[index : index + 1] = _split(tenures[index], move, fence)
        return RangeTable(fence, tuple(tenures))

    def complete(self, moved: Iterable[Tenure]) -> "RangeTable":
        """Make successors owners, once the old owners have stopped.

        Parameters
        ----------
        moved : iterable of Tenure
            Moving tenures as they stand in this table; others, which a
            later change has overtaken, are left alone.
        """
        done = set(moved)
        tenures = [
            Tenure(each.low, each.high, each.successor, each.fence)
            if each in done and each.moving
            else each
            for each in self.tenures
        ]
        return RangeTable(self.fence, tuple(tenures))

    def merge(self) -> "RangeTable":
        """Join neighbouring ranges of one owner, each at a new fence.

        Moves cut ranges ever smaller, and each costs a renewal. The owner
        stays, so nothing has to stop first. The same table is returned
        when there is nothing to join.
        """
        fence = self.fence
        merged: list[Tenure] = []
        grown: set[int] = set()
        for tenure in self.tenures:
            last = merged[-1] if merged else None
            if last is None or not _are_joinable(last, tenure):
                merged.append(tenure)
                continue
            if len(merged) - 1 not in grown:
                grown.add(len(merged) - 1)
                fence = Fence(fence + 1)
            merged[-1] = Tenure(last.low, tenure.high, last.owner, fence)
        if not grown:
            return self
        return RangeTable(fence, tuple(merged))


def _are_joinable(left: Tenure, right: Tenure) -> bool:
    settled = not left.moving and not right.moving
    return settled and left.owner == right.owner


def group_keys(
    keys: Iterable[Key], tenures: Iterable[Tenure]
) -> list[list[Key]]:
    """Return the keys of each range, in order.

    Parameters
    ----------
    keys : iterable of Key
        In any order.
    tenures : iterable of Tenure
        In order, and with no gap between them.
    """
    ordered = sorted(keys)
    groups = []
    start = 0
    for tenure in tenures:
        end = bisect.bisect_right(ordered, tenure.high, lo=start)
        groups.append(ordered[start:end])
        start = end
    return groups


def _read_low(tenure: Tenure) -> Key:
    return tenure.low


def _find_index(tenures: Sequence[Tenure], keys: KeyRange) -> int:
    index = bisect.bisect_right(tenures, keys.low, key=_read_low) - 1
    if index >= 0:
        tenure = tenures[index]
        if tenure.keys.covers(keys) and not tenure.moving:
            return index
    raise RuleError(
        Step.ASSIGN,
        f"keys {keys.low} to {keys.high}: accepted is part of one range "
        "that does not move",
    )


def _split(tenure: Tenure, move: Move, fence: Fence) -> list[Tenure]:
    """Return what becomes of a tenure of which a part moves."""
    keys = move.keys
    parts = []
    if tenure.low < keys.low:
        parts.append(
            Tenure(tenure.low, Key(keys.low - 1), tenure.owner, tenure.fence)
        )
    parts.append(
        Tenure(keys.low, keys.high, tenure.owner, fence, move.successor)
    )
    if keys.high < tenure.high:
        parts.append(
            Tenure(Key(keys.high + 1), tenure.high, tenure.owner, tenure.fence)
        )
    return parts
