"""What a host knows of leaders of earlier eras of the store.

The leader of a new era relies on the report of the former leader about the
keys that upstreams may hold. A leader of the former era that was elected after
the one that reports may have granted keys to others, so the report is used
only if no later one is known.
"""

from collections.abc import Mapping

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.holds import ReportedHolds


class RecordHistory:
    """Eras of which records are known, and the last leader of each."""

    def __init__(self) -> None:
        self._leaders: dict[Era, Position] = {}
        self._eras: set[Era] = set()

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

    def note_era(self, era: Era) -> None:
        """Record that a leader of an era has written a record."""
        self._eras.add(era)

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
        former = [
            position
            for known, position in self._leaders.items()
            if known < era
        ]
        return max(former, default=NO_POSITION)

    def has_earlier(self, era: Era) -> bool:
        """Return whether a record of an earlier era is known."""
        return any(each < era for each in self._eras)


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
    """

    term: Position
    known_leader: Position
    services: Mapping[ServiceName, ReportedHolds]


class TermReports:
    """Reports of former leaders, of which the one of the last term counts.

    Parameters
    ----------
    history : RecordHistory
        Leaders that this host knows.
    """

    def __init__(self, history: RecordHistory) -> None:
        self._history = history
        self._report: TermReport | None = None

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
        return ""

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
