"""Tests of the invariants of assignments and the planning of changes."""

import testtools

from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import encode_assignment
from sedgetide.core.errors import RuleError
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.planning import plan_change
from sedgetide.core.ownership.planning import PlanningInput

S = ServiceName("s")
KEYS = [ShardKey(S, Shard(number)) for number in range(4)]
U, V = UpstreamName("u"), UpstreamName("v")
A, B = HostName("a"), HostName("b")
MEMBER = Member(LinkAddress("10.0.0.1:1"), "10.0.0.1:2")
CHANGE = ChangeId("c")


def make_owned():
    with_member = EMPTY_ASSIGNMENT.add_member(A, MEMBER, CHANGE)
    return with_member.assign_first(dict.fromkeys(KEYS, U), CHANGE)


class AssignmentTest(testtools.TestCase):
    def test_owner_changes_only_after_a_release(self):
        owned = make_owned()
        self.assertRaises(
            RuleError, owned.complete, {KEYS[0]: V}, {KEYS[0]: 1}, CHANGE
        )
        moved = owned.release(KEYS[:1], CHANGE).complete(
            {KEYS[0]: V}, {KEYS[0]: Epoch(2)}, CHANGE
        )
        self.assertEqual({KEYS[0]: 2}, moved.list_owned(V))
        self.assertEqual(3, len(moved.list_owned(U)))

    def test_proof_of_an_earlier_move_is_refused(self):
        # A proof that an owner stopped at epoch 2 does not cover the owner
        # of epoch 2 itself, which has to stop at epoch 3.
        again = (
            make_owned()
            .release(KEYS[:1], CHANGE)
            .complete({KEYS[0]: V}, {KEYS[0]: Epoch(2)}, CHANGE)
            .release(KEYS[:1], CHANGE)
        )
        self.assertRaises(
            RuleError, again.complete, {KEYS[0]: U}, {KEYS[0]: 2}, CHANGE
        )

    def test_owned_shard_gets_no_first_owner(self):
        self.assertRaises(
            RuleError, make_owned().assign_first, {KEYS[0]: V}, CHANGE
        )

    def test_last_member_cannot_be_removed(self):
        self.assertRaises(RuleError, make_owned().remove_member, A, CHANGE)

    def test_stored_form_keeps_everything(self):
        released = make_owned().release(KEYS[1:2], CHANGE)
        value = encode_assignment(released)
        self.assertEqual(released, decode_assignment(value))


class PlanTest(testtools.TestCase):
    def plan(self, assignment, **inputs):
        inputs.setdefault("wanted", {S: KEYS})
        inputs.setdefault("eligible", {S: [U, V]})
        return plan_change(assignment, PlanningInput(**inputs), CHANGE)

    def test_creates_the_member_list_first(self):
        planned = self.plan(EMPTY_ASSIGNMENT, joiners={A: MEMBER})
        self.assertEqual(Assignment(CHANGE, {A: MEMBER}, {}), planned)

    def test_spreads_first_owners_evenly(self):
        with_member = EMPTY_ASSIGNMENT.add_member(A, MEMBER, CHANGE)
        planned = self.plan(with_member)
        self.assertEqual(2, len(planned.list_owned(U)))
        self.assertEqual(2, len(planned.list_owned(V)))

    def test_releases_lost_shards_only_at_their_epoch(self):
        lost = {KEYS[0]: Epoch(1), KEYS[1]: Epoch(9)}
        planned = self.plan(make_owned(), lost=lost)
        self.assertEqual([KEYS[0]], list(planned.list_releasing()))

    def test_evicts_only_when_somebody_can_take_over(self):
        # If the only upstream is drained, its keys would have no owner.
        assignment = make_owned()
        self.assertIsNone(self.plan(assignment, evicted={U}, eligible={S: []}))
        planned = self.plan(assignment, evicted={U}, eligible={S: [V]})
        self.assertEqual(4, len(planned.list_releasing()))

    def test_member_list_changes_by_one_once_known(self):
        # Majorities of lists that are two changes apart need not share a
        # member, so a keeper with an outdated list could find a majority
        # that does not know of a move.
        joiners = {A: MEMBER, B: MEMBER, HostName("c"): MEMBER}
        assignment = make_owned()
        self.assertIsNone(self.plan(assignment, joiners=joiners))
        planned = self.plan(
            assignment, joiners=joiners, member_list_known=True
        )
        self.assertEqual({A, B}, set(planned.members))

    def test_nothing_to_change(self):
        self.assertIsNone(self.plan(make_owned(), member_list_known=True))
