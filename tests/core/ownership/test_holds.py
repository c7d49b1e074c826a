"""Tests of the bound of what each upstream may still hold."""

import testtools

from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.ranges import KeyRange

NEVER = float("-inf")


class TestHoldLedger(testtools.TestCase):
    """Every grant sent counts until it was released or has run out."""

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
        # A renewal may be lost on its way; what was taken before holds on.
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
        # A new leader knows nothing of its predecessor's last grants.
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

    def test_closer_bound_of_what_was_inherited(self):
        # The move was in the record long before this host began to lead:
        # without the closer bound each new leader would begin the wait
        # anew, and the keys stay dark as long as leaders are lost.
        holds = HoldLedger(115.0)
        keys = KeyRange(0, 9)
        self.assertEqual(107.0, holds.find_hold_end("u-1", keys, 107.0))
        holds.note_grant("u-1", keys, 109.0)
        self.assertEqual(109.0, holds.find_hold_end("u-1", keys, 107.0))
