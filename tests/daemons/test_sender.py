"""Tests of what a failed attempt leaves in the state of its request."""

import types

import gevent
import testtools

from sedgetide.core.errors import AnswerCutError
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.history import NO_POSITION
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.answerids import AnswerIds
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.idleconnections import IdleLimit
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.owedanswers import OwedAnswers
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.sentids import SentIds
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._sender import Sender
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.platform._requests import PlatformRequests
from sedgetide.runtime.clock import read_clock
from tests.daemons.test_requestlog import make_context

UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"),
    ServiceName("map"),
    "10.0.0.9:80",
    DataCentre("north"),
)


class _UnreachablePool:
    def take_idle(self, is_suitable):
        return None

    def take(self, timeout):
        raise UpstreamError(
            ErrorCode.UPSTREAM_UNREACHABLE, Step.CONNECT, "", "refused", False
        )


class _SilentConnection:
    """Open connection whose requests get no answer."""

    is_new = False
    rested = 0.4
    local_port = 40000
    answered = True

    def __init__(self):
        self.sent_ids = SentIds()

    def exchange(self, request, timeout, is_own_answer):
        raise UpstreamError(
            ErrorCode.UPSTREAM_SILENT, Step.ANSWER, "", "no response", True
        )


class SenderTest(testtools.TestCase):
    """Base of the tests of one sender."""

    def setUp(self):
        super().setUp()
        self.meter = LoadMeter()
        self.paths = PathMonitor(UpstreamDirectory(), UpstreamChannels(1000))
        self.sender = Sender(
            None,
            PlatformRequests(),
            self.meter,
            PartitionDetector("north"),
            None,
            None,
            self.paths,
        )
        channel = types.SimpleNamespace(
            pool=_UnreachablePool(),
            health=UpstreamHealth(),
            owed=OwedAnswers(),
            answer_ids=AnswerIds(),
        )
        self.permit = types.SimpleNamespace(
            target=Target(UPSTREAM, 1), channel=channel, place=None
        )


class TestSender(SenderTest):
    """Failures of an attempt."""

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

    def send_without_answer(self):
        """Send a request that gets no answer; return the failures reported."""
        pool = types.SimpleNamespace(take_idle=lambda _: _SilentConnection())
        self.permit.channel.pool = pool
        self.permit.channel.idle_limit = IdleLimit()
        context = make_context(Outcome.NOT_RUN)
        now = read_clock()
        context.times = type(context.times)(now, now + 1.0, now + 0.5)
        self.sender.attempt(context, self.permit, lambda: True)
        self.assertEqual([Failure.SILENT], context.failures)
        report = self.meter.collect_report(NO_POSITION)
        return [each.failures for each in report.upstreams]

    def test_caller_that_leaves_is_told_to_the_crash_detector(self):
        # Guards against requests that crash upstreams and are never suspected,
        # as their callers leave before.
        abandoned = []
        self.sender._crash_detector = types.SimpleNamespace(
            note_abandoned=lambda _, upstream: abandoned.append(upstream)
        )
        connection = types.SimpleNamespace(
            exchange=lambda *_: gevent.sleep(60.0),
            sent_ids=SentIds(),
            rested=1.0,
            local_port=1,
            is_new=False,
            answered=True,
        )
        pool = types.SimpleNamespace(take_idle=lambda _: connection)
        self.permit.channel.pool = pool
        self.permit.channel.idle_limit = IdleLimit()
        context = make_context(Outcome.NOT_RUN)
        now = read_clock()
        context.times = type(context.times)(now, now + 9.0, now + 0.5)
        sending = gevent.spawn(
            self.sender.attempt, context, self.permit, lambda: True
        )
        gevent.sleep(0.02)
        sending.kill()
        self.assertEqual([UPSTREAM], abandoned)

    def test_silent_upstream_is_reported_to_the_leader(self):
        self.assertEqual([1], self.send_without_answer())

    def test_silence_on_a_lost_path_is_not_the_upstreams(self):
        # Guards against keys that leave a sound upstream because a host that
        # has lost its path reports failures of it.
        self.paths.note_missed(UPSTREAM)
        self.assertEqual([], self.send_without_answer())

    def test_answers_that_were_cut_are_owed(self):
        # Guards against reads of many answers without end at a time, each of
        # which takes up to a second and megabytes.
        owed = self.permit.channel.owed
        now = read_clock()
        for _ in range(3):
            self.assertRaises(
                AnswerCutError,
                self.sender._exchange,
                make_context(Outcome.NOT_RUN),
                self.permit,
                _EndingConnection(cut=True),
                now - 2.0,
            )
        self.assertEqual(0.0, owed.find_silence(0.1, now))
        owed.note_sent(now)
        self.assertGreater(owed.find_silence(0.1, now), 0.0)


class _EndingConnection(_SilentConnection):
    """Open connection that ends instead of an answer."""

    def __init__(self, cut):
        super().__init__()
        self._cut = cut

    def exchange(self, request, timeout, is_own_answer):
        kind = AnswerCutError if self._cut else UpstreamError
        raise kind(ErrorCode.BAD_ANSWER, Step.ANSWER, "", "ended", sent=True)


class TestIdleLimit(SenderTest):
    """Which ends of a connection shorten the idle time of others."""

    def find_max_idle(self, cut):
        self.sender = Sender(
            None,
            PlatformRequests(),
            self.meter,
            PartitionDetector("north"),
            None,
            types.SimpleNamespace(note_broken=lambda *_: None),
            self.paths,
        )
        pool = types.SimpleNamespace(
            take_idle=lambda _: _EndingConnection(cut)
        )
        channel = self.permit.channel
        channel.pool, channel.idle_limit = pool, IdleLimit()
        channel.window = types.SimpleNamespace(note_refusal=lambda _: None)
        context = make_context(Outcome.NOT_RUN)
        now = read_clock()
        context.times = type(context.times)(now, now + 60.0, now + 60.0)
        self.sender.attempt(context, self.permit, lambda: True)
        self.assertEqual([Failure.BROKEN], context.failures)
        return channel.idle_limit.find_max_idle(now)

    def test_reset_shortens_it(self):
        self.assertEqual(0.2, self.find_max_idle(cut=False))

    def test_answer_over_a_limit_does_not(self):
        # Guards against new connections for each request, because this host
        # has ended one itself.
        self.assertEqual(float("inf"), self.find_max_idle(cut=True))
