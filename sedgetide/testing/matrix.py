"""The fault matrix: each fault, and each pair, at each step.

Usage: ``python -m sedgetide.testing.matrix --output build/faults.json``.
"""

import itertools
import multiprocessing

import msgspec

from sedgetide.testing.faults import FAULTS
from sedgetide.testing.scenarios import Scenario
from sedgetide.testing.steps import STEPS

_AFTER = 5.0
_SETTLE = 4.0


class Cell(msgspec.Struct, frozen=True):
    """Result of one cell.

    Parameters
    ----------
    faults : tuple of str
        What struck, in order.
    step : str
        When.
    broken : tuple of str
        Promises broken, with the time.
    dark : float
        Longest time in seconds a shard was not served.
    refused : int
        Attempts that were not answered.
    served_again : bool
        Whether every shard is served some seconds after the fault.
    """

    faults: tuple[str, ...]
    step: str
    broken: tuple[str, ...]
    dark: float
    refused: int
    served_again: bool

    @property
    def verdict(self) -> str:
        """One word or two for the table."""
        if self.broken or not self.served_again:
            return "BROKEN"
        if not self.refused:
            return "held"
        if self.dark <= 2.0:
            return "refused honestly"
        return f"dark {self.dark:.1f} s"


def run_cell(
    faults: tuple[str, ...], step: str, checks_orders: bool = True
) -> Cell:
    """Run one cell from a fresh start."""
    scenario = Scenario(checks_orders)
    STEPS[step](scenario)
    if faults != ("none",):
        scenario.planned_only = False
    for fault in faults:
        FAULTS[fault](scenario)
        scenario.tick()
    scenario.run(scenario.pause + _AFTER)
    scenario.load = False
    scenario.run(_SETTLE)
    scenario.check_at_end()
    served = not scenario.dark
    return Cell(
        faults,
        step,
        tuple(scenario.broken),
        scenario.longest_dark,
        scenario.refused,
        served,
    )


def list_singles() -> list[tuple[tuple[str, ...], str]]:
    """Return every fault at every step."""
    return [
        ((fault,), step) for fault, step in itertools.product(FAULTS, STEPS)
    ]


def list_pairs() -> list[tuple[tuple[str, ...], str]]:
    """Return every ordered pair of faults at the steps that matter most."""
    faults = [name for name in FAULTS if name != "none"]
    steps = ("renewal", "request handed over", "move: releasing", "loss")
    return [
        (pair, step)
        for pair, step in itertools.product(
            itertools.permutations(faults, 2), steps
        )
    ]


def run_cells(
    cells: list[tuple[tuple[str, ...], str]], processes: int
) -> list[Cell]:
    """Run cells on several processors, in the given order."""
    # A fork would copy the threads' locks of whatever ran before.
    context = multiprocessing.get_context("spawn")
    with context.Pool(processes) as pool:
        return pool.starmap(run_cell, cells, chunksize=8)
