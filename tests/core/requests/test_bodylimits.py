"""Tests of the bytes of bodies that a host holds."""

import testtools

from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.bodylimits import compute_body_limit

MEGABYTE = 1024 * 1024


class TestBodyAllowance(testtools.TestCase):
    def test_what_does_not_fit_is_not_held(self):
        allowance = BodyBudget(100)
        self.assertTrue(allowance.take(60))
        self.assertFalse(allowance.take(41))
        self.assertTrue(allowance.take(40))
        self.assertTrue(allowance.take(0))
        allowance.give_back(60)
        self.assertTrue(allowance.take(60))

    def test_three_copies_and_the_host_fit_into_its_memory(self):
        for memory in (128, 200, 300, 552):
            bodies = compute_body_limit(memory) / MEGABYTE
            self.assertGreater(bodies, 4)
            self.assertLess(3 * bodies + 60, memory)
