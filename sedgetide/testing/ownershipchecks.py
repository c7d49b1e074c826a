"""Checks of the ownership simulation that compare successive holders."""

from collections.abc import Collection
from collections.abc import Iterable

from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import Key
from sedgetide.testing.rangeholder import RangeHolder


class FenceCheck:
    """Checks that a key moves with a fence above those of all its holders.

    Another process of the same upstream is another holder.

    Parameters
    ----------
    keys : collection of Key
        Keys to check.
    """

    def __init__(self, keys: Collection[Key]) -> None:
        self._fences: dict[Key, dict[str, Fence]] = {key: {} for key in keys}

    def check(self, holders: Iterable[RangeHolder], now: float) -> list[str]:
        """Return a message for each key that was taken at a wrong fence."""
        problems = []
        for holder in holders:
            for key, fences in self._fences.items():
                fence = holder.find_fence(key, now)
                if fence is None or fences.get(holder.name) == fence:
                    continue
                problems += [
                    f"key {key}: {holder.name} took it at fence {fence}, and "
                    f"{name} had it at {other}"
                    for name, other in fences.items()
                    if name != holder.name and other >= fence
                ]
                fences[holder.name] = fence
        return problems
