"""Tests of acquiring places, between two hosts without sockets."""

import random

import gevent
import testtools

from sedgetide.coding.messages import AskPlace
from sedgetide.coding.messages import EndPlace
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.membership.lenders import LendingHost
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._places import Places
from sedgetide.platform._registry import PlatformRegistry

NORTH = DataCentre("north")
LENDER = LinkAddress("10.0.0.1:7000")
ASKER = LinkAddress("10.0.0.2:7000")
UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"), ServiceName("map"), "10.0.0.9:80", NORTH, 2
)


class TestPlaces(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.lost = False
        self.sent = []
        self.hosts = {link: self.make(link) for link in (LENDER, ASKER)}
        self.asker = self.hosts[ASKER]

    def make(self, link):
        deployment = DeploymentState(PlatformRegistry())
        hosts = (LendingHost(LENDER, NORTH),)
        deployment.set_lenders(LenderList(hosts))

        def send(destination, message):
            self.sent.append(message)
            if not self.lost:
                gevent.spawn(
                    self.hosts[destination].handle_message, message, link
                )

        return Places(link, deployment, send, random.Random(1))

    def acquire(self, link=ASKER, left=0.5, priority=2):
        return self.hosts[link].acquire(UPSTREAM, priority, left)

    def fill(self):
        places = [self.acquire(), self.acquire(), self.acquire(LENDER)]
        for each in places:
            self.assertIsInstance(each, Place)
        return places

    def test_released_place_goes_to_a_waiting_request(self):
        first, second, _ = self.fill()
        waiting = gevent.spawn(self.acquire)
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready())
        second.note_answer(0.2, 0)
        second.release()
        self.assertIsInstance(waiting.get(timeout=1), Place)

    def test_no_time_to_wait_is_refused_at_once(self):
        self.fill()
        began = gevent.get_hub().loop.now()
        refused = self.acquire(left=0.1)
        self.assertIsInstance(refused, PlaceRefused)
        self.assertGreater(refused.retry_after, 0)
        self.assertLess(gevent.get_hub().loop.now() - began, 0.05)

    def test_lost_lender_leaves_the_upstream_reachable(self):
        """A lost lender delays one request only.

        The lender is killed. The first request gets no reply and falls back
        to its host's own window; the next ones do so at once, without
        waiting for a reply.
        """
        self.lost = True
        self.assertIsNone(self.acquire())
        asked = len(self.sent)
        self.assertIsNone(self.acquire())
        self.assertEqual(asked, len(self.sent))

    def test_request_of_a_caller_that_left_is_removed_from_the_queue(self):
        """The place of a caller that left goes to the next request.

        A caller closes its connection while its request is queued. If the
        lender were not told, it would grant a place that nobody uses until
        the lease expires.
        """
        first, _, _ = self.fill()
        departed = gevent.spawn(self.acquire)
        gevent.sleep(0.01)
        departed.kill()
        next_waiting = gevent.spawn(self.acquire)
        gevent.sleep(0.01)
        first.release()
        self.assertIsInstance(next_waiting.get(timeout=1), Place)

    def test_late_verdict_releases_the_place(self):
        self.lost = True
        self.acquire()
        request, end = self.sent
        self.assertIsInstance(request, AskPlace)
        self.assertIsInstance(end, EndPlace)
        self.assertEqual(request.number, end.number)
