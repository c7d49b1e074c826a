"""Tests of the final answers of requests that get none from an upstream."""

import contextlib
import random
import types

import gevent
import hypothesis
import testtools

from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import ServiceRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.identifiers import Version
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.forwarding import ForwardedRequest
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.retries import RetryPolicy
from sedgetide.core.requests.routes import RouteTable
from sedgetide.core.requests.stages import Stage
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._forwarder import Detour
from sedgetide.daemons._requestrouter import RequestRouter
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request
from tests.daemons.eventcapture import capture_events

SERVICE = ServiceName("map")
ROUTE = RouteRule(
    RouteName("map"), "h", "/", True, 4.0, 0.6, 2, 2, (Share(SERVICE, 1.0),)
)
FAR_UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"), SERVICE, "10.0.0.9:80", DataCentre("south")
)
POLICY = Policy(Version(1), (ROUTE,), {SERVICE: ServiceRule(SERVICE)})


class _Sender:
    """Yields one failure after the other."""

    def __init__(self, failures):
        self._failures = list(failures)

    def attempt(self, context, permit, may_send):
        failure = self._failures.pop(0)
        context.progress.sends += 1
        context.progress.tried.append(f"map-{context.progress.sends}")
        context.progress.failure = failure
        context.failures.append(failure)
        context.refusal = None
        return True


class RequestRouterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(PlatformRegistry())
        self.deployment.policy = POLICY
        self.deployment.routes = RouteTable(POLICY)
        self.deployment.heard_at = read_clock()
        trial = types.SimpleNamespace(
            ask=lambda: Verdict.NEEDLESS,
            mark_sending=lambda: None,
            note_result=lambda failure: None,
        )
        self.router = RequestRouter(
            self.deployment,
            PlatformRequests(),
            None,
            None,
            None,
            "north",
            PartitionDetector("north"),
            None,
            None,
            None,
            types.SimpleNamespace(
                find_stay_left=lambda context, now: 0.0,
                may_retry=lambda context: True,
                note_end=lambda context, now: None,
            ),
            types.SimpleNamespace(
                open=lambda context: contextlib.nullcontext(trial)
            ),
            RetryPolicy(1.0, 10.0),
            random.Random(1),
        )
        self.router._selector.acquire = self.acquire
        self.router._paths = types.SimpleNamespace(
            tracker=types.SimpleNamespace(is_cut_off=True)
        )
        self.events = capture_events(self)

    def acquire(self, context):
        return types.SimpleNamespace(release=lambda: None)

    def take_detour(self, context):
        context.detour = context.service

    def serve(self):
        return self.router.serve(Request("GET", "/x", [("Host", "h")], b""))

    def serve_forwarded(self, version=1, target="/x", **fields):
        return self.router.serve_forwarded(
            ForwardedRequest(
                HostName("h-2"),
                "GET",
                target,
                [("Host", "h")],
                b"",
                "",
                Version(version),
                0.1,
                1.0,
                **fields,
            )
        )


class TestFinalAnswer(RequestRouterTest):
    def test_refusal_after_two_failures_has_a_reason_and_a_promise(self):
        # Guards against refusals with an empty reason, and against a
        # Retry-After in the log that differs from the one in the answer.
        for failure in (Failure.BUSY, Failure.DECLINED, Failure.FOREIGN):
            self.router._sender = _Sender([failure] * 2)
            answer = self.serve()
            line = self.events[-1]
            self.assertEqual(503, answer.status)
            self.assertEqual(failure.value, line["note"])
            self.assertEqual(
                find_header(answer.headers, "retry-after"), line["retry_after"]
            )

    def test_refusal_tells_that_places_are_short(self):
        """Guards against a caller that repeats refused requests at once."""
        self.router._sender = _Sender([Failure.BUSY] * 2)
        self.assertTrue(self.serve().congested)

    def test_error_in_the_router_is_logged_as_a_failure(self):
        # Guards against a 502 without a line of its request.
        self.router._sender = _Sender([])
        self.assertRaises(IndexError, self.serve)
        line = self.events[-1]
        self.assertEqual(
            (502, "internal-error"), (line["status"], line["note"])
        )

    def test_request_without_an_answer_is_logged_with_its_wait(self):
        # Guards against requests that end with the process without a line.
        def wait(context):
            with context.wait_for(Stage.PLACE):
                gevent.sleep(60.0)

        self.router._selector.acquire = wait
        waiting = gevent.spawn(self.serve)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        self.router.log_unfinished()
        line = self.events[-1]
        self.assertEqual((0, "place"), (line["status"], line["stage"]))

    def test_host_without_routes(self):
        self.deployment.routes = None
        self.assertEqual(503, self.serve().status)
        self.assertEqual("no-routes", self.events[-1]["note"])

    def test_answer_by_a_peer_shows_that_its_data_centre_is_reached(self):
        # Guards against hosts that withdraw from the balancer as cut off,
        # though peers serve all of their requests.
        self.deployment.directory.put(FAR_UPSTREAM, read_clock())
        reached = []
        self.router._partitions = types.SimpleNamespace(
            note_reached=lambda name, now: reached.append(name),
            note_end=lambda answered: None,
        )

        def forward(context, destination):
            context.progress.outcome = Outcome.ANSWERED
            context.progress.tried = [FAR_UPSTREAM.name]
            context.answer = Answer(200, [])
            return Detour.FINAL

        self.router._forwarder = types.SimpleNamespace(forward=forward)
        self.router._selector.acquire = self.take_detour
        self.assertEqual(200, self.serve().status)
        self.assertEqual(["south"], reached)


