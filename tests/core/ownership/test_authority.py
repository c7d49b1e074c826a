"""Tests of the proofs of authority."""

import testtools

from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.authority import Authority
from sedgetide.core.ownership.authority import NEVER

A, B, C = HostName("a"), HostName("b"), HostName("c")
MEMBERS = [A, B, C]
LIFE = 0.5
OLD, NEW = Revision(7), Revision(8)


class AuthorityTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.authority = Authority(A, LIFE)

    def prove(self, now, held=OLD, members=MEMBERS):
        return self.authority.renew_proof(now, held, members)

    def test_store_read_proves_until_life_ends(self):
        self.authority.note_store(10.0, OLD)
        self.assertEqual(10.5, self.prove(10.1))
        self.assertTrue(self.authority.counting)

    def test_store_read_of_newer_revision_proves_nothing(self):
        # A keeper that still holds the old assignment reads the store after
        # a move has started. The read must not prove the old assignment,
        # or a shard would have two owners.
        self.authority.note_store(10.0, NEW)
        self.assertEqual(NEVER, self.prove(10.1))

    def test_restarted_member_counts_for_nobody(self):
        # A member restarts and loses its knowledge of a release. A keeper
        # that has restarted too and cannot reach the store asks it. The two
        # must not form a majority.
        self.authority.note_member(B, 10.0, OLD, counting=False)
        self.assertEqual(NEVER, self.prove(10.1))

    def test_restarted_host_needs_a_majority_of_others(self):
        # The host has just started and cannot reach the store. One other
        # member may have missed the revision that the host lost, but not
        # two of three.
        self.authority.note_member(B, 10.0, OLD, counting=True)
        self.assertEqual(NEVER, self.prove(10.1))
        self.assertFalse(self.authority.counting)
        self.authority.note_member(C, 10.05, OLD, counting=True)
        self.assertAlmostEqual(10.5, self.prove(10.1))
        self.assertTrue(self.authority.counting)

    def test_counting_host_completes_its_own_majority(self):
        self.authority.note_store(9.9, OLD)
        self.prove(10.0)
        self.authority.note_member(B, 20.0, OLD, counting=True)
        self.assertAlmostEqual(20.5, self.prove(20.1))

    def test_member_that_knows_newer_does_not_count(self):
        self.authority.note_store(9.9, OLD)
        self.prove(10.0)
        self.authority.note_member(B, 20.0, NEW, counting=True)
        self.assertEqual(9.9 + LIFE, self.prove(20.1))

    def test_answer_of_a_removed_member_does_not_count(self):
        # Two removed hosts keep running, cut off together with a keeper
        # that has an old list. If they counted, they would form a majority
        # with it while the current members move the shard.
        self.authority.note_store(9.9, OLD)
        self.prove(10.0)
        self.authority.note_member(HostName("gone"), 20.0, OLD, True)
        self.assertEqual(9.9 + LIFE, self.prove(20.1))

    def test_proof_age_is_that_of_the_answer_completing_the_majority(self):
        members = [*MEMBERS, HostName("d"), HostName("e")]
        self.authority.note_store(0.0, OLD)
        self.prove(0.1)
        self.authority.note_member(B, 20.0, OLD, True)
        self.authority.note_member(C, 19.8, OLD, True)
        self.assertEqual(19.8 + LIFE, self.prove(20.1, members=members))

    def test_late_older_answer_does_not_replace_a_newer_one(self):
        # Answers may arrive out of order. An older answer that arrives last
        # must not hide that the member knows of a release.
        self.authority.note_member(B, 20.0, NEW, True)
        self.authority.note_member(B, 19.0, OLD, True)
        self.assertFalse(self.authority.is_known(NEW, [A, C]))
        self.authority.note_store(20.0, NEW)
        self.prove(20.1, held=NEW)
        self.assertTrue(self.authority.is_known(NEW, MEMBERS))

    def test_only_member_is_its_own_majority(self):
        self.authority.note_store(1.0, OLD)
        self.prove(1.1, members=[A])
        self.assertEqual(50.0 + LIFE, self.prove(50.0, members=[A]))
