"""Simulation of lender failover with many hosts in five data centres.

Lenders, windows and the lender selector are production code; hosts and
upstreams are simple models. Time is simulated, and messages take a
millisecond.
"""

import heapq
import itertools
import random

import msgspec
import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.membership.lenders import LenderSelector
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.core.requests.windows import Window

CENTRES = [DataCentre(name) for name in ("a", "b", "c", "d", "e")]
HOSTS = 60
UPSTREAMS = 30
SLOTS = 2
QUEUE = 8
WORK = 0.2
OBJECTIVE = 0.6
LOAD = 0.75
MESSAGE_DELAY = 0.001
# Values as in the daemon.
REPORT_INTERVAL, CHOICE_INTERVAL, RESPONSE_TIMEOUT, SILENT_SECONDS = (
    0.4,
    0.8,
    0.12,
    1.0,
)


class Job(msgspec.Struct, eq=False):
    at: float
    host: int
    upstream: int
    work: float
    ticket: Ticket | None = None
    sent_at: float = 0.0


class Upstream:
    def __init__(self, entry):
        self.entry = entry
        self.running = 0
        self.waiting = []


class Host:
    def __init__(self, index):
        self.link = LinkAddress(f"host-{index}")
        self.centre = CENTRES[index % len(CENTRES)]
        self.alive = True
        self.lenders = LenderList()
        self.lender = Lender()
        self.silent = {}
        self.windows = {}


class Simulation:
    """Simulates hosts and upstreams and records how each request ends."""

    def __init__(self, seconds, seed=1):
        self._random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._pending = {}
        self.hosts = [Host(index) for index in range(HOSTS)]
        self.by_link = {host.link: host for host in self.hosts}
        self.upstreams = [
            Upstream(
                RegisteredUpstream(
                    UpstreamName(f"u-{index}"),
                    ServiceName("map"),
                    f"10.0.0.{index}:80",
                    CENTRES[index % len(CENTRES)],
                    SLOTS,
                )
            )
            for index in range(UPSTREAMS)
        ]
        self.selector = LenderSelector(LenderList(), 0.0)
        # Arrival time, whether it was answered in time, and how it ended.
        self.results = []
        self._plan(seconds)

    def _plan(self, seconds):
        at = 0.0
        while at < seconds:
            at += self._random.expovariate(LOAD * UPSTREAMS * SLOTS / WORK)
            job = Job(
                at,
                self._random.randrange(HOSTS),
                self._random.randrange(UPSTREAMS),
                WORK * self._random.lognormvariate(-0.125, 0.5),
            )
            self.push(at, self._arrive, job)
        for turn in range(int(seconds / REPORT_INTERVAL)):
            self.push(turn * REPORT_INTERVAL, self._report)
        for turn in range(int(seconds / CHOICE_INTERVAL)):
            self.push(turn * CHOICE_INTERVAL + 0.01, self._choose)

    def push(self, at, call, *arguments):
        item = (at, next(self._numbers), call, arguments)
        heapq.heappush(self._events, item)

    def run(self):
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    # The leader

    def _report(self):
        for host in self.hosts:
            if host.alive:
                status = HostStatus(host.centre, 1.0, host.lenders.version)
                self.selector.note(host.link, status, self.now)
                if status.lenders != self.selector.lenders.version:
                    host.lenders = self.selector.lenders
            self.by_link[host.link].lender.expire(self.now)

    def _choose(self):
        entries = [each.entry for each in self.upstreams]
        self.selector.choose(entries, self.now)

    # Hosts

    def _arrive(self, job):
        host = self.hosts[job.host]
        if not host.alive:
            return
        link = host.lenders.find(self.upstreams[job.upstream].entry)
        if link is None or self.now < host.silent.get(link, 0.0):
            self._send_by_window(job)
            return
        job.ticket = Ticket(host.link, next(self._numbers))
        self._pending[job.ticket] = job
        self.push(self.now + MESSAGE_DELAY, self._ask, link, job)
        self.push(self.now + RESPONSE_TIMEOUT, self._time_out, link, job)

    def _ask(self, link, job):
        lender = self.by_link[link]
        if not lender.alive:
            return
        left = 0.9 * OBJECTIVE - (self.now - job.at)
        name = self.upstreams[job.upstream].entry.name
        decisions = lender.lender.ask(
            job.ticket, name, SLOTS, 2, left, self.now
        )
        self._send_decisions(link, decisions)

    def _send_decisions(self, link, decisions):
        for each in decisions:
            at = self.now + MESSAGE_DELAY
            self.push(at, self._receive, link, each.ticket, each.verdict)

    def _receive(self, link, ticket, verdict):
        job = self._pending.get(ticket)
        if job is None:
            return
        if verdict is Verdict.QUEUED:
            self._pending[ticket] = job
            job.sent_at = -1.0
            return
        del self._pending[ticket]
        if verdict is Verdict.GRANTED:
            self._send(job, link)
        else:
            self.results.append((job.at, False, "refused"))

    def _time_out(self, link, job):
        if self._pending.get(job.ticket) is job and job.sent_at == 0.0:
            del self._pending[job.ticket]
            self.hosts[job.host].silent[link] = self.now + SILENT_SECONDS
            job.ticket = None
            self._send_by_window(job)

    def _send_by_window(self, job):
        windows = self.hosts[job.host].windows
        window = windows.setdefault(job.upstream, Window(SLOTS))
        if window.is_free(self.now):
            window.in_flight += 1
            self._send(job, None)
        else:
            self.results.append((job.at, False, "refused"))

    def _send(self, job, link):
        upstream = self.upstreams[job.upstream]
        job.sent_at = self.now
        if upstream.running < SLOTS:
            self._begin(upstream, job, link)
        elif len(upstream.waiting) < QUEUE:
            upstream.waiting.append((job, link))
        else:
            self.results.append((job.at, False, "reset"))
            self._finish(upstream, job, link)

    def _begin(self, upstream, job, link):
        upstream.running += 1
        self.push(self.now + job.work, self._answer, upstream, job, link)

    def _answer(self, upstream, job, link):
        upstream.running -= 1
        if upstream.waiting:
            self._begin(upstream, *upstream.waiting.pop(0))
        in_time = self.now - job.at <= OBJECTIVE
        self.results.append((job.at, in_time, "answered"))
        self._finish(upstream, job, link)

    def _finish(self, upstream, job, link):
        waiting = len(upstream.waiting)
        if link is None:
            window = self.hosts[job.host].windows[job.upstream]
            window.note_load(UpstreamLoad(SLOTS, waiting, SLOTS), self.now)
            window.note_end(WORK, self.now)
            return
        lender = self.by_link[link]
        if lender.alive:
            seconds = self.now - job.sent_at
            self._send_decisions(
                link,
                lender.lender.end(job.ticket, seconds, waiting, self.now),
            )

    def count(self, began, ended, how="answered"):
        """Return the share that ended as given, and in time if answered."""
        some = [each for each in self.results if began <= each[0] < ended]
        good = [
            each
            for each in some
            if each[2] == how and (each[1] or how != "answered")
        ]
        return len(good) / len(some)


