"""Measures the load of this host's requests and reports it to the leader."""

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
    """Measures work by key and slowness of upstreams between two reports.

    The work of a request is estimated by the average service time of its
    route at upstreams without a queue. The time that the request itself
    takes says more about the upstream, and is used to estimate its slowness.
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
        """Record the time of an answer."""
        service_time = self._service_times.get(route, _INITIAL_SERVICE_TIME)
        counters = self._upstreams.setdefault(upstream, _UpstreamCounters())
        counters.answers += 1
        if load is not None and load.waiting > 0:
            # Answers of upstreams with a queue count towards slowness: a slow
            # upstream is the first to have one and keeps it. Otherwise it
            # would never be recognized as slow, and get as many keys as the
            # others.
            in_queue = load.waiting / max(1, load.slots)
            counters.slowness += seconds / (1.0 + in_queue) / service_time
            return
        counters.slowness += seconds / service_time
        bounded = min(seconds, 4 * service_time)
        self._service_times[route] = service_time + _SMOOTHING_FACTOR * (
            bounded - service_time
        )

    def note_failure(self, upstream: IncarnationName) -> None:
        """Count a request that got no usable answer."""
        self._upstreams.setdefault(upstream, _UpstreamCounters()).failures += 1

    def collect_report(self, position: Position) -> LoadReport:
        """Return a report of all counts and reset them.

        Parameters
        ----------
        position : Position
            Position up to which this host is synced with the store.
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
    """Sends reports to the current leader."""

    def find_leader_link(self) -> LinkAddress | None:
        """Return the link address of the leader; None if unknown."""

    def find_contact(self) -> LinkAddress | None:
        """Return a host to ask for the leader; None in normal operation."""

    def find_position(self) -> Position:
        """Return the position up to which this host is synced."""

    def send_report(self, link: LinkAddress, report: LoadReport) -> None:
        """Send a report to a link address."""

    def ask_leader(self, contact: LinkAddress) -> None:
        """Ask another host which host leads."""


class LoadReporter:
    """Sends load reports to the leader at short intervals.

    Parameters
    ----------
    meter : LoadMeter
        Source of the reports.
    transport : ReportTransport
        Sends them to the leader.
    """

    def __init__(self, meter: LoadMeter, transport: ReportTransport) -> None:
        self._meter = meter
        self._transport = transport

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the task."""
        spawn_vital(self._loop, stack)

    def _loop(self) -> None:
        while True:
            gevent.sleep(_INTERVAL)
            self.send_report()

    def send_report(self) -> None:
        """Send a report, and a question if this host looks for the leader."""
        contact = self._transport.find_contact()
        if contact is not None:
            self._transport.ask_leader(contact)
        # Without a leader the report is dropped: the next leader takes the
        # work in a report for that of one interval.
        report = self._meter.collect_report(self._transport.find_position())
        link = self._transport.find_leader_link()
        if link is not None:
            self._transport.send_report(link, report)
