"""Leader loop: plans range ownership, writes it, then orders it."""

from collections.abc import Callable
import contextlib
from typing import Any

import gevent

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Write
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import Lenders
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Peers
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LenderSelector
from sedgetide.core.membership.lenders import LendingHost
from sedgetide.core.membership.peers import PeerSelector
from sedgetide.core.ownership.balance import count_empty
from sedgetide.core.ownership.balance import EligibleUpstream
from sedgetide.core.ownership.balance import max_concurrent_moves
from sedgetide.core.ownership.balance import plan_balance
from sedgetide.core.ownership.balance import plan_consolidation
from sedgetide.core.ownership.balance import plan_evictions
from sedgetide.core.ownership.evacuation import plan_evacuation
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.limits import LimitTracker
from sedgetide.core.ownership.load import LoadTracker
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import MoveReason
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.reachability import LeaderReachability
from sedgetide.core.ownership.recovery import RecoveredTable
from sedgetide.core.ownership.smoothing import smooth_rates
from sedgetide.core.ownership.terms import Term
from sedgetide.core.requests.health import DEFAULT_SERVICE_TIME
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._evacuationcoordinator import EvacuationCoordinator
from sedgetide.daemons._feed import FeedPublisher
from sedgetide.daemons._holdsreporter import HoldsReceiver
from sedgetide.daemons._holdsreporter import HoldsReporter
from sedgetide.daemons._hostmetrics import MOVES_BY_REASON
from sedgetide.daemons._hostmetrics import RANGES
from sedgetide.daemons._hostmetrics import RANGES_MOVING
from sedgetide.daemons._movenotifier import MoveNotifier
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.daemons._orderexecutor import OrderExecutor
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._quarantinerecord import QuarantineWriter
from sedgetide.daemons._raisedfences import RaisedFences
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_ranges_key
from sedgetide.daemons._recordkeys import make_ranges_prefix
from sedgetide.daemons._recoverycoordinator import RecoveryCoordinator
from sedgetide.daemons._silentupstreams import SilentUpstreams
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

_TICK = 0.1
# Seconds between ticks of a host that does not lead. A change that requires it
# to lead wakes the loops at once. Ticking ten times a second in three loops
# took half of an idle host's processor time (0.85 % of a core).
_IDLE_TICK = 0.4
_FIRST_ASSIGNMENT_DELAY = 0.6
_BALANCE_INTERVAL = 0.8
_MAX_RECORD_DELAY = 2.0
# Seconds; each host has sent two load reports by then.
_FIRST_BALANCE_DELAY = 0.8
# Slots; an upstream with no capacity would count as full whatever it owns.
_MIN_CAPACITY = 0.05


