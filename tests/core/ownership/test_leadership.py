"""Tests of the proof that a host may send orders."""

import testtools

from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.terms import Term

TERM = Position(0, 7)


class TestLeadership(testtools.TestCase):
    """Proofs by reads of the leader's own record, and their ages."""

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
        # The read takes a second. If the proof counted from its return, the
        # host would send orders for a second longer than its successor
        # waits, and upstreams could hold grants of both.
        self.lead(100.0)
        self.leadership.note_read(TERM, 101.0)
        end = 101.0 + self.durations.proof_life
        self.assertFalse(self.leadership.may_order(end))

    def test_removed_record_ends_it_at_once(self):
        # The store removes the record but still renews the lease. The read
        # finds the record of another host, or none.
        for found in (NO_POSITION, Position(0, 9)):
            self.lead(100.0)
            self.assertFalse(self.leadership.note_read(found, 100.5))
            self.assertFalse(self.leadership.may_order(100.6))

    def test_restore_of_the_store_ends_all_proofs(self):
        # A restored backup may still contain the record of the past era.
        self.lead(100.0)
        self.leadership.note_era(1)
        self.assertTrue(self.leadership.era_ended)
        self.assertFalse(self.leadership.note_read(TERM, 101.0))
        end = 100.0 + self.durations.proof_life
        self.assertTrue(self.leadership.may_order(end - 0.01))
        self.assertFalse(self.leadership.may_order(end))

    def test_grants_bridge_the_restore_of_the_store(self):
        # Otherwise keys are unavailable until the next leader grants them.
        self.lead(100.0)
        self.leadership.note_era(1)
        self.assertFalse(self.leadership.is_fresh(100.1))
        hold = self.leadership.choose_hold(100.1)
        self.assertEqual(self.durations.long_hold, hold)

    def test_next_term_is_of_the_new_era(self):
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
        # The host is suspended for a minute. Its clock keeps running, so
        # the next check finds that the proof has expired.
        self.lead(100.0)
        self.assertFalse(self.leadership.may_order(160.0))

    def test_longer_holds_once_the_store_is_silent(self):
        self.lead(100.0)
        hold = self.leadership.choose_hold(100.1)
        self.assertEqual(self.durations.hold, hold)
        hold = self.leadership.choose_hold(102.0)
        self.assertEqual(self.durations.long_hold, hold)

    def test_missed_proof_ends_what_others_rely_on(self):
        # The store refuses only the leader and removes its record. The
        # leader may send orders until its proof expires, but hosts that
        # relied on its updates would miss configuration changes meanwhile.
        self.lead(100.0)
        due = 100.0 + 2 * self.durations.verify
        self.assertTrue(self.leadership.is_fresh(due - 0.01))
        self.assertFalse(self.leadership.is_fresh(due))
        self.assertTrue(self.leadership.may_order(due))
        self.assertFalse(Leadership(self.durations).is_fresh(100.0))

    def test_refused_host_ends_its_leadership(self):
        # The store refuses only this host, and another one has become the
        # leader. This host learns nothing of it, but must not consider
        # itself the leader any longer, because a leader accepts no updates
        # from others.
        self.lead(100.0)
        end = 100.0 + self.durations.proof_life + self.durations.lease
        self.assertFalse(self.leadership.is_certainly_lost(end - 0.01))
        self.assertTrue(self.leadership.is_certainly_lost(end))
        self.leadership.end()
        self.assertFalse(self.leadership.is_certainly_lost(end))

    def test_successor_outwaits_the_last_order(self):
        # The predecessor's record is removed right after its last read. It
        # sends orders with the longest hold until its proof expires, and an
        # upstream's clock runs slow. The successor has to wait until then.
        durations = self.durations
        self.lead(100.0)
        last_order = 100.0 + durations.proof_life
        held_until = last_order + durations.long_hold * 1.02
        successor = Leadership(durations)
        successor.begin(Position(0, 8), 100.0, 100.0)
        self.assertGreater(successor.find_inherited_hold_end(), held_until)


class TestTerm(testtools.TestCase):
    """Orders belong to the term in which they were prepared."""

    def test_order_of_an_earlier_term_is_not_sent(self):
        # This host leads, loses its record, and leads again. An order of
        # its first term is still to be sent, but the leader in between has
        # moved the range to another upstream.
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
