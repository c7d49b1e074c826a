"""Fences at which a term grants the ranges of earlier leaders.

An upstream that has restarted under its name has seen no fence, and accepts
keys at the one at which its former process had them. A leader that was
connected to that process sees the restart at once; to others the registry
shows it up to a second later. So no two terms grant keys to such an upstream
at the same fence.
"""

from sedgetide.core.history import Position
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import NO_FENCE
from sedgetide.core.membership.incarnations import has_start_time
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure


class InheritedFences:
    """Fences of the ranges that a term has inherited.

    Parameters
    ----------
    highest : Fence
        Highest fence of the table that the term has first read. Higher ones
        are of this term.
    own : Fence
        Fence of this term for the ranges of that table.
    """

    def __init__(
        self, highest: Fence = NO_FENCE, own: Fence = NO_FENCE
    ) -> None:
        self._highest = highest
        self._own = own

    def find_fence(self, upstream: IncarnationName, fence: Fence) -> Fence:
        """Return the fence at which an upstream gets the keys of a range.

        Parameters
        ----------
        upstream : IncarnationName
            Owner of the range, or successor if it is moving.
        fence : Fence
            Fence of the range in the table.
        """
        if fence > self._highest or not has_start_time(upstream):
            return fence
        return self._own

    def apply_to(self, table: RangeTable) -> RangeTable:
        """Return the table with the fences at which its ranges are granted.

        Ranges that are moving keep their fence, which identifies the move,
        but no fence of a later change is below those of this term's grants.
        Returns the table itself if there is nothing to change.
        """
        raised = [
            each
            for each in table.tenures
            if not each.moving and self._is_raised(each, each.owner)
        ]
        moving = any(
            self._is_raised(each, each.successor)
            for each in table.list_moving()
        )
        if not raised and (table.fence >= self._own or not moving):
            return table
        return table.raise_fences(raised, self._own)

    def _is_raised(self, tenure: Tenure, upstream: IncarnationName) -> bool:
        return self.find_fence(upstream, tenure.fence) != tenure.fence


def inherit_fences(
    table: RangeTable, written_at: Position, term: Position
) -> InheritedFences:
    """Return the fences of a term that inherits a table.

    The store counts a revision for each leader's record. So the fence is
    above those of all terms since the table was written, whether or not they
    have written a table themselves.

    Parameters
    ----------
    table : RangeTable
        Table as the term has first read it.
    written_at : Position
        Position of the table in the store.
    term : Position
        Position of the leader's record, in the same era.
    """
    terms = term.revision - written_at.revision
    return InheritedFences(table.fence, Fence(table.fence + terms))
