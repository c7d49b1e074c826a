"""In-memory model of the platform's store.

It follows the platform's documentation: one revision counter, leases,
transactions, and watches with a bounded history. Callers pass in the time.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import msgspec

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import Listing
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import LeaseEnded
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import Position
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

_PEER = "store"


class StoreFault(enum.Enum):
    """How calls fail while the fault lasts.

    Attributes
    ----------
    DOWN
        Calls are refused and not applied.
    LOST
        Calls are applied and not answered.
    LATE
        Calls are applied later and not answered.
    """

    DOWN = "down"
    LOST = "lost"
    LATE = "late"


class _Lease(msgspec.Struct):
    life: float
    until: float


class _StoredItem(msgspec.Struct):
    value: bytes
    revision: Revision
    lease: LeaseId


class StoreCopy(msgspec.Struct, frozen=True):
    """Copy of the complete state of a :class:`LeaseStoreModel`."""

    items: dict[str, _StoredItem]
    leases: dict[LeaseId, float]
    history: list[Item]
    forgotten: Revision
    revision: Revision
    last_lease: int


class LeaseStoreModel:
    """State of the store.

    A lease is a time limit on keys: when it expires or is revoked, the keys
    that were written with it are removed. An era is the number of the store's
    history; it rises with each restore from a copy.

    Parameters
    ----------
    history : int
        Number of changes that are kept for watches.
    era : Era
        First era.
    """

    def __init__(self, history: int = 1000, era: Era = FIRST_ERA) -> None:
        self._history_size = history
        self._items: dict[str, _StoredItem] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._history: list[Item] = []
        self._forgotten = NO_REVISION
        self.revision = NO_REVISION
        self._last_lease = 0
        self.era = era

    @property
    def position(self) -> Position:
        """Current era and revision."""
        return Position(self.era, self.revision)

    def copy(self) -> StoreCopy:
        """Return a copy that the store can be restored from."""
        return StoreCopy(
            dict(self._items),
            {lease: held.life for lease, held in self._leases.items()},
            list(self._history),
            self._forgotten,
            self.revision,
            self._last_lease,
        )

    def restore(self, copy: StoreCopy, now: float) -> None:
        """Restore a copy in a new era; all leases in it are renewed."""
        self._items = dict(copy.items)
        self._leases = {
            lease: _Lease(life, now + life)
            for lease, life in copy.leases.items()
        }
        self._history = list(copy.history)
        self._forgotten = copy.forgotten
        self.revision = copy.revision
        self._last_lease = copy.last_lease
        self.era = Era(self.era + 1)

    def _change(self, key: str, value: bytes | None, lease: LeaseId) -> None:
        if value is None:
            del self._items[key]
        else:
            self._items[key] = _StoredItem(value, self.revision, lease)
        self._history.append(Item(key, self.position, value))
        while len(self._history) > self._history_size:
            self._forgotten = self._history.pop(0).position.revision

    def expire(self, now: float) -> None:
        """Revoke expired leases."""
        for lease, held in list(self._leases.items()):
            if held.until <= now:
                self.revoke(lease)

    def revoke(self, lease: LeaseId, forget: bool = True) -> None:
        """Remove the keys of a lease.

        Parameters
        ----------
        forget : bool
            Whether to end the lease too. Otherwise it stays valid, and the
            holder can renew it without seeing that the keys are gone.
        """
        keys = [k for k, held in self._items.items() if held.lease == lease]
        if keys:
            self.revision = Revision(self.revision + 1)
        for key in keys:
            self._change(key, None, NO_LEASE)
        if forget:
            self._leases.pop(lease, None)

    def revoke_all(
        self, forget: bool = True, kept: Collection[LeaseId] = ()
    ) -> None:
        """Remove the keys of all leases at once, except some."""
        for lease in list(self._leases):
            if lease not in kept:
                self.revoke(lease, forget)

    def forget_history(self) -> None:
        """Drop the history, as the real store may do at any time."""
        self._history.clear()
        self._forgotten = self.revision

    def put(
        self, key: str, value: bytes | None, lease: LeaseId = NO_LEASE
    ) -> Position:
        """Write or remove a key as the operator or a server does."""
        self.revision = Revision(self.revision + 1)
        self._change(key, value, lease)
        return self.position

    def find(self, key: str) -> Item | None:
        """Return the newest version of a key."""
        held = self._items.get(key)
        if held is None:
            return None
        return Item(key, Position(self.era, held.revision), held.value)

    def list(self, prefix: str) -> Listing:
        """Return all items whose key starts with a prefix."""
        items = [
            Item(key, Position(self.era, held.revision), held.value)
            for key, held in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return Listing(items, self.position)

    def list_changes(self, prefix: str, since: Revision) -> Listing:
        """Return the changes since a revision.

        Raises
        ------
        HistoryLost
            When the history no longer reaches back to the revision.
        """
        if not self._forgotten <= since <= self.revision:
            raise HistoryLost(
                ErrorCode.STORE_UNAVAILABLE, Step.WATCH, _PEER, "forgotten"
            )
        items = [
            msgspec.structs.replace(
                item, position=Position(self.era, item.position.revision)
            )
            for item in self._history
            if item.position.revision > since and item.key.startswith(prefix)
        ]
        return Listing(items, self.position)

    def transact(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Position:
        """Apply all writes if all keys have the expected revisions.

        Raises
        ------
        StoreConflict
            When a key has another revision.
        LeaseEnded
            When a lease of a write has ended.
        """
        for key, revision in expected.items():
            held = self._items.get(key)
            found = NO_REVISION if held is None else held.revision
            if found != revision:
                raise StoreConflict(Step.WRITE, _PEER, revision, found)
        for write in writes:
            if write.lease != NO_LEASE and write.lease not in self._leases:
                raise _make_lease_ended()
        self.revision = Revision(self.revision + 1)
        for write in writes:
            self._change(write.key, write.value, write.lease)
        return self.position

    def open_lease(self, life: float, now: float) -> LeaseId:
        """Open a lease and return its id."""
        self._last_lease += 1
        lease = LeaseId(self._last_lease)
        self._leases[lease] = _Lease(life, now + life)
        return lease

    def renew_lease(self, lease: LeaseId, now: float) -> None:
        """Extend a lease by its full life.

        Raises
        ------
        LeaseEnded
            When the lease has ended.
        """
        held = self._leases.get(lease)
        if held is None:
            raise _make_lease_ended()
        held.until = now + held.life

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
        self.revoke(lease)


def _make_lease_ended() -> LeaseEnded:
    return LeaseEnded(
        ErrorCode.STORE_CONFLICT, Step.WRITE, _PEER, "the lease has ended"
    )
