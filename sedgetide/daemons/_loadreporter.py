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
_MAX_KEYS = 400
_INITIAL_SERVICE_TIME = 0.2
_SMOOTHING_FACTOR = 0.05


class _UpstreamCounters:
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
        self._upstreams: dict[IncarnationName, _UpstreamCounters] = {}
        self._service_times: dict[RouteName, float] = {}

    def note_request(
        self, route: RouteName, service: ServiceName, key: Key
    ) -> None:
        """Count a request about a key."""
        work = self._service_times.get(route, _INITIAL_SERVICE_TIME)
        work_key = (service, key)
        self._keys[work_key] = self._keys.get(work_key, 0.0) + work

    def note_answer(
        self,
        route: RouteName,
        upstream: IncarnationName,
        seconds: float,
        load: UpstreamLoad | None,
    ) -> None:
        """Take in the time of an answer."""
        service_time = self._service_times.get(route, _INITIAL_SERVICE_TIME)
        counters = self._upstreams.setdefault(upstream, _UpstreamCounters())
        counters.answers += 1
        if load is not None and load.waiting > 0:
            # A slow upstream is the first to be full, and stays so: left
            # out, its answers never show that it is slow, and it is given
            # as many keys as the others.
            in_queue = load.waiting / max(1, load.slots)
            counters.slowness += seconds / (1.0 + in_queue) / service_time
            return
        counters.slowness += seconds / service_time
        bounded = min(seconds, 4 * service_time)
        self._service_times[route] = service_time + _SMOOTHING_FACTOR * (
            bounded - service_time
        )

    def note_failure(self, upstream: IncarnationName) -> None:
        """Count a request without a usable answer."""
        self._upstreams.setdefault(upstream, _UpstreamCounters()).failures += 1

    def collect_report(self, position: Position) -> LoadReport:
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
                name,
                counters.answers,
                round(counters.slowness, 3),
                counters.failures,
            )
            for name, counters in self._upstreams.items()
        ]
        self._keys.clear()
        self._upstreams.clear()
        return LoadReport(keys[:_MAX_KEYS], upstreams, position)


class ReportTransport(Protocol):
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
    receiver : ReportTransport
        Who gets it.
    """

    def __init__(self, meter: LoadMeter, transport: ReportTransport) -> None:
        self._meter = meter
        self._transport = transport

    def start(self, stack: contextlib.ExitStack) -> None:
        """Begin to send."""
        spawn_vital(self._loop, stack)

    def _loop(self) -> None:
        while True:
            gevent.sleep(_INTERVAL)
            link = self._transport.find_leader_link()
            if link is None:
                continue
            position = self._transport.find_position()
            report = self._meter.collect_report(position)
            self._transport.send_report(link, report)
