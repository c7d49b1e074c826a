"""How busy keys and upstreams are, as hosts report it to the leader."""

from collections.abc import Collection
import math

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import ServiceName

_FORGET = 3.0
_SLOWNESS_FORGET = 8.0
_SMALLEST = 0.005
_SLOWNESS_GAIN = 0.25
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


class _Slowness(msgspec.Struct):
    value: float = 1.0
    noted_at: float = 0.0


class LoadBook:
    """Work of the last seconds by key, and how slow each upstream is.

    Only keys that were asked for lately are kept.
    """

    def __init__(self) -> None:
        self._work: dict[ServiceName, dict[Key, float]] = {}
        self._slowness: dict[IncarnationName, _Slowness] = {}
        self._aged_at = float("-inf")
        self.began_at: float | None = None

    def note_keys(self, work: list[KeyWork], now: float) -> None:
        """Take in work asked for since the last report of a host."""
        self._age(now)
        if self.began_at is None and work:
            self.began_at = now
        for each in work:
            keys = self._work.setdefault(each.service, {})
            keys[each.key] = keys.get(each.key, 0.0) + each.seconds

    def note_upstreams(self, seen: list[UpstreamWork], now: float) -> None:
        """Take in what a host saw of upstreams."""
        for each in seen:
            if not each.answers and not each.failures:
                continue
            known = self._slowness.setdefault(each.upstream, _Slowness())
            known.noted_at = now
            if each.answers:
                mean = each.slowness / each.answers
                gain = 1 - (1 - _SLOWNESS_GAIN) ** each.answers
                target = min(_SLOWNESS_MOST, mean)
                known.value += gain * (target - known.value)
            for _ in range(min(each.failures, 4)):
                # A failed request has cost its slot and earned nothing.
                known.value = min(_SLOWNESS_MOST, known.value * 1.15 + 0.1)

    def _age(self, now: float) -> None:
        passed = now - self._aged_at
        self._aged_at = now
        if math.isinf(passed):
            return
        factor = math.exp(-passed / _FORGET)
        for service, keys in self._work.items():
            self._work[service] = {
                key: seconds * factor
                for key, seconds in keys.items()
                if seconds * factor > _SMALLEST
            }

    def list_rates(self, service: ServiceName, now: float) -> dict[Key, float]:
        """Return the slots that each key keeps busy."""
        self._age(now)
        span = _FORGET
        if self.began_at is not None:
            # Before the memory has filled up, less than it holds came in.
            age = max(0.3, now - self.began_at)
            span = _FORGET * (1 - math.exp(-age / _FORGET))
        keys = self._work.get(service, {})
        return {key: seconds / span for key, seconds in keys.items()}

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
