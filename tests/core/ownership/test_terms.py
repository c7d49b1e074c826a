"""Tests of a leader's term: its grants, and when it is over."""

import testtools

from sedgetide.core.history import Position
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.terms import Term

SERVICE = "maps"
KEYS = KeyRange(0, 99)


class TestTerm(testtools.TestCase):
    """A term that began at 100 s."""

    def setUp(self):
        super().setUp()
        self.durations = Durations()
        self.leadership = Leadership(self.durations)
        self.leadership.begin(Position(0, 7), 100.0, 100.0)
        self.term = Term(self.leadership, self.durations)

    def test_term_is_over_once_its_last_proof_has_expired(self):
        # Guards against a report of holds after which grants are renewed.
        self.assertFalse(self.term.is_over(500.0))
        self.leadership.note_era(1)
        proof_life = self.durations.proof_life
        self.assertFalse(self.term.is_over(99.9 + proof_life))
        self.assertTrue(self.term.is_over(100.0 + proof_life))

    def test_term_is_over_with_its_record(self):
        self.leadership.end()
        self.assertTrue(self.term.is_over(100.1))

    def test_later_term_of_this_host_ends_it(self):
        self.leadership.begin(Position(1, 3), 101.0, 101.0)
        self.assertTrue(self.term.is_over(101.0))

    def test_inherited_grants_are_unknown_until_replaced(self):
        end = 100.0 + self.durations.max_inherited_hold()
        self.assertEqual(end, self.term.find_inherited_end(SERVICE))
        held = UpstreamHold("u-1", KEYS, 104.0)
        self.term.replace_inherited(SERVICE, ("u-1", "u-2"), [held])
        self.assertEqual(float("-inf"), self.term.find_inherited_end(SERVICE))
        self.assertEqual(end, self.term.find_inherited_end("other"))
        self.assertEqual([held], self.term.list_held(101.0, SERVICE))
        self.assertFalse(self.term.has_ended("u-1", KEYS, 0.0, 103.9, SERVICE))
        self.assertTrue(self.term.has_ended("u-1", KEYS, 0.0, 104.0, SERVICE))

    def test_release_of_one_service_ends_no_hold_of_another(self):
        # Guards against two owners of a key of a service, whose holder
        # answered a release of another one's keys.
        self.leadership.note_read(self.leadership.term, 101.0)
        for service in (SERVICE, "mail"):
            self.term.prepare_grant("u-1", KEYS, 101.0, service)
        self.term.note_release("u-1", KEYS, "mail")
        self.assertEqual([], self.term.list_held(101.0, "mail"))
        (held,) = self.term.list_held(101.0, SERVICE)
        end = self.term.find_hold_end("u-1", KEYS, 0.0, SERVICE)
        self.assertEqual(held.until, end)

    def test_unanswered_grant_is_held_as_long_as_it_may_arrive(self):
        grant = self.term.prepare_grant("u-1", KEYS, 100.5)
        (held,) = self.term.list_held(101.0)
        latest = 100.5 + self.durations.order_timeout
        self.assertEqual(
            latest + self.durations.max_hold(grant.life), held.until
        )
