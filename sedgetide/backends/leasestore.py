"""A store with leases, transactions and watches, as the project needs it."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NewType

import msgspec

from sedgetide.core.identifiers import Revision

LeaseId = NewType("LeaseId", int)

NO_LEASE = LeaseId(0)


class Item(msgspec.Struct, frozen=True):
    """A key's newest version; without a value, it was removed."""

    key: str
    revision: Revision
    value: bytes | None


class Listing(msgspec.Struct, frozen=True):
    """Items, and the revision up to which they are complete."""

    items: list[Item]
    revision: Revision


class Write(msgspec.Struct, frozen=True):
    """A value to be written, removed with its lease if it has one."""

    key: str
    value: bytes
    lease: LeaseId = NO_LEASE


class LeaseStore(abc.ABC):
    """A key-value service with leases, transactions and watches.

    Revisions are counted over the whole store and only grow. Every method
    raises :class:`~sedgetide.core.errors.StoreError` when it got no usable
    answer; after a failed write the change may be in force, or come into
    force later while its conditions hold.
    """

    @abc.abstractmethod
    def read(self, key: str) -> Item | None:
        """Return the newest version of a key, or None when it has none."""

    @abc.abstractmethod
    def list(self, prefix: str) -> Listing:
        """Return all items whose key begins with a prefix.

        The revision is that of the first page, so that a watch from there
        misses nothing that changed while the others were read.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since: Revision, wait: float) -> Listing:
        """Wait for changes of keys with a prefix.

        Raises
        ------
        HistoryLost
            When changes since then are no longer known.
        """

    @abc.abstractmethod
    def transact(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Revision:
        """Write all values if all keys have the expected revisions.

        Raises
        ------
        StoreConflict
            When one has another; nothing was changed.
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
