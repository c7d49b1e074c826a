"""Tests of the places at upstreams that one host lends to all others."""

import heapq
import itertools
import math
import random

import msgspec
import testtools

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_queue
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.core.requests.windows import Window

UPSTREAM = IncarnationName("map-1")
SLOTS = 2
# Requests that the upstream queues before it resets connections.
QUEUE = 8
HOSTS = 195
URGENT, USUAL = 1, 2
WORK = {URGENT: 0.26, USUAL: 0.2}
OBJECTIVE = {URGENT: 0.8, USUAL: 0.6}
DEADLINE = {URGENT: 5.0, USUAL: 4.0}


def make_ticket(number, host="10.0.0.1:7000"):
    return Ticket(LinkAddress(host), number)


def list_verdicts(decisions):
    return [(each.ticket.number, each.verdict) for each in decisions]


class TestLender(testtools.TestCase):
    """Order, refusals, and places that are not returned."""

    def setUp(self):
        super().setUp()
        self.lender = Lender()

    def ask(self, number, priority=USUAL, left=0.5, now=0.0):
        return list_verdicts(
            self.lender.ask(
                make_ticket(number), UPSTREAM, SLOTS, priority, left, now
            )
        )

    def end(self, number, seconds=0.2, waiting=0, now=0.1):
        return list_verdicts(
            self.lender.end(make_ticket(number), seconds, waiting, now)
        )

    def test_one_place_more_than_slots(self):
        for number in (1, 2, 3):
            self.assertEqual([(number, Verdict.GRANTED)], self.ask(number))
        self.assertEqual([(4, Verdict.QUEUED)], self.ask(4))
        self.assertEqual([(4, Verdict.GRANTED)], self.end(1))

    def test_urgent_request_of_another_host_goes_first(self):
        for number in (1, 2, 3, 4):
            self.ask(number)
        decisions = self.lender.ask(
            make_ticket(1, "10.0.0.2:7000"), UPSTREAM, SLOTS, URGENT, 0.5, 0.0
        )
        self.assertEqual([(1, Verdict.QUEUED)], list_verdicts(decisions))
        granted = self.lender.end(make_ticket(2), 0.2, 0, 0.1)
        self.assertEqual("10.0.0.2:7000", granted[0].ticket.holder)

    def test_too_long_wait_is_refused_at_once_with_a_delay(self):
        for number in range(9):
            self.ask(number, left=1.0)
        decisions = self.lender.ask(
            make_ticket(9), UPSTREAM, SLOTS, USUAL, 0.5, 0.0
        )
        self.assertIs(Verdict.REFUSED, decisions[0].verdict)
        self.assertAlmostEqual(0.5, decisions[0].retry_after, 1)

    def test_free_place_is_granted_however_late(self):
        self.assertEqual([(1, Verdict.GRANTED)], self.ask(1, left=0.01))

    def test_caller_that_disconnects_leaves_the_queue(self):
        for number in (1, 2, 3, 4, 5):
            self.ask(number)
        self.assertEqual([], self.end(4, None))
        self.assertEqual([(5, Verdict.GRANTED)], self.end(1))

    def test_place_of_a_lost_host_comes_back(self):
        """The place of a crashed host is lent again.

        A host crashes while its requests run and does not return their
        places. Without the expiry of loans, all later requests would be
        refused permanently.
        """
        for number in (1, 2, 3):
            self.ask(number)
        self.assertEqual([], self.lender.expire(1.9))
        self.ask(4, left=5.0, now=1.9)
        found = list_verdicts(self.lender.expire(2.1))
        self.assertEqual([(4, Verdict.GRANTED)], found)
        self.assertEqual([], self.end(1, now=2.2))

    def test_ticket_of_a_lost_host_is_dropped(self):
        # Guards against tickets that accumulate while others ask for places
        # of the same upstream.
        self.ask(1)
        self.lender.expire(2.1)
        self.ask(2, now=2.1)
        self.assertEqual([make_ticket(2)], list(self.lender._upstreams))

    def test_restarted_host_uses_a_number_again(self):
        self.ask(1)
        self.assertEqual([(1, Verdict.GRANTED)], self.ask(1))
        self.assertEqual([(2, Verdict.GRANTED)], self.ask(2))
        self.assertEqual([(3, Verdict.GRANTED)], self.ask(3))
        self.assertEqual([(4, Verdict.QUEUED)], self.ask(4))

    def test_requests_sent_without_a_place_take_slots(self):
        """The queue at the upstream is taken into account.

        A host that gets no response from the lender sends by its own window.
        A request queued at the upstream then gets the slot that became free;
        lending a place for that slot would only lengthen the queue there.
        """
        for number in (1, 2, 3, 4):
            self.ask(number)
        self.assertEqual([], self.end(1, waiting=2))
        self.assertEqual([(4, Verdict.GRANTED)], self.end(2, waiting=1))

    def ask_late(self, number, now=0.0, **terms):
        """Ask for a place that can't be had within the useful time."""
        return self.lender.ask(
            make_ticket(number), UPSTREAM, SLOTS, USUAL, 0.1, now, **terms
        )

    def test_late_request_at_an_upstream_with_a_limit(self):
        # Guards against holding it for a limit that has its own wait.
        for number in (1, 2, 3):
            self.ask(number)
        found = self.ask_late(4, final=1.5)
        self.assertIs(Verdict.QUEUED, found[0].verdict)
        self.lender.end(make_ticket(4), None, 0, 0.0)
        limit = StatedLimit(50.0, -0.2, -0.1)
        found = self.ask_late(5, final=1.5, limit=limit)
        self.assertIs(Verdict.REFUSED, found[0].verdict)
        self.assertFalse(found[0].promised)

    def test_place_is_given_when_a_late_request_leaves(self):
        # Guards against an idle place: the late request is not given the
        # extra one, and the less urgent request does not go before it.
        for number in (1, 2, 3):
            self.ask(number)
        self.ask_late(4, final=1.5)
        self.ask(5, priority=2 * USUAL, left=5.0)
        self.assertEqual([], self.end(1))
        self.assertEqual([(5, Verdict.GRANTED)], self.end(4, None))

    def test_expired_request_is_promised_a_time_within_its_deadline(self):
        # Guards against a promise by the deadline as it was at the request.
        for number in (1, 2, 3):
            self.ask(number)
        self.ask_late(4, final=1.5, deadline=1.6)
        # A service time of 0.2 s and 10 ms for messages are subtracted.
        self.assertAlmostEqual(1.29, self.lender.find_wakeup(0.0))
        for number in range(10, 30):
            refused = self.ask_late(number, 1.28, final=0.1, deadline=30.0)
        self.assertGreater(refused[0].retry_after, 1.0)
        found = self.lender.expire(1.3)
        self.assertIs(Verdict.REFUSED, found[0].verdict)
        self.assertTrue(found[0].promised)
        self.assertAlmostEqual(0.3, found[0].retry_after)

    def test_idle_queues_are_forgotten(self):
        self.ask(1)
        self.end(1)
        self.lender.expire(40.0)
        self.assertEqual({}, self.lender._places)
        self.assertEqual({}, self.lender._upstreams)


