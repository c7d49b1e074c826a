"""What a host knows about the moves of one service's ranges."""

import collections
from collections.abc import Callable
from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import MoveId
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure

# Seconds; assumed duration of a planned move before any was observed.
_INITIAL_DURATION = 0.25
# Seconds for which the duration of a move is remembered.
_DURATION_LIFE = 60.0
_MAX_DURATIONS = 64
# Share of the recent planned moves that took no longer than the usual time.
# Callers are told to return after it, and most then find the move completed.
_USUAL_SHARE = 0.9


class MovingRange(msgspec.Struct, frozen=True):
    """Progress of the move of one range, as a host knows it.

    Parameters
    ----------
    age : float
        Seconds since the host has first seen the move.
    owner_registered : bool
        Whether the previous owner is registered. If it isn't, it has
        probably ended and won't answer a release.
    usual : float
        Seconds that most planned moves of the service have taken recently.
    hold_left : float or None
        Seconds until the hold of the previous owner ends, as stated by the
        leader after the owner didn't release the range; None if not stated.
    """

    age: float
    owner_registered: bool
    usual: float = _INITIAL_DURATION
    hold_left: float | None = None


class MoveDurations:
    """Durations of recent planned moves."""

    def __init__(self) -> None:
        self._durations: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_DURATIONS)
        )

    def note(self, seconds: float, now: float) -> None:
        """Record the duration of a move that has ended."""
        self._durations.append((now, seconds))

    def find_usual(self, now: float) -> float:
        """Return the duration that most recent moves don't exceed."""
        recent = sorted(
            seconds
            for noted_at, seconds in self._durations
            if now - noted_at <= _DURATION_LIFE
        )
        if not recent:
            return _INITIAL_DURATION
        return recent[int(_USUAL_SHARE * len(recent))]


class MoveProgress:
    """Moves of one service: since when, which have ended, and which are held.

    Attributes
    ----------
    observations : MoveObservations
        Times at which the moves were seen in the table.
    """

    def __init__(self) -> None:
        self.observations = MoveObservations()
        self._durations = MoveDurations()
        self._completed: set[MoveId] = set()
        self._hold_ends: dict[MoveId, float] = {}

    def note_table(self, table: RangeTable, now: float) -> RangeTable:
        """Record a newer table; return it with the ended moves completed.

        A notice may arrive before the table that shows its moves. A move
        with a higher fence than the table's is in a later table.
        """
        self.observations.note_table(table, now)
        moved = table.list_identified(self._completed)
        known = {each.move_id for each in table.list_moving()}
        self._completed = {
            each
            for each in self._completed
            if each in known or each.fence > table.fence
        }
        self._hold_ends = {
            each: end
            for each, end in self._hold_ends.items()
            if each in known or each.fence > table.fence
        }
        return table.complete(moved)

    def complete(
        self,
        table: RangeTable,
        moves: Collection[MoveId],
        is_registered: Callable[[IncarnationName], bool],
        now: float,
    ) -> RangeTable:
        """Complete moves that have ended before the record shows it.

        Parameters
        ----------
        table : RangeTable
            Current table.
        moves : collection of MoveId
            Moves that have ended.
        is_registered : callable
            Returns whether an upstream is registered.
        now : float
            Current monotonic time in seconds.
        """
        self._completed.update(moves)
        moved = table.list_identified(moves)
        for tenure in moved:
            seen_at = self.observations.find_first_seen(tenure)
            planned = (
                is_registered(tenure.owner)
                and tenure.move_id not in self._hold_ends
            )
            if planned and seen_at is not None:
                self._durations.note(now - seen_at, now)
        return table.complete(moved)

    def note_hold(self, move: MoveId, end: float) -> None:
        """Record until when the previous owner may hold a moving range."""
        self._hold_ends[move] = end

    def list_moving(
        self,
        table: RangeTable,
        is_registered: Callable[[IncarnationName], bool],
        now: float,
    ) -> dict[int, MovingRange]:
        """Return the progress of all moves, by the first keys of the ranges.

        Parameters
        ----------
        table : RangeTable
            Current table.
        is_registered : callable
            Returns whether an upstream is registered.
        now : float
            Current monotonic time in seconds.
        """
        return {
            each.low: self.describe(each, is_registered(each.owner), now)
            for each in table.list_moving()
        }

    def describe(
        self, tenure: Tenure, owner_registered: bool, now: float
    ) -> MovingRange:
        """Return the progress of the move of a range."""
        seen_at = self.observations.find_first_seen(tenure)
        end = self._hold_ends.get(tenure.move_id)
        return MovingRange(
            0.0 if seen_at is None else now - seen_at,
            owner_registered,
            self._durations.find_usual(now),
            None if end is None else max(0.0, end - now),
        )
