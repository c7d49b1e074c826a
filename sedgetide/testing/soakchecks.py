"""Checks of a soak, based on what callers and upstreams recorded."""

import collections

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.testing.soakcallers import DEADLY_ID_PREFIX
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakholdings import find_holding_violations
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_CHECKED_TIME = 3.0
_NOT_RUN = frozenset({408, 421, 429, 503})
_MIN_SERVED_SHARE = 0.8
# Lost upstreams before a deadly request is recognized, seconds until all
# hosts know it, and sends that are allowed after that.
_LOSSES_UNTIL_KNOWN = 3
_KNOWN_WITHIN = 3.0
_ALLOWED_SENDS = 3


# Seconds; only the answer to a quarantined request has a longer Retry-After.
_MAX_RETRY_AFTER = 10.0


class SoakChecks:
    """Checks the guarantees of a soak and collects the violations.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose hosts are probed by :meth:`check_configuration`.
    recovery_time : float
        Seconds between the end of the last fault and the end of the soak.
    """

    def __init__(self, fleet: Fleet, recovery_time: float) -> None:
        self._fleet = fleet
        self._recovery_time = recovery_time
        self.problems: list[str] = []

    def check_runs(
        self, records: list[RequestRecord], events: list[Event]
    ) -> None:
        """Check that requests ran as sent.

        Violations are runs of unknown requests, second runs of unsafe
        requests, and runs of unsafe requests that were refused.
        """
        runs = collections.Counter(
            event.request for event in events if event.kind == "begin"
        )
        known = {record.number: record for record in records}
        for number, count in runs.items():
            record = known.get(number)
            if record is None:
                self.problems.append(f"{number} ran and no caller sent it")
            elif record.unsafe and count > 1:
                self.problems.append(f"{number} ran {count} times")
            elif record.unsafe and record.status in _NOT_RUN:
                self.problems.append(f"{number} was refused and ran")

    def check_deadly(self, events: list[Event]) -> None:
        """Check that a deadly request is soon no longer sent to upstreams."""
        runs = [
            event.at
            for event in events
            if event.kind == "begin"
            and event.request.startswith(DEADLY_ID_PREFIX)
        ]
        if len(runs) <= _LOSSES_UNTIL_KNOWN:
            return
        known = runs[_LOSSES_UNTIL_KNOWN - 1] + _KNOWN_WITHIN
        late = [round(at - runs[0], 1) for at in runs if at > known]
        if len(late) > _ALLOWED_SENDS:
            self.problems.append(
                f"a deadly request was still sent at seconds {late}"
            )

    def check_quarantined(self, records: list[RequestRecord]) -> None:
        """Check that no harmless request was quarantined."""
        quarantined = [
            record
            for record in records
            if record.retry_after > _MAX_RETRY_AFTER
        ]
        if quarantined:
            self.problems.append(
                f"{len(quarantined)} harmless requests were quarantined, the "
                f"first is {quarantined[0].number}"
            )

    def check_answers(self, records: list[RequestRecord]) -> None:
        """Check that answers are complete, match, and are not status 404."""
        for record in records:
            if not record.whole:
                self.problems.append(
                    f"{record.number} got a truncated or mismatched answer"
                )
            if record.status == 404:
                self.problems.append(f"{record.number} got status 404")

    def check_owners(self, events: list[Event]) -> None:
        """Check that one upstream at a time runs a key, at rising fences."""
        fences: dict[int, tuple[int, str]] = {}
        running: dict[int, collections.Counter[str]] = {}
        for event in events:
            if event.key < 0:
                continue
            at_work = running.setdefault(event.key, collections.Counter())
            if event.kind == "end":
                at_work[event.upstream] -= 1
                continue
            others = [
                name
                for name, count in at_work.items()
                if count > 0 and name != event.upstream
            ]
            alive = [
                name for name in others if self._has_finished(events, name)
            ]
            if alive:
                self.problems.append(
                    f"key {event.key}: {event} while {alive} run it"
                )
            at_work[event.upstream] += 1
            fence, owner = fences.get(event.key, (0, event.upstream))
            if event.fence < fence or (
                event.fence == fence and owner != event.upstream
            ):
                self.problems.append(
                    f"key {event.key}: {event} after fence {fence}"
                )
            fences[event.key] = (event.fence, event.upstream)

    def check_holdings(self, events: list[Event], ended: float) -> None:
        """Check that one upstream at a time holds a key.

        Unlike :meth:`check_owners` this sees two holders without requests.
        """
        heals = self._fleet.list_heals()
        self.problems += find_holding_violations(events, heals, ended)

    def _has_finished(self, events: list[Event], name: str) -> bool:
        """Return whether all runs of an upstream ended: it was not killed."""
        counts = collections.Counter(
            event.kind for event in events if event.upstream == name
        )
        return counts["begin"] == counts["end"]

    def check_recovery(
        self, records: list[RequestRecord], ended: float
    ) -> None:
        """Check that callers are served again after the last fault."""
        last = [
            record
            for record in records
            if ended - _CHECKED_TIME - DEADLINE < record.at < ended - DEADLINE
        ]
        served = sum(1 for record in last if record.status == 200)
        if not last or served < _MIN_SERVED_SHARE * len(last):
            statuses = collections.Counter(record.status for record in last)
            self.problems.append(
                f"{served} of {len(last)} served {self._recovery_time:g} s "
                f"after the last fault: {dict(statuses)}"
            )

    def check_configuration(self, extra_routes: list[str]) -> None:
        """Check that each host serves the route that was added last."""
        if not extra_routes:
            return
        for host in self._fleet.hosts:
            headers = [("Host", HOST), (_names.REQUEST_ID, "probe")]
            request = Request("GET", f"/{extra_routes[-1]}/x", headers, b"")
            connection = Connection(host.front.address, 1 << 20)
            try:
                connection.open(1.0)
                answer = connection.exchange(request, 2.0)
            except UpstreamError as error:
                self.problems.append(f"{host.name}: {error}")
                continue
            finally:
                connection.close()
            if answer.status != 200:
                self.problems.append(
                    f"{host.name} answers status {answer.status} on the last "
                    "route"
                )