class Leader:
    """Plans the owners of all key ranges while this host is the leader.

    A leader's *term* lasts from the write of its record to its end. Tables
    of owners are written in a transaction that fails unless the record in
    the store is still that of this term. Orders to upstreams are sent
    only after the store has acknowledged the table, so the next leader
    finds everything that may have been ordered in the store.

    A :class:`Tenure` is the ownership of a range at one fencing token; a
    move transfers a range to another owner.

    Parameters
    ----------
    store : LeaseStore
        Client that no other task uses.
    deployment : DeploymentState
        State of the deployment as read from the store.
    dialect : OrderDialect
        Encodes orders for the deployment's upstreams.
    election : Election
        Acquires and verifies the leader's record.
    leadership : Leadership
        Whether this host leads.
    durations : Durations
        Timeouts that guarantee a single owner for each range.
    send : callable
        Sends a message to a host.
    own_host : LendingHost
        This host, as a candidate lender of places.
    paths : PathMonitor
        Tells which upstreams this host reaches.
    """

    def __init__(
        self,
        store: LeaseStore,
        deployment: DeploymentState,
        dialect: OrderDialect,
        election: Election,
        leadership: Leadership,
        durations: Durations,
        send: Callable[[LinkAddress, Message], None],
        own_host: LendingHost,
        paths: PathMonitor,
    ) -> None:
        self._store = store
        self._send = send
        self._feed = FeedPublisher(deployment, send)
        self._move_notifier = MoveNotifier(send)
        self._quarantine_writer = QuarantineWriter(store, deployment)
        self._completions_written_at = float("-inf")
        self._raised_fences = RaisedFences()
        self._deployment = deployment
        self._election = election
        self._leadership = leadership
        self._durations = durations
        self._position = NO_POSITION
        self._paths = paths
        self._reachability = LeaderReachability()
        self._clients = OrderClients(dialect, durations.order_timeout, paths)
        self._holds_receiver = HoldsReceiver(
            deployment, own_host.link, durations.lease
        )
        self._holds_reporter = HoldsReporter(
            deployment,
            send,
            own_host.link,
            self._holds_receiver,
        )
        self._silent_upstreams = SilentUpstreams(self._clients)
        self._executor = self._create_executor()
        paths.on_regained = lambda owners: self._executor.renew_owners(owners)
        self._recovery = self._create_recovery()
        self._load_tracker = LoadTracker()
        self._limit_tracker = LimitTracker()
        self._evacuations = EvacuationCoordinator(deployment)
        self._own_host = own_host
        self._lender_selector = LenderSelector(
            deployment.lenders, float("-inf"), own_host
        )
        self._peer_selector = PeerSelector()
        self._balanced_at = float("-inf")
        self._tables_loaded = False
        self._resigned = False

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the loops; the stack closes the store clients."""
        stack.callback(self._store.close)
        stack.callback(self._election.close)
        stack.callback(lambda: self._executor.close())
        stack.callback(lambda: self._recovery.close())
        spawn_vital(self._election_loop, stack)
        spawn_vital(self._lead_loop, stack)
        spawn_vital(self._outage_loop, stack)
        self._holds_reporter.start(stack)

    def resign(self) -> None:
        """Give up leadership and don't run for it again."""
        self._resigned = True
        self._executor.close()
        self._recovery.close()
        self._election.resign()
        self._move_notifier.flush()
        self._feed.end()

    def note_report(
        self, report: LoadReport, sender: LinkAddress | None, now: float
    ) -> None:
        """Record a host's load report and update the sender's feed.

        Parameters
        ----------
        report : LoadReport
            Load, rate limits and leaving upstreams seen by the host, and
            the store position up to which it is synced.
        sender : LinkAddress or None
            Reporting host; None for this one.
        now : float
            Own clock.
        """
        self._deployment.records.note_leader(report.former_leader)
        if sender is not None:
            self._holds_receiver.note_confirmation(sender, report.read_leader)
            self._move_notifier.note_status(sender, report.standing, now)
        if sender is not None and self._leadership.is_fresh(now):
            self._feed.note_report(sender, report.position, now)
            self._update_lenders(sender, report.standing, now)
        elif sender is not None:
            self._feed.announce_era(sender, report.position, now)
        if self._leadership.is_fresh(now):
            self._update_peers(sender, report.standing, now)
        if sender is not None:
            self._reachability.note_report(report.upstreams, now)
        self._clients.note_served(report.upstreams)
        for upstream in report.leaving:
            self._deployment.note_leaving(upstream)
        self._limit_tracker.note(report.limits, now)
        self._load_tracker.note_keys(report.keys, now)
        self._load_tracker.note_upstreams(report.upstreams, now)

    def handle_holds(
        self, report: HoldsReport, sender: LinkAddress, now: float
    ) -> None:
        """Take a former leader's report of the keys that may be held."""
        self._holds_receiver.handle_report(report, sender, now)

    def _update_lenders(
        self, sender: LinkAddress, status: HostStatus, now: float
    ) -> None:
        self._lender_selector.note(sender, status, now)
        lenders = self._lender_selector.lenders
        if status.lenders != lenders.version:
            self._send(sender, Lenders(lenders))

    def _update_peers(
        self, sender: LinkAddress | None, status: HostStatus, now: float
    ) -> None:
        link = self._own_host.link if sender is None else sender
        self._peer_selector.note(link, status, now)
        if not status.forward_port:
            return
        peers = self._peer_selector.find(link)
        if sender is None:
            self._deployment.set_peers(peers)
        elif status.peers != peers.version:
            self._send(sender, Peers(peers))

    @property
    def leading(self) -> bool:
        """Whether this host holds the leader's record."""
        return self._leadership.term != NO_POSITION

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the admin endpoint."""
        now = read_clock()
        return {
            "term": self._leadership.term,
            "may_order": self._leadership.may_order(now),
            "moving": self._executor.moving,
            "recovery": self._recovery.dump_state(),
            "raised_fences": self._raised_fences.dump_state(),
        }

    # Loops

    def _election_loop(self) -> None:
        while not self._resigned:
            term = self._leadership.term
            self._election.step(read_clock())
            self._resign_if_others_reach_more(read_clock())
            if self._leadership.term != term:
                # Wakes the lead loop, which waits for changes.
                self._deployment.changes.notify_all()
            busy = self.leading or self._election.is_candidate
            self._deployment.changes.wait(_TICK if busy else _IDLE_TICK)

    def _resign_if_others_reach_more(self, now: float) -> None:
        """Let another host lead that reaches upstreams this one does not."""
        if not self.leading or self._leadership.era_ended:
            return
        doubts = self._paths.find_doubts()
        upstreams = len(self._deployment.directory.list_all())
        began = self._leadership.term_began_at
        if self._reachability.should_resign(doubts, upstreams, began, now):
            # No task may send an order after the record is gone.
            self._executor.close()
            self._recovery.close()
            self._election.resign(
                f"reaches {upstreams - len(doubts)} of {upstreams} upstreams"
            )

    def _lead_loop(self) -> None:
        while True:
            self._clients.update_entries(
                self._deployment.directory, read_clock()
            )
            position = self._leadership.term
            if position != self._position:
                self._begin_term(position)
            self._feed_hosts(read_clock())
            if self._may_lead() and self._ensure_tables_loaded():
                self._lead()
            tick = _TICK if self.leading else _IDLE_TICK
            self._deployment.changes.wait(tick)

    def _may_lead(self) -> bool:
        """Return whether owners may be changed.

        After its era has ended, a leader only renews existing grants.
        """
        ordering = self._leadership.may_order(read_clock())
        return ordering and not self._leadership.era_ended

    def _outage_loop(self) -> None:
        """React at once when the store stops answering.

        Hosts that are fed by this one are told to watch the store
        themselves, and all grants are renewed with the longer hold that
        bridges an outage. They must be sent before the proof of leadership
        expires, which takes less than one interval of renewals. The other
        loops can't do this as they may be blocked on a call to the store.
        """
        last = self._durations.hold
        while True:
            gevent.sleep(_TICK if self.leading else _IDLE_TICK)
            now = read_clock()
            self._feed_hosts(now)
            if not self._leadership.may_order(now):
                continue
            hold = self._leadership.choose_hold(now)
            if hold > last:
                log_event(Event.BRIDGING, hold=hold)
                self._executor.renew_all()
            last = hold

    def _feed_hosts(self, now: float) -> None:
        if self._leadership.is_fresh(now):
            self._feed.publish(now)
        else:
            self._feed.end()

    def _create_executor(self) -> OrderExecutor:
        return OrderExecutor(
            Term(self._leadership, self._durations),
            self._deployment,
            self._clients,
            self._durations,
            self._broadcast_move,
            self._broadcast_hold,
        )

    def _create_recovery(self) -> RecoveryCoordinator:
        return RecoveryCoordinator(
            self._executor.term,
            self._deployment,
            self._clients,
            self._holds_receiver.reports,
        )

    def _begin_term(self, position: Position) -> None:
        self._executor.close()
        self._recovery.close()
        self._position = position
        self._executor = self._create_executor()
        self._recovery = self._create_recovery()
        if position != NO_POSITION:
            self._holds_reporter.note_term(self._executor.term)
        self._lender_selector = LenderSelector(
            self._deployment.lenders, read_clock(), self._own_host
        )
        self._peer_selector = PeerSelector()
        # Hosts have reported to other leaders since the last term.
        self._load_tracker.forget_keys()
        self._raised_fences.begin_term()
        self._tables_loaded = False

    def _ensure_tables_loaded(self) -> bool:
        """Read the tables once in each term, before the first order.

        A leader that acted on its cached tables could renew the grant of an
        owner that its predecessor has already replaced.

        Returns
        -------
        bool
            Whether the tables of this term have been read.
        """
        if not self._tables_loaded:
            try:
                self._load_tables()
                self._inherit_tables()
                self._tables_loaded = True
            except StoreError as error:
                log_event(Event.TABLES_UNREAD, error=error)
        return self._tables_loaded

    def _load_tables(self) -> None:
        """Read the newest tables, unless a later leader may have written them.

        Raises
        ------
        StoreError
            If they can't be read, or this host's record is gone by then.
        """
        era = self._position.era
        listing = self._store.list(make_ranges_prefix(era))
        record = self._store.read(make_leader_key(era))
        if record is None or record.position != self._position:
            raise StoreError(
                ErrorCode.STORE_CONFLICT,
                Step.READ,
                make_leader_key(era),
                f"the leader's record of term {self._position} is gone",
            )
        self._deployment.apply_items(listing.items, read_clock())

    def _inherit_tables(self) -> None:
        era = self._position.era
        for service, known in self._deployment.tables.items():
            if known.position.era == era:
                self._executor.inherit_table(service, known)

    # Leading

    def _lead(self) -> None:
        now = read_clock()
        if self._deployment.policy is None:
            return
        self._executor.term.prune(now)
        self._deployment.directory.expire(now)
        self._quarantine_writer.run_periodic(self._position, now)
        self._evacuations.run_periodic(now)
        balance = now - self._balanced_at >= _BALANCE_INTERVAL
        if balance:
            self._balanced_at = now
            self._forget_departed(now)
            self._choose_lenders(now)
            self._peer_selector.expire(now)
        for service in self._deployment.policy.list_keyed():
            self._update_service(service, balance, now)

    def _choose_lenders(self, now: float) -> None:
        keyed = [
            each
            for service in self._deployment.policy.list_keyed()
            for each in self._deployment.directory.list_active(service)
        ]
        all_active = [
            each
            for service in self._deployment.policy.services
            for each in self._deployment.directory.list_active(service)
        ]
        self._deployment.set_lenders(
            self._lender_selector.choose(keyed, now, all_active)
        )

    def _forget_departed(self, now: float) -> None:
        """Drop state of upstreams that aren't registered and own no keys."""
        if not self._has_all_tables():
            # An upstream that has left may still hold keys granted in an
            # earlier era and has to be asked to release them.
            return
        known = {each.name for each in self._deployment.directory.list_all()}
        for each in self._deployment.tables.values():
            for tenure in each.table.tenures:
                known.update((tenure.owner, tenure.successor or tenure.owner))
        self._load_tracker.forget(known)
        self._reachability.forget(known)
        self._clients.retain(known)
        self._limit_tracker.prune(now)

    def _has_all_tables(self) -> bool:
        """Return whether each keyed service has a table of this era."""
        era = self._position.era
        return all(
            self._deployment.find_table_in_era(service, era) is not None
            for service in self._deployment.policy.list_keyed()
        )

    def _update_service(
        self, service: ServiceName, balance: bool, now: float
    ) -> None:
        era = self._position.era
        table = self._deployment.find_table_in_era(service, era)
        if table is None:
            recovered = self._recovery.recover_table(service)
            if recovered is None:
                return
            table = recovered.known
            if era != FIRST_ERA and (table.tenures or recovered.retained):
                self._write_restarted_table(service, recovered)
                return
        changed = self._compute_next_table(service, table, balance, now)
        if changed is not table and self._write(service, changed):
            table = changed
        self._executor.reconcile(service, table)
        self._silent_upstreams.probe(service, table, self._executor.term, now)

    def _write_restarted_table(
        self, service: ServiceName, recovered: RecoveredTable
    ) -> None:
        """Write the first table of an era, after the recovery."""
        active = self._deployment.directory.list_active(service)
        owners = sorted((each.name, each.slots) for each in active)
        if owners:
            self._write(service, recovered.restart(owners))

    def _compute_next_table(
        self,
        service: ServiceName,
        table: RangeTable,
        balance: bool,
        now: float,
    ) -> RangeTable:
        """Return the next table, or the same object if nothing changes."""
        directory = self._deployment.directory
        # A late registry entry can show an upstream that has ended, at an
        # address that another one has now. Ranges assigned to it would be
        # unavailable until the entry expires: 2.6 s at a heartbeat of 0.87 s.
        active = [
            each
            for each in directory.list_active(service)
            if not directory.is_foreign(each.name, now)
        ]
        active = self._silent_upstreams.drop(service, active)
        if not table.tenures:
            settled = now - directory.changed_at >= _FIRST_ASSIGNMENT_DELAY
            if not active or not settled:
                return table
            active.sort(key=lambda each: each.name)
            return table.assign_first(
                [(each.name, each.slots) for each in active]
            )
        completed = self._executor.list_completed(service)
        known = table.complete(completed)
        raised = self._executor.raise_fences(service, known)
        merged = raised.merge()
        moves = self._plan_moves(service, merged, active, balance, now)
        # Includes moves that a former leader has completed but not recorded.
        unrecorded = self._deployment.has_unrecorded_moves(service)
        overdue = (
            unrecorded
            and now - self._completions_written_at > _MAX_RECORD_DELAY
        )
        raise_due = self._raised_fences.is_due(
            service, known, raised, self._position, now
        )
        if moves or overdue or raise_due:
            table = merged
            self._completions_written_at = now
        if moves:
            _report_moves(service, moves)
            table = table.begin(moves)
        return table

    def _plan_moves(
        self,
        service: ServiceName,
        table: RangeTable,
        active: list[RegisteredUpstream],
        balance: bool,
        now: float,
    ) -> list[Move]:
        if self._paths.tracker.is_cut_off:
            # No order would arrive, and a moving range has no owner.
            return []
        eligible = {
            each.name: EligibleUpstream(
                each.name,
                self._find_capacity(each, now),
                self._load_tracker.find_slowness(each.name, now),
            )
            for each in active
        }
        evacuated = self._evacuations.list_owners(table)
        leaving = self._evacuations.allow(service, table, evacuated, now)
        lost = any(
            each.owner not in eligible and each.owner not in evacuated
            for each in table.tenures
            if not each.moving
        )
        rates: dict[Key, float] = {}
        if balance or lost or leaving:
            # Computed only when needed: with 20,000 keys this takes up to a
            # tenth of a second, and it would run ten times a second.
            estimates = self._load_tracker.list_estimates(service, now)
            rates = smooth_rates(estimates, table.tenures)
        moves = plan_evictions(table, eligible, rates, evacuated)
        moves += plan_evacuation(table, eligible, rates, evacuated, leaving)
        doubts = self._paths.find_doubts()
        for tenure in self._executor.pop_fenced(
            service, lambda owner: owner not in doubts
        ):
            # The upstream has seen a higher fence, or may have restarted.
            # The same owner gets the range again at a new fence.
            if tenure in table.tenures and tenure.owner in eligible:
                moves.append(Move(tenure.keys, tenure.owner, MoveReason.FENCE))
                log_event(
                    Event.FENCE_RENEWED,
                    service=service,
                    upstream=tenure.owner,
                    low=tenure.low,
                    high=tenure.high,
                    fence=tenure.fence,
                )
        began = self._load_tracker.began_at
        ready = began is not None and now - began >= _FIRST_BALANCE_DELAY
        if not moves and balance and ready:
            empty = count_empty(table, eligible)
            max_moves = max_concurrent_moves(len(eligible), empty) - len(
                table.list_moving()
            )
            moves = plan_balance(table, eligible, rates, max(0, max_moves))
            if not moves:
                moves = plan_consolidation(
                    table, eligible, rates, max(0, max_moves)
                )
        return moves

    def _find_capacity(
        self, upstream: RegisteredUpstream, now: float
    ) -> float:
        """Return an upstream's current capacity in slots.

        The capacity of a cold or rate-limited upstream is the mean number
        of slots that requests at its permitted rate occupy.
        """
        rates = (
            self._deployment.find_cold_rate(upstream, now),
            self._limit_tracker.find(upstream.name, now),
        )
        rate = min((each for each in rates if each is not None), default=None)
        if rate is None:
            return upstream.slots
        work = (
            self._load_tracker.find_mean_work(upstream.service)
            or DEFAULT_SERVICE_TIME
        )
        return min(upstream.slots, max(_MIN_CAPACITY, rate * work))

    def _write(self, service: ServiceName, table: RangeTable) -> bool:
        era = self._position.era
        known = self._deployment.tables.get(service)
        position = NO_POSITION
        if known is not None and known.position.era == era:
            position = known.position
        key = make_ranges_key(era, service)
        try:
            written: Position = self._store.transact(
                era,
                {make_leader_key(era): self._position, key: position},
                [Write(key, encode_ranges(table))],
            )
        except StoreConflict:
            log_event(
                Event.TABLE_UNWRITTEN, service=service, error="overtaken"
            )
            self._reload_tables()
            return False
        except StoreError as error:
            log_event(Event.TABLE_UNWRITTEN, service=service, error=error)
            self._reload_tables()
            return False
        self._deployment.update_table(service, table, written, read_clock())
        log_event(
            Event.TABLE_WRITTEN,
            service=service,
            revision=written,
            ranges=len(table.tenures),
            moving=len(table.list_moving()),
            fence=table.fence,
        )
        RANGES.labels(service).set(len(table.tenures))
        RANGES_MOVING.labels(service).set(len(table.list_moving()))
        self._executor.note_written(service, table)
        return True

    def _reload_tables(self) -> None:
        with contextlib.suppress(StoreError):
            self._load_tables()

    def _broadcast_move(self, service: ServiceName, tenure: Tenure) -> None:
        """Tell all hosts that a range has its new owner.

        Writing the table for each completed move would wake every host's
        watch. A host that misses the message learns of the move from the
        next version of the table.
        """
        self._deployment.complete_moves(
            service, [tenure.move_id], read_clock()
        )
        self._move_notifier.note_completed(service, tenure)

    def _broadcast_hold(
        self, service: ServiceName, tenure: Tenure, end: float
    ) -> None:
        """Tell all hosts until when a lost owner may hold a moving range."""
        self._deployment.note_holds(service, {tenure.move_id: end})
        self._move_notifier.note_held(service, tenure, end)


def _report_moves(service: ServiceName, moves: list[Move]) -> None:
    """Log and count moves that start, by reason."""
    by_reason: dict[MoveReason, list[Move]] = {}
    for move in moves:
        by_reason.setdefault(move.reason, []).append(move)
    for reason, some in by_reason.items():
        MOVES_BY_REASON.labels(service, reason.value).inc(len(some))
        log_event(
            Event.MOVES,
            service=service,
            reason=reason.value,
            moves=" ".join(
                f"{each.keys.low}-{each.keys.high}>{each.successor}"
                for each in some
            ),
        )
