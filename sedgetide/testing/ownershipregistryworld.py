"""Simulation of range ownership with upstreams that come and go.

Upstreams register in the simulated store. Hosts know them from what they have
read of the store since their start, and leaders recover ownership with this
knowledge after the store was restored.
"""

import collections
from collections.abc import Collection

from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.recovery import Action
from sedgetide.core.ownership.recovery import Basis
from sedgetide.core.ownership.recovery import Decision
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import RecoveredTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Grant
from sedgetide.daemons._recordkeys import RecordKey
from sedgetide.testing.ownershipfaults import Faults
from sedgetide.testing.ownershiphosts import PathState
from sedgetide.testing.ownershiphosts import RegistryHost
from sedgetide.testing.ownershiphosts import WorldHost
from sedgetide.testing.ownershiplinks import Links
from sedgetide.testing.ownershiplinks import make_report
from sedgetide.testing.ownershipregistry import Registry
from sedgetide.testing.ownershipregistry import SERVICE
from sedgetide.testing.ownershipregistry import UpstreamProcess
from sedgetide.testing.ownershipregistryfaults import RegistryFaults
from sedgetide.testing.ownershipworld import OwnershipWorld
from sedgetide.testing.ownershipworld import SLOW_CLOCK
from sedgetide.testing.rangeholder import RangeHolder


