"""Tests of the HTTP server, with real sockets."""

import contextlib
import socket
import time
from unittest import mock

import gevent
from gevent.event import Event
from gevent.socket import create_connection
from gevent.socket import SHUT_WR
import msgspec
import testtools

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.closures import CloseReason
from sedgetide.core.requests.loopshares import ConnectionShare
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from sedgetide.wire.messages import Answer
from sedgetide.wire.server import CallerConnection
from sedgetide.wire.server import Server

LIMITS = CallerLimits(2000, 1000, 0.3, 0.5)

# Seconds of processor time.
WORK = 0.005
# Seconds after which a test gives up; 80 responses take 0.7 s.
LAST_RESPONSE = 30.0
# Keepalive probes in a row that may be lost.
LOST_PROBES = 2


class Service:
    """Answers with the target; some targets wait for a gate."""

    def __init__(self):
        self.began = []
        self.ended = []
        self.gates = {}

    def serve(self, request):
        self.began.append(request.target)
        try:
            gate = self.gates.get(request.target)
            if gate is not None:
                gate.wait()
            self.ended.append(request.target)
            return Answer(
                200,
                [("X-Body", str(len(request.body)))],
                request.target.encode(),
            )
        except gevent.GreenletExit:
            self.ended.append("left " + request.target)
            raise


