"""Tests of the attribution of broken connections to crashes."""

import msgspec
import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.requests.brokenruns import BrokenRun
from sedgetide.core.requests.brokenruns import BrokenRuns
from sedgetide.core.requests.brokenruns import LossProof

UPSTREAM = RegisteredUpstream(
    UpstreamName("map-1"),
    ServiceName("map"),
    "10.0.0.9:80",
    DataCentre("north"),
    2,
)


def make_run(at, request="r", fingerprint="f"):
    return BrokenRun(RequestId(request), Fingerprint(fingerprint), at)


def make_abandoned_run(at, runs_until, request="r"):
    run = make_run(at, request)
    return msgspec.structs.replace(run, runs_until=runs_until)


class TestBrokenRuns(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = UpstreamDirectory()
        self.directory.put(UPSTREAM, 0.0)
        self.runs = BrokenRuns()

    def test_all_attempts_of_a_crashed_upstream(self):
        self.runs.note(UPSTREAM.name, make_run(1.0, "a"))
        self.runs.note(UPSTREAM.name, make_run(1.01, "b"))
        ended = self.runs.pop_ended(UPSTREAM.name, LossProof.REFUSED)
        self.assertEqual(["a", "b"], [run.request for run in ended.runs])
        self.assertEqual(1.0, ended.at)
        self.assertIsNone(
            self.runs.pop_ended(UPSTREAM.name, LossProof.REFUSED)
        )

    def test_upstream_that_goes_on_answering_has_not_ended(self):
        """An overloaded upstream resets a request and serves the others.

        Its entry disappears a second later for another reason. The answer in
        between shows that the request had not crashed it.
        """
        self.runs.note(UPSTREAM.name, make_run(1.0))
        self.runs.note_answer(UPSTREAM.name, began=1.1)
        self.directory.remove(UPSTREAM.registered_name, 2.0)
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 2.0))

    def test_request_of_a_caller_that_left_may_still_crash_it(self):
        # Guards against a request that is never suspected, as its callers
        # leave before it crashes the upstream that goes on with it.
        self.runs.note(UPSTREAM.name, make_abandoned_run(1.0, 2.0))
        self.runs.note_answer(UPSTREAM.name, began=1.9)
        self.directory.remove(UPSTREAM.registered_name, 2.5)
        (ended,) = self.runs.pop_withdrawn(self.directory, 2.5)
        self.assertFalse(ended.has_broken_runs)
        self.assertEqual(1.0, ended.at)

    def test_request_of_a_caller_that_left_is_over_after_its_deadline(self):
        # Guards against sound requests that are suspected long after.
        self.runs.note(UPSTREAM.name, make_abandoned_run(1.0, 2.0))
        self.runs.note_answer(UPSTREAM.name, began=2.1)
        self.assertNotIn(UPSTREAM.name, self.runs)
        self.runs.note(UPSTREAM.name, make_abandoned_run(3.0, 4.0))
        self.runs.note(UPSTREAM.name, make_run(5.0, "broken"))
        ended = self.runs.pop_ended(UPSTREAM.name, LossProof.REFUSED)
        self.assertEqual(["broken"], [run.request for run in ended.runs])
        self.assertEqual(5.0, ended.at)

    def test_announced_end_has_nothing_to_do_with_callers_that_left(self):
        # Guards against sound requests that are suspected when upstreams are
        # replaced while many callers leave.
        self.runs.note(UPSTREAM.name, make_abandoned_run(1.0, 9.0))
        self.directory.note_leaving(UPSTREAM.name)
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 1.2))
        self.directory.remove(UPSTREAM.registered_name, 3.0)
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 3.0))

    def test_broken_connections_go_before_callers_that_left(self):
        # Guards against a crash that is not attributed, as many callers have
        # left before.
        for number in range(100):
            run = make_abandoned_run(1.0, 9.0, f"left-{number}")
            self.runs.note(UPSTREAM.name, run)
        self.runs.note(UPSTREAM.name, make_run(1.5, "broken"))
        ended = self.runs.pop_ended(UPSTREAM.name, LossProof.REFUSED)
        self.assertIn("broken", [run.request for run in ended.runs])
        self.assertEqual(1.5, ended.at)

    def test_last_answer_of_an_upstream_that_ends(self):
        """An answer is sent right before the crash and read after it.

        Taken as proof that the upstream is alive, it would hide the loss.
        """
        self.runs.note(UPSTREAM.name, make_run(1.0))
        self.runs.note_answer(UPSTREAM.name, began=0.8)
        self.directory.remove(UPSTREAM.registered_name, 3.6)
        ended = self.runs.pop_withdrawn(self.directory, 3.6)
        self.assertEqual(1, len(ended))

    def test_entry_that_disappears_within_seconds(self):
        """A proxy in front of the upstream accepts all connections.

        No connection is refused after the upstream has crashed. The crash is
        detected when its entry expires three heartbeats later.
        """
        self.runs.note(UPSTREAM.name, make_run(1.0))
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 2.0))
        self.directory.remove(UPSTREAM.registered_name, 3.6)
        ended = self.runs.pop_withdrawn(self.directory, 3.6)
        self.assertEqual(LossProof.WITHDRAWN, ended[0].proof)
        self.assertEqual(1.0, ended[0].at)

    def test_entry_that_disappears_long_after(self):
        self.runs.note(UPSTREAM.name, make_run(1.0))
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 8.0))
        self.directory.remove(UPSTREAM.registered_name, 8.1)
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 8.1))

    def test_entry_that_expires_while_the_store_is_unavailable(self):
        # Missing entries prove nothing while the store is unreachable.
        self.runs.note(UPSTREAM.name, make_run(1.0))
        self.directory.note_registry_outage(1.5)
        self.directory.remove(UPSTREAM.registered_name, 2.0)
        self.assertEqual([], self.runs.pop_withdrawn(self.directory, 2.0))

    def test_restart_under_the_same_name(self):
        first = RegisteredUpstream(
            UpstreamName("map-2"),
            ServiceName("map"),
            "10.0.0.8:80",
            DataCentre("north"),
            born=1,
        )
        self.directory.put(first, 0.0)
        self.runs.note(first.name, make_run(1.0))
        again = RegisteredUpstream(
            UpstreamName("map-2"),
            ServiceName("map"),
            "10.0.0.8:80",
            DataCentre("north"),
            born=2,
        )
        self.directory.put(again, 1.5)
        ended = self.runs.pop_withdrawn(self.directory, 1.5)
        self.assertEqual([first.name], [each.upstream for each in ended])

    def test_memory_is_bounded(self):
        for number in range(2000):
            name = f"map-{number % 500}"
            self.runs.note(name, make_run(float(number)))
        for _ in range(100):
            self.runs.note("map-499", make_run(2000.0))
        kept = self.runs.pop_ended("map-499", LossProof.REFUSED)
        self.assertLessEqual(len(kept.runs), 32)
