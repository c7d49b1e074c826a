"""Tests of the loopback proxy of the soak."""

import gevent
from gevent import socket
import testtools

from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy


class TestProxy(testtools.TestCase):
    """What each fault shows to the two ends."""

    def setUp(self):
        super().setUp()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.addCleanup(self.listener.close)
        self.proxy = Proxy(self.listener.getsockname()[1])
        self.addCleanup(self.proxy.close)

    def connect(self):
        near = socket.create_connection(("127.0.0.1", self.proxy.port), 2.0)
        self.addCleanup(near.close)
        far, _ = self.listener.accept()
        self.addCleanup(far.close)
        return near, far

    def test_passes_bytes_and_the_end(self):
        near, far = self.connect()
        near.sendall(b"x")
        self.assertEqual(b"x", far.recv(10))
        near.shutdown(socket.SHUT_WR)
        self.assertEqual(b"", far.recv(10))

    def test_silent_connection_whose_end_closes(self):
        # One end gives up; the other hears nothing of it, new connections
        # work, and the proxy's loop goes on.
        near, far = self.connect()
        self.proxy.silence_all()
        near.sendall(b"x")
        near.close()
        gevent.sleep(0.05)
        far.settimeout(0.05)
        self.assertRaises(TimeoutError, far.recv, 10)
        self.connect()

    def test_reset(self):
        near, far = self.connect()
        self.proxy.reset_all()
        self.assertRaises(ConnectionResetError, near.recv, 10)

    def test_forgotten_connection_is_reset_when_it_is_used(self):
        near, far = self.connect()
        near.sendall(b"x")
        self.assertEqual(b"x", far.recv(10))
        self.proxy.mode = Mode.FORGET
        gevent.sleep(0.3)
        near.sendall(b"x")
        self.assertRaises(ConnectionResetError, near.recv, 10)
        self.assertRaises(ConnectionResetError, far.recv, 10)

    def test_cut_holds_bytes_up(self):
        near, far = self.connect()
        self.proxy.mode = Mode.CUT
        near.sendall(b"x")
        far.settimeout(0.05)
        self.assertRaises(TimeoutError, far.recv, 10)
        self.proxy.mode = Mode.PASS
        far.settimeout(2.0)
        self.assertEqual(b"x", far.recv(10))
