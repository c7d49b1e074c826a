"""Load of the own requests, told to the leader."""

import contextlib
from typing import Protocol

import gevent

from sedgetide.coding.messages import LoadReport
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.load import KeyWork
from sedgetide.core.ownership.load import UpstreamWork
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.runtime.tasks import spawn_vital

_INTERVAL = 0.4
_MOST_KEYS = 400
_FIRST_GUESS = 0.2
_GAIN = 0.05


class _Seen:
    def __init__(self) -> None:
        self.answers = 0
        self.slowness = 0.0
        self.failures = 0


class LoadMeter:
    """Counts work by key and how upstreams do, between two reports.

    The work that a request asks for is what requests of its route usually
    take at an upstream where nobody waits; the time that it takes itself
    says more of the upstream.
    """

    def __init__(self) -> None:
        self._keys: dict[tuple[ServiceName, Key], float] = {}
        self._upstreams: dict[IncarnationName, _Seen] = {}
        self._usual: dict[RouteName, float] = {}

    def note_request(
        self, route: RouteName, service: ServiceName, key: Key
    ) -> None:
        """Count a request about a key."""
        work = self._usual.get(route, _FIRST_GUESS)
        place = (service, key)
        self._keys[place] = self._keys.get(place, 0.0) + work

    def note_answer(
        self,
        route: RouteName,
        upstream: IncarnationName,
        seconds: float,
        load: UpstreamLoad | None,
    ) -> None:
        """Take in the time of an answer."""
        usual = self._usual.get(route, _FIRST_GUESS)
        seen = self._upstreams.setdefault(upstream, _Seen())
        seen.answers += 1
        if load is not None and load.waiting > 0:
            # A slow upstream is the first to be full, and stays so: left
            # out, its answers never show that it is slow, and it is given
            # as many keys as the others.
            in_queue = load.waiting / max(1, load.slots)
            seen.slowness += seconds / (1.0 + in_queue) / usual
            return
        seen.slowness += seconds / usual
        bounded = min(seconds, 4 * usual)
        self._usual[route] = usual + _GAIN * (bounded - usual)

    def note_failure(self, upstream: IncarnationName) -> None:
        """Count a request without a usable answer."""
        self._upstreams.setdefault(upstream, _Seen()).failures += 1

    def take_report(self, position: Position) -> LoadReport:
        """Return what was counted, and begin anew.

        Parameters
        ----------
        position : Position
            Up to which the store's items are known.
        """
        keys = [
            KeyWork(service, key, round(seconds, 4))
            for (service, key), seconds in self._keys.items()
        ]
        keys.sort(key=lambda each: -each.seconds)
        upstreams = [
            UpstreamWork(
                name, seen.answers, round(seen.slowness, 3), seen.failures
            )
            for name, seen in self._upstreams.items()
        ]
        self._keys.clear()
        self._upstreams.clear()
        return LoadReport(keys[:_MOST_KEYS], upstreams, position)


class ReportReceiver(Protocol):
    """Who gets the reports."""

    def find_leader_link(self) -> LinkAddress | None:
        """Return where the leader takes reports; None when unknown."""

    def find_position(self) -> Position:
        """Return up to which the store's items are known."""

    def send_report(self, link: LinkAddress, report: LoadReport) -> None:
        """Hand a report over."""


class LoadReporter:
    """Sends what was counted at short intervals.

    Parameters
    ----------
    meter : LoadMeter
        What counts.
    receiver : ReportReceiver
        Who gets it.
    """

    def __init__(self, meter: LoadMeter, receiver: ReportReceiver) -> None:
        self._meter = meter
        self._receiver = receiver

    def start(self, stack: contextlib.ExitStack) -> None:
        """Begin to send."""
        spawn_vital(self._loop, stack)

    def _loop(self) -> None:
        while True:
            gevent.sleep(_INTERVAL)
            link = self._receiver.find_leader_link()
            if link is None:
                continue
            position = self._receiver.find_position()
            report = self._meter.take_report(position)
            self._receiver.send_report(link, report)
