"""Tests of the connections to upstreams, with real sockets."""

import collections
import contextlib

import gevent
from gevent import socket
import testtools

from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.httpupstream import HttpUpstream
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamRequest
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Epoch

LIMIT = 1000
METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"]


class Server:
    """Answers each request with fixed bytes and counts arrivals."""

    def __init__(self, answer):
        self.answer = answer
        self.arrived = collections.Counter()
        self.connections = 0
        # Seconds after which each answer is sent once more.
        self.extra_after = None
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._task = gevent.spawn(self._accept)

    def _accept(self):
        while True:
            peer, _ = self._listener.accept()
            self.connections += 1
            gevent.spawn(self._serve, peer)

    def _serve(self, peer):
        data = peer.recv(65536)
        while data:
            self.arrived[data.split(b" ", 1)[0].decode()] += 1
            if self.answer is None:
                break
            peer.sendall(self.answer)
            if b"close" in self.answer:
                break
            if self.extra_after is not None:
                gevent.sleep(self.extra_after)
                peer.sendall(self.answer)
            data = peer.recv(65536)
        peer.close()

    def close(self):
        self._task.kill()
        self._listener.close()


class ConnectionTest(testtools.TestCase):
    def serve(self, answer):
        server = Server(answer)
        self.addCleanup(server.close)
        return server

    def exchange(self, server, method="GET", **options):
        connection = HttpConnection(server.address, LIMIT)
        self.addCleanup(connection.close)
        connection.open(1.0)
        options.setdefault("timeout", 1.0)
        answer = connection.exchange(method, "/", (), b"", **options)
        return connection, answer

    def assert_fails(self, code, server, sent=True, **options):
        error = self.assertRaises(
            UpstreamError, self.exchange, server, **options
        )
        self.assertIs(code, error.code)
        self.assertIs(sent, error.sent)

    def test_whole_answer(self):
        server = self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        connection, answer = self.exchange(server)
        self.assertEqual(b"ok", answer.body)
        self.assertTrue(connection.usable)

    def test_every_method_arrives_once(self):
        # The server reads the request and closes without a response. A
        # client that retries automatically would run it twice.
        server = self.serve(None)
        for method in METHODS:
            self.assert_fails(ErrorCode.BAD_ANSWER, server, method=method)
        self.assertEqual(dict.fromkeys(METHODS, 1), dict(server.arrived))

    def test_cut_answers_are_errors(self):
        # Guards against passing on a truncated body as complete.
        for cut in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nx: close\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"x: close\r\n\r\n2\r\nok\r\n",
            b"HTTP/1.1 200 OK\r\nx: close\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nx: close\r\n",
        ):
            self.assert_fails(ErrorCode.BAD_ANSWER, self.serve(cut))

    def test_invalid_status_is_no_answer(self):
        # Guards against callers that get bytes without a valid status as an
        # answer, and against a wait for the rest of it.
        for status in (b"000", b"099", b"0", b"600", b"999", b"1000", b"x"):
            answer = b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status
            self.assert_fails(ErrorCode.BAD_ANSWER, self.serve(answer))

    def test_body_over_the_limit(self):
        body = b"x" * (LIMIT + 1)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.assert_fails(ErrorCode.BAD_ANSWER, self.serve(head + body))

    def test_connection_that_timed_out_is_closed(self):
        # A late response would be taken for that of the next request.
        server = self.serve(b"")
        connection = HttpConnection(server.address, LIMIT)
        connection.open(1.0)
        self.assertRaises(
            UpstreamError, connection.exchange, "GET", "/", (), b"", 0.05
        )
        self.assertFalse(connection.usable)

    def test_timeout_of_the_caller_is_not_its_own(self):
        # Guards against a caller that goes on after its own time is over.
        connection = HttpConnection(self.serve(b"").address, LIMIT)
        connection.open(1.0)
        with gevent.Timeout(0.05) as outer:
            try:
                connection.exchange("GET", "/", (), b"", 5.0)
            except gevent.Timeout as error:
                self.assertIs(outer, error)
        self.assertFalse(connection.usable)

    def test_extra_answer_that_came_in_between(self):
        # Guards against an order that counts as answered by an extra answer
        # to the one before, which had come when the order was sent.
        server = self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        server.extra_after = 0.05
        connection, _ = self.exchange(server)
        self.assertTrue(connection.usable)
        gevent.sleep(0.2)
        self.assertFalse(connection.usable)

    def test_nothing_is_sent_too_late(self):
        # Covers a process that is paused between its decision and the send.
        server = self.serve(b"")
        self.assert_fails(
            ErrorCode.TOO_LATE, server, sent=False, not_after=0.0
        )
        self.assertEqual(0, sum(server.arrived.values()))

    def test_answer_of_another_request_is_refused(self):
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"sedgetide-request: other\r\n\r\nok"
        )
        server = self.serve(answer)
        client = HttpUpstream(server.address, LIMIT, 1.0)
        request = UpstreamRequest(
            "own", "GET", "/", [], b"", None, Epoch(0), 1.0
        )
        order = OrderContext("k", "0", float("inf"))
        with contextlib.closing(client):
            error = self.assertRaises(
                UpstreamError, client.run, order, request, 1.0, False
            )
        self.assertTrue(error.sent)
        self.assertIn("not that of request own", error.detail)

    def test_non_idempotent_request_avoids_an_old_connection(self):
        # A connection may be lost while it is idle. A request sent on it
        # would get no response, and its outcome would be unknown.
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"sedgetide-request: n\r\n\r\nok"
        )
        server = self.serve(answer)
        client = HttpUpstream(server.address, LIMIT, 1.0)
        request = UpstreamRequest(
            "n", "POST", "/", [], b"", None, Epoch(0), 1.0
        )
        order = OrderContext("k", "0", float("inf"))
        with contextlib.closing(client):
            client.run(order, request, 1.0, fresh=True)
            client.run(order, request, 1.0, fresh=True)
            self.assertEqual(1, server.connections)
            client._idle[0].answered_at -= 10.0
            client.run(order, request, 1.0, fresh=True)
        self.assertEqual(2, server.connections)


