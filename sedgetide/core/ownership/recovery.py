"""What has to be over before the first grant of an era of the store.

In the seconds that the store has lost, keys may have moved, and nobody who
lives needs to know of it. A leader that granted them to the owners that it
knows would make two owners. So first everyone who may hold a key of the
service gives all of them back, at a fence that no grant of before has; or so
much time passes that no such grant can hold any longer.
"""

from collections.abc import Collection

from sedgetide.core.history import Era
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName

_ERA_BITS = 32


def find_first_fence(era: Era) -> Fence:
    """Return a fence that is above all those of earlier eras.

    Fences are counted in the table of owners, and begin anew with an older
    one: without the era in their high digits they would be given out again.
    """
    return Fence(era << _ERA_BITS)


class Recovery:
    """Who has given back the keys of one service.

    Parameters
    ----------
    settled_at : float
        When everyone who lives is registered again; before, it is not known
        whom to ask.
    grants_expire_at : float
        When nothing granted in earlier eras can hold any longer.
    """

    def __init__(self, settled_at: float, grants_expire_at: float) -> None:
        self._settled_at = settled_at
        self._over_at = grants_expire_at
        self._released: set[IncarnationName] = set()

    def note_released(self, upstream: IncarnationName) -> None:
        """Take in that an upstream has given back all keys."""
        self._released.add(upstream)

    def list_released(self) -> Collection[IncarnationName]:
        """Return the upstreams that have given back all keys."""
        return frozenset(self._released)

    def list_pending_releases(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> list[IncarnationName]:
        """Return the upstreams that have to give back their keys now."""
        if not self._settled_at <= now < self._over_at:
            return []
        return [each for each in upstreams if each not in self._released]

    def is_over(
        self, upstreams: Collection[IncarnationName], now: float
    ) -> bool:
        """Tell whether keys may be granted to anyone."""
        if now >= self._over_at:
            return True
        return now >= self._settled_at and self._released.issuperset(upstreams)
