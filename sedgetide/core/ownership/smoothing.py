"""Load estimates of keys without statistical noise.

The averages cover only a few dozen requests per range, so most differences
between equal ranges are due to chance; a leader that acted on them would move
keys all day without balancing anything. The total load of all ranges, however,
is known well. A range is therefore assumed to have the mean load for its
width, unless its observed load deviates by more than chance explains, or all
ranges together deviate by more.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.load import LoadEstimate
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import Tenure

# Standard deviations in addition to those of the most extreme of so many
# ranges by chance. One range of a few hundred is then misjudged per round.
_SIGNIFICANCE_MARGIN = 1.0
# Number of points at which a range with uniform load can be split.
_MAX_POINTS = 16
# Busy keys lie close together, and moves cut them into ranges of a few keys.
_NEIGHBOURHOOD_KEYS = 64


class _RangeStatistics:
    """Load of all ranges according to one estimate."""

    def __init__(
        self, estimate: LoadEstimate, tenures: Sequence[Tenure]
    ) -> None:
        self.estimate = estimate
        self.keys = group_keys(estimate.rates, tenures)
        self.work = [
            sum(estimate.rates[key] for key in keys) for keys in self.keys
        ]
        self._deviations = _SIGNIFICANCE_MARGIN + math.sqrt(
            2 * math.log(len(tenures) + 1)
        )

    def list_rates(self, index: int) -> dict[Key, float]:
        """Return the load of each key of a range."""
        return {key: self.estimate.rates[key] for key in self.keys[index]}

    def is_significant(self, work: float, expected: float) -> bool:
        """Return whether a load deviates significantly.

        Uses Bernstein's bound: if little load is expected, a few requests
        exceed the standard deviation by far and may still be chance.
        """
        noise = self.estimate.noise
        bound = self._deviations * math.sqrt(noise * expected)
        bound += self._deviations**2 * noise / 3
        return abs(work - expected) > bound

    def find_level(self, expected: Sequence[float]) -> float:
        """Return the ratio of the load to an expected one.

        Ranges that deviate significantly are left out, so that the load of
        a few hot keys doesn't count for all.
        """
        level = self._compare(expected, range(len(expected)))
        usual = [
            index
            for index, each in enumerate(expected)
            if not self.is_significant(self.work[index], level * each)
        ]
        return self._compare(expected, usual) if usual else level

    def _compare(
        self, expected: Sequence[float], indices: Sequence[int]
    ) -> float:
        total = sum(expected[index] for index in indices)
        found = sum(self.work[index] for index in indices)
        return found / total if found > 0 and total > 0 else 1.0


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
    The load of a range is taken from the longest time constant, which has
    the least noise. If shorter ones show that it has changed since, it is
    taken from the shortest of these, because a change is still diluted in
    the others. Ranges are compared one by one, then together with narrow
    neighbours, then together with the other ranges of their owner: many
    narrow ranges may each be busier than expected by no more than chance,
    and overload their owner together.
    """
    statistics = [
        _RangeStatistics(estimate, tenures)
        for estimate in estimates
        if estimate.rates
    ]
    if not tenures or not statistics:
        return {}
    smoothed = _smooth_longest(statistics[-1], tenures)
    expected = [sum(rates.values()) for rates in smoothed]
    levels = [each.find_level(expected) for each in statistics]
    used = [len(statistics) - 1] * len(tenures)
    singles = [[index] for index in range(len(tenures))]
    for groups in (singles, _list_neighbours(tenures), _list_owned(tenures)):
        for indices in groups:
            work = sum(expected[index] for index in indices)
            # A change is still diluted in longer time constants.
            longest = min(used[index] for index in indices)
            order = _find_change(
                statistics[: longest + 1], levels, indices, work
            )
            if order is None:
                continue
            for index in indices:
                used[index] = order
                smoothed[index] = _scale(
                    statistics[order].list_rates(index), 1 / levels[order]
                )
                expected[index] = sum(smoothed[index].values())
    # A burst shows in all ranges at once, first in the shortest time constant.
    return {
        key: rate * levels[0]
        for rates in smoothed
        for key, rate in rates.items()
    }


def _find_change(
    statistics: Sequence[_RangeStatistics],
    levels: Sequence[float],
    indices: Sequence[int],
    work: float,
) -> int | None:
    """Return the index of the shortest time constant that shows a change.

    Parameters
    ----------
    statistics : sequence of _RangeStatistics
        Load by time constant, the shortest one first.
    levels : sequence of float
        Ratio of the load of all ranges to the expected one, likewise.
    indices : sequence of int
        Ranges that are considered together.
    work : float
        Their expected load.
    """
    for order, each in enumerate(statistics):
        seen = sum(each.work[index] for index in indices)
        if each.is_significant(seen, levels[order] * work):
            return order
    return None


def _list_neighbours(tenures: Sequence[Tenure]) -> list[list[int]]:
    """Return groups of adjacent narrow ranges."""
    groups: dict[int, list[int]] = collections.defaultdict(list)
    for index, tenure in enumerate(tenures):
        if len(tenure.keys) < _NEIGHBOURHOOD_KEYS:
            groups[tenure.low // _NEIGHBOURHOOD_KEYS].append(index)
    return list(groups.values())


def _list_owned(tenures: Sequence[Tenure]) -> list[list[int]]:
    """Return groups of ranges with the same owner."""
    groups: dict[IncarnationName, list[int]] = collections.defaultdict(list)
    for index, tenure in enumerate(tenures):
        groups[tenure.successor or tenure.owner].append(index)
    return list(groups.values())


def _smooth_longest(
    longest: _RangeStatistics, tenures: Sequence[Tenure]
) -> list[dict[Key, float]]:
    """Return the load of each range if it has not changed of late.

    The deviation of a range from the mean density counts as far as the
    ranges differ by more than chance (James and Stein's estimator).
    """
    widths = [float(len(each.keys)) for each in tenures]
    density = longest.find_level(widths)
    expected = [density * width for width in widths]
    usual = [
        index
        for index, work in enumerate(expected)
        if not longest.is_significant(longest.work[index], work)
    ]
    noise = longest.estimate.noise
    # Weighted by load, as ranges of a few keys differ more than wide ones.
    spread = sum(
        (longest.work[index] - expected[index]) ** 2 / expected[index] - noise
        for index in usual
        if expected[index] > 0
    )
    total = sum(expected[index] for index in usual)
    variance = max(0.0, spread / total) if total > 0 else 0.0
    credible = dict.fromkeys(range(len(tenures)), 1.0)
    for index in usual:
        signal = variance * expected[index]
        credible[index] = signal / (signal + noise) if signal > 0 else 0.0
    return [
        _blend(
            _spread_evenly(tenure, expected[index]),
            longest.list_rates(index),
            credible[index],
        )
        for index, tenure in enumerate(tenures)
    ]


def _blend(
    expected: Mapping[Key, float], seen: Mapping[Key, float], credible: float
) -> dict[Key, float]:
    if credible >= 1.0:
        return dict(seen)
    blended = _scale(expected, 1.0 - credible)
    if credible > 0:
        for key, rate in seen.items():
            blended[key] = blended.get(key, 0.0) + rate * credible
    return blended


def _scale(rates: Mapping[Key, float], factor: float) -> dict[Key, float]:
    return {key: rate * factor for key, rate in rates.items()}


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
