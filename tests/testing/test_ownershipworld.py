"""Tests of single ownership in the simulation, and of the simulation.

The second class removes one safeguard at a time and checks that the
simulation then detects two owners of a key.
"""

from unittest import mock

import testtools

from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.terms import Term
from sedgetide.testing import ownershiphosts
from sedgetide.testing import ownershipworld
from sedgetide.testing.ownershipworld import OwnershipWorld
from sedgetide.testing.rangeholder import RangeHolder

SEEDS = range(30)
MUTATION_SEEDS = range(200)
SECONDS = 120.0


def simulate(seeds=SEEDS, **options):
    """Return the first violation of any run, and the count of done moves."""
    moves = 0
    for seed in seeds:
        world = OwnershipWorld(seed, **options)
        world.run(SECONDS)
        moves += world.moves_completed
        if world.problems:
            return f"seed {seed}: {world.problems[0]}", moves
    return None, moves


class TestSimulation(testtools.TestCase):
    """No two upstreams hold the same key at the same time."""

    def test_single_ownership(self):
        problem, moves = simulate()
        self.assertIsNone(problem)
        # Without moves the simulation would not exercise ownership changes.
        self.assertGreater(moves, 1000)

    def test_single_ownership_across_returns_of_the_store(self):
        # Guards against a leader that treats the owner named in a restored
        # copy as the current one.
        problem, moves = simulate(with_restores=True)
        self.assertIsNone(problem)
        self.assertGreater(moves, 500)

    def test_single_ownership_with_refused_connections(self):
        # Guards against a leader that counts the keys of an upstream as
        # released because a lost path refuses or resets its connections.
        problem, moves = simulate(with_restores=True, with_refusals=True)
        self.assertIsNone(problem)
        self.assertGreater(moves, 500)


class TestSafeguards(testtools.TestCase):
    """Without any one of the safeguards the simulation finds two owners."""

    def check_found(self, owner, name, replacement, **options):
        with mock.patch.object(owner, name, replacement):
            problem, _ = simulate(MUTATION_SEEDS, **options)
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
        self.check_found(Leadership, "find_inherited_hold_end", bound)

    def test_no_look_at_the_clock_before_an_order(self):
        def assume_leading(leadership, now):
            return leadership.term != 0

        self.check_found(Leadership, "may_order", assume_leading)

    def test_renewal_taken_for_the_proof(self):
        # Counts the renewal of the lease as proof of leadership, although
        # the store may drop the leader's record and still renew its lease.
        def accept_any_read(leadership, revision, asked_at):
            leadership._proved_at = max(leadership._proved_at, asked_at)
            return True

        self.check_found(Leadership, "note_read", accept_any_read)

    def test_move_taken_for_known_as_soon_as_it_is_seen(self):
        # The answer to the write of a move is lost and the leader's watch is
        # silent, so it goes on renewing the old owner. The next leader saw
        # the move long ago and does not wait for those grants to expire.
        def note(observations, table, now):
            since = observations._known_since
            observations._known_since = {
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
        self.check_found(Recovery, "is_over", over, with_restores=True)

    def test_one_upstream_not_asked_for_its_keys(self):
        real = Recovery.is_over

        def is_over(recovery, upstreams, now):
            return real(recovery, list(upstreams)[1:], now)

        self.check_found(Recovery, "is_over", is_over, with_restores=True)

    def test_fences_of_an_era_given_out_again(self):
        zero = mock.Mock(return_value=0)
        self.check_found(
            ownershipworld, "find_first_fence", zero, with_restores=True
        )

    def test_refused_connection_taken_for_the_end_of_a_process(self):
        def is_proof_of_end(world, state):
            return state is ownershiphosts.PathState.REFUSED

        self.check_found(
            OwnershipWorld,
            "is_proof_of_end",
            is_proof_of_end,
            with_restores=True,
            with_refusals=True,
        )
