"""Tests of the limit of the request rate to cold upstreams."""

import bisect
import random

from hypothesis import given
from hypothesis import strategies
import testtools

from sedgetide.core.requests.coldstart import compute_cold_send_limit
from sedgetide.core.requests.coldstart import RecentSends
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict

RATE, OVERRUN, SLACK = 4.2, 1.5, 8.0
TOTAL = RATE * OVERRUN + SLACK
BOUND = compute_cold_send_limit(RATE, OVERRUN, SLACK)


def count_most(times):
    """Return the maximum number of sends within any one second."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_right(times, each + 1.0) - index
            for index, each in enumerate(times)
        ),
        default=0,
    )


class TestBound(testtools.TestCase):
    def test_two_lenders_together_keep_to_it(self):
        self.assertEqual(7, BOUND)

    def test_extreme_values(self):
        self.assertEqual(0, compute_cold_send_limit(0.0, 1.5, 0.0))
        self.assertEqual(0, compute_cold_send_limit(1.3, 1.0, 0.0))
        self.assertEqual(500_000, compute_cold_send_limit(1e300, 1e300, 8.0))

    @given(
        strategies.floats(0, 1e6),
        strategies.floats(0, 100),
        strategies.floats(0, 1e6),
    )
    def test_never_more_than_the_total(self, rate, overrun, slack):
        bound = compute_cold_send_limit(rate, overrun, slack)
        self.assertLessEqual(2 * bound, rate * overrun + slack)


class TestRecentSends(testtools.TestCase):
    @given(
        strategies.integers(1, 6),
        strategies.lists(strategies.floats(0.0, 0.8), max_size=40),
    )
    def test_predicted_wait_is_exact(self, bound, pauses):
        recent = RecentSends()
        now, sent = 0.0, []
        for pause in pauses:
            now += pause
            foreseen = recent.find_wait(bound, 0, now)
            self.assertGreaterEqual(foreseen, 0.0)
            if foreseen > 0.0:
                self.assertGreater(recent.find_wait(bound, 0, now), 0.0)
                self.assertEqual(
                    0.0, recent.find_wait(bound, 0, now + foreseen + 1e-9)
                )
                continue
            recent.note(now)
            sent.append(now)
        self.assertLessEqual(count_most(sent), bound)

    def test_waiting_requests_go_first(self):
        recent = RecentSends()
        self.assertEqual(0.0, recent.find_wait(2, 1, 10.0))
        self.assertEqual(1.25, recent.find_wait(2, 2, 10.0))
        self.assertEqual(1.25, recent.find_wait(2, 3, 10.0))
        self.assertEqual(2.5, recent.find_wait(2, 4, 10.0))
        recent.note(10.0)
        self.assertEqual(1.0, recent.find_wait(2, 1, 10.25))
        self.assertEqual(float("inf"), recent.find_wait(0, 0, 10.0))


class TestReturn(testtools.TestCase):
    """A data centre restarts cold and all hosts consider it idle.

    66 hosts without knowledge of each other send requests for services
    without keys. To each, the 13 idle upstreams seem the best choice. Within
    one second an upstream is sent more than it can handle and fails, which
    increases the load on the others.
    """

    HOSTS = 66
    UPSTREAMS = 13
    # Requests per second that the upstreams get as their share of the service.
    LOAD = 60.0

    def simulate(self, lenders, seed):
        """Return the times of sends to each upstream in four seconds."""
        source = random.Random(seed)
        sent = {name: [] for name in range(self.UPSTREAMS)}
        running = {name: [] for name in range(self.UPSTREAMS)}
        now, number = 0.0, 0
        while now < 4.0:
            now += source.expovariate(self.LOAD)
            number += 1
            host = source.randrange(self.HOSTS)
            # Hosts learn of the restart at different times, and each chooses
            # an upstream without a queue as far as it knows.
            upstream = source.randrange(3)
            ticket = Ticket(f"host-{host}", number)
            lender = lenders[host % len(lenders)] if lenders else None
            if lender is not None:
                for ended in [e for e in running[upstream] if e[0] <= now]:
                    running[upstream].remove(ended)
                    ended[2].end(ended[1], 0.8, 0, now)
                decisions = lender.ask(
                    ticket, upstream, 30, 2, 0.0, now, BOUND
                )
                if decisions[-1].verdict is not Verdict.GRANTED:
                    self.assertGreater(decisions[-1].retry_after, 0.0)
                    continue
                running[upstream].append((now + 0.8, ticket, lender))
            sent[upstream].append(now)
        return sent

    def test_hosts_without_a_lender_exceed_the_limit(self):
        worst = max(count_most(each) for each in self.simulate([], 1).values())
        self.assertGreater(worst, TOTAL)

    def test_one_lender_keeps_it(self):
        for seed in range(5):
            for times in self.simulate([Lender()], seed).values():
                self.assertLessEqual(count_most(times), BOUND)

    def test_two_concurrent_lenders_keep_it(self):
        # The leader has appointed another lender, and half of the hosts have
        # not learnt of it yet.
        for seed in range(5):
            for times in self.simulate([Lender(), Lender()], seed).values():
                self.assertLessEqual(count_most(times), TOTAL)

    def test_waiting_requests_are_admitted_within_the_limit(self):
        lender = Lender()
        for number in range(BOUND):
            lender.ask(Ticket("h", number), "u", 20, 2, 0.5, 0.0, BOUND)
        asked = lender.ask(Ticket("h", 99), "u", 20, 2, 2.0, 0.3, BOUND)
        self.assertIs(Verdict.QUEUED, asked[-1].verdict)
        refused = lender.ask(Ticket("h", 98), "u", 20, 2, 0.5, 0.3, BOUND)
        self.assertIs(Verdict.REFUSED, refused[-1].verdict)
        self.assertAlmostEqual(0.95, refused[-1].retry_after)
        self.assertEqual([], lender.expire(1.2))
        found = lender.expire(1.3)
        self.assertEqual([(99, Verdict.GRANTED)], list_numbers(found))

    def test_warm_again(self):
        lender = Lender()
        for number in range(BOUND):
            lender.ask(Ticket("h", number), "u", 20, 2, 0.5, 0.0, BOUND)
        found = lender.ask(Ticket("h", 50), "u", 20, 2, 0.5, 0.1, None)
        self.assertEqual([(50, Verdict.GRANTED)], list_numbers(found))


def list_numbers(decisions):
    return [(each.ticket.number, each.verdict) for each in decisions]
