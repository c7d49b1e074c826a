"""Tests of selecting an upstream and waiting for permission to send."""

import random
from unittest import mock

import gevent
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
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.retryafter import STORE_SILENT_RETRY_DELAY
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.core.requests.stopping import StopSchedule
from sedgetide.daemons._deployment import ColdTolerance
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.daemons._upstreamselector import UpstreamSelector
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Request
from tests.wire.loopticker import count_wait

SERVICE = ServiceName("map")
UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"), SERVICE, "10.0.0.9:80", DataCentre("north"), 2
)
OBJECTIVE, TIMEOUT = 0.6, 4.0


def make_context(keyed, **progress):
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


def stop_clock(now):
    """Return a context in which the selector reads this time."""
    clock = "sedgetide.daemons._upstreamselector.read_clock"
    return mock.patch(clock, autospec=True, return_value=now)


class RefusingPlaces:
    """Refuses every place and records the time offered for the wait."""

    def acquire(self, upstream, priority, left, *terms):
        self.left = left
        return PlaceRefused(1.0)


class TestUpstreamSelector(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.places = RefusingPlaces()
        deployment = DeploymentState(PlatformRegistry())
        deployment.directory.put(UPSTREAM, read_clock())
        self.selector = UpstreamSelector(
            deployment,
            UpstreamChannels(1000),
            self.places,
            AnswerAverages(),
            "north",
            random.Random(1),
            PathMonitor(UpstreamDirectory(), None),
            None,
            StopSchedule(),
        )
        self.selector._find_target = lambda context, declined, now: Target(
            UPSTREAM, 1
        )

    def find_wait(self, **progress):
        self.assertIsNone(
            self.selector.acquire(make_context(True, **progress))
        )
        return self.places.left

    def test_first_send_waits_while_its_answer_can_be_in_time(self):
        self.assertLess(self.find_wait(), OBJECTIVE)

    def test_declined_request_waits_no_longer_than_a_new_one(self):
        """A full upstream declined the request, so nothing has run.

        The caller can be told so and retry. If the request waited on, the
        caller would learn it only near the deadline, too late for a retry.
        """
        left = self.find_wait(sends=1, outcome=Outcome.NOT_RUN)
        self.assertLess(left, OBJECTIVE)

    def test_nothing_is_sent_that_would_be_broken_off_by_the_stop(self):
        # Guards against a request that is sent late in the grace time of a
        # stop, and ends without an answer while its upstream works on it.
        now = read_clock()
        usual = AnswerAverages().find_service_time(SERVICE)
        self.selector._stop_schedule.ends_at = now + 1.5 * usual
        context = make_context(True)
        self.assertIsNone(self.selector.acquire(context))
        self.assertIs(RefusalReason.STOPPING, context.refusal.reason)
        self.assertLess(context.retry_after, 0.1)

    def test_request_that_may_have_run_waits_for_an_answer(self):
        # Only an answer can tell its caller whether it ran.
        left = self.find_wait(sends=1, outcome=Outcome.UNKNOWN)
        self.assertGreater(left, OBJECTIVE)

    def test_caller_of_a_silent_owner_is_refused_at_once(self):
        # Guards against callers who all wait until their deadlines for an
        # owner that answers nothing.
        owed = self.selector._channels.find(UPSTREAM).owed
        for age in (3.0, 2.5, 2.0):
            owed.note_sent(read_clock() - age)
        context = make_context(True)
        self.assertIsNone(self.selector.acquire(context))
        self.assertFalse(hasattr(self.places, "left"))
        self.assertIs(RefusalReason.OWNER_SILENT, context.refusal.reason)
        self.assertAlmostEqual(1.2, context.retry_after, 1)


class TestFinalDeadline(testtools.TestCase):
    """A request waits for a place beyond its objective."""

    def acquire(self, result, context):
        self.places = FakePlaces(result)
        deployment = DeploymentState(PlatformRegistry())
        deployment.directory.put(UPSTREAM, read_clock())
        selector = UpstreamSelector(
            deployment,
            UpstreamChannels(1000),
            self.places,
            AnswerAverages(),
            "north",
            random.Random(1),
            PathMonitor(UpstreamDirectory(), None),
            None,
            StopSchedule(),
        )
        selector._find_target = lambda context, declined, now: Target(
            UPSTREAM, 1
        )
        selector._is_still_valid = lambda context, target: True
        return selector, selector.acquire(context)

    def test_lender_learns_the_final_deadline(self):
        # Guards against places that are granted for longer than a caller
        # waits, or that are refused while it would still wait.
        context = make_context(True)
        asked_at = context.times.began + 0.25
        with stop_clock(asked_at):
            self.acquire(PlaceRefused(1.0), context)
        final, deadline, _ = self.places.terms
        self.assertAlmostEqual(TIMEOUT - 0.25, final)
        self.assertAlmostEqual(TIMEOUT - 0.25, deadline)

    def test_request_that_may_have_run_states_none(self):
        # Guards against refusing it: only an answer can tell its outcome.
        context = make_context(True, sends=1, outcome=Outcome.UNKNOWN)
        self.acquire(PlaceRefused(1.0), context)
        self.assertEqual((), self.places.terms)

    def test_caller_is_told_the_promised_time(self):
        # Guards against rounding a promise to the range of earlier delays.
        for promised, told in ((True, 0.4), (False, 1.0)):
            context = make_context(True)
            self.acquire(PlaceRefused(0.4, promised), context)
            self.assertEqual(told, context.retry_after)

    def test_place_is_not_used_when_too_little_time_is_left(self):
        """Connecting to the upstream takes long.

        Guards against a send whose answer would come after the deadline, and
        against asking for another place for the same request.
        """
        for outcome, sent in (
            (Outcome.NOT_RUN, False),
            (Outcome.UNKNOWN, True),
        ):
            context = make_context(True, outcome=outcome)
            place = Place(lambda *_: None, read_clock() + 0.02)
            selector, permit = self.acquire(place, context)
            self.assertTrue(selector.may_send(context, permit))
            gevent.sleep(0.03)
            self.assertEqual(sent, selector.may_send(context, permit))
            found = selector.acquire(context)
            self.assertEqual(sent, found is not None)


class FakePlaces:
    """Gives the same result for every place and records the arguments."""

    def __init__(self, result):
        self.result = result
        self.asked = []

    def acquire(
        self, upstream, priority, left, cold_bound=None, limit=None, *terms
    ):
        self.asked.append((upstream.registered_name, cold_bound, left))
        self.terms = terms
        return self.result


class TestCold(testtools.TestCase):
    """An upstream is cold and can handle less than hosts would send it."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(
            PlatformRegistry(), cold_tolerance=ColdTolerance(1.5, 8.0)
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

    def acquire_permit(self, result, keyed=False):
        self.places = FakePlaces(result)
        selector = UpstreamSelector(
            self.deployment,
            UpstreamChannels(1000),
            self.places,
            AnswerAverages(),
            "north",
            random.Random(1),
            PathMonitor(UpstreamDirectory(), None),
            None,
            StopSchedule(),
        )
        self.context = make_context(keyed)
        if keyed:
            target = Target(self.deployment.directory.list_all()[0], 1)
            selector._find_target = lambda context, declined, now: target
        return selector.acquire(self.context)

    def test_lender_is_asked_for_each_send(self):
        place = Place(lambda *_: None)
        self.assertIs(place, self.acquire_permit(place).place)
        self.assertEqual([("map-1", 7, 0.0)], self.places.asked)

    def test_request_without_key_goes_to_a_warm_one_instead(self):
        # Both are idle, and the cold one has reached its limit.
        self.put("map-2", 0.0)
        for _ in range(20):
            permit = self.acquire_permit(PlaceRefused(0.4))
            self.assertEqual("map-2", permit.target.upstream.registered_name)

    def test_only_cold_ones_left(self):
        with count_wait() as ticker:
            self.assertIsNone(self.acquire_permit(PlaceRefused(1.2)))
        self.assertLess(ticker.waited, 0.1)
        self.assertEqual(1.2, self.context.retry_after)

    def test_nothing_is_sent_to_a_cold_one_without_a_lender(self):
        """The lender is lost, and no host knows what others send.

        Each host on its own would send few requests, but 66 hosts would
        overload the upstream. Nothing is sent until there is a lender or the
        upstream is warm.
        """
        self.assertIsNone(self.acquire_permit(None))
        self.assertIsNone(self.acquire_permit(None, keyed=True))
        self.assertEqual(
            Refusal(RefusalReason.COLD, UPSTREAM.name), self.context.refusal
        )

    def test_warm_one_needs_no_lender(self):
        self.put("map-1", 0.0)
        self.assertIsNotNone(self.acquire_permit(None))
        self.assertEqual([], self.places.asked)

    def test_service_without_a_bound(self):
        rule = msgspec.structs.replace(self.rule, cold_rate=None)
        self.deployment.policy = Policy(Version(1), (), {SERVICE: rule})
        self.assertIsNotNone(self.acquire_permit(None))


class KnownUpstreamTest(testtools.TestCase):
    """A host with one upstream, which owns all keys."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(PlatformRegistry())
        self.deployment.directory.put(UPSTREAM, read_clock())
        self.deployment.heard_at = read_clock()
        table = RangeTable().assign_first([(UPSTREAM.name, 1)])
        self.deployment.update_table(
            SERVICE, table, Position(0, 1), read_clock()
        )
        self.selector = UpstreamSelector(
            self.deployment,
            UpstreamChannels(1000),
            FakePlaces(None),
            AnswerAverages(),
            "north",
            random.Random(1),
            PathMonitor(UpstreamDirectory(), None),
            None,
            StopSchedule(),
        )


class TestLeaving(KnownUpstreamTest):
    """An upstream announces in its answers that it is leaving."""

    def test_waiting_request_is_not_sent_after_the_announcement(self):
        # Guards against sending with a permit acquired before the
        # announcement.
        for keyed in (True, False):
            context = make_context(keyed)
            permit = self.selector.acquire(context)
            self.assertTrue(self.selector.may_send(context, permit))
        self.deployment.note_leaving(UPSTREAM.name)
        self.assertFalse(self.selector.may_send(context, permit))
        self.assertFalse(self.selector.may_send(make_context(True), permit))

    def test_caller_is_refused_at_once_while_its_key_cannot_move(self):
        # Guards against holding callers for a new owner while the store is
        # silent and none can be assigned.
        self.deployment.note_leaving(UPSTREAM.name)
        self.deployment.heard_at = read_clock() - 4.0
        context = make_context(True)
        with count_wait() as ticker:
            self.assertIsNone(self.selector.acquire(context))
        self.assertLess(ticker.waited, 0.05)
        self.assertEqual(STORE_SILENT_RETRY_DELAY, context.retry_after)
        self.assertEqual(Refusal(RefusalReason.OWNER_GONE), context.refusal)


class TestBackoff(KnownUpstreamTest):
    """An upstream has asked this host to back off."""

    def test_waiting_request_is_not_sent_after_a_backoff(self):
        # Guards against sending with a permit acquired before the backoff.
        context = make_context(False)
        permit = self.selector.acquire(context)
        self.deployment.backoffs.note(UPSTREAM.name, 1.0, read_clock())
        self.assertFalse(self.selector.may_send(context, permit))

    def test_caller_is_told_the_remaining_backoff_at_once(self):
        # Guards against holding callers for an upstream in backoff.
        now = read_clock()
        self.deployment.backoffs.note(UPSTREAM.name, 2.0, now)
        for keyed in (True, False):
            context = make_context(keyed)
            with count_wait() as ticker, stop_clock(now + 0.25):
                self.assertIsNone(self.selector.acquire(context))
            self.assertLess(ticker.waited, 0.05)
            self.assertAlmostEqual(1.75, context.retry_after)
            self.assertEqual(
                Refusal(RefusalReason.BACKING_OFF), context.refusal
            )

    def test_request_without_key_goes_to_another(self):
        other = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName("map-2")
        )
        self.deployment.directory.put(other, read_clock())
        self.deployment.backoffs.note(UPSTREAM.name, 2.0, read_clock())
        for _ in range(20):
            permit = self.selector.acquire(make_context(False))
            self.assertEqual(other, permit.target.upstream)
            permit.release()


