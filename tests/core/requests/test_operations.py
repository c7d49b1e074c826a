"""Tests of operation ids (idempotency keys)."""

import testtools

from sedgetide.core.identifiers import Epoch
from sedgetide.core.requests.operations import Admission
from sedgetide.core.requests.operations import find_issue_time
from sedgetide.core.requests.operations import OperationLog
from sedgetide.testing.callers import make_operation_id

SHARD = "s/1"
START = 1_000_000.0


class OperationLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.log = OperationLog(window=600.0, capacity=3, clock_skew=1.0)
        self.log.begin_tenure(SHARD, Epoch(1), START)

    def admit(self, operation, wall, first_attempt=False):
        return self.log.admit(operation, SHARD, wall, first_attempt)

    def test_issue_time_of_an_id(self):
        issued = find_issue_time(make_operation_id(START))
        self.assertAlmostEqual(START, issued, places=2)
        self.assertIsNone(find_issue_time("no-uuid"))
        four = "0b4d3c1e-1f57-4d9e-9a55-0a8bb1ad4a4f"
        self.assertIsNone(find_issue_time(four))

    def test_repeat_joins_and_then_gets_the_answer(self):
        wall = START + 10
        operation = make_operation_id(wall)
        self.assertIs(Admission.RUN, self.admit(operation, wall))
        self.log.begin(operation, wall)
        self.assertIs(Admission.JOIN, self.admit(operation, wall))
        self.log.finish(operation, "answer")
        self.assertIs(Admission.REPEAT, self.admit(operation, wall + 5))
        self.assertEqual("answer", self.log.find_answer(operation))

    def test_withdrawn_operation_may_run(self):
        wall = START + 10
        operation = make_operation_id(wall)
        self.log.begin(operation, wall)
        self.log.withdraw(operation)
        self.assertIs(Admission.RUN, self.admit(operation, wall))

    def test_id_from_before_the_tenure_is_lost(self):
        # A keeper was killed, and the caller got an unknown outcome and
        # repeats its alert. The next keeper cannot know whether the alert
        # ran; running it could send a second notification.
        operation = make_operation_id(START - 5)
        self.assertIs(Admission.LOST, self.admit(operation, START + 1))

    def test_clock_skew_counts_as_before(self):
        operation = make_operation_id(START + 0.5)
        self.assertIs(Admission.LOST, self.admit(operation, START + 2))

    def test_first_attempt_runs_whatever_the_tenure(self):
        operation = make_operation_id(START - 5)
        self.assertIs(Admission.RUN, self.admit(operation, START, True))

    def test_orders_of_another_keeper_end_the_tenure(self):
        # Two keepers alternate: what ran at the other is not known here.
        operation = make_operation_id(START + 10)
        self.log.end_tenures()
        self.log.begin_tenure(SHARD, Epoch(1), START + 20)
        self.assertIs(Admission.LOST, self.admit(operation, START + 21))

    def test_new_epoch_begins_a_new_tenure(self):
        self.log.begin_tenure(SHARD, Epoch(3), START + 20)
        operation = make_operation_id(START + 10)
        self.assertIs(Admission.LOST, self.admit(operation, START + 22))

    def test_id_beyond_the_window_is_lost(self):
        operation = make_operation_id(START + 10)
        self.log.begin(operation, START + 10)
        self.log.finish(operation, "answer")
        self.assertIs(Admission.LOST, self.admit(operation, START + 700))
        self.assertEqual(0, len(self.log))

    def test_full_log_refuses_instead_of_forgetting(self):
        for _ in range(3):
            self.log.begin(make_operation_id(START + 10), START + 10)
        operation = make_operation_id(START + 11)
        self.assertIs(Admission.FULL, self.admit(operation, START + 11))
