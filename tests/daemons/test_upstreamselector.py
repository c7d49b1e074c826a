"""Tests of how long a request waits for leave to be sent."""

import random

import msgspec
import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import ServiceRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.history import Position
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.identifiers import Version
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.retryafter import STORE_SILENT_RETRY_DELAY
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.daemons._deployment import ColdTolerance
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.daemons._upstreamselector import UpstreamSelector
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Request

SERVICE = ServiceName("map")
UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"), SERVICE, "10.0.0.9:80", DataCentre("north"), 2
)
OBJECTIVE, TIMEOUT = 0.6, 4.0


def make_job(keyed, **progress):
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
    return RequestContext(
        Request("GET", "/", [], b""),
        CallerFields(RequestId("r"), TIMEOUT, Key(1)),
        route,
        SERVICE,
        keyed,
        RequestTimes(now, now + TIMEOUT, now + OBJECTIVE),
        Progress(**progress),
    )


class Places:
    """Refuses, and keeps how long it was asked to wait."""

    def enter(self, upstream, priority, left, cold_bound=None, limit=None):
        self.left = left
        return PlaceRefused(1.0)


class TestPassages(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.places = Places()
        deployment = DeploymentState(PlatformRegistry())
        deployment.directory.put(UPSTREAM, read_clock())
        self.passages = UpstreamSelector(
            deployment,
            UpstreamChannels(1000),
            self.places,
            AnswerAverages(),
            "north",
            random.Random(1),
        )
        self.passages._find_target = lambda job, declined, now: Target(
            UPSTREAM, 1
        )

    def find(self, **progress):
        self.assertIsNone(self.passages.find(make_job(True, **progress)))
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


class LentPlaces:
    """Lends places at cold upstreams as told, and keeps who was asked."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    def enter(self, upstream, priority, left, cold_bound=None, limit=None):
        self.asked.append((upstream.registered_name, cold_bound, left))
        return self.answer


class TestCold(testtools.TestCase):
    """An upstream is cold and bears less than hosts would send it."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(
            PlatformRegistry(), cold_terms=ColdTolerance(1.5, 8.0)
        )
        self.rule = ServiceRule(SERVICE, cold=3.0, cold_rate=4.2)
        self.deployment.policy = Policy(Version(1), (), {SERVICE: self.rule})
        self.put("map-1", 2.0)

    def put(self, name, warmup):
        entry = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName(name), warmup=warmup
        )
        self.deployment.directory.put(entry, read_clock())
        return entry

    def find(self, answer, keyed=False):
        self.places = LentPlaces(answer)
        passages = UpstreamSelector(
            self.deployment,
            UpstreamChannels(1000),
            self.places,
            AnswerAverages(),
            "north",
            random.Random(1),
        )
        self.job = make_job(keyed)
        if keyed:
            target = Target(self.deployment.directory.list_all()[0], 1)
            passages._find_target = lambda job, declined, now: target
        return passages.find(self.job)

    def test_lender_is_asked_for_each_send(self):
        place = Place(lambda *_: None)
        self.assertIs(place, self.find(place).place)
        self.assertEqual([("map-1", 7, 0.0)], self.places.asked)

    def test_request_without_key_goes_to_a_warm_one_instead(self):
        # Both are idle, and the cold one bears no more.
        self.put("map-2", 0.0)
        for _ in range(20):
            passage = self.find(PlaceRefused(0.4))
            self.assertEqual("map-2", passage.target.upstream.registered_name)

    def test_only_cold_ones_left(self):
        began = read_clock()
        self.assertIsNone(self.find(PlaceRefused(1.2)))
        self.assertLess(read_clock() - began, 0.1)
        self.assertEqual(1.2, self.job.retry_after)

    def test_nobody_lends(self):
        """The lender is lost, and nobody knows what others send.

        Each host on its own would send a little, and 66 of them a flood. So
        nothing is sent until there is a lender or the upstream is warm.
        """
        self.assertIsNone(self.find(None))
        self.assertIsNone(self.find(None, keyed=True))
        self.assertEqual("cold", self.job.note)

    def test_warm_one_needs_no_lender(self):
        self.put("map-1", 0.0)
        self.assertIsNotNone(self.find(None))
        self.assertEqual([], self.places.asked)

    def test_service_without_a_bound(self):
        rule = msgspec.structs.replace(self.rule, cold_rate=None)
        self.deployment.policy = Policy(Version(1), (), {SERVICE: rule})
        self.assertIsNotNone(self.find(None))


