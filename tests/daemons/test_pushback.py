"""Tests of upstreams that push back on senders, with real processes."""

import collections
import pathlib
import re
import shutil
import tempfile

import gevent
import msgspec
import testtools

from sedgetide.testing.proxies import Mode
from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import SAID
from sedgetide.testing.remarks import BACKOFF
from sedgetide.testing.remarks import LEAVING
from sedgetide.testing.remarks import LIMIT
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakpushback import find_ignored

CALLERS = 14
KEYED, PLAIN = 0, 4
# Seconds after its start at which an upstream begins to push back.
SAID_AT = 4.0
# Requests a second.
LIMITS = {KEYED: 2.2, PLAIN: 1.3}
LIMITED_FOR = 15.0
LEAVING_FOR = 10.0
BACKOFF_FOR = 12.0
# Seconds from the announcement of a shutdown until the keys have moved.
MOVED_WITHIN = 1.0
# Seconds until a limit counts as lasting and some rounds of moves are done.
BALANCED_WITHIN = 7.0
# Status and note of a request refused because its owner's window was full.
FULL = ("503", "window")
_REASON = re.compile(r" status=(\d+) .* note=(\S*)")
_KEPT = pathlib.Path("build")


class PushbackTest(testtools.TestCase):
    """Base class with two upstreams that push back, one of them with keys."""

    def start(self, words):
        """Start a fleet with a list of remarks to answer for each upstream."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.addOnException(lambda _: self.keep(folder))
        says = {
            number: [f"{SAID_AT}:{word}" for word in words[number]]
            for number in words
        }
        self.fleet = Fleet(folder, 0.0, says=says)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def keep(self, folder):
        """Keep the output of all processes of a run that failed."""
        shutil.copytree(folder, _KEPT / self.id(), dirs_exist_ok=True)

    def play(self, seconds):
        """Send callers' requests for some seconds."""
        callers = [Caller(each, self.fleet, 1) for each in range(CALLERS)]
        tasks = [gevent.spawn(each.run) for each in callers]
        gevent.sleep(seconds)
        gevent.killall(tasks)
        self.asked = [ask for each in callers for ask in each.asked]
        self.events = self.fleet.read_events()
        self.assertEqual([], find_ignored(self.events, self.asked))

    def find_reason(self, number):
        """Return the status of a request and why it was refused."""
        for host in self.fleet.hosts:
            for line in host.program.output.read_text().splitlines():
                if f" id={number} " in line and "event=request " in line:
                    return _REASON.search(line).groups()
        return None

    def count_arrived(self):
        """Count the requests that reached each upstream that pushes back."""
        return collections.Counter(
            each.upstream for each in self.events if each.kind == ARRIVED
        )


class TestLimit(PushbackTest):
    def test_hosts_together_respect_a_rate_limit(self):
        # Guards against a limit that is ignored, or that each host applies to
        # its own requests only.
        self.start({each: [f"limit:{LIMITS[each]}"] for each in LIMITS})
        self.play(LIMITED_FOR)
        words = [each for each in self.events if LIMIT in each.said]
        counts = collections.Counter(each.upstream for each in words)
        self.assertGreater(self.count_arrived().total(), len(words))
        self.assertEqual(len(LIMITS), len(counts), counts)
        for upstream, count in counts.items():
            limit = LIMITS[int(upstream.split("-")[1])]
            span = words[-1].at - words[0].at
            self.assertGreater(count, 0.5 * limit * span, upstream)

    def test_keys_move_from_an_upstream_whose_limit_lasts(self):
        # Guards against refusing requests for the keys until the limit ends.
        self.start({KEYED: [f"limit:{LIMITS[KEYED]}"]})
        self.play(LIMITED_FOR)
        first = min(each.at for each in self.events if LIMIT in each.said)
        late = [ask for ask in self.asked if ask.at > first + BALANCED_WITHIN]
        served = sum(1 for ask in late if ask.status == 200)
        state = call(self.fleet.hosts[0].admin_port, "GET", "/state")
        asked = msgspec.json.decode(state.body)["knowledge"]["asked"]
        self.assertEqual([LIMITS[KEYED]], list(asked["limits"].values()))
        self.assertGreater(served, 0.9 * len(late))


class TestLeaving(PushbackTest):
    def test_announced_shutdown_is_respected_without_the_store(self):
        # Guards against sends to an upstream whose shutdown is announced only
        # in its answers.
        self.start({KEYED: ["leaving:1"], PLAIN: ["leaving:1"]})
        for host in self.fleet.hosts:
            host.store.mode = Mode.CUT
        self.play(LEAVING_FOR)
        announced = {
            each.upstream
            for each in self.events
            if each.kind == SAID and LEAVING in each.said
        }
        self.assertEqual(2, len(announced))

    def test_keys_move_from_an_upstream_that_leaves(self):
        # Guards against keys that stay until the registry entry changes.
        self.start({KEYED: ["leaving:1"]})
        self.play(LEAVING_FOR)
        moved = (
            max(each.at for each in self.events if LEAVING in each.said)
            + MOVED_WITHIN
        )
        late = [ask for ask in self.asked if ask.at > moved]
        ended = late[-1].at - DEADLINE
        late = [ask for ask in late if ask.at < ended]
        refused = [ask.number for ask in late if ask.status != 200]
        self.assertLess(len(refused), 0.1 * len(late))
        # Three of four upstreams are left, whose windows may be full at times.
        self.assertLessEqual(
            {self.find_reason(number) for number in refused}, {FULL}
        )


class TestBackoff(PushbackTest):
    def test_host_backs_off_for_as_long_as_requested(self):
        # Guards against callers' retries that reach an upstream during its
        # backoff.
        self.start({KEYED: ["backoff:3"], PLAIN: ["backoff:2.5"]})
        self.play(BACKOFF_FOR)
        words = [each for each in self.events if BACKOFF in each.said]
        self.assertEqual(2, len({each.upstream for each in words}))
        held = [ask.retry_after for ask in self.asked if ask.retry_after > 1.0]
        self.assertGreater(max(held, default=0.0), 2.0)
