"""Tests of copies of rejections that arrive where another answer is due."""

import re
import types

from gevent.server import StreamServer
import msgspec
import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._sender import Sender
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.platform import _names
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Request
from tests.daemons.test_requestlog import make_context

_ID = re.compile(rf"{_names.REQUEST_ID}: *(\w+)".encode(), re.IGNORECASE)


def _make_answer(status, name, request):
    return (
        f"HTTP/1.1 {status} X\r\n{name}: 1\r\n{_names.REQUEST_ID}: {request}"
        "\r\nContent-Length: 0\r\n\r\n"
    ).encode()


_UNNAMED = (
    f"HTTP/1.1 503 X\r\n{_names.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
).encode()


class RepeatingUpstream:
    """Rejects the first sends, and repeats rejections late.

    It sends the copy where the answer to the next request with the same id
    is due, at the earliest.

    Parameters
    ----------
    rejections : int
        Number of sends to reject of each request.
    extra : bytes
        Additional bytes before each answer but the first on a connection.

    Attributes
    ----------
    runs : list of str
        Ids of the requests that it has run.
    """

    def __init__(self, rejections, extra=b""):
        self.runs = []
        self.names_requests = True
        self.status = "200"
        self._extra = extra
        self._rejections = rejections
        self._sends = {}
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, peer, _):
        rejected, extra = {}, b""
        while head := peer.recv(65536):
            request = _ID.search(head)[1].decode()
            peer.sendall(extra + rejected.pop(request, b""))
            extra = self._extra
            self._sends[request] = self._sends.get(request, 0) + 1
            if self._sends[request] <= self._rejections:
                answer = _make_answer(503, _names.NOT_EXECUTED, request)
                rejected[request] = answer
            else:
                self.runs.append(request)
                answer = _make_answer(self.status, _names.SIGNATURE, request)
            if not self.names_requests:
                answer = re.sub(_ID.pattern + b"\r\n", b"", answer)
            peer.sendall(answer)


class RepeatedAnswersTest(testtools.TestCase):
    """Base of the tests of one host before one upstream."""

    def start(self, rejections, extra=b""):
        self.upstream = RepeatingUpstream(rejections, extra)
        self.addCleanup(self.upstream.server.stop)
        entry = RegisteredUpstream(
            UpstreamName("map-1"),
            ServiceName("map"),
            self.upstream.address,
            DataCentre("north"),
        )
        channels = UpstreamChannels(1000)
        self.addCleanup(channels.close)
        self.sender = Sender(
            DeploymentState(PlatformRegistry()),
            PlatformRequests(),
            LoadMeter(),
            PartitionDetector("north"),
            AnswerAverages(),
            types.SimpleNamespace(
                note_answer=lambda *_: None, note_broken=lambda *_: None
            ),
            PathMonitor(UpstreamDirectory(), channels),
        )
        self.permit = types.SimpleNamespace(
            target=Target(entry, 1), channel=channels.find(entry), place=None
        )

    def make_context(self, request, idempotent=False):
        context = make_context(Outcome.NOT_RUN)
        context.route = msgspec.structs.replace(
            context.route, idempotent=idempotent
        )
        context.fields = CallerFields(RequestId(request), 4.0, None)
        headers = [("Host", "h"), (_names.REQUEST_ID, request)]
        context.request = Request("POST", "/", headers, b"")
        return context

    def send(self, context):
        self.sender.attempt(context, self.permit, lambda: True)
        return context.progress.outcome


