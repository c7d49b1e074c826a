"""Tests of the probe of whether a server process is listening."""

import testtools

from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.ports import find_port
from sedgetide.wire.probes import Presence
from sedgetide.wire.probes import probe


class TestProbe(testtools.TestCase):
    def test_listening(self):
        listener = open_listener("127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        self.assertIs(Presence.LISTENING, probe(f"127.0.0.1:{port}", 1.0))

    def test_ended(self):
        self.assertIs(Presence.ENDED, probe(f"127.0.0.1:{find_port()}", 1.0))
