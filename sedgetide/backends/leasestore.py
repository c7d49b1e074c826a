"""A store with leases, transactions and watches, as the project needs it."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NewType

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import Position

LeaseId = NewType("LeaseId", int)

NO_LEASE = LeaseId(0)


class Item(msgspec.Struct, frozen=True):
    """A key's newest version; without a value, it was removed."""

    key: str
    position: Position
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """Items, and the position up to which they are complete."""

    items: list[Item]
    position: Position


class Write(msgspec.Struct, frozen=True):
    """A value to be written, removed with its lease if it has one."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


class LeaseStore(abc.ABC):
    """A key-value service with leases, transactions and watches.

    Revisions are counted over the whole store and grow within an era. Every
    method raises :class:`~sedgetide.core.errors.StoreError` when it got no
    usable answer, which one of an earlier era than known is not; after a
    failed write the change may be in force, or come into force later while
    its conditions hold, also in a later era.
    """

    @abc.abstractmethod
    def read(self, key: str) -> Item | None:
        """Return the newest version of a key, or None when it has none."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Listing:
        """Return all items whose key begins with a prefix.

        The position is that of the first page, so that a watch from there
        misses nothing that changed while the others were read. All pages are
        of one era.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since: Position, wait: float) -> Listing:
        """Wait for changes of keys with a prefix.

        Raises
        ------
        HistoryLost
            When changes since then are no longer known, or another era
            has begun.
        """

    @abc.abstractmethod
    def transact(
        self,
        era: Era,
        expected: Mapping[str, Position],
        writes: Sequence[Write],
    ) -> Position:
        """Write all values if all keys have the expected revisions.

        Parameters
        ----------
        era : Era
            In which they were read. A write that meets a later one has
            failed, although it may be in force there.

        Raises
        ------
        StoreConflict
            When one has another, or the era is known to be over; nothing
            was changed.
        LeaseEnded
            When a lease is not known; nothing was changed.
        """

    @abc.abstractmethod
    def open_lease(self, life: float) -> LeaseId:
        """Return a new lease that lives for some seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease: LeaseId) -> None:
        """Let a lease begin anew; raises LeaseEnded when it has ended."""

    @abc.abstractmethod
    def end_lease(self, lease: LeaseId) -> None:
        """End a lease; its keys are removed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
