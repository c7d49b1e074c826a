"""Grants and fences of a simulated upstream, in memory.

The holder rejects grants whose fence is lower than one that was already seen
on any of the keys, so that a delayed grant cannot take keys back.
"""

import msgspec

from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import KeyRange


class _Grant(msgspec.Struct):
    keys: KeyRange
    fence: Fence
    until: float


class RangeHolder:
    """Grants and fences of one incarnation of an upstream.

    A grant entitles the upstream to run requests for a range of keys until
    it expires. A fence is a number that rises with each move of a range; it
    tells newer grants from older ones.

    Parameters
    ----------
    name : str
        Id of the upstream.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._grants: list[_Grant] = []
        self._fences: list[tuple[KeyRange, Fence]] = []
        self.running: list[Key] = []

    def _find_fence(self, keys: KeyRange) -> Fence:
        seen = [fence for each, fence in self._fences if each.overlaps(keys)]
        return max(seen, default=Fence(0))

    def _note_fence(self, keys: KeyRange, fence: Fence) -> None:
        self._fences = [
            (each, seen)
            for each, seen in self._fences
            if seen > fence or not keys.covers(each)
        ]
        self._fences.append((keys, fence))

    def grant(
        self, keys: KeyRange, fence: Fence, hold: float, arrived_at: float
    ) -> bool:
        """Apply a grant unless a higher fence was seen on any of the keys.

        Parameters
        ----------
        arrived_at : float
            Time at which the grant arrived; the hold counts from then, even
            if the grant is applied later.
        """
        if self._find_fence(keys) > fence:
            return False
        self._note_fence(keys, fence)
        self._remove_keys(keys)
        self._grants.append(_Grant(keys, fence, arrived_at + hold))
        return True

    def release(self, keys: KeyRange, fence: Fence) -> bool:
        """Release keys; return whether no request on them is running."""
        self._note_fence(keys, fence)
        self._remove_keys(keys)
        return not any(keys.low <= key <= keys.high for key in self.running)

    def _remove_keys(self, keys: KeyRange) -> None:
        """Remove the keys from all grants."""
        kept = []
        for grant in self._grants:
            if not grant.keys.overlaps(keys):
                kept.append(grant)
                continue
            if grant.keys.low < keys.low:
                left = KeyRange(grant.keys.low, Key(keys.low - 1))
                kept.append(_Grant(left, grant.fence, grant.until))
            if keys.high < grant.keys.high:
                right = KeyRange(Key(keys.high + 1), grant.keys.high)
                kept.append(_Grant(right, grant.fence, grant.until))
        self._grants = kept

    def find_fence(self, key: Key, now: float) -> Fence | None:
        """Return the fence under which a key is held, or None."""
        for grant in self._grants:
            if grant.keys.low <= key <= grant.keys.high and now < grant.until:
                return grant.fence
        return None
