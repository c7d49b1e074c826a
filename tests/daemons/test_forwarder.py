"""Tests of requests that one host passes on to another, with real sockets."""

import contextlib
import random
import struct
import types

import gevent
from gevent import socket
import msgspec
import testtools

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.peers import Peer
from sedgetide.core.membership.peers import PeerList
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.forwarding import ForwardedResult
from sedgetide.core.requests.forwarding import PeerPool
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.daemons._forwardedrequests import DECLINED
from sedgetide.daemons._forwarder import Detour
from sedgetide.daemons._forwarder import FORWARD_PATH
from sedgetide.daemons._forwarder import Forwarder
from sedgetide.daemons._forwardserver import ForwardServer
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.ports import find_port
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request
from tests.daemons.test_requestlog import make_context
from tests.wire.test_client import Server

NORTH = DataCentre("north")
UPSTREAM = IncarnationName("u-1@1")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ANSWERED = ForwardedResult(
    Outcome.ANSWERED,
    status=200,
    headers=[("X-Signature", "7")],
    body=b"whole\x00",
    tried=[UPSTREAM],
)


class ForwarderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.received = []
        self.deployment = types.SimpleNamespace(
            peers=PeerList(), policy=types.SimpleNamespace(version=3)
        )
        self.forwarder = Forwarder(
            HostName("h-1"),
            self.deployment,
            PeerPool(NORTH, random.Random(1)),
            1000,
        )
        self.addCleanup(self.forwarder.close)
        self.context = make_context(Outcome.NOT_RUN)
        times = self.context.times
        now = read_clock()
        self.context.times = type(times)(now, now + 1.0, now + 0.5)

    def add_peer(self, address):
        peers = (*self.deployment.peers.peers, Peer(address, NORTH))
        self.deployment.peers = PeerList(peers)

    def start_peer(self, *results, bodies=1000):
        """Start a peer that returns, or raises, one result after the other."""
        results = list(results)

        def serve(forwarded):
            self.received.append(forwarded)
            result = results.pop(0)
            if callable(result):
                return result()
            return result

        stack = self.enterContext(contextlib.ExitStack())
        server = ForwardServer(serve, CallerLimits, BodyBudget(bodies))
        address = f"127.0.0.1:{find_port()}"
        server.start(address, stack)
        self.add_peer(address)
        return server

    def forward(self):
        return self.forwarder.forward(self.context, "u-1@1")


class TestResult(ForwarderTest):
    def test_request_that_a_peer_has_may_have_run(self):
        # Guards against "not run" of a request that is broken off meanwhile.
        self.start_peer(lambda: gevent.sleep(5.0))
        waiting = gevent.spawn(self.forward)
        gevent.sleep(0.1)
        waiting.kill()
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)

    def test_answer_is_returned_unchanged(self):
        self.start_peer(ANSWERED)
        self.assertIs(Detour.FINAL, self.forward())
        answer = self.context.answer
        self.assertEqual(
            (ANSWERED.status, ANSWERED.headers, ANSWERED.body),
            (answer.status, answer.headers, answer.body),
        )
        self.assertIs(Outcome.ANSWERED, self.context.progress.outcome)
        self.assertEqual([UPSTREAM], self.context.progress.tried)
        self.assertEqual(UPSTREAM, self.context.answered_by)

    def test_upstream_of_an_earlier_answer_is_named(self):
        # Guards against a notice to leave that is taken for that of the
        # upstream that a peer asked last.
        failed = msgspec.structs.replace(
            ANSWERED,
            outcome=Outcome.UNKNOWN,
            status=500,
            tried=["u-2@1", UPSTREAM],
            answered_by="u-2@1",
        )
        self.start_peer(failed)
        self.forward()
        self.assertEqual("u-2@1", self.context.answered_by)

    def test_result_with_an_invalid_status_is_no_answer(self):
        # Guards against callers that get such a status by way of a peer of
        # an earlier version.
        self.start_peer(msgspec.structs.replace(ANSWERED, status=999))
        self.assertIs(Detour.FINAL, self.forward())
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)
        self.assertIsNone(self.context.answer)

    def test_peer_gets_less_time_than_the_caller_has(self):
        # Guards against upstreams that are handed more time than is left.
        self.start_peer(ANSWERED)
        gevent.sleep(0.1)
        self.forward()
        received = self.received[0]
        self.assertLess(received.left, 0.9)
        self.assertGreater(received.elapsed, 0.09)

    def test_refusal_keeps_its_reason_and_its_promise(self):
        result = ForwardedResult(
            Outcome.NOT_RUN, reason="no place", retry_after=0.7
        )
        self.start_peer(result)
        self.assertIs(Detour.FINAL, self.forward())
        self.assertIs(Outcome.NOT_RUN, self.context.progress.outcome)
        self.assertEqual(0.7, self.context.retry_after)
        self.assertIs(RefusalReason.NO_PLACE, self.context.find_reason())

    def test_refusal_does_not_undo_an_earlier_send(self):
        # Guards against "not run" for a request that this host has sent
        # itself before its path was lost.
        self.context.progress.outcome = Outcome.UNKNOWN
        self.start_peer(ForwardedResult(Outcome.NOT_RUN, reason="window"))
        self.forward()
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)

    def test_error_of_a_peer_leaves_the_outcome_open(self):
        # Guards against "not run" where the peer has failed after a send.
        def fail():
            raise ValueError("no result")

        self.start_peer(fail)
        self.assertIs(Detour.FINAL, self.forward())
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)


