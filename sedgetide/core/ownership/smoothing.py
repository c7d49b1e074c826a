"""Load of keys without what is likely to be chance.

Each range was asked for a few dozen requests in all that is remembered, so
most of what sets equal ranges apart is chance, and a leader that goes by it
moves keys all day and balances nothing. What all ranges together were asked
for is known well. So a range counts as much as its width says, unless it was
asked for more or less than chance explains; then what was seen counts.
"""

from collections.abc import Sequence
import math

import msgspec

from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.load import LoadEstimate
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import Tenure

# Standard deviations beyond what the most extreme of so many ranges shows by
# chance: one range of a few hundred then counts wrongly in a round.
_CERTAINTY = 1.0
# Points at which a range that is asked for evenly can be cut.
_POINTS = 16


class _Share(msgspec.Struct, frozen=True):
    """What one memory says of one range."""

    keys: Sequence[Key]
    work: float


class _Seen:
    """What one memory says of all ranges."""

    def __init__(self, view: LoadEstimate, tenures: Sequence[Tenure]) -> None:
        self.view = view
        self._certain = _CERTAINTY + math.sqrt(2 * math.log(len(tenures) + 1))
        self.shares = [
            _Share(keys, sum(view.rates[key] for key in keys))
            for keys in group_keys(view.rates, tenures)
        ]
        widths = [len(each.keys) for each in tenures]
        self.density = self._find_density(range(len(tenures)), widths)
        usual = [
            index
            for index, width in enumerate(widths)
            if not self.is_certain(index, self.density * width)
        ]
        if usual:
            # Without what is asked for a few hot keys.
            self.density = self._find_density(usual, widths)

    def _find_density(
        self, indices: Sequence[int], widths: Sequence[int]
    ) -> float:
        work = sum(self.shares[index].work for index in indices)
        return work / sum(widths[index] for index in indices)

    def is_certain(self, index: int, expected: float) -> bool:
        """Tell whether chance does not explain what was seen of a range.

        Bernstein's bound: where little is expected, a few requests are much
        more than the deviation says, and still chance.
        """
        noise = self.view.noise
        bound = self._certain * math.sqrt(noise * expected)
        bound += self._certain**2 * noise / 3
        return abs(self.shares[index].work - expected) > bound


def smooth_rates(
    views: Sequence[LoadEstimate], tenures: Sequence[Tenure]
) -> dict[Key, float]:
    """Return the slots that keys are taken to keep busy.

    Parameters
    ----------
    views : sequence of LoadEstimate
        What the memories show, the shortest one first.
    tenures : sequence of Tenure
        All ranges, in order.

    Notes
    -----
    A range that differs for certain counts as it was seen, by the shortest
    memory in which that is certain: what lasts is there in all of them, and
    what has just begun is as yet diluted in the longer ones.
    """
    seen = [_Seen(view, tenures) for view in views if view.rates]
    if not tenures or not seen:
        return {}
    # A burst shows in all ranges at once.
    density = seen[0].density
    found: dict[Key, float] = {}
    for index, tenure in enumerate(tenures):
        certain = _find_certain(seen, index, tenure)
        if certain is None:
            found.update(_spread(tenure, density * len(tenure.keys)))
            continue
        level = density / certain.density if certain.density > 0 else 1.0
        for key in certain.shares[index].keys:
            found[key] = certain.view.rates[key] * level
    return found


def _find_certain(
    seen: Sequence[_Seen], index: int, tenure: Tenure
) -> _Seen | None:
    """Return the shortest memory in which a range is out of the ordinary."""
    for each in seen:
        if each.is_certain(index, each.density * len(tenure.keys)):
            return each
    return None


def _spread(tenure: Tenure, work: float) -> dict[Key, float]:
    """Return work that is asked for evenly over a range."""
    width = len(tenure.keys)
    points = min(width, _POINTS)
    if work <= 0:
        return {}
    return {
        Key(tenure.low + (2 * index + 1) * width // (2 * points)): work
        / points
        for index in range(points)
    }
