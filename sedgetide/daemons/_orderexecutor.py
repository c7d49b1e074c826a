"""Sends the orders of one term: renewals of grants, and moves of ranges."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

import gevent
from gevent.event import Event as Wake
import msgspec

from sedgetide.backends.dialects import OrderDialect
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.incarnations import UNKNOWN_START_TIME
from sedgetide.core.ownership.inheritedfences import inherit_fences
from sedgetide.core.ownership.inheritedfences import InheritedFences
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.load import UpstreamWork
from sedgetide.core.ownership.proofs import StopProof
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.terms import Grant
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._deployment import KnownTable
from sedgetide.daemons._hostmetrics import MOVES
from sedgetide.daemons._hostmetrics import PLANNED_MOVE_SECONDS
from sedgetide.daemons._hostmetrics import STOP_PROOFS
from sedgetide.daemons._orderclient import OrderClient
from sedgetide.daemons._orderclient import OrderOutcome
from sedgetide.daemons._orderclient import OrderResult
from sedgetide.daemons._ordersessions import OrderSessions
from sedgetide.daemons._ordersessions import OwnedFence
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._renewal import renew_grants
from sedgetide.daemons._upstreampath import UpstreamPath
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

_RETRY_DELAY = 0.2
# Seconds; a timeout of zero would cancel the release before it is sent.
_MIN_RELEASE_TIMEOUT = 0.01
# Seconds by which the end of a hold has to change to be stated again.
_STATED_PRECISION = 0.1
_GRANT_ATTEMPTS = 3
# Ranges in one log line of about 4 KB.
_LOGGED_RANGES = 100
# End of the holds of an upstream that holds none of the keys.
_NO_HOLD = float("-inf")
_RELEASE_PROOFS = {
    OrderOutcome.DONE: StopProof.ANSWERED,
    OrderOutcome.FOREIGN: StopProof.OTHER_INSTANCE,
}
# Outcomes of a renewal over a path that may be lost.
_UNREACHED = frozenset(
    {OrderOutcome.BLOCKED, OrderOutcome.UNSENT, OrderOutcome.UNKNOWN}
)


class OrderClients:
    """Order clients of all upstreams, kept across the terms of a host.

    Parameters
    ----------
    dialect : OrderDialect
        Encodes orders for the upstreams.
    grant_timeout : float
        Seconds after which an unanswered grant is aborted.
    paths : PathMonitor
        Records which upstreams are reached.

    Attributes
    ----------
    sessions : OrderSessions
        Sessions in which upstreams were granted keys.
    """

    def __init__(
        self,
        dialect: OrderDialect,
        grant_timeout: float,
        paths: PathMonitor,
    ) -> None:
        self._dialect = dialect
        self._paths = paths
        self._grant_timeout = grant_timeout
        self._clients: dict[IncarnationName, OrderClient] = {}
        self._entries: dict[IncarnationName, RegisteredUpstream] = {}
        self._seen_at: dict[IncarnationName, float] = {}
        self.sessions = OrderSessions()

    def update_entries(self, directory: UpstreamDirectory, now: float) -> None:
        """Store the current entries, kept also after upstreams have left."""
        for entry in directory.list_all():
            self._entries[entry.name] = entry
            self._seen_at[entry.name] = now

    def list_seen(
        self, service: ServiceName, since: float
    ) -> list[IncarnationName]:
        """Return a service's upstreams last seen at or after a time."""
        return [
            name
            for name, seen_at in self._seen_at.items()
            if seen_at >= since and self._entries[name].service == service
        ]

    def find_address(self, upstream: IncarnationName) -> str:
        """Return an upstream's last known address; empty when unknown."""
        entry = self._entries.get(upstream)
        return "" if entry is None else entry.address

    def find(self, upstream: IncarnationName) -> OrderClient | None:
        """Return the client of an upstream; None without an address."""
        client = self._clients.get(upstream)
        entry = self._entries.get(upstream)
        if client is None and entry is not None:
            client = OrderClient(
                entry.registered_name,
                entry.address,
                self._dialect,
                self._grant_timeout,
                path=UpstreamPath(self._paths, entry),
                may_restart=entry.born != UNKNOWN_START_TIME,
            )
            self._clients[upstream] = client
        return client

    def note_served(self, seen: Collection[UpstreamWork]) -> None:
        """Record which upstreams have answered requests of a host."""
        for each in seen:
            client = self._clients.get(each.upstream)
            if each.answers and client is not None:
                client.silence.note_answer()

    def is_silent(self, upstream: IncarnationName) -> bool:
        """Return whether an upstream leaves everything unanswered."""
        client = self._clients.get(upstream)
        return client is not None and client.silence.lasting

    def retain(self, known: Collection[IncarnationName]) -> None:
        """Drop the state of upstreams that aren't among the known ones."""
        for name in list(self._entries):
            if name not in known:
                del self._entries[name]
                del self._seen_at[name]
        for name in list(self._clients):
            if name not in known:
                self._clients.pop(name).close()


