"""Tests of how long a request waits for leave to be sent."""

import random

import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.routes import Timetable
from sedgetide.core.requests.usual import UsualFigures
from sedgetide.daemons._job import Job
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._lanes import Lanes
from sedgetide.daemons._passages import Passages
from sedgetide.daemons._places import PlaceRefused
from sedgetide.platform._catalogue import PlatformCatalogue
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Request

SERVICE = ServiceName("map")
UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"), SERVICE, "10.0.0.9:80", DataCentre("north"), 2
)
OBJECTIVE, TIMEOUT = 0.6, 4.0


class Places:
    """Refuses, and keeps how long it was asked to wait."""

    def enter(self, upstream, priority, left, cold_bound=None):
        self.left = left
        return PlaceRefused(1.0)


class TestPassages(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.places = Places()
        knowledge = Knowledge(PlatformCatalogue())
        knowledge.directory.put(UPSTREAM, read_clock())
        self.passages = Passages(
            knowledge,
            Lanes(1000),
            self.places,
            UsualFigures(),
            "north",
            random.Random(1),
        )
        self.passages._find_target = lambda job, declined, now: Target(
            UPSTREAM, 1
        )

    def find(self, **progress):
        now = read_clock()
        route = RouteRule(
            RouteName("map"),
            "h",
            "/",
            True,
            TIMEOUT,
            OBJECTIVE,
            2,
            2,
            (Share(SERVICE, 1.0),),
        )
        job = Job(
            Request("GET", "/", [], b""),
            CallerFields(RequestId("r"), TIMEOUT, Key(1)),
            route,
            SERVICE,
            True,
            Timetable(now, now + TIMEOUT, now + OBJECTIVE),
            Progress(**progress),
        )
        self.assertIsNone(self.passages.find(job))
        return self.places.left

    def test_first_send_waits_while_its_answer_can_be_in_time(self):
        self.assertLess(self.find(), OBJECTIVE)

    def test_declined_request_waits_no_longer_than_a_new_one(self):
        """The upstream was full and says that nothing ran.

        The caller can be told so and come again. Held in the queue instead,
        it would hear the same near its deadline, too late to do so.
        """
        left = self.find(sends=1, outcome=Outcome.NOT_RUN)
        self.assertLess(left, OBJECTIVE)

    def test_request_that_may_have_run_waits_for_an_answer(self):
        # Only an answer can tell its caller what became of it.
        left = self.find(sends=1, outcome=Outcome.UNKNOWN)
        self.assertGreater(left, OBJECTIVE)
