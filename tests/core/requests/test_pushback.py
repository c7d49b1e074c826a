"""Tests of backpressure signalled by upstreams."""

import testtools

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.requests.pushback import Backoffs

FIRST, SECOND = IncarnationName("u@1"), IncarnationName("u@2")


class TestBackoffs(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.backoffs = Backoffs()

    def test_backoff_ends_by_itself(self):
        self.assertTrue(self.backoffs.note(FIRST, 3.0, 10.0))
        self.assertEqual(2.0, self.backoffs.find_remaining(FIRST, 11.0))
        self.assertEqual({FIRST}, self.backoffs.list_active(12.9))
        self.assertEqual(0.0, self.backoffs.find_remaining(FIRST, 13.0))
        self.assertEqual(set(), self.backoffs.list_active(13.0))
        self.assertTrue(self.backoffs.note(FIRST, 1.0, 14.0))

    def test_shorter_backoff_does_not_end_a_longer_one(self):
        # Guards against answers that arrive out of order.
        self.backoffs.note(FIRST, 3.0, 10.0)
        self.assertFalse(self.backoffs.note(FIRST, 0.5, 10.1))
        self.assertAlmostEqual(2.9, self.backoffs.find_remaining(FIRST, 10.1))

    def test_next_incarnation_has_no_backoff(self):
        self.backoffs.note(FIRST, 3.0, 10.0)
        self.assertEqual(0.0, self.backoffs.find_remaining(SECOND, 10.0))
        both = (FIRST, SECOND)
        self.assertEqual(0.0, self.backoffs.find_shortest(both, 10.0))

    def test_memory_is_bounded(self):
        for number in range(9000):
            name = IncarnationName(f"u-{number}")
            self.backoffs.note(name, 1.0 + number, 10.0)
        self.assertLess(len(self.backoffs.list_active(10.0)), 4002)
        self.assertGreater(self.backoffs.find_remaining(name, 10.0), 0.0)
