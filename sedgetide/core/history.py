"""Positions in the history of the platform's store.

The store may be restored from an older backup. Its revisions then go back and
are assigned again, so that a revision alone may identify two states. Each
restore starts a new era. Eras are numbered in ascending order.
"""

from typing import NewType

import msgspec

from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

Era = NewType("Era", int)

# Era of a store that does not report one.
FIRST_ERA = Era(0)


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position in the history of the store; later positions are greater.

    Parameters
    ----------
    era : Era
        Number of times that the store has been restored from a backup.
    revision : Revision
        Revision within the era, counted on from that of the backup.
    """

    era: Era = FIRST_ERA
    revision: Revision = NO_REVISION

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"


NO_POSITION = Position()
