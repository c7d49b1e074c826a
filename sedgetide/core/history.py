"""Where in the history of the platform's store a version stands.

The store may come back from an older copy. Its revisions go back then and
are given out again, so that a revision alone names two states. Each such
return begins another era, which is counted up.
"""

from typing import NewType

import msgspec

from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

Era = NewType("Era", int)

# Of a store that names none.
FIRST_ERA = Era(0)


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point in the store's history; a later one is greater.

    Parameters
    ----------
    era : Era
        How often the store has come back from a copy.
    revision : Revision
        Counted within the era, from where its copy was taken.
    """

    era: Era = FIRST_ERA
    revision: Revision = NO_REVISION

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"


NO_POSITION = Position()
