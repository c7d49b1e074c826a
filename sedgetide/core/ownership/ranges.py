"""Owners of the key ranges of one service.

Tables are immutable. Each method that changes one returns the next version,
which takes effect only once the leader has written it to the store.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum

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
    """Keys from ``low`` to ``high``, both inclusive."""

    low: Key
    high: Key

    def __len__(self) -> int:
        return self.high - self.low + 1

    def overlaps(self, other: "KeyRange") -> bool:
        """Return whether the two ranges share any key."""
        return self.low <= other.high and other.low <= self.high

    def covers(self, other: "KeyRange") -> bool:
        """Return whether this range contains all keys of another one."""
        return self.low <= other.low and other.high <= self.high


ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


class MoveId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one move among all moves of a service.

    Each move gets a fence of its own, so no two moves have the same one.

    Parameters
    ----------
    low : Key
        First key of the moving range.
    fence : Fence
        Fence of the successor's grant.
    """

    low: Key
    fence: Fence


class Tenure(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of a key range by one upstream.

    A fence is a fencing token: it increases with every change of ownership,
    and an upstream rejects grants with a fence lower than one it has seen
    for the same keys.

    Parameters
    ----------
    low, high : Key
        First and last key of the range.
    owner : IncarnationName
        Current owner; while the range is moving, the previous owner, which
        has to stop first.
    fence : Fence
        Fence of the owner's grant; while the range is moving, that of the
        successor's.
    successor : IncarnationName
        Next owner of a moving range; empty otherwise.
    """

    low: Key
    high: Key
    owner: IncarnationName
    fence: Fence
    successor: IncarnationName = NO_UPSTREAM

    @property
    def keys(self) -> KeyRange:
        """Key range of the tenure."""
        return KeyRange(self.low, self.high)

    @property
    def move_id(self) -> MoveId:
        """Id of the move of the range, if it is or was moving."""
        return MoveId(self.low, self.fence)

    @property
    def moving(self) -> bool:
        """Whether the range is moving.

        It has no owner until the previous one has stopped.
        """
        return self.successor != NO_UPSTREAM


class MoveReason(enum.Enum):
    """Why a range moves, as in log lines and metrics."""

    BALANCE = "balance"
    HOT_KEY = "hot-key"
    EVICTION = "eviction"
    EVACUATION = "evacuation"
    CONSOLIDATION = "consolidation"
    FENCE = "fence"


class Move(msgspec.Struct, frozen=True):
    """A key range and the upstream that is to become its owner."""

    keys: KeyRange
    successor: IncarnationName
    reason: MoveReason = MoveReason.BALANCE


class RetainedRange(msgspec.Struct, frozen=True):
    """Keys that stay with the upstream that may hold them."""

    keys: KeyRange
    holder: IncarnationName


class RangeTable(msgspec.Struct, frozen=True):
    """Owners of all keys of one service.

    Invariants: tenures are disjoint, sorted, and cover all keys once any is
    assigned; ``fence`` is the highest one ever used; a range changes its
    owner only by a move, which gets a fence of its own.
    """

    fence: Fence = NO_FENCE
    tenures: tuple[Tenure, ...] = ()

    def find(self, key: Key) -> Tenure | None:
        """Return the tenure of a key, or None if no keys are assigned."""
        index = bisect.bisect_right(self.tenures, key, key=_get_low) - 1
        return self.tenures[index] if index >= 0 else None

    def list_owned(self, owner: IncarnationName) -> list[Tenure]:
        """Return the ranges of an upstream that are not moving."""
        return [
            each
            for each in self.tenures
            if each.owner == owner and not each.moving
        ]

    def list_moving(self) -> list[Tenure]:
        """Return the ranges that are moving."""
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
            If keys already have owners or no owners are given.
        """
        if self.tenures or not owners:
            raise RuleError(
                Step.ASSIGN,
                f"cannot assign first owners with {len(self.tenures)} ranges "
                f"and {len(owners)} owners: expected no ranges and at least "
                "one owner",
            )
        fence = Fence(self.fence + 1)
        total = sum(weight for _, weight in owners)
        tenures = []
        assigned_weight = 0
        low = FIRST_KEY
        for name, weight in owners:
            assigned_weight += weight
            end = Key(KEY_COUNT * assigned_weight // total)
            if end > low:
                tenures.append(Tenure(low, Key(end - 1), name, fence))
            low = end
        return RangeTable(fence, tuple(tenures))

    def restart(
        self,
        fence: Fence,
        owners: Collection[IncarnationName],
        retained: Collection[RetainedRange] = (),
    ) -> "RangeTable":
        """Reassign all ranges that no upstream holds any more.

        Moving ranges go to their successors, and ranges whose owner is not
        among ``owners`` to the upstream with the fewest keys.

        Parameters
        ----------
        fence : Fence
            Lower bound of the new fence, exclusive.
        owners : collection of IncarnationName
            Upstreams that may own keys.
        retained : collection of RetainedRange
            Disjoint ranges that stay with their holders, whether or not
            these are among ``owners``.

        Raises
        ------
        RuleError
            If ``owners`` is empty.
        """
        if not owners:
            raise RuleError(
                Step.ASSIGN, "no owners given: expected at least one"
            )
        fence = Fence(max(self.fence, fence) + 1)
        counts = dict.fromkeys(sorted(owners), 0)
        holders = {each.keys.low: each.holder for each in retained}
        parts = _cut_out(self.tenures, retained)
        for keys, next_owner in parts:
            if next_owner in counts:
                counts[next_owner] += len(keys)
        tenures: list[Tenure] = []
        for keys, next_owner in parts:
            owner = next_owner
            if owner not in counts and holders.get(keys.low) != owner:
                owner = min(counts, key=counts.__getitem__)
                counts[owner] += len(keys)
            low = keys.low
            if tenures and tenures[-1].owner == owner:
                low = tenures.pop().low
            tenures.append(Tenure(low, keys.high, owner, fence))
        return RangeTable(fence, tuple(tenures))

    def begin(self, moves: Iterable[Move]) -> "RangeTable":
        """Start moves, each of a part of one tenure that is not moving.

        Raises
        ------
        RuleError
            If a range spans several tenures or is already moving.
        """
        fence = self.fence
        tenures = list(self.tenures)
        for move in moves:
            index = _find_index(tenures, move.keys)
            fence = Fence(fence + 1)
            tenures[index : index + 1] = _split(tenures[index], move, fence)
        return RangeTable(fence, tuple(tenures))

    def complete(self, moved: Iterable[Tenure]) -> "RangeTable":
        """Complete moves whose previous owners have stopped.

        Parameters
        ----------
        moved : iterable of Tenure
            Moving tenures of this table. Tenures that are no longer in the
            table, because a later change replaced them, are ignored.
        """
        done = set(moved)
        tenures = [
            Tenure(each.low, each.high, each.successor, each.fence)
            if each in done and each.moving
            else each
            for each in self.tenures
        ]
        return RangeTable(self.fence, tuple(tenures))

    def list_identified(self, moves: Collection[MoveId]) -> list[Tenure]:
        """Return the moving ranges whose moves are among the given ones."""
        return [each for each in self.list_moving() if each.move_id in moves]

    def merge(self) -> "RangeTable":
        """Join adjacent ranges of the same owner, each at a new fence.

        Moves split ranges into ever smaller ones, and each range costs a
        renewal. The owner does not change, so nothing has to stop first.
        Returns the table itself if there is nothing to join.
        """
        fence = self.fence
        merged: list[Tenure] = []
        merged_indices: set[int] = set()
        for tenure in self.tenures:
            last = merged[-1] if merged else None
            if last is None or not _are_joinable(last, tenure):
                merged.append(tenure)
                continue
            if len(merged) - 1 not in merged_indices:
                merged_indices.add(len(merged) - 1)
                fence = Fence(fence + 1)
            merged[-1] = Tenure(last.low, tenure.high, last.owner, fence)
        if not merged_indices:
            return self
        return RangeTable(fence, tuple(merged))

    def raise_fences(
        self, kept: Collection[Tenure], fence: Fence
    ) -> "RangeTable":
        """Give ranges that stay with their owners a new fence.

        An owner serves under its former grant until it gets the new one, so
        nothing has to stop first.

        Parameters
        ----------
        kept : collection of Tenure
            Ranges of this table that are not moving.
        fence : Fence
            New fence. Later changes of the table get higher ones.
        """
        raised = set(kept)
        tenures = [
            Tenure(each.low, each.high, each.owner, fence)
            if each in raised
            else each
            for each in self.tenures
        ]
        return RangeTable(Fence(max(self.fence, fence)), tuple(tenures))


def _are_joinable(left: Tenure, right: Tenure) -> bool:
    settled = not left.moving and not right.moving
    return settled and left.owner == right.owner


def group_keys(
    keys: Iterable[Key], tenures: Iterable[Tenure]
) -> list[list[Key]]:
    """Group keys by range.

    Parameters
    ----------
    keys : iterable of Key
        Keys in any order.
    tenures : iterable of Tenure
        Ranges in ascending order, without gaps.

    Returns
    -------
    list of list of Key
        The sorted keys of each range.
    """
    ordered = sorted(keys)
    groups = []
    start = 0
    for tenure in tenures:
        end = bisect.bisect_right(ordered, tenure.high, lo=start)
        groups.append(ordered[start:end])
        start = end
    return groups


def _get_low(tenure: Tenure) -> Key:
    return tenure.low


def _find_index(tenures: Sequence[Tenure], keys: KeyRange) -> int:
    index = bisect.bisect_right(tenures, keys.low, key=_get_low) - 1
    if index >= 0:
        tenure = tenures[index]
        if tenure.keys.covers(keys) and not tenure.moving:
            return index
    raise RuleError(
        Step.ASSIGN,
        f"cannot move keys {keys.low} to {keys.high}: expected a part of one "
        "range that is not moving",
    )


def _cut_out(
    tenures: Iterable[Tenure], retained: Iterable[RetainedRange]
) -> list[tuple[KeyRange, IncarnationName]]:
    """Return the ranges of the next owners, and the retained ones."""
    kept = sorted(retained, key=lambda each: each.keys)
    parts = [(each.keys, each.holder) for each in kept]
    index = 0
    for tenure in tenures:
        next_owner = tenure.successor or tenure.owner
        low = tenure.low
        while index < len(kept) and kept[index].keys.low <= tenure.high:
            keys = kept[index].keys
            if low < keys.low:
                parts.append((KeyRange(low, Key(keys.low - 1)), next_owner))
            low = Key(max(low, keys.high + 1))
            if keys.high > tenure.high:
                break
            index += 1
        if low <= tenure.high:
            parts.append((KeyRange(low, tenure.high), next_owner))
    return sorted(parts)


def _split(tenure: Tenure, move: Move, fence: Fence) -> list[Tenure]:
    """Return the tenures that replace one of which a part moves."""
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
