"""Tests of the wait for a place at an upstream."""

import gevent
import testtools

from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.idleconnections import IdleLimit
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._upstreamchannels import UpstreamChannel
from sedgetide.runtime.clock import read_clock


class TestLane(testtools.TestCase):
    """Who may be sent, who waits, and who hears at once that it may not."""

    def setUp(self):
        super().setUp()
        upstream = RegisteredUpstream("u-1", "maps", "127.0.0.1:1", "dc", 2)
        self.lane = UpstreamChannel(upstream, 1000, IdleLimit())
        self.addCleanup(self.lane.close)

    def crowd(self):
        for _ in range(50):
            self.lane.window.note_load(UpstreamLoad(2, 6, 2), read_clock())

    def test_hopeless_wait_is_refused_at_once(self):
        # One key gets two fifths of the traffic. Its upstream takes one
        # request of this host every four seconds; whoever asks for the key
        # meanwhile would be held for a quarter of a second and refused
        # then, with less time left to come again.
        self.crowd()
        self.assertTrue(self.lane.enter(1, 0.25))
        self.lane.leave()
        began = read_clock()
        self.assertFalse(self.lane.enter(1, 0.25))
        self.assertLess(read_clock() - began, 0.1)
        self.assertGreater(self.lane.estimate_wait(1), 0.25)

    def test_place_that_comes_in_time_is_waited_for(self):
        self.assertTrue(self.lane.enter(1, 0.0))
        self.assertTrue(self.lane.enter(1, 0.0))
        waiting = gevent.spawn(self.lane.enter, 1, 5.0)
        gevent.sleep(0)
        self.lane.leave()
        self.assertTrue(waiting.get(timeout=5.0))

    def test_urgent_request_does_not_count_those_behind_it(self):
        for _ in range(2):
            self.lane.enter(1, 0.0)
        tasks = [gevent.spawn(self.lane.enter, 2, 5.0) for _ in range(4)]
        gevent.sleep(0)
        urgent = self.lane.estimate_wait(1)
        self.assertLess(urgent, self.lane.estimate_wait(2))
        gevent.killall(tasks)
