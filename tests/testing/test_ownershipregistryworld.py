"""Tests of single ownership with upstreams that come and go."""

import testtools

from sedgetide.testing.ownershipregistryworld import RegistryWorld

MUTATION_SEEDS = range(200)
SECONDS = 120.0


def simulate(seeds):
    """Return the first violation of any run, and the count of done moves."""
    moves = 0
    for seed in seeds:
        world = RegistryWorld(seed)
        world.run(SECONDS)
        moves += world.moves_completed
        if world.problems:
            return f"seed {seed}: {world.problems[0]}", moves
    return None, moves


class TestSafeguards(testtools.TestCase):
    """Without any one of the safeguards the simulation finds two owners."""

    def test_unknown_upstreams_ignored(self):
        # Guards against a leader that grants all keys once all upstreams
        # that it knows have released theirs, while one that the restored
        # registry lacks still holds some.
        problem, _ = simulate(MUTATION_SEEDS)
        self.assertIsNotNone(problem)
