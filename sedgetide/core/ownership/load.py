"""Load of keys and upstreams as reported to the leader by the hosts.

An upstream with two slots receives about six requests per second. Over three
seconds its load deviates from the long-term mean by a sixth by chance alone,
and among two hundred upstreams the busiest one appears half as busy again as
it is. The load is therefore averaged over several time constants: short ones
detect a change quickly, long ones reveal smaller differences, and each
estimate includes its statistical noise.
"""

from collections.abc import Collection
import math

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import ServiceName

# Seconds. The first detects a burst of requests for a few keys, the second a
# busy range, and the third a lasting difference of a third between two of 200
# upstreams.
_TIME_CONSTANTS = (1.5, 5.0, 15.0)
# Occupied slots of a key below which it is not kept on its own. 0.005
# corresponds to one request in 40 s. The work of such keys is kept as that of
# one key of each 64 neighbours: dropping it took a sixth of all work out of
# the longest average, and nearly all of it from ranges without busy keys.
_MIN_RATE = 0.005
_CELL_KEYS = 64
# Occupied slots of 64 neighbouring keys below which their work is dropped.
_MIN_CELL_RATE = 0.0005
# Age in time constants at which the exponentially growing weights are
# rescaled, long before they overflow.
_MAX_SCALED_AGE = 100.0
# Weight of a report in the moving average of the work of a request.
_WORK_GAIN = 0.02
# Lower bound of the observed time in seconds, right after the first report.
_MIN_OBSERVED_SECONDS = 0.3

# Seconds without observations after which excess slowness counts for a third.
_SLOWNESS_DECAY = 8.0
# Weight of the last answer in the short-term average, which shows a slowdown
# after four answers.
_SHORT_GAIN = 0.25
# Weight of the last answer in the long-term average. Response times vary by
# half, so a mean over 100 answers varies by a twenty-fifth, and the slowest of
# 200 equal upstreams appears a ninth slower than it is. This is less than the
# difference that balancing tolerates. Where work is slow for a fifth of the
# time, a mean over 40 answers varied by a seventh and keys moved because of
# it.
_LONG_GAIN = 0.01
# Weight, in answers, of the prior that an upstream is as fast as the others.
# With fewer, upstreams that seemed slow after a few answers lost keys.
_PRIOR_ANSWERS = 12
# The mean of four answers varies by a fifth; four times as much is not chance.
_CHANGE_THRESHOLD = 0.8
# Seconds for which a change must last. Where work is slow for 0.4 s at a time,
# keys moved because of it arrive at their new owner when it is over.
_CHANGE_DURATION = 0.7
_MAX_SLOWNESS = 8.0


class KeyWork(msgspec.Struct, frozen=True, array_like=True):
    """Work in seconds requested for one key."""

    service: ServiceName
    key: Key
    seconds: float


class UpstreamWork(msgspec.Struct, frozen=True, array_like=True):
    """Answers and failures of one upstream as observed by a host.

    Parameters
    ----------
    upstream : IncarnationName
        Name of the upstream incarnation.
    answers : int
        Number of answers.
    slowness : float
        Sum over the answers of the ratio of response time to usual time.
    failures : int
        Number of requests without a usable answer.
    """

    upstream: IncarnationName
    answers: int = 0
    slowness: float = 0.0
    failures: int = 0


class LoadEstimate(msgspec.Struct, frozen=True):
    """Load of a service's keys, averaged over one time constant.

    Parameters
    ----------
    rates : dict
        Average number of slots that each key occupies.
    noise : float
        Variance by chance per occupied slot.
    """

    rates: dict[Key, float]
    noise: float = 0.0


