"""Cache of store records whose revisions never decrease."""

from collections.abc import Iterable

import msgspec
import xxhash

from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

CONFIGURATION_KEY = "configuration"
ASSIGNMENT_PREFIX = "assignment/"


def build_assignment_key(data_centre: str) -> str:
    """Return the store key of the assignment of a data centre."""
    return ASSIGNMENT_PREFIX + data_centre


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One versioned value of the store."""

    key: str
    revision: Revision
    value: bytes


class RecordCache:
    """Newest known version of each record.

    The revision of a key never decreases, regardless of the order in which
    versions arrive.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of all keys and their revisions."""
        return self._digest

    def apply(self, record: Record) -> bool:
        """Store a version; return whether it was newer.

        Records arrive over several paths, so an older version may arrive
        after a newer one. Applying it would restore a withdrawn
        configuration.
        """
        held = self._records.get(record.key)
        if held is not None and held.revision >= record.revision:
            return False
        self._records[record.key] = record
        self._digest = xxhash.xxh32_intdigest(
            msgspec.msgpack.encode(sorted(self.list_revisions().items()))
        )
        return True

    def find(self, key: str) -> Record | None:
        """Return the newest known version of a key."""
        return self._records.get(key)

    def find_revision(self, key: str) -> Revision:
        """Return the newest known revision of a key, or zero."""
        record = self._records.get(key)
        return NO_REVISION if record is None else record.revision

    def list_revisions(self) -> dict[str, Revision]:
        """Return all keys with their revisions."""
        return {key: record.revision for key, record in self._records.items()}

    def list_newer(self, known: dict[str, Revision]) -> Iterable[Record]:
        """Return the records that are newer than a peer's ``known`` ones."""
        return [
            record
            for key, record in self._records.items()
            if record.revision > known.get(key, NO_REVISION)
        ]
