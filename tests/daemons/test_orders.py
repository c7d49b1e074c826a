"""Tests of orders to upstreams, with real sockets."""

import struct

import gevent
from gevent import socket
import testtools

from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.daemons._orders import OrderLane
from sedgetide.daemons._orders import Taken
from sedgetide.platform._orders import PlatformOrders

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
KEYS = KeyRange(0, 9)


class TestOrderLane(testtools.TestCase):
    """Whether an order has left this host, as far as can be known."""

    def setUp(self):
        super().setUp()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.addCleanup(self.listener.close)
        self.lane = self.make_lane()
        self.prepared = []

    def make_lane(self, settling=0.003):
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        lane = OrderLane("u-1", address, PlatformOrders(), 0.5, settling)
        self.addCleanup(lane.close)
        return lane

    def prepare(self):
        self.prepared.append(1)
        return 3.5

    def test_reset_of_a_new_connection_proves_that_nothing_left(self):
        # An upstream is lost behind something that accepts for it. Each
        # renewal would count as one that may have arrived, and its keys
        # stay dark for a hold after the last of them.
        def reset():
            peer, _ = self.listener.accept()
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            peer.close()

        self.lane = self.make_lane(settling=5.0)
        task = gevent.spawn(reset)
        result = self.lane.grant(KEYS, 1, "", self.prepare)
        task.join()
        self.assertIs(Taken.UNSENT, result.taken)
        self.assertEqual([], self.prepared)

    def test_unanswered_grant_may_have_been_taken(self):
        task = gevent.spawn(self.listener.accept)
        result = self.lane.grant(KEYS, 1, "", self.prepare)
        task.join()
        self.assertIs(Taken.UNKNOWN, result.taken)
        self.assertEqual([1], self.prepared)
