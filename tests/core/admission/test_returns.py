"""Tests of the times that refused callers are promised."""

import testtools

from sedgetide.core.admission._demand import Demand
from sedgetide.core.admission._returns import Promises

NEVER = float("inf")


class TestPromises(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.promises = Promises(5)

    def promise(self, wait=0.5, deadline=6.0, now=0.0, priority=1):
        return self.promises.promise(priority, wait, 0.1, deadline, now)

    def test_promises_are_spread_as_places_become_free(self):
        # Guards against callers that return together and are refused again.
        found = [round(self.promise(), 3) for _ in range(4)]
        self.assertEqual([0.5, 0.6, 0.7, 0.8], found)

    def test_promise_is_not_too_early(self):
        self.assertEqual(0.25, self.promise(wait=0.0))

    def test_caller_returns_after_a_third_of_its_time(self):
        # Guards against expecting it later, and against later promises that
        # leave room for callers who can't wait that long.
        self.assertEqual(1.4, self.promise(wait=1.4, deadline=1.5))
        self.assertEqual(1, self.promises.count_due(1, 0.5, 0.0))
        self.assertEqual(0.6, self.promise(wait=0.6))

    def test_promise_is_within_the_deadline(self):
        # Guards against a delay of minutes while the demand is close to 1.
        self.assertEqual(1.5, self.promise(wait=300.0, deadline=1.5))

    def test_unknown_end_of_an_overload(self):
        self.assertEqual(2.0, self.promise(wait=NEVER))
        self.assertEqual(1.5, self.promise(wait=NEVER, deadline=None))
        self.assertEqual(0.25, self.promise(wait=NEVER, deadline=0.1))

    def test_patient_caller_is_not_sent_away_for_minutes(self):
        # A caller with ten minutes left was told 200 s after an overload of
        # four seconds.
        self.assertEqual(5.0, self.promise(wait=NEVER, deadline=600.0))

    def test_promise_ends_with_the_return_or_one_second_later(self):
        self.promise()
        self.promise()
        self.promises.note_return(2, 0.5)
        self.assertEqual(2, self.promises.count(0.5))
        self.promises.note_return(1, 0.5)
        self.assertEqual(1, self.promises.count(1.55))
        self.assertEqual(0, self.promises.count(1.65))

    def test_expired_promise_does_not_end_with_a_return(self):
        # Guards against a caller that has returned and is still expected.
        self.promise(wait=0.5)
        self.promise(wait=2.0)
        self.promises.note_return(1, 1.9)
        self.assertEqual(0, self.promises.count(1.9))

    def test_number_is_bounded(self):
        for number in range(10):
            self.promise(priority=number % 3)
        self.assertEqual(5, self.promises.count(0.0))

    def test_urgency(self):
        self.promise(priority=0)
        self.promise(priority=2)
        self.assertEqual(1, self.promises.count_due(1, 9.0, 0.0))
        self.assertEqual(0, self.promises.count_due(1, 0.4, 0.0))


class TestDemand(testtools.TestCase):
    def test_arrivals_of_the_last_seconds(self):
        # Guards against a burst that counts long after its end.
        demand = Demand()
        for number in range(300):
            demand.note_arrival(number % 3, False, (number // 10) / 10)
        found = [
            round(demand.find_rate(*asked, 2.95))
            for asked in ((None, True), (1, False), (1, True))
        ]
        self.assertEqual([100, 33, 67], found)
        self.assertAlmostEqual(50.0, demand.find_rate(None, True, 4.45), -1)
        self.assertEqual(0.0, demand.find_rate(None, True, 6.1))

    def test_returns_count_in_the_total_only(self):
        # They are expected by their promises, and would count twice.
        demand = Demand()
        demand.note_arrival(0, True, 0.0)
        self.assertEqual(0.0, demand.find_rate(1, True, 0.0))
        self.assertGreater(demand.find_rate(None, True, 0.0), 0.0)

    def test_counts_do_not_accumulate(self):
        # Guards against memory that grows by 4 MB per hour while no request
        # has to wait, so that nothing asks for the rate.
        demand = Demand()
        for number in range(1000):
            demand.note_arrival(0, True, number / 10)
        self.assertLess(len(demand._arrivals[0, True]._buckets), 40)
