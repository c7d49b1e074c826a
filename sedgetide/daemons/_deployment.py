"""What a host knows of the deployment, as the store last told it."""

from typing import Any

import msgspec

from sedgetide.backends.dialects import EvacuationRequest
from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.dialects import UnreadableEntry
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.ranges import decode_ranges
from sedgetide.core.configuration.policy import Policy
from sedgetide.core.errors import InputError
from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import RETURN_GRACE
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.requests.coldstart import compute_cold_send_limit
from sedgetide.core.requests.pushback import Backoffs
from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.core.requests.quarantine import QuarantineRecord
from sedgetide.core.requests.ratelimits import KnownLimits
from sedgetide.core.requests.routes import RouteTable
from sedgetide.daemons._recordkeys import parse_key
from sedgetide.daemons._recordkeys import RecordKey
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.signals import ChangeSignal

_MAX_REMOVED = 2000


class KnownTable(msgspec.Struct, frozen=True):
    """Owners of a service's keys, with the record's position."""

    table: RangeTable
    position: Position


class KnownLeader(msgspec.Struct, frozen=True):
    """The leader's record with its position."""

    record: LeaderRecord
    position: Position


class KnownQuarantine(msgspec.Struct, frozen=True):
    """Requests in quarantine by the store, with the record's position."""

    record: QuarantineRecord = QuarantineRecord()
    position: Position = NO_POSITION


class ColdTolerance(msgspec.Struct, frozen=True):
    """What a deployment grants beyond a cold upstream's rate.

    Parameters
    ----------
    overrun : float
        Factor of the rate.
    slack : float
        Requests besides.
    """

    overrun: float = 1.0
    slack: float = 0.0


