"""Tests of what a failed attempt leaves in the state of its request."""

import types

import testtools

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._sender import Sender
from tests.daemons.test_requestlog import make_context

UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"),
    ServiceName("map"),
    "10.0.0.9:80",
    DataCentre("north"),
)


class _UnreachablePool:
    def take(self, timeout, max_idle):
        raise UpstreamError(
            ErrorCode.UPSTREAM_UNREACHABLE, Step.CONNECT, "", "refused", False
        )


class TestSender(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sender = Sender(
            None,
            None,
            None,
            PartitionDetector("north"),
            None,
            None,
            PathMonitor(UpstreamDirectory(), None),
        )
        channel = types.SimpleNamespace(
            pool=_UnreachablePool(), health=UpstreamHealth()
        )
        self.permit = types.SimpleNamespace(
            target=Target(UPSTREAM, 1), channel=channel, place=None
        )

    def test_failure_replaces_what_the_request_waited_for(self):
        # Guards against a failed attempt that is logged with the reason of a
        # wait which ended before the attempt.
        context = make_context(Outcome.NOT_RUN)
        context.refuse(RefusalReason.MOVING)
        self.sender.attempt(context, self.permit, lambda: True)
        self.assertEqual([Failure.UNREACHABLE], context.failures)
        self.assertIs(RefusalReason.UNREACHABLE, context.find_reason())
        self.assertEqual("refused", context.detail)

    def test_too_late_to_be_sent(self):
        context = make_context(Outcome.NOT_RUN)
        times = context.times
        context.times = type(times)(times.began - 9.0, times.began, 0.0)
        self.sender.attempt(context, self.permit, lambda: True)
        self.assertIs(RefusalReason.TOO_LATE, context.find_reason())
