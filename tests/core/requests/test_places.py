"""Tests of places at upstreams that one host lends to all others."""

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
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_queue
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.core.requests.windows import Window

UPSTREAM = IncarnationName("map-1")
SLOTS = 2
# What the upstream holds back before it resets.
QUEUE = 8
HOSTS = 195
URGENT, USUAL = 1, 2
WORK = {URGENT: 0.26, USUAL: 0.2}
OBJECTIVE = {URGENT: 0.8, USUAL: 0.6}
DEADLINE = {URGENT: 5.0, USUAL: 4.0}


def name_ticket(number, host="10.0.0.1:7000"):
    return Ticket(LinkAddress(host), number)


def list_verdicts(decisions):
    return [(each.ticket.number, each.verdict) for each in decisions]


class TestLender(testtools.TestCase):
    """Order, refusals, and places that nobody gives back."""

    def setUp(self):
        super().setUp()
        self.lender = Lender()

    def ask(self, number, priority=USUAL, left=0.5, now=0.0):
        return list_verdicts(
            self.lender.ask(
                name_ticket(number), UPSTREAM, SLOTS, priority, left, now
            )
        )

    def end(self, number, seconds=0.2, waiting=0, now=0.1):
        return list_verdicts(
            self.lender.end(name_ticket(number), seconds, waiting, now)
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
            name_ticket(1, "10.0.0.2:7000"), UPSTREAM, SLOTS, URGENT, 0.5, 0.0
        )
        self.assertEqual([(1, Verdict.QUEUED)], list_verdicts(decisions))
        granted = self.lender.end(name_ticket(2), 0.2, 0, 0.1)
        self.assertEqual("10.0.0.2:7000", granted[0].ticket.holder)

    def test_hopeless_wait_is_refused_at_once_with_a_time(self):
        for number in range(9):
            self.ask(number, left=1.0)
        decisions = self.lender.ask(
            name_ticket(9), UPSTREAM, SLOTS, USUAL, 0.5, 0.0
        )
        self.assertIs(Verdict.REFUSED, decisions[0].verdict)
        self.assertAlmostEqual(0.5, decisions[0].retry_after, 1)

    def test_free_place_is_granted_however_late(self):
        self.assertEqual([(1, Verdict.GRANTED)], self.ask(1, left=0.01))

    def test_caller_who_leaves_frees_its_turn(self):
        for number in (1, 2, 3, 4, 5):
            self.ask(number)
        self.assertEqual([], self.end(4, None))
        self.assertEqual([(5, Verdict.GRANTED)], self.end(1))

    def test_place_of_a_lost_host_comes_back(self):
        """The place of a dead host is lent again.

        A host dies while its requests run: nobody gives their places
        back, and all who come later would be refused for good. After the
        time of a loan they are lent again.
        """
        for number in (1, 2, 3):
            self.ask(number)
        self.assertEqual([], self.lender.expire(1.9))
        self.ask(4, left=5.0, now=1.9)
        found = list_verdicts(self.lender.expire(2.1))
        self.assertEqual([(4, Verdict.GRANTED)], found)
        self.assertEqual([], self.end(1, now=2.2))

    def test_restarted_host_uses_a_number_again(self):
        self.ask(1)
        self.assertEqual([(1, Verdict.GRANTED)], self.ask(1))
        self.assertEqual([(2, Verdict.GRANTED)], self.ask(2))
        self.assertEqual([(3, Verdict.GRANTED)], self.ask(3))
        self.assertEqual([(4, Verdict.QUEUED)], self.ask(4))

    def test_requests_sent_without_a_place_take_slots(self):
        """The upstream's own queue counts.

        A host that does not hear the lender sends by its own window.
        What waits at the upstream then gets the slot that became free; a
        place lent for it would only lengthen the queue there.
        """
        for number in (1, 2, 3, 4):
            self.ask(number)
        self.assertEqual([], self.end(1, waiting=2))
        self.assertEqual([(4, Verdict.GRANTED)], self.end(2, waiting=1))

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
    """Return requests that ask for a multiple of the upstream's work."""
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
    """Two slots, eight requests that wait in turn, a reset beyond."""

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
    """All hosts before one upstream, in passed-in time."""

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
    """Each host goes by its own window."""

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


class LentReplay(Replay):
    """Each host asks the lender for a place."""

    def __init__(self, arrivals):
        super().__init__(arrivals)
        self._lender = Lender()
        self._asked = {}
        self._sent_at = {}

    def arrive(self, arrival, now):
        ticket = name_ticket(len(self._asked), f"host-{arrival.host}")
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


class DistantReplay(LentReplay):
    """A place takes a while from the end of one request to the next."""

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
        # The word of the lender has reached the host.
        self.tallies[arrival.priority].asked -= 1
        super().send(arrival, now)

    def send(self, arrival, now):
        arrival.host = -1
        self.push(now + self.gap, "arrival", arrival)
        return True

    def end(self, arrival, now):
        # Its slot was in use until now, and is free already.
        self._note_idle(now, freed=1)
        super().end(arrival, now)

    def _note_idle(self, now, freed=0):
        if self._queued:
            free = SLOTS - self.upstream.running - freed
            self.idle += max(0, free) * (now - self._noted)
        self._noted = now


