"""Tests of the upper bounds on how long upstreams may hold keys."""

import testtools

from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.ranges import KeyRange

NEVER = float("-inf")


class TestHoldLedger(testtools.TestCase):
    """Every grant sent counts until it has been released or has expired."""

    def setUp(self):
        super().setUp()
        self.holds = HoldLedger(NEVER)

    def test_overlapping_grants_count(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 105.0)
        self.holds.note_grant("u-1", KeyRange(50, 60), 103.0)
        self.assertEqual(
            105.0, self.holds.find_hold_end("u-1", KeyRange(55, 55))
        )
        self.assertEqual(
            NEVER, self.holds.find_hold_end("u-1", KeyRange(100, 200))
        )
        self.assertEqual(
            NEVER, self.holds.find_hold_end("u-2", KeyRange(0, 9))
        )

    def test_shorter_renewal_does_not_shorten(self):
        # The renewal may be lost, so the earlier grant still counts.
        self.holds.note_grant("u-1", KeyRange(0, 99), 110.0)
        self.holds.note_grant("u-1", KeyRange(0, 99), 104.0)
        self.assertEqual(
            110.0, self.holds.find_hold_end("u-1", KeyRange(0, 99))
        )

    def test_answered_release_ends_a_part(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 110.0)
        self.holds.note_release("u-1", KeyRange(10, 20))
        self.assertEqual(
            NEVER, self.holds.find_hold_end("u-1", KeyRange(10, 20))
        )
        self.assertEqual(
            110.0, self.holds.find_hold_end("u-1", KeyRange(10, 21))
        )

    def test_grant_after_a_release_counts_again(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 110.0)
        self.holds.note_release("u-1", KeyRange(0, 99))
        self.holds.note_grant("u-1", KeyRange(5, 5), 120.0)
        self.assertEqual(
            120.0, self.holds.find_hold_end("u-1", KeyRange(0, 9))
        )

    def test_inherited_orders_count_for_all(self):
        # A new leader does not know the last grants of its predecessor.
        holds = HoldLedger(115.0)
        self.assertEqual(115.0, holds.find_hold_end("u-1", KeyRange(0, 9)))
        holds.note_release("u-1", KeyRange(0, 9))
        self.assertEqual(NEVER, holds.find_hold_end("u-1", KeyRange(0, 9)))

    def test_pruned_holds_are_over(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 105.0)
        self.holds.prune(104.0)
        self.assertEqual(
            105.0, self.holds.find_hold_end("u-1", KeyRange(0, 9))
        )
        self.holds.prune(105.0)
        self.assertEqual(
            NEVER, self.holds.find_hold_end("u-1", KeyRange(0, 9))
        )

    def test_tighter_bound_of_inherited_grants(self):
        # The move was stored long before this host became the leader.
        # Without the tighter bound each new leader would restart the wait,
        # and with repeated losses of the leader the keys would stay
        # unavailable.
        holds = HoldLedger(115.0)
        keys = KeyRange(0, 9)
        self.assertEqual(107.0, holds.find_hold_end("u-1", keys, 107.0))
        holds.note_grant("u-1", keys, 109.0)
        self.assertEqual(109.0, holds.find_hold_end("u-1", keys, 107.0))