class Arrival(msgspec.Struct):
    at: float
    host: int
    priority: int
    work: float


class Tally(msgspec.Struct):
    asked: int = 0
    in_time: int = 0
    reset: int = 0
    refused: int = 0

    @property
    def share(self):
        return self.in_time / self.asked


def draw_arrivals(load, seconds, seed, urgent=0.26):
    """Return requests whose total work is ``load`` times the capacity."""
    source = random.Random(seed)
    mean = urgent * WORK[URGENT] + (1 - urgent) * WORK[USUAL]
    now = 0.0
    arrivals = []
    while now < seconds:
        now += source.expovariate(load * SLOTS / mean)
        priority = URGENT if source.random() < urgent else USUAL
        work = WORK[priority] * source.lognormvariate(-0.125, 0.5)
        host = source.randrange(HOSTS)
        arrivals.append(Arrival(now, host, priority, work))
    return arrivals


class Upstream:
    """Two slots and a queue of eight requests; resets any others."""

    def __init__(self, push):
        self._push = push
        self.running = 0
        self.waiting = []

    def take(self, arrival, now):
        if self.running < SLOTS:
            self.running += 1
            self._push(now + arrival.work, "end", arrival)
        elif len(self.waiting) < QUEUE:
            self.waiting.append(arrival)
        else:
            return False
        return True

    def end(self, now):
        self.running -= 1
        if self.waiting:
            self.take(self.waiting.pop(0), now)


