"""Interface of a key-value store with leases, transactions and watches."""

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
    """Newest version of a key; the value is None when it was removed."""

    key: str
    position: Position
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """Items, and the position in the history up to which they are complete.

    A position is an era and a revision within it. A new era begins when the
    store is restored from a copy.
    """

    items: list[Item]
    position: Position


class Write(msgspec.Struct, frozen=True):
    """A value to write; it is removed when its lease, if any, ends."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


class LeaseStore(abc.ABC):
    """A key-value store with leases, transactions and watches.

    Revisions are counted over the whole store and grow within an era. Every
    method raises :class:`~sedgetide.core.errors.StoreError` when it got no
    usable response; a response of an earlier era than the newest known one
    is not usable. A failed write may have taken effect, or may take effect
    later while its conditions hold, also in a later era.
    """

    @abc.abstractmethod
    def read(self, key: str) -> Item | None:
        """Return the newest version of a key, or None when it has none."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Listing:
        """Return all items whose key begins with a prefix.

        The position is that of the first page, so that a watch from there
        includes changes made while the other pages were read. All pages
        have the same era.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since: Position, wait: float) -> Listing:
        """Wait for changes of keys with a prefix.

        Raises
        ------
        HistoryLost
            If the store no longer has the changes since then, or another
            era has begun.
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
            Era in which the positions were read. A write that is applied in
            a later era fails, although it may have taken effect there.
        expected : mapping of str to Position
            Positions of the keys as they were read.
        writes : sequence of Write
            Values to write.

        Raises
        ------
        StoreConflict
            If a key has another revision, or the era is known to have
            ended; nothing was changed.
        LeaseEnded
            If a lease has ended; nothing was changed.
        """

    @abc.abstractmethod
    def open_lease(self, life: float) -> LeaseId:
        """Return a new lease that expires after ``life`` seconds."""

    @abc.abstractmethod
    def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease; raises LeaseEnded when it has ended."""

    @abc.abstractmethod
    def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
