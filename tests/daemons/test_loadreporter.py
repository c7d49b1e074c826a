"""Tests of the load that a host reports to the leader."""

import testtools

from sedgetide.core.history import NO_POSITION
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._loadreporter import LoadReporter
from sedgetide.daemons._loadreporter import ReportTransport


class TestSlowness(testtools.TestCase):
    """Slowness of an upstream, told apart from the length of its queue."""

    def setUp(self):
        super().setUp()
        self.meter = LoadMeter()
        for _ in range(200):
            self.note("usual", 0.2, waiting=0)
        self.meter.collect_report(1)

    def note(self, upstream, seconds, waiting):
        load = UpstreamLoad(6, waiting, 6)
        self.meter.note_answer("tiles", upstream, seconds, load)

    def find_slowness(self, upstream):
        report = self.meter.collect_report(1)
        seen = {each.upstream: each for each in report.upstreams}[upstream]
        return seen.slowness / seen.answers

    def test_slow_upstream_that_is_full_shows_it(self):
        # After a restart of all hosts the leader knows of no slow upstream and
        # gives each as many keys, which overloads the slow ones. When answers
        # of upstreams with a queue were ignored, that lasted: 15 of 100
        # callers were refused while other upstreams had capacity left.
        for _ in range(10):
            self.note("slow", 0.8, waiting=6)
        self.assertAlmostEqual(2.0, self.find_slowness("slow"), 1)

    def test_queue_alone_is_no_slowness(self):
        for _ in range(10):
            self.note("full", 0.4, waiting=6)
        self.assertAlmostEqual(1.0, self.find_slowness("full"), 1)


class FakeTransport(ReportTransport):
    """Records the reports that are sent to the leader."""

    def __init__(self):
        self.link = None
        self.sent = []

    def find_leader_link(self):
        return self.link

    def find_contact(self):
        return None

    def find_position(self):
        return NO_POSITION

    def send_report(self, link, report):
        self.sent.append(report)


class TestNoLeader(testtools.TestCase):
    def test_work_of_earlier_intervals_is_not_reported(self):
        # Guards against a new leader that takes the work of seconds without
        # a leader for that of its first 0.4 s, and moves keys because of it.
        transport, meter = FakeTransport(), LoadMeter()
        reporter = LoadReporter(meter, transport)
        for link in (None, None, "10.0.0.1:7"):
            transport.link = link
            meter.note_request("tiles", "map", 5)
            meter.note_failure("map-1")
            reporter.send_report()
        (report,) = transport.sent
        self.assertEqual([0.2], [each.seconds for each in report.keys])
        self.assertEqual([1], [each.failures for each in report.upstreams])