class Replay:
    """Simulates all hosts and one upstream, in simulated time."""

    def __init__(self, arrivals):
        self._events = []
        self._numbers = itertools.count()
        self.upstream = Upstream(self.push)
        self.tallies = {URGENT: Tally(), USUAL: Tally()}
        for each in arrivals:
            self.push(each.at, "arrival", each)

    def push(self, at, kind, arrival):
        item = (at, next(self._numbers), kind, arrival)
        heapq.heappush(self._events, item)

    def run(self):
        while self._events:
            now, _, kind, arrival = heapq.heappop(self._events)
            tally = self.tallies[arrival.priority]
            if kind == "arrival":
                tally.asked += 1
                self.arrive(arrival, now)
                continue
            self.upstream.end(now)
            tally.in_time += now - arrival.at <= OBJECTIVE[arrival.priority]
            self.end(arrival, now)
        return self.tallies

    def send(self, arrival, now):
        taken = self.upstream.take(arrival, now)
        self.tallies[arrival.priority].reset += not taken
        return taken


class WindowReplay(Replay):
    """Each host limits its requests by its own window."""

    def __init__(self, arrivals):
        super().__init__(arrivals)
        self._windows = {}

    def arrive(self, arrival, now):
        window = self._windows.setdefault(arrival.host, Window(SLOTS))
        if not window.is_free(now):
            self.tallies[arrival.priority].refused += 1
            return
        window.in_flight += 1
        if not self.send(arrival, now):
            window.note_refusal()
            window.note_end(0.2, now)

    def end(self, arrival, now):
        window = self._windows[arrival.host]
        waiting = len(self.upstream.waiting)
        window.note_load(UpstreamLoad(SLOTS, waiting, SLOTS), now)
        window.note_end(0.2, now)


class LenderReplay(Replay):
    """Each host asks the lender for a place."""

    def __init__(self, arrivals):
        super().__init__(arrivals)
        self._lender = Lender()
        self._asked = {}
        self._sent_at = {}

    def arrive(self, arrival, now):
        ticket = make_ticket(len(self._asked), f"host-{arrival.host}")
        self._asked[ticket] = arrival
        left = 0.9 * OBJECTIVE[arrival.priority]
        self.settle(
            self._lender.ask(
                ticket, UPSTREAM, SLOTS, self.rank(arrival, now), left, now
            ),
            now,
        )

    def rank(self, arrival, now):
        return arrival.priority

    def settle(self, decisions, now):
        for each in decisions:
            arrival = self._asked[each.ticket]
            if each.verdict is Verdict.GRANTED:
                self._sent_at[id(arrival)] = (each.ticket, now)
                self.send(arrival, now)
            elif each.verdict is Verdict.REFUSED:
                self.tallies[arrival.priority].refused += 1

    def end(self, arrival, now):
        ticket, sent_at = self._sent_at.pop(id(arrival))
        waiting = len(self.upstream.waiting)
        decisions = self._lender.end(ticket, now - sent_at, waiting, now)
        self.settle(decisions, now)


class DelayedReplay(LenderReplay):
    """The transfer of a place from one host to the next takes time."""

    gap = 0.006

    def __init__(self, arrivals):
        super().__init__(arrivals)
        self.idle = 0.0
        self._noted = 0.0
        self._queued = set()

    def settle(self, decisions, now):
        super().settle(decisions, now)
        for each in decisions:
            if each.verdict is Verdict.QUEUED:
                self._queued.add(each.ticket)
            else:
                self._queued.discard(each.ticket)

    def arrive(self, arrival, now):
        self._note_idle(now)
        if arrival.host >= 0:
            super().arrive(arrival, now)
            return
        # The decision of the lender has reached the host.
        self.tallies[arrival.priority].asked -= 1
        super().send(arrival, now)

    def send(self, arrival, now):
        arrival.host = -1
        self.push(now + self.gap, "arrival", arrival)
        return True

    def end(self, arrival, now):
        # Its slot was in use until now but is already counted as free.
        self._note_idle(now, freed=1)
        super().end(arrival, now)

    def _note_idle(self, now, freed=0):
        if self._queued:
            free = SLOTS - self.upstream.running - freed
            self.idle += max(0, free) * (now - self._noted)
        self._noted = now


