"""Tests of distinguishing a crash from a full upstream, with real sockets."""

import struct
from unittest import mock

import gevent
from gevent import socket
import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.brokenruns import LossProof
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.ports import find_port
from sedgetide.wire.messages import Request

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def make_context(number=1):
    return RequestContext(
        Request("GET", "/x", [("Host", "h")], b"", "100.64.0.9"),
        CallerFields(RequestId(f"r{number}"), 1.0, None),
        None,
        ServiceName("map"),
        False,
        None,
        Progress(),
    )


class TestCrashDetector(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = UpstreamDirectory()
        self.ended = []
        self.detector = CrashDetector(
            self.directory,
            lambda ended, now: self.ended.append(ended),
            PathMonitor(self.directory, None),
        )

    def put(self, address, leaving=False, name="map-1"):
        upstream = RegisteredUpstream(
            UpstreamName(name),
            ServiceName("map"),
            address,
            DataCentre("north"),
            leaving=leaving,
        )
        self.directory.put(upstream, 0.0)
        return upstream

    def serve(self, handle):
        listener = open_listener("127.0.0.1", 0)
        self.accepted = 0

        def accept():
            while True:
                connection, _ = listener.accept()
                self.accepted += 1
                handle(connection)

        task = gevent.spawn(accept)
        self.addCleanup(listener.close)
        self.addCleanup(task.kill)
        return self.put(f"127.0.0.1:{listener.getsockname()[1]}")

    def test_process_that_has_ended(self):
        upstream = self.put(f"127.0.0.1:{find_port()}")
        self.detector.note_broken(make_context(), upstream)
        self.assertEqual(LossProof.REFUSED, self.ended[0].proof)
        self.assertEqual(["r1"], [run.request for run in self.ended[0].runs])

    def test_one_of_several_processes_has_ended(self):
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        running = f"127.0.0.1:{listener.getsockname()[1]}"
        for number in range(2, 5):
            self.put(running, name=f"map-{number}")
        upstream = self.put(f"127.0.0.1:{find_port()}")
        self.detector.note_broken(make_context(), upstream)
        self.assertEqual(["map-1"], [each.upstream for each in self.ended])

    def test_path_that_refuses_connections_to_all_upstreams(self):
        # Guards against sound upstreams that are declared ended, and sound
        # requests that become suspect, at a host whose connections are reset.
        upstreams = [
            self.put(f"127.0.0.1:{find_port()}", name=f"map-{number}")
            for number in range(8)
        ]
        for number, upstream in enumerate(upstreams):
            self.detector.note_broken(make_context(number), upstream)
        self.assertEqual([], self.ended)

    def withdraw_after_a_caller_left(self, upstream):
        context = make_context()
        now = read_clock()
        context.times = RequestTimes(now, now + 1.0, now + 1.0)
        self.detector.note_abandoned(context, upstream)
        self.directory.remove(upstream.registered_name, now)
        self.detector.run_periodic(now)
        gevent.sleep(0.2)
        return [run.request for each in self.ended for run in each.runs]

    def test_crash_after_the_caller_left(self):
        # Guards against a request that crashes one upstream after the other,
        # as its callers leave before.
        upstream = self.put(f"127.0.0.1:{find_port()}")
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        other = f"127.0.0.1:{listener.getsockname()[1]}"
        self.put(other, name="map-2")
        self.assertEqual(["r1"], self.withdraw_after_a_caller_left(upstream))

    def test_withdrawn_upstream_that_goes_on_after_the_caller_left(self):
        # Guards against sound requests that are suspected when upstreams are
        # taken away without an announcement.
        upstream = self.serve(lambda connection: None)
        self.assertEqual([], self.withdraw_after_a_caller_left(upstream))

    def test_full_upstream_that_resets_new_connections(self):
        """A full upstream resets a request and each new connection.

        It is still running and serves other requests. If this were taken for
        a crash, the requests sent during an overload would become suspects.
        """

        def reset(connection):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            connection.close()

        upstream = self.serve(reset)
        self.detector.note_broken(make_context(), upstream)
        gevent.sleep(0.05)
        self.detector.run_periodic(read_clock())
        self.assertEqual([], self.ended)

    def test_full_upstream_is_not_probed_for_each_request(self):
        upstream = self.serve(lambda connection: connection.close())
        clock = "sedgetide.daemons._crashdetector.read_clock"
        with mock.patch(clock, autospec=True, return_value=read_clock()):
            for number in range(50):
                self.detector.note_broken(make_context(number), upstream)
        gevent.sleep(0.01)
        self.assertEqual(1, self.accepted)

    def test_announced_end_is_no_crash(self):
        upstream = self.put(f"127.0.0.1:{find_port()}", leaving=True)
        self.detector.note_broken(make_context(), upstream)
        self.assertEqual([], self.ended)

    def test_registry_entry_that_disappears_later_proves_the_end(self):
        upstream = self.serve(lambda connection: None)
        self.detector.note_broken(make_context(), upstream)
        self.directory.remove(upstream.registered_name, read_clock())
        self.detector.run_periodic(read_clock())
        self.assertEqual(LossProof.WITHDRAWN, self.ended[0].proof)
