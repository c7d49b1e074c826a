"""Tests of the connections to upstreams, with real sockets."""

import collections
import contextlib

import gevent
from gevent import socket
import testtools

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.wire.client import Connection
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

LIMIT = 10_000
METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"]
WHOLE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"


def make_request(method="GET", body=b""):
    return Request(method, "/x", [("Host", "a")], body)


class Server:
    """Answers each request with the next scripted response."""

    def __init__(self, *answers, close=False):
        self.answers = collections.deque(answers)
        self.close_after = close
        self.arrived = []
        self.ends = []
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._task = gevent.spawn(self._accept)

    def _accept(self):
        while True:
            peer, _ = self._listener.accept()
            gevent.spawn(self._serve, peer)

    def _serve(self, peer):
        with contextlib.closing(peer):
            while True:
                try:
                    data = peer.recv(65536)
                except ConnectionResetError:
                    self.ends.append("reset")
                    return
                if not data:
                    self.ends.append("closed")
                    return
                self.arrived.append(data)
                if self.answers:
                    peer.sendall(self.answers.popleft())
                if self.close_after:
                    return

    def close(self):
        self._task.kill()
        self._listener.close()


class TestConnection(testtools.TestCase):
    """Complete responses or an error; no request is sent twice."""

    def serve(self, *answers, close=False, limit=LIMIT):
        server = Server(*answers, close=close)
        self.addCleanup(server.close)
        connection = Connection(server.address, limit)
        connection.open(1.0)
        self.addCleanup(connection.close)
        return server, connection

    def fail(self, connection, method="GET", timeout=2.0, **options):
        error = self.assertRaises(
            UpstreamError,
            connection.exchange,
            make_request(method),
            timeout,
            **options,
        )
        self.assertTrue(error.sent)
        self.assertFalse(connection.is_open)
        return error

    def test_invalid_status_is_no_answer(self):
        # Guards against callers that get bytes without a valid status as an
        # answer.
        for status in (b"000", b"099", b"0", b"600", b"999", b"1000", b"x"):
            _, connection = self.serve(WHOLE.replace(b"200", status))
            error = self.assertRaises(
                UpstreamError, connection.exchange, make_request(), 1.0
            )
            self.assertIs(ErrorCode.BAD_ANSWER, error.code)
            self.assertFalse(connection.is_open)

    def test_whole_answer_leaves_the_connection_open(self):
        _, connection = self.serve(WHOLE)
        answer = connection.exchange(make_request(), 2.0)
        self.assertEqual((200, b"ok"), (answer.status, answer.body))
        self.assertTrue(connection.usable)

    def test_every_method_arrives_once(self):
        # The upstream reads the request and closes without a response. The
        # request may have run; a client that retries automatically would
        # run it twice.
        for method in METHODS:
            server, connection = self.serve(close=True)
            self.fail(connection, method)
            gevent.sleep(0.02)
            self.assertEqual(1, len(server.arrived), method)

    def test_truncated_answer_is_none(self):
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
        _, connection = self.serve(cut, close=True)
        self.assertIs(ErrorCode.BAD_ANSWER, self.fail(connection).code)

    def test_answer_without_length_ends_with_the_connection(self):
        _, connection = self.serve(
            b"HTTP/1.1 200 OK\r\n\r\nall of it", close=True
        )
        answer = connection.exchange(make_request(), 2.0)
        self.assertEqual(b"all of it", answer.body)
        self.assertFalse(connection.is_open)

    def test_bytes_that_are_no_answer(self):
        _, connection = self.serve(b"\x00\x01 nonsense\r\n\r\n")
        self.assertIs(ErrorCode.BAD_ANSWER, self.fail(connection).code)

    def test_bytes_after_an_answer_belong_to_nobody(self):
        # The upstream sends its response twice. If the connection stayed
        # open, the second one would be read as that of the next request.
        _, connection = self.serve(WHOLE + WHOLE)
        connection.exchange(make_request(), 2.0)
        self.assertFalse(connection.is_open)

    def test_late_second_answer_makes_it_unusable(self):
        server, connection = self.serve(WHOLE)
        connection.exchange(make_request(), 2.0)
        self.assertTrue(connection.usable)
        server.answers.append(WHOLE)
        connection._socket.sendall(b"x")
        gevent.sleep(0.05)
        self.assertFalse(connection.usable)

    def test_answer_to_another_request_is_passed_over(self):
        # A duplicate response to the previous request, with another id,
        # arrives where the response to this request is expected.
        other = WHOLE.replace(b"Id: 1", b"Id: 0")
        _, connection = self.serve(other + WHOLE.replace(b"ok", b"me"))
        answer = connection.exchange(
            make_request(), 2.0, lambda head: find_header(head, "id") == "1"
        )
        self.assertEqual(b"me", answer.body)

    def test_only_foreign_answers(self):
        _, connection = self.serve(WHOLE * 4)
        self.fail(connection, is_own_answer=lambda head: False)

    def test_given_up_request_is_taken_back(self):
        # A network partition holds the order in the sender's kernel. After
        # a normal close it would be delivered when the partition ends,
        # seconds after newer orders. A reset discards it.
        server, connection = self.serve()
        error = self.fail(connection, timeout=0.05)
        self.assertIs(ErrorCode.UPSTREAM_SILENT, error.code)
        gevent.sleep(0.05)
        self.assertEqual(["reset"], server.ends)

    def test_timeout_of_the_caller_is_not_its_own(self):
        # Guards against a move that goes on as if its release had failed,
        # 0.2 s after the hold of a frozen owner has ended.
        server, connection = self.serve()
        with gevent.Timeout(0.05) as outer:
            try:
                connection.exchange(make_request(), 5.0)
            except gevent.Timeout as error:
                self.assertIs(outer, error)
        gevent.sleep(0.05)
        self.assertEqual(["reset"], server.ends)

    def test_caller_that_leaves_frees_the_upstream(self):
        server, connection = self.serve()
        task = gevent.spawn(connection.exchange, make_request(), 5.0)
        gevent.sleep(0.05)
        task.kill()
        gevent.sleep(0.05)
        self.assertEqual(["reset"], server.ends)

    def test_body_over_the_limit(self):
        big = b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n"
        _, connection = self.serve(big + b"x" * 20000)
        self.fail(connection)

    def test_answer_to_head_has_the_length_of_another(self):
        # Guards against a limit on bodies that refuses answers without one.
        _, connection = self.serve(
            b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n"
        )
        answer = connection.exchange(make_request("HEAD"), 2.0)
        self.assertEqual(b"", answer.body)
        self.assertTrue(connection.is_open)

    def test_answer_in_short_lines(self):
        # Guards against a limit on chunks that refuses what an upstream
        # flushes line by line.
        lines = b"14\r\n" + b"x" * 20 + b"\r\n"
        _, connection = self.serve(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + lines * 3000
            + b"0\r\n\r\n",
            limit=100_000,
        )
        answer = connection.exchange(make_request(), 2.0)
        self.assertEqual(60_000, len(answer.body))

    def test_refused_connection_has_sent_nothing(self):
        server = Server()
        server.close()
        connection = Connection(server.address, LIMIT)
        error = self.assertRaises(UpstreamError, connection.open, 1.0)
        self.assertFalse(error.sent)

    def test_short_keep_alive_is_obeyed(self):
        head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
        _, connection = self.serve(head + b"Content-Length: 0\r\n\r\n")
        connection.exchange(make_request(), 2.0)
        gevent.sleep(0.01)
        self.assertFalse(connection.usable)