class TestLimit(KnownUpstreamTest):
    """An upstream has stated a rate limit for all hosts together."""

    def state_limit(self, rate):
        now = read_clock()
        stated_limit = StatedLimit(rate, now, now)
        self.deployment.limits.note(UPSTREAM.name, stated_limit)

    def test_waiting_request_is_not_sent_after_a_limit(self):
        # Guards against sending with a permit from this host's own window.
        context = make_context(False)
        permit = self.selector.acquire(context)
        self.assertIsNone(permit.place)
        self.state_limit(2.2)
        self.assertFalse(self.selector.may_send(context, permit))

    def test_nothing_is_sent_without_a_lender(self):
        # Guards against hosts that together exceed the limit, each sending
        # by its own estimate.
        self.state_limit(2.2)
        for keyed in (True, False):
            context = make_context(keyed)
            with count_wait() as ticker:
                self.assertIsNone(self.selector.acquire(context))
            self.assertLess(ticker.waited, 0.05)
            self.assertEqual(
                Refusal(RefusalReason.LIMITED, UPSTREAM.name), context.refusal
            )
            self.assertEqual(1.0, context.retry_after)

    def test_caller_is_told_when_the_limit_has_room(self):
        self.selector._places = FakePlaces(PlaceRefused(3.4))
        self.state_limit(0.3)
        context = make_context(True)
        self.assertIsNone(self.selector.acquire(context))
        self.assertEqual(3.4, context.retry_after)

    def test_request_without_key_goes_to_one_without_a_limit(self):
        self.state_limit(50.0)
        other = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName("map-2")
        )
        self.deployment.directory.put(other, read_clock())
        for _ in range(20):
            permit = self.selector.acquire(make_context(False))
            self.assertEqual(other, permit.target.upstream)
            permit.release()


