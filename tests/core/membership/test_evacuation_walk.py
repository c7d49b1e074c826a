"""A walk of hosts through evacuations, in passed-in time.

The store tells of wishes and take-backs; hosts hear of them late, are kept
from the store, stand still, and start anew with nothing remembered. No leader
moves any key: owners stay where they are, so that what hosts decide on their
own is all that keeps a data centre empty.
"""

import random
from unittest import mock

import msgspec
import testtools

from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.ownership.ranges import KEY_COUNT
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.attempts import find_owner
from sedgetide.core.requests.attempts import list_candidates
from sedgetide.core.requests.attempts import Target

CENTRES = ("a", "b", "c")
ALLOWED = 5.0
# Seconds of calm after which a host has to keep to what is allowed.
TOUCH = 3.0
# Seconds; a host that reaches the store hears of a change within it.
NEWS = 1.0
STEP = 0.1
SEEDS = range(40)


class Change(msgspec.Struct, frozen=True):
    at: float
    data_centre: str
    asked: bool


class Host:
    def __init__(self, now):
        self.away_until = 0.0
        self.paused_until = 0.0
        self.restart(now)

    def restart(self, now):
        self.directory = UpstreamDirectory(evacuations=Evacuations(ALLOWED))
        for name in CENTRES:
            entry = RegisteredUpstream(f"u-{name}", "maps", "1.1.1.1:1", name)
            self.directory.put(entry, now)
        self.known = 0
        self.heard_at = float("-inf")
        self.calm_since = now

    def hear(self, changes, now):
        """Take in what the store tells, in the order in which it came."""
        evacuations = self.directory.evacuations
        for each in changes[self.known :]:
            if each.asked:
                evacuations.start(each.data_centre, self.heard_at, now)
            else:
                evacuations.cancel(each.data_centre, now)
        self.known = len(changes)
        self.heard_at = now


class Walk:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.hosts = [Host(self.now) for _ in range(4)]
        self.table = RangeTable().assign_first(
            [(f"u-{name}", 1) for name in CENTRES]
        )
        self.changes = []
        self.asked = {}
        self.late = []
        self.kept_out = 0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            if self.random.random() < 0.03:
                self._wish()
            if self.random.random() < 0.03:
                self._strike()
            for host in self.hosts:
                if self.now >= host.paused_until:
                    self._step(host)
        return self

    def _wish(self):
        name = self.random.choice(CENTRES)
        asked = name not in self.asked
        self.changes.append(Change(self.now, name, asked))
        if asked:
            self.asked[name] = self.now
        else:
            del self.asked[name]

    def _strike(self):
        host = self.random.choice(self.hosts)
        until = self.now + self.random.choice((0.5, 2.0, 6.0))
        kind = self.random.choice(("restart", "away", "pause"))
        if kind == "restart":
            host.restart(self.now)
        elif kind == "away":
            host.away_until = until
        else:
            host.paused_until = until
        host.calm_since = max(host.calm_since, until)

    def _step(self, host):
        if self.now >= host.away_until:
            due = [each.at for each in self.changes[host.known :]]
            late = due and self.now - due[0] >= self.random.uniform(0, NEWS)
            first = host.heard_at == float("-inf")
            if first or late or self.random.random() < 0.3:
                host.hear(self.changes, self.now)
        if host.heard_at > float("-inf"):
            self._send(host)

    def _send(self, host):
        key = self.random.randrange(KEY_COUNT)
        found = find_owner(self.table, key, host.directory, self.now)
        reached = []
        if isinstance(found, Target):
            reached.append(found.upstream.data_centre)
        else:
            self.kept_out += 1
        candidates = list_candidates(host.directory, "maps", (), self.now)
        reached += [each.data_centre for each in candidates]
        if self.now < host.calm_since + TOUCH:
            return
        for name in reached:
            asked_at = self.asked.get(name)
            if asked_at is not None and self.now > asked_at + ALLOWED:
                self.late.append((self.now, name))


def walk():
    walks = [Walk(seed).run(120.0) for seed in SEEDS]
    return sum(len(each.late) for each in walks), sum(
        each.kept_out for each in walks
    )


class TestWalk(testtools.TestCase):
    def test_nothing_is_sent_there_too_late(self):
        late, kept_out = walk()
        self.assertEqual(0, late)
        # A walk in which all may always be sent proves nothing.
        self.assertGreater(kept_out, 1000)


class TestSafeguards(testtools.TestCase):
    """Without any one of them the walk finds a request sent too late."""

    def check_found(self, name, replacement):
        with mock.patch.object(Evacuations, name, replacement):
            late, _ = walk()
        self.assertGreater(late, 0)

    def test_owners_serve_until_their_keys_have_moved(self):
        self.check_found("may_serve", lambda *_: True)

    def test_wish_counts_from_when_it_is_heard(self):
        real = Evacuations.start

        def start(evacuations, data_centre, heard_at, now):
            return real(evacuations, data_centre, now, now)

        self.check_found("start", start)

    def test_new_work_goes_there_as_long_as_owners_serve(self):
        self.check_found("is_evacuating", lambda *_: False)