class TestRejections(RepeatedAnswersTest):
    def test_copy_of_a_rejection_is_no_answer_to_the_next_attempt(self):
        # Guards against a caller that is told "not run" of a request that
        # its upstream is running.
        self.start(rejections=1)
        context = self.make_context("a")
        self.assertIs(Outcome.NOT_RUN, self.send(context))
        self.assertIs(Outcome.ANSWERED, self.send(context))
        self.assertEqual(["a"], self.upstream.runs)
        self.assertEqual(2, len(set(context.ports)))

    def test_answer_with_an_invalid_status_may_have_run(self):
        # Guards against status 000 as an answer to a caller, or as a promise.
        self.start(rejections=0)
        self.upstream.status = "000"
        context = self.make_context("a")
        self.assertIs(Outcome.UNKNOWN, self.send(context))
        self.assertEqual([Failure.BROKEN], context.failures)
        self.assertIsNone(context.answer)

    def test_copy_after_the_request_of_another_caller(self):
        # Guards against connections that remember only their last request.
        self.start(rejections=1)
        first, other = self.make_context("a"), self.make_context("b")
        self.send(first)
        self.send(other)
        self.assertEqual(first.ports, other.ports)
        self.assertIs(Outcome.ANSWERED, self.send(first))
        self.assertEqual(["a"], self.upstream.runs)

    def test_copies_of_two_rejections(self):
        # Guards against a request that runs twice, as its third attempt
        # follows the copy of a rejection.
        self.start(rejections=2)
        context = self.make_context("a")
        outcomes = [self.send(context) for _ in range(3)]
        self.assertEqual([Outcome.NOT_RUN] * 2, outcomes[:2])
        self.assertIs(Outcome.ANSWERED, outcomes[2])
        self.assertEqual(["a"], self.upstream.runs)
        self.assertEqual(3, len(set(context.ports)))

    def test_idle_connection_is_used_before_a_new_one(self):
        # Guards against a new connection for each retry at an upstream that
        # is at its connection limit.
        self.start(rejections=1)
        pool = self.permit.channel.pool
        for _ in range(2):
            pool.open_spare(1.0)
        context = self.make_context("a")
        self.send(context)
        self.upstream.server.close()
        self.assertIs(Outcome.ANSWERED, self.send(context))

    def test_no_other_connection_can_be_opened(self):
        # Guards against a retry that is sent on the connection of the attempt
        # before because no other can be opened.
        self.start(rejections=1)
        context = self.make_context("a")
        self.send(context)
        self.upstream.server.close()
        self.assertIs(Outcome.NOT_RUN, self.send(context))
        self.assertEqual([Failure.BUSY, Failure.UNREACHABLE], context.failures)
        self.assertEqual([], self.upstream.runs)

    def test_idempotent_request_needs_no_new_connection(self):
        # Guards against a new connection for each retry of an idempotent
        # request at a full upstream, which resets many of them.
        self.start(rejections=1)
        context = self.make_context("a", idempotent=True)
        self.send(context)
        self.send(context)
        self.assertEqual(1, len(set(context.ports)))
        pool = self.permit.channel.pool
        pool.open_spare(1.0)
        other = self.make_context("b", idempotent=True)
        self.send(other)
        self.send(other)
        self.assertEqual(2, len(set(other.ports)))

    def test_connection_carries_a_request_again_after_its_deadline(self):
        # Guards against memory that grows with each request.
        self.start(rejections=0)
        for number in range(20):
            context = self.make_context(f"a{number}")
            now = read_clock()
            context.times = type(context.times)(now, now + 0.01, now + 0.01)
            self.send(context)
        (connection,) = self.permit.channel.pool._idle
        connection.sent_ids.note(RequestId("b"), 9e9, read_clock() + 2.0)
        self.assertEqual(1, len(connection.sent_ids._expiries))


class TestAnswersWithoutAnId(RepeatedAnswersTest):
    """Additional bytes that form an answer without an id."""

    def test_additional_bytes_are_no_rejection(self):
        # Guards against a request that runs twice, as additional bytes after
        # the answer before it were taken for its rejection.
        self.start(rejections=0, extra=_UNNAMED)
        for request in "ab":
            outcome = self.send(self.make_context(request))
            self.assertIs(Outcome.ANSWERED, outcome)
        self.assertEqual(["a", "b"], self.upstream.runs)

    def test_first_answer_on_a_connection_needs_no_id(self):
        # Guards against requests that wait for an answer until their
        # deadlines at an upstream that names no requests.
        self.start(rejections=0)
        self.upstream.names_requests = False
        for request in "abc":
            outcome = self.send(self.make_context(request))
            self.assertIs(Outcome.ANSWERED, outcome)
