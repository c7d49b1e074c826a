"""Tests of rate limits that upstreams state for all hosts together."""

import bisect
import heapq
import random

from hypothesis import given
from hypothesis import strategies
import testtools

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.ratelimits import choose_limit
from sedgetide.core.requests.ratelimits import KnownLimits
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.ratelimits import TokenBucket

UPSTREAM = IncarnationName("map-1")
SLOTS, URGENT, USUAL = 3, 2, 4
# Window in seconds, factor and additional requests by which the platform
# allows a limit to be exceeded.
WINDOW, OVERRUN, SLACK = 4.0, 1.5, 5.0
WORK = 0.16
PATIENCE = 0.5
# Requests per second that the upstream can handle, with one in its queue.
MOST_WORK = (SLOTS + 1) / WORK


def bound_window(rate):
    return OVERRUN * rate * WINDOW + SLACK


def count_most(times):
    """Return the maximum number of sends within any one window."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_right(times, each + WINDOW) - index
            for index, each in enumerate(times)
        ),
        default=0,
    )


class TestChooseLimit(testtools.TestCase):
    """The limit that was written last applies, in any order of arrival."""

    def test_answer_to_a_later_request_ends_a_limit(self):
        known = StatedLimit(2.2, 0.0, 1.0)
        said = StatedLimit(None, 1.1, 1.3)
        self.assertIs(said, choose_limit(known, said))

    def test_answer_that_was_overtaken_does_not_end_a_limit(self):
        # Guards against an answer written before the limit was stated.
        known = StatedLimit(2.2, 0.9, 1.0)
        said = StatedLimit(None, 0.5, 1.3)
        self.assertIs(known, choose_limit(known, said))

    def test_stricter_limit_holds_when_the_order_is_unknown(self):
        high, low = StatedLimit(6.0, 0.0, 1.0), StatedLimit(1.3, 0.5, 1.5)
        self.assertIs(low, choose_limit(high, low))
        self.assertIs(low, choose_limit(low, high))

    def test_late_answer_changes_nothing(self):
        known, late = StatedLimit(6.0, 2.0, 2.2), StatedLimit(1.3, 0.5, 1.5)
        self.assertIs(known, choose_limit(known, late))

    def test_steady_answers_without_a_limit_end_it(self):
        # Guards against concurrent requests that keep a limit forever.
        known = StatedLimit(2.2, 0.0, 1.0)
        for step in range(20):
            at = 0.9 + step * 0.05
            known = choose_limit(known, StatedLimit(None, at, at + 0.2))
        self.assertIsNone(known.rate)


class TestKnownLimits(testtools.TestCase):
    def test_another_incarnation_has_no_limit(self):
        limits = KnownLimits()
        first, second = IncarnationName("u@1"), IncarnationName("u@2")
        self.assertTrue(limits.note(first, StatedLimit(2.2, 0.0, 1.0)))
        self.assertFalse(limits.note(first, StatedLimit(2.2, 1.0, 2.0)))
        self.assertEqual(2.2, limits.find(first).rate)
        self.assertIsNone(limits.find(second))
        self.assertTrue(limits.note(first, StatedLimit(None, 2.0, 3.0)))
        self.assertIsNone(limits.find(first))

    def test_memory_is_bounded(self):
        limits = KnownLimits()
        for number in range(5000):
            name = IncarnationName(f"u-{number}")
            limits.note(name, StatedLimit(1.0, 0.0, 1.0))
        self.assertIsNone(limits.find(IncarnationName("u-0")))
        self.assertIsNotNone(limits.find(IncarnationName("u-4999")))


class TestTokenBucket(testtools.TestCase):
    def test_no_limit(self):
        bucket = TokenBucket()
        for _ in range(100):
            bucket.take(1.0)
        self.assertEqual(0.0, bucket.find_wait(50, 1.0))

    def test_limit_of_zero_admits_one_at_long_intervals(self):
        # Guards against keys that stay unavailable after a limit of zero ends.
        bucket = TokenBucket()
        bucket.note(StatedLimit(0.0, 0.0, 0.1), 0.1)
        bucket.take(0.1)
        self.assertAlmostEqual(10.0, bucket.find_wait(0, 0.1))
        self.assertEqual(0.0, bucket.find_wait(0, 10.2))

    def test_idle_time_does_not_raise_the_burst(self):
        # Guards against sending a minute's worth of requests at once.
        bucket = TokenBucket()
        bucket.note(StatedLimit(2.2, 0.0, 0.0), 0.0)
        sent = 0
        while bucket.find_wait(0, 60.0) <= 0.0:
            bucket.take(60.0)
            sent += 1
        self.assertLessEqual(sent, 2)

    @given(
        strategies.sampled_from((0.0, 0.3, 1.3, 2.2, 6.0, 50.0)),
        strategies.lists(strategies.floats(0.0, 0.6), max_size=80),
    )
    def test_no_window_exceeds_its_limit(self, rate, pauses):
        bucket = TokenBucket()
        bucket.note(StatedLimit(rate, 0.0, 0.0), 0.0)
        now, sent = 0.0, []
        for pause in pauses:
            now += pause
            while bucket.find_wait(0, now) <= 0.0:
                bucket.take(now)
                sent.append(now)
        self.assertLessEqual(count_most(sent), bound_window(rate))


class Simulation:
    """Simulates hosts, lenders and random requests for a limited upstream.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    rate : float
        Limit of the upstream.
    switched : tuple of float
        Time at which a second lender takes over, and how long some hosts
        continue to use the first, until they have learnt of the change.
    """

    def __init__(self, hosts, rate, switched=(float("inf"), 0.0)):
        self.hosts, self.rate = hosts, rate
        self.switch_at, self.overlap = switched
        self.lenders = [Lender(), Lender()]
        self.source = random.Random(f"{hosts}/{rate}/{switched}")
        self.sent = []
        self.refused = []
        self.waits = []
        self.served = {URGENT: 0, USUAL: 0}
        self.asked = {URGENT: 0, USUAL: 0}
        self.events = []
        self.ranks = {}
        self.events_of = {}

    def choose_lender(self, host, now):
        """Return which lender a host asks; it learns of a change later."""
        informed_at = self.switch_at + self.overlap * host / self.hosts
        return 1 if now >= informed_at else 0

    def run(self, seconds=60.0):
        """Generate three times the request rate that the limit allows."""
        now = 0.0
        number = 0
        while now < seconds:
            now += self.source.expovariate(3.0 * max(self.rate, 0.3))
            heapq.heappush(self.events, (now, number, "ask"))
            number += 1
        while self.events:
            at, number, kind = heapq.heappop(self.events)
            getattr(self, f"do_{kind}")(at, number)

    def do_ask(self, at, number):
        host = self.source.randrange(self.hosts)
        which = self.choose_lender(host, at)
        ticket = Ticket(LinkAddress(f"host-{host}"), number)
        rank = self.source.choice((URGENT, USUAL, USUAL))
        self.ranks[number] = rank
        self.asked[rank] += 1
        limit = StatedLimit(self.rate, at - 0.2, at - 0.1)
        decisions = self.lenders[which].ask(
            ticket, UPSTREAM, SLOTS, rank, PATIENCE, at, None, limit
        )
        self.take(which, decisions, at)

    def do_end(self, at, number):
        which, ticket = self.events_of[number]
        said = StatedLimit(self.rate, at - WORK, at)
        decisions = self.lenders[which].end(ticket, WORK, 0, at, said)
        self.take(which, decisions, at)

    def do_wake(self, at, which):
        self.take(which, self.lenders[which].expire(at), at)

    def take(self, which, decisions, at):
        for each in decisions:
            if each.verdict is Verdict.GRANTED:
                number = each.ticket.number
                self.sent.append(at + self.source.uniform(0.001, 0.2))
                self.served[self.ranks[number]] += 1
                self.events_of[number] = (which, each.ticket)
                heapq.heappush(self.events, (at + WORK, number, "end"))
            elif each.verdict is Verdict.REFUSED:
                self.refused.append(each.retry_after)
        opening = self.lenders[which].find_opening(at)
        if opening is not None:
            heapq.heappush(self.events, (at + opening, which, "wake"))


class TestManyHosts(testtools.TestCase):
    """Simulations with three times the request rate that a limit allows."""

    def test_one_lender_keeps_to_the_limit_and_uses_it(self):
        for hosts in (8, 195):
            for rate in (0.3, 1.3, 2.2, 6.0, 50.0):
                simulation = Simulation(hosts, rate)
                simulation.run()
                most = count_most(simulation.sent)
                self.assertLessEqual(most, bound_window(rate), (hosts, rate))
                usable = min(rate, MOST_WORK)
                self.assertGreater(len(simulation.sent), 0.85 * usable * 60.0)

    def test_change_of_the_lender_keeps_to_the_limit(self):
        # Guards against two lenders that each use the whole limit for a while.
        for hosts in (8, 195):
            for rate in (0.3, 1.3, 2.2, 6.0, 50.0):
                simulation = Simulation(hosts, rate, (20.0, 2.0))
                simulation.run()
                most = count_most(simulation.sent)
                self.assertLessEqual(most, bound_window(rate), (hosts, rate))

    def test_urgent_requests_go_first(self):
        simulation = Simulation(195, 6.0)
        simulation.run()
        shares = {
            rank: simulation.served[rank] / simulation.asked[rank]
            for rank in simulation.asked
        }
        self.assertGreater(shares[URGENT], 1.5 * shares[USUAL])

    def test_retry_delay_of_refused_callers(self):
        simulation = Simulation(8, 0.3)
        simulation.run()
        self.assertGreater(max(simulation.refused), 1.5)
        self.assertLess(max(simulation.refused), 2.0 / 0.3 + 2.0)
