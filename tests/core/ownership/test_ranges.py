"""Tests of the range table of one service."""

from hypothesis import given
from hypothesis import strategies
import testtools

from sedgetide.coding.ranges import decode_ranges
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.errors import RuleError
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable

KEYS = strategies.integers(0, LAST_KEY)
NAMES = ["u-1", "u-2", "u-3"]


def make_table():
    return RangeTable().assign_first([(name, 2) for name in NAMES])


@strategies.composite
def moves(draw):
    low, high = sorted([draw(KEYS), draw(KEYS)])
    return Move(KeyRange(low, high), draw(strategies.sampled_from(NAMES)))


class TestRangeTable(testtools.TestCase):
    """Invariants maintained by the table."""

    def check_invariants(self, table):
        low = 0
        for tenure in table.tenures:
            self.assertEqual(low, tenure.low)
            self.assertLessEqual(tenure.low, tenure.high)
            self.assertLessEqual(tenure.fence, table.fence)
            low = tenure.high + 1
        self.assertEqual(LAST_KEY + 1, low)

    def test_first_owners_share_all_keys(self):
        table = make_table()
        self.check_invariants(table)
        self.assertEqual("u-1", table.find(0).owner)
        self.assertEqual("u-3", table.find(LAST_KEY).owner)

    def test_first_owners_only_once(self):
        self.assertRaises(RuleError, make_table().assign_first, [("u-9", 1)])
        self.assertRaises(RuleError, RangeTable().assign_first, [])

    def test_move_has_no_owner_until_complete(self):
        table = make_table().begin([Move(KeyRange(10, 20), "u-3")])
        moving = table.find(15)
        self.assertTrue(moving.moving)
        self.assertEqual("u-1", moving.owner)
        self.assertEqual(2, moving.fence)
        done = table.complete([moving])
        self.assertEqual("u-3", done.find(15).owner)
        self.assertEqual(2, done.find(15).fence)
        self.assertEqual("u-1", done.find(9).owner)
        self.assertEqual("u-1", done.find(21).owner)

    def test_moving_range_does_not_move_again(self):
        table = make_table().begin([Move(KeyRange(10, 20), "u-3")])
        again = [Move(KeyRange(12, 14), "u-2")]
        self.assertRaises(RuleError, table.begin, again)

    def test_range_over_two_owners_is_refused(self):
        wide = [Move(KeyRange(0, LAST_KEY), "u-2")]
        self.assertRaises(RuleError, make_table().begin, wide)

    def test_overtaken_completion_changes_nothing(self):
        # The completion of a move arrives after the range has started to
        # move again. Applied nevertheless, it would give the keys to two
        # upstreams.
        first = make_table().begin([Move(KeyRange(10, 20), "u-3")])
        ended = first.find(15)
        second = first.complete([ended]).begin([Move(KeyRange(10, 20), "u-2")])
        self.assertEqual(second, second.complete([ended]))

    @given(strategies.lists(moves(), max_size=20))
    def test_any_moves_keep_the_invariants(self, wanted):
        table = make_table()
        owners = {}
        for move in wanted:
            try:
                table = table.begin([move])
            except RuleError:
                continue
            self.check_invariants(table)
            table = table.complete(table.list_moving()[:1])
            self.check_invariants(table)
            for tenure in table.tenures:
                # A fence is never used for two owners of the same keys.
                place = (tenure.low, tenure.fence)
                holder = tenure.successor or tenure.owner
                self.assertEqual(holder, owners.setdefault(place, holder))
        self.assertEqual(table, decode_ranges(encode_ranges(table)))

    def test_neighbours_of_one_owner_are_joined_at_a_new_fence(self):
        # Busy keys were split off and have returned to their first owner.
        # Unless joined, the ranges fill the table until no further move is
        # possible.
        table = make_table().begin([Move(KeyRange(10, 20), "u-1")])
        table = table.complete(table.list_moving())
        self.assertEqual(5, len(table.tenures))
        merged = table.merge()
        self.check_invariants(merged)
        self.assertEqual(3, len(merged.tenures))
        self.assertEqual(table.fence + 1, merged.find(0).fence)
        self.assertEqual(1, merged.find(LAST_KEY).fence)
        self.assertIs(merged, merged.merge())

    def test_moving_range_is_not_joined(self):
        table = make_table().begin([Move(KeyRange(10, 20), "u-1")])
        self.assertIs(table, table.merge())
