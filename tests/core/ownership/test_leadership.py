"""Tests of the proof that a host may give orders."""

import testtools

from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.terms import Term

TERM = Position(0, 7)


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
        for found in (NO_POSITION, Position(0, 9)):
            self.lead(100.0)
            self.assertFalse(self.leadership.note_read(found, 100.5))
            self.assertFalse(self.leadership.may_order(100.6))

    def test_return_of_the_store_ends_all_proofs(self):
        # Guards against a record of before that the copy shows as well.
        self.lead(100.0)
        self.leadership.note_era(1)
        self.assertTrue(self.leadership.era_ended)
        self.assertFalse(self.leadership.note_read(TERM, 101.0))
        end = 100.0 + self.durations.proof_life
        self.assertTrue(self.leadership.may_order(end - 0.01))
        self.assertFalse(self.leadership.may_order(end))

    def test_grants_bridge_the_return_of_the_store(self):
        # Guards against keys that are dark until the next leader grants.
        self.lead(100.0)
        self.leadership.note_era(1)
        self.assertFalse(self.leadership.is_fresh(100.1))
        hold = self.leadership.choose_hold(100.1)
        self.assertEqual(self.durations.long_hold, hold)

    def test_next_term_is_not_outlived(self):
        self.lead(100.0)
        self.leadership.note_era(1)
        self.leadership.begin(Position(1, 3), 103.0, 103.0)
        self.leadership.note_era(1)
        self.assertTrue(self.leadership.is_fresh(103.1))

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

    def test_missed_proof_ends_what_others_rely_on(self):
        # The store turns away the leader and nobody else, and takes its
        # record away. It may order until its proof ends; but fed by it, all
        # hosts would miss a change of routes for as long.
        self.lead(100.0)
        due = 100.0 + 2 * self.durations.verify
        self.assertTrue(self.leadership.is_fresh(due - 0.01))
        self.assertFalse(self.leadership.is_fresh(due))
        self.assertTrue(self.leadership.may_order(due))
        self.assertFalse(Leadership(self.durations).is_fresh(100.0))

    def test_host_turned_away_gives_up(self):
        # The store turns this host away and serves the others, one of which
        # leads by now. Nothing tells this host; it must not go on calling
        # itself the leader, since a leader takes no news from others.
        self.lead(100.0)
        end = 100.0 + self.durations.proof_life + self.durations.lease
        self.assertFalse(self.leadership.is_certainly_lost(end - 0.01))
        self.assertTrue(self.leadership.is_certainly_lost(end))
        self.leadership.end()
        self.assertFalse(self.leadership.is_certainly_lost(end))

    def test_successor_outwaits_the_last_order(self):
        # The predecessor's record is taken away right after its last read.
        # It orders until its proof ends, with the longest hold; an
        # upstream's clock runs slow. Only then is nothing of it held.
        durations = self.durations
        self.lead(100.0)
        last_order = 100.0 + durations.proof_life
        held_until = last_order + durations.long_hold * 1.02
        successor = Leadership(durations)
        successor.begin(Position(0, 8), 100.0, 100.0)
        self.assertGreater(successor.bound_inherited(), held_until)


class TestTerm(testtools.TestCase):
    """Orders belong to the term in which they were prepared."""

    def test_order_of_an_earlier_term_is_not_sent(self):
        # This host leads, loses its record, and leads again. An order of
        # the first term was about to be sent all the while; the leader in
        # between has given its range to another.
        durations = Durations()
        leadership = Leadership(durations)
        leadership.begin(TERM, 100.0, 100.0)
        first = Term(leadership, durations)
        keys = KeyRange(0, 9)
        self.assertIsNotNone(first.prepare_grant("u-1", keys, 100.1))
        leadership.end()
        leadership.begin(Position(0, 9), 104.0, 104.0)
        self.assertIsNone(first.prepare_grant("u-1", keys, 104.1))
        second = Term(leadership, durations)
        self.assertIsNotNone(second.prepare_grant("u-1", keys, 104.1))
