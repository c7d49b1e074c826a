"""Upstreams that name a limit for all hosts together, as real processes."""

import collections
import pathlib
import shutil
import tempfile

import gevent
import testtools

from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import SAID
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakpushback import find_over_limit

CALLERS = 14
SECONDS = 15.0
KEYED, PLAIN = 0, 4
# Requests a second, from so many seconds after the start on.
LIMITS = {KEYED: 2.2, PLAIN: 1.3}
NAMED_AT = 4.0
_KEPT = pathlib.Path("build")


class TestLimitedUpstreams(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.addOnException(lambda _: self.keep(folder))
        says = {
            number: [f"{NAMED_AT}:limit:{limit}"]
            for number, limit in LIMITS.items()
        }
        self.fleet = Fleet(folder, 0.0, says=says)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def keep(self, folder):
        """Keep the output of all processes of a run that failed."""
        shutil.copytree(folder, _KEPT / self.id(), dirs_exist_ok=True)

    def play(self):
        """Have callers ask for a while; return the host of each request."""
        callers = [Caller(each, self.fleet, 1) for each in range(CALLERS)]
        tasks = [gevent.spawn(each.run) for each in callers]
        gevent.sleep(SECONDS)
        gevent.killall(tasks)
        asked = [ask for each in callers for ask in each.asked]
        return {ask.number: ask.host for ask in asked}

    def test_hosts_together_keep_to_a_named_limit(self):
        # Guards against a limit that nobody keeps, or each host on its own.
        hosts = self.play()
        events = self.fleet.read_events()
        self.assertEqual([], find_over_limit(events, hosts))
        limited = [each for each in events if each.kind == SAID and each.said]
        counts = collections.Counter(each.upstream for each in limited)
        sent = sum(1 for each in events if each.kind == ARRIVED)
        self.assertGreater(sent, len(limited))
        self.assertEqual(len(LIMITS), len(counts), counts)
        for upstream, count in counts.items():
            limit = LIMITS[int(upstream.split("-")[1])]
            span = limited[-1].at - limited[0].at
            self.assertGreater(count, 0.5 * limit * span, upstream)
