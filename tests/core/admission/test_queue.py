"""Tests of the rules by which requests run, wait and are refused."""

import testtools

from sedgetide.core.admission import AdmissionQueue
from sedgetide.core.admission import AdmissionReason
from sedgetide.core.admission import AdmissionVerdict
from sedgetide.core.admission import RequestTerms

RUN, IN_TIME, LATE, REFUSE = AdmissionVerdict


class TestAdmissionQueue(testtools.TestCase):
    """Two slots and one extra place; a request takes 0.2 s."""

    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue(3, 5, 0.2, extra=1)
        for number in range(3):
            self.assertIs(RUN, self.offer(number))

    def offer(self, item, useful=0.47, final=1.5, priority=1, now=0.0, **more):
        terms = RequestTerms(
            priority, more.get("returning", False), useful, final
        )
        self.admission = self.queue.offer(item, terms, now)
        return self.admission.verdict

    def take(self, now):
        self.queue.finish(0.2, now)
        return self.queue.take(now)[0]

    def test_request_that_would_be_late_waits(self):
        # Guards against refusing a request whose work is half of its
        # objective whenever it finds no free place.
        self.assertIs(LATE, self.offer("late", useful=0.1))
        self.assertIs(IN_TIME, self.offer("in-time"))
        counts = (self.queue.in_time_count, self.queue.late_count)
        self.assertEqual((1, 1), counts)

    def test_request_without_a_final_deadline_does_not_wait_late(self):
        # Guards against holding a request of a host of an older version,
        # which gives it up after its useful time.
        self.assertIs(REFUSE, self.offer("old", useful=0.2, final=None))
        self.assertIs(IN_TIME, self.offer("old", useful=0.3, final=None))
        self.assertEqual([], self.queue.remove_expired(0.1))
        self.queue.finish(0.2, 0.3)
        self.assertEqual((None, ["old"]), self.queue.take(0.31))

    def test_no_time_before_the_final_deadline(self):
        self.assertIs(REFUSE, self.offer("short", final=0.25))
        self.assertIs(AdmissionReason.TOO_LONG, self.admission.reason)
        self.assertGreaterEqual(self.admission.retry_after, 0.2)

    def test_late_request_is_refused_when_others_need_all_places(self):
        # Guards against late requests that wait until their final deadline
        # while newer ones go before them.
        for number in range(10, 70):
            self.queue.remove(number - 1)
            self.offer(number, now=number / 20)
        self.queue.remove(number)
        # One waits, so that no less urgent request gets the next free place.
        self.assertIs(LATE, self.offer("foremost", 0.1, now=3.0))
        self.assertIs(REFUSE, self.offer("late", 0.1, now=3.0))
        self.assertIs(AdmissionReason.DEMAND, self.admission.reason)
        self.assertGreater(self.queue.find_demand(3.0), 1.0)

    def test_order(self):
        self.offer("returning", returning=True)
        self.offer("patient", useful=0.46)
        self.offer("hasty", useful=0.45)
        self.offer("urgent", priority=0)
        found = [self.take(0.01) for _ in range(5)]
        self.assertEqual(
            ["urgent", "hasty", "patient", None, "returning"], found
        )

    def test_less_urgent_request_does_not_pass_a_late_one(self):
        # Guards against giving the extra place to the less urgent request.
        self.offer("patient", useful=5.0, final=5.0, priority=2)
        self.offer("late", useful=0.1)
        found = [self.take(0.01) for _ in range(3)]
        self.assertEqual([None, "late", "patient"], found)

    def test_request_becomes_late_during_its_wait(self):
        # Guards against serving requests that are late in any case before
        # others that can still be in time.
        self.offer("first")
        self.offer("second", now=0.3)
        self.assertEqual("second", self.take(0.35))

    def test_admitted_request_is_kept_until_too_little_time_is_left(self):
        # Guards against refusing it earlier, and against a send whose answer
        # would come after the final deadline.
        self.offer("late", useful=0.2, final=1.0)
        self.assertEqual([], self.queue.remove_expired(0.79))
        self.assertEqual(["late"], self.queue.remove_expired(0.81))
        self.assertEqual(0, len(self.queue))

    def fill_by_demand(self):
        """Let first attempts ask for more than all of the places' time."""
        for number in range(100, 160):
            self.queue.remove(number - 1)
            self.offer(number, useful=0.1, now=(number - 100) / 20)
        self.queue.remove(number)

    def test_more_urgent_request_is_not_refused_while_others_wait(self):
        # Guards against serving a less urgent request while a returning or
        # late one is refused.
        self.offer("patient", useful=5.0, final=5.0, priority=2)
        self.fill_by_demand()
        for returning in (True, False):
            found = self.offer(returning, 0.1, returning=returning, now=3.0)
            self.assertIs(LATE, found)
            self.assertIs(AdmissionReason.PRECEDENCE, self.admission.reason)
        self.queue.remove("patient")
        self.assertIs(REFUSE, self.offer("late", useful=0.1, now=3.0))

    def test_bound(self):
        for number in range(10, 15):
            self.assertIs(IN_TIME, self.offer(number, useful=5.0, final=5.0))
        self.assertIs(REFUSE, self.offer(15, useful=5.0, final=5.0))
        self.assertIs(AdmissionReason.FULL, self.admission.reason)

    def test_requests_that_left_are_dropped(self):
        # Guards against entries that accumulate behind requests in time.
        for number in range(500):
            self.offer(number, useful=0.0, now=0.0)
            self.queue.remove(number)
        late = self.queue._by_priority[1].late
        self.assertLess(len(late), 70)

    def test_requests_that_left_are_dropped_behind_one_that_waits(self):
        # Guards against entries that accumulate for hours if the route timeout
        # is that long.
        for useful in (0.0, 50.0):
            self.offer("first", useful=useful, final=100.0)
            for number in range(500):
                self.offer(number, useful=useful + 1.0, final=200.0)
                self.queue.remove(number)
            self.assertEqual([], self.queue.remove_expired(1.0))
            self.queue.remove("first")
        self.assertLess(len(self.queue._finals), 70)
        self.assertLess(len(self.queue._by_priority[1].in_time), 70)

    def test_less_urgent_request_waits_for_expected_returns(self):
        # Guards against admitting it to a place that was promised.
        for number in range(10, 14):
            self.offer(number, useful=5.0, final=5.0)
        self.assertIs(IN_TIME, self.offer("patient", 0.62, 0.62, 2))
        self.queue.remove("patient")
        for _ in range(5):
            self.queue._promises.promise(1, 0.3, 0.01, None, 0.0)
        self.assertIs(REFUSE, self.offer("patient", 0.62, 0.62, 2))

    def test_refused_caller_is_promised_a_time(self):
        self.offer("refused", final=0.25)
        self.assertTrue(self.admission.promised)
        first = self.admission.retry_after
        self.offer("refused", final=0.25)
        self.assertGreater(self.admission.retry_after, first)
        self.offer("again", returning=True, now=first)
        self.assertEqual(1, self.queue.count_promises(first))

    def test_refusal_without_a_final_deadline_promises_nothing(self):
        # Guards against counting on a caller whose host, of an older
        # version, tells it another time.
        self.offer("old", useful=0.1, final=None)
        self.assertFalse(self.admission.promised)
        self.assertEqual(0, self.queue.count_promises(0.0))
