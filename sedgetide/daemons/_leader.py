"""The leader's task: who owns which keys, written first and ordered then."""

from collections.abc import Callable
import contextlib
from typing import Any

import gevent

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Write
from sedgetide.coding.messages import Lenders
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Moved
from sedgetide.coding.ranges import encode_ranges
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
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.smoothing import smooth_rates
from sedgetide.core.ownership.terms import Term
from sedgetide.core.requests.health import FIRST_GUESS
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._evacuationcoordinator import EvacuationCoordinator
from sedgetide.daemons._feed import FeedPublisher
from sedgetide.daemons._hostmetrics import RANGES
from sedgetide.daemons._hostmetrics import RANGES_MOVING
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.daemons._orderexecutor import OrderExecutor
from sedgetide.daemons._quarantinerecord import QuarantineWriter
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_ranges_key
from sedgetide.daemons._recordkeys import make_ranges_prefix
from sedgetide.daemons._recoverycoordinator import RecoveryCoordinator
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

_TICK = 0.1
# Seconds; of a host that does not lead. Whatever calls on it to lead is news,
# which wakes it at once. Ticking ten times a second in three loops was half of
# what an idle host takes (0.85 % of a core).
_IDLE_TICK = 0.4
_SETTLED = 0.6
_BALANCE_EVERY = 0.8
_RECORD_WITHIN = 2.0
# Two reports of each host.
_FIRST_BALANCE = 0.8
# Slots; one that bears nothing is full with whatever it owns.
_LEAST_CAPACITY = 0.05


