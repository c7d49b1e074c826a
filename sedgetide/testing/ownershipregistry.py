"""Upstreams of the ownership simulation that register in the store.

An upstream is a process at an address. It keeps an entry in the store as long
as it reaches the store, and holds nothing and knows nothing when it starts.
"""

import msgspec

from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.core.errors import StoreError
from sedgetide.core.history import Era
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import StartTime
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.testing.leasestore import LeaseStoreModel
from sedgetide.testing.rangeholder import RangeHolder

SERVICE = ServiceName("maps")
_ENTRIES = "upstreams/"
ENTRY_LIFE = 2.6
_RENEW_INTERVAL = 0.87
_DATA_CENTRE = DataCentre("d-0")
_NO_ERA = Era(-1)


class UpstreamProcess:
    """One process of an upstream, with the keys that it holds.

    Parameters
    ----------
    entry : RegisteredUpstream
        Entry that it keeps in the store.
    """

    def __init__(self, entry: RegisteredUpstream) -> None:
        self.entry = entry
        self.name: IncarnationName = entry.name
        self.holder = RangeHolder(entry.name)
        self.store_unreachable_until = 0.0
        self.renew_at = 0.0
        self.era = _NO_ERA
        self.lease: LeaseId = NO_LEASE


class Registry:
    """Upstreams that run, and their entries in the store.

    Parameters
    ----------
    store : LeaseStoreModel
        Store that holds the entries.
    """

    def __init__(self, store: LeaseStoreModel) -> None:
        self._store = store
        self._by_address: dict[str, UpstreamProcess] = {}
        self.former_addresses: list[str] = []

    def list_running(self) -> list[UpstreamProcess]:
        """Return all upstreams that run."""
        return list(self._by_address.values())

    def find_at(self, address: str) -> UpstreamProcess | None:
        """Return the upstream that listens at an address."""
        return self._by_address.get(address)

    def is_running(self, process: UpstreamProcess) -> bool:
        """Return whether a process has not ended."""
        return self.find_at(process.entry.address) is process

    def start(
        self, name: UpstreamName, address: str, now: float
    ) -> UpstreamProcess:
        """Start an upstream at a free address."""
        entry = RegisteredUpstream(
            name,
            SERVICE,
            address,
            _DATA_CENTRE,
            born=StartTime(round(now * 1000)),
        )
        process = UpstreamProcess(entry)
        self._by_address[address] = process
        if address in self.former_addresses:
            self.former_addresses.remove(address)
        return process

    def end(self, process: UpstreamProcess) -> None:
        """End a process; its entry stays until it lapses."""
        if self.is_running(process):
            del self._by_address[process.entry.address]
            self.former_addresses.append(process.entry.address)

    def leave(self, process: UpstreamProcess) -> None:
        """Announce the end of a process in its entry."""
        process.entry = msgspec.structs.replace(process.entry, leaving=True)
        process.era = _NO_ERA

    def step(self, now: float) -> None:
        """Write or renew the entries of upstreams that reach the store."""
        for process in self._by_address.values():
            due = max(process.renew_at, process.store_unreachable_until)
            if now >= due:
                process.renew_at = now + _RENEW_INTERVAL
                self._renew(process, now)

    def _renew(self, process: UpstreamProcess, now: float) -> None:
        if process.era == self._store.era:
            try:
                self._store.renew_lease(process.lease, now)
            except StoreError:
                pass
            else:
                return
        process.era = self._store.era
        process.lease = self._store.open_lease(ENTRY_LIFE, now)
        key = _ENTRIES + process.entry.registered_name
        value = msgspec.json.encode(process.entry)
        self._store.put(key, value, process.lease)

    def list_entries(self) -> list[RegisteredUpstream]:
        """Return the entries that the store shows."""
        return [
            msgspec.json.decode(item.value, type=RegisteredUpstream)
            for item in self._store.list(_ENTRIES).items
        ]
