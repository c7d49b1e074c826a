"""Reports about held keys between leaders of two eras of the store.

After the store was restored from a backup, only the leader of the former era
knows which keys upstreams may still hold. It reports them to the new leader.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from sedgetide.coding.messages import HeldKeys
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import ServiceHolds
from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.formerterms import TermReport
from sedgetide.core.ownership.formerterms import TermReports
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

# Seconds; also the interval of load reports.
_INTERVAL = 0.4
# A receiver closes the link on which a message of more than 1.25 MB arrives.
_MAX_BYTES = 1_000_000
# Largest encoding of a hold without the name of its upstream.
_HOLD_BYTES = 18
_MAX_LOGGED = 64


class _ReportLog:
    """Logs each report once, although it is repeated."""

    def __init__(self) -> None:
        self._logged: set[tuple[object, ...]] = set()

    def _is_new(self, *key: object) -> bool:
        if key in self._logged:
            return False
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.clear()
        self._logged.add(key)
        return True

    def log_report(
        self, message: HoldsReport, sender: LinkAddress, receiver: LinkAddress
    ) -> None:
        """Log a report that is sent or accepted."""
        services = ",".join(sorted(message.services))
        if not self._is_new(message.term, sender, receiver, services):
            return
        reported = message.services.values()
        inherited = max((each.inherited for each in reported), default=0.0)
        log_event(
            Event.HOLDS_REPORTED,
            term=message.term,
            sender=sender,
            receiver=receiver,
            services=services,
            holds=sum(len(each.holds) for each in reported),
            inherited=f"{inherited:.1f}",
        )

    def log_refusal(
        self, term: Position, sender: LinkAddress, problem: str
    ) -> None:
        """Log that a report is not used."""
        if self._is_new(term, sender, problem):
            log_event(
                Event.HOLDS_REFUSED, term=term, sender=sender, problem=problem
            )


class HoldsReceiver:
    """Takes the reports of former leaders.

    Parameters
    ----------
    deployment : DeploymentState
        Leaders that this host knows.
    own_link : LinkAddress
        Link address of this host.
    lease : float
        Seconds for which a leader's record stands after it was read.

    Attributes
    ----------
    reports : TermReports
        The reports, and which of them counts.
    """

    def __init__(
        self, deployment: DeploymentState, own_link: LinkAddress, lease: float
    ) -> None:
        self._deployment = deployment
        self._own_link = own_link
        self._log = _ReportLog()
        self.reports = TermReports(deployment.records, own_link, lease)

    def note_confirmation(self, host: LinkAddress, leader: Position) -> None:
        """Record the last former leader that another host has read."""
        self.reports.note_confirmation(host, leader)

    def handle_report(
        self, message: HoldsReport, sender: LinkAddress, now: float
    ) -> None:
        """Take a report.

        The remaining times count from its receipt, which is later than the
        send, so that no hold is taken for ended too early.
        """
        services = {
            service: _read_holds(each, now)
            for service, each in message.services.items()
        }
        report = TermReport(
            message.term,
            message.known_leader,
            services,
            sender,
            message.proved,
        )
        self.reports.note_report(report)
        era = self._deployment.era
        # A report may arrive before this host hears of the new era.
        problem = (
            self.reports.find_refusal(report, era)
            if report.term.era < era
            else ""
        )
        if problem:
            self._log.log_refusal(report.term, sender, problem)
        else:
            self._log.log_report(message, sender, self._own_link)
        self._deployment.changes.notify_all()


def _read_holds(reported: ServiceHolds, now: float) -> ReportedHolds:
    inherited_until = float("-inf")
    if reported.inherited > 0:
        inherited_until = now + reported.inherited
    holds = tuple(
        UpstreamHold(
            each.upstream, KeyRange(each.low, each.high), now + each.seconds
        )
        for each in reported.holds
    )
    return ReportedHolds(inherited_until, holds)


class HoldsReporter:
    """Reports the holds of this host's last term to the next era's leader.

    The report is repeated until the new leader has written the table of
    each service, or until all grants of the term have expired.

    Parameters
    ----------
    deployment : DeploymentState
        Current leader, and the tables of owners.
    send : callable
        Sends a message to a host.
    own_link : LinkAddress
        Link address of this host.
    receiver : HoldsReceiver
        Takes the report if this host leads again itself.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        send: Callable[[LinkAddress, Message], None],
        own_link: LinkAddress,
        receiver: HoldsReceiver,
    ) -> None:
        self._deployment = deployment
        self._send = send
        self._own_link = own_link
        self._receiver = receiver
        self._log = _ReportLog()
        # The last term, and the last one of an earlier era.
        self._terms: list[Term] = []
        self._held: dict[tuple[Era, ServiceName], list[UpstreamHold]] = {}
        self._sent_at = float("-inf")
        self._sent_to = NO_POSITION

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the task."""
        spawn_vital(self._loop, stack)

    def _loop(self) -> None:
        while True:
            self._deployment.changes.wait(_INTERVAL)
            self.run_periodic(read_clock())

    def note_term(self, term: Term) -> None:
        """Keep a term of this host from its begin on.

        An earlier term of the same era isn't needed any more, since its
        grants count as inherited ones of the later term.
        """
        # This host may not have read its own record yet.
        self._deployment.records.note_leader(term.position)
        former = [each for each in self._terms if each.era < term.era]
        self._terms = [*former[-1:], term]
        self._held.clear()

    def run_periodic(self, now: float) -> None:
        """Report if the leader of the next era is known and it is due."""
        leader = self._deployment.leader
        term = self._find_term(self._deployment.era)
        if leader is None or term is None or not term.is_over(now):
            return
        if leader.position.era != self._deployment.era:
            return
        if now >= self._deployment.era_began_at + term.longest_hold:
            return
        repeated = leader.position == self._sent_to
        if repeated and now - self._sent_at < _INTERVAL:
            return
        self._sent_at = now
        self._sent_to = leader.position
        for report in self._make_reports(term, now):
            self._deliver(report, leader.record.link, now)

    def _find_term(self, era: Era) -> Term | None:
        """Return the last term of this host in the era before, or None."""
        for term in self._terms:
            if term.era + 1 == era:
                return term
        return None

    def _deliver(
        self, report: HoldsReport, link: LinkAddress, now: float
    ) -> None:
        if link == self._own_link:
            self._receiver.handle_report(report, link, now)
            return
        self._log.log_report(report, self._own_link, link)
        self._send(link, report)

    def _make_reports(self, term: Term, now: float) -> Iterator[HoldsReport]:
        """Return one report for each service without a table of the era."""
        last = self._deployment.records.find_last_leader(term.era)
        proved = term.find_proof_age(self._deployment.era_began_at)
        for service in self._list_services(term):
            holds = [
                HeldKeys(
                    each.upstream,
                    each.keys.low,
                    each.keys.high,
                    each.until - now,
                )
                for each in self._list_held(term, service, now)
            ]
            size = sum(len(each.upstream) + _HOLD_BYTES for each in holds)
            if size > _MAX_BYTES:
                problem = f"{size} bytes, expected up to {_MAX_BYTES}"
                self._log.log_refusal(term.position, self._own_link, problem)
                continue
            inherited = max(0.0, term.find_inherited_end(service) - now)
            yield HoldsReport(
                term.position,
                max(last, term.position),
                {service: ServiceHolds(inherited, holds)},
                proved,
            )

    def _list_services(self, term: Term) -> list[ServiceName]:
        """Return the services whose last table is of the term's era.

        Without a table of its era the leader has granted no keys, and knows
        nothing of grants in earlier eras.
        """
        return [
            service
            for service, known in self._deployment.tables.items()
            if known.position.era == term.era
        ]

    def _list_held(
        self, term: Term, service: ServiceName, now: float
    ) -> list[UpstreamHold]:
        """Return what a service's upstreams may hold."""
        known = self._held.get((term.era, service))
        if known is None:
            known = term.list_held(now, service)
            self._held[term.era, service] = known
        return [each for each in known if each.until > now]
