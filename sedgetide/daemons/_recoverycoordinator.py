"""Recovery of ownership after the store was restored from a backup.

In a new era all upstreams release their keys before the first grant.
"""

import collections
from typing import Any

import gevent

from sedgetide.core.history import FIRST_ERA
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.proofs import StopProof
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import STOP_PROOFS
from sedgetide.daemons._orderclient import OrderOutcome
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.probes import Presence
from sedgetide.wire.probes import probe

_RETRY_DELAY = 0.2
_PROBE_TIMEOUT = 0.2


class _ServiceRecovery:
    """Recovery of one service and the tasks that contact its upstreams."""

    def __init__(
        self,
        service: ServiceName,
        recovery: Recovery,
        fence: Fence,
        began: float,
    ) -> None:
        self.service = service
        self.recovery = recovery
        self.fence = fence
        self.began = began
        self.proofs: dict[IncarnationName, StopProof] = {}
        self.pending: set[IncarnationName] = set()
        self.left_out: set[IncarnationName] = set()
        self.reachable: set[IncarnationName] = set()
        self.tasks: dict[IncarnationName, gevent.Greenlet] = {}


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
    """

    def __init__(
        self, term: Term, deployment: DeploymentState, clients: OrderClients
    ) -> None:
        self._term = term
        self._deployment = deployment
        self._clients = clients
        self._recoveries: dict[ServiceName, _ServiceRecovery] = {}
        self._recovered: set[ServiceName] = set()

    def close(self) -> None:
        """Cancel all recoveries."""
        for service in list(self._recoveries):
            self._stop_tasks(service)

    def _stop_tasks(self, service: ServiceName) -> None:
        for task in self._recoveries.pop(service).tasks.values():
            task.kill(block=False)

    def recover_table(self, service: ServiceName) -> RangeTable | None:
        """Return the table to start the era from, or advance the recovery.

        Returns
        -------
        RangeTable or None
            Last known tenures, with a fence above all fences of earlier
            eras; None while an upstream may still hold keys granted in one
            of those eras.
        """
        known = self._deployment.find_table(service) or RangeTable()
        if self._term.era == FIRST_ERA:
            return known
        fence = max(known.fence, find_first_fence(self._term.era))
        if service not in self._recovered:
            if not self._advance_recovery(service, Fence(fence + 1), known):
                return None
            self._recovered.add(service)
        return RangeTable(fence, known.tenures)

    def _advance_recovery(
        self, service: ServiceName, fence: Fence, known: RangeTable
    ) -> bool:
        now = read_clock()
        state = self._recoveries.get(service)
        if state is None:
            grants_expire_at = self._term.inherited_until
            settled_at = self._deployment.find_reregistration_end()
            state = _ServiceRecovery(
                service, Recovery(settled_at, grants_expire_at), fence, now
            )
            self._recoveries[service] = state
            log_event(
                Event.RECOVERING,
                service=service,
                era=self._term.era,
                most_seconds=f"{max(0.0, grants_expire_at - now):.1f}",
            )
        upstreams = self._list_upstreams(service, known, now, state)
        state.pending = upstreams - state.proofs.keys()
        if state.recovery.is_over(upstreams, now):
            self._complete_recovery(service, state)
            return True
        self._request_releases(
            service,
            state,
            state.recovery.list_pending_releases(upstreams, now),
        )
        return False

    def _complete_recovery(
        self, service: ServiceName, state: _ServiceRecovery
    ) -> None:
        released = state.recovery.list_released()
        for upstream in released:
            self._term.note_release(upstream, ALL_KEYS)
        proofs = collections.Counter(state.proofs.values())
        for proof, count in (
            (StopProof.EXPIRED, len(state.pending)),
            (StopProof.ADDRESS_REUSED, len(state.left_out)),
        ):
            STOP_PROOFS.labels(service, "restore", proof.value).inc(count)
        log_event(
            Event.RECOVERED,
            service=service,
            era=self._term.era,
            released=len(released),
            answered=proofs[StopProof.ANSWERED],
            other_instance=proofs[StopProof.OTHER_INSTANCE],
            refused=proofs[StopProof.REFUSED],
            left_out=len(state.left_out),
            unreleased=len(state.pending),
            seconds=f"{read_clock() - state.began:.2f}",
        )
        self._stop_tasks(service)

    def _note_released(
        self,
        state: _ServiceRecovery,
        name: IncarnationName,
        proof: StopProof,
    ) -> None:
        state.recovery.note_released(name)
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

    def dump_state(self, now: float) -> dict[str, Any]:
        """Return the state of the running recoveries, by service.

        ``earlier_grants_s`` is the time in seconds for which grants of
        earlier eras may still be held.
        """
        return {
            service: {
                "pending": sorted(state.pending),
                "reachable": sorted(state.reachable),
                "released": {
                    name: proof.value for name, proof in state.proofs.items()
                },
                "left_out": sorted(state.left_out),
                "seconds": round(now - state.began, 2),
                "earlier_grants_s": round(self._term.inherited_until - now, 2),
            }
            for service, state in self._recoveries.items()
        }

    def _list_upstreams(
        self,
        service: ServiceName,
        known: RangeTable,
        now: float,
        state: _ServiceRecovery,
    ) -> set[IncarnationName]:
        """Return the upstreams that may hold keys of the service.

        These include upstreams that have left as long as grants of earlier
        eras may be held, unless another upstream has their address now,
        which shows that their process has ended.
        """
        since = now - self._term.longest_hold
        upstreams = set(self._clients.list_seen(service, since))
        for tenure in known.tenures:
            upstreams.add(tenure.successor or tenure.owner)
            upstreams.add(tenure.owner)
        directory = self._deployment.directory
        state.left_out = {
            each
            for each in upstreams
            if directory.is_address_reused(
                each, self._clients.find_address(each)
            )
        }
        state.left_out -= state.proofs.keys()
        return upstreams - state.left_out

    def _request_releases(
        self,
        service: ServiceName,
        state: _ServiceRecovery,
        upstreams: list[IncarnationName],
    ) -> None:
        """Request releases from all upstreams, once all are reachable.

        As long as one isn't reachable no keys may be granted anyway, so the
        others keep serving under their existing grants. The same holds while
        the store doesn't answer, as the table could not be written.
        """
        reachable = state.reachable.issuperset(upstreams)
        ready = reachable and self._term.is_fresh(read_clock())
        for upstream in upstreams:
            task = state.tasks.get(upstream)
            if task is not None and not task.ready():
                continue
            if ready:
                state.tasks[upstream] = gevent.spawn(
                    self._release, state, upstream
                )
            elif upstream not in state.reachable:
                state.tasks[upstream] = gevent.spawn(
                    self._connect, state, upstream
                )

    def _connect(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        client = self._clients.find(name)
        if client is not None and client.connect():
            state.reachable.add(name)
            self._deployment.changes.notify_all()
            return
        address = self._clients.find_address(name)
        if address and probe(address, _PROBE_TIMEOUT) is Presence.ENDED:
            # Nothing listens at the address: the process has ended, so its
            # grants are no longer held.
            self._note_released(state, name, StopProof.REFUSED)
            return
        gevent.sleep(_RETRY_DELAY)

    def _release(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        client = self._clients.find(name)
        if client is None:
            state.reachable.discard(name)
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