class TestPeerAnswer(RequestRouterTest):
    """What an upstream says of itself in an answer that a peer got."""

    def serve_by_peer(self, *headers, status=200):
        self.deployment.directory.put(FAR_UPSTREAM, read_clock())

        def forward(context, destination):
            answered = status < 500
            outcome = Outcome.ANSWERED if answered else Outcome.UNKNOWN
            context.progress.outcome = outcome
            context.progress.tried = [FAR_UPSTREAM.name]
            context.answer = Answer(status, list(headers))
            context.answered_by = FAR_UPSTREAM.name
            return Detour.FINAL

        self.router._forwarder = types.SimpleNamespace(forward=forward)
        self.router._selector.acquire = self.take_detour
        return self.serve()

    def test_upstream_that_leaves(self):
        # Guards against requests to an upstream after a host has passed on
        # that it leaves, as only the peer that sent for it had read that.
        for status in (200, 500):
            answer = self.serve_by_peer(("Server-Leaving", "1"), status=status)
            self.assertEqual(status, answer.status)
            active = self.deployment.directory.list_active(SERVICE)
            self.assertEqual([], active)

    def test_upstream_that_names_a_limit(self):
        # Guards against more requests than an upstream takes, from a host
        # that has passed on the limit.
        self.serve_by_peer(("Server-Limit", "3.5"))
        limit = self.deployment.limits.find(FAR_UPSTREAM.name)
        self.assertEqual(3.5, limit.rate)
        self.serve_by_peer()
        self.assertIsNotNone(self.deployment.limits.find(FAR_UPSTREAM.name))

    def test_backoff_is_that_of_the_peer(self):
        # Guards against a host that sends an upstream nothing, as that has
        # asked another host for a pause.
        self.serve_by_peer(("Retry-After", "5"), status=503)
        remaining = self.deployment.backoffs.find_remaining(
            FAR_UPSTREAM.name, read_clock()
        )
        self.assertEqual(0.0, remaining)


class TestPromises(RequestRouterTest):
    """Statuses that tell a caller that its request has not run."""

    @hypothesis.given(
        hypothesis.strategies.sampled_from(Outcome),
        hypothesis.strategies.sampled_from(
            (200, 404, 408, 421, 429, 500, 503)
        ),
        hypothesis.strategies.booleans(),
    )
    def test_only_a_request_that_has_not_run_gets_a_promise(
        self, outcome, status, by_peer
    ):
        # Guards against a failure of an upstream, with a status that promises
        # "not run", that makes its caller send the request once more.
        def end(context):
            context.progress.outcome = outcome
            context.progress.tried = [FAR_UPSTREAM.name]
            context.answer = Answer(status, [("X-Signature", "1")])
            if outcome is not Outcome.ANSWERED:
                context.progress.failure = Failure.FAILED
                context.failures.append(Failure.FAILED)

        def attempt(context, permit, may_send):
            end(context)
            return True

        def forward(context, destination):
            end(context)
            return Detour.FINAL

        self.router._sender = types.SimpleNamespace(
            attempt=attempt, note_peer_answer=lambda context, asked_at: None
        )
        self.router._forwarder = types.SimpleNamespace(forward=forward)
        self.router._quarantine.may_retry = lambda context: False
        acquire = self.take_detour if by_peer else self.acquire
        self.router._selector.acquire = acquire
        answer = self.serve()
        if outcome is Outcome.NOT_RUN:
            self.assertEqual(503, answer.status)
        elif status in (408, 421, 429, 503):
            self.assertEqual((502, []), (answer.status, answer.headers))
            self.assertEqual("unknown", self.events[-1]["outcome"])
        else:
            self.assertEqual(status, answer.status)

    def test_peer_is_told_that_the_request_may_have_run(self):
        # Guards against a peer that returns the promise of an upstream.
        def attempt(context, permit, may_send):
            context.progress.outcome = Outcome.UNKNOWN
            context.progress.failure = Failure.FAILED
            context.failures.append(Failure.FAILED)
            context.answer = Answer(503, [])
            return True

        self.router._sender = types.SimpleNamespace(attempt=attempt)
        self.router._quarantine.may_retry = lambda context: False
        result = self.serve_forwarded()
        self.assertIs(Outcome.UNKNOWN, result.outcome)
        self.assertEqual(0, result.status)


