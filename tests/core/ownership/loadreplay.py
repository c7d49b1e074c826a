"""Replay of uneven demand on many upstreams, without a network."""

import bisect
import collections
import itertools
import math
import random

from sedgetide.core.ownership import balance
from sedgetide.core.ownership import load
from sedgetide.core.ownership.ranges import KEY_COUNT
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.smoothing import smooth_rates

STEP, REPORT_STEPS, ROUND_STEPS = 0.1, 4, 8
# Seconds. A lost owner has to be noticed, and its grant has to expire.
PLANNED_MOVE, UNPLANNED_MOVE, NOTICE = 0.25, 2.0, 0.9
SLOW_PERIOD, SLOW_FACTOR = 0.4, 3

# Seconds of work, requests per second, share of the time with slow work.
Deployment = collections.namedtuple(
    "Deployment", "upstreams slots speeds work rate hosts slow_share"
)


class LoadReplay:
    """Reports, planning and moves of one service, in steps of 0.1 s."""

    def __init__(self, deployment, seed):
        self.of, self._random = deployment, random.Random(seed)
        self.names = [f"u{index:03}" for index in range(deployment.upstreams)]
        paces = itertools.cycle(deployment.speeds)
        self.speeds = dict(zip(self.names, paces, strict=False))
        self._slow_until = dict.fromkeys(self.names, 0.0)
        self.cumulative = [0.0, *itertools.accumulate(self._draw_weights())]
        first = [(name, deployment.slots) for name in self.names]
        self.table = RangeTable().assign_first(first)
        self.tracker = load.LoadTracker()
        self._unreported = [{} for _ in range(deployment.hosts)]
        self.now, self._steps, self.swing = 100.0, 0, 1 / 3
        self.hot_share, self.hot_key = 0.0, 0
        # Lost upstreams by time of loss; moving tenures by end of the move.
        self.absent, self._due = {}, {}
        self.rounds, self.moves, self.moved = 0, 0, 0.0
        self.reasons = collections.Counter()

    def _draw_weights(self):
        """Return popularity: a third even, the rest around twelve keys."""
        weights = [0.35 / KEY_COUNT] * KEY_COUNT
        for rank in range(1, 13):
            middle = self._random.randrange(KEY_COUNT)
            for key in range(max(0, middle - 900), middle + 900):
                near = math.exp(-abs(key - middle) / 150) / 930 / rank
                luck = self._random.lognormvariate(-0.5, 1.0)
                weights[key % KEY_COUNT] += 0.65 * near * luck
        return weights

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self._steps += 1
            self.now += STEP
            self._send_requests()
            ended = [each for each, at in self._due.items() if at <= self.now]
            for each in ended:
                del self._due[each]
            self.table = self.table.complete(ended)
            self._plan()
        return self

    @property
    def rate(self):
        """Return the present number of requests per second."""
        wave = math.sin(2 * math.pi * self.now / 30)
        return self.of.rate * (1 + self.swing * wave)

    def draw_key(self):
        """Return the key of a random request."""
        if self._random.random() < self.hot_share:
            return self.hot_key
        drawn = self._random.random() * self.cumulative[-1]
        return bisect.bisect_right(self.cumulative, drawn) - 1

    def _send_requests(self):
        answers = collections.Counter()
        at = self._random.expovariate(self.rate)
        while at < STEP:
            key = self.draw_key()
            host = self._random.choice(self._unreported)
            host[key] = host.get(key, 0.0) + self.of.work
            tenure = self.table.find(key)
            if not tenure.moving and tenure.owner not in self.absent:
                answers[tenure.owner] += 1
            at += self._random.expovariate(self.rate)
        for each in self._unreported[self._steps % REPORT_STEPS :: 4]:
            work = [load.KeyWork("map", *item) for item in each.items()]
            self.tracker.note_keys(work, self.now)
            each.clear()
        began = self.of.slow_share * STEP / SLOW_PERIOD / 0.8
        for name, count in answers.items():
            if self._random.random() < began:
                self._slow_until[name] = self.now + SLOW_PERIOD
            slow = SLOW_FACTOR if self._slow_until[name] > self.now else 1
            pace = self.speeds[name] / slow
            most = self.of.slots * pace / self.of.work * STEP
            count = min(count, round(most + self._random.random()))
            draws = [
                self._random.lognormvariate(-0.125, 0.5) for _ in range(count)
            ]
            seen = load.UpstreamWork(name, count, sum(draws) / pace)
            self.tracker.note_upstreams([seen], self.now)

    def _plan(self):
        """Plan moves like ``Leader._plan_moves``."""
        eligible = {
            name: balance.EligibleUpstream(
                name, self.of.slots, self.tracker.find_slowness(name, self.now)
            )
            for name in self.names
            if self.now - self.absent.get(name, self.now) < NOTICE
        }
        due = self._steps % ROUND_STEPS == 0
        self.rounds += due
        table = self.table.merge()
        if not due and all(each.owner in eligible for each in table.tenures):
            return
        seen = self.tracker.list_estimates("map", self.now)
        rates = smooth_rates(seen, table.tenures)
        moves = balance.plan_evictions(table, eligible, rates)
        if not moves and due and self._steps > ROUND_STEPS:
            empty = balance.count_empty(table, eligible)
            most = balance.max_concurrent_moves(len(eligible), empty)
            some = (table, eligible, rates, most - len(table.list_moving()))
            moves = balance.plan_balance(*some)
            moves = moves or balance.plan_consolidation(*some)
        self.moves += len(moves)
        self.reasons.update(each.reason.value for each in moves)
        self.moved += sum(len(move.keys) for move in moves) / KEY_COUNT
        self.table = table.begin(moves) if moves else self.table
        for each in self.table.list_moving():
            lost = each.owner in self.absent
            ends = self.now + (UNPLANNED_MOVE if lost else PLANNED_MOVE)
            self._due.setdefault(each, ends)
