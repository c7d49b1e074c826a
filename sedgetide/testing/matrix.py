"""The fault matrix: runs every fault, and pairs of faults, at given steps.

:mod:`sedgetide.testing.faultreport` runs all cells and writes the report.
"""

import itertools
import multiprocessing

import msgspec

from sedgetide.testing.faults import FAULTS
from sedgetide.testing.scenarios import Scenario
from sedgetide.testing.steps import STEPS

_RECOVERY_TIME = 5.0
_SETTLE_TIME = 4.0


class Cell(msgspec.Struct, frozen=True):
    """Result of one cell of the fault matrix.

    Parameters
    ----------
    faults : tuple of str
        Names of the faults, in the order in which they occurred.
    step : str
        Name of the step at which they occurred.
    broken : tuple of str
        Violated guarantees, with the time in seconds.
    dark : float
        Longest time in seconds for which a shard was not served.
    refused : int
        Attempts that were not answered.
    served_again : bool
        Whether every shard was served at the end of the run.
    """

    faults: tuple[str, ...]
    step: str
    broken: tuple[str, ...]
    dark: float
    refused: int
    served_again: bool

    @property
    def verdict(self) -> str:
        """Short result for the table of the report."""
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
    """Run one cell with a new scenario."""
    scenario = Scenario(checks_orders)
    STEPS[step](scenario)
    if faults != ("none",):
        scenario.planned_only = False
    for fault in faults:
        FAULTS[fault](scenario)
        scenario.tick()
    scenario.run(scenario.fault_duration + _RECOVERY_TIME)
    scenario.load = False
    scenario.run(_SETTLE_TIME)
    scenario.check_at_end()
    served = not scenario.unserved_since
    return Cell(
        faults,
        step,
        tuple(scenario.broken),
        scenario.longest_unserved,
        scenario.refused,
        served,
    )


def list_singles() -> list[tuple[tuple[str, ...], str]]:
    """Return the cells of every fault at every step."""
    return [
        ((fault,), step) for fault, step in itertools.product(FAULTS, STEPS)
    ]


def list_pairs() -> list[tuple[tuple[str, ...], str]]:
    """Return the cells of every ordered pair of faults at four steps."""
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
    """Run cells in parallel; return the results in the given order."""
    # A forked worker would inherit locks held by threads of this process.
    context = multiprocessing.get_context("spawn")
    with context.Pool(processes) as pool:
        return pool.starmap(run_cell, cells, chunksize=8)
