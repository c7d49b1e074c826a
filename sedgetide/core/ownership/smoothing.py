"""Load estimates of keys without statistical noise.

The averages cover only a few dozen requests per range, so most differences
between equal ranges are due to chance; a leader that acted on them would move
keys all day without balancing anything. The total load of all ranges, however,
is known well. A range is therefore assumed to have the mean load for its
width, unless its observed load deviates by more than chance explains.
"""

from collections.abc import Sequence
import math

import msgspec

from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.load import LoadEstimate
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import Tenure

# Standard deviations in addition to those of the most extreme of so many
# ranges by chance. One range of a few hundred is then misjudged per round.
_SIGNIFICANCE_MARGIN = 1.0
# Number of points at which a range with uniform load can be split.
_MAX_POINTS = 16


class _RangeLoad(msgspec.Struct, frozen=True):
    """Load of one range according to one estimate."""

    keys: Sequence[Key]
    work: float


class _RangeStatistics:
    """Load of all ranges according to one estimate."""

    def __init__(
        self, estimate: LoadEstimate, tenures: Sequence[Tenure]
    ) -> None:
        self.estimate = estimate
        self._deviations = _SIGNIFICANCE_MARGIN + math.sqrt(
            2 * math.log(len(tenures) + 1)
        )
        self.loads = [
            _RangeLoad(keys, sum(estimate.rates[key] for key in keys))
            for keys in group_keys(estimate.rates, tenures)
        ]
        widths = [len(each.keys) for each in tenures]
        self.density = self._find_density(range(len(tenures)), widths)
        usual = [
            index
            for index, width in enumerate(widths)
            if not self.is_significant(index, self.density * width)
        ]
        if usual:
            # Exclude the load of a few hot keys.
            self.density = self._find_density(usual, widths)

    def _find_density(
        self, indices: Sequence[int], widths: Sequence[int]
    ) -> float:
        work = sum(self.loads[index].work for index in indices)
        return work / sum(widths[index] for index in indices)

    def is_significant(self, index: int, expected: float) -> bool:
        """Return whether the load of a range deviates significantly.

        Uses Bernstein's bound: if little load is expected, a few requests
        exceed the standard deviation by far and may still be chance.
        """
        noise = self.estimate.noise
        bound = self._deviations * math.sqrt(noise * expected)
        bound += self._deviations**2 * noise / 3
        return abs(self.loads[index].work - expected) > bound


def smooth_rates(
    estimates: Sequence[LoadEstimate], tenures: Sequence[Tenure]
) -> dict[Key, float]:
    """Return the smoothed number of occupied slots by key.

    Parameters
    ----------
    estimates : sequence of LoadEstimate
        Estimates by time constant, the shortest one first.
    tenures : sequence of Tenure
        All ranges, in order.

    Notes
    -----
    For a range that deviates significantly, the observed load is taken from
    the estimate with the shortest time constant in which the deviation is
    significant: a lasting deviation shows in all of them, and a recent one
    is still diluted in the longer ones.
    """
    statistics = [
        _RangeStatistics(estimate, tenures)
        for estimate in estimates
        if estimate.rates
    ]
    if not tenures or not statistics:
        return {}
    # Use the shortest time constant, as a burst shows in all ranges at once.
    density = statistics[0].density
    found: dict[Key, float] = {}
    for index, tenure in enumerate(tenures):
        significant = _find_significant(statistics, index, tenure)
        if significant is None:
            found.update(_spread_evenly(tenure, density * len(tenure.keys)))
            continue
        level = (
            density / significant.density if significant.density > 0 else 1.0
        )
        for key in significant.loads[index].keys:
            found[key] = significant.estimate.rates[key] * level
    return found


def _find_significant(
    statistics: Sequence[_RangeStatistics], index: int, tenure: Tenure
) -> _RangeStatistics | None:
    """Return the statistics that show a significant deviation of a range.

    If several do, those with the shortest time constant are returned; if
    none do, None.
    """
    for each in statistics:
        if each.is_significant(index, each.density * len(tenure.keys)):
            return each
    return None


def _spread_evenly(tenure: Tenure, work: float) -> dict[Key, float]:
    """Return work that is spread evenly over a range."""
    width = len(tenure.keys)
    points = min(width, _MAX_POINTS)
    if work <= 0:
        return {}
    return {
        Key(tenure.low + (2 * index + 1) * width // (2 * points)): work
        / points
        for index in range(points)
    }
