"""Tests of the rate limits that load balancing takes into account."""

import testtools

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.limits import LimitTracker

UPSTREAM = IncarnationName("map-1")


class TestLimitTracker(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = LimitTracker()

    def report(self, *times, rate=2.2):
        for now in times:
            self.tracker.note({UPSTREAM: rate}, now)

    def test_limit_that_lasts(self):
        self.report(10.0, 10.4, 10.8, 11.2, 11.6)
        self.assertEqual(2.2, self.tracker.find(UPSTREAM, 11.7))
        self.report(12.0, rate=6.0)
        self.assertEqual(6.0, self.tracker.find(UPSTREAM, 12.0))

    def test_short_limit_moves_nothing(self):
        # Keys must not move away and back because of a limit of a second.
        self.report(10.0, 10.4)
        self.assertIsNone(self.tracker.find(UPSTREAM, 10.5))
        self.assertIsNone(self.tracker.find(UPSTREAM, 11.8))
        self.report(12.0)
        self.assertIsNone(self.tracker.find(UPSTREAM, 12.1))

    def test_limit_that_is_reported_no_longer(self):
        self.report(10.0, 10.8, 11.6)
        self.assertIsNone(self.tracker.find(UPSTREAM, 13.0))
        self.tracker.prune(13.0)
        self.report(13.0)
        self.assertIsNone(self.tracker.find(UPSTREAM, 13.1))
