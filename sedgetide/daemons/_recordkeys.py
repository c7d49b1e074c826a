"""Keys of the hosts' own records in the store, one set for each era.

An era begins each time the store is restored from a backup. Records of
earlier eras may then be there in an outdated state, and a write of an earlier
era may still arrive. As each era has its own keys, such records can't be
mistaken for those of the new era, and such writes can't change them.
"""

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.identifiers import ServiceName

_PREFIX = "sedgetide/"
_ERAS = "eras/"
_LEADER = "leader"
_RANGES = "ranges/"
_QUARANTINE = "quarantine"


class RecordKey(msgspec.Struct, frozen=True):
    """Parsed key of a record that the hosts write.

    Parameters
    ----------
    era : Era
        Era in which the record is valid.
    name : str
        Name of the record within the era.
    """

    era: Era
    name: str

    @property
    def is_leader(self) -> bool:
        """Whether it is the record of the leader."""
        return self.name == _LEADER

    @property
    def is_quarantine(self) -> bool:
        """Whether it is the record of quarantined requests."""
        return self.name == _QUARANTINE

    @property
    def service(self) -> ServiceName | None:
        """Service of a table of owners; None for any other record."""
        if not self.name.startswith(_RANGES):
            return None
        return ServiceName(self.name.removeprefix(_RANGES))


def parse_key(key: str) -> RecordKey | None:
    """Parse a key; return None for one that the hosts don't write."""
    if not key.startswith(_PREFIX):
        return None
    name = key.removeprefix(_PREFIX)
    if not name.startswith(_ERAS):
        return RecordKey(FIRST_ERA, name)
    era, _, name = name.removeprefix(_ERAS).partition("/")
    if not (era.isascii() and era.isdigit()):
        return None
    return RecordKey(Era(int(era)), name)


def _make_key(era: Era, name: str) -> str:
    if era == FIRST_ERA:
        return _PREFIX + name
    return f"{_PREFIX}{_ERAS}{era}/{name}"


def make_leader_key(era: Era) -> str:
    """Return the key of the record of the leader."""
    return _make_key(era, _LEADER)


def make_quarantine_key(era: Era) -> str:
    """Return the key of the record of quarantined requests."""
    return _make_key(era, _QUARANTINE)


def make_ranges_key(era: Era, service: ServiceName) -> str:
    """Return the key of a service's table of owners."""
    return make_ranges_prefix(era) + service


def make_ranges_prefix(era: Era) -> str:
    """Return the key prefix of all services' tables of owners."""
    return _make_key(era, _RANGES)
