"""The leader's task: who owns which keys, written first and ordered then."""

from collections.abc import Callable
import contextlib
from typing import Any

import gevent

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Write
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Moved
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.balance import MOST_MOVES
from sedgetide.core.ownership.balance import plan_balance
from sedgetide.core.ownership.balance import plan_evictions
from sedgetide.core.ownership.balance import plan_tidying
from sedgetide.core.ownership.balance import Taker
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.load import LoadBook
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.terms import Grant
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._campaign import Campaign
from sedgetide.daemons._feed import FeedSource
from sedgetide.daemons._hostmetrics import MOVES
from sedgetide.daemons._hostmetrics import RANGES
from sedgetide.daemons._hostmetrics import RANGES_MOVING
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._knowledge import LEADER_KEY
from sedgetide.daemons._knowledge import RANGES_PREFIX
from sedgetide.daemons._orders import OrderLane
from sedgetide.daemons._orders import Taken
from sedgetide.daemons._renewal import renew_round
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import tell
from sedgetide.runtime.signals import Changes
from sedgetide.runtime.tasks import spawn_vital

_TICK = 0.1
_SETTLED = 0.6
_BALANCE_EVERY = 0.8
_RECORD_WITHIN = 2.0
_FIRST_BALANCE = 0.8
_RETRY_PAUSE = 0.2
_GRANT_TRIES = 3


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
    knowledge : Knowledge
        What is known of the deployment.
    dialect : OrderDialect
        Form of the orders.
    campaign : Campaign
        Holds the leader's record.
    leadership : Leadership
        Whether this host leads.
    durations : Durations
        On which single ownership rests.
    send : callable
        Sends a message to a host.
    """

    def __init__(
        self,
        store: LeaseStore,
        knowledge: Knowledge,
        dialect: OrderDialect,
        campaign: Campaign,
        leadership: Leadership,
        durations: Durations,
        send: Callable[[LinkAddress, Message], None],
    ) -> None:
        self._store = store
        self._send = send
        self._feed = FeedSource(knowledge, send)
        self._stopped_at = float("-inf")
        self._knowledge = knowledge
        self._dialect = dialect
        self._campaign = campaign
        self._leadership = leadership
        self._durations = durations
        self._revision = NO_REVISION
        self._term = Term(leadership, durations)
        self._book = LoadBook()
        self._lanes: dict[UpstreamName, OrderLane] = {}
        self._addresses: dict[UpstreamName, str] = {}
        self._renewals: dict[UpstreamName, gevent.Greenlet] = {}
        self._moves: dict[tuple[ServiceName, Tenure], gevent.Greenlet] = {}
        self._stopped: dict[ServiceName, set[Tenure]] = {}
        self._fenced: dict[ServiceName, set[Tenure]] = {}
        self._balanced_at = float("-inf")
        self._adopted = False
        self._resigned = False
        self._renew_now = Changes()

    def start(self, stack: contextlib.ExitStack) -> None:
        """Begin to stand and to lead."""
        stack.callback(self._store.close)
        stack.callback(self._campaign.close)
        stack.callback(self._stop_orders)
        spawn_vital(self._campaign_loop, stack)
        spawn_vital(self._loop, stack)
        spawn_vital(self._bridge_loop, stack)

    def resign(self) -> None:
        """Give the lead away, for good."""
        self._resigned = True
        self._stop_orders()
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
        if sender is not None and self._leadership.may_order(now):
            self._feed.note_report(sender, report.revision, now)
        self._book.note_keys(report.keys, now)
        self._book.note_upstreams(report.upstreams, now)

    @property
    def leading(self) -> bool:
        """Whether this host holds the leader's record."""
        return self._leadership.term != NO_REVISION

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the dump."""
        now = read_clock()
        return {
            "term": self._leadership.term,
            "may_order": self._leadership.may_order(now),
            "moving": len(self._moves),
        }

    # Loops

    def _campaign_loop(self) -> None:
        while not self._resigned:
            self._campaign.step(read_clock())
            gevent.sleep(_TICK)

    def _loop(self) -> None:
        while True:
            self._note_addresses()
            revision = self._leadership.term
            if revision != self._revision:
                self._begin_term(revision)
            if self._leadership.may_order(read_clock()):
                self._feed.publish(read_clock())
                if self._has_adopted():
                    self._lead()
            self._knowledge.changes.wait(_TICK)

    def _bridge_loop(self) -> None:
        """Have all grants renewed as soon as the store falls silent.

        The longer holds that bridge an outage must be out before the proof
        ends, which is less than the interval of renewals away. The other
        loops may be waiting for the store just then.
        """
        last = self._durations.hold
        while True:
            gevent.sleep(_TICK)
            now = read_clock()
            if not self._leadership.may_order(now):
                continue
            hold = self._leadership.choose_hold(now)
            if hold > last:
                tell(Event.BRIDGING, hold=hold)
                self._renew_now.announce()
            last = hold

    def _note_addresses(self) -> None:
        for entry in self._knowledge.directory.list_all():
            self._addresses[entry.name] = entry.address

    def _begin_term(self, revision: Revision) -> None:
        self._stop_orders()
        self._revision = revision
        self._term = Term(self._leadership, self._durations)
        self._stopped.clear()
        self._fenced.clear()
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
                tell(Event.TABLES_UNREAD, error=error)
        return self._adopted

    def _adopt_tables(self) -> None:
        """Read what earlier leaders have written, to the last change."""
        listing = self._store.list(RANGES_PREFIX)
        self._knowledge.take_items(listing.items, read_clock())

    def _stop_orders(self) -> None:
        for task in [*self._renewals.values(), *self._moves.values()]:
            task.kill(block=False)
        self._renewals.clear()
        self._moves.clear()

    # Leading

    def _lead(self) -> None:
        now = read_clock()
        if self._knowledge.policy is None:
            return
        self._term.prune(now)
        self._knowledge.directory.expire(now)
        balance = now - self._balanced_at >= _BALANCE_EVERY
        if balance:
            self._balanced_at = now
            self._forget_gone()
        for service in self._knowledge.policy.list_keyed():
            self._lead_service(service, balance, now)

    def _forget_gone(self) -> None:
        """Forget upstreams that neither are registered nor own anything."""
        known = {each.name for each in self._knowledge.directory.list_all()}
        for each in self._knowledge.tables.values():
            known.update(tenure.owner for tenure in each.table.tenures)
        self._book.forget(known)
        for name in list(self._addresses):
            if name not in known:
                del self._addresses[name]
        for name in list(self._lanes):
            if name not in known:
                self._lanes.pop(name).close()

    def _lead_service(
        self, service: ServiceName, balance: bool, now: float
    ) -> None:
        table = self._knowledge.find_table(service) or RangeTable()
        changed = self._change(service, table, balance, now)
        if changed is not table and self._write(service, changed):
            table = changed
        self._order(service, table)

    def _change(
        self,
        service: ServiceName,
        table: RangeTable,
        balance: bool,
        now: float,
    ) -> RangeTable:
        """Return the next table, or the same one when it is right."""
        active = self._knowledge.directory.list_active(service)
        if not table.tenures:
            settled = now - self._knowledge.directory.changed_at >= _SETTLED
            if not active or not settled:
                return table
            active.sort(key=lambda each: each.name)
            return table.assign_first(
                [(each.name, each.slots) for each in active]
            )
        stopped = self._stopped.get(service, set())
        joined = table.complete(stopped).merge()
        moves = self._plan(service, joined, active, balance, now)
        late = stopped and now - self._stopped_at > _RECORD_WITHIN
        if moves or late:
            table = joined
            self._stopped_at = now
        if moves:
            tell(
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
        takers = {
            each.name: Taker(
                each.name,
                each.slots,
                self._book.find_slowness(each.name, now),
            )
            for each in active
        }
        rates = self._book.list_rates(service, now)
        moves = plan_evictions(table, takers, rates)
        for tenure in self._fenced.pop(service, set()):
            # Its fence was passed by; the same owner goes on at a new one.
            if tenure in table.tenures and tenure.owner in takers:
                moves.append(Move(tenure.keys, tenure.owner))
        began = self._book.began_at
        ready = began is not None and now - began >= _FIRST_BALANCE
        if not moves and balance and ready:
            room = MOST_MOVES - len(table.list_moving())
            moves = plan_balance(table, takers, rates, max(0, room))
            if not moves:
                moves = plan_tidying(table, takers, rates, max(0, room))
        return moves

    def _write(self, service: ServiceName, table: RangeTable) -> bool:
        known = self._knowledge.tables.get(service)
        revision = NO_REVISION if known is None else known.revision
        key = RANGES_PREFIX + service
        try:
            written: Revision = self._store.transact(
                {LEADER_KEY: self._revision, key: revision},
                [Write(key, encode_ranges(table))],
            )
        except StoreConflict:
            tell(Event.TABLE_UNWRITTEN, service=service, error="overtaken")
            self._reread()
            return False
        except StoreError as error:
            tell(Event.TABLE_UNWRITTEN, service=service, error=error)
            self._reread()
            return False
        self._knowledge.take_table(service, table, written, read_clock())
        tell(
            Event.TABLE_WRITTEN,
            service=service,
            revision=written,
            ranges=len(table.tenures),
            moving=len(table.list_moving()),
            fence=table.fence,
        )
        RANGES.labels(service).set(len(table.tenures))
        RANGES_MOVING.labels(service).set(len(table.list_moving()))
        stopped = self._stopped.get(service, set())
        self._stopped[service] = stopped.intersection(table.tenures)
        return True

    def _reread(self) -> None:
        with contextlib.suppress(StoreError):
            self._adopt_tables()

    # Orders

    def _order(self, service: ServiceName, table: RangeTable) -> None:
        moving = set(table.list_moving())
        for tenure in moving:
            place = (service, tenure)
            stopped = tenure in self._stopped.get(service, ())
            if place not in self._moves and not stopped:
                self._moves[place] = gevent.spawn(self._move, service, tenure)
        for place, task in list(self._moves.items()):
            if task.ready() or (
                place[0] == service and place[1] not in moving
            ):
                task.kill(block=False)
                del self._moves[place]
        for owner in {each.owner for each in table.tenures}:
            task = self._renewals.get(owner)
            if task is None or task.ready():
                self._renewals[owner] = gevent.spawn(
                    self._renew, service, owner
                )

    def _find_lane(self, upstream: UpstreamName) -> OrderLane | None:
        lane = self._lanes.get(upstream)
        if lane is None:
            address = self._addresses.get(upstream)
            if address is None:
                return None
            lane = OrderLane(
                upstream,
                address,
                self._dialect,
                self._durations.order_timeout,
            )
            self._lanes[upstream] = lane
        return lane

    def _move(self, service: ServiceName, tenure: Tenure) -> None:
        """Bring one range from its owner to its successor."""
        handover = self._stop_owner(service, tenure)
        if handover is None:
            return
        for _ in range(_GRANT_TRIES):
            now = read_clock()
            if not self._leadership.may_order(now):
                return
            taken = self._grant(tenure.successor, tenure, handover)
            if taken is Taken.DONE:
                break
            gevent.sleep(_RETRY_PAUSE)
        # Without its answer the successor owns it all the same: its
        # renewals go on, and if it is gone the range moves on.
        self._stopped.setdefault(service, set()).add(tenure)
        MOVES.labels(service).inc()
        self._spread(service, tenure)

    def _spread(self, service: ServiceName, tenure: Tenure) -> None:
        """Tell the hosts that a range has its new owner.

        Writing it down at once would wake every host's watch; who misses
        the message learns it from the next version of the record.
        """
        self._knowledge.take_moved(service, [tenure])
        for link in self._feed.list_links(read_clock()):
            self._send(link, Moved(service, [tenure]))

    def _stop_owner(self, service: ServiceName, tenure: Tenure) -> str | None:
        """Make sure that the owner has stopped; return what it hands over.

        Returns
        -------
        str or None
            None when this host may give no more orders.
        """
        began = read_clock()
        while True:
            now = read_clock()
            if not self._leadership.may_order(now):
                return None
            if self._has_ended(service, tenure, now):
                self._tell_stopped(service, tenure, "ended", now - began)
                return ""
            lane = self._find_lane(tenure.owner)
            if lane is not None:
                result = lane.release(tenure.keys, tenure.fence)
                if result.taken in (Taken.DONE, Taken.FOREIGN):
                    self._term.note_release(tenure.owner, tenure.keys)
                    proof = result.taken.value
                    self._tell_stopped(
                        service, tenure, proof, read_clock() - began
                    )
                    return result.handover
            gevent.sleep(_RETRY_PAUSE)

    def _tell_stopped(
        self,
        service: ServiceName,
        tenure: Tenure,
        proof: str,
        seconds: float,
    ) -> None:
        tell(
            Event.OWNER_STOPPED,
            service=service,
            upstream=tenure.owner,
            low=tenure.low,
            high=tenure.high,
            fence=tenure.fence,
            proof=proof,
            seconds=f"{seconds:.2f}",
        )

    def _has_ended(
        self, service: ServiceName, tenure: Tenure, now: float
    ) -> bool:
        """Tell whether the owner can not hold the range any longer."""
        address = self._addresses.get(tenure.owner, "")
        if self._knowledge.directory.has_successor(tenure.owner, address):
            return True
        since = self._knowledge.find_known_since(service, tenure)
        return self._term.has_ended(tenure.owner, tenure.keys, since, now)

    def _grant(
        self, upstream: UpstreamName, tenure: Tenure, handover: str
    ) -> Taken:
        lane = self._find_lane(upstream)
        if lane is None:
            return Taken.UNSENT
        grants: list[Grant] = []

        def prepare() -> float | None:
            grant = self._term.prepare_grant(
                upstream, tenure.keys, read_clock()
            )
            if grant is None:
                return None
            grants.append(grant)
            return grant.life

        try:
            return lane.grant(
                tenure.keys, tenure.fence, handover, prepare
            ).taken
        finally:
            # Answered or taken back: it arrives no later than now.
            for grant in grants:
                self._term.note_arrival(grant, read_clock())

    def _renew(self, service: ServiceName, owner: UpstreamName) -> None:
        """Renew all that one upstream owns, again and again."""
        while True:
            table = self._knowledge.find_table(service)
            owned = [] if table is None else table.list_owned(owner)
            if not owned:
                return
            results = renew_round(
                owned, lambda tenure: self._renew_one(service, tenure)
            )
            for tenure, taken in results.items():
                if taken is Taken.FENCED and self._is_current(service, tenure):
                    self._fenced.setdefault(service, set()).add(tenure)
            self._renew_now.wait(self._durations.renew)

    def _renew_one(self, service: ServiceName, tenure: Tenure) -> Taken:
        if not self._is_current(service, tenure):
            return Taken.DONE
        return self._grant(tenure.owner, tenure, "")

    def _is_current(self, service: ServiceName, tenure: Tenure) -> bool:
        """Tell whether a range is still owned as it was.

        A renewal must not follow the release of a part of its range.
        """
        table = self._knowledge.find_table(service)
        return table is not None and table.find(tenure.low) == tenure
