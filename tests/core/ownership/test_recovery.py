"""Tests of the conditions for the first grant of an era of the store."""

import testtools

from sedgetide.core.errors import RuleError
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import RetainedRange
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import Recovery

BOTH = ("u-1", "u-2")


class TestRecovery(testtools.TestCase):
    """All upstreams have released their keys, or all grants have expired."""

    def setUp(self):
        super().setUp()
        self.recovery = Recovery(settled_at=102.0, grants_expire_at=110.0)

    def test_all_that_may_hold_keys_are_asked(self):
        # An upstream may have been granted keys by writes that were lost.
        self.assertEqual(
            list(BOTH), self.recovery.list_pending_releases(BOTH, 102.0)
        )
        self.recovery.note_released("u-1")
        self.assertEqual(
            ["u-2"], self.recovery.list_pending_releases(BOTH, 103.0)
        )
        self.assertFalse(self.recovery.is_over(BOTH, 103.0))
        self.recovery.note_released("u-2")
        self.assertTrue(self.recovery.is_over(BOTH, 103.0))

    def test_nobody_is_asked_before_all_are_registered_again(self):
        # The backup may lack an upstream that has started recently.
        self.assertEqual([], self.recovery.list_pending_releases(BOTH, 101.9))
        self.assertFalse(self.recovery.is_over((), 101.9))

    def test_expiry_of_grants_suffices_without_an_answer(self):
        self.assertFalse(self.recovery.is_over(BOTH, 109.9))
        self.assertTrue(self.recovery.is_over(BOTH, 110.0))
        self.assertEqual([], self.recovery.list_pending_releases(BOTH, 110.0))

    def test_upstream_that_comes_late_is_asked_too(self):
        self.recovery.note_released("u-1")
        self.assertEqual(
            ["u-2"], self.recovery.list_pending_releases(BOTH, 103.0)
        )


class TestFirstFence(testtools.TestCase):
    """Fences of an era are higher than all fences of earlier ones."""

    def test_later_era_has_higher_fences(self):
        # A fence must not be issued again to another owner.
        moved = 4 * 10**9
        self.assertEqual(0, find_first_fence(0))
        for era in (0, 1, 2**31 - 2):
            first = find_first_fence(era)
            self.assertLess(first + moved, find_first_fence(era + 1))
        self.assertLess(find_first_fence(2**31 - 1) + moved, 2**63)


class TestRestart(testtools.TestCase):
    """The range table at the beginning of an era."""

    def setUp(self):
        super().setUp()
        self.table = RangeTable().assign_first([("a", 1), ("b", 1), ("c", 1)])

    def test_owners_stay_at_one_new_fence(self):
        began = self.table.restart(90, {"a", "b", "c"})
        self.assertEqual(91, began.fence)
        self.assertEqual({91}, {each.fence for each in began.tenures})
        self.assertEqual(
            [each.owner for each in self.table.tenures],
            [each.owner for each in began.tenures],
        )

    def test_moving_range_goes_to_its_successor(self):
        keys = KeyRange(0, 99)
        began = self.table.begin([Move(keys, "c")]).restart(90, {"a", "c"})
        self.assertEqual("c", began.find(50).owner)
        self.assertEqual([], began.list_moving())

    def test_ranges_of_those_that_are_gone_are_spread(self):
        # Keys must not wait for an owner that is gone to stop.
        began = self.table.restart(90, {"b", "d"})
        self.assertEqual("b", began.find(self.table.tenures[1].low).owner)
        self.assertEqual({"b", "d"}, {each.owner for each in began.tenures})
        self.assertEqual(0, began.tenures[0].low)
        self.assertEqual(65535, began.tenures[-1].high)

    def test_neighbours_of_one_owner_are_joined(self):
        began = self.table.restart(90, {"a"})
        self.assertEqual(1, len(began.tenures))
        self.assertEqual(KeyRange(0, 65535), began.tenures[0].keys)

    def test_fences_never_decrease(self):
        table = RangeTable(200, self.table.tenures)
        self.assertEqual(201, table.restart(90, {"a"}).fence)

    def test_no_owners_is_an_error(self):
        self.assertRaises(RuleError, self.table.restart, 90, ())

    def test_retained_range_stays_with_its_holder(self):
        # Guards against two owners of a key whose holder has not released it.
        keys = KeyRange(100, 199)
        retained = [RetainedRange(keys, "c")]
        began = self.table.restart(90, {"a", "b"}, retained)
        self.assertEqual(keys, began.find(150).keys)
        self.assertEqual("c", began.find(150).owner)
        self.assertEqual({91}, {each.fence for each in began.tenures})
        self.assertEqual("a", began.find(99).owner)
        self.assertEqual("a", began.find(200).owner)
        self.assertNotIn("c", {began.find(key).owner for key in (0, 65535)})
        self.assertEqual([], began.list_moving())

    def test_retained_range_may_span_several(self):
        low = self.table.tenures[0].high - 9
        high = self.table.tenures[2].low + 9
        keys = KeyRange(low, high)
        began = self.table.restart(
            90, {"a", "b", "c"}, [RetainedRange(keys, "gone")]
        )
        self.assertEqual(
            [
                (KeyRange(0, low - 1), "a"),
                (keys, "gone"),
                (KeyRange(high + 1, 65535), "c"),
            ],
            [(each.keys, each.owner) for each in began.tenures],
        )

    def test_all_keys_may_be_retained(self):
        keys = KeyRange(0, 65535)
        began = self.table.restart(90, {"a"}, [RetainedRange(keys, "b")])
        self.assertEqual(
            [(keys, "b")],
            [(each.keys, each.owner) for each in began.tenures],
        )

    def test_retained_ranges_next_to_one_another(self):
        retained = [
            RetainedRange(KeyRange(10, 19), "b"),
            RetainedRange(KeyRange(0, 9), "gone"),
        ]
        began = self.table.restart(90, {"a", "b", "c"}, retained)
        self.assertEqual("gone", began.find(9).owner)
        self.assertEqual("b", began.find(10).owner)
        self.assertEqual("a", began.find(20).owner)
        lows = [each.low for each in began.tenures]
        highs = [each.high for each in began.tenures]
        self.assertEqual([0, *(high + 1 for high in highs[:-1])], lows)
