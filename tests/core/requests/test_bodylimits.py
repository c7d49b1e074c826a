"""Tests of the limit of bytes of bodies that a host holds in memory."""

import testtools

from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.bodylimits import compute_body_limit
from sedgetide.core.requests.bodylimits import make_body_memory

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

    def test_answers_and_requests_share_the_memory(self):
        # Guards against a host that runs out of memory as many upstreams send
        # answers without end while callers upload.
        memory = make_body_memory(300)
        while memory.answers.take(MEGABYTE):
            pass
        while memory.requests.take(MEGABYTE):
            pass
        held = 2 * memory.answers.held + 3 * memory.requests.held
        self.assertLess(held / MEGABYTE + 60, 300)
        self.assertGreater(memory.requests.held, 30 * MEGABYTE)
        memory.answers.give_back(memory.answers.held)
        self.assertTrue(memory.requests.take(MEGABYTE))

    def test_three_copies_and_the_host_fit_into_its_memory(self):
        for memory in (128, 200, 300, 552):
            bodies = compute_body_limit(memory) / MEGABYTE
            self.assertGreater(bodies, 4)
            self.assertLess(3 * bodies + 60, memory)
