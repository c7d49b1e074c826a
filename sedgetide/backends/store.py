"""Interface of a key-value store with compare-and-swap and watches."""

import abc

import msgspec

from sedgetide.core.configuration.records import Record
from sedgetide.core.identifiers import Revision


class WatchResult(msgspec.Struct, frozen=True):
    """Result of a watch.

    Parameters
    ----------
    revision : Revision
        Revision up to which the result is complete.
    records : list of Record
        Newest versions of the keys changed since the watch's revision.
    """

    revision: Revision
    records: list[Record]


class Store(abc.ABC):
    """A key-value store with compare-and-swap and watches.

    Revisions are counted over the whole store and only grow. Every method
    raises :class:`~sedgetide.core.errors.StoreError` when it got no usable
    response; a failed :meth:`swap` may have taken effect.
    """

    @abc.abstractmethod
    def read(self, key: str) -> Record | None:
        """Return the newest version of a key, or None when it has none."""

    @abc.abstractmethod
    def read_revision(self, key: str) -> Revision:
        """Return the revision of a key, zero when it has none."""

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
            Revision that was read; zero if the key does not exist.

        Returns
        -------
        Revision
            Revision of the new value.

        Raises
        ------
        StoreConflict
            If the store has another revision; nothing was changed.
        """

    @abc.abstractmethod
    def watch(self, prefix: str, since: Revision, wait: float) -> WatchResult:
        """Wait for changes of keys with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        since : Revision
            Newest revision that the caller already has.
        wait : float
            Seconds after which an empty result is returned.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
