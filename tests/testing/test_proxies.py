"""Tests of the loopback proxy of the soak."""

import gevent
from gevent import socket
import testtools

from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy


class TestProxy(testtools.TestCase):
    """Effect of each fault on both ends of a connection."""

    def setUp(self):
        super().setUp()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.addCleanup(self.listener.close)
        self.proxy = Proxy(self.listener.getsockname()[1])
        self.addCleanup(self.proxy.close)

    def connect(self):
        client = socket.create_connection(("127.0.0.1", self.proxy.port), 2.0)
        self.addCleanup(client.close)
        server, _ = self.listener.accept()
        self.addCleanup(server.close)
        return client, server

    def test_passes_bytes_and_the_end(self):
        client, server = self.connect()
        client.sendall(b"x")
        self.assertEqual(b"x", server.recv(10))
        client.shutdown(socket.SHUT_WR)
        self.assertEqual(b"", server.recv(10))

    def test_silent_connection_whose_end_closes(self):
        # One end closes; the other end is not told, new connections work,
        # and the proxy does not stop.
        client, server = self.connect()
        self.proxy.silence_all()
        client.sendall(b"x")
        client.close()
        gevent.sleep(0.05)
        server.settimeout(0.05)
        self.assertRaises(TimeoutError, server.recv, 10)
        self.connect()

    def test_reset(self):
        client, server = self.connect()
        self.proxy.reset_all()
        self.assertRaises(ConnectionResetError, client.recv, 10)

    def test_forgotten_connection_is_reset_when_it_is_used(self):
        client, server = self.connect()
        client.sendall(b"x")
        self.assertEqual(b"x", server.recv(10))
        self.proxy.mode = Mode.FORGET
        gevent.sleep(0.3)
        client.sendall(b"x")
        self.assertRaises(ConnectionResetError, client.recv, 10)
        self.assertRaises(ConnectionResetError, server.recv, 10)

    def test_cut_holds_bytes_up(self):
        client, server = self.connect()
        self.proxy.mode = Mode.CUT
        client.sendall(b"x")
        server.settimeout(0.05)
        self.assertRaises(TimeoutError, server.recv, 10)
        self.proxy.mode = Mode.PASS
        server.settimeout(2.0)
        self.assertEqual(b"x", server.recv(10))
