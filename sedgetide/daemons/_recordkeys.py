"""Keys of the hosts' own records in the store, one set for each era.

After a return from a copy the records of before may stand there in any older
state, and a write of before may still arrive. Under keys of their own, those
of the new era can be taken for nothing else, nor changed by such a write.
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
    """What a key of the hosts' own names.

    Parameters
    ----------
    era : Era
        In which the record is in force.
    name : str
        Which record.
    """

    era: Era
    name: str

    @property
    def is_leader(self) -> bool:
        """Whether it is the leader's."""
        return self.name == _LEADER

    @property
    def is_quarantine(self) -> bool:
        """Whether it is that of requests in quarantine."""
        return self.name == _QUARANTINE

    @property
    def service(self) -> ServiceName | None:
        """Service whose owners it holds; None for any other record."""
        if not self.name.startswith(_RANGES):
            return None
        return ServiceName(self.name.removeprefix(_RANGES))


def parse_key(key: str) -> RecordKey | None:
    """Return what a key names; None for one of somebody else."""
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
    """Return the key of the leader's record."""
    return _make_key(era, _LEADER)


def make_quarantine_key(era: Era) -> str:
    """Return the key of the record of requests in quarantine."""
    return _make_key(era, _QUARANTINE)


def make_ranges_key(era: Era, service: ServiceName) -> str:
    """Return the key of the owners of a service's keys."""
    return make_ranges_prefix(era) + service


def make_ranges_prefix(era: Era) -> str:
    """Return the beginning of the keys of all services' owners."""
    return _make_key(era, _RANGES)
