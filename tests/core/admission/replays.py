"""Replays of callers, hosts, lenders and one upstream, in simulated time.

Lenders are production code. Hosts follow the rules of the daemon: they state
the terms of a request, wait for the verdict, send, and return the place.
"""

import heapq
import itertools
import random

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_promise

UPSTREAM = IncarnationName("map-1")
SLOTS = 2
# Requests that the upstream queues before it resets connections.
QUEUE = 8
# For a fifth of the time, work takes three times as long.
SLOW_PERIOD, SLOW_SHARE, SLOW_FACTOR = 2.0, 0.2, 3.0
MESSAGE_DELAY = 0.002
# Values as in the daemon.
TRANSIT = 0.011
USEFUL_SHARE, OVERDUE_SHARE, EXPIRY_INTERVAL = 0.9, 0.5, 0.4


class Kind(msgspec.Struct, frozen=True):
    """Requests of one route and their callers."""

    name: str
    priority: int
    work: float
    objective: float
    timeout: float
    deadline: float
    retries: int


READ = Kind("read", 0, 0.22, 0.52, 1.5, 3.07, 1)
# Reads of the second deployment, whose callers return twice.
HOT = Kind("read", 0, 0.19, 1.11, 3.0, 6.65, 2)
BOOKING = Kind("booking", 2, 0.29, 2.04, 2.0, 4.07, 1)


class Call(msgspec.Struct, eq=False):
    """One caller's request over its attempts."""

    kind: Kind
    first_at: float
    work: float
    attempts: int = 0
    asked_at: float = 0.0
    sent_at: float = 0.0
    admitted: bool = False

    def find_left(self, now):
        return self.first_at + self.kind.deadline - now


class Tally(msgspec.Struct):
    """How the calls of one kind ended, and how the lender decided."""

    asked: int = 0
    in_time: int = 0
    served: int = 0
    unknown: int = 0
    returned: int = 0
    refused: int = 0
    # Refused after having been admitted, with enough time left for an answer.
    broken: int = 0

    @property
    def in_time_share(self):
        return self.in_time / self.asked

    @property
    def served_share(self):
        return self.served / self.asked


def draw_calls(source, kind, rate, began, ended):
    """Return calls at random times with log-normally distributed work."""
    calls = []
    at = began
    while (at := at + source.expovariate(rate)) < ended:
        work = kind.work * source.lognormvariate(-0.125, 0.5)
        calls.append(Call(kind, at, work))
    return calls