class Leader:
    """Orders grants while this host leads; does nothing else.

    Every change is written under the condition that the leader's record is
    still the own one, and ordered only after the store has acknowledged
    it: whoever leads next finds in the store all that may have been
    ordered.

    Parameters
    ----------
    store : LeaseStore
        Its own client.
    knowledge : DeploymentState
        What is known of the deployment.
    dialect : OrderDialect
        Form of the orders.
    campaign : Election
        Holds the leader's record.
    leadership : Leadership
        Whether this host leads.
    durations : Durations
        On which single ownership rests.
    send : callable
        Sends a message to a host.
    own : LendingHost
        This host, as one that lends places.
    """

    def __init__(
        self,
        store: LeaseStore,
        deployment: DeploymentState,
        dialect: OrderDialect,
        campaign: Election,
        leadership: Leadership,
        durations: Durations,
        send: Callable[[LinkAddress, Message], None],
        own: LendingHost,
    ) -> None:
        self._store = store
        self._send = send
        self._feed = FeedPublisher(deployment, send)
        self._stays = QuarantineWriter(store, deployment)
        self._stopped_at = float("-inf")
        self._deployment = deployment
        self._campaign = campaign
        self._leadership = leadership
        self._durations = durations
        self._position = NO_POSITION
        self._lanes = OrderClients(dialect, durations.order_timeout)
        self._desk = self._open_desk()
        self._recovery = self._open_recovery()
        self._book = LoadTracker()
        self._limits = LimitTracker()
        self._evacuations = EvacuationCoordinator(deployment)
        self._own = own
        self._roster = LenderSelector(deployment.lenders, float("-inf"), own)
        self._balanced_at = float("-inf")
        self._adopted = False
        self._resigned = False

    def start(self, stack: contextlib.ExitStack) -> None:
        """Begin to stand and to lead."""
        stack.callback(self._store.close)
        stack.callback(self._campaign.close)
        stack.callback(lambda: self._desk.close())
        stack.callback(lambda: self._recovery.close())
        spawn_vital(self._campaign_loop, stack)
        spawn_vital(self._loop, stack)
        spawn_vital(self._bridge_loop, stack)

    def resign(self) -> None:
        """Give the lead away, for good."""
        self._resigned = True
        self._desk.close()
        self._recovery.close()
        self._campaign.resign()
        self._feed.end()

    def note_report(
        self, report: LoadReport, sender: LinkAddress | None, now: float
    ) -> None:
        """Take in the load that a host reports, and how far it is.

        Parameters
        ----------
        sender : LinkAddress or None
            Who reports; None for the own host.
        """
        if sender is not None and self._leadership.is_fresh(now):
            self._feed.note_report(sender, report.position, now)
            self._name_lenders(sender, report.standing, now)
        elif sender is not None:
            self._feed.tell_era(sender, report.position, now)
        for upstream in report.leaving:
            self._deployment.note_leaving(upstream)
        self._limits.note(report.limits, now)
        self._book.note_keys(report.keys, now)
        self._book.note_upstreams(report.upstreams, now)

    def _name_lenders(
        self, sender: LinkAddress, standing: HostStatus, now: float
    ) -> None:
        self._roster.note(sender, standing, now)
        lenders = self._roster.lenders
        if standing.lenders != lenders.version:
            self._send(sender, Lenders(lenders))

    @property
    def leading(self) -> bool:
        """Whether this host holds the leader's record."""
        return self._leadership.term != NO_POSITION

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the dump."""
        now = read_clock()
        return {
            "term": self._leadership.term,
            "may_order": self._leadership.may_order(now),
            "moving": self._desk.moving,
        }

    # Loops

    def _campaign_loop(self) -> None:
        while not self._resigned:
            term = self._leadership.term
            self._campaign.step(read_clock())
            if self._leadership.term != term:
                # The loop that leads waits for news meanwhile.
                self._deployment.changes.notify_all()
            busy = self.leading or self._campaign.waiting
            self._deployment.changes.wait(_TICK if busy else _IDLE_TICK)

    def _loop(self) -> None:
        while True:
            self._lanes.note_addresses(
                self._deployment.directory, read_clock()
            )
            position = self._leadership.term
            if position != self._position:
                self._begin_term(position)
            self._feed_hosts(read_clock())
            if self._may_lead() and self._has_adopted():
                self._lead()
            tick = _TICK if self.leading else _IDLE_TICK
            self._deployment.changes.wait(tick)

    def _may_lead(self) -> bool:
        """Tell whether owners may be changed, and not only kept."""
        ordering = self._leadership.may_order(read_clock())
        return ordering and not self._leadership.era_ended

    def _bridge_loop(self) -> None:
        """Act at once when the store falls silent.

        Hosts that rely on this one are sent to the store, and all grants
        are renewed: the longer holds that bridge an outage must be out
        before the proof ends, which is less than the interval of renewals
        away. The other loops may be waiting for the store just then.
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
                self._desk.renew_all()
            last = hold

    def _feed_hosts(self, now: float) -> None:
        if self._leadership.is_fresh(now):
            self._feed.publish(now)
        else:
            self._feed.end()

    def _open_desk(self) -> OrderExecutor:
        return OrderExecutor(
            Term(self._leadership, self._durations),
            self._deployment,
            self._lanes,
            self._durations,
            self._spread,
        )

    def _open_recovery(self) -> RecoveryCoordinator:
        return RecoveryCoordinator(
            self._desk.term, self._deployment, self._lanes
        )

    def _begin_term(self, position: Position) -> None:
        self._desk.close()
        self._recovery.close()
        self._position = position
        self._desk = self._open_desk()
        self._recovery = self._open_recovery()
        self._roster = LenderSelector(
            self._deployment.lenders, read_clock(), self._own
        )
        self._adopted = False

    def _has_adopted(self) -> bool:
        """Read the tables once in each term, before the first order.

        A leader that ordered by what it happened to know could renew the
        grant of an owner that its predecessor has waited for and replaced.
        """
        if not self._adopted:
            try:
                self._adopt_tables()
                self._adopted = True
            except StoreError as error:
                log_event(Event.TABLES_UNREAD, error=error)
        return self._adopted

    def _adopt_tables(self) -> None:
        """Read what earlier leaders have written, to the last change."""
        listing = self._store.list(make_ranges_prefix(self._position.era))
        self._deployment.apply_items(listing.items, read_clock())

    # Leading

    def _lead(self) -> None:
        now = read_clock()
        if self._deployment.policy is None:
            return
        self._desk.term.prune(now)
        self._deployment.directory.expire(now)
        self._stays.run_periodic(self._position, now)
        self._evacuations.run_periodic(now)
        balance = now - self._balanced_at >= _BALANCE_EVERY
        if balance:
            self._balanced_at = now
            self._forget_gone(now)
            self._choose_lenders(now)
        for service in self._deployment.policy.list_keyed():
            self._lead_service(service, balance, now)

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
            self._roster.choose(keyed, now, all_active)
        )

    def _forget_gone(self, now: float) -> None:
        """Forget upstreams that neither are registered nor own anything."""
        if not self._has_all_tables():
            # Whoever has left may hold keys of an earlier era, and has to be
            # asked for them.
            return
        known = {each.name for each in self._deployment.directory.list_all()}
        for each in self._deployment.tables.values():
            known.update(tenure.owner for tenure in each.table.tenures)
        self._book.forget(known)
        self._lanes.forget(known)
        self._limits.prune(now)

    def _has_all_tables(self) -> bool:
        """Tell whether the owners of all keys are known in this era."""
        era = self._position.era
        return all(
            self._deployment.find_table_in_era(service, era) is not None
            for service in self._deployment.policy.list_keyed()
        )

    def _lead_service(
        self, service: ServiceName, balance: bool, now: float
    ) -> None:
        era = self._position.era
        table = self._deployment.find_table_in_era(service, era)
        if table is None:
            table = self._recovery.begin_table(service)
            if table is None:
                return
            if table.tenures and era != FIRST_ERA:
                self._restart(service, table)
                return
        changed = self._change(service, table, balance, now)
        if changed is not table and self._write(service, changed):
            table = changed
        self._desk.follow(service, table)

    def _restart(self, service: ServiceName, table: RangeTable) -> None:
        """Write the first owners of an era of the store."""
        owners = {
            each.name
            for each in self._deployment.directory.list_active(service)
        }
        if owners:
            self._write(service, table.restart(table.fence, owners))

    def _change(
        self,
        service: ServiceName,
        table: RangeTable,
        balance: bool,
        now: float,
    ) -> RangeTable:
        """Return the next table, or the same one when it is right."""
        directory = self._deployment.directory
        # An entry that comes back late shows an upstream that has ended, at
        # the address of another: ranges given to it stay dark until the
        # entry lapses, 2.6 s at a heartbeat of 0.87 s.
        active = [
            each
            for each in directory.list_active(service)
            if not directory.is_foreign(each.name, now)
        ]
        if not table.tenures:
            settled = now - directory.changed_at >= _SETTLED
            if not active or not settled:
                return table
            active.sort(key=lambda each: each.name)
            return table.assign_first(
                [(each.name, each.slots) for each in active]
            )
        ended = self._desk.list_ended(service)
        joined = table.complete(ended).merge()
        moves = self._plan(service, joined, active, balance, now)
        late = ended and now - self._stopped_at > _RECORD_WITHIN
        if moves or late:
            table = joined
            self._stopped_at = now
        if moves:
            log_event(
                Event.MOVES,
                service=service,
                moves=" ".join(
                    f"{each.keys.low}-{each.keys.high}>{each.successor}"
                    for each in moves
                ),
            )
            table = table.begin(moves)
        return table

    def _plan(
        self,
        service: ServiceName,
        table: RangeTable,
        active: list[RegisteredUpstream],
        balance: bool,
        now: float,
    ) -> list[Move]:
        eligible = {
            each.name: EligibleUpstream(
                each.name,
                self._find_capacity(each, now),
                self._book.find_slowness(each.name, now),
            )
            for each in active
        }
        evacuated = self._evacuations.list_owners(table)
        leaving = self._evacuations.allow(service, table, evacuated, now)
        lost = any(
            each.owner not in eligible and each.owner not in evacuated
            for each in table.tenures
        )
        rates: dict[Key, float] = {}
        if balance or lost or leaving:
            # Ten thousand keys are known after a few seconds, and this runs
            # ten times a second.
            views = self._book.list_views(service, now)
            rates = smooth_rates(views, table.tenures)
        moves = plan_evictions(table, eligible, rates, evacuated)
        moves += plan_evacuation(table, eligible, rates, evacuated, leaving)
        for tenure in self._desk.take_fenced(service):
            # Its fence was passed by; the same owner goes on at a new one.
            if tenure in table.tenures and tenure.owner in eligible:
                moves.append(Move(tenure.keys, tenure.owner))
                log_event(
                    Event.FENCE_RENEWED,
                    service=service,
                    upstream=tenure.owner,
                    low=tenure.low,
                    high=tenure.high,
                    fence=tenure.fence,
                )
        began = self._book.began_at
        ready = began is not None and now - began >= _FIRST_BALANCE
        if not moves and balance and ready:
            empty = count_empty(table, eligible)
            room = max_concurrent_moves(len(eligible), empty) - len(
                table.list_moving()
            )
            moves = plan_balance(table, eligible, rates, max(0, room))
            if not moves:
                moves = plan_consolidation(
                    table, eligible, rates, max(0, room)
                )
        return moves

    def _find_capacity(
        self, upstream: RegisteredUpstream, now: float
    ) -> float:
        """Return the slots' worth of work that an upstream bears now."""
        rates = (
            self._deployment.find_cold_rate(upstream, now),
            self._limits.find(upstream.name, now),
        )
        rate = min((each for each in rates if each is not None), default=None)
        if rate is None:
            return upstream.slots
        work = self._book.find_mean_work(upstream.service) or FIRST_GUESS
        return min(upstream.slots, max(_LEAST_CAPACITY, rate * work))

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
            self._reread()
            return False
        except StoreError as error:
            log_event(Event.TABLE_UNWRITTEN, service=service, error=error)
            self._reread()
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
        self._desk.note_written(service, table)
        return True

    def _reread(self) -> None:
        with contextlib.suppress(StoreError):
            self._adopt_tables()

    def _spread(self, service: ServiceName, tenure: Tenure) -> None:
        """Tell the hosts that a range has its new owner.

        Writing it down at once would wake every host's watch; who misses
        the message learns it from the next version of the record.
        """
        self._deployment.complete_moves(service, [tenure])
        for link in self._feed.list_links(read_clock()):
            self._send(link, Moved(service, [tenure]))
