"""Many hosts, few slots and five data centres, in passed-in time.

Hosts, lenders, the leader's roster and upstreams are the product's own
decisions or models of a few lines; messages take a millisecond.
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
MESSAGE = 0.001
# As the daemon has them.
REPORT, CHOICE, WORD, SILENT = 0.4, 0.8, 0.12, 1.0


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
        self.lives = True
        self.lenders = LenderList()
        self.lender = Lender()
        self.silent = {}
        self.windows = {}


class Crowd:
    """All of it, with a list of what became of each request."""

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
        self.roster = LenderSelector(LenderList(), 0.0)
        # When it was asked, whether it was answered in time, how it ended.
        self.ends = []
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
        for turn in range(int(seconds / REPORT)):
            self.push(turn * REPORT, self._report)
        for turn in range(int(seconds / CHOICE)):
            self.push(turn * CHOICE + 0.01, self._choose)

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
            if host.lives:
                standing = HostStatus(host.centre, 1.0, host.lenders.version)
                self.roster.note(host.link, standing, self.now)
                if standing.lenders != self.roster.lenders.version:
                    host.lenders = self.roster.lenders
            self.by_link[host.link].lender.expire(self.now)

    def _choose(self):
        entries = [each.entry for each in self.upstreams]
        self.roster.choose(entries, self.now)

    # Hosts

    def _arrive(self, job):
        host = self.hosts[job.host]
        if not host.lives:
            return
        link = host.lenders.find(self.upstreams[job.upstream].entry)
        if link is None or self.now < host.silent.get(link, 0.0):
            self._go_alone(job)
            return
        job.ticket = Ticket(host.link, next(self._numbers))
        self._pending[job.ticket] = job
        self.push(self.now + MESSAGE, self._ask, link, job)
        self.push(self.now + WORD, self._miss, link, job)

    def _ask(self, link, job):
        lender = self.by_link[link]
        if not lender.lives:
            return
        left = 0.9 * OBJECTIVE - (self.now - job.at)
        name = self.upstreams[job.upstream].entry.name
        decisions = lender.lender.ask(
            job.ticket, name, SLOTS, 2, left, self.now
        )
        self._announce(link, decisions)

    def _announce(self, link, decisions):
        for each in decisions:
            at = self.now + MESSAGE
            self.push(at, self._hear, link, each.ticket, each.verdict)

    def _hear(self, link, ticket, verdict):
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
            self.ends.append((job.at, False, "refused"))

    def _miss(self, link, job):
        if self._pending.get(job.ticket) is job and job.sent_at == 0.0:
            del self._pending[job.ticket]
            self.hosts[job.host].silent[link] = self.now + SILENT
            job.ticket = None
            self._go_alone(job)

    def _go_alone(self, job):
        windows = self.hosts[job.host].windows
        window = windows.setdefault(job.upstream, Window(SLOTS))
        if window.is_free(self.now):
            window.in_flight += 1
            self._send(job, None)
        else:
            self.ends.append((job.at, False, "refused"))

    def _send(self, job, link):
        upstream = self.upstreams[job.upstream]
        job.sent_at = self.now
        if upstream.running < SLOTS:
            self._begin(upstream, job, link)
        elif len(upstream.waiting) < QUEUE:
            upstream.waiting.append((job, link))
        else:
            self.ends.append((job.at, False, "reset"))
            self._finish(upstream, job, link)

    def _begin(self, upstream, job, link):
        upstream.running += 1
        self.push(self.now + job.work, self._answer, upstream, job, link)

    def _answer(self, upstream, job, link):
        upstream.running -= 1
        if upstream.waiting:
            self._begin(upstream, *upstream.waiting.pop(0))
        in_time = self.now - job.at <= OBJECTIVE
        self.ends.append((job.at, in_time, "answered"))
        self._finish(upstream, job, link)

    def _finish(self, upstream, job, link):
        waiting = len(upstream.waiting)
        if link is None:
            window = self.hosts[job.host].windows[job.upstream]
            window.note_load(UpstreamLoad(SLOTS, waiting, SLOTS), self.now)
            window.note_end(WORK, self.now)
            return
        lender = self.by_link[link]
        if lender.lives:
            seconds = self.now - job.sent_at
            self._announce(
                link,
                lender.lender.end(job.ticket, seconds, waiting, self.now),
            )

    def count(self, began, ended, how="answered"):
        """Return the share that ended so, and in time if answered."""
        some = [each for each in self.ends if began <= each[0] < ended]
        good = [
            each
            for each in some
            if each[2] == how and (each[1] or how != "answered")
        ]
        return len(good) / len(some)


class TestCrowd(testtools.TestCase):
    def test_each_data_centre_has_its_lenders(self):
        crowd = Crowd(6.0).run()
        for centre in CENTRES:
            lenders = [
                each
                for each in crowd.roster.lenders.hosts
                if each.data_centre == centre
            ]
            self.assertEqual(1, len(lenders))
        self.assertGreater(crowd.count(3.0, 6.0), 0.8)
        self.assertEqual(0.0, crowd.count(3.0, 6.0, "reset"))

    def test_loss_of_a_lender_costs_its_queue_for_two_seconds(self):
        """One of five lenders is killed.

        Who asked it hears nothing for 0.12 s and goes by its host's window,
        like all who come next, until the leader has named another host.
        Nobody is cut off from the upstreams, and nobody is reset.
        """
        crowd = Crowd(16.0)

        def kill():
            lost = crowd.roster.lenders.hosts[0].link
            crowd.by_link[lost].lives = False

        crowd.push(8.0, kill)
        crowd.run()
        usual = crowd.count(4.0, 8.0)
        self.assertGreater(crowd.count(8.0, 10.5), usual - 0.08)
        self.assertGreater(crowd.count(11.0, 16.0), usual - 0.03)
        self.assertLess(crowd.count(8.0, 10.5, "reset"), 0.01)

    def test_loss_of_all_lenders_at_once(self):
        """A power cut ends all five; the hosts' windows serve meanwhile."""
        crowd = Crowd(16.0)

        def kill():
            for each in crowd.roster.lenders.hosts:
                crowd.by_link[each.link].lives = False

        crowd.push(8.0, kill)
        crowd.run()
        usual = crowd.count(4.0, 8.0)
        self.assertGreater(crowd.count(8.0, 10.5), usual - 0.25)
        self.assertGreater(crowd.count(11.0, 16.0), usual - 0.04)
