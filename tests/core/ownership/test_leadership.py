"""Tests of the proof that a host may give orders."""

import testtools

from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership

TERM = Revision(7)


class TestLeadership(testtools.TestCase):
    """Proofs by reads of the own record, and their ages."""

    def setUp(self):
        super().setUp()
        self.durations = Durations()
        self.leadership = Leadership(self.durations)

    def lead(self, now):
        self.leadership.begin(TERM, now, now)

    def test_orders_end_with_the_proof(self):
        self.lead(100.0)
        life = self.durations.proof_life
        self.assertTrue(self.leadership.may_order(100.0 + life - 0.01))
        self.assertFalse(self.leadership.may_order(100.0 + life))

    def test_read_counts_from_before_it_was_sent(self):
        # The read takes a second to come back. Counted from its return,
        # the host would go on a second longer than its successor waits,
        # and a grant of each would be held at once.
        self.lead(100.0)
        self.leadership.note_read(TERM, 101.0)
        end = 101.0 + self.durations.proof_life
        self.assertFalse(self.leadership.may_order(end))

    def test_record_taken_away_ends_it_at_once(self):
        # The store drops the record and renews the lease all the same; the
        # read finds another's record, or none.
        for found in (NO_REVISION, Revision(9)):
            self.lead(100.0)
            self.assertFalse(self.leadership.note_read(found, 100.5))
            self.assertFalse(self.leadership.may_order(100.6))

    def test_late_read_proves_nothing_once_ended(self):
        self.lead(100.0)
        self.leadership.end()
        self.assertFalse(self.leadership.note_read(TERM, 101.0))
        self.assertFalse(self.leadership.may_order(101.0))

    def test_suspended_host_gives_no_order(self):
        # The host stands still for a minute between two steps; its clock
        # runs on meanwhile, so the first look at it shows the old proof.
        self.lead(100.0)
        self.assertFalse(self.leadership.may_order(160.0))

    def test_longer_holds_once_the_store_is_silent(self):
        self.lead(100.0)
        hold = self.leadership.choose_hold(100.1)
        self.assertEqual(self.durations.hold, hold)
        hold = self.leadership.choose_hold(102.0)
        self.assertEqual(self.durations.long_hold, hold)

    def test_host_turned_away_gives_up(self):
        # The store turns this host away and serves the others, one of which
        # leads by now. Nothing tells this host; it must not go on calling
        # itself the leader, since a leader takes no news from others.
        self.lead(100.0)
        end = 100.0 + self.durations.proof_life + self.durations.lease
        self.assertFalse(self.leadership.is_hopeless(end - 0.01))
        self.assertTrue(self.leadership.is_hopeless(end))
        self.leadership.end()
        self.assertFalse(self.leadership.is_hopeless(end))

    def test_successor_outwaits_the_last_order(self):
        # The predecessor's record is taken away right after its last read.
        # It orders until its proof ends, with the longest hold; an
        # upstream's clock runs slow. Only then is nothing of it held.
        durations = self.durations
        self.lead(100.0)
        last_order = 100.0 + durations.proof_life
        held_until = last_order + durations.long_hold * 1.02
        successor = Leadership(durations)
        successor.begin(Revision(8), 100.0, 100.0)
        self.assertGreater(successor.bound_inherited(), held_until)