class DeploymentState:
    """Policy, directory, owners and leader; never goes back in position.

    Parameters
    ----------
    catalogue : RegistryDialect
        Reads what others write.
    evacuations : Evacuations or None
        Data centres that get no new work, none yet.
    cold_terms : ColdTolerance or None
        Bound of what cold upstreams are sent; their rate alone when None.
    """

    def __init__(
        self,
        registry: RegistryDialect,
        evacuations: Evacuations | None = None,
        cold_terms: ColdTolerance | None = None,
    ) -> None:
        self.directory = UpstreamDirectory(evacuations=evacuations)
        self._cold_tolerance = cold_terms or ColdTolerance()
        self.policy: Policy | None = None
        self.routes: RouteTable | None = None
        self.tables: dict[ServiceName, KnownTable] = {}
        self._completed_moves: dict[ServiceName, set[Tenure]] = {}
        self._move_observations: dict[ServiceName, MoveObservations] = {}
        self.leader: KnownLeader | None = None
        self.changes = ChangeSignal()
        self.heard_at = float("-inf")
        self.hosts: int | None = None
        self.lenders = LenderList()
        self.limits = KnownLimits()
        self.backoffs = Backoffs()
        self.quarantine = Quarantine()
        self.recorded_quarantine = KnownQuarantine()
        self._registry = registry
        self._items: dict[str, Item] = {}
        self._pending_evacuations: dict[str, EvacuationRequest] = {}
        self._compacted_to = NO_POSITION
        self.as_of = NO_POSITION
        self._era = FIRST_ERA
        self._era_since = float("-inf")

    @property
    def has_listed_era(self) -> bool:
        """Whether the store has been listed since it came back last."""
        return self.as_of != NO_POSITION and self.as_of.era >= self._era

    def note_era(self, era: Era, now: float) -> None:
        """Take in that the store has come back from an older copy.

        What stands under the records of before is no longer true of it;
        owners stay known, as the best guess of where requests go.
        """
        self._begin_era(era, now)
        self.directory.begin_era(now)
        if self.leader is not None and self.leader.position.era < era:
            self.leader = None
        self.recorded_quarantine = KnownQuarantine()
        self.changes.notify_all()

    def _begin_era(self, era: Era, now: float) -> None:
        if era > self._era or self.as_of == NO_POSITION:
            self._era = era
            self._era_since = now

    def find_reregistration_end(self) -> float:
        """Return when all that live have registered since the last return."""
        return self._era_since + RETURN_GRACE

    def update_host_count(self, hosts: int) -> None:
        """Take in how many hosts there are.

        The largest number ever heard stays: a leader that is cut off from
        some counts fewer, and they go on all the same.
        """
        self.hosts = max(self.hosts or 0, hosts)

    def set_lenders(self, named: LenderList) -> None:
        """Take in who lends places, as the leader says.

        A leader that is lost leaves its list in force: hosts do not ask
        lenders that they do not hear.
        """
        if named == self.lenders:
            return
        self.lenders = named
        log_event(
            Event.LENDERS,
            lenders=",".join(each.link for each in named.hosts),
            version=named.version,
        )

    def record_sync(self, as_of: Position, heard_at: float) -> None:
        """Take in that all is known up to a position, and since when."""
        self.as_of = max(self.as_of, as_of)
        self.heard_at = max(self.heard_at, heard_at)

    def apply_listing(self, listing: Listing, now: float) -> None:
        """Take in everything that the store holds."""
        self._begin_era(listing.position.era, now)
        from_backup = listing.position.era > self.as_of.era and bool(
            self._items
        )
        if from_backup:
            log_event(
                Event.RELISTED, revision=listing.position, known=self.as_of
            )
            self.directory.begin_era(now)
        present = {item.key for item in listing.items}
        gone = [
            Item(key, listing.position, None)
            for key, item in self._items.items()
            if key not in present and item.value is not None
        ]
        self.apply_items([*gone, *listing.items], now, from_backup)

    def apply_items(
        self, items: list[Item], now: float, from_backup: bool = False
    ) -> None:
        """Take in new versions; older ones than known change nothing.

        Parameters
        ----------
        copied : bool
            Whether a copy shows them, from which the store has come back.
            What operators and upstreams wrote since is written again
            within seconds.
        """
        taken = False
        for item in items:
            if item.position.era < self.as_of.era:
                continue
            known = self._items.get(item.key)
            if known is not None and item.position <= known.position:
                continue
            self._items[item.key] = item
            self._apply_item(item, now, from_backup)
            taken = True
        if taken:
            self._compact_removed()
            self.changes.notify_all()

    def _compact_removed(self) -> None:
        """Bound what is kept of keys that are gone."""
        removed = [each for each in self._items.values() if each.value is None]
        if len(removed) <= _MAX_REMOVED:
            return
        removed.sort(key=lambda each: each.position)
        for item in removed[: len(removed) // 2]:
            self._compacted_to = max(self._compacted_to, item.position)
            del self._items[item.key]

    def find_item(self, key: str) -> Item | None:
        """Return the newest version of an item that is known."""
        return self._items.get(key)

    def list_newer(self, position: Position) -> list[Item] | None:
        """Return what changed after a position; None when not all is known.

        What another era has brought about is not known one by one.
        """
        if position < self._compacted_to or position.era != self.as_of.era:
            return None
        return [
            item for item in self._items.values() if item.position > position
        ]

    def list_present(self) -> list[Item]:
        """Return everything that the store holds, as far as is known."""
        return [
            item for item in self._items.values() if item.value is not None
        ]

    def _apply_item(self, item: Item, now: float, from_backup: bool) -> None:
        key = item.key
        try:
            own = parse_key(key)
            if own is None:
                self._apply_registry_item(key, item.value, now, from_backup)
            else:
                self._apply_record(own, item.value, item.position, now)
        except UnreadableEntry as error:
            self.directory.mark_unreadable(error.upstream, now)
            log_event(Event.ENTRY_REFUSED, key=key, problem=error.detail[:200])
        except (InputError, msgspec.MsgspecError) as error:
            log_event(Event.RECORD_REFUSED, key=key, problem=error)

    def _apply_record(
        self,
        name: RecordKey,
        value: bytes | None,
        position: Position,
        now: float,
    ) -> None:
        """Take in a record of the hosts; one of an earlier era is a hint."""
        current = name.era == position.era
        written_at = Position(name.era, position.revision)
        if name.is_leader and current:
            self._apply_leader(value, written_at)
        elif name.is_quarantine:
            self._apply_quarantine(value, written_at, current, now)
        elif name.service is not None and value is not None:
            # Owners are never removed; what is known stays the best guess.
            table = decode_ranges(value)
            self.update_table(name.service, table, written_at, now)

    def _apply_leader(self, value: bytes | None, position: Position) -> None:
        if value is None:
            self.leader = None
        else:
            record = msgspec.json.decode(value, type=LeaderRecord)
            self.leader = KnownLeader(record, position)
        name = "" if self.leader is None else self.leader.record.host
        log_event(Event.LEADER, leader=name, revision=position)

    def _apply_quarantine(
        self,
        value: bytes | None,
        position: Position,
        current: bool,
        now: float,
    ) -> None:
        record = QuarantineRecord()
        if value is not None:
            record = msgspec.json.decode(value, type=QuarantineRecord)
        if current:
            self.recorded_quarantine = KnownQuarantine(record, position)
        self.quarantine.take_record(record, now)

    def update_table(
        self,
        service: ServiceName,
        table: RangeTable,
        position: Position,
        now: float,
    ) -> None:
        """Take in owners, unless newer ones are known."""
        known = self.tables.get(service)
        if known is not None and known.position >= position:
            return
        moved = self._completed_moves.get(service, set()).intersection(
            table.tenures
        )
        self._completed_moves[service] = moved
        observations = self._move_observations.setdefault(
            service, MoveObservations()
        )
        observations.note_table(table, now)
        self.tables[service] = KnownTable(table.complete(moved), position)
        self.changes.notify_all()

    def complete_moves(
        self, service: ServiceName, moved: list[Tenure]
    ) -> None:
        """Take in that moves have ended, before the record says so.

        A move is known by its fence, so a late word of it changes nothing
        about a range that has moved on.
        """
        known = self.tables.get(service)
        if known is None:
            return
        self._completed_moves.setdefault(service, set()).update(moved)
        self.tables[service] = KnownTable(
            known.table.complete(moved), known.position
        )
        self.changes.notify_all()

    def _apply_registry_item(
        self, key: str, value: bytes | None, now: float, from_backup: bool
    ) -> None:
        entry = self._registry.read(key, value)
        self._pending_evacuations.pop(key, None)
        if isinstance(entry, RegisteredUpstream):
            self._log_entry_change(entry)
            self.directory.put(entry, now, from_backup)
        elif isinstance(entry, UpstreamWithdrawn):
            log_event(Event.UPSTREAM_WITHDRAWN, upstream=entry.upstream)
            self.directory.remove(entry.upstream, now)
        elif isinstance(entry, EvacuationRequest) and from_backup:
            self._pending_evacuations[key] = entry
        elif isinstance(entry, EvacuationRequest):
            self._apply_evacuation_request(entry, now)
        elif isinstance(entry, Policy):
            self._apply_policy(entry)

    def apply_pending_evacuations(self, now: float) -> None:
        """Take in what a copy shows and nobody has written again since.

        Operators' last wishes hold until then: an evacuation that the copy
        does not know of would end for a moment, and one that was taken back
        would begin again.
        """
        if self._pending_evacuations and now >= self.find_reregistration_end():
            pending, self._pending_evacuations = self._pending_evacuations, {}
            for request in pending.values():
                self._apply_evacuation_request(request, now)
            self.changes.notify_all()

    def _apply_evacuation_request(
        self, request: EvacuationRequest, now: float
    ) -> None:
        evacuations = self.directory.evacuations
        if request.asked:
            if evacuations.start(request.data_centre, self.heard_at, now):
                log_event(Event.EVACUATION, data_centre=request.data_centre)
            return
        seconds = evacuations.cancel(request.data_centre, now)
        if seconds is not None:
            log_event(
                Event.TAKEN_BACK,
                data_centre=request.data_centre,
                seconds=f"{seconds:.1f}",
            )

    def find_cold_rate(
        self, upstream: RegisteredUpstream, now: float
    ) -> float | None:
        """Return what a cold upstream is made for, in requests a second.

        Returns
        -------
        float or None
            None when it is warm, or bears the same when it is cold.
        """
        if self.policy is None:
            return None
        rule = self.policy.services.get(upstream.service)
        if rule is None or rule.cold_rate is None:
            return None
        cold = self.directory.is_cold(upstream, rule.cold, now)
        return rule.cold_rate if cold else None

    def find_cold_bound(
        self, upstream: RegisteredUpstream, now: float
    ) -> int | None:
        """Return how many sends to a cold upstream its lender allows.

        Returns
        -------
        int or None
            None when it is warm, or bears the same when it is cold.
        """
        rate = self.find_cold_rate(upstream, now)
        if rate is None:
            return None
        terms = self._cold_tolerance
        return compute_cold_send_limit(rate, terms.overrun, terms.slack)

    def _log_entry_change(self, entry: RegisteredUpstream) -> None:
        known = self.directory.find(entry.name)
        if known is None or known.leaving != entry.leaving:
            log_event(
                Event.UPSTREAM,
                upstream=entry.registered_name,
                born=entry.born,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
            )

    def note_leaving(self, upstream: IncarnationName) -> None:
        """Take in an upstream's own word that it is about to end."""
        if self.directory.note_leaving(upstream):
            log_event(Event.LEAVING, upstream=upstream)
            self.changes.notify_all()

    def _apply_policy(self, policy: Policy) -> None:
        if self.policy is not None and policy.version <= self.policy.version:
            return
        self.policy = policy
        self.routes = RouteTable(policy)
        log_event(
            Event.POLICY,
            version=policy.version,
            routes=len(policy.routes),
            services=len(policy.services),
        )

    def find_known_since(self, service: ServiceName, tenure: Tenure) -> float:
        """Return since when each leader knows of a move."""
        observations = self._move_observations.get(service)
        if observations is None:
            return float("inf")
        return observations.find_known_since(tenure)

    def find_move_age(
        self, service: ServiceName, key: Key, now: float
    ) -> float:
        """Return for how many seconds a key has been on its way."""
        table = self.find_table(service)
        observations = self._move_observations.get(service)
        tenure = None if table is None else table.find(key)
        if tenure is None or observations is None:
            return 0.0
        first_seen = observations.find_first_seen(tenure)
        return 0.0 if first_seen is None else now - first_seen

    def find_table_in_era(
        self, service: ServiceName, era: Era
    ) -> RangeTable | None:
        """Return the owners as they were written in an era, or None."""
        known = self.tables.get(service)
        if known is None or known.position.era != era:
            return None
        return known.table

    def find_table(self, service: ServiceName) -> RangeTable | None:
        """Return the owners of a service's keys, as known last."""
        known = self.tables.get(service)
        return None if known is None else known.table

    @property
    def complete(self) -> bool:
        """Whether requests can be routed."""
        if self.policy is None:
            return False
        return all(
            service in self.tables for service in self.policy.list_keyed()
        )

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "policy": None if self.policy is None else self.policy.version,
            "leader": None
            if self.leader is None
            else msgspec.to_builtins(self.leader),
            "tables": msgspec.to_builtins(self.tables),
            "upstreams": msgspec.to_builtins(self.directory.list_all()),
            "asked": self._describe_pushback(read_clock()),
            "evacuated": self.directory.evacuations.describe(read_clock()),
            "quarantine": msgspec.to_builtins(
                self.quarantine.report(read_clock())
            ),
        }

    def _describe_pushback(self, now: float) -> dict[str, Any]:
        """Return what upstreams ask of this host, for the state."""
        backoffs = self.backoffs.list_active(now)
        return {
            "limits": self.limits.list_rates(),
            "leaving": self.directory.list_announced(),
            "backoffs": {
                name: round(self.backoffs.find_remaining(name, now), 1)
                for name in sorted(backoffs)
            },
        }
