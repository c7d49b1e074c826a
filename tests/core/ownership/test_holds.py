"""Tests of the upper bounds on how long upstreams may hold keys."""

import testtools

from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.holds import UpstreamHold
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


class TestListHeld(testtools.TestCase):
    """What the ledger shows to the leader of the next era."""

    def setUp(self):
        super().setUp()
        self.holds = HoldLedger(115.0)

    def test_latest_end_of_each_range(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 110.0)
        self.holds.note_grant("u-1", KeyRange(0, 99), 104.0)
        self.holds.note_grant("u-2", KeyRange(100, 199), 106.0)
        self.assertEqual(
            [
                UpstreamHold("u-1", KeyRange(0, 99), 110.0),
                UpstreamHold("u-2", KeyRange(100, 199), 106.0),
            ],
            self.holds.list_held(101.0),
        )

    def test_ended_holds_are_left_out(self):
        self.holds.note_grant("u-1", KeyRange(0, 99), 104.0)
        self.assertEqual([], self.holds.list_held(104.0))

    def test_released_part_is_left_out(self):
        # Guards against a report with two holders of a key that has moved
        # from one to the other.
        self.holds.note_grant("u-1", KeyRange(0, 99), 110.0)
        self.holds.note_release("u-1", KeyRange(50, 59))
        self.holds.note_grant("u-2", KeyRange(50, 59), 112.0)
        self.assertEqual(
            [
                UpstreamHold("u-1", KeyRange(0, 49), 110.0),
                UpstreamHold("u-1", KeyRange(60, 99), 110.0),
                UpstreamHold("u-2", KeyRange(50, 59), 112.0),
            ],
            self.holds.list_held(101.0),
        )

    def test_grant_after_a_release_is_listed(self):
        self.holds.note_release("u-1", KeyRange(0, 99))
        self.holds.note_grant("u-1", KeyRange(20, 29), 110.0)
        self.assertEqual(
            [UpstreamHold("u-1", KeyRange(20, 29), 110.0)],
            self.holds.list_held(101.0),
        )


class TestReportedHolds(testtools.TestCase):
    """Holds that the leader of the former era has reported."""

    def setUp(self):
        super().setUp()
        self.holds = HoldLedger(115.0)
        self.reported = UpstreamHold("u-1", KeyRange(0, 99), 107.0)
        self.holds.replace_inherited(("u-1", "u-2"), [self.reported])

    def find_end(self, upstream, low, high):
        return self.holds.find_hold_end(upstream, KeyRange(low, high))

    def test_they_replace_the_general_bound(self):
        # Guards against keys of a lost upstream that stay unavailable
        # although the report shows that its hold has ended.
        self.assertEqual(107.0, self.find_end("u-1", 90, 110))
        self.assertEqual(NEVER, self.find_end("u-1", 100, 199))
        self.assertEqual(NEVER, self.find_end("u-2", 0, 9))
        self.assertEqual(115.0, self.find_end("u-3", 0, 9))

    def test_known_move_does_not_shorten_them(self):
        # The tighter bound is one of grants that are not known.
        keys = KeyRange(0, 9)
        self.assertEqual(107.0, self.holds.find_hold_end("u-1", keys, 103.0))

    def test_holder_that_is_not_named_is_bound_by_its_holds(self):
        self.holds.replace_inherited((), [self.reported])
        self.assertEqual(107.0, self.find_end("u-1", 0, 9))

    def test_own_grants_count_beside_them(self):
        self.holds.note_grant("u-1", KeyRange(0, 9), 109.0)
        self.assertEqual(109.0, self.find_end("u-1", 0, 9))
        self.assertEqual(107.0, self.find_end("u-1", 10, 19))

    def test_answered_release_ends_them(self):
        self.holds.note_release("u-1", KeyRange(0, 99))
        self.assertEqual(NEVER, self.find_end("u-1", 0, 9))
        self.holds.replace_inherited(("u-1",), [self.reported])
        self.holds.note_grant("u-1", KeyRange(0, 9), 109.0)
        self.assertEqual(NEVER, self.find_end("u-1", 50, 59))

    def test_later_report_replaces_an_earlier_one(self):
        later = UpstreamHold("u-1", KeyRange(0, 9), 107.1)
        self.holds.replace_inherited(("u-1",), [later])
        self.assertEqual(107.1, self.find_end("u-1", 0, 9))
        self.assertEqual(NEVER, self.find_end("u-1", 10, 19))

    def test_they_are_listed_for_the_next_era(self):
        # Guards against a second restore in which the holds of the first
        # era are lost.
        self.assertEqual([self.reported], self.holds.list_held(101.0))
        self.holds.prune(107.0)
        self.assertEqual(NEVER, self.find_end("u-1", 0, 9))
