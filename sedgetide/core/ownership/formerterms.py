"""What a host knows of leaders of earlier eras of the store.

The leader of a new era relies on the report of the former leader about the
keys that upstreams may hold. A leader of the former era that was elected after
the one that reports may have granted keys to others, so the report is used
only if no later one is known. Hosts that have started since know of none, so
that another host has to confirm that the reporting leader was the last one,
unless there was no time to elect a later one.
"""

from collections.abc import Mapping

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.holds import ReportedHolds

_NO_HOST = LinkAddress("")


class RecordHistory:
    """Eras of which records are known, and the last leader of each."""

    def __init__(self) -> None:
        self._leaders: dict[Era, Position] = {}
        self._read_leaders: dict[Era, Position] = {}
        self._eras: set[Era] = set()
        self._later_eras: set[Era] = set()

    def note_leader(self, position: Position) -> None:
        """Record the position of a leader's record, or of its removal.

        The record of a later leader may have been removed before this host
        read it, so a removal counts as the election of one.
        """
        if position == NO_POSITION:
            return
        self.note_era(position.era)
        known = self._leaders.get(position.era, NO_POSITION)
        self._leaders[position.era] = max(known, position)

    def note_read_leader(self, position: Position) -> None:
        """Record a leader's record, or its removal, read in its own era."""
        self.note_leader(position)
        known = self._read_leaders.get(position.era, NO_POSITION)
        self._read_leaders[position.era] = max(known, position)

    def note_era(self, era: Era) -> None:
        """Record that a leader of an era has written a record."""
        self._eras.add(era)

    def note_later_era(self, era: Era) -> None:
        """Record that this host has seen an era begin after another one.

        Leaders may have granted keys before, although the backup is older
        than the first record.
        """
        self._later_eras.add(era)

    def find_last_leader(self, era: Era) -> Position:
        """Return the position of the last known leader of an era.

        Returns
        -------
        Position
            ``NO_POSITION`` if none is known.
        """
        return self._leaders.get(era, NO_POSITION)

    def find_former_leader(self, era: Era) -> Position:
        """Return the position of the last known leader before an era."""
        return _find_last(self._leaders, era)

    def find_read_leader(self, era: Era) -> Position:
        """Return the last leader before an era that was read in its era."""
        return _find_last(self._read_leaders, era)

    def has_earlier(self, era: Era) -> bool:
        """Return whether there may have been a leader in an earlier era."""
        recorded = any(each < era for each in self._eras)
        return recorded or any(each <= era for each in self._later_eras)


def _find_last(leaders: Mapping[Era, Position], era: Era) -> Position:
    """Return the last position of the eras before an era."""
    former = [position for known, position in leaders.items() if known < era]
    return max(former, default=NO_POSITION)


class TermReport(msgspec.Struct, frozen=True):
    """Report of a former leader about its last term.

    Parameters
    ----------
    term : Position
        Position of its leader's record.
    known_leader : Position
        Position of the last leader of that era that it knows.
    services : mapping
        What upstreams may hold, for each service whose table it had read.
    sender : LinkAddress
        Host that reports.
    proved : float
        Seconds from its last read of its record until it heard of the next
        era.
    """

    term: Position
    known_leader: Position
    services: Mapping[ServiceName, ReportedHolds]
    sender: LinkAddress = _NO_HOST
    proved: float = float("inf")


class TermReports:
    """Reports of former leaders, of which the one of the last term counts.

    Parameters
    ----------
    history : RecordHistory
        Leaders that this host knows.
    own_link : LinkAddress
        Link address of this host.
    lease : float
        Seconds after a leader's read of its record in which no other leader
        can be elected.
    """

    def __init__(
        self,
        history: RecordHistory,
        own_link: LinkAddress = _NO_HOST,
        lease: float = 0.0,
    ) -> None:
        self._history = history
        self._own_link = own_link
        self._lease = lease
        self._report: TermReport | None = None
        self._confirmed = NO_POSITION
        self._confirmed_by: set[LinkAddress] = set()

    def note_confirmation(self, host: LinkAddress, leader: Position) -> None:
        """Record the last leader that another host has read in its era."""
        if leader == NO_POSITION or leader < self._confirmed:
            return
        if leader > self._confirmed:
            self._confirmed_by.clear()
        self._confirmed = leader
        self._confirmed_by.add(host)

    def note_report(self, report: TermReport) -> None:
        """Record a report; services of the same term are added to it.

        Repeated reports state the holds anew, none with an earlier end than
        it has.
        """
        self._history.note_leader(report.term)
        self._history.note_leader(report.known_leader)
        known = self._report
        if known is not None and report.term < known.term:
            return
        if known is not None and report.term == known.term:
            services = {**known.services, **report.services}
            report = msgspec.structs.replace(report, services=services)
        self._report = report

    def find_refusal(self, report: TermReport, era: Era) -> str:
        """Return why a report can't be used in an era; empty if it can."""
        if report.term.era + 1 != era:
            return f"of era {report.term.era}, expected era {era - 1}"
        last = self._history.find_last_leader(report.term.era)
        if last > report.term:
            return f"a later leader is known, of term {last}"
        if not self._is_last(report):
            return "no other host has seen that its leader was the last one"
        return ""

    def _is_last(self, report: TermReport) -> bool:
        """Return whether no leader was elected after the reporting one.

        The reporting host itself may have been cut off from the store when
        a later one was elected.
        """
        if report.proved < self._lease:
            return True
        hosts = set(self._confirmed_by)
        if self._confirmed != report.term:
            hosts.clear()
        if self._history.find_read_leader(report.term.era + 1) == report.term:
            hosts.add(self._own_link)
        return bool(hosts - {report.sender})

    def find(self, service: ServiceName, era: Era) -> ReportedHolds | None:
        """Return what upstreams may hold at the beginning of an era.

        Returns
        -------
        ReportedHolds or None
            None if there is no report about the service that can be used.
        """
        report = self._report
        if report is None or self.find_refusal(report, era):
            return None
        return report.services.get(service)