class RetryReplay(LenderReplay):
    """Refused callers retry after the given delay, at most twice."""

    retries = 2

    def __init__(self, arrivals, compute_delay, rank_overdue=False):
        super().__init__(arrivals)
        self._compute_delay = compute_delay
        self._rank_overdue = rank_overdue
        self._tries = {}
        self.failed = 0

    def rank(self, arrival, now):
        late = now - arrival.at > OBJECTIVE[arrival.priority]
        return rank_request(arrival.priority, self._rank_overdue and late)

    def settle(self, decisions, now):
        super().settle(decisions, now)
        for each in decisions:
            if each.verdict is Verdict.REFUSED:
                self._retry(each, now)

    def _retry(self, decision, now):
        arrival = self._asked[decision.ticket]
        tries = self._tries.get(id(arrival), 0) + 1
        self._tries[id(arrival)] = tries
        if tries > self.retries:
            self.failed += 1
            return
        left = arrival.at + DEADLINE[arrival.priority] - now
        delay = self._compute_delay(decision.retry_after)
        self.push(now + min(left / 3, delay), "arrival", arrival)


def draw_swinging_arrivals(load, seconds, seed):
    """Return requests whose load swings by 0.6 with a period of 6 s."""
    source = random.Random(seed)
    return [
        each
        for each in draw_arrivals(1.6 * load, seconds, seed)
        if source.random() < (1 + 0.6 * math.sin(each.at * math.pi / 3)) / 1.6
    ]


class TestManyHosts(testtools.TestCase):
    """195 hosts share two slots, which windows of single hosts cannot handle.

    A host sends one request to the upstream in half a minute, so its window
    does not adapt to the load of the others. The upstream's queue grows, all
    answers are late, and some requests are reset, so that the outcome of an
    alert is unknown.
    """

    def replay(self, kind, load, seed=1):
        return kind(draw_arrivals(load, 120.0, seed)).run()

    def test_usual_load_is_answered_in_time(self):
        tallies = self.replay(LenderReplay, 0.65)
        self.assertGreater(tallies[URGENT].share, 0.9)
        self.assertGreater(tallies[USUAL].share, 0.85)

    def test_overload_resets_nobody_and_keeps_urgent_requests(self):
        lent = self.replay(LenderReplay, 1.3)
        alone = self.replay(WindowReplay, 1.3)
        self.assertEqual(0, lent[URGENT].reset + lent[USUAL].reset)
        self.assertGreater(alone[URGENT].reset + alone[USUAL].reset, 50)
        self.assertGreater(lent[URGENT].share, 0.85)
        self.assertLess(alone[URGENT].share, 0.45)
        self.assertGreater(lent[USUAL].share, 0.45)
        self.assertLess(alone[USUAL].share, 0.25)

    def test_no_slot_is_idle_while_requests_wait(self):
        """The load far exceeds the capacity of the upstream.

        A returned place is lent to another host, whose request arrives some
        milliseconds later. If the slot were idle for that part of each
        request's time, requests would be refused for the lost capacity.
        """
        arrivals = draw_arrivals(2.0, 120.0, 1)
        replay = DelayedReplay(arrivals)
        replay.run()
        self.assertLess(replay.idle / (SLOTS * arrivals[-1].at), 0.005)
        self.assertEqual(0, sum(t.reset for t in replay.tallies.values()))

    def test_refused_callers_come_back_when_a_peak_is_over(self):
        """The load varies around 90% of the capacity of the upstream.

        Callers that retry after a quarter of a second do so during the same
        peak, are refused three times within it and fail.
        """
        failed = {}
        for compute_delay in (retry_after_queue, retry_after_place):
            arrivals = draw_swinging_arrivals(0.9, 120.0, 1)
            replay = RetryReplay(arrivals, compute_delay)
            replay.run()
            failed[compute_delay] = replay.failed / len(arrivals)
        self.assertLess(failed[retry_after_place], 0.09)
        self.assertLess(
            failed[retry_after_place], 0.75 * failed[retry_after_queue]
        )

    def test_late_callers_do_not_make_others_late(self):
        """The load far exceeds the capacity of the upstream.

        Refused callers that retry late would take the places of first
        attempts, which are then refused and retry late as well.
        """
        in_time = {}
        failed = {}
        for rank_overdue in (False, True):
            arrivals = draw_arrivals(1.4, 120.0, 1)
            replay = RetryReplay(arrivals, retry_after_place, rank_overdue)
            usual = replay.run()[USUAL]
            in_time[rank_overdue] = usual.in_time / usual.asked
            failed[rank_overdue] = replay.failed / len(arrivals)
        self.assertGreater(in_time[True], 1.4 * in_time[False])
        self.assertLess(failed[True], failed[False] + 0.03)