class TestWaitForReset(testtools.TestCase):
    """A server without a free slot resets new connections."""

    def test_reset_before_the_send_proves_that_nothing_ran(self):
        # A full upstream closes connections that it has accepted. A request
        # sent at once might have run, so that it could not be retried.
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        task = gevent.spawn(lambda: listener.accept()[0].close())
        pool = ConnectionPool(address, LIMIT, 1.0)
        error = self.assertRaises(UpstreamError, pool.take, 1.0)
        self.assertFalse(error.sent)
        task.join()

    def test_quiet_connection_is_used(self):
        server = Server(WHOLE)
        self.addCleanup(server.close)
        connection = ConnectionPool(server.address, LIMIT, 0.01).take(1.0)
        self.addCleanup(connection.close)
        answer = connection.exchange(make_request(), 2.0)
        self.assertEqual(b"ok", answer.body)


class TestConnectionPool(testtools.TestCase):
    """Idle connections are reused while they are usable."""

    def test_used_again_until_the_server_closes(self):
        server = Server(WHOLE, WHOLE)
        self.addCleanup(server.close)
        pool = ConnectionPool(server.address, LIMIT)
        first = pool.take(1.0)
        first.exchange(make_request(), 2.0)
        pool.give_back(first)
        self.assertIs(first, pool.take(1.0))
        server.close_after = True
        first.exchange(make_request(), 2.0)
        pool.give_back(first)
        gevent.sleep(0.05)
        second = pool.take(1.0)
        self.assertIsNot(first, second)
        pool.give_back(second)
        pool.close()
        self.assertFalse(second.is_open)

    def test_connection_idle_for_too_long_stays_in_the_pool(self):
        server = Server(WHOLE, WHOLE)
        self.addCleanup(server.close)
        pool = ConnectionPool(server.address, LIMIT)
        self.addCleanup(pool.close)
        first = pool.take(1.0)
        first.exchange(make_request(), 2.0)
        pool.give_back(first)
        gevent.sleep(0.05)
        careful = pool.take(1.0, max_idle=0.04)
        self.addCleanup(careful.close)
        self.assertIsNot(first, careful)
        self.assertEqual(0.0, careful.rested)
        self.assertIs(first, pool.take(1.0))
        self.assertGreater(first.rested, 0.04)

    def test_connections_that_the_server_closed_are_not_kept(self):
        server = Server(WHOLE, close=True)
        self.addCleanup(server.close)
        pool = ConnectionPool(server.address, LIMIT)
        connection = pool.take(1.0)
        connection.exchange(make_request(), 2.0)
        pool.give_back(connection)
        gevent.sleep(0.05)
        pool.prune()
        self.assertFalse(connection.is_open)