class TestUnreadable(ForwarderTest):
    """What arrives is no request of a host, or no result of one."""

    def answer_with(self, body):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        peer = Server(head + body)
        self.add_peer(peer.address)

    def check_outcome(self):
        self.assertIs(Detour.FINAL, self.forward())
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)

    def test_foreign_process_at_the_address(self):
        # Guards against an internal error, and against "not run" for a
        # request that somebody has received.
        self.answer_with(b"junk")
        self.check_outcome()

    def test_result_of_very_many_headers(self):
        # Guards against a host that stands while it decodes them.
        headers = [("", "")] * 20_000
        result = msgspec.structs.replace(ANSWERED, headers=headers)
        self.answer_with(msgspec.msgpack.encode(result))
        self.check_outcome()

    def test_request_of_very_many_headers(self):
        # Guards against the same at the peer.
        self.start_peer(ANSWERED, bodies=1_000_000)
        body = msgspec.msgpack.encode(
            ["h", "GET", "/", [("", "")] * 20_000, b"", "c", 3, 0.0, 1.0]
        )
        (peer,) = self.deployment.peers.peers
        connection = Connection(peer.address, 1000)
        connection.open(1.0)
        self.addCleanup(connection.close)
        request = Request("POST", FORWARD_PATH, [("Host", "a")], body)
        answer = connection.exchange(request, 5.0)
        self.assertEqual(400, answer.status)
        self.assertEqual([], self.received)


class TestOtherPeers(ForwarderTest):
    def test_next_peer_is_asked_after_one_has_declined(self):
        self.start_peer(DECLINED, DECLINED)
        self.start_peer(ANSWERED, ANSWERED)
        for _ in range(2):
            self.assertIs(Detour.FINAL, self.forward())
        self.assertIs(Outcome.ANSWERED, self.context.progress.outcome)

    def test_no_peer_reaches_the_upstream(self):
        self.start_peer(DECLINED)
        self.assertIs(Detour.DECLINED, self.forward())
        self.assertIs(Outcome.NOT_RUN, self.context.progress.outcome)
        self.assertIs(Failure.UNREACHABLE, self.context.progress.failure)

    def test_lost_peer_has_not_run_it(self):
        self.add_peer(f"127.0.0.1:{find_port()}")
        self.assertIs(Detour.DECLINED, self.forward())
        self.assertIs(Outcome.NOT_RUN, self.context.progress.outcome)

    def test_peer_without_memory_for_the_body_declines(self):
        self.start_peer(ANSWERED, bodies=0)
        self.assertIs(Detour.DECLINED, self.forward())
        self.assertEqual([], self.received)

    def test_stopping_peer_declines(self):
        # Guards against requests that a planned stop breaks off.
        self.start_peer(ANSWERED).begin_stop()
        self.assertIs(Detour.DECLINED, self.forward())


class TestLostPeer(ForwarderTest):
    def test_connection_that_breaks_leaves_the_outcome_open(self):
        # Guards against "not run", and against another send of a request
        # that may run once, after the loss of a peer.
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)

        def reset():
            connection, _ = listener.accept()
            connection.recv(100)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            connection.close()

        self.addCleanup(gevent.spawn(reset).kill)
        self.add_peer(f"127.0.0.1:{listener.getsockname()[1]}")
        self.assertIs(Detour.BROKEN, self.forward())
        self.assertIs(Outcome.UNKNOWN, self.context.progress.outcome)
        self.assertIs(Failure.BROKEN, self.context.progress.failure)

    def test_leaving_caller_ends_the_work_of_the_peer(self):
        # Guards against upstreams that work on for callers that have left.
        ended = []

        def wait():
            try:
                gevent.sleep(5.0)
            except gevent.GreenletExit:
                ended.append(read_clock())
                raise

        self.start_peer(wait)
        task = gevent.spawn(self.forward)
        gevent.sleep(0.1)
        began = read_clock()
        task.kill()
        gevent.sleep(0.1)
        self.assertLess(ended[0] - began, 0.1)
