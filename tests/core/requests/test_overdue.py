"""Tests of the detection of callers that retry."""

import testtools

from sedgetide.core.requests.overdue import OverdueDetector


class TestOverdueDetector(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.detector = OverdueDetector()

    def is_overdue(self, left, now=0.0, route="map"):
        return self.detector.is_overdue(route, left, 0.6, now)

    def test_less_time_left_than_others_begin_with(self):
        self.assertFalse(self.is_overdue(4.0))
        self.assertFalse(self.is_overdue(3.98))
        self.assertTrue(self.is_overdue(2.7))
        self.assertFalse(self.is_overdue(2.7, route="archive"))

    def test_callers_without_a_deadline_are_not_overdue(self):
        self.is_overdue(4.0)
        self.assertFalse(self.is_overdue(None))

    def test_change_of_the_deadlines_takes_effect(self):
        self.is_overdue(9.0)
        for now in (30.0, 61.0, 100.0, 122.0):
            self.is_overdue(4.0, now)
        self.assertFalse(self.is_overdue(4.0, 123.0))
