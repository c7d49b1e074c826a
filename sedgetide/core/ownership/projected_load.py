"""Utilization of upstreams, including the effect of planned moves."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import group_keys
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Tenure


class EligibleUpstream(msgspec.Struct, frozen=True):
    """An upstream that may own keys.

    Parameters
    ----------
    name : IncarnationName
        Name of the upstream incarnation.
    slots : float
        Number of requests it processes concurrently; reduced while it is
        cold and can handle fewer requests per second.
    slowness : float
        Ratio of its response time to the usual one.
    """

    name: IncarnationName
    slots: float
    slowness: float = 1.0


class ProjectedLoad:
    """Utilization of each eligible upstream after the moves planned so far.

    Parameters
    ----------
    tenures : sequence of Tenure
        All ranges, in order.
    eligible : mapping
        Upstreams that may own keys.
    rates : mapping
        Average number of slots that each key occupies.
    """

    def __init__(
        self,
        tenures: Sequence[Tenure],
        eligible: Mapping[IncarnationName, EligibleUpstream],
        rates: Mapping[Key, float],
    ) -> None:
        self.eligible = eligible
        self.keys: dict[IncarnationName, list[tuple[Tenure, list[Key]]]] = {
            name: [] for name in eligible
        }
        self.work = dict.fromkeys(eligible, 0.0)
        self.counts = dict.fromkeys(eligible, 0)
        self.planned_ranges: dict[IncarnationName, list[KeyRange]] = (
            collections.defaultdict(list)
        )
        # Upstreams that are fully occupied by a single hot key.
        self.hot_key_owners: set[IncarnationName] = set()
        self.rates = rates
        groups = group_keys(rates, tenures)
        for tenure, keys in zip(tenures, groups, strict=True):
            holder = tenure.successor or tenure.owner
            if holder not in eligible:
                continue
            self.counts[holder] += 1
            self.work[holder] += sum(rates[key] for key in keys)
            if not tenure.moving:
                self.keys[holder].append((tenure, keys))

    def find_utilization(
        self, name: IncarnationName, more: float = 0.0
    ) -> float:
        candidate = self.eligible[name]
        return (self.work[name] + more) * candidate.slowness / candidate.slots

    def find_mean_utilization(self) -> float:
        """Return the mean utilization of the eligible upstreams."""
        busy = sum(self.find_utilization(name) for name in self.eligible)
        return busy / len(self.eligible)

    def find_idlest(self) -> IncarnationName:
        return min(
            self.eligible.keys() - self.hot_key_owners or self.eligible,
            key=lambda name: (
                self.find_utilization(name),
                self.counts[name] / self.eligible[name].slots,
                name,
            ),
        )

    def apply_move(
        self,
        work: float,
        source: IncarnationName | None,
        destination: IncarnationName,
    ) -> None:
        if source in self.work:
            self.work[source] -= work
        self.work[destination] += work
        self.counts[destination] += 1
