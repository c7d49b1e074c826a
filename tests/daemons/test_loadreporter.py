"""Tests of what a host counts for the leader."""

import testtools

from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._loadreporter import LoadMeter


class TestSlowness(testtools.TestCase):
    """How slow an upstream is, seen through the queue before it."""

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
        # All hosts were killed, the leader knows of no slow upstream, and
        # each gets as many keys. The slow ones are full from then on: when
        # answers from a queue said nothing, 15 of 100 callers were refused
        # for as long as it lasted, while others had room.
        for _ in range(10):
            self.note("slow", 0.8, waiting=6)
        self.assertAlmostEqual(2.0, self.find_slowness("slow"), 1)

    def test_queue_alone_is_no_slowness(self):
        for _ in range(10):
            self.note("full", 0.4, waiting=6)
        self.assertAlmostEqual(1.0, self.find_slowness("full"), 1)
