"""Upstreams that register and leave by themselves."""

from collections.abc import Iterable

import msgspec

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName

# A registry that comes back has all live entries again within this time.
RETURN_GRACE = 2.3
# A lost upstream's entry lapses within this time.
_FOREIGN_LIFE = 3.0


class RegisteredUpstream(msgspec.Struct, frozen=True):
    """One start of an upstream's process.

    Parameters
    ----------
    name : UpstreamName
        Unique for each start.
    service : ServiceName
        Service it belongs to.
    address : str
        ``IP:port``.
    data_centre : DataCentre
        Where it runs.
    slots : int
        Requests it works on at a time.
    leaving : bool
        Whether it has announced its end.
    warmup : float
        Seconds for which it is still slow.
    """

    name: UpstreamName
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int = 1
    leaving: bool = False
    warmup: float = 0.0


class Directory:
    """Upstreams as the registry shows them, and when to believe it.

    An entry that disappears while the registry is disturbed need not mean
    that its upstream is gone: the registry may have let it lapse while
    nobody could renew it. Taking its keys away at once would stop a whole
    fleet after each outage, so such an entry stays for a grace period
    after the registry is back.

    Parameters
    ----------
    grace : float
        Seconds for which entries may be missing after the return.
    """

    def __init__(self, grace: float = RETURN_GRACE) -> None:
        self._grace = grace
        self._entries: dict[UpstreamName, RegisteredUpstream] = {}
        self._missing: set[UpstreamName] = set()
        self._foreign: dict[UpstreamName, float] = {}
        self._disturbed_until = float("-inf")
        self.changed_at = float("-inf")

    def note_disturbance(
        self, now: float, seconds: float | None = None
    ) -> None:
        """Take in that the registry gave no usable answer just now.

        Parameters
        ----------
        seconds : float or None
            For how long missing entries are not believed; the grace when
            None.
        """
        until = now + (self._grace if seconds is None else seconds)
        self._disturbed_until = max(self._disturbed_until, until)

    def find_disturbance(self, now: float) -> float:
        """Return for how long missing entries are not believed yet."""
        return max(0.0, self._disturbed_until - now)

    def put(self, upstream: RegisteredUpstream, now: float) -> None:
        """Take in an entry."""
        self._missing.discard(upstream.name)
        if self._entries.get(upstream.name) == upstream:
            return
        self._entries[upstream.name] = upstream
        self.changed_at = now

    def remove(self, name: UpstreamName, now: float) -> None:
        """Take in that an entry has disappeared."""
        entry = self._entries.get(name)
        if entry is None:
            return
        if now < self._disturbed_until and not entry.leaving:
            self._missing.add(name)
            return
        self._drop(name, now)

    def replace(
        self, upstreams: Iterable[RegisteredUpstream], now: float
    ) -> None:
        """Take in the whole registry, after its history was lost."""
        present = {each.name: each for each in upstreams}
        for name in list(self._entries):
            if name not in present:
                self.remove(name, now)
        for each in present.values():
            self.put(each, now)

    def expire(self, now: float) -> bool:
        """Drop entries whose grace is over; return whether any was."""
        if now < self._disturbed_until or not self._missing:
            return False
        for name in list(self._missing):
            self._drop(name, now)
        return True

    def note_foreign(self, name: UpstreamName, now: float) -> None:
        """Take in that another upstream answered at an entry's address.

        A lost upstream stands in the registry until its entry lapses, and
        its address may be given away before. Whoever has it now refuses
        everything within a millisecond, so that it seems the fastest of
        all and would get every request and every retry.
        """
        self._foreign[name] = now + _FOREIGN_LIFE

    def is_foreign(self, name: UpstreamName, now: float) -> bool:
        """Tell whether another upstream answered at its address lately."""
        return now < self._foreign.get(name, float("-inf"))

    def _drop(self, name: UpstreamName, now: float) -> None:
        self._foreign.pop(name, None)
        self._missing.discard(name)
        self._entries.pop(name, None)
        self.changed_at = now

    def find(self, name: UpstreamName) -> RegisteredUpstream | None:
        """Return an entry, or None when it is gone."""
        return self._entries.get(name)

    def find_active(self, name: UpstreamName) -> RegisteredUpstream | None:
        """Return an entry that may get new work, or None."""
        entry = self._entries.get(name)
        return None if entry is None or entry.leaving else entry

    def has_successor(self, name: UpstreamName, address: str) -> bool:
        """Tell whether another upstream has taken over an address.

        An address is given away only after the process that had it has
        ended, so an entry that is gone while another shows its address is
        gone for good.
        """
        if name in self._entries:
            return False
        return any(
            entry.address == address for entry in self._entries.values()
        )

    def list_active(self, service: ServiceName) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that may get new work."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and not entry.leaving
        ]

    def list_all(self) -> list[RegisteredUpstream]:
        """Return all entries."""
        return list(self._entries.values())