class KnownUpstreamTest(testtools.TestCase):
    """A host that knows one upstream, which owns all keys."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(PlatformRegistry())
        self.deployment.directory.put(UPSTREAM, read_clock())
        self.deployment.heard_at = read_clock()
        table = RangeTable().assign_first([(UPSTREAM.name, 1)])
        self.deployment.update_table(
            SERVICE, table, Position(0, 1), read_clock()
        )
        self.passages = UpstreamSelector(
            self.deployment,
            UpstreamChannels(1000),
            LentPlaces(None),
            AnswerAverages(),
            "north",
            random.Random(1),
        )


class TestLeaving(KnownUpstreamTest):
    """An upstream says in its answers that it leaves."""

    def test_request_that_waited_is_not_sent_after_the_word(self):
        # Guards against what was let through before the word came.
        for keyed in (True, False):
            job = make_job(keyed)
            passage = self.passages.find(job)
            self.assertTrue(self.passages.may_send(job, passage))
        self.deployment.note_leaving(UPSTREAM.name)
        self.assertFalse(self.passages.may_send(job, passage))
        self.assertFalse(self.passages.may_send(make_job(True), passage))

    def test_caller_hears_at_once_while_nobody_can_move_its_key(self):
        # Guards against callers held for an owner that can't come.
        self.deployment.note_leaving(UPSTREAM.name)
        self.deployment.heard_at = read_clock() - 4.0
        job, began = make_job(True), read_clock()
        self.assertIsNone(self.passages.find(job))
        self.assertLess(read_clock() - began, 0.05)
        self.assertEqual(STORE_SILENT_RETRY_DELAY, job.retry_after)
        self.assertEqual("owner-gone", job.note)


class TestBackoff(KnownUpstreamTest):
    """An upstream has asked this host to back off."""

    def test_request_that_waited_is_not_sent_after_the_word(self):
        # Guards against what was let through before the word came.
        job = make_job(False)
        passage = self.passages.find(job)
        self.deployment.backoffs.note(UPSTREAM.name, 1.0, read_clock())
        self.assertFalse(self.passages.may_send(job, passage))

    def test_caller_hears_at_once_what_is_left(self):
        # Guards against callers held for an upstream that wants nothing.
        self.deployment.backoffs.note(UPSTREAM.name, 2.0, read_clock())
        for keyed in (True, False):
            job, began = make_job(keyed), read_clock()
            self.assertIsNone(self.passages.find(job))
            self.assertLess(read_clock() - began, 0.05)
            self.assertAlmostEqual(2.0, job.retry_after, 1)
            self.assertEqual("backing-off", job.note)

    def test_request_without_key_goes_to_another(self):
        other = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName("map-2")
        )
        self.deployment.directory.put(other, read_clock())
        self.deployment.backoffs.note(UPSTREAM.name, 2.0, read_clock())
        for _ in range(20):
            passage = self.passages.find(make_job(False))
            self.assertEqual(other, passage.target.upstream)
            passage.leave()


class TestLimit(KnownUpstreamTest):
    """An upstream has named a limit for all hosts together."""

    def name_limit(self, rate):
        now = read_clock()
        said = StatedLimit(rate, now, now)
        self.deployment.limits.note(UPSTREAM.name, said)

    def test_request_that_waited_asks_again_for_the_limit(self):
        # Guards against what was let through by this host's own window.
        job = make_job(False)
        passage = self.passages.find(job)
        self.assertIsNone(passage.place)
        self.name_limit(2.2)
        self.assertFalse(self.passages.may_send(job, passage))

    def test_nothing_is_sent_while_nobody_counts(self):
        # Guards against hosts that each take a share which adds up to more.
        self.name_limit(2.2)
        for keyed in (True, False):
            job, began = make_job(keyed), read_clock()
            self.assertIsNone(self.passages.find(job))
            self.assertLess(read_clock() - began, 0.05)
            self.assertEqual("limited", job.note)
            self.assertEqual(1.0, job.retry_after)

    def test_caller_hears_when_the_limit_has_room(self):
        self.passages._places = LentPlaces(PlaceRefused(3.4))
        self.name_limit(0.3)
        job = make_job(True)
        self.assertIsNone(self.passages.find(job))
        self.assertEqual(3.4, job.retry_after)

    def test_request_without_key_goes_to_one_that_names_none(self):
        self.name_limit(50.0)
        other = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName("map-2")
        )
        self.deployment.directory.put(other, read_clock())
        for _ in range(20):
            passage = self.passages.find(make_job(False))
            self.assertEqual(other, passage.target.upstream)
            passage.leave()
