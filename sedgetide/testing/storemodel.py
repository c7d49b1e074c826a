"""State of the simulated store, without I/O."""

import enum

import msgspec

from sedgetide.core.configuration.records import Record
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision


class StoreFault(enum.Enum):
    """Faults that can be injected into the simulated store.

    Attributes
    ----------
    LOST_REPLY
        Writes take effect, but their answers are lost.
    """

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOST_REPLY = "lost-reply"


class SwapResult(msgspec.Struct, frozen=True):
    """Result of a compare-and-swap."""

    swapped: bool
    revision: Revision


class _Lease(msgspec.Struct):
    ttl: float
    expires: float
    keys: set[str]


class StoreModel:
    """Key-value store with one revision counter for all keys, and leases."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self._records: dict[str, Record] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_count = 0

    def read(self, key: str) -> Record | None:
        """Return the current version of a key."""
        return self._records.get(key)

    def swap(
        self, key: str, value: bytes, expected: int, lease: int | None = None
    ) -> SwapResult:
        """Write a value by compare-and-swap on its revision."""
        held = self._records.get(key)
        found = NO_REVISION if held is None else held.revision
        if found != expected:
            return SwapResult(False, found)
        self.revision = Revision(self.revision + 1)
        self._records[key] = Record(key, self.revision, value)
        if lease is not None:
            self._leases[lease].keys.add(key)
        return SwapResult(True, self.revision)

    def list_changes(self, prefix: str, since: int) -> list[Record]:
        """Return the keys with a prefix that changed after a revision."""
        return sorted(
            (
                record
                for key, record in self._records.items()
                if key.startswith(prefix) and record.revision > since
            ),
            key=lambda record: record.revision,
        )

    def grant_lease(self, ttl: float, now: float) -> int:
        """Open a lease; keys attached to it are deleted when it expires."""
        self._lease_count += 1
        self._leases[self._lease_count] = _Lease(ttl, now + ttl, set())
        return self._lease_count

    def renew_lease(self, lease: int, now: float) -> bool:
        """Renew a lease; return False when it has expired."""
        self.expire_leases(now)
        held = self._leases.get(lease)
        if held is None:
            return False
        held.expires = now + held.ttl
        return True

    def expire_leases(self, now: float) -> None:
        """Remove expired leases and the keys attached to them."""
        for number, lease in list(self._leases.items()):
            if lease.expires <= now:
                del self._leases[number]
                for key in lease.keys:
                    self._records.pop(key, None)
