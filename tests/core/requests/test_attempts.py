"""Tests of the choice of a target for the next attempt, and of retries."""

import msgspec
import testtools

from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import find_owner
from sedgetide.core.requests.attempts import list_candidates
from sedgetide.core.requests.attempts import may_send_again
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import refine_failure
from sedgetide.core.requests.attempts import Wait
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.routes import compute_times

SAFE = RouteRule("r", "a", "/", True, 1.0, 0.5, 2, 1, (Share("maps", 1.0),))
NOW = 1.0
UNSAFE = msgspec.structs.replace(SAFE, idempotent=False)


class TestListCandidates(testtools.TestCase):
    """An upstream crashes, and one of another service gets its address.

    The registry lists the crashed one for three more heartbeats. The new user
    of the address refuses each request at once, so the crashed upstream would
    seem the fastest and attract requests and retries of all hosts, while the
    other upstreams are idle.
    """

    def setUp(self):
        super().setUp()
        self.directory = UpstreamDirectory()
        for name in ("u-1", "u-2"):
            entry = RegisteredUpstream(name, "roster", "1.1.1.1:1", "dc")
            self.directory.put(entry, 1.0)

    def list_names(self, now, tried=()):
        found = list_candidates(self.directory, "roster", tried, now)
        return sorted(each.name for each in found)

    def test_refusal_without_keys_means_another_upstream(self):
        self.assertIs(
            Failure.FOREIGN, refine_failure(Failure.NOT_OWNER, keyed=False)
        )
        self.assertIs(
            Failure.NOT_OWNER, refine_failure(Failure.NOT_OWNER, keyed=True)
        )

    def test_reused_address_is_excluded(self):
        self.directory.note_foreign("u-1", 10.0)
        self.assertEqual(["u-2"], self.list_names(10.1))
        self.assertEqual(["u-2"], self.list_names(10.1, tried=["u-2"]))

    def test_entry_that_stays_is_tried_again(self):
        self.directory.note_foreign("u-1", 10.0)
        self.assertEqual(["u-1", "u-2"], self.list_names(14.0))


class TestFindOwner(testtools.TestCase):
    """Only the owner is sent a request, and only while it is not leaving."""

    def setUp(self):
        super().setUp()
        self.directory = UpstreamDirectory()
        for name in ("u-1", "u-2"):
            self.put(name)
        self.table = RangeTable().assign_first([("u-1", 1), ("u-2", 1)])

    def put(self, name, leaving=False):
        entry = RegisteredUpstream(name, "maps", "1.1.1.1:1", "dc", 1, leaving)
        self.directory.put(entry, 1.0)

    def test_owner(self):
        target = find_owner(self.table, 5, self.directory, NOW)
        self.assertEqual("u-1", target.upstream.name)
        self.assertEqual(1, target.fence)

    def test_no_owner_yet(self):
        self.assertIs(Wait.NO_OWNER, find_owner(None, 5, self.directory, NOW))
        self.assertIs(
            Wait.NO_OWNER, find_owner(self.table, None, self.directory, NOW)
        )

    def test_moving_range_waits(self):
        table = self.table.begin([Move(KeyRange(0, 9), "u-2")])
        self.assertIs(Wait.MOVING, find_owner(table, 5, self.directory, NOW))

    def test_leaving_owner_gets_nothing(self):
        # The owner has announced its shutdown and its keys have not moved yet.
        # A request sent to it could be interrupted by the shutdown.
        self.put("u-1", leaving=True)
        found = find_owner(self.table, 5, self.directory, NOW)
        self.assertIs(Wait.OWNER_GONE, found)


class TestMaySendAgain(testtools.TestCase):
    """A non-idempotent request that may have run is not sent again."""

    def ask(self, route, outcome, sends=1, tried=("u-1",), now=0.1):
        progress = Progress(outcome, tried=list(tried), sends=sends)
        times = compute_times(route, None, 0.0)
        return may_send_again(route, progress, False, times, now)

    def test_unsafe_after_a_byte_left(self):
        self.assertFalse(self.ask(UNSAFE, Outcome.UNKNOWN))

    def test_unsafe_that_was_declined(self):
        self.assertTrue(self.ask(UNSAFE, Outcome.NOT_RUN))

    def test_idempotent_after_a_byte_left(self):
        self.assertTrue(self.ask(SAFE, Outcome.UNKNOWN))

    def test_attempts_are_bounded(self):
        two = ("u-1", "u-2")
        self.assertFalse(self.ask(SAFE, Outcome.NOT_RUN, 2, two))

    def test_no_time_left(self):
        self.assertFalse(self.ask(SAFE, Outcome.NOT_RUN, now=0.8))
