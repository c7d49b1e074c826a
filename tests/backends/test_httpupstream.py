"""Tests of the control calls to an upstream, with real sockets."""

import gevent
from gevent import socket
import msgspec
import testtools

from sedgetide.backends.httpupstream import HttpUpstream
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamStatus
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError

ORDER = OrderContext("h-1/x", "stamp", float("inf"))
STATUS = msgspec.json.encode(UpstreamStatus("life-1", "stamp"))
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
    len(STATUS),
    STATUS,
)


class RepeatingServer:
    """Answers grants, and sends the last answer again for a release."""

    def __init__(self):
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
        last = b""
        while data := peer.recv(65536):
            if b"/grants " in data:
                last = ANSWER
            peer.sendall(last)

    def close(self):
        self._task.kill()
        self._listener.close()


class TestRelease(testtools.TestCase):
    def test_repeated_answer_to_a_grant_confirms_no_release(self):
        # Guards against two owners of a shard: the upstream sends an extra
        # answer late, and hasn't answered the release.
        server = RepeatingServer()
        self.addCleanup(server.close)
        client = HttpUpstream(server.address, 1000, 0.5)
        self.addCleanup(client.close)
        self.assertEqual(
            "life-1", client.grant(ORDER, {}, 0.6, 0.5).incarnation
        )
        error = self.assertRaises(
            UpstreamError, client.release, ORDER, {}, 0.3
        )
        self.assertIs(ErrorCode.UPSTREAM_SILENT, error.code)
