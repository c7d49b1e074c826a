"""Runs of the ownership simulation from the command line.

Prints each seed that finds two holders of a key, and the totals.
"""

import argparse
import collections
import enum
import time

from sedgetide.testing.ownershipregistryworld import RegistryWorld
from sedgetide.testing.ownershipworld import OwnershipWorld


class Mode(enum.Enum):
    """Kinds of faults, as the tests use them.

    Attributes
    ----------
    PLAIN
        A fixed set of upstreams, and a store that keeps its history.
    RESTORES
        The store is also restored from older copies.
    REFUSALS
        Hosts are also refused by upstreams that run.
    REGISTRY
        Upstreams register and come and go; former leaders report holds.
    """

    PLAIN = "plain"
    RESTORES = "restores"
    REFUSALS = "refusals"
    REGISTRY = "registry"


def create_world(
    mode: Mode, seed: int, hosts: int, upstreams: int
) -> OwnershipWorld:
    """Return the simulation of a mode."""
    if mode is Mode.REGISTRY:
        return RegistryWorld(seed, hosts, upstreams)
    return OwnershipWorld(
        seed,
        hosts,
        upstreams,
        with_restores=mode is not Mode.PLAIN,
        with_refusals=mode is Mode.REFUSALS,
    )


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--upstreams", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--mode", type=Mode, default=Mode.REGISTRY)
    return parser.parse_args()


def main() -> int:
    """Run the seeds; return 1 if one of them found two holders."""
    options = _parse_options()
    began = time.monotonic()
    found = moves = 0
    recoveries: collections.Counter[str] = collections.Counter()
    for seed in range(options.first, options.first + options.count):
        world = create_world(
            options.mode, seed, options.hosts, options.upstreams
        )
        world.run(options.seconds)
        moves += world.moves_completed
        recoveries += world.count_recoveries()
        if world.problems:
            found += 1
            print(f"seed {seed}: {world.problems[0]}", flush=True)
    kinds = ", ".join(f"{kind} {n}" for kind, n in sorted(recoveries.items()))
    print(
        f"{options.mode.value}, seeds {options.first} to "
        f"{options.first + options.count - 1}, {options.hosts} hosts, "
        f"{options.upstreams} upstreams, {options.seconds:.0f} s each: "
        f"{found} with two holders, {moves} moves, recoveries: {kinds}; "
        f"{time.monotonic() - began:.0f} s"
    )
    return 1 if found else 0


if __name__ == "__main__":
    raise SystemExit(main())
