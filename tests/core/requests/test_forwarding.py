"""Tests of the choice of the peer that a request is passed on to."""

import random

import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.membership.peers import Peer
from sedgetide.core.membership.peers import PeerList
from sedgetide.core.requests.forwarding import PeerPool

NORTH, SOUTH = DataCentre("north"), DataCentre("south")
NEAR = Peer("10.0.0.1:7", NORTH)
FAR = Peer("10.0.0.2:7", SOUTH)
PEERS = PeerList((NEAR, FAR))


class TestPeerPool(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = PeerPool(NORTH, random.Random(1))

    def choose(self, now=100.0, destination="u-1", asked=()):
        return self.pool.choose(PEERS, destination, asked, now)

    def test_near_peer_is_preferred_while_it_has_few_requests(self):
        # Guards against bytes between data centres, and against one peer
        # that gets all requests.
        self.assertEqual(NEAR, self.choose())
        for _ in range(3):
            self.pool.note_begin(NEAR)
        self.assertEqual(FAR, self.choose())
        self.pool.note_end(NEAR)
        self.pool.note_end(NEAR)
        self.assertEqual(NEAR, self.choose())

    def test_peer_is_asked_once_for_a_request(self):
        self.assertEqual(FAR, self.choose(asked={NEAR.address}))
        both = {NEAR.address, FAR.address}
        self.assertIsNone(self.choose(asked=both))

    def test_peer_that_declines_is_left_out_for_this_destination(self):
        # Guards against asking all peers for each request to an upstream
        # that has ended.
        self.pool.note_declined(NEAR, "u-1", False, 100.0)
        self.assertEqual(FAR, self.choose(100.4))
        self.assertEqual(NEAR, self.choose(100.4, "u-2"))
        self.assertEqual(NEAR, self.choose(100.6))

    def test_peer_that_is_cut_off_is_left_out_for_all(self):
        self.pool.note_declined(NEAR, "u-1", True, 100.0)
        self.assertEqual(FAR, self.choose(100.4, "u-2"))

    def test_silent_peer_is_left_out_for_all(self):
        self.pool.note_silent(NEAR, 100.0)
        self.assertEqual(FAR, self.choose(100.9, "u-2"))
        self.assertEqual(NEAR, self.choose(101.1))
