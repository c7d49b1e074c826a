"""Recovery of ownership after the store was restored from a backup.

In a new era upstreams release their keys before the first grant. Only an
answer proves that one has done so: a connection may be refused, and a registry
entry may be out of date, while the upstream serves callers.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from typing import Any

import gevent

from sedgetide.core.history import FIRST_ERA
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.formerterms import TermReports
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.proofs import StopProof
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import Action
from sedgetide.core.ownership.recovery import Basis
from sedgetide.core.ownership.recovery import Decision
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import RecoveredTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.recovery import WAIT
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import STOP_PROOFS
from sedgetide.daemons._orderclient import OrderOutcome
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

_RETRY_DELAY = 0.2
# Seconds after the begin of a term; each host has sent a load report by then,
# which tells whether it knows a later leader of the former era. A host may
# read the new leader's record 0.2 s late and then sends it within 0.4 s.
_FIRST_REPORTS_TIME = 1.0


class _ServiceRecovery:
    """Recovery of one service and the tasks that contact its upstreams."""

    def __init__(
        self,
        service: ServiceName,
        fence: Fence,
        settled_at: float,
        grants_expire_at: float,
    ) -> None:
        self.service = service
        self.fence = fence
        self.grants_expire_at = grants_expire_at
        self.recovery = Recovery(settled_at, grants_expire_at)
        self.began = read_clock()
        self.upstreams: Collection[IncarnationName] = ()
        self.proofs: dict[IncarnationName, StopProof] = {}
        self.decision = WAIT
        self.logged_basis: Basis | None = None
        self.reachable: set[IncarnationName] = set()
        self.tasks: dict[IncarnationName, gevent.Greenlet] = {}

    def list_silent(self, decision: Decision) -> set[IncarnationName]:
        """Return the upstreams that have not released their keys."""
        return {*self.upstreams, *decision.pending} - self.proofs.keys()

    def stop_tasks(self) -> None:
        """Cancel all tasks; a later answer has no effect."""
        for task in self.tasks.values():
            task.kill(block=False)
        self.tasks.clear()


class RecoveryCoordinator:
    """Recovers the ownership of all services during one term.

    Parameters
    ----------
    term : Term
        Whether orders may be sent, and how long granted ranges may be held.
    deployment : DeploymentState
        Upstreams, and the last known owners.
    clients : OrderClients
        Clients of the upstreams.
    reports : TermReports
        Reports of former leaders.
    """

    def __init__(
        self,
        term: Term,
        deployment: DeploymentState,
        clients: OrderClients,
        reports: TermReports,
    ) -> None:
        self._term = term
        self._deployment = deployment
        self._clients = clients
        self._reports = reports
        self._recoveries: dict[ServiceName, _ServiceRecovery] = {}

    def close(self) -> None:
        """Cancel all recoveries."""
        for state in self._recoveries.values():
            state.stop_tasks()
        self._recoveries.clear()

    def dump_state(self) -> dict[str, Any]:
        """Return the last decisions of this term, by service.

        ``earlier_grants_s`` is the time in seconds for which grants of
        earlier eras may still be held.
        """
        now = read_clock()
        return {
            service: {
                "action": state.decision.action.value,
                "basis": state.decision.basis and state.decision.basis.value,
                "pending": sorted(state.list_silent(state.decision)),
                "reachable": sorted(state.reachable),
                "released": {
                    name: proof.value for name, proof in state.proofs.items()
                },
                "retained": len(state.decision.retained),
                "seconds": round(now - state.began, 2),
                "earlier_grants_s": round(state.grants_expire_at - now, 2),
            }
            for service, state in self._recoveries.items()
        }

    def recover_table(self, service: ServiceName) -> RecoveredTable | None:
        """Return what to start the era from, or advance the recovery.

        Called until the first table of the era is written.

        Returns
        -------
        RecoveredTable or None
            Last known tenures, with a fence above all fences of earlier
            eras, and the ranges that may still be held; None while other
            ranges may be held that were granted in an earlier era.
        """
        known = self._deployment.find_table(service) or RangeTable()
        if self._term.era == FIRST_ERA:
            return RecoveredTable(known)
        fence = max(known.fence, find_first_fence(self._term.era))
        state = self._recoveries.get(service)
        if state is None:
            state = self._begin_recovery(service, Fence(fence + 1))
        decision = self._advance_recovery(service, state, known)
        if decision.action is not Action.GRANT:
            return None
        return RecoveredTable(
            RangeTable(fence, known.tenures),
            decision.pending,
            decision.retained,
        )

    def _begin_recovery(
        self, service: ServiceName, fence: Fence
    ) -> _ServiceRecovery:
        settled_at = max(
            self._deployment.find_reregistration_end(),
            self._term.began_at + _FIRST_REPORTS_TIME,
            self._term.sole_orders_from,
        )
        grants_expire_at = self._find_expiry()
        state = _ServiceRecovery(service, fence, settled_at, grants_expire_at)
        self._recoveries[service] = state
        most_seconds = max(0.0, grants_expire_at - read_clock())
        log_event(
            Event.RECOVERING,
            service=service,
            era=self._term.era,
            most_seconds=f"{most_seconds:.1f}",
        )
        return state

    def _find_expiry(self) -> float:
        """Return when all grants of earlier leaders have expired.

        Those of earlier eras get no proof of leadership after the restore,
        which was before this host heard of it. One of this era has granted
        nothing, but would order by the first table.
        """
        since = self._term.began_at
        heard_at = self._deployment.era_began_at
        if heard_at > float("-inf"):
            since = min(since, heard_at)
        expired_at = since + self._term.longest_hold
        return max(expired_at, self._term.sole_orders_from)

    def _advance_recovery(
        self, service: ServiceName, state: _ServiceRecovery, known: RangeTable
    ) -> Decision:
        now = read_clock()
        upstreams = self._list_upstreams(service, known, now)
        state.upstreams = upstreams
        report = self._reports.find(service, self._term.era)
        first_start = not self._deployment.records.has_earlier(self._term.era)
        decision = state.recovery.decide(upstreams, report, first_start, now)
        if decision.action is not Action.GRANT:
            self._contact_upstreams(state, upstreams, decision, now)
        elif decision != state.decision:
            self._complete_recovery(
                service, state, upstreams, report, decision
            )
        state.decision = decision
        return decision

    def _complete_recovery(
        self,
        service: ServiceName,
        state: _ServiceRecovery,
        upstreams: Collection[IncarnationName],
        report: ReportedHolds | None,
        decision: Decision,
    ) -> None:
        """Record what is known of earlier grants, before the first one."""
        state.stop_tasks()
        released = state.recovery.list_released()
        reported = decision.basis is Basis.REPORT and report is not None
        self._term.replace_inherited(
            service,
            {*upstreams, *released},
            report.holds if reported else (),
        )
        if decision.basis is state.logged_basis:
            return
        state.logged_basis = decision.basis
        proofs = collections.Counter(state.proofs.values())
        silent = len(state.list_silent(decision))
        if decision.basis is Basis.EXPIRED:
            expired = StopProof.EXPIRED.value
            STOP_PROOFS.labels(service, "restore", expired).inc(silent)
        log_event(
            Event.RECOVERED,
            service=service,
            era=self._term.era,
            released=len(released),
            answered=proofs[StopProof.ANSWERED],
            other_instance=proofs[StopProof.OTHER_INSTANCE],
            silent=silent,
            retained=len(decision.retained),
            basis=decision.basis.value,
            seconds=f"{read_clock() - state.began:.2f}",
        )

    def _note_released(
        self,
        state: _ServiceRecovery,
        name: IncarnationName,
        proof: StopProof,
    ) -> None:
        state.recovery.note_released(name)
        # Noted when it is answered, since a grant of this term may follow.
        self._term.note_release(name, ALL_KEYS, state.service)
        state.proofs[name] = proof
        STOP_PROOFS.labels(state.service, "restore", proof.value).inc()
        log_event(
            Event.UPSTREAM_RELEASED,
            service=state.service,
            era=self._term.era,
            upstream=name,
            address=self._clients.find_address(name),
            proof=proof.value,
            seconds=f"{read_clock() - state.began:.2f}",
        )
        self._deployment.changes.notify_all()

    def _list_upstreams(
        self, service: ServiceName, known: RangeTable, now: float
    ) -> set[IncarnationName]:
        """Return the known upstreams that may hold keys of the service.

        These include upstreams that have left as long as grants of earlier
        eras may be held.
        """
        since = now - self._term.longest_hold
        upstreams = set(self._clients.list_seen(service, since))
        for tenure in known.tenures:
            upstreams.add(tenure.successor or tenure.owner)
            upstreams.add(tenure.owner)
        return upstreams

    def _contact_upstreams(
        self,
        state: _ServiceRecovery,
        upstreams: Collection[IncarnationName],
        decision: Decision,
        now: float,
    ) -> None:
        """Request releases, or open the connections for them.

        Connections are opened early so that releases leave at once.
        """
        if self._may_ask(state, decision, now):
            state.recovery.note_asked(now)
            for upstream in decision.pending:
                self._start_task(state, upstream, self._release)
            return
        for upstream in set(upstreams) - state.reachable:
            self._start_task(state, upstream, self._connect)

    def _may_ask(
        self, state: _ServiceRecovery, decision: Decision, now: float
    ) -> bool:
        """Return whether upstreams may be asked to release their keys.

        They keep serving under their existing grants while the store doesn't
        answer, as the table could not be written. The same holds at the
        first start as long as one isn't reachable, since no keys may be
        granted then.
        """
        if decision.action is not Action.ASK or not self._term.is_fresh(now):
            return False
        if decision.basis is Basis.REPORT:
            return True
        return state.reachable.issuperset(decision.pending)

    def _start_task(
        self,
        state: _ServiceRecovery,
        name: IncarnationName,
        contact: Callable[[_ServiceRecovery, IncarnationName], None],
    ) -> None:
        task = state.tasks.get(name)
        if task is None or task.ready():
            state.tasks[name] = gevent.spawn(contact, state, name)

    def _connect(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        client = self._clients.find(name)
        if client is not None and client.connect():
            state.reachable.add(name)
            self._deployment.changes.notify_all()
            return
        gevent.sleep(_RETRY_DELAY)

    def _release(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        client = self._clients.find(name)
        if client is None:
            state.reachable.discard(name)
            gevent.sleep(_RETRY_DELAY)
            return
        result = client.release(
            ALL_KEYS,
            state.fence,
            lambda: self._term.may_order(read_clock()),
        )
        if result.taken is OrderOutcome.DONE:
            self._note_released(state, name, StopProof.ANSWERED)
            return
        if result.taken is OrderOutcome.FOREIGN:
            self._note_released(state, name, StopProof.OTHER_INSTANCE)
            return
        gevent.sleep(_RETRY_DELAY)
