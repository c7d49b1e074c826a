"""Tests of the attribution of broken connections to crashes."""

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
