"""How busy keys and upstreams are, as hosts report it to the leader.

An upstream of two slots is asked for six requests a second. What it was asked
for in three seconds differs by a sixth from what it is asked for in the long
run, by chance alone, and of two hundred upstreams the busiest seems half as
busy again as it is. So there are several memories: short ones show a change
soon, long ones show the rest, and each tells how much of it may be chance.
"""

from collections.abc import Collection
import math

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import ServiceName

# Seconds. A burst of requests for a few keys shows within the first, a busy
# range within the second, a lasting difference of a third between two of 200
# upstreams within the third.
_MEMORIES = (1.5, 5.0, 15.0)
# Of a key's busy slots; less is forgotten. 0.005 is one request in 40 s.
_SMALLEST = 0.005
# Scaled weights grow until then; far below the largest number.
_MOST_SCALED = 100.0
# Share of a report's mean that goes into the mean work of a request.
_WORK_GAIN = 0.02
# Before the memory has filled up, this many seconds count as seen.
_LEAST_SEEN = 0.3

_SLOWNESS_FORGET = 8.0
# Weight of the last answer: four answers show a slow-down.
_SLOWNESS_GAIN = 0.25
# The same in calm times. Times of answers vary by half, so the mean of 40
# still varies by a sixteenth, and the slowest of 200 equal upstreams seems a
# sixth slower than it is: less than is tolerated between two upstreams.
_CALM_GAIN = 0.025
# Answers that weigh as much as the belief that an upstream is as fast as the
# others; with fewer, those that a few answers made seem slow lost keys.
_BELIEF = 12
# Four answers in a row vary by a fifth; four times that is no chance.
_SURPRISE = 0.8
_SLOWNESS_MOST = 8.0


class KeyWork(msgspec.Struct, frozen=True, array_like=True):
    """Seconds of work that requests for one key asked for."""

    service: ServiceName
    key: Key
    seconds: float


class UpstreamWork(msgspec.Struct, frozen=True, array_like=True):
    """What a host saw of one upstream.

    Parameters
    ----------
    upstream : IncarnationName
        Which.
    answers : int
        Answers.
    slowness : float
        Sum, over them, of the time taken over what is usual.
    failures : int
        Requests without a usable answer.
    """

    upstream: IncarnationName
    answers: int = 0
    slowness: float = 0.0
    failures: int = 0


class LoadEstimate(msgspec.Struct, frozen=True):
    """Load of a service's keys, as one memory shows it.

    Parameters
    ----------
    rates : dict
        Slots that each key keeps busy.
    noise : float
        Variance by chance of each busy slot that is seen.
    """

    rates: dict[Key, float]
    noise: float = 0.0


