"""Random walk of hosts through evacuations in simulated time.

The store announces evacuations and their cancellation. Hosts learn of them
late, lose contact with the store, are suspended, and restart without state.
No leader moves any keys, so a data centre gets no requests only because of
decisions that the hosts make themselves.
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

DATA_CENTRES = ("a", "b", "c")
ALLOWED = 5.0
# Seconds without faults after which a host must comply.
SETTLING_TIME = 3.0
# Seconds within which a host that reaches the store learns of a change.
MAX_NEWS_DELAY = 1.0
STEP = 0.1
SEEDS = range(40)


class Change(msgspec.Struct, frozen=True):
    at: float
    data_centre: str
    asked: bool


class Host:
    def __init__(self, now):
        self.store_lost_until = 0.0
        self.paused_until = 0.0
        self.restart(now)

    def restart(self, now):
        self.directory = UpstreamDirectory(evacuations=Evacuations(ALLOWED))
        for name in DATA_CENTRES:
            entry = RegisteredUpstream(f"u-{name}", "maps", "1.1.1.1:1", name)
            self.directory.put(entry, now)
        self.known = 0
        self.heard_at = float("-inf")
        self.fault_free_since = now

    def receive(self, changes, now):
        """Apply the changes announced by the store in order."""
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
            [(f"u-{name}", 1) for name in DATA_CENTRES]
        )
        self.changes = []
        self.asked = {}
        self.late = []
        self.not_sent = 0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            if self.random.random() < 0.03:
                self._change_evacuation()
            if self.random.random() < 0.03:
                self._inject_fault()
            for host in self.hosts:
                if self.now >= host.paused_until:
                    self._step(host)
        return self

    def _change_evacuation(self):
        name = self.random.choice(DATA_CENTRES)
        asked = name not in self.asked
        self.changes.append(Change(self.now, name, asked))
        if asked:
            self.asked[name] = self.now
        else:
            del self.asked[name]

    def _inject_fault(self):
        host = self.random.choice(self.hosts)
        until = self.now + self.random.choice((0.5, 2.0, 6.0))
        kind = self.random.choice(("restart", "away", "pause"))
        if kind == "restart":
            host.restart(self.now)
        elif kind == "away":
            host.store_lost_until = until
        else:
            host.paused_until = until
        host.fault_free_since = max(host.fault_free_since, until)

    def _step(self, host):
        if self.now >= host.store_lost_until:
            due = [each.at for each in self.changes[host.known :]]
            late = due and self.now - due[0] >= self.random.uniform(
                0, MAX_NEWS_DELAY
            )
            first = host.heard_at == float("-inf")
            if first or late or self.random.random() < 0.3:
                host.receive(self.changes, self.now)
        if host.heard_at > float("-inf"):
            self._send(host)

    def _send(self, host):
        key = self.random.randrange(KEY_COUNT)
        found = find_owner(self.table, key, host.directory, self.now)
        reached = []
        if isinstance(found, Target):
            reached.append(found.upstream.data_centre)
        else:
            self.not_sent += 1
        candidates = list_candidates(host.directory, "maps", (), self.now)
        reached += [each.data_centre for each in candidates]
        if self.now < host.fault_free_since + SETTLING_TIME:
            return
        for name in reached:
            asked_at = self.asked.get(name)
            if asked_at is not None and self.now > asked_at + ALLOWED:
                self.late.append((self.now, name))


def walk():
    walks = [Walk(seed).run(120.0) for seed in SEEDS]
    return sum(len(each.late) for each in walks), sum(
        each.not_sent for each in walks
    )


class TestWalk(testtools.TestCase):
    def test_nothing_is_sent_there_too_late(self):
        late, not_sent = walk()
        self.assertEqual(0, late)
        # A walk in which every request may be sent proves nothing.
        self.assertGreater(not_sent, 1000)


class TestSafeguards(testtools.TestCase):
    """Without any one safeguard the walk finds a request sent too late."""

    def check_found(self, name, replacement):
        with mock.patch.object(Evacuations, name, replacement):
            late, _ = walk()
        self.assertGreater(late, 0)

    def test_owners_serve_until_their_keys_have_moved(self):
        self.check_found("may_serve", lambda *_: True)

    def test_evacuation_counts_from_when_it_is_heard_of(self):
        real = Evacuations.start

        def start(evacuations, data_centre, heard_at, now):
            return real(evacuations, data_centre, now, now)

        self.check_found("start", start)

    def test_new_work_goes_there_as_long_as_owners_serve(self):
        self.check_found("is_evacuating", lambda *_: False)
