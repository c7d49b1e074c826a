"""Hosts of the ownership simulation, and their paths to the upstreams."""

import enum

import msgspec

from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term

NEVER = float("inf")


class PathState(enum.Enum):
    """What a host meets on the path to an upstream.

    Attributes
    ----------
    OPEN
        Orders arrive and are answered.
    SILENT
        Connections get no reply.
    REFUSED
        Connections are refused or reset, whether or not the upstream runs.
    """

    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"


class _Path(msgspec.Struct, frozen=True):
    """A path that is not open until some time."""

    state: PathState
    until: float


class Paths:
    """Paths of one host to all upstreams; open unless closed."""

    def __init__(self) -> None:
        self._closed: dict[str, _Path] = {}

    def close(self, upstream: str, state: PathState, until: float) -> None:
        """Close the path to an upstream until some time."""
        self._closed[upstream] = _Path(state, until)

    def find_state(self, upstream: str, now: float) -> PathState:
        """Return the state of the path to an upstream."""
        path = self._closed.get(upstream)
        if path is None or now >= path.until:
            return PathState.OPEN
        return path.state


class WorldHost:
    """State of one simulated host.

    Parameters
    ----------
    name : str
        Value that it writes to the leader's record.
    durations : Durations
        Timing parameters, the same for all hosts.
    """

    def __init__(self, name: str, durations: Durations) -> None:
        self.name = name
        self.durations = durations
        self.paused_until = 0.0
        # Probability that the host reads the store in a step. A low value
        # stands for a watch that stays silent for long.
        self.read_probability = 0.7
        self.store_unreachable_until = 0.0
        self.paths = Paths()
        self.restart()

    def restart(self) -> None:
        """Reset all state, as a restart of the process does."""
        self.leadership = Leadership(self.durations)
        self.term: Term | None = None
        self.lease: LeaseId = NO_LEASE
        self.table = RangeTable()
        self.position: Position = NO_POSITION
        self.recovery: Recovery | None = None
        self.observations = MoveObservations()
        self.verified_at = -NEVER
        self.renewed_at: dict[IncarnationName, float] = {}

    def note_era(self, era: Era) -> None:
        """Record the era that an answer of the store names."""
        self.leadership.note_era(era)

    def owns_table(self) -> bool:
        """Return whether the table was written in the era of the term."""
        return self.position.era == self.leadership.term.era

    def adopt(self, table: RangeTable, position: Position, now: float) -> None:
        """Replace the table unless the version is an older one."""
        if position <= self.position:
            return
        self.table = table
        self.position = position
        self.observations.note_table(table, now)