class SlowServer(Server):
    """Answers each request with its id, the first one after a delay."""

    def _serve(self, peer):
        delay = 0.2
        while True:
            data = peer.recv(65536)
            if not data:
                return
            gevent.sleep(delay)
            delay = 0.0
            number = data.partition(b"sedgetide-request: ")[2]
            number = number.partition(b"\r\n")[0]
            peer.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                b"sedgetide-request: " + number + b"\r\n\r\n" + number
            )


class UnclosableSocket:
    def __init__(self, wrapped):
        self._wrapped = wrapped

    def __getattr__(self, name):
        return getattr(self._wrapped, name)

    def close(self):
        pass


class ReusingConnection(HttpConnection):
    """Mutant: a connection stays open after a timeout."""

    def open(self, timeout):
        super().open(timeout)
        self._socket = UnclosableSocket(self._socket)

    def close(self):
        pass


class ForgetfulUpstream(HttpUpstream):
    """Mutant: accepts any response and keeps every connection."""

    def run(self, order, request, timeout, fresh):
        if not self._idle:
            connection = ReusingConnection(self._address, LIMIT)
            connection.open(1.0)
            self._idle.append(connection)
        headers = [("sedgetide-request", request.number)]
        return self._idle[0].exchange(
            request.method, request.path, headers, request.body, timeout
        )


class CrossedAnswersTest(testtools.TestCase):
    def ask_twice(self, client):
        """Let a first request time out; return the response to a second."""
        order = OrderContext("k", "0", float("inf"))

        def run(number, timeout):
            request = UpstreamRequest(
                number, "GET", "/", [], b"", None, Epoch(0), 1.0
            )
            return client.run(order, request, timeout, fresh=False)

        self.assertRaises(UpstreamError, run, "1", 0.05)
        return run("2", 30.0)

    def test_answers_never_cross(self):
        # The first request times out and its response arrives late on the
        # same connection, where another caller's response is expected.
        server = SlowServer(b"")
        self.addCleanup(server.close)
        client = HttpUpstream(server.address, LIMIT, 1.0)
        self.addCleanup(client.close)
        self.assertEqual(b"2", self.ask_twice(client).answer.body)

    def test_answers_cross_without_the_safeguards(self):
        server = SlowServer(b"")
        self.addCleanup(server.close)
        client = ForgetfulUpstream(server.address, LIMIT, 1.0)
        self.assertNotEqual(b"2", self.ask_twice(client).body)
