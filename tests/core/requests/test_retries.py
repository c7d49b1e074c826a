"""Tests of the limit of the retries of all hosts together."""

import testtools

from sedgetide.core.requests.retries import compute_burst_limit
from sedgetide.core.requests.retries import FIRST_TOKENS
from sedgetide.core.requests.retries import RetryBudget


class TestBurstLimit(testtools.TestCase):
    """An upstream stops responding, and every host has saved retries.

    Each host retries its requests within the same second, without knowing of
    the others. Without a limit, the remaining upstreams would get more than
    the deployment allows when they have the least spare capacity.
    """

    def spend_all(self, hosts, requests, most):
        """Spend all saved tokens, restart, and spend all further tokens."""
        spent = 0
        for _ in range(hosts):
            old = RetryBudget(0.0, most, initial_tokens=most)
            new = RetryBudget(0.16, most, FIRST_TOKENS)
            while old.spend():
                spent += 1
            for _ in range(requests // hosts):
                new.note_request()
                spent += new.spend()
            while new.spend():
                spent += 1
        return spent

    def test_many_hosts_stay_within_the_slack(self):
        for hosts, requests, slack in (
            (8, 340, 56),
            (11, 315, 62),
            (59, 970, 158),
            (91, 820, 222),
            (91, 182, 222),
        ):
            most = compute_burst_limit(slack, hosts)
            spent = self.spend_all(hosts, requests, most)
            self.assertLess(spent, 0.2 * requests + slack)

    def test_host_that_knows_of_no_other_saves_little(self):
        self.assertEqual(1.0, compute_burst_limit(222, None))

    def test_few_hosts_save_no_more_than_they_need(self):
        self.assertEqual(4.0, compute_burst_limit(158, 8))

    def test_tokens_beyond_a_lower_limit_are_lost(self):
        budget = RetryBudget(0.1, 4.0)
        budget.limit(1.0)
        self.assertTrue(budget.spend())
        self.assertFalse(budget.spend())
