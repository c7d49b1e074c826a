"""State of the deployment as a host has read it from the store."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import Any

import msgspec

from sedgetide.backends.dialects import EvacuationRequest
from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.dialects import UnreadableEntry
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.decoding import decode_json
from sedgetide.coding.ranges import decode_ranges
from sedgetide.core.configuration.policy import check_policy
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
from sedgetide.core.membership.peers import PeerList
from sedgetide.core.ownership.formerterms import RecordHistory
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.moveprogress import MoveProgress
from sedgetide.core.ownership.moveprogress import MovingRange
from sedgetide.core.ownership.ranges import MoveId
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.requests.coldstart import compute_cold_send_limit
from sedgetide.core.requests.pushback import Backoffs
from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.core.requests.quarantine import QuarantineRecord
from sedgetide.core.requests.ratelimits import KnownLimits
from sedgetide.core.requests.routes import RouteTable
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import parse_key
from sedgetide.daemons._recordkeys import RecordKey
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.signals import ChangeSignal

_MAX_REMOVED = 2000


class KnownTable(msgspec.Struct, frozen=True):
    """Table of owners of a service's keys, with the record's position."""

    table: RangeTable
    position: Position


class KnownLeader(msgspec.Struct, frozen=True):
    """Record of the leader, with its position in the store's history."""

    record: LeaderRecord
    position: Position


class KnownQuarantine(msgspec.Struct, frozen=True):
    """Record of quarantined requests, with its position."""

    record: QuarantineRecord = QuarantineRecord()
    position: Position = NO_POSITION


class ColdTolerance(msgspec.Struct, frozen=True):
    """Allowed excess over the request rate of a cold upstream.

    An upstream is cold while it warms up after its start or after an
    evacuation.

    Parameters
    ----------
    overrun : float
        Factor by which the rate is multiplied.
    slack : float
        Number of requests added to the product.
    """

    overrun: float = 1.0
    slack: float = 0.0