class _DecayingAverage:
    """Exponentially decaying average of the work by key.

    Weights are stored relative to the time of the last rescaling, so that a
    report only updates its own keys instead of all known ones.

    Parameters
    ----------
    time_constant : float
        Seconds after which work counts for about a third.
    """

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._work: dict[Key, float] = {}
        self._scaled_at: float | None = None

    def note(self, key: Key, seconds: float, now: float) -> None:
        if self._scaled_at is None:
            self._scaled_at = now
        age = (now - self._scaled_at) / self._time_constant
        if age > _MAX_SCALED_AGE:
            self._rescale(now)
            age = 0.0
        self._work[key] = self._work.get(key, 0.0) + seconds * math.exp(age)

    def _rescale(self, now: float) -> None:
        factor = math.exp(-(now - self._scaled_at) / self._time_constant)
        kept: dict[Key, float] = {}
        rare: dict[Key, float] = {}
        for key, work in self._work.items():
            work *= factor
            if work > _MIN_RATE * self._time_constant:
                kept[key] = work
            else:
                middle = Key(key - key % _CELL_KEYS + _CELL_KEYS // 2)
                rare[middle] = rare.get(middle, 0.0) + work
        for key, work in rare.items():
            if work > _MIN_CELL_RATE * self._time_constant:
                kept[key] = kept.get(key, 0.0) + work
        self._work = kept
        self._scaled_at = now

    def estimate(
        self, mean_work: float, seen: float, now: float
    ) -> LoadEstimate:
        """Return the current estimate.

        Parameters
        ----------
        mean_work : float
            Mean work of a request in seconds.
        seen : float
            Seconds since the first report, used to correct the average for
            a period of observation shorter than the time constant.
        now : float
            Current monotonic time in seconds.
        """
        if self._scaled_at is None:
            return LoadEstimate({})
        self._rescale(now)
        weight = self._time_constant * (
            1.0 - math.exp(-seen / self._time_constant)
        )
        squared_weight = (
            self._time_constant
            * (1.0 - math.exp(-2.0 * seen / self._time_constant))
            / 2
        )
        rates = {key: work / weight for key, work in self._work.items()}
        return LoadEstimate(rates, mean_work * squared_weight / weight**2)


class _ServiceLoad:
    def __init__(self) -> None:
        self.averages = tuple(
            _DecayingAverage(time_constant)
            for time_constant in _TIME_CONSTANTS
        )
        self.mean_work: float | None = None

    def note(self, work: Collection[KeyWork], now: float) -> None:
        mean = sum(each.seconds for each in work) / len(work)
        if self.mean_work is None:
            self.mean_work = mean
        self.mean_work += _WORK_GAIN * (mean - self.mean_work)
        for each in work:
            for average in self.averages:
                average.note(each.key, each.seconds, now)


class _SlownessEstimate:
    """Ratio of an upstream's response times to the usual ones."""

    def __init__(self) -> None:
        self._short = 1.0
        self._long = 1.0
        self._answers = 0
        self._changed_at: float | None = None
        self.noted_at = 0.0

    def note_answers(self, count: int, mean: float, now: float) -> None:
        target = min(_MAX_SLOWNESS, mean)
        self._answers += count
        self._short += _compound_gain(_SHORT_GAIN, count) * (
            target - self._short
        )
        min_gain = count / (self._answers + _PRIOR_ANSWERS)
        gain = max(min_gain, _compound_gain(_LONG_GAIN, count))
        self._long += gain * (target - self._long)
        self._note_change(now)

    def note_failure(self, now: float) -> None:
        # A failed request occupied a slot without producing an answer.
        self._short = min(_MAX_SLOWNESS, self._short * 1.15 + 0.1)
        self._note_change(now)

    def _note_change(self, now: float) -> None:
        self.noted_at = now
        difference = abs(self._short - self._long)
        if difference <= _CHANGE_THRESHOLD * self._long:
            self._changed_at = None
        elif self._changed_at is None:
            self._changed_at = now

    @property
    def value(self) -> float:
        if self._changed_at is None:
            return self._long
        lasted = self.noted_at - self._changed_at
        return self._short if lasted >= _CHANGE_DURATION else self._long


def _compound_gain(gain: float, count: int) -> float:
    return 1.0 - (1.0 - gain) ** count


class LoadTracker:
    """Recent work by key and slowness of each upstream."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _ServiceLoad] = {}
        self._slowness: dict[IncarnationName, _SlownessEstimate] = {}
        self.began_at: float | None = None

    def note_keys(self, work: list[KeyWork], now: float) -> None:
        """Record the work requested since the last report of a host."""
        if self.began_at is None and work:
            self.began_at = now
        by_service: dict[ServiceName, list[KeyWork]] = {}
        for each in work:
            by_service.setdefault(each.service, []).append(each)
        for service, some in by_service.items():
            load = self._services.setdefault(service, _ServiceLoad())
            load.note(some, now)

    def forget_keys(self) -> None:
        """Remove the work of all keys, and observe it anew."""
        self._services.clear()
        self.began_at = None

    def note_upstreams(self, seen: list[UpstreamWork], now: float) -> None:
        """Record the observations of a host about upstreams."""
        for each in seen:
            if not each.answers and not each.failures:
                continue
            known = self._slowness.setdefault(
                each.upstream, _SlownessEstimate()
            )
            if each.answers:
                mean = each.slowness / each.answers
                known.note_answers(each.answers, mean, now)
            for _ in range(min(each.failures, 4)):
                known.note_failure(now)

    def list_estimates(
        self, service: ServiceName, now: float
    ) -> list[LoadEstimate]:
        """Return an estimate per time constant, the shortest one first."""
        load = self._services.get(service)
        if load is None or load.mean_work is None:
            return [LoadEstimate({})]
        seen = _MIN_OBSERVED_SECONDS
        if self.began_at is not None:
            seen = max(seen, now - self.began_at)
        return [
            average.estimate(load.mean_work, seen, now)
            for average in load.averages
        ]

    def find_mean_work(self, service: ServiceName) -> float | None:
        """Return the mean work of a request in seconds, or None."""
        load = self._services.get(service)
        return None if load is None else load.mean_work

    def forget(self, known: Collection[IncarnationName]) -> None:
        """Remove all upstreams but the known ones."""
        for name in list(self._slowness):
            if name not in known:
                del self._slowness[name]

    def find_slowness(self, upstream: IncarnationName, now: float) -> float:
        """Return the ratio of an upstream's response time to the usual one."""
        known = self._slowness.get(upstream)
        if known is None:
            return 1.0
        # Without requests an upstream could never show that it has recovered,
        # so its slowness decays.
        trust = math.exp(-(now - known.noted_at) / _SLOWNESS_DECAY)
        return 1.0 + (known.value - 1.0) * trust
