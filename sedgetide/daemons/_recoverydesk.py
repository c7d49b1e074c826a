"""Has all upstreams give back their keys before the first grant of an era."""

import gevent

from sedgetide.core.history import FIRST_ERA
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._orderdesk import OrderLanes
from sedgetide.daemons._orders import Taken
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import tell
from sedgetide.wire.probes import Presence
from sedgetide.wire.probes import probe

_RETRY_PAUSE = 0.2
_PROBE_TIMEOUT = 0.2


class _ServiceRecovery:
    """Tasks that ask the upstreams of one service."""

    def __init__(self, recovery: Recovery, fence: Fence) -> None:
        self.recovery = recovery
        self.fence = fence
        self.reached: set[IncarnationName] = set()
        self.tasks: dict[IncarnationName, gevent.Greenlet] = {}


class RecoveryDesk:
    """Recoveries of all services in one term.

    Parameters
    ----------
    term : Term
        Which orders are part of.
    knowledge : Knowledge
        Upstreams, and owners as they were known before.
    lanes : OrderLanes
        Ways to upstreams.
    """

    def __init__(
        self, term: Term, knowledge: Knowledge, lanes: OrderLanes
    ) -> None:
        self._term = term
        self._knowledge = knowledge
        self._lanes = lanes
        self._services: dict[ServiceName, _ServiceRecovery] = {}
        self._done: set[ServiceName] = set()

    def close(self) -> None:
        """Ask nobody any more."""
        for service in list(self._services):
            self._finish(service)

    def _finish(self, service: ServiceName) -> None:
        for task in self._services.pop(service).tasks.values():
            task.kill(block=False)

    def begin_table(self, service: ServiceName) -> RangeTable | None:
        """Return the table from which the era goes on, without its owners.

        Returns
        -------
        RangeTable or None
            None while somebody may still hold keys of earlier eras.
        """
        known = self._knowledge.find_table(service) or RangeTable()
        if self._term.era == FIRST_ERA:
            return known
        fence = max(known.fence, find_first_fence(self._term.era))
        if service not in self._done:
            if not self._is_over(service, Fence(fence + 1), known):
                return None
            self._done.add(service)
        return RangeTable(fence, known.tenures)

    def _is_over(
        self, service: ServiceName, fence: Fence, known: RangeTable
    ) -> bool:
        now = read_clock()
        state = self._services.get(service)
        if state is None:
            over_at = self._term.inherited_until
            settled_at = self._knowledge.find_settled_at()
            state = _ServiceRecovery(Recovery(settled_at, over_at), fence)
            self._services[service] = state
            tell(
                Event.RECOVERING,
                service=service,
                era=self._term.era,
                most_seconds=f"{max(0.0, over_at - now):.1f}",
            )
        upstreams = self._list_upstreams(service, known, now)
        if state.recovery.is_over(upstreams, now):
            self._note_over(service, state)
            return True
        self._ask(service, state, state.recovery.list_open(upstreams, now))
        return False

    def _note_over(
        self, service: ServiceName, state: _ServiceRecovery
    ) -> None:
        released = state.recovery.list_released()
        for upstream in released:
            self._term.note_release(upstream, ALL_KEYS)
        tell(
            Event.RECOVERED,
            service=service,
            era=self._term.era,
            released=len(released),
        )
        self._finish(service)

    def _list_upstreams(
        self, service: ServiceName, known: RangeTable, now: float
    ) -> set[IncarnationName]:
        """Return who may hold keys of the service.

        Also those that have left while grants of earlier eras may hold,
        unless another has their address: then their process has ended.
        """
        since = now - self._term.longest_hold
        upstreams = set(self._lanes.list_seen(service, since))
        for tenure in known.tenures:
            upstreams.add(tenure.successor or tenure.owner)
            upstreams.add(tenure.owner)
        directory = self._knowledge.directory
        return {
            each
            for each in upstreams
            if not directory.has_successor(
                each, self._lanes.find_address(each)
            )
        }

    def _ask(
        self,
        service: ServiceName,
        state: _ServiceRecovery,
        upstreams: list[IncarnationName],
    ) -> None:
        """Ask all for their keys, once each of them can be reached.

        While one can't, nothing may be granted anyway, and the others go on
        serving under what they were granted before. So they do while the
        store is silent: the table could not be written.
        """
        reached = state.reached.issuperset(upstreams)
        ready = reached and self._term.is_fresh(read_clock())
        for upstream in upstreams:
            task = state.tasks.get(upstream)
            if task is not None and not task.ready():
                continue
            if ready:
                state.tasks[upstream] = gevent.spawn(
                    self._release, state, upstream
                )
            elif upstream not in state.reached:
                state.tasks[upstream] = gevent.spawn(
                    self._reach, state, upstream
                )

    def _reach(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        lane = self._lanes.find(name)
        if lane is not None and lane.reach():
            state.reached.add(name)
            self._knowledge.changes.announce()
            return
        address = self._lanes.find_address(name)
        if address and probe(address, _PROBE_TIMEOUT) is Presence.ENDED:
            # Nobody listens there: its process has ended, and its grants
            # with it.
            state.recovery.note_released(name)
            self._knowledge.changes.announce()
            return
        gevent.sleep(_RETRY_PAUSE)

    def _release(self, state: _ServiceRecovery, name: IncarnationName) -> None:
        lane = self._lanes.find(name)
        if lane is None:
            state.reached.discard(name)
            return
        result = lane.release(
            ALL_KEYS,
            state.fence,
            lambda: self._term.may_order(read_clock()),
        )
        if result.taken in (Taken.DONE, Taken.FOREIGN):
            state.recovery.note_released(name)
            self._knowledge.changes.announce()
            return
        gevent.sleep(_RETRY_PAUSE)
