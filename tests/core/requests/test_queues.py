"""Tests of the queue of an upstream."""

import testtools

from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.queues import UpstreamQueue
from sedgetide.core.requests.retries import RetryBudget

LATE = 1000.0


class UpstreamQueueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = UpstreamQueue(slots=2, bound=4, first_estimate=0.1)

    def offer(self, item, priority=1, deadline=LATE, now=0.0):
        return self.queue.offer(item, priority, deadline, now)

    def take(self, now=0.0):
        return self.queue.take(now)[0]

    def test_slots_are_never_overfilled(self):
        for item in "abc":
            self.assertIsNone(self.offer(item))
        self.assertEqual(["a", "b", None], [self.take() for _ in range(3)])
        self.queue.finish(0.1)
        self.assertEqual("c", self.take())

    def test_priority_comes_before_deadline(self):
        self.offer("archive", priority=9, deadline=10.0)
        self.offer("alert late", priority=1, deadline=50.0)
        self.offer("alert soon", priority=1, deadline=20.0)
        self.assertEqual(
            ["alert soon", "alert late"], [self.take(), self.take()]
        )

    def test_full_queue_refuses_at_once(self):
        for item in "abcd":
            self.offer(item)
        refusal = self.offer("e")
        self.assertIs(Reason.OVERLOAD, refusal.reason)
        self.assertAlmostEqual(0.2, refusal.retry_after)

    def test_unreachable_deadline_is_refused_at_once(self):
        self.assertIsNone(self.offer("a", deadline=0.15))
        self.assertIsNotNone(self.offer("b", deadline=0.05))

    def test_expired_requests_are_never_taken(self):
        self.offer("a", deadline=1.0)
        self.offer("b", deadline=9.0)
        self.assertEqual(("b", ["a"]), self.queue.take(2.0))

    def test_urgent_class_does_not_wait_for_others(self):
        for item in "abc":
            self.offer(item, priority=9)
        self.assertGreater(self.queue.estimate_wait(9), 0.15)
        self.assertLess(self.queue.estimate_wait(0), 0.15)

    def test_estimate_follows_service_times(self):
        for _ in range(100):
            self.offer("a")
            self.take()
            self.queue.finish(0.5)
        self.assertAlmostEqual(0.5, self.queue.service_time, places=2)

    def test_unanswered_request_frees_its_slot(self):
        self.offer("a")
        self.take()
        self.queue.finish(None)
        self.assertEqual(0, self.queue.running)
        self.assertAlmostEqual(0.1, self.queue.service_time)

    def test_removed_request_waits_no_more(self):
        item = object()
        self.offer(item)
        self.assertTrue(self.queue.remove(item))
        self.assertFalse(self.queue.remove(item))
        self.assertIsNone(self.take())


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_a_share_of_requests(self):
        budget = RetryBudget(ratio=0.1)
        spent = 0
        for _ in range(1000):
            budget.note_request()
            spent += budget.spend()
        self.assertLess(spent, 120)
        self.assertGreater(spent, 95)
