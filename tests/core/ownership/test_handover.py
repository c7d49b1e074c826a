"""Tests of the proof that a previous owner has stopped."""

import testtools

from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.handover import ReleaseTracker

A, B, C = HostName("a"), HostName("b"), HostName("c")
MEMBERS = [A, B, C]
KEY = ShardKey(ServiceName("s"), Shard(0))
U = UpstreamName("u")


def takeover_wait(longest_request):
    return 1.0 + longest_request


class ReleaseTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        owned = EMPTY_ASSIGNMENT.assign_first({KEY: U}, ChangeId("1"))
        self.released = owned.release([KEY], ChangeId("2"))
        self.tracker = ReleaseTracker(A)

    def follow(self, revision=5, longest=0.0):
        self.tracker.follow(Revision(revision), self.released, {KEY: longest})

    def record(self, now, member, revision=5, counting=True):
        self.tracker.note_member(
            now, member, Revision(revision), counting, MEMBERS
        )

    def stopped(self, now):
        return self.tracker.list_stopped(now, takeover_wait)

    def test_waits_from_the_time_a_majority_knows(self):
        # If the shard is taken over too early, the previous owner may still
        # hold a grant renewed by a member that does not know of the
        # release, and two upstreams serve the shard.
        self.follow()
        self.record(10.0, A)
        self.assertEqual({}, self.stopped(100.0))
        self.record(10.4, B)
        self.assertEqual({}, self.stopped(11.3))
        self.assertEqual({KEY: Epoch(2)}, self.stopped(11.4))

    def test_member_with_older_revision_is_not_told(self):
        self.follow()
        self.record(10.0, A)
        self.record(10.0, B, revision=4)
        self.assertEqual({}, self.stopped(100.0))

    def test_member_that_does_not_count_is_not_told(self):
        # It has restarted and may have lost its knowledge of the release.
        self.follow()
        self.record(10.0, A)
        self.record(10.0, B, counting=False)
        self.assertEqual({}, self.stopped(100.0))

    def test_unchecked_upstream_waits_for_its_longest_request(self):
        # An upstream that does not check orders also runs a request that was
        # sent just before its grant expired and arrives late, so the
        # request's deadline has to pass as well.
        self.follow(longest=3.0)
        self.record(10.0, A)
        self.record(10.0, B)
        self.assertEqual({}, self.stopped(13.9))
        self.assertEqual({KEY: Epoch(2)}, self.stopped(14.0))

    def test_confirmation_ends_the_wait_only_at_its_fence(self):
        self.follow()
        self.tracker.confirm(KEY, Epoch(1))
        self.assertEqual({}, self.stopped(10.0))
        self.tracker.confirm(KEY, Epoch(2))
        self.assertEqual({KEY: Epoch(2)}, self.stopped(10.0))

    def test_new_release_of_a_shard_begins_a_new_wait(self):
        self.follow()
        self.record(10.0, A)
        self.record(10.0, B)
        owned = self.released.complete(
            {KEY: U}, {KEY: Epoch(2)}, ChangeId("3")
        )
        self.tracker.follow(Revision(6), owned, {})
        self.assertEqual({}, self.stopped(100.0))
        self.released = owned.release([KEY], ChangeId("4"))
        self.follow(revision=7)
        self.assertEqual({}, self.stopped(200.0))