class Replay:
    """Simulates one upstream with the new rule or the earlier one.

    Parameters
    ----------
    calls : list of Call
        Calls by time of their first attempt.
    stated : bool
        Whether hosts state final deadlines. Without them the lender decides
        by the earlier rule.
    """

    def __init__(self, calls, stated):
        self._stated = stated
        self._events = []
        self._numbers = itertools.count()
        self._pending = {}
        self._running = 0
        self._queued = []
        self.lender = Lender()
        self.tallies = {}
        for call in calls:
            self.tallies.setdefault(call.kind.name, Tally()).asked += 1
            self.push(call.first_at, self._ask, call)
        for number in range(int(calls[-1].first_at / EXPIRY_INTERVAL)):
            self.push(number * EXPIRY_INTERVAL, self._expire)

    def push(self, at, act, *arguments):
        item = (at, next(self._numbers), act, arguments)
        heapq.heappush(self._events, item)

    def run(self):
        while self._events:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self.tallies

    # Hosts

    def _ask(self, call):
        kind = call.kind
        call.attempts += 1
        call.asked_at = self.now
        call.admitted = False
        left = call.find_left(self.now)
        self._ask_lender(
            call,
            rank_request(
                kind.priority,
                kind.deadline - left > OVERDUE_SHARE * kind.objective,
            ),
            USEFUL_SHARE * min(kind.objective, kind.timeout, left),
        )

    def _ask_lender(self, call, rank, useful):
        ticket = Ticket(LinkAddress("host"), next(self._numbers))
        self._pending[ticket] = call
        final = self.find_final(call) - self.now
        stated = (final, call.find_left(self.now)) if self._stated else ()
        self._settle(
            self.lender.ask(
                ticket, UPSTREAM, SLOTS, rank, useful, self.now, None, None,
                *stated,
            )
        )  # fmt: skip
        if ticket in self._pending and not self._stated:
            self.push(self.now + useful, self._give_up, ticket)

    def find_final(self, call):
        return min(
            call.asked_at + call.kind.timeout,
            call.first_at + call.kind.deadline,
        )

    def _settle(self, decisions):
        for each in decisions:
            call = self._pending[each.ticket]
            if each.verdict is Verdict.QUEUED:
                call.admitted = True
                if self._stated:
                    end = self.find_final(call) - 0.25 * each.service_time
                    self.push(max(self.now, end), self._give_up, each.ticket)
                continue
            del self._pending[each.ticket]
            if each.verdict is Verdict.GRANTED:
                if each.service_time is not None:
                    # After a wait, enough time is left for an answer.
                    left = self.find_final(call) - self.now
                    assert left >= each.service_time + MESSAGE_DELAY
                at = self.now + MESSAGE_DELAY
                self.push(at, self._send, call, each.ticket)
            else:
                self._refuse(call, each)

    def _give_up(self, ticket):
        call = self._pending.pop(ticket, None)
        if call is not None:
            self.lender.end(ticket, None, 0, self.now)
            self._refuse(call, None)

    def _refuse(self, call, decision):
        tally = self.tallies[call.kind.name]
        tally.refused += 1
        # A refusal after the final deadline would not reach the caller.
        assert self.now <= self.find_final(call)
        left = self.find_final(call) - self.now
        places = self.lender._places.get(UPSTREAM)
        if places is not None:
            typical = places._queue.typical_time + TRANSIT
            tally.broken += call.admitted and left > typical
        if call.attempts > call.kind.retries:
            return
        tally.returned += 1
        delay = min(self.find_delay(decision), call.find_left(self.now) / 3)
        self.push(self.now + delay, self._ask, call)

    def find_delay(self, decision):
        if decision is None:
            return retry_after_place(0.0)
        if decision.promised:
            return retry_after_promise(decision.retry_after)
        return retry_after_place(decision.retry_after)

    def _expire(self):
        self._settle(self.lender.expire(self.now))

    # Upstream

    def _send(self, call, ticket):
        call.sent_at = self.now
        if self._running < SLOTS:
            self._begin(call, ticket)
        elif len(self._queued) < QUEUE:
            self._queued.append((call, ticket))
        else:
            # The upstream declines it, and nothing has run.
            self._settle(self.lender.end(ticket, None, QUEUE, self.now))
            self._refuse(call, None)

    def _begin(self, call, ticket):
        self._running += 1
        slow = self.now % SLOW_PERIOD < SLOW_SHARE * SLOW_PERIOD
        seconds = call.work * (SLOW_FACTOR if slow else 1.0)
        self.push(self.now + seconds, self._answer, call, ticket)

    def _answer(self, call, ticket):
        self._running -= 1
        if self._queued:
            self._begin(*self._queued.pop(0))
        tally = self.tallies[call.kind.name]
        if self.now <= self.find_final(call):
            tally.served += 1
            tally.in_time += self.now - call.first_at <= call.kind.objective
        else:
            tally.unknown += 1
        seconds = self.now - call.sent_at
        self._settle(
            self.lender.end(ticket, seconds, len(self._queued), self.now)
        )


class LostLenderReplay(Replay):
    """The lender is lost at one time, and replaced by another at a later one.

    Hosts learn of the replacement, and not of the loss: a request that asks
    meanwhile gets no response, and is sent without a place.
    """

    lost_at, replaced_at, response_timeout = 20.0, 21.5, 0.12

    def __init__(self, calls, stated):
        super().__init__(
            [each for each in calls if self.is_near(each)], stated
        )
        self.push(self.replaced_at, self._replace)

    def is_near(self, call):
        return 10.0 < call.first_at < self.replaced_at + 1.5

    @property
    def lost(self):
        return self.lost_at <= self.now < self.replaced_at

    def _ask_lender(self, call, rank, useful):
        if not self.lost:
            super()._ask_lender(call, rank, useful)
            return
        ticket = Ticket(LinkAddress("host"), next(self._numbers))
        at = self.now + self.response_timeout
        self.push(at, self._send, call, ticket)

    def _settle(self, decisions):
        if not self.lost:
            super()._settle(decisions)

    def _replace(self):
        self.lender = Lender()
        if self._stated:
            # Waiting requests ask the new lender.
            for ticket, call in list(self._pending.items()):
                del self._pending[ticket]
                elapsed = self.now - call.asked_at
                useful = USEFUL_SHARE * call.kind.objective - elapsed
                rank = rank_request(call.kind.priority, call.attempts > 1)
                self._ask_lender(call, rank, max(0.0, useful))


def run_both(make_calls, seeds, replay=Replay):
    """Return summed tallies by kind, with the earlier rule and the new one."""
    sums = []
    for stated in (False, True):
        total = {}
        for seed in range(seeds):
            calls = make_calls(random.Random(seed))
            for name, tally in replay(calls, stated).run().items():
                sofar = total.setdefault(name, Tally())
                for field in tally.__struct_fields__:
                    value = getattr(sofar, field) + getattr(tally, field)
                    setattr(sofar, field, value)
        sums.append(total)
    return sums