class _StoppedOwner(msgspec.Struct, frozen=True):
    """How an owner has stopped serving a range.

    Parameters
    ----------
    handover : str
        State handed over with the release, or an empty string.
    released : bool
        Whether it answered a release. Otherwise it has ended, or its hold
        has expired.
    """

    handover: str = ""
    released: bool = False


def _ignore(*_: object) -> None:
    """Accept and ignore any arguments."""


class OrderExecutor:
    """Carries out the tables of owners during one term of the leader.

    A grant lets an upstream serve a range for a limited time, its *hold*.
    A task for each owner renews its grants. A task for each move releases
    the range from its old owner, or waits until that owner's grant has
    certainly expired, and then grants it to the successor.

    Upstreams that may start again under their names get ranges that were
    granted by earlier leaders at a fence of this term, which the next table
    shows; see :class:`InheritedFences`.

    Parameters
    ----------
    term : Term
        Whether orders may be sent, and how long granted ranges may be held.
    deployment : DeploymentState
        Tables of owners that the store has acknowledged.
    clients : OrderClients
        Clients of the upstreams.
    durations : Durations
        Timeouts that guarantee a single owner for each range.
    on_moved : callable
        Called when a range has its new owner.
    on_held : callable
        Called with the time until which the owner of a moving range may hold
        it, when the owner has probably ended and won't release the range.
    """

    def __init__(
        self,
        term: Term,
        deployment: DeploymentState,
        clients: OrderClients,
        durations: Durations,
        on_moved: Callable[[ServiceName, Tenure], None],
        on_held: Callable[[ServiceName, Tenure, float], None] = _ignore,
    ) -> None:
        self.term = term
        self._deployment = deployment
        self._clients = clients
        self._durations = durations
        self._on_moved = on_moved
        self._on_held = on_held
        self._renewals: dict[IncarnationName, gevent.Greenlet] = {}
        self._moves: dict[tuple[ServiceName, Tenure], gevent.Greenlet] = {}
        self._completed: dict[ServiceName, set[Tenure]] = {}
        self._fenced: dict[ServiceName, set[Tenure]] = {}
        self._logged: set[ServiceName] = set()
        self._inherited: dict[ServiceName, InheritedFences] = {}
        self._wakes: dict[IncarnationName, Wake] = {}
        self._unrenewed: set[IncarnationName] = set()
        clients.sessions.begin_term(read_clock())

    @property
    def moving(self) -> int:
        """Number of moves under way."""
        return len(self._moves)

    def close(self) -> None:
        """Cancel all renewals and moves."""
        for task in [*self._renewals.values(), *self._moves.values()]:
            task.kill(block=False)
        self._renewals.clear()
        self._moves.clear()

    def renew_all(self) -> None:
        """Renew all grants now."""
        for wake in self._wakes.values():
            wake.set()

    def renew_owners(self, owners: Collection[IncarnationName]) -> None:
        """Renew the grants of those owners whose last renewals failed."""
        for owner in self._unrenewed.intersection(owners):
            self._wakes[owner].set()

    def inherit_table(self, service: ServiceName, known: KnownTable) -> None:
        """Record the table of earlier leaders, before the first order."""
        self._inherited[service] = inherit_fences(
            known.table, known.position, self.term.position
        )

    def raise_fences(
        self, service: ServiceName, table: RangeTable
    ) -> RangeTable:
        """Return the table with the fences at which its ranges are granted.

        Returns the table itself if these are in it.
        """
        return self._find_inherited(service).apply_to(table)

    def _find_inherited(self, service: ServiceName) -> InheritedFences:
        return self._inherited.get(service) or InheritedFences()

    def list_completed(self, service: ServiceName) -> set[Tenure]:
        """Return completed moves that the table may not show yet."""
        return self._completed.get(service, set())

    def note_written(self, service: ServiceName, table: RangeTable) -> None:
        """Drop completed moves that the written table has applied."""
        completed = self.list_completed(service)
        self._completed[service] = completed.intersection(table.tenures)
        if self._clients.sessions.is_full:
            self._prune_sessions()

    def _prune_sessions(self) -> None:
        """Drop sessions of grants that are in no current table."""
        current: set[OwnedFence] = set()
        for service, known in self._deployment.tables.items():
            find_fence = self._find_inherited(service).find_fence
            for tenure in known.table.tenures:
                for name in (tenure.owner, tenure.successor):
                    current.add((name, find_fence(name, tenure.fence)))
        self._clients.sessions.retain(current)

    def pop_fenced(
        self,
        service: ServiceName,
        is_reached: Callable[[IncarnationName], bool],
    ) -> set[Tenure]:
        """Return and clear the ranges that need a higher fence.

        Those of owners that are not reached are kept: connections that a
        lost path has ended look like a restart, and a range that moves waits
        until its owner has answered, or its hold is over.
        """
        fenced = self._fenced.pop(service, set())
        kept = {each for each in fenced if not is_reached(each.owner)}
        if kept:
            self._fenced[service] = kept
        return fenced - kept

    def reconcile(self, service: ServiceName, table: RangeTable) -> None:
        """Start the tasks that a table requires and cancel the others."""
        moving = set(table.list_moving())
        if service not in self._logged:
            self._logged.add(service)
            settled = [e for e in table.tenures if e not in moving]
            self._log_granting(service, [(e, e.owner) for e in settled])
        for tenure in moving:
            move_key = (service, tenure)
            completed = tenure in self.list_completed(service)
            if move_key not in self._moves and not completed:
                self._moves[move_key] = gevent.spawn(
                    self._move, service, tenure
                )
        for move_key, task in list(self._moves.items()):
            if task.ready() or (
                move_key[0] == service and move_key[1] not in moving
            ):
                task.kill(block=False)
                del self._moves[move_key]
        for owner in {each.owner for each in table.tenures}:
            task = self._renewals.get(owner)
            if task is None or task.ready():
                self._renewals[owner] = gevent.spawn(
                    self._renew, service, owner
                )

    def _move(self, service: ServiceName, tenure: Tenure) -> None:
        """Move a range from its owner to its successor."""
        began = read_clock()
        stopped = self._stop_owner(service, tenure)
        if stopped is None:
            return
        self._log_granting(service, [(tenure, tenure.successor)])
        for _ in range(_GRANT_ATTEMPTS):
            now = read_clock()
            if not self.term.may_order(now):
                return
            taken = self._grant(
                service, tenure.successor, tenure, stopped.handover
            )
            if taken is OrderOutcome.DONE:
                break
            gevent.sleep(_RETRY_DELAY)
        # The successor becomes the owner even without its answer: its grant
        # is renewed, and if it is lost the range moves again.
        self._completed.setdefault(service, set()).add(tenure)
        MOVES.labels(service).inc()
        if stopped.released:
            seconds = read_clock() - began
            PLANNED_MOVE_SECONDS.labels(service).observe(seconds)
        self._on_moved(service, tenure)

    def _stop_owner(
        self, service: ServiceName, tenure: Tenure
    ) -> _StoppedOwner | None:
        """Wait until the owner has certainly stopped serving a range.

        Returns
        -------
        _StoppedOwner or None
            None when this host may send no more orders.
        """
        began = read_clock()
        stated_end = float("inf")
        releases = 0
        while True:
            now = read_clock()
            if not self.term.may_order(now):
                return None
            end = self._find_hold_end(service, tenure)
            if now >= end:
                unheld = end == _NO_HOLD
                proof = StopProof.UNHELD if unheld else StopProof.EXPIRED
                self._log_owner_stopped(service, tenure, proof, began, end)
                return _StoppedOwner()
            # One release may fail because the owner is at its connection
            # limit.
            lost = (
                releases > 1
                or not self._is_registered(tenure.owner)
                or self._clients.is_silent(tenure.owner)
            )
            if lost and end < stated_end - _STATED_PRECISION:
                self._on_held(service, tenure, end)
                stated_end = end
            # Waiting for the answer to a release past the end of the hold
            # would keep the keys unavailable for up to another 0.7 s.
            with gevent.Timeout(max(_MIN_RELEASE_TIMEOUT, end - now), False):
                releases += 1
                result = self._release(service, tenure)
                if result is not None:
                    proof = _RELEASE_PROOFS[result.taken]
                    self._log_owner_stopped(service, tenure, proof, began, end)
                    released = result.taken is OrderOutcome.DONE
                    return _StoppedOwner(result.handover, released)
                gevent.sleep(self._find_retry_delay(tenure.owner))

    def _find_retry_delay(self, owner: IncarnationName) -> float:
        """Return the seconds until the next release of a range.

        An upstream that answers without end costs up to 20 ms of processor
        time for each order, so it gets no more than one in 0.2 s.
        """
        if not self._clients.is_silent(owner):
            return _RETRY_DELAY
        moves = sum(1 for _, each in self._moves if each.owner == owner)
        return _RETRY_DELAY * max(1, moves)

    def _release(
        self, service: ServiceName, tenure: Tenure
    ) -> OrderResult | None:
        """Release a range; return None if the owner may still hold it."""
        client = self._clients.find(tenure.owner)
        if client is None:
            return None

        def may_send() -> bool:
            if not self.term.may_order(read_clock()):
                return False
            return self._is_current(service, tenure)

        result = client.release(tenure.keys, tenure.fence, may_send)
        if result.taken not in _RELEASE_PROOFS:
            return None
        # A grant of the same fence that is still under way is accepted after
        # the release, if the owner gets the range again.
        regranted = tenure.owner == tenure.successor
        if not regranted or result.taken is OrderOutcome.FOREIGN:
            self.term.note_release(tenure.owner, tenure.keys, service)
        return result

    def _is_registered(self, upstream: IncarnationName) -> bool:
        return self._deployment.directory.find(upstream) is not None

    def _log_owner_stopped(
        self,
        service: ServiceName,
        tenure: Tenure,
        proof: StopProof,
        began: float,
        hold_end: float,
    ) -> None:
        STOP_PROOFS.labels(service, "move", proof.value).inc()
        now = read_clock()
        after_hold = "" if hold_end == _NO_HOLD else f"{now - hold_end:.2f}"
        log_event(
            Event.OWNER_STOPPED,
            service=service,
            upstream=tenure.owner,
            low=tenure.low,
            high=tenure.high,
            fence=tenure.fence,
            proof=proof.value,
            seconds=f"{now - began:.2f}",
            after_hold=after_hold,
        )

    def _log_granting(
        self,
        service: ServiceName,
        grants: Sequence[tuple[Tenure, IncarnationName]],
    ) -> None:
        find_fence = self._find_inherited(service).find_fence
        fenced = [
            (each, upstream, find_fence(upstream, each.fence))
            for each, upstream in grants
        ]
        for first in range(0, len(fenced), _LOGGED_RANGES):
            some = fenced[first : first + _LOGGED_RANGES]
            log_event(
                Event.GRANTING,
                service=service,
                term=self.term.position,
                ranges=" ".join(
                    f"{each.low}-{each.high}/{fence}>{upstream}"
                    for each, upstream, fence in some
                ),
                raised=sum(fence != each.fence for each, _, fence in some),
            )

    def _find_hold_end(self, service: ServiceName, tenure: Tenure) -> float:
        """Return when the owner's hold of a range has certainly expired."""
        since = self._deployment.find_known_since(service, tenure)
        return self.term.find_hold_end(
            tenure.owner, tenure.keys, since, service
        )

    def _grant(
        self,
        service: ServiceName,
        upstream: IncarnationName,
        tenure: Tenure,
        handover: str,
    ) -> OrderOutcome:
        client = self._clients.find(upstream)
        if client is None:
            return OrderOutcome.UNSENT
        grants: list[Grant] = []
        inherited = self._find_inherited(service)
        fence = inherited.find_fence(upstream, tenure.fence)
        granted = (upstream, fence)
        restarted = False

        def prepare() -> float | None:
            nonlocal restarted
            # Connecting takes up to half a second. A move that begins
            # meanwhile doesn't wait for a grant that hasn't been sent.
            if not self._is_current(service, tenure):
                return None
            now = read_clock()
            restarted = self._clients.sessions.is_restarted(
                granted, client.session, now
            )
            if restarted:
                return None
            grant = self.term.prepare_grant(
                upstream, tenure.keys, now, service
            )
            if grant is None:
                return None
            grants.append(grant)
            return grant.life

        arrived = False
        try:
            result = client.grant(tenure.keys, fence, handover, prepare)
            arrived = result.identified and (
                result.taken is not OrderOutcome.UNKNOWN
            )
            if result.taken is OrderOutcome.FOREIGN:
                self._deployment.directory.note_foreign(upstream, read_clock())
            return OrderOutcome.RESTARTED if restarted else result.taken
        finally:
            # It was answered or not sent, so it can't arrive after now. A
            # reset takes back nothing that the upstream has yet to read.
            for grant in grants if arrived else ():
                self.term.note_arrival(grant, read_clock())

    def _renew(self, service: ServiceName, owner: IncarnationName) -> None:
        """Renew the grants of one owner at intervals."""
        wake = self._wakes.setdefault(owner, Wake())
        while True:
            # A path may be regained after the round has failed to use it.
            self._unrenewed.add(owner)
            wake.clear()
            table = self._find_table(service)
            owned = [] if table is None else table.list_owned(owner)
            if not owned:
                self._unrenewed.discard(owner)
                return
            results = renew_grants(
                owned, lambda tenure: self._renew_one(service, tenure)
            )
            for tenure, taken in results.items():
                refused = taken in (
                    OrderOutcome.FENCED,
                    OrderOutcome.RESTARTED,
                )
                if refused and self._is_current(service, tenure):
                    self._fenced.setdefault(service, set()).add(tenure)
            if _UNREACHED.isdisjoint(results.values()):
                self._unrenewed.discard(owner)
                wake.clear()
            wake.wait(self._durations.renew)

    def _renew_one(self, service: ServiceName, tenure: Tenure) -> OrderOutcome:
        if not self._is_current(service, tenure):
            return OrderOutcome.DONE
        return self._grant(service, tenure.owner, tenure, "")

    def _is_current(self, service: ServiceName, tenure: Tenure) -> bool:
        """Return whether a tenure is unchanged in the current table.

        A grant must not be renewed after a part of its range was released,
        and no order may be sent after its range moved to another owner.
        """
        table = self._find_table(service)
        return table is not None and table.find(tenure.low) == tenure

    def _find_table(self, service: ServiceName) -> RangeTable | None:
        """Return the table if no later leader can have written it.

        After a restore of the store, a leader of the former era must not
        act on a table of the new one: its proof of leadership is invalid
        there. A leader that has lost its record must not grant at a fence of
        the next one, which may have granted it to another process.
        """
        if self._deployment.has_later_leader(self.term.position):
            return None
        return self._deployment.find_table_in_era(service, self.term.era)
