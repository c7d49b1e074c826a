"""Tests of the move of keys out of an evacuated data centre."""

import collections

import testtools

from sedgetide.core.ownership.balance import plan_evictions
from sedgetide.core.ownership.evacuation import EvacuationPacer
from sedgetide.core.ownership.evacuation import plan_evacuation
from sedgetide.core.ownership.projected_load import EligibleUpstream
from sedgetide.core.ownership.ranges import RangeTable

COUNT = 12


class TestPace(testtools.TestCase):
    def run_pacer(self, left, serving=True):
        pace = EvacuationPacer()
        begun = []
        for tick in range(30):
            now = 100.0 + tick * 0.1
            allowed = pace.allow(left, serving, now)
            if allowed:
                begun.append((round(now - 100.0, 1), allowed))
            left -= allowed
        self.assertEqual(0, left)
        return begun

    def test_a_quarter_at_a_time(self):
        self.assertEqual(
            [(0.0, 25), (0.4, 25), (0.8, 25), (1.2, 25)], self.run_pacer(100)
        )

    def test_few_ranges(self):
        self.assertEqual([(0.0, 1), (0.4, 1), (0.8, 1)], self.run_pacer(3))

    def test_at_once_when_nobody_sends_there_any_more(self):
        """A leader takes over late in an evacuation.

        Hosts no longer send requests to the owners, so pacing the moves
        would only prolong the time for which keys are unavailable.
        """
        self.assertEqual([(0.0, 100)], self.run_pacer(100, serving=False))

    def test_next_evacuation_is_paced_from_the_beginning(self):
        pace = EvacuationPacer()
        for tick in range(20):
            pace.allow(100, True, tick * 0.4)
        pace.allow(0, True, 9.0)
        self.assertEqual(25, pace.allow(100, True, 10.0))


class TestPlan(testtools.TestCase):
    """Ranges of twelve upstreams, of which the first four are evacuated."""

    def setUp(self):
        super().setUp()
        self.names = [f"u-{index:02}" for index in range(COUNT)]
        self.leaving = self.names[:4]
        self.eligible = {
            name: EligibleUpstream(name, 3) for name in self.names[4:]
        }
        self.table = RangeTable().assign_first(
            [(name, 1) for name in self.names]
        )
        self.rates = {}
        for index, tenure in enumerate(self.table.tenures):
            self.rates[tenure.low] = 1.0 + (index % 4) * 0.2

    def plan(self, most):
        return plan_evacuation(
            self.table, self.eligible, self.rates, self.leaving, most
        )

    def test_busiest_first_and_apart(self):
        moves = self.plan(2)
        table = self.table
        self.assertEqual(
            [table.tenures[3].keys, table.tenures[2].keys],
            [each.keys for each in moves],
        )
        self.assertEqual(2, len({each.successor for each in moves}))

    def test_spread_by_remaining_capacity(self):
        destinations = collections.Counter(
            each.successor for each in self.plan(9)
        )
        self.assertEqual(4, len(destinations))
        # The least busy of the remaining upstreams.
        self.assertLessEqual({"u-04", "u-08"}, set(destinations))

    def test_evictions_leave_them_alone(self):
        moves = plan_evictions(
            self.table, self.eligible, self.rates, self.leaving
        )
        self.assertEqual([], moves)
        gone = {
            name: each
            for name, each in self.eligible.items()
            if name != "u-04"
        }
        moves = plan_evictions(self.table, gone, self.rates, self.leaving)
        self.assertEqual([self.table.tenures[4].keys], [m.keys for m in moves])

    def test_nobody_left_to_take_them(self):
        self.assertEqual(
            [],
            plan_evacuation(
                self.table, {}, self.rates, self.names, len(self.names)
            ),
        )
