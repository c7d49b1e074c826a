"""Tests of the reasons of refusals and failures."""

import itertools

import testtools

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import NOT_RUN_FAILURES
from sedgetide.core.requests.attempts import Wait
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import decide_reason
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason

FAILURES = [each for each in Failure if each is not Failure.NONE]
REFUSAL = Refusal(RefusalReason.NO_PLACE, IncarnationName("map-1"))


class TestDecideReason(testtools.TestCase):
    def test_every_wait_and_failure_is_a_reason(self):
        # Guards against a new member whose refusals raise ValueError.
        for each in [*Wait, *FAILURES]:
            self.assertEqual(each.value, RefusalReason(each.value).value)

    def test_no_refusal_without_a_reason(self):
        # Guards against requests that failed twice, such as busy,busy, and
        # were refused with an empty reason.
        for count in range(3):
            for failures in itertools.product(FAILURES, repeat=count):
                for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                    reason = decide_reason(outcome, None, failures)
                    self.assertIsInstance(reason, RefusalReason)

    def test_last_failure_of_a_request_that_did_not_run(self):
        for failure in NOT_RUN_FAILURES:
            reason = decide_reason(
                Outcome.NOT_RUN, None, [Failure.BUSY, failure]
            )
            self.assertEqual(failure.value, reason.value)

    def test_failure_that_left_the_outcome_unknown(self):
        # Guards against a 502 explained by the second attempt, which did not
        # run.
        reason = decide_reason(
            Outcome.UNKNOWN, None, [Failure.BROKEN, Failure.BUSY]
        )
        self.assertIs(RefusalReason.BROKEN, reason)

    def test_refusal_after_a_failure_decides(self):
        for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            reason = decide_reason(outcome, REFUSAL, [Failure.BROKEN])
            self.assertIs(RefusalReason.NO_PLACE, reason)

    def test_answered_request_has_none(self):
        self.assertIsNone(
            decide_reason(Outcome.ANSWERED, REFUSAL, [Failure.BUSY])
        )