class ReturningReplay(LentReplay):
    """Refused callers come again as they are told, twice at most."""

    retries = 2

    def __init__(self, arrivals, tell, ages=False):
        super().__init__(arrivals)
        self._tell = tell
        self._ages = ages
        self._tries = {}
        self.failed = 0

    def rank(self, arrival, now):
        late = now - arrival.at > OBJECTIVE[arrival.priority]
        return rank_request(arrival.priority, self._ages and late)

    def settle(self, decisions, now):
        super().settle(decisions, now)
        for each in decisions:
            if each.verdict is Verdict.REFUSED:
                self._come_again(each, now)

    def _come_again(self, decision, now):
        arrival = self._asked[decision.ticket]
        tries = self._tries.get(id(arrival), 0) + 1
        self._tries[id(arrival)] = tries
        if tries > self.retries:
            self.failed += 1
            return
        left = arrival.at + DEADLINE[arrival.priority] - now
        told = self._tell(decision.retry_after)
        self.push(now + min(left / 3, told), "arrival", arrival)


def draw_swinging_arrivals(load, seconds, seed):
    """Return requests whose load swings by 0.6 around a mean in 6 s."""
    source = random.Random(seed)
    return [
        each
        for each in draw_arrivals(1.6 * load, seconds, seed)
        if source.random() < (1 + 0.6 * math.sin(each.at * math.pi / 3)) / 1.6
    ]


class TestManyHosts(testtools.TestCase):
    """195 hosts before two slots: what windows can not know.

    A host asks one upstream once in half a minute, so its window never
    learns that others have filled it. Callers see queues at the upstream,
    late answers for all, and at the worst resets, after which an alert's
    caller can only be told that it may have run.
    """

    def replay(self, kind, load, seed=1):
        return kind(draw_arrivals(load, 120.0, seed)).run()

    def test_usual_load_is_answered_in_time(self):
        tallies = self.replay(LentReplay, 0.65)
        self.assertGreater(tallies[URGENT].share, 0.9)
        self.assertGreater(tallies[USUAL].share, 0.85)

    def test_overload_resets_nobody_and_keeps_urgent_requests(self):
        lent = self.replay(LentReplay, 1.3)
        alone = self.replay(WindowReplay, 1.3)
        self.assertEqual(0, lent[URGENT].reset + lent[USUAL].reset)
        self.assertGreater(alone[URGENT].reset + alone[USUAL].reset, 50)
        self.assertGreater(lent[URGENT].share, 0.85)
        self.assertLess(alone[URGENT].share, 0.45)
        self.assertGreater(lent[USUAL].share, 0.45)
        self.assertLess(alone[USUAL].share, 0.25)

    def test_no_slot_is_idle_while_requests_wait(self):
        """Far more is asked for than the upstream can do.

        A place that comes back is lent to another host, whose request
        arrives some milliseconds later. Its slot does nothing meanwhile, a
        part of each request's time, and callers are refused for it.
        """
        arrivals = draw_arrivals(2.0, 120.0, 1)
        replay = DistantReplay(arrivals)
        replay.run()
        self.assertLess(replay.idle / (SLOTS * arrivals[-1].at), 0.005)
        self.assertEqual(0, sum(t.reset for t in replay.tallies.values()))

    def test_refused_callers_come_back_when_a_peak_is_over(self):
        """Load swings around nine tenths of the upstream's work.

        Callers who come back after a quarter of a second meet the same
        peak, are refused three times within it and fail.
        """
        failed = {}
        for tell in (retry_after_queue, retry_after_place):
            arrivals = draw_swinging_arrivals(0.9, 120.0, 1)
            replay = ReturningReplay(arrivals, tell)
            replay.run()
            failed[tell] = replay.failed / len(arrivals)
        self.assertLess(failed[retry_after_place], 0.09)
        self.assertLess(
            failed[retry_after_place], 0.75 * failed[retry_after_queue]
        )

    def test_late_callers_do_not_make_others_late(self):
        """Far more is asked for than the upstream can do.

        Refused callers come back late and take places of those who come for
        the first time, who are refused for it and come back late as well.
        """
        in_time = {}
        failed = {}
        for ages in (False, True):
            arrivals = draw_arrivals(1.4, 120.0, 1)
            replay = ReturningReplay(arrivals, retry_after_place, ages)
            usual = replay.run()[USUAL]
            in_time[ages] = usual.in_time / usual.asked
            failed[ages] = replay.failed / len(arrivals)
        self.assertGreater(in_time[True], 1.4 * in_time[False])
        self.assertLess(failed[True], failed[False] + 0.03)
