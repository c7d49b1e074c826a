"""Tests of the limit of bytes of bodies that a host holds in memory."""

import testtools

from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.bodylimits import compute_body_limit

MEGABYTE = 1024 * 1024


class TestBodyBudget(testtools.TestCase):
    def test_what_does_not_fit_is_not_held(self):
        budget = BodyBudget(100)
        self.assertTrue(budget.take(60))
        self.assertFalse(budget.take(41))
        self.assertTrue(budget.take(40))
        self.assertTrue(budget.take(0))
        budget.give_back(60)
        self.assertTrue(budget.take(60))

    def test_three_copies_and_the_host_fit_into_its_memory(self):
        for memory in (128, 200, 300, 552):
            bodies = compute_body_limit(memory) / MEGABYTE
            self.assertGreater(bodies, 4)
            self.assertLess(3 * bodies + 60, memory)