class TestServer(testtools.TestCase):
    """Order of responses, detection of closes, and limits of parsing."""

    def setUp(self):
        super().setUp()
        self.service = Service()
        self.server = Server(
            self.service.serve,
            lambda request: request.method == "GET",
            lambda: LIMITS,
        )
        listener = open_listener("127.0.0.1", 0)
        self.address = listener.getsockname()
        self.server.start(listener)
        self.addCleanup(self.server.stop_accepting)

    def connect(self):
        client = create_connection(self.address, timeout=2.0)
        self.addCleanup(client.close)
        return client

    def test_uploads_that_do_not_fit_are_refused_at_once(self):
        # Four callers upload concurrently to a host with memory for two
        # bodies. Without the limit, a few dozen uploads exhaust the memory
        # and end the process with all its running requests.
        self.server.bodies = BodyBudget(2000)
        refusals = []
        self.server.note_refusal = lambda request, seconds: refusals.append(
            (request.target, seconds)
        )
        gate = self.hold("/slow")
        upload = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n"
        upload += b"\r\n" + b"x" * 900
        clients = [self.connect() for _ in range(4)]
        for client in clients:
            client.sendall(upload)
            gevent.sleep(0.02)
        for client in clients[2:]:
            answer = self.read(client, b"\r\n\r\n")
            self.assertIn(b"HTTP/1.1 503", answer)
            self.assertIn(b"Retry-After: 1\r\n", answer)
        self.assertEqual([("/slow", 1.0)] * 2, refusals)
        self.assertEqual(["/slow", "/slow"], self.service.began)
        gate.set()
        for client in clients[:2]:
            self.assertIn(b"X-Body: 900", self.read(client, b"/slow"))
        gevent.sleep(0.02)
        self.assertEqual(0, self.server.bodies.held)

    def test_caller_who_leaves_in_an_upload_holds_nothing(self):
        client = self.connect()
        client.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\nxx"
        )
        gevent.sleep(0.02)
        self.assertEqual(2, self.server.bodies.held)
        client.close()
        gevent.sleep(0.05)
        self.assertEqual(0, self.server.bodies.held)

    def hold(self, target):
        gate = self.service.gates[target] = Event()
        return gate

    def read(self, client, wanted):
        data = b""
        with contextlib.suppress(TimeoutError), gevent.Timeout(2.0, False):
            while wanted not in data:
                block = client.recv(65536)
                if not block:
                    break
                data += block
        return data

    def ask(self, client, *targets, method="GET"):
        client.sendall(
            b"".join(
                f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
                for target in targets
            )
        )

    def test_connection_is_kept(self):
        client = self.connect()
        for target in ("/1", "/2"):
            self.ask(client, target)
            answer = self.read(client, target.encode())
            self.assertIn(b"200", answer)
            self.assertNotIn(b"Connection: close", answer)

    def test_lost_keepalive_probes_leave_a_waiting_caller_connected(self):
        # Guards against callers that lose their answer to a single lost
        # packet: the user timeout decides when probes are given up, whatever
        # their number, and the first probe is sent after one interval.
        client = self.connect()
        self.ask(client, "/1")
        self.read(client, b"/1")
        (connection,) = self.server.connections
        read = connection._socket.getsockopt
        limit = read(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / 1000.0
        idle = read(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = read(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        self.assertGreater(limit, idle + LOST_PROBES * interval)

    def test_connection_is_not_idle_before_a_start_after_a_pause(self):
        """Guards against a stop that drops a request that has been read."""
        end, other = socket.socketpair()
        self.addCleanup(end.close)
        self.addCleanup(other.close)
        connection = CallerConnection(self.server, end, "")
        connection._reader = mock.Mock()
        connection._starts.find_pause = lambda now: 0.01
        waiting = gevent.spawn(connection._wait_for_start, mock.Mock())
        gevent.sleep(0)
        self.assertFalse(connection.is_idle)
        waiting.get()
        self.assertTrue(connection.is_idle)

    def test_parsing_before_a_wait_for_a_response_is_charged(self):
        """Guards against a caller that uses more of the loop than its share.

        Its requests run one after another, and the work of parsing each of
        them was forgotten at the wait for the response before it.
        """
        end, other = socket.socketpair()
        self.addCleanup(end.close)
        self.addCleanup(other.close)
        charged = []
        connection = CallerConnection(self.server, end, "")
        connection._share.charge = lambda work, now: charged.append(work) or 0
        connection._buffer += b"x" * 65536
        connection._pending.append(mock.Mock())
        connection._resume()
        began = time.thread_time()
        while time.thread_time() - began < WORK:
            pass
        gevent.spawn(connection._sent.set)
        connection._receive_while_busy()
        connection._end_slice()
        self.assertGreaterEqual(charged, [WORK])

    def test_many_requests_in_hand_are_started_one_after_another(self):
        """Guards against a caller that takes the places of all others."""
        running, most, ranks, deep = [], [], [], []

        def serve(request):
            running.append(request)
            most.append(len(running))
            ranks.append(request.rank)
            deep.append(self.server.count_deep())
            gevent.sleep(0.001)
            running.remove(request)
            return Answer(200, [], congested=True)

        self.server.serve = serve
        client = self.connect()
        client.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n" * 80)
        received = b""
        with gevent.Timeout(LAST_RESPONSE):
            while received.count(b"HTTP/1.1 200") < 80:
                received += client.recv(65536)
        self.assertEqual([1] * 20, most[-20:])
        self.assertEqual([0] * 4, ranks[:4])
        self.assertEqual([1] * 20, ranks[-20:])
        self.assertEqual([1] * 20, deep[-20:])
        self.ask(client, "/single")
        self.read(client, b"HTTP/1.1 200")
        self.assertEqual((0, 0), (ranks[-1], deep[-1]))

    def test_pipelined_requests_run_together_and_answer_in_order(self):
        first = self.hold("/1")
        client = self.connect()
        self.ask(client, "/1", "/2")
        gevent.sleep(0.05)
        self.assertEqual(["/2"], self.service.ended)
        first.set()
        data = self.read(client, b"/2")
        self.assertLess(data.index(b"/1"), data.index(b"/2"))

    def test_unsafe_request_waits_for_those_before_it(self):
        # The caller may give up the first request and retry both. It could
        # not tell a second one that has already started from an unread one.
        first = self.hold("/1")
        client = self.connect()
        self.ask(client, "/1")
        self.ask(client, "/2", method="POST")
        gevent.sleep(0.15)
        self.assertEqual(["/1"], self.service.began)
        first.set()
        self.read(client, b"/2")
        self.assertEqual(["/1", "/2"], self.service.ended)

    def test_caller_that_leaves_ends_its_request(self):
        # The caller closes the connection while its request runs. If this
        # is not detected, the request keeps a slot that others wait for.
        self.hold("/1")
        client = self.connect()
        self.ask(client, "/1")
        gevent.sleep(0.05)
        client.close()
        gevent.sleep(0.05)
        self.assertEqual(["left /1"], self.service.ended)
        self.assertEqual(0, self.server.in_hand)

    def test_body_in_chunks(self):
        client = self.connect()
        client.sendall(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertIn(b"X-Body: 5", self.read(client, b"/1"))

    def test_body_over_the_limit(self):
        client = self.connect()
        client.sendall(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"
            + b"x" * 2000
        )
        self.assertIn(b" 413 ", self.read(client, b"413"))
        self.assertEqual([], self.service.began)

    def change_limits(self, **changes):
        limits = msgspec.structs.replace(LIMITS, **changes)
        self.server.read_limits = lambda: limits

    def test_connection_from_before_goes_by_the_limits_in_force(self):
        # Guards against requests on kept connections that are refused for a
        # size that a newer version allows.
        clients = [self.connect() for _ in range(2)]
        gevent.sleep(0.02)
        self.change_limits(body_bytes=5000, header_bytes=20000)
        clients[0].sendall(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"
            + b"x" * 2000
        )
        self.assertIn(b"X-Body: 2000", self.read(clients[0], b"/1"))
        head = b"GET /2 HTTP/1.1\r\nHost: a\r\nX-Long: %s\r\n\r\n"
        clients[1].sendall(head % (b"x" * 15000))
        self.assertIn(b" 200 ", self.read(clients[1], b"/2"))

    def test_idle_connection_goes_by_the_timeout_in_force(self):
        # Guards against connections that are closed while a newer version
        # allows them to be idle.
        client = self.connect()
        gevent.sleep(0.02)
        self.change_limits(idle_timeout=5.0)
        gevent.sleep(2 * LIMITS.idle_timeout)
        self.ask(client, "/1")
        self.assertIn(b"200", self.read(client, b"/1"))
        self.change_limits(idle_timeout=0.1)
        gevent.sleep(0.2)
        self.server.close_expired(read_clock())
        with gevent.Timeout(2.0):
            self.assertEqual(b"", client.recv(100))

    def test_idle_time_counts_from_the_last_answer(self):
        # Guards against connections that are closed soon after the answer to
        # a request that took long, though their callers may reuse them.
        self.hold("/1")
        client = self.connect()
        self.ask(client, "/1")
        gevent.sleep(0.8 * LIMITS.idle_timeout)
        self.service.gates["/1"].set()
        self.assertIn(b"200", self.read(client, b"/1"))
        gevent.sleep(0.6 * LIMITS.idle_timeout)
        self.ask(client, "/2")
        self.assertIn(b"200", self.read(client, b"/2"))

    def test_smuggled_request_is_not_served(self):
        # With two lengths, some parsers would read the rest as a request.
        client = self.connect()
        client.sendall(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        self.read(client, b"never")
        self.assertNotIn("/2", self.service.began)

    def test_half_a_request_is_closed_in_time(self):
        client = self.connect()
        client.sendall(b"GET /1 HTTP/1.1\r\nHo")
        with gevent.Timeout(2.0):
            self.assertEqual(b"", client.recv(100))
        self.assertEqual([], self.service.began)

    def test_new_callers_take_the_room_of_idle_ones(self):
        # Guards against callers that open connections without end: when the
        # descriptors are used up, nobody else is served.
        closures = []
        self.server.note_closure = closures.append
        self.server._max_connections = 4
        self.hold("/busy")
        busy = self.connect()
        self.ask(busy, "/busy")
        gevent.sleep(0.02)
        for _ in range(20):
            self.connect()
            gevent.sleep(0.01)
        client = self.connect()
        self.ask(client, "/1")
        self.assertIn(b"200", self.read(client, b"/1"))
        self.assertLess(len(self.server.connections), 5)
        self.assertEqual(["/busy", "/1"], self.service.began)
        self.assertEqual(
            {CloseReason.DISPLACED}, {each.reason for each in closures}
        )

    def test_closed_connections_are_reported_with_the_reason(self):
        # Guards against connections that are closed without any trace.
        closures = []
        self.server.note_closure = closures.append
        for data in (
            b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHo",
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n"
            + b"x" * 2000,
            b"GET /" + b"a" * 8000,
            b"\x00" * 100 + b"\r\n\r\n",
        ):
            client = self.connect()
            client.sendall(data)
            self.read(client, b"never")
            self.assertEqual(len(data), closures[-1].received)
        self.assertEqual(
            [
                (CloseReason.TOO_SLOW, 1),
                (CloseReason.BODY_TOO_LONG, 0),
                (CloseReason.HEAD_TOO_LONG, 0),
                (CloseReason.MALFORMED, 0),
            ],
            [(each.reason, each.requests) for each in closures],
        )
        self.assertEqual({"127.0.0.1"}, {each.peer for each in closures})

    def test_new_connection_is_not_charged_with_the_work_of_others(self):
        # Guards against a pause of 0.2 s for each new caller of a busy host,
        # whose connection waits until others have run.
        charged = []
        self.enterContext(
            mock.patch.object(
                ConnectionShare,
                "charge",
                lambda share, work, now: charged.append(work) or 0.0,
            )
        )
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.address = listener.getsockname()
        client = self.connect()
        accepted, _ = listener.accept()
        connection = CallerConnection(self.server, accepted, "127.0.0.1")
        began = time.thread_time()
        while time.thread_time() - began < 0.3:
            pass
        gevent.spawn(connection.run)
        client.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        self.read(client, b"/1")
        self.assertLess(sum(charged), 0.2)

    def test_body_that_ends_early_is_not_served(self):
        client = self.connect()
        client.sendall(
            b"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"
        )
        client.shutdown(SHUT_WR)
        self.read(client, b"never")
        self.assertEqual([], self.service.began)

    def test_stopping_asks_callers_to_go(self):
        client = self.connect()
        self.server.begin_stop()
        self.ask(client, "/1")
        answer = self.read(client, b"/1")
        self.assertIn(b"close", answer)
        self.assertEqual(b"", client.recv(100))

    def test_stop_closes_only_what_is_idle(self):
        gate = self.hold("/1")
        busy, idle = self.connect(), self.connect()
        self.ask(busy, "/1")
        gevent.sleep(0.05)
        self.server.begin_stop()
        self.server.close_idle()
        self.assertEqual(b"", idle.recv(100))
        gate.set()
        self.assertIn(b"200", self.read(busy, b"/1"))

    def test_request_behind_a_closing_answer_is_not_served(self):
        gate = self.hold("/1")
        client = self.connect()
        self.ask(client, "/1")
        gevent.sleep(0.05)
        self.server.begin_stop()
        self.ask(client, "/2", method="POST")
        gevent.sleep(0.05)
        gate.set()
        data = self.read(client, b"never")
        self.assertIn(b"/1", data)
        self.assertEqual(["/1"], self.service.began)
