"""Tests of the isolation of keys that need more than one upstream."""

import testtools

from sedgetide.core.ownership.balance import EligibleUpstream
from sedgetide.core.ownership.balance import max_concurrent_moves
from sedgetide.core.ownership.balance import plan_balance
from sedgetide.core.ownership.ranges import MoveReason
from sedgetide.core.ownership.ranges import RangeTable

COUNT = 16


class TestIsolation(testtools.TestCase):
    """For some seconds two fifths of all requests are for one key.

    This is the work of ten upstreams. Requests for other keys of the same
    upstream wait in the same queue until they are refused, although all
    other upstreams have free capacity. Moving half of the difference in load
    moves nothing, because the other keys have far less load than that.
    """

    def setUp(self):
        super().setUp()
        self.names = [f"u{number:02}" for number in range(COUNT)]
        self.table = RangeTable().assign_first(
            [(name, 2) for name in self.names]
        )
        self.rates = {key * 64: 0.02 for key in range(1024)}
        self.hot = 64 * 100
        self.rates[self.hot] = 20.0

    def balance(self, rounds=6, **slowness):
        eligible = {
            name: EligibleUpstream(name, 2, slowness.get(name, 1.0))
            for name in self.names
        }
        table = self.table
        for _ in range(rounds):
            moves = plan_balance(
                table, eligible, self.rates, max_concurrent_moves(COUNT)
            )
            table = table.begin(moves)
            table = table.complete(table.list_moving()).merge()
        return table

    def test_hot_key_is_left_alone(self):
        table = self.balance()
        owner = table.find(self.hot).owner
        owned = table.list_owned(owner)
        self.assertEqual(
            [(self.hot, self.hot)], [(each.low, each.high) for each in owned]
        )

    def test_it_goes_to_the_fastest(self):
        owner = self.table.find(self.hot).owner
        table = self.balance(**{owner: 1.6, "u09": 0.7})
        self.assertEqual("u09", table.find(self.hot).owner)
        self.assertEqual(1, len(table.list_owned("u09")))

    def test_it_stays_where_none_is_much_faster(self):
        owner = self.table.find(self.hot).owner
        table = self.balance(u09=0.8)
        self.assertEqual(owner, table.find(self.hot).owner)

    def test_once_isolated_nothing_more_moves(self):
        self.table = self.balance(12)
        self.assertEqual(self.table, self.balance(1))

    def test_the_fastest_is_emptied_in_the_same_round(self):
        # The hot key shared the queue of the fastest upstream's other keys
        # until the next round.
        owner = self.table.find(self.hot).owner
        table = self.balance(1, **{owner: 1.6, "u09": 0.7})
        self.assertEqual("u09", table.find(self.hot).owner)
        self.assertEqual(1, len(table.list_owned("u09")))

    def test_hot_keys_of_the_fastest_are_not_moved_twice(self):
        # Emptying the owner of another hot key planned two moves of it, which
        # the table refuses.
        fastest = self.table.list_owned("u09")[0]
        self.rates[fastest.low + 64] = 15.0
        table = self.balance(u01=1.6, u09=0.7)
        owners = {
            table.find(key).owner for key in (self.hot, fastest.low + 64)
        }
        self.assertEqual(2, len(owners))

    def test_moves_name_their_reason(self):
        # Operators could not tell moves for a hot key from other ones.
        eligible = {name: EligibleUpstream(name, 2) for name in self.names}
        moves = plan_balance(self.table, eligible, self.rates)
        owner = self.table.find(self.hot).owner
        reasons = {
            each.reason
            for each in moves
            if self.table.find(each.keys.low).owner == owner
        }
        self.assertEqual({MoveReason.HOT_KEY}, reasons)

    def test_few_upstreams_keep_what_they_have(self):
        # With three upstreams none can be reserved for a single key.
        names = self.names[:3]
        eligible = {name: EligibleUpstream(name, 2) for name in names}
        table = RangeTable().assign_first([(name, 2) for name in names])
        rates = {self.hot: 20.0}
        self.assertEqual([], plan_balance(table, eligible, rates))
