"""How busy upstreams are, and would be after moves that are planned."""

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
        Which.
    slots : float
        Requests it works on at a time; less of them while it is cold and
        bears fewer a second.
    slowness : float
        Factor by which its requests take longer than usual.
    """

    name: IncarnationName
    slots: float
    slowness: float = 1.0


class ProjectedLoad:
    """Busy share of each taker, as it would be after the moves so far."""

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
        self.cuts: dict[IncarnationName, list[KeyRange]] = (
            collections.defaultdict(list)
        )
        # Upstreams that have more than enough to do with one key alone.
        self.crowded: set[IncarnationName] = set()
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

    def find_busy(self, name: IncarnationName, more: float = 0.0) -> float:
        taker = self.eligible[name]
        return (self.work[name] + more) * taker.slowness / taker.slots

    def find_mean(self) -> float:
        """Return how busy an upstream is on average."""
        busy = sum(self.find_busy(name) for name in self.eligible)
        return busy / len(self.eligible)

    def find_idlest(self) -> IncarnationName:
        return min(
            self.eligible.keys() - self.crowded or self.eligible,
            key=lambda name: (
                self.find_busy(name),
                self.counts[name] / self.eligible[name].slots,
                name,
            ),
        )

    def shift(
        self,
        work: float,
        source: IncarnationName | None,
        goal: IncarnationName,
    ) -> None:
        if source in self.work:
            self.work[source] -= work
        self.work[goal] += work
        self.counts[goal] += 1
