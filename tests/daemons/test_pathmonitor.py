"""Tests of probes and connections of lost paths, with real sockets."""

import time
from unittest import mock

import gevent
import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from tests.daemons.eventcapture import capture_events


class TestPathMonitor(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.events = capture_events(self)
        self.directory = UpstreamDirectory()
        self.channels = UpstreamChannels(1000)
        self.addCleanup(self.channels.close)
        self.monitor = PathMonitor(self.directory, self.channels)
        self.upstreams = [self.start_upstream(each) for each in range(3)]

    def start_upstream(self, number):
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        upstream = RegisteredUpstream(
            UpstreamName(f"u-{number}"),
            ServiceName("map"),
            f"127.0.0.1:{listener.getsockname()[1]}",
            DataCentre("north"),
        )
        self.directory.put(upstream, read_clock())
        return upstream

    def list_idle(self):
        return [
            each
            for each in self.upstreams
            if self.channels.find(each).pool.has_idle
        ]

    def lose_paths(self, seconds=2.0):
        for each in self.upstreams:
            self.channels.find(each).pool.open_spare(1.0)
        began = read_clock() - seconds
        for each in self.channels._channels.values():
            for connection in each.pool._idle:
                connection.opened_at = began - 1.0
        for each in self.upstreams[:2]:
            self.monitor.tracker.note_missed(each, began)

    def test_connections_from_before_the_loss_are_not_used_again(self):
        # Guards against an unknown outcome of requests that are sent on
        # connections which ended while the path was lost.
        self.lose_paths()
        self.monitor.note_connected(self.upstreams[0])
        self.assertEqual([], self.list_idle())

    def test_new_connections_are_kept_after_a_suspension(self):
        # Guards against ages that are computed across two clocks: each
        # connection seems to be from before the loss once the machine was
        # suspended.
        read = time.monotonic
        suspended = mock.patch("time.monotonic", lambda: read() - 1e5)
        self.enterContext(suspended)
        self.monitor.tracker.note_missed(self.upstreams[0], read_clock() - 2.0)
        self.channels.find(self.upstreams[0]).pool.open_spare(1.0)
        self.monitor.note_connected(self.upstreams[0])
        self.assertEqual(self.upstreams[:1], self.list_idle())

    def test_short_doubt_ends_no_connections(self):
        # Guards against new connections to all upstreams of a data centre in
        # which two have ended.
        self.lose_paths(seconds=0.3)
        self.monitor.note_connected(self.upstreams[0])
        self.assertEqual(self.upstreams, self.list_idle())

    def test_connections_of_probes_are_kept(self):
        # Guards against a new connection for each probe.
        self.lose_paths()
        self.monitor.run_periodic(read_clock())
        gevent.sleep(0.05)
        self.assertEqual(self.upstreams, self.list_idle())
        self.assertFalse(self.monitor.is_doubtful(self.upstreams[0]))

    def test_ended_upstreams_put_the_others_in_doubt_for_a_moment(self):
        # Guards against requests that are passed on for a fifth of a second,
        # because two upstreams of a data centre ended at the same time. Only
        # the probe at once can end the doubt, as nothing runs the periodic
        # ones.
        for each in self.upstreams[:2]:
            self.monitor.note_missed(each)
        self.assertTrue(self.monitor.is_doubtful(self.upstreams[2]))
        with gevent.Timeout(10.0):
            while self.monitor.is_doubtful(self.upstreams[2]):
                gevent.sleep(0.001)

    def test_upstream_that_was_not_reached_is_not_logged_as_reached(self):
        # Guards against a line that says what nothing has shown.
        self.lose_paths()
        self.monitor._log_changes(read_clock())
        self.monitor.note_connected(self.upstreams[0])
        self.monitor._log_changes(read_clock())
        reached = [
            each["upstream"]
            for each in self.events
            if each["msg"] == "upstream-reached"
        ]
        self.assertEqual(["u-0"], reached)

    def test_loss_and_return_are_logged_once(self):
        self.lose_paths()
        for _ in range(2):
            self.monitor.run_periodic(read_clock())
        gevent.sleep(0.05)
        for _ in range(2):
            self.monitor.run_periodic(read_clock())
        self.assertEqual(
            [
                "upstream-missed",
                "upstream-missed",
                "path-lost",
                "upstream-reached",
                "upstream-reached",
                "path-regained",
            ],
            [each["msg"] for each in self.events],
        )
