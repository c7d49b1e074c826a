"""Conditions for the first grant after the store was restored from a backup.

The restored store has lost its last writes. Keys may have moved in that time
without any running host knowing of it, and a leader that granted them to the
owners it knows could create a second owner. Therefore all upstreams that may
hold keys of the service first release all of them, at a fence higher than
that of any earlier grant, or the leader waits until all earlier grants have
expired. Each restoration begins a new era of the store.
"""

from collections.abc import Collection

from sedgetide.core.history import Era
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName

_ERA_BITS = 32


def find_first_fence(era: Era) -> Fence:
    """Return a fence that is higher than all fences of earlier eras.

    Fences are counted in the range table, so a restored older table would
    issue some of them again. The era in the high bits prevents this.
    """
    return Fence(era << _ERA_BITS)


class Recovery:
    """Upstreams of one service that have released their keys in a new era.

    Parameters
    ----------
    settled_at : float
        Time at which all running upstreams are registered again. Before it
        the upstreams to ask are not known.
    grants_expire_at : float
        Time at which all grants of earlier eras have expired.
    """

    def __init__(self, settled_at: float, grants_expire_at: float) -> None:
        self._settled_at = settled_at
        self._grants_expire_at = grants_expire_at
        self._released: set[IncarnationName] = set()

    def note_released(self, upstream: IncarnationName) -> None:
        """Record that an upstream has released all keys."""
        self._released.add(upstream)

    def list_released(self) -> Collection[IncarnationName]:
        """Return the upstreams that have released all keys."""
        return frozenset(self._released)

    def list_pending_releases(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> list[IncarnationName]:
        """Return the upstreams that still have to release their keys."""
        if not self._settled_at <= now < self._grants_expire_at:
            return []
        return [each for each in upstreams if each not in self._released]

    def is_over(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> bool:
        """Return whether keys may be granted again."""
        if now >= self._grants_expire_at:
            return True
        return now >= self._settled_at and self._released.issuperset(upstreams)
