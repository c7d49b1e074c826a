"""Tests of heartbeats with explicit times and without sockets."""

import testtools

from sedgetide.coding.messages import Ping
from sedgetide.coding.messages import Pong
from sedgetide.coding.messages import Pull
from sedgetide.coding.messages import Records
from sedgetide.coding.messages import Status
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import Revision
from sedgetide.core.timing import Timing
from sedgetide.daemons._heartbeats import HeartbeatHandler
from sedgetide.daemons._heartbeats import Heartbeats

PEER = LinkAddress("10.0.0.2:1")


def make_status(host, **fields):
    return Status(HostName(host), "1", DataCentre("d"), 0.0, **fields)


class FakeTransport:
    def __init__(self):
        self.sent = []
        self.redialled = []

    def send(self, address, message):
        self.sent.append((address, message))

    def redial(self, address, min_age):
        self.redialled.append(address)


class FakeHandler(HeartbeatHandler):
    def __init__(self):
        self.records = []

    def make_status(self, now):
        return make_status("own")

    def note_status(self, address, asked_at, status):
        pass

    def note_ping(self, address, status):
        pass

    def note_record(self, record):
        self.records.append(record)


class HeartbeatsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.transport = FakeTransport()
        self.handler = FakeHandler()
        self.cache = RecordCache()
        self.heartbeats = Heartbeats(
            self.transport, self.cache, Timing(), self.handler
        )

    def answer(self, asked_at, now, **fields):
        pong = Pong(asked_at, make_status("peer", **fields))
        self.heartbeats.handle(pong, PEER, now)

    def test_peer_that_leaves_pings_unanswered_is_known_silent(self):
        for step in range(5):
            self.heartbeats.ping([PEER], 10.0 + step * 0.15)
        self.assertFalse(self.heartbeats.is_known_silent(PEER, 10.3))
        self.assertTrue(self.heartbeats.is_known_silent(PEER, 10.6))

    def test_peer_not_pinged_recently_is_not_known_silent(self):
        # An entry pinged a keeper once at its start and not again. When that
        # keeper took over an upstream, the entry considered it lost and sent
        # to another, which refused with not-keeper until the deadline.
        self.heartbeats.ping([PEER], 10.0)
        self.answer(10.0, 10.01)
        self.assertFalse(self.heartbeats.is_known_silent(PEER, 20.0))
        self.heartbeats.ping([PEER], 20.0)
        self.assertFalse(self.heartbeats.is_known_silent(PEER, 20.1))

    def test_silent_link_is_redialled_by_both_sides(self):
        # One connection stays silent while new ones work. When only the
        # answers get lost, the sender of the pings alone can notice.
        for step in range(5):
            self.heartbeats.ping([PEER], 10.0 + step * 0.15)
        self.assertEqual([PEER], self.transport.redialled)
        ping = Ping(1.0, 0.6, make_status("peer"))
        self.heartbeats.handle(ping, PEER, 11.0)
        self.assertEqual([PEER, PEER], self.transport.redialled)

    def test_records_are_pulled_when_digests_differ(self):
        record = Record("k", Revision(3), b"v")
        self.answer(10.0, 10.0, digest=5)
        self.assertEqual((PEER, Pull({})), self.transport.sent[-1])
        self.heartbeats.handle(Records([record]), PEER, 10.1)
        self.assertEqual([record], self.handler.records)
        self.answer(10.2, 10.2, digest=self.cache.digest)
        self.assertEqual(1, len(self.transport.sent))

    def test_lower_revision_is_not_applied(self):
        # Push and pull can deliver records out of order; the replaced
        # configuration must not be applied again.
        new, old = Record("k", Revision(3), b"n"), Record("k", 2, b"o")
        self.heartbeats.handle(Records([new]), PEER, 10.0)
        self.heartbeats.handle(Records([old]), PEER, 10.1)
        self.assertEqual([new], self.handler.records)