class DeploymentState:
    """Policy, upstream directory, tables of owners and current leader.

    Updates that are older than the known version of an item are ignored, so
    the state never goes back to an earlier position.

    The store's history is divided into eras: a new *era* begins each time
    the store is restored from a backup, after which its revisions are
    assigned again. Positions are ordered by era first.

    Parameters
    ----------
    registry : RegistryDialect
        Decodes items that upstreams and operators write.
    evacuations : Evacuations or None
        Evacuated data centres; none are known yet if None.
    cold_tolerance : ColdTolerance or None
        Allowed excess over the rate of cold upstreams; none if None.

    Attributes
    ----------
    records : RecordHistory
        Eras of which records are known, and the last leader of each.
    """

    def __init__(
        self,
        registry: RegistryDialect,
        evacuations: Evacuations | None = None,
        cold_tolerance: ColdTolerance | None = None,
    ) -> None:
        self.directory = UpstreamDirectory(evacuations=evacuations)
        self._cold_tolerance = cold_tolerance or ColdTolerance()
        self.policy: Policy | None = None
        self.routes: RouteTable | None = None
        self.tables: dict[ServiceName, KnownTable] = {}
        self._moves: dict[ServiceName, MoveProgress] = {}
        self.leader: KnownLeader | None = None
        self.records = RecordHistory()
        self.changes = ChangeSignal()
        self.heard_at = float("-inf")
        self.hosts: int | None = None
        self.lenders = LenderList()
        self.peers = PeerList()
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
        """Whether the store has been listed since it was last restored."""
        return self.as_of != NO_POSITION and self.as_of.era >= self._era

    def note_era(self, era: Era, now: float) -> None:
        """Begin an era after the store was restored from a backup.

        Records of the former era aren't valid any more. The tables of owners
        are kept, as the best available information for routing requests.
        Not called for the first era that this host sees.
        """
        self.records.note_later_era(era)
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

    @property
    def era(self) -> Era:
        """Newest era of the store that this host has heard of."""
        return self._era

    @property
    def era_began_at(self) -> float:
        """When this host heard of the era; minus infinity before."""
        return self._era_since

    @property
    def former_leader(self) -> Position:
        """Position of the last known leader before this era."""
        return self.records.find_former_leader(self._era)

    @property
    def read_leader(self) -> Position:
        """Position of the last leader before this era, if read in its era."""
        return self.records.find_read_leader(self._era)

    def find_reregistration_end(self) -> float:
        """Return when all live upstreams have registered in this era."""
        return self._era_since + RETURN_GRACE

    def update_host_count(self, hosts: int) -> None:
        """Update the number of hosts to the largest one ever reported.

        A leader that is partitioned from some hosts counts fewer, although
        those keep running.
        """
        self.hosts = max(self.hosts or 0, hosts)

    def set_lenders(self, lenders: LenderList) -> None:
        """Set the hosts that lend places at upstreams, named by the leader.

        The list stays valid after the leader is lost, as hosts don't ask
        lenders that don't respond.
        """
        if lenders == self.lenders:
            return
        self.lenders = lenders
        log_event(
            Event.LENDERS,
            lenders=",".join(each.link for each in lenders.hosts),
            version=lenders.version,
        )

    def set_peers(self, peers: PeerList) -> None:
        """Set the peers of this host, named by the leader."""
        if peers == self.peers:
            return
        self.peers = peers
        log_event(
            Event.PEERS,
            peers=",".join(each.address for each in peers.peers),
            version=peers.version,
        )

    def record_sync(self, as_of: Position, heard_at: float) -> None:
        """Record that all items up to a position were known at a time."""
        self.as_of = max(self.as_of, as_of)
        self.heard_at = max(self.heard_at, heard_at)

    def apply_listing(self, listing: Listing, now: float) -> None:
        """Apply a complete listing of the store."""
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
        key = make_leader_key(listing.position.era)
        if self.leader is not None and key not in present:
            # The leader may be known from a notice only.
            self._apply_leader(None, listing.position)

    def apply_items(
        self, items: list[Item], now: float, from_backup: bool = False
    ) -> None:
        """Apply items, except those older than the known versions.

        Parameters
        ----------
        items : list of Item
            New versions; a removed item has no value.
        now : float
            Own clock.
        from_backup : bool
            Whether the items were listed right after the store was restored
            from a backup. Operators and upstreams write again within seconds
            what the backup lacks.
        """
        changed = False
        for item in items:
            if item.position.era < self.as_of.era:
                continue
            known = self._items.get(item.key)
            if known is not None and item.position <= known.position:
                continue
            self._items[item.key] = item
            self._apply_item(item, now, from_backup)
            changed = True
        if changed:
            self._compact_removed()
            self.changes.notify_all()

    def _compact_removed(self) -> None:
        """Limit the number of removed items that are remembered."""
        removed = [each for each in self._items.values() if each.value is None]
        if len(removed) <= _MAX_REMOVED:
            return
        removed.sort(key=lambda each: each.position)
        for item in removed[: len(removed) // 2]:
            self._compacted_to = max(self._compacted_to, item.position)
            del self._items[item.key]

    def find_item(self, key: str) -> Item | None:
        """Return the newest known version of an item."""
        return self._items.get(key)

    def has_later_leader(self, term: Position) -> bool:
        """Return whether the leader's record has changed since a term.

        Parameters
        ----------
        term : Position
            Position of a leader's record.
        """
        item = self._items.get(make_leader_key(term.era))
        if item is None or item.position.era != term.era:
            return False
        return item.position > term

    def list_newer(self, position: Position) -> list[Item] | None:
        """Return the items changed after a position.

        Returns
        -------
        list of Item or None
            None if the position is of another era, or if removals after it
            have been forgotten.
        """
        if position < self._compacted_to or position.era != self.as_of.era:
            return None
        return [
            item for item in self._items.values() if item.position > position
        ]

    def list_present(self) -> list[Item]:
        """Return all known items that exist in the store."""
        return [
            item for item in self._items.values() if item.value is not None
        ]

    def _apply_item(self, item: Item, now: float, from_backup: bool) -> None:
        key = item.key
        try:
            record_key = parse_key(key)
            if record_key is None:
                self._apply_registry_item(key, item.value, now, from_backup)
            else:
                self._apply_record(record_key, item.value, item.position, now)
        except UnreadableEntry as error:
            self.directory.mark_unreadable(error.upstream, now)
            log_event(Event.ENTRY_REFUSED, key=key, problem=error.detail[:200])
        except (InputError, msgspec.MsgspecError) as error:
            log_event(Event.RECORD_REFUSED, key=key, problem=error)

    def _apply_record(
        self,
        key: RecordKey,
        value: bytes | None,
        position: Position,
        now: float,
    ) -> None:
        """Apply a record of the hosts; one of an earlier era is a hint."""
        current = key.era == position.era
        written_at = Position(key.era, position.revision)
        if key.is_leader and current:
            self._apply_leader(value, written_at)
        elif key.is_leader and value is not None:
            self.records.note_leader(written_at)
        elif key.is_quarantine:
            self._apply_quarantine(value, written_at, current, now)
        elif key.service is not None and value is not None:
            # Tables aren't removed; the known one is the best information.
            table = decode_ranges(value)
            self.update_table(key.service, table, written_at, now)

    def _apply_leader(self, value: bytes | None, position: Position) -> None:
        self.records.note_read_leader(position)
        if self.leader is not None and position < self.leader.position:
            # Older than the record that another host has read.
            return
        if value is None:
            self.leader = None
        else:
            record = decode_json(value, LeaderRecord)
            self.leader = KnownLeader(record, position)
        name = "" if self.leader is None else self.leader.record.host
        log_event(Event.LEADER, leader=name, revision=position)

    def note_leader(self, record: LeaderRecord, position: Position) -> bool:
        """Apply a leader's record that another host has read.

        Until the store or the new leader itself confirms it, the record only
        decides to whom this host reports.

        Returns
        -------
        bool
            Whether it is newer than everything that this host has read.
        """
        self.records.note_leader(position)
        known = self.leader
        newest = (
            self.as_of if known is None else max(self.as_of, known.position)
        )
        if position.era != self._era or position <= newest:
            return False
        self.leader = KnownLeader(record, position)
        log_event(Event.LEADER, leader=record.host, revision=position)
        self.changes.notify_all()
        return True

    def _apply_quarantine(
        self,
        value: bytes | None,
        position: Position,
        current: bool,
        now: float,
    ) -> None:
        record = QuarantineRecord()
        if value is not None:
            record = decode_json(value, QuarantineRecord)
        if current:
            self.recorded_quarantine = KnownQuarantine(record, position)
        self.quarantine.merge_record(record, now)

    def update_table(
        self,
        service: ServiceName,
        table: RangeTable,
        position: Position,
        now: float,
    ) -> None:
        """Update a service's table of owners, unless a newer one is known."""
        self.records.note_era(position.era)
        known = self.tables.get(service)
        if known is not None and known.position >= position:
            return
        progress = self._moves.setdefault(service, MoveProgress())
        self.tables[service] = KnownTable(
            progress.note_table(table, now), position
        )
        self.changes.notify_all()

    def complete_moves(
        self, service: ServiceName, moves: Collection[MoveId], now: float
    ) -> None:
        """Apply completed moves before the record in the store shows them.

        A move is identified by its fence, so a late message doesn't affect a
        range that has moved again since.
        """
        known = self.tables.get(service)
        if known is None:
            return
        table = self._moves[service].complete(
            known.table, moves, self._is_registered, now
        )
        self.tables[service] = KnownTable(table, known.position)
        self.changes.notify_all()

    def has_unrecorded_moves(self, service: ServiceName) -> bool:
        """Return whether moves have ended that the store shows as moving."""
        known = self.tables.get(service)
        if known is None:
            return False
        return self._moves[service].observations.table != known.table

    def _is_registered(self, upstream: IncarnationName) -> bool:
        return self.directory.find(upstream) is not None

    def note_holds(
        self, service: ServiceName, hold_ends: Mapping[MoveId, float]
    ) -> None:
        """Record until when lost owners may hold their moving ranges."""
        progress = self._moves.get(service)
        if progress is not None and hold_ends:
            for move, end in hold_ends.items():
                progress.note_hold(move, end)
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
        """Apply evacuation requests of a backup that weren't written again.

        Until all writers have had time to do so, the evacuations known
        before the restore stay in force. Otherwise one missing in the
        backup would be interrupted, and a cancelled one would start again.
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
        """Return the request rate of a cold upstream.

        Returns
        -------
        float or None
            Requests a second; None if the upstream is warm, or if its
            service has no limit for cold upstreams.
        """
        if self.policy is None:
            return None
        rule = self.policy.services.get(upstream.service)
        if rule is None or rule.cold_rate is None:
            return None
        cold = self.directory.is_cold(upstream, rule.cold, now)
        return rule.cold_rate if cold else None

    def find_cold_send_limit(
        self, upstream: RegisteredUpstream, now: float
    ) -> int | None:
        """Return how many sends to a cold upstream its lender allows.

        Returns
        -------
        int or None
            None if the upstream is warm, or if its service has no limit for
            cold upstreams.
        """
        rate = self.find_cold_rate(upstream, now)
        if rate is None:
            return None
        tolerance = self._cold_tolerance
        return compute_cold_send_limit(
            rate, tolerance.overrun, tolerance.slack
        )

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
        """Record that an upstream announced its own shutdown."""
        if self.directory.note_leaving(upstream):
            log_event(Event.LEAVING, upstream=upstream)
            self.changes.notify_all()

    def _apply_policy(self, policy: Policy) -> None:
        if self.policy is not None and policy.version <= self.policy.version:
            return
        check_policy(policy)
        self.policy = policy
        self.routes = RouteTable(policy)
        log_event(
            Event.POLICY,
            version=policy.version,
            routes=len(policy.routes),
            services=len(policy.services),
        )

    def find_known_since(self, service: ServiceName, tenure: Tenure) -> float:
        """Return since when every leader certainly knows of a move."""
        progress = self._moves.get(service)
        if progress is None:
            return float("inf")
        return progress.observations.find_known_since(tenure)

    def find_moving_range(
        self, service: ServiceName, key: Key, now: float
    ) -> MovingRange:
        """Return the progress of the move of a key's range.

        The range must be moving.
        """
        tenure = self.tables[service].table.find(key)
        return self._moves[service].describe(
            tenure, self._is_registered(tenure.owner), now
        )

    def find_table_in_era(
        self, service: ServiceName, era: Era
    ) -> RangeTable | None:
        """Return the table of owners written in an era, or None."""
        known = self.tables.get(service)
        if known is None or known.position.era != era:
            return None
        return known.table

    def find_table(self, service: ServiceName) -> RangeTable | None:
        """Return a service's last known table of owners."""
        known = self.tables.get(service)
        return None if known is None else known.table

    @property
    def can_route(self) -> bool:
        """Whether the policy and all keyed services' tables are known."""
        if self.policy is None:
            return False
        return all(
            service in self.tables for service in self.policy.list_keyed()
        )

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the admin endpoint."""
        return {
            "policy": None if self.policy is None else self.policy.version,
            "leader": None
            if self.leader is None
            else msgspec.to_builtins(self.leader),
            "tables": msgspec.to_builtins(self.tables),
            "upstreams": msgspec.to_builtins(self.directory.list_all()),
            "moving": self._describe_moves(read_clock()),
            "asked": self._describe_pushback(read_clock()),
            "evacuated": self.directory.evacuations.describe(read_clock()),
            "quarantine": msgspec.to_builtins(
                self.quarantine.report(read_clock())
            ),
        }

    def _describe_moves(self, now: float) -> dict[str, Any]:
        """Return the progress of all moves, by service and first key."""
        return {
            service: {
                str(low): msgspec.to_builtins(moving)
                for low, moving in progress.list_moving(
                    self.tables[service].table, self._is_registered, now
                ).items()
            }
            for service, progress in self._moves.items()
        }

    def _describe_pushback(self, now: float) -> dict[str, Any]:
        """Return the limits and backoffs that upstreams asked for."""
        backoffs = self.backoffs.list_active(now)
        return {
            "limits": self.limits.list_rates(),
            "leaving": self.directory.list_announced(),
            "backoffs": {
                name: round(self.backoffs.find_remaining(name, now), 1)
                for name in sorted(backoffs)
            },
        }
