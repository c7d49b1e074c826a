"""The platform's key-value service as the project needs it."""

import abc

import msgspec

from sedgetide.core.configuration.records import Record
from sedgetide.core.identifiers import Revision


class WatchResult(msgspec.Struct, frozen=True):
    """Answer to a watch.

    Parameters
    ----------
    revision : Revision
        Revision up to which the answer is complete.
    records : list of Record
        Newest versions of the keys changed since.
    """

    revision: Revision
    records: list[Record]


class Store(abc.ABC):
    """A key-value service with compare-and-swap, leases and watches.

    Revisions are counted over the whole store and only grow. Every method
    raises :class:`~sedgetide.core.errors.StoreError` when it got no usable
    answer; after a failed :meth:`swap` the change may be in force.
    """

    @abc.abstractmethod
    def read(self, key: str) -> Record | None:
        """Return the newest version of a key, or None when it has none."""

    @abc.abstractmethod
    def read_revision(self, key: str) -> Revision:
        """Return only the revision of a key, zero when it has none."""

    @abc.abstractmethod
    def swap(self, key: str, value: bytes, expected: Revision) -> Revision:
        """Replace a value if its revision is the expected one.

        Parameters
        ----------
        key : str
            Key.
        value : bytes
            New value, at most a megabyte.
        expected : Revision
            Revision that was read; zero for a key that does not exist.

        Returns
        -------
        Revision
            Revision of the new value.

        Raises
        ------
        StoreConflict
            When the store holds another revision; nothing was changed.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since: Revision, wait: float) -> WatchResult:
        """Wait for changes of keys with a prefix.

        Parameters
        ----------
        prefix : str
            Beginning of the keys.
        since : Revision
            Newest revision that is known already.
        wait : float
            Seconds after which an empty answer comes.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