class RegistryWorld(OwnershipWorld):
    """Simulation of hosts, registering upstreams and a restored store.

    Parameters
    ----------
    seed : int
        Seed of the random number generator behind all events.
    hosts, upstreams : int
        Number of hosts, and of upstreams at the start.
    durations : Durations
        Timing parameters that single ownership depends on.

    Attributes
    ----------
    delivery_bound : float
        Seconds after the send within which the kernel of a paused or killed
        host delivers an order.
    """

    hosts: list[RegistryHost]

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        upstreams: int = 3,
        durations: Durations | None = None,
    ) -> None:
        super().__init__(seed, hosts, upstreams, durations)
        self.delivery_bound = self.durations.order_timeout
        self.most_upstreams = 2 * upstreams
        self.registry = Registry(self.store)
        self._links = Links(self)
        self._recovered: dict[Era, str] = {}
        self._hosts_by_name = {each.name: each for each in self.hosts}
        self._started = 0
        self._addresses = 0
        for _ in range(upstreams):
            self.start_upstream(self.create_address())

    def _create_faults(self, *_: bool) -> Faults:
        return RegistryFaults(self)

    def _create_host(self, name: str) -> RegistryHost:
        return RegistryHost(name, self.durations)

    # Upstreams

    def create_address(self) -> str:
        """Return an address that no upstream has had."""
        self._addresses += 1
        return f"a-{self._addresses}"

    def start_upstream(self, address: str) -> UpstreamProcess:
        """Start an upstream of a new name at an address."""
        name = UpstreamName(f"u-{self._started}")
        self._started += 1
        return self.registry.start(name, address, self.now)

    def pick_upstream(self) -> str:
        """Return the address to which a fault closes the paths."""
        return self.random.choice(self.registry.list_running()).entry.address

    def _list_holders(self) -> dict[IncarnationName, RangeHolder]:
        running = self.registry.list_running()
        return {each.name: each.holder for each in running}

    def _step_upstreams(self) -> None:
        self.registry.step(self.now)

    # Hosts

    def find_host(self, name: str) -> RegistryHost | None:
        """Return the host of a name."""
        return self._hosts_by_name.get(name)

    def _step(self, host: RegistryHost) -> None:
        super()._step(host)
        self._links.send_periodic(host)

    def _read_record(
        self,
        host: RegistryHost,
        name: RecordKey,
        value: bytes,
        written_at: Position,
    ) -> None:
        if name.is_leader:
            host.note_leader(value.decode(), written_at)
        super()._read_record(host, name, value, written_at)

    def _read_tables(self, host: RegistryHost) -> None:
        super()._read_tables(host)
        host.note_entries(self.registry.list_entries(), self.now)

    def _list_renewed(self, host: WorldHost) -> list[IncarnationName]:
        return sorted({each.owner for each in host.table.tenures})

    def _list_candidates(self, host: RegistryHost) -> list[IncarnationName]:
        return host.list_active()

    def _stand_for_election(self, host: RegistryHost) -> None:
        super()._stand_for_election(host)
        if host.leadership.term != NO_POSITION:
            host.inherit_table()

    def _plan(self, host: RegistryHost) -> None:
        raised = host.inherited.apply_to(host.table)
        if raised is not host.table:
            self._write(host, raised)
            return
        active = host.list_active()
        lost = [
            each
            for each in host.table.tenures
            if not each.moving and each.owner not in active
        ]
        if active and lost and self.random.random() < 0.5:
            moves = [
                Move(each.keys, self.random.choice(active)) for each in lost
            ]
            self._write(host, host.table.begin(moves))
        else:
            super()._plan(host)

    # Recovery

    def _begin_recovery(self, host: RegistryHost) -> None:
        host.recovery = None
        host.terms[host.term.era] = host.term

    def _recover(self, host: RegistryHost) -> bool:
        if host.leadership.era_ended:
            return False
        if host.leadership.term.era == FIRST_ERA:
            self._plan(host)
            return host.owns_table()
        decision = self._decide(host)
        if decision.action is Action.ASK and self._may_ask(host, decision):
            host.recovery.note_asked(self.now)
            self._request_releases(host, decision.pending)
        elif decision.action is Action.GRANT:
            self._write_first_table(host, decision)
        return host.owns_table()

    def _may_ask(self, host: RegistryHost, decision: Decision) -> bool:
        """Return whether upstreams may be asked to release their keys.

        Without a report, not as long as one of them isn't reached.
        """
        if not host.term.is_fresh(self.now):
            return False
        if decision.basis is Basis.REPORT:
            return True
        return all(
            self._find_receiver(host, name) for name in decision.pending
        )

    def _decide(self, host: RegistryHost) -> Decision:
        if host.recovery is None:
            host.recovery = self._create_recovery(host)
        era = host.leadership.term.era
        own = make_report(host, era, self.now)
        if own is not None:
            host.reports.note_report(own)
        return host.recovery.decide(
            self._list_known(host),
            host.reports.find(SERVICE, era),
            not host.records.has_earlier(era),
            self.now,
        )

    def _create_recovery(self, host: RegistryHost) -> Recovery:
        """Return the recovery of a term.

        An earlier leader of the same era may send orders for ``proof_life``
        after the election, and takes a table of its era as its own.
        """
        alone_at = host.term.began_at + self.durations.proof_life
        began_at = min(host.era_since, host.term.began_at)
        expired_at = began_at + self.durations.max_inherited_hold()
        return Recovery(
            max(host.settled_at, alone_at), max(expired_at, alone_at)
        )

    def _list_known(self, host: RegistryHost) -> set[IncarnationName]:
        """Return the upstreams that the host knows and that may hold keys."""
        since = self.now - self.durations.max_inherited_hold()
        known = set(host.list_seen(since))
        for tenure in host.table.tenures:
            known.update({tenure.owner, tenure.successor or tenure.owner})
        return known

    def _request_releases(
        self, host: RegistryHost, names: Collection[IncarnationName]
    ) -> None:
        fence = Fence(find_first_fence(host.leadership.term.era) + 1)
        for name in sorted(names):
            if self.is_proof_of_end(self._find_path(host, name)):
                host.recovery.note_released(name)
            if self.random.random() < 0.4:
                self._release_all(host, name, fence)

    def _release_all(
        self, host: RegistryHost, name: IncarnationName, fence: Fence
    ) -> None:
        if self._send_release(host, name, ALL_KEYS, fence):
            host.recovery.note_released(name)

    def _write_first_table(
        self, host: RegistryHost, decision: Decision
    ) -> None:
        active = host.list_active()
        if not active:
            return
        era = host.leadership.term.era
        report = host.reports.find(SERVICE, era)
        released = host.recovery.list_released()
        host.term.replace_inherited(
            SERVICE,
            {*self._list_known(host), *released},
            report.holds if decision.basis is Basis.REPORT else (),
        )
        for name in released:
            host.term.note_release(name, ALL_KEYS, SERVICE)
        self._count_recovery(era, decision)
        known = RangeTable(find_first_fence(era), host.table.tenures)
        recovered = RecoveredTable(known, decision.pending, decision.retained)
        self._write(host, recovered.restart([(each, 1) for each in active]))

    def _count_recovery(self, era: Era, decision: Decision) -> None:
        """Count a recovery once in each era, as it was last decided."""
        kind = decision.basis.value
        if decision.retained:
            kind += " with retained ranges"
        elif decision.basis is Basis.REPORT and decision.pending:
            kind += " without some answers"
        self._recovered[era] = kind

    def count_recoveries(self) -> collections.Counter[str]:
        """Return the number of recoveries by what they were based on."""
        return collections.Counter(self._recovered.values())

    # Orders

    def _find_receiver(
        self, host: RegistryHost, name: IncarnationName
    ) -> UpstreamProcess | None:
        """Return the process that an order to an upstream would reach."""
        entry = host.find_entry(name)
        if entry is None:
            return None
        if self._find_path(host, name) is not PathState.OPEN:
            return None
        return self.registry.find_at(entry.address)

    def _find_path(
        self, host: RegistryHost, name: IncarnationName
    ) -> PathState:
        """Return what a host meets on the path to an upstream."""
        entry = host.find_entry(name)
        if entry is None:
            return PathState.SILENT
        state = host.paths.find_state(entry.address, self.now)
        ended = self.registry.find_at(entry.address) is None
        if state is PathState.OPEN and ended:
            return PathState.REFUSED
        return state

    def is_hold_over(self, host: RegistryHost, tenure: Tenure) -> bool:
        """Return whether the owner of a moving range has stopped."""
        since = host.observations.find_known_since(tenure)
        return host.term.has_ended(
            tenure.owner, tenure.keys, since, self.now, SERVICE
        )

    def _release(self, host: RegistryHost, tenure: Tenure) -> None:
        if not self._send_release(
            host, tenure.owner, tenure.keys, tenure.fence
        ):
            return
        if tenure.owner == tenure.successor:
            # A grant of the same fence that is under way is accepted later.
            self._complete(host, tenure)
            return
        host.term.note_release(tenure.owner, tenure.keys, SERVICE)

    def _send_release(
        self,
        host: RegistryHost,
        name: IncarnationName,
        keys: KeyRange,
        fence: Fence,
    ) -> bool:
        """Release keys; return whether an answer shows that they are free.

        An answer of another process at the address shows it too.
        """
        process = self._find_receiver(host, name)
        if process is None:
            return False
        if not _is_addressee(process, host.find_entry(name)):
            return self.random.random() < 0.9
        if self.random.random() < 0.15:
            self.delay(
                self.random.uniform(0.5, 9.0),
                lambda: process.holder.release(keys, fence),
            )
            return False
        process.holder.release(keys, fence)
        return self.random.random() < 0.9

    def _grant(
        self, host: RegistryHost, name: IncarnationName, tenure: Tenure
    ) -> None:
        process = self._find_receiver(host, name)
        if process is None or not _is_addressee(
            process, host.find_entry(name)
        ):
            return
        fence = host.inherited.find_fence(name, tenure.fence)
        # A process that has replaced the one of the grant knows no fences.
        session = host.sessions.setdefault((name, fence), process)
        if session is not process:
            return
        grant = host.term.prepare_grant(name, tenure.keys, self.now, SERVICE)
        if grant is None:
            return
        self._send_grant(host, process, fence, grant)

    def _send_grant(
        self,
        host: RegistryHost,
        process: UpstreamProcess,
        fence: Fence,
        grant: Grant,
    ) -> None:
        """Send a grant on a connection to a process.

        A host that runs withdraws it after ``order_timeout``; the kernel of a
        paused or killed one delivers it later.
        """
        term = host.term
        starts = host.starts
        delay = self._choose_order_delay(host)
        withdrawn = False

        def is_running() -> bool:
            return host.starts == starts and self.now >= host.paused_until

        def withdraw() -> None:
            nonlocal withdrawn
            withdrawn = is_running()

        def deliver() -> None:
            if withdrawn or not self.registry.is_running(process):
                return
            self._apply_grant(process, fence, grant)
            if is_running():
                term.note_arrival(grant, self.now)

        if delay > self.durations.order_timeout:
            self.delay(self.durations.order_timeout, withdraw)
        self.delay(delay, deliver)

    def _choose_order_delay(self, host: RegistryHost) -> float:
        """Return by how much an order is late; its sender may be lost."""
        if self.now < host.lost_after_order_at:
            return self.random.choice(
                (0.0, 0.0, 0.0, 0.3, self.delivery_bound)
            )
        self.delay(0.0, lambda: self._faults.lose_after_order(host))
        return self.delivery_bound

    def _apply_grant(
        self, process: UpstreamProcess, fence: Fence, grant: Grant
    ) -> None:
        arrived_at = self.now

        def apply_grant() -> None:
            process.holder.grant(
                grant.hold.keys, fence, grant.life * SLOW_CLOCK, arrived_at
            )

        if self.random.random() < 0.15:
            self.delay(self.random.uniform(0.5, 9.0), apply_grant)
        else:
            apply_grant()


def _is_addressee(
    process: UpstreamProcess, entry: RegisteredUpstream | None
) -> bool:
    """Return whether a process has the name that an order is sent to."""
    if entry is None:
        return False
    return process.entry.registered_name == entry.registered_name
