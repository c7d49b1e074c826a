"""Tests of the rules that determine outcomes."""

import testtools

from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import judge_failure
from sedgetide.core.requests.outcomes import may_resend
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Phase


class OutcomeTest(testtools.TestCase):
    def test_not_run_only_before_the_hand_over_or_when_declined(self):
        found = {phase: judge_failure(phase) for phase in Phase}
        self.assertEqual(
            {Phase.ACCEPTED, Phase.QUEUED, Phase.DECLINED},
            {p for p, outcome in found.items() if outcome is Outcome.NOT_RUN},
        )

    def test_unknown_is_sent_again_only_when_idempotent(self):
        self.assertTrue(may_resend(Outcome.UNKNOWN, True))
        self.assertFalse(may_resend(Outcome.UNKNOWN, False))
        self.assertTrue(may_resend(Outcome.NOT_RUN, False))
        self.assertFalse(may_resend(Outcome.ANSWERED, True))

    def test_refused_retry_does_not_hide_an_unknown_attempt(self):
        # An entry process lost the link to a keeper that had received its
        # read, retried and found the data centre cut off. The second attempt
        # was not run, but the first may have been, so "not run" would be
        # wrong.
        self.assertIs(
            Outcome.UNKNOWN,
            combine_outcomes(Outcome.UNKNOWN, Outcome.NOT_RUN),
        )
        self.assertIs(
            Outcome.ANSWERED,
            combine_outcomes(Outcome.UNKNOWN, Outcome.ANSWERED),
        )
        self.assertIs(
            Outcome.NOT_RUN,
            combine_outcomes(Outcome.NOT_RUN, Outcome.NOT_RUN),
        )