class TestStop(RequestRouterTest):
    """Requests in progress when the host ends."""

    def hold_place(self, context):
        with context.wait_for(Stage.PLACE):
            gevent.sleep(60.0)

    def hold_answer(self, context, permit, may_send):
        context.progress.sends += 1
        context.progress.outcome = Outcome.UNKNOWN
        with context.wait_for(Stage.ANSWER):
            gevent.sleep(60.0)

    def end(self):
        """Return the answer and the log line of a request that is ended."""
        waiting = gevent.spawn(self.serve)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        self.router.begin_stop(read_clock() + 0.1)
        self.router.end_requests()
        return waiting.get(timeout=1.0), self.events[-1]

    def test_request_that_waits_is_refused(self):
        # Guards against a stop that closes the connection of a request that
        # was not sent, so that its caller may not repeat it.
        self.router._selector.acquire = self.hold_place
        answer, line = self.end()
        self.assertEqual(503, answer.status)
        self.assertEqual("0.05", find_header(answer.headers, "retry-after"))
        self.assertEqual(("stopping", "place"), (line["note"], line["stage"]))

    def test_request_at_an_upstream_may_have_run(self):
        # Guards against a promise about a request that an upstream works on.
        self.router._sender = types.SimpleNamespace(attempt=self.hold_answer)
        answer, line = self.end()
        self.assertEqual(504, answer.status)
        self.assertEqual(
            ("unknown", "answer"), (line["outcome"], line["stage"])
        )

    def test_deadline_of_a_waiting_request_is_that_of_the_host(self):
        # Guards against a place that is taken for a later time than the end.
        contexts = []

        def hold(context):
            contexts.append(context)
            self.hold_place(context)

        self.router._selector.acquire = hold
        self.end()
        ends_at = self.router._stop_schedule.ends_at
        later = gevent.spawn(self.serve)
        self.addCleanup(later.kill)
        gevent.sleep(0)
        self.assertEqual(
            [ends_at] * 2, [each.times.final for each in contexts]
        )


class TestForwarded(RequestRouterTest):
    """Requests that another host has passed on."""

    def test_request_is_not_passed_on_twice(self):
        # Guards against requests that circle among hosts without paths.
        self.router._selector.acquire = self.take_detour
        self.router._forwarder = None
        result = self.serve_forwarded()
        self.assertTrue(result.declined)
        self.assertTrue(result.cut_off)
        self.assertEqual("h-2", self.events[-1]["received_from"])

    def test_older_policy_serves_no_newer_request(self):
        # Guards against callers who see a newer version of the routes, and
        # an older one again, because their requests are passed on.
        self.assertTrue(self.serve_forwarded(version=2).declined)
        self.assertTrue(self.serve_forwarded(target="x").declined)

    def test_sends_and_upstreams_of_the_sender_count(self):
        # Guards against more upstreams for a request than its route allows.
        self.router._sender = _Sender([Failure.BUSY])
        result = self.serve_forwarded(sends=1, tried=["map-9"])
        self.assertEqual([Failure.BUSY], result.failures)
        self.assertEqual(["map-2"], result.tried)
        self.assertFalse(result.declined)

    def test_error_in_the_router_leaves_the_outcome_open(self):
        # Guards against "not run" after an error that came behind a send.
        self.router._sender = _Sender([])
        self.assertIs(Outcome.UNKNOWN, self.serve_forwarded().outcome)

    def test_request_that_waits_as_the_host_ends_is_declined(self):
        # Guards against a refusal that the peer would pass on as final.
        def hold(context):
            gevent.sleep(60.0)

        self.router._selector.acquire = hold
        waiting = gevent.spawn(self.serve_forwarded)
        self.addCleanup(waiting.kill)
        gevent.sleep(0)
        self.router.end_requests()
        self.assertTrue(waiting.get(timeout=1.0).declined)

    def test_unreached_upstream_is_declined(self):
        # Guards against a refusal as final by a peer that has found out that
        # it does not reach the upstream either.
        self.router._sender = types.SimpleNamespace(
            attempt=self.fail_to_connect
        )
        self.assertTrue(self.serve_forwarded().declined)

    def fail_to_connect(self, context, permit, may_send):
        context.progress.failure = Failure.UNREACHABLE
        context.failures.append(Failure.UNREACHABLE)
        return True