class TestMoving(KnownUpstreamTest):
    """The key of a request is being moved."""

    def setUp(self):
        super().setUp()
        other = msgspec.structs.replace(
            UPSTREAM, registered_name=UpstreamName("map-2")
        )
        self.deployment.directory.put(other, read_clock())
        table = self.deployment.find_table(SERVICE)
        table = table.begin([Move(KeyRange(0, 99), other.name)])
        self.move = table.find(1).move_id
        self.deployment.update_table(
            SERVICE, table, Position(0, 2), read_clock()
        )

    def test_caller_waits_for_the_end_of_a_planned_move(self):
        # Guards against refusals after half of the objective, in a move that
        # ends soon after.
        context = make_context(True)
        gevent.spawn_later(
            OBJECTIVE * 0.7,
            lambda: self.deployment.complete_moves(
                SERVICE, [self.move], read_clock()
            ),
        )
        permit = self.selector.acquire(context)
        self.assertEqual("map-2", permit.target.upstream.registered_name)

    def test_wait_ends_with_the_useful_time(self):
        context = make_context(True)
        began = context.times.began
        with count_wait() as ticker:
            self.assertIsNone(self.selector.acquire(context))
        self.assertGreaterEqual(read_clock() - began, 0.9 * OBJECTIVE - 0.05)
        self.assertLess(ticker.waited, 0.9 * OBJECTIVE + 0.05)
        self.assertIs(RefusalReason.MOVING, context.refusal.reason)

    def test_wait_after_a_send_ends_with_the_final_deadline(self):
        # Guards against answers after the route timeout: the owner declined
        # the request shortly before it.
        context, began = make_context(True, sends=1), read_clock()
        context.times = RequestTimes(began - 1.0, began + 0.02, began + 0.02)
        with count_wait() as ticker:
            self.assertIsNone(self.selector.acquire(context))
        self.assertLess(ticker.waited, 0.06)

    def test_caller_is_told_at_once_how_long_the_owner_is_held(self):
        now = read_clock()
        self.deployment.note_holds(SERVICE, {self.move: now + 2.0})
        context = make_context(True)
        with count_wait() as ticker, stop_clock(now):
            self.assertIsNone(self.selector.acquire(context))
        self.assertLess(ticker.waited, 0.05)
        self.assertAlmostEqual(2.1, context.retry_after)