class _Memory:
    """Work by key, of which less counts the longer ago it was.

    Weights are kept as they would be at the time of the last rescaling, so
    that a report costs its own keys and not all that are known.

    Parameters
    ----------
    span : float
        Seconds after which work counts for a third.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._work: dict[Key, float] = {}
        self._scaled_at: float | None = None

    def note(self, key: Key, seconds: float, now: float) -> None:
        if self._scaled_at is None:
            self._scaled_at = now
        age = (now - self._scaled_at) / self._span
        if age > _MOST_SCALED:
            self._rescale(now)
            age = 0.0
        self._work[key] = self._work.get(key, 0.0) + seconds * math.exp(age)

    def _rescale(self, now: float) -> None:
        factor = math.exp(-(now - self._scaled_at) / self._span)
        self._work = {
            key: work * factor
            for key, work in self._work.items()
            if work * factor > _SMALLEST * self._span
        }
        self._scaled_at = now

    def view(self, mean_work: float, seen: float, now: float) -> LoadEstimate:
        """Return what is remembered.

        Parameters
        ----------
        mean_work : float
            Seconds of work of a request.
        seen : float
            Seconds since the first report: before the memory has filled
            up, less than it holds came in.
        """
        if self._scaled_at is None:
            return LoadEstimate({})
        self._rescale(now)
        held = self._span * (1.0 - math.exp(-seen / self._span))
        squares = self._span * (1.0 - math.exp(-2.0 * seen / self._span)) / 2
        rates = {key: work / held for key, work in self._work.items()}
        return LoadEstimate(rates, mean_work * squares / held**2)


class _ServiceLoad:
    def __init__(self) -> None:
        self.memories = tuple(_Memory(span) for span in _MEMORIES)
        self.mean_work: float | None = None

    def note(self, work: Collection[KeyWork], now: float) -> None:
        mean = sum(each.seconds for each in work) / len(work)
        if self.mean_work is None:
            self.mean_work = mean
        self.mean_work += _WORK_GAIN * (mean - self.mean_work)
        for each in work:
            for memory in self.memories:
                memory.note(each.key, each.seconds, now)


class _Slowness:
    """Time that answers of an upstream take, over what is usual."""

    def __init__(self) -> None:
        self._short = 1.0
        self._long = 1.0
        self._answers = 0
        self.noted_at = 0.0

    def note_answers(self, count: int, mean: float) -> None:
        target = min(_SLOWNESS_MOST, mean)
        self._answers += count
        self._short += _find_gain(_SLOWNESS_GAIN, count) * (
            target - self._short
        )
        least = count / (self._answers + _BELIEF)
        gain = max(least, _find_gain(_CALM_GAIN, count))
        self._long += gain * (target - self._long)

    def note_failure(self) -> None:
        # A failed request has cost its slot and earned nothing.
        self._short = min(_SLOWNESS_MOST, self._short * 1.15 + 0.1)

    @property
    def value(self) -> float:
        if abs(self._short - self._long) > _SURPRISE * self._long:
            return self._short
        return self._long


def _find_gain(each: float, count: int) -> float:
    return 1.0 - (1.0 - each) ** count


class LoadTracker:
    """Work of the last seconds by key, and how slow each upstream is."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _ServiceLoad] = {}
        self._slowness: dict[IncarnationName, _Slowness] = {}
        self.began_at: float | None = None

    def note_keys(self, work: list[KeyWork], now: float) -> None:
        """Take in work asked for since the last report of a host."""
        if self.began_at is None and work:
            self.began_at = now
        by_service: dict[ServiceName, list[KeyWork]] = {}
        for each in work:
            by_service.setdefault(each.service, []).append(each)
        for service, some in by_service.items():
            load = self._services.setdefault(service, _ServiceLoad())
            load.note(some, now)

    def note_upstreams(self, seen: list[UpstreamWork], now: float) -> None:
        """Take in what a host saw of upstreams."""
        for each in seen:
            if not each.answers and not each.failures:
                continue
            known = self._slowness.setdefault(each.upstream, _Slowness())
            known.noted_at = now
            if each.answers:
                known.note_answers(each.answers, each.slowness / each.answers)
            for _ in range(min(each.failures, 4)):
                known.note_failure()

    def list_views(
        self, service: ServiceName, now: float
    ) -> list[LoadEstimate]:
        """Return the load as each memory shows it, the shortest first."""
        load = self._services.get(service)
        if load is None or load.mean_work is None:
            return [LoadEstimate({})]
        seen = _LEAST_SEEN
        if self.began_at is not None:
            seen = max(seen, now - self.began_at)
        return [
            memory.view(load.mean_work, seen, now) for memory in load.memories
        ]

    def find_mean_work(self, service: ServiceName) -> float | None:
        """Return the seconds of work of a request; None when unknown."""
        load = self._services.get(service)
        return None if load is None else load.mean_work

    def forget(self, known: Collection[IncarnationName]) -> None:
        """Forget upstreams that are gone."""
        for name in list(self._slowness):
            if name not in known:
                del self._slowness[name]

    def find_slowness(self, upstream: IncarnationName, now: float) -> float:
        """Return by what factor an upstream takes longer than usual."""
        known = self._slowness.get(upstream)
        if known is None:
            return 1.0
        # One that gets no requests has nothing to show that it recovered.
        trust = math.exp(-(now - known.noted_at) / _SLOWNESS_FORGET)
        return 1.0 + (known.value - 1.0) * trust
