"""Hosts of the ownership simulation, and their paths to the upstreams."""

from collections.abc import Collection
import enum

import msgspec

from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import RETURN_GRACE
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.ownership.formerterms import RecordHistory
from sedgetide.core.ownership.formerterms import TermReports
from sedgetide.core.ownership.inheritedfences import inherit_fences
from sedgetide.core.ownership.inheritedfences import InheritedFences
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term
from sedgetide.testing.ownershipregistry import SERVICE

NEVER = float("inf")
# Seconds of simulated time between two checks.
STEP = 0.1


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
        self.starts = 0
        self.restart()

    def restart(self) -> None:
        """Reset all state, as a restart of the process does."""
        self.starts += 1
        self.leadership = Leadership(self.durations)
        self.term: Term | None = None
        self.lease: LeaseId = NO_LEASE
        self.table = RangeTable()
        self.position: Position = NO_POSITION
        self.recovery: Recovery | None = None
        self.observations = MoveObservations()
        self.verified_at = -NEVER
        self.renewed_at: dict[IncarnationName, float] = {}

    def note_era(self, era: Era, now: float) -> None:
        """Record the era that an answer of the store names at ``now``."""
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


class RegistryHost(WorldHost):
    """A host that knows upstreams from the registry's entries only.

    Parameters
    ----------
    name : str
        Value that it writes to the leader's record.
    durations : Durations
        Timing parameters, the same for all hosts.
    """

    def __init__(self, name: str, durations: Durations) -> None:
        super().__init__(name, durations)
        self.links_cut_until = 0.0
        # The host is lost right after the first order from this time on.
        self.lost_after_order_at = NEVER

    def restart(self) -> None:
        """Reset all state, as a restart of the process does."""
        super().restart()
        self.directory = UpstreamDirectory()
        self.era = FIRST_ERA
        self.era_since = -NEVER
        # Entries that were seen, also those that have gone, and when.
        self._seen: dict[IncarnationName, RegisteredUpstream] = {}
        self._seen_at: dict[IncarnationName, float] = {}
        self._has_listed = False
        self._listed_era = FIRST_ERA
        self.records = RecordHistory()
        self.reports = TermReports(
            self.records, LinkAddress(self.name), self.durations.lease
        )
        self.leader_name = ""
        self.send_at = 0.0
        # Last own term of each era, and eras of which a table was read.
        self.terms: dict[Era, Term] = {}
        self.table_eras: set[Era] = set()
        # Process at the other end of the connection of each grant.
        self.sessions: dict[tuple[IncarnationName, Fence], object] = {}
        self.inherited = InheritedFences()

    def inherit_table(self) -> None:
        """Record the table of earlier leaders at the begin of a term."""
        self.inherited = InheritedFences()
        if self.owns_table():
            self.inherited = inherit_fences(
                self.table, self.position, self.term.position
            )

    def note_era(self, era: Era, now: float) -> None:
        """Record the era that an answer of the store names at ``now``."""
        super().note_era(era, now)
        if era > self.era:
            if self._has_listed:
                self.records.note_later_era(era)
            self.era = era
            self.era_since = now
            self.leader_name = ""
            self.directory.begin_era(now)

    def note_leader(self, name: str, position: Position) -> None:
        """Record a leader's record that was read in the store."""
        if position.era == self.era:
            self.records.note_read_leader(position)
            self.leader_name = name
        else:
            self.records.note_leader(position)

    def adopt(self, table: RangeTable, position: Position, now: float) -> None:
        """Replace the table unless the version is an older one."""
        self.records.note_era(position.era)
        self.table_eras.add(position.era)
        super().adopt(table, position, now)

    @property
    def settled_at(self) -> float:
        """Time at which the upstreams that run have registered again."""
        return self.era_since + RETURN_GRACE

    def note_entries(
        self, entries: Collection[RegisteredUpstream], now: float
    ) -> None:
        """Record the entries that the registry shows."""
        from_backup = self._has_listed and self._listed_era < self.era
        self._has_listed = True
        self._listed_era = self.era
        present = {each.registered_name for each in entries}
        for known in self.directory.list_all():
            if known.registered_name not in present:
                self.directory.remove(known.registered_name, now)
        for entry in entries:
            self.directory.put(entry, now, from_backup)
        self.directory.expire(now)
        for entry in self.directory.list_all():
            self._seen[entry.name] = entry
            self._seen_at[entry.name] = now

    def find_entry(self, name: IncarnationName) -> RegisteredUpstream | None:
        """Return the last known entry of an upstream."""
        return self._seen.get(name)

    def list_seen(self, since: float) -> list[IncarnationName]:
        """Return the upstreams that the registry showed since a time."""
        return [each for each, at in self._seen_at.items() if at >= since]

    def list_active(self) -> list[IncarnationName]:
        """Return the upstreams that may get keys."""
        return sorted(
            each.name for each in self.directory.list_active(SERVICE)
        )
