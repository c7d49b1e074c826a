"""Tests of asking for places, between two hosts without sockets."""

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

        def send(goal, message):
            self.sent.append(message)
            if not self.lost:
                gevent.spawn(self.hosts[goal].take, message, link)

        return Places(link, deployment, send, random.Random(1))

    def enter(self, link=ASKER, left=0.5, priority=2):
        return self.hosts[link].enter(UPSTREAM, priority, left)

    def fill(self):
        places = [self.enter(), self.enter(), self.enter(LENDER)]
        for each in places:
            self.assertIsInstance(each, Place)
        return places

    def test_place_given_back_goes_to_who_waits(self):
        first, second, _ = self.fill()
        waiting = gevent.spawn(self.enter)
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready())
        second.note_answer(0.2, 0)
        second.leave()
        self.assertIsInstance(waiting.get(timeout=1), Place)

    def test_no_time_to_wait_is_refused_at_once(self):
        self.fill()
        began = gevent.get_hub().loop.now()
        refused = self.enter(left=0.1)
        self.assertIsInstance(refused, PlaceRefused)
        self.assertGreater(refused.retry_after, 0)
        self.assertLess(gevent.get_hub().loop.now() - began, 0.05)

    def test_lost_lender_leaves_the_upstream_reachable(self):
        """A lost lender costs one wait.

        The lender is killed. The first request hears nothing, goes by
        its host's own window, and so do the next ones at once, since no
        caller may wait for a word that does not come.
        """
        self.lost = True
        self.assertIsNone(self.enter())
        asked = len(self.sent)
        self.assertIsNone(self.enter())
        self.assertEqual(asked, len(self.sent))

    def test_caller_who_leaves_is_taken_out_of_the_queue(self):
        """The turn of a caller who left goes on to the next.

        A caller closes its connection while its request waits. Without
        a word to the lender its turn would come, and the place would stay
        lost until the loan ends.
        """
        first, _, _ = self.fill()
        leaver = gevent.spawn(self.enter)
        gevent.sleep(0.01)
        leaver.kill()
        stayer = gevent.spawn(self.enter)
        gevent.sleep(0.01)
        first.leave()
        self.assertIsInstance(stayer.get(timeout=1), Place)

    def test_late_word_gives_the_place_back(self):
        self.lost = True
        self.enter()
        question, end = self.sent
        self.assertIsInstance(question, AskPlace)
        self.assertIsInstance(end, EndPlace)
        self.assertEqual(question.number, end.number)
