"""Messages between the hosts of the ownership simulation.

Each message may be lost, or arrive late. Hosts tell the leader which former
leader they know, and former leaders report what upstreams may hold.
"""

from typing import TYPE_CHECKING

from sedgetide.core.history import Era
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.ownership.formerterms import TermReport
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.terms import Term
from sedgetide.testing.ownershiphosts import RegistryHost
from sedgetide.testing.ownershipregistry import SERVICE

if TYPE_CHECKING:
    from sedgetide.testing.ownershipregistryworld import RegistryWorld

_INTERVAL = 0.5
_DELAYS = (0.0, 0.0, 0.1, 0.5, 2.0)
_LOSS = 0.2


class Links:
    """Links between all hosts.

    Parameters
    ----------
    world : RegistryWorld
        Simulation with the hosts.
    """

    def __init__(self, world: "RegistryWorld") -> None:
        self._world = world

    def send_periodic(self, host: RegistryHost) -> None:
        """Send what is due from a host."""
        now = self._world.now
        if now < host.send_at:
            return
        host.send_at = now + _INTERVAL
        if host.leadership.may_order(now):
            return
        leader = self._world.find_host(host.leader_name)
        if leader is None or leader is host:
            return
        self._send_former_leader(host, leader)
        self._send_report(host, leader)

    def _is_lost(self, sender: RegistryHost, receiver: RegistryHost) -> bool:
        now = self._world.now
        if now < max(sender.links_cut_until, receiver.links_cut_until):
            return True
        return self._world.random.random() < _LOSS

    def _send_former_leader(
        self, sender: RegistryHost, receiver: RegistryHost
    ) -> None:
        if self._is_lost(sender, receiver):
            return
        former = sender.records.find_former_leader(sender.era)
        read = sender.records.find_read_leader(sender.era)
        name = LinkAddress(sender.name)

        def deliver() -> None:
            receiver.records.note_leader(former)
            receiver.reports.note_confirmation(name, read)

        self._world.delay(self._world.random.choice(_DELAYS), deliver)

    def _send_report(
        self, sender: RegistryHost, receiver: RegistryHost
    ) -> None:
        report = make_report(sender, sender.era, self._world.now)
        if report is None or self._is_lost(sender, receiver):
            return
        sent_at = self._world.now
        self._world.delay(
            self._world.random.choice(_DELAYS),
            lambda: self._deliver_report(receiver, report, sent_at),
        )

    def _deliver_report(
        self, receiver: RegistryHost, report: TermReport, sent_at: float
    ) -> None:
        """Deliver a report, to a paused host at the end of its pause."""
        now = self._world.now
        if now < receiver.paused_until:
            self._world.delay(
                receiver.paused_until - now,
                lambda: self._deliver_report(receiver, report, sent_at),
            )
            return
        receiver.reports.note_report(_count_from(report, now - sent_at))


def make_report(host: RegistryHost, era: Era, now: float) -> TermReport | None:
    """Return the report of a host's last term before an era, if it has one."""
    term = host.terms.get(Era(era - 1))
    if term is None or not term.is_over(now):
        return None
    services = {}
    if term.era in host.table_eras:
        services[SERVICE] = _list_holds(term, now)
    last = host.records.find_last_leader(term.era)
    return TermReport(
        term.position,
        last,
        services,
        LinkAddress(host.name),
        term.find_proof_age(host.era_since),
    )


def _list_holds(term: Term, now: float) -> ReportedHolds:
    inherited = term.find_inherited_end(SERVICE)
    return ReportedHolds(inherited, tuple(term.list_held(now, SERVICE)))


def _count_from(report: TermReport, delay: float) -> TermReport:
    """Return a report whose times count from its receipt."""
    return TermReport(
        report.term,
        report.known_leader,
        {
            service: ReportedHolds(
                held.inherited_until + delay,
                tuple(
                    UpstreamHold(each.upstream, each.keys, each.until + delay)
                    for each in held.holds
                ),
            )
            for service, held in report.services.items()
        },
        report.sender,
        report.proved,
    )
