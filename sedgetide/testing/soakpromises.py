"""What a soak checks, from what callers and upstreams saw."""

import collections

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.soakcallers import Ask
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.testing.soakcallers import DEADLY_NAMES
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import HOST
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_JUDGED_TIME = 3.0
_NOT_RUN = frozenset({408, 421, 429, 503})
_LEAST_SERVED = 0.8
# Losses that it may take to know a deadly request, seconds within which all
# hosts then know it, and sends that are borne after them.
_LOSSES = 3
_KNOWN_WITHIN = 3.0
_BORNE = 3


# Seconds; only a request that is held is told to come again later.
_LONGEST_RETURN = 10.0


class Promises:
    """Checks the promises, and keeps what was broken.

    Parameters
    ----------
    fleet : Fleet
        Whose hosts are asked in the end.
    calm : float
        Seconds between the end of the last fault and the end of the soak.
    """

    def __init__(self, fleet: Fleet, calm: float) -> None:
        self._fleet = fleet
        self._calm = calm
        self.problems: list[str] = []

    def check_runs(self, asked: list[Ask], events: list[Event]) -> None:
        """Look for runs that nobody asked for, doubled or denied."""
        runs = collections.Counter(
            event.request for event in events if event.kind == "begin"
        )
        known = {ask.number: ask for ask in asked}
        for number, count in runs.items():
            ask = known.get(number)
            if ask is None:
                self.problems.append(f"{number} ran, and nobody asked")
            elif ask.unsafe and count > 1:
                self.problems.append(f"{number} ran {count} times")
            elif ask.unsafe and ask.status in _NOT_RUN:
                self.problems.append(f"{number} was refused and ran")

    def check_deadly(self, events: list[Event]) -> None:
        """Look for a request that goes on being sent to crash upstreams."""
        runs = [
            event.at
            for event in events
            if event.kind == "begin" and event.request.startswith(DEADLY_NAMES)
        ]
        if len(runs) <= _LOSSES:
            return
        known = runs[_LOSSES - 1] + _KNOWN_WITHIN
        late = [round(at - runs[0], 1) for at in runs if at > known]
        if len(late) > _BORNE:
            self.problems.append(f"a deadly request went on: {late}")

    def check_held(self, asked: list[Ask]) -> None:
        """Look for innocent requests that are refused for what others did."""
        held = [ask for ask in asked if ask.retry_after > _LONGEST_RETURN]
        if held:
            self.problems.append(
                f"{len(held)} innocent requests were held, the first is "
                f"{held[0].number}"
            )

    def check_answers(self, asked: list[Ask]) -> None:
        """Look for answers that are another's, cut, or deny a route."""
        for ask in asked:
            if not ask.whole:
                self.problems.append(f"{ask.number} got a foreign answer")
            if ask.status == 404:
                self.problems.append(f"{ask.number} was denied its route")

    def check_owners(self, events: list[Event]) -> None:
        """Look for two upstreams at work on one key, and fences that fall."""
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
            alive = [name for name in others if self._ends(events, name)]
            if alive:
                self.problems.append(f"key {event.key}: {event} and {alive}")
            at_work[event.upstream] += 1
            fence, owner = fences.get(event.key, (0, event.upstream))
            if event.fence < fence or (
                event.fence == fence and owner != event.upstream
            ):
                self.problems.append(f"key {event.key}: {event}, {fence}")
            fences[event.key] = (event.fence, event.upstream)

    def _ends(self, events: list[Event], name: str) -> bool:
        """Tell whether an upstream was not killed: its last run has ended."""
        counts = collections.Counter(
            event.kind for event in events if event.upstream == name
        )
        return counts["begin"] == counts["end"]

    def check_recovery(self, asked: list[Ask], ended: float) -> None:
        """Look for callers that are not served long after the faults."""
        last = [
            ask
            for ask in asked
            if ended - _JUDGED_TIME - DEADLINE < ask.at < ended - DEADLINE
        ]
        served = sum(1 for ask in last if ask.status == 200)
        if not last or served < _LEAST_SERVED * len(last):
            statuses = collections.Counter(ask.status for ask in last)
            self.problems.append(
                f"{served} of {len(last)} served {self._calm:g} s after calm: "
                f"{dict(statuses)}"
            )

    def check_configuration(self, extra: list[str]) -> None:
        """Ask each host for the route that was added last."""
        if not extra:
            return
        for host in self._fleet.hosts:
            headers = [("Host", HOST), (_names.REQUEST_ID, "probe")]
            request = Request("GET", f"/{extra[-1]}/x", headers, b"")
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
                    f"{host.name} answers {answer.status} on the last route"
                )
