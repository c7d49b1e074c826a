"""Tests of single ownership over a walk through faults, and of the walk."""

from unittest import mock

import testtools

from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term
from sedgetide.testing import ownershipworld
from sedgetide.testing.ownershipworld import OwnershipWorld
from sedgetide.testing.rangeholder import RangeHolder

SEEDS = range(30)
MUTATION_SEEDS = range(200)
SECONDS = 120.0


def walk(seeds=SEEDS, returns=False):
    """Return the first problem of any walk, and the moves that ended."""
    moves = 0
    for seed in seeds:
        world = OwnershipWorld(seed, returns=returns)
        world.run(SECONDS)
        moves += world.moves_ended
        if world.problems:
            return f"seed {seed}: {world.problems[0]}", moves
    return None, moves


class TestWalk(testtools.TestCase):
    """No two upstreams ever hold one key."""

    def test_single_ownership(self):
        problem, moves = walk()
        self.assertIsNone(problem)
        # A walk in which nothing moves proves nothing.
        self.assertGreater(moves, 1000)

    def test_single_ownership_across_returns_of_the_store(self):
        # Guards against a leader that takes what a copy shows for the owner.
        problem, moves = walk(returns=True)
        self.assertIsNone(problem)
        self.assertGreater(moves, 500)


class TestSafeguards(testtools.TestCase):
    """Without any one of the safeguards the walk finds two owners."""

    def check_found(self, owner, name, replacement, returns=False):
        with mock.patch.object(owner, name, replacement):
            problem, _ = walk(MUTATION_SEEDS, returns)
        self.assertIsNotNone(problem)

    def test_old_owner_not_waited_for(self):
        self.check_found(Term, "has_ended", lambda *_: True)

    def test_unanswered_grants_not_counted(self):
        real = HoldLedger.note_grant

        def forget(ledger, upstream, keys, until):
            return real(ledger, upstream, keys, float("-inf"))

        self.check_found(HoldLedger, "note_grant", forget)

    def test_earlier_leaders_not_counted(self):
        bound = mock.Mock(return_value=float("-inf"))
        self.check_found(Leadership, "bound_inherited", bound)

    def test_no_look_at_the_clock_before_an_order(self):
        def believe(leadership, now):
            return leadership.term != 0

        self.check_found(Leadership, "may_order", believe)

    def test_renewal_taken_for_the_proof(self):
        # The store drops the record and renews the lease all the same.
        def trust(leadership, revision, asked_at):
            leadership._proved_at = max(leadership._proved_at, asked_at)
            return True

        self.check_found(Leadership, "note_read", trust)

    def test_move_taken_for_known_as_soon_as_it_is_seen(self):
        # The answer to the write of a move is lost, and the leader's watch
        # is silent: it goes on renewing the old owner. Its successor, which
        # has seen the move long ago, waits for nothing.
        def note(sightings, table, now):
            since = sightings._known_since
            sightings._known_since = {
                tenure: since.get(tenure, now)
                for tenure in table.list_moving()
            }

        self.check_found(MoveObservations, "note_table", note)

    def test_fence_not_raised_by_a_move(self):
        real = RangeTable.begin

        def keep(table, moves):
            begun = real(table, moves)
            return RangeTable(
                table.fence,
                tuple(
                    type(each)(
                        each.low, each.high, each.owner, 1, each.successor
                    )
                    for each in begun.tenures
                ),
            )

        self.check_found(RangeTable, "begin", keep)

    def test_upstream_without_fences(self):
        zero = mock.Mock(return_value=0)
        self.check_found(RangeHolder, "_find_fence", zero)

    def test_keys_not_given_back_at_the_beginning_of_an_era(self):
        over = mock.Mock(return_value=True)
        self.check_found(Recovery, "is_over", over, returns=True)

    def test_one_upstream_not_asked_for_its_keys(self):
        real = Recovery.is_over

        def is_over(recovery, upstreams, now):
            return real(recovery, list(upstreams)[1:], now)

        self.check_found(Recovery, "is_over", is_over, returns=True)

    def test_fences_of_an_era_given_out_again(self):
        zero = mock.Mock(return_value=0)
        self.check_found(
            ownershipworld, "find_first_fence", zero, returns=True
        )
