"""Tests of the log lines and metrics of refused and failed requests."""

from prometheus_client import REGISTRY
import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Version
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._requestlog import record_metrics
from sedgetide.daemons._requestlog import RequestLog
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Request
from tests.daemons.eventcapture import capture_events

ROUTE = RouteRule(
    RouteName("log-test"),
    "h",
    "/",
    True,
    4.0,
    0.6,
    2,
    2,
    (Share(ServiceName("map"), 1.0),),
)


def make_context(outcome, failures=(), **fields):
    now = read_clock()
    return RequestContext(
        Request("GET", "/", [], b""),
        CallerFields(RequestId("r"), 4.0, Key(1)),
        ROUTE,
        ServiceName("map"),
        True,
        RequestTimes(now, now + 4.0, now + 0.6),
        Progress(outcome, [Failure.NONE, *failures][-1], [], len(failures)),
        failures=list(failures),
        **fields,
    )


class RequestLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        deployment = DeploymentState(PlatformRegistry())
        deployment.policy = Policy(Version(1), (), {})
        deployment.heard_at = read_clock()
        self.request_log = RequestLog(deployment, PlatformRequests())
        self.events = capture_events(self)

    def log(self, context, status):
        self.request_log.log_end(context, status, read_clock())
        return self.events[-1]


class TestLogEnd(RequestLogTest):
    def test_refusal_after_two_failures_has_a_reason(self):
        # Guards against refusals with an empty reason.
        for failure in (Failure.BUSY, Failure.NOT_OWNER, Failure.UNREACHABLE):
            context = make_context(Outcome.NOT_RUN, [failure, failure])
            line = self.log(context, 503)
            self.assertEqual(failure.value, line["note"])

    def test_place_refused_at_an_upstream(self):
        refusal = Refusal(RefusalReason.NO_PLACE, IncarnationName("map-1"))
        context = make_context(
            Outcome.NOT_RUN, refusal=refusal, retry_after=1.25
        )
        line = self.log(context, 503)
        self.assertEqual("no place", line["note"])
        self.assertEqual("map-1", line["no_room_at"])
        self.assertEqual("1.25", line["retry_after"])

    def test_error_text_is_not_the_reason(self):
        context = make_context(
            Outcome.UNKNOWN, [Failure.BROKEN], detail="reset by peer"
        )
        line = self.log(context, 502)
        self.assertEqual("broken", line["note"])
        self.assertEqual("reset by peer", line["detail"])
        # Guards against a Retry-After in the log that no caller was told.
        self.assertNotIn("retry_after", line)

    def test_answered_after_a_move(self):
        context = make_context(
            Outcome.ANSWERED, refusal=Refusal(RefusalReason.MOVING)
        )
        self.assertEqual("moving", self.log(context, 200)["note"])

    def test_caller_that_left_before_anything_was_decided(self):
        # Guards against an error while the line is made.
        line = self.log(make_context(Outcome.NOT_RUN), 0)
        self.assertEqual("", line["note"])

    def test_host_that_has_not_read_the_routes(self):
        headers = [("Host", "h")]
        request = Request("GET", "/x", headers, b"")
        self.request_log.log_unrouted(request, RefusalReason.NO_ROUTES, 0.5)
        line = self.events[-1]
        self.assertEqual(
            ("no-routes", "0.5"), (line["note"], line["retry_after"])
        )


class TestRecordMetrics(testtools.TestCase):
    """Refusals and failures are counted by route and reason."""

    def read(self, name, **labels):
        labels["route"] = ROUTE.name
        return REGISTRY.get_sample_value(f"sedgetide_{name}", labels) or 0.0

    def test_refusals_by_reason(self):
        labels = {"reason": "no retry budget"}
        before = self.read("unanswered_requests_total", **labels)
        context = make_context(Outcome.NOT_RUN, [Failure.BUSY])
        context.refuse(RefusalReason.NO_RETRY_BUDGET)
        record_metrics(context, read_clock())
        after = self.read("unanswered_requests_total", **labels)
        self.assertEqual(1.0, after - before)

    def test_answered_request_is_held_but_not_counted_as_refused(self):
        before = self.read("route_held_seconds_sum")
        context = make_context(
            Outcome.ANSWERED, refusal=Refusal(RefusalReason.MOVING), held=0.2
        )
        context.progress.sends = 1
        record_metrics(context, read_clock())
        self.assertAlmostEqual(
            0.2, self.read("route_held_seconds_sum") - before
        )
        self.assertEqual(
            0.0, self.read("unanswered_requests_total", reason="moving")
        )