class TestLenderFailover(testtools.TestCase):
    def test_each_data_centre_has_its_lenders(self):
        simulation = Simulation(6.0).run()
        for centre in CENTRES:
            lenders = [
                each
                for each in simulation.selector.lenders.hosts
                if each.data_centre == centre
            ]
            self.assertEqual(1, len(lenders))
        self.assertGreater(simulation.count(3.0, 6.0), 0.8)
        self.assertEqual(0.0, simulation.count(3.0, 6.0, "reset"))

    def test_loss_of_a_lender_costs_its_queue_for_two_seconds(self):
        """One of five lenders is killed.

        Hosts get no response from it for 0.12 s and then use their own
        windows, until the leader has appointed another host. No host loses
        access to the upstreams, and no request is reset.
        """
        simulation = Simulation(16.0)

        def kill():
            lost = simulation.selector.lenders.hosts[0].link
            simulation.by_link[lost].alive = False

        simulation.push(8.0, kill)
        simulation.run()
        usual = simulation.count(4.0, 8.0)
        self.assertGreater(simulation.count(8.0, 10.5), usual - 0.08)
        self.assertGreater(simulation.count(11.0, 16.0), usual - 0.03)
        self.assertLess(simulation.count(8.0, 10.5, "reset"), 0.01)

    def test_loss_of_all_lenders_at_once(self):
        """A power failure stops all five, and hosts use their windows."""
        simulation = Simulation(16.0)

        def kill():
            for each in simulation.selector.lenders.hosts:
                simulation.by_link[each.link].alive = False

        simulation.push(8.0, kill)
        simulation.run()
        usual = simulation.count(4.0, 8.0)
        self.assertGreater(simulation.count(8.0, 10.5), usual - 0.25)
        self.assertGreater(simulation.count(11.0, 16.0), usual - 0.04)
