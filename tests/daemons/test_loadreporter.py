"""Tests of the load that a host reports to the leader."""

import testtools

from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._loadreporter import LoadMeter


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
