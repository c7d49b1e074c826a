"""Run the complete fault matrix and write its report.

Usage: ``python -m sedgetide.testing.faultreport --output build/faults.json
--page docs/FAULTS.md``. Exits with 1 on a violation.
"""

import argparse
import os
import pathlib
import sys
import time

import gevent
import msgspec

from sedgetide.testing.callers import send
from sedgetide.testing.faults import FAULTS
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.matrix import Cell
from sedgetide.testing.matrix import list_pairs
from sedgetide.testing.matrix import list_singles
from sedgetide.testing.matrix import run_cells
from sedgetide.testing.mutations import MUTATIONS
from sedgetide.testing.processfaults import CELLS
from sedgetide.testing.processfaults import find_violations
from sedgetide.testing.processfaults import LoadedFleet
from sedgetide.testing.processfaults import LOSSES
from sedgetide.testing.processfaults import Losses
from sedgetide.testing.processfaults import make_fleet
from sedgetide.testing.processfaults import measure_losses
from sedgetide.testing.processfaults import measure_unavailable
from sedgetide.testing.processfaults import ProcessCell
from sedgetide.testing.processfaults import run_process_cell
from sedgetide.testing.speed import make_text
from sedgetide.testing.steps import STEPS

_OUTAGE = 60.0
_MAX_PROPAGATION_TIME = 2.0
_MAX_REFUSAL_TIME = 0.02

_NOT_PROVED = """\
- Upstreams that do not check orders: one that is suspended with renewals in
  its socket buffer, and resumes after its shards were reassigned, applies the
  renewals. There are two owners for up to the life of a grant. The cell is
  run and expected to break.
- A request that began at an upstream before it was suspended, and ends after
  the takeover. The journal counts the start of a request.
- A new process at an upstream's address while the old one is alive and cut
  off, when the keeper changes at the same moment: the new keeper knows no
  earlier incarnation to compare with.
- Wall clocks of hosts that differ by more than `clock_skew`: operation ids
  from before a keeper's tenure could count as newer. Callers that send
  `Sedgetide-Attempt: 1` with a retry.
- A service that is removed from the configuration and added again with other
  shards or homes: the fixed fields are compared with the current text only,
  and the earlier home may still grant its old rows. Give such a service a new
  name.
- The simulation does not include a slow store, a connection that is silent
  while new ones work, and a lost or paused entry; these are cells with real
  processes.
- Cuts between single real processes, and of data centres, are run in the
  simulation only. A store that is restored to an older state is not covered.
- Member lists under churn: joins and removals of more than three hosts.
- The loss of all members of a data centre whose replacements have other
  names: they wait for an operator, and there is no command for that yet.
"""


class Mutated(msgspec.Struct, frozen=True):
    """A mutation and the violation that the matrix detected."""

    name: str
    promise: str
    cell: str
    found: str


class Report(msgspec.Struct):
    """Results of one run."""

    cells: int
    held: int
    refused: int
    dark: int
    violations: int
    not_run: list[str]
    process_cells: int
    process_violations: int
    max_unavailable_s: float
    outage_unavailable_s: float
    configuration_in_force_s: float
    cut_off_refusal_s: float
    losses: dict[str, dict[str, float]]
    mutations: list[Mutated]
    broken: list[str]


def _run_mutations() -> list[Mutated]:
    found = []
    for mutation in MUTATIONS:
        cell = mutation.run()
        found.append(
            Mutated(
                mutation.name,
                mutation.promise,
                f"{' + '.join(mutation.faults)} at {mutation.step}",
                cell.broken[0] if cell.broken else "",
            )
        )
    return found


def measure_outage() -> tuple[float, list[str]]:
    """Return the unavailable time and violations in a store outage."""
    with make_fleet() as fleet:
        fleet.start(keepers=3, entries=2)
        loaded = LoadedFleet(fleet)
        loaded.load.start()
        gevent.sleep(1.0)
        injected_at = time.monotonic()
        fleet.set_store_fault("down")
        gevent.sleep(_OUTAGE)
        fleet.set_store_fault("none")
        gevent.sleep(2.0)
        call_results = loaded.load.stop()
        unanswered = [
            each for each in call_results if each.outcome != "answered"
        ]
        broken = find_violations(fleet, call_results)
        broken += [
            f"store outage alone: {each.outcome} {each.reason}"
            for each in unanswered
        ]
        return measure_unavailable(call_results, injected_at), broken


def measure_refusal(requests: int = 40) -> float:
    """Return the longest time to a refusal for a data centre that is cut off.

    Its keepers are suspended, which looks the same from another data centre.
    """
    text = make_text(slots=4, shards=12)
    text["data_centres"] = ["one", "two"]
    service = text["services"][0]
    service["homes"] = ["one", "two"]
    service["upstreams"] = [
        {"name": f"u-{name}", "data_centre": name, "address": "127.0.0.1:1"}
        for name in ("one", "two")
    ]
    with Fleet(text, upstreams=1) as fleet:
        fleet.start(keepers=2, entries=1)
        for host, keeper in fleet.keepers.items():
            if host.startswith("two"):
                keeper.process.pause()
        address = fleet.entries["one-1"].settings["listen"]
        gevent.joinall(
            [
                gevent.spawn(send, [address], "GET", f"/s/k{n}")
                for n in range(9)
            ]
        )
        gevent.sleep(1.0)
        call_results = [
            send([address], "GET", f"/s/k{n}") for n in range(requests)
        ]
    refused = [each for each in call_results if each.outcome != "answered"]
    if not refused or any(e.reason != "cut-off" for e in refused):
        return float("inf")
    return max(each.took for each in refused)


def measure_propagation(edits: int = 5) -> float:
    """Return the longest time until all processes have a new configuration."""
    longest = 0.0
    with make_fleet() as fleet:
        fleet.start(keepers=6, entries=5)
        daemons = [*fleet.keepers.values(), *fleet.entries.values()]
        for _ in range(edits):
            revision = fleet.apply_text()
            began = time.monotonic()
            behind = list(daemons)
            while behind:
                state = behind[0].fetch_state()
                if state["revisions"]["configuration"] >= revision:
                    behind.pop(0)
                elif time.monotonic() - began > 30.0:
                    return float("inf")
            longest = max(longest, time.monotonic() - began)
    return longest


def _run_processes() -> tuple[list[ProcessCell], list[str]]:
    cells, not_run = [], []
    for fault, step, inject_fault in CELLS:
        try:
            cell = run_process_cell(fault, step, inject_fault)
        except (TimeoutError, LookupError) as error:
            not_run.append(f"{fault} at {step}: {error}")
            continue
        cells.append(cell)
        print(f"{fault:28} {step:24} {cell.unavailable:6.3f} s", flush=True)
    return cells, not_run


def _format_matrix(cells: list[Cell]) -> list[str]:
    verdicts = {
        (each.faults[0], each.step): each.verdict
        for each in cells
        if len(each.faults) == 1
    }
    rows = ["| fault | " + " | ".join(STEPS) + " |"]
    rows.append("|" + " --- |" * (len(STEPS) + 1))
    for fault in FAULTS:
        found = [verdicts[fault, step] for step in STEPS]
        rows.append(f"| {fault} | " + " | ".join(found) + " |")
    return rows


def _format_process_cells(cells: list[ProcessCell]) -> list[str]:
    rows = ["| fault | step | unavailable, s | outcomes | violations |"]
    rows.append("| --- | --- | --- | --- | --- |")
    for each in cells:
        outcomes = ", ".join(
            f"{count} {name}" for name, count in each.outcomes.items()
        )
        rows.append(
            f"| {each.fault} | {each.step} | {each.unavailable:.3f} "
            f"| {outcomes} | {len(each.broken)} |"
        )
    return rows


def write_page(
    path: pathlib.Path,
    report: Report,
    cells: list[Cell],
    process_cells: list[ProcessCell],
) -> None:
    """Write the report as a page of the documentation."""
    lines = [
        "# Fault matrix",
        "",
        "Generated by `make faults`; not edited by hand.",
        "",
        f"{report.cells} cells in the simulation (every fault at every step, "
        "ordered pairs at four steps): "
        f"{report.held} held, {report.refused} refused honestly, "
        f"{report.dark} dark for more than 2 s, "
        f"{report.violations} violations. "
        f"{report.process_cells} cells with real processes: "
        f"{report.process_violations} violations.",
        "",
        "Dark: the longest time a shard was not served in its own data "
        "centre. Faults last 3 s.",
        "",
        "## Simulation",
        "",
        *_format_matrix(cells),
        "",
        "## Real processes",
        "",
        "Unavailable: the longest time for which one key was not served, as "
        "its callers saw it.",
        "",
        *_format_process_cells(process_cells),
        "",
        "| loss of | losses | median, s | worst, s |",
        "| --- | --- | --- | --- |",
    ]
    for what, found in report.losses.items():
        lines.append(
            f"| {what} | {found['count']:.0f} | {found['median']:.3f} "
            f"| {found['worst']:.3f} |"
        )
    lines += [
        "",
        f"Store down for {_OUTAGE:.0f} s and no other fault: unavailable "
        f"{report.outage_unavailable_s:.3f} s. A new configuration was in "
        f"force in all 11 processes after "
        f"{report.configuration_in_force_s:.3f} s at most. Requests for keys "
        "of a data centre known to be cut off were refused within "
        f"{report.cut_off_refusal_s:.3f} s at most.",
        "",
        "## Mutations",
        "",
        "Each mutation removes one safeguard; the named cell then shows a "
        "violation. Mismatched and truncated answers are tested with real "
        "sockets in `tests/backends/test_connection.py`.",
        "",
        "| disabled safeguard | guarantee | cell | found |",
        "| --- | --- | --- | --- |",
    ]
    for each in report.mutations:
        found = each.found.partition(" Told(")[0] or "NOT CAUGHT"
        lines.append(
            f"| {each.name} | {each.promise} | {each.cell} | {found} |"
        )
    lines += ["", "## Not run", ""]
    lines += [f"- {each}" for each in report.not_run] or ["Nothing."]
    lines += ["", "## Not proved", "", _NOT_PROVED.rstrip(), ""]
    path.write_text("\n".join(lines))


def _summarize_losses(losses: list[Losses]) -> dict[str, dict[str, float]]:
    return {
        each.what: {
            "count": len(each.times),
            "median": each.median,
            "worst": each.worst,
        }
        for each in losses
    }


def run_all(losses: int) -> tuple[Report, list[Cell], list[ProcessCell]]:
    """Run the matrix, the mutations and all measurements.

    Parameters
    ----------
    losses : int
        Number of losses of each kind of process.
    """
    cells = run_cells([*list_singles(), *list_pairs()], os.cpu_count() or 1)
    print(f"{len(cells)} cells in the simulation", flush=True)
    mutations = _run_mutations()
    process_cells, not_run = _run_processes()
    broken = [
        f"{each.faults} at {each.step}: {line}"
        for each in cells
        for line in (each.broken or ("not served again",))
        if each.verdict == "BROKEN"
    ]
    process_broken = [
        f"{each.fault} at {each.step}: {line}"
        for each in process_cells
        for line in each.broken
    ]
    found = []
    for what, inject_fault in LOSSES:
        measured, lines = measure_losses(what, inject_fault, losses)
        found.append(measured)
        process_broken += lines
        print(f"{what}: {measured.times}", flush=True)
    outage, lines = measure_outage()
    process_broken += lines
    propagation = measure_propagation()
    if propagation > _MAX_PROPAGATION_TIME:
        process_broken.append(
            f"configuration in force after {propagation:.3f} s"
        )
    refusal = measure_refusal()
    if refusal > _MAX_REFUSAL_TIME:
        process_broken.append(
            f"a key of a cut-off data centre refused after {refusal:.3f} s"
        )
    missed = [each.name for each in mutations if not each.found]
    verdicts = [each.verdict for each in cells]
    report = Report(
        len(cells),
        verdicts.count("held"),
        verdicts.count("refused honestly"),
        sum(each.startswith("dark") for each in verdicts),
        len(broken),
        not_run,
        len(process_cells),
        len(process_broken),
        max(each.unavailable for each in process_cells),
        outage,
        propagation,
        refusal,
        _summarize_losses(found),
        mutations,
        broken
        + process_broken
        + [f"mutation not caught: {name}" for name in missed],
    )
    return report, cells, process_cells


def main(arguments: list[str] | None = None) -> int:
    """Run the matrix and write the JSON file and the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="build/faults.json")
    parser.add_argument("--page", default="docs/FAULTS.md")
    parser.add_argument("--losses", type=int, default=10)
    options = parser.parse_args(arguments)
    report, cells, process_cells = run_all(options.losses)
    output = pathlib.Path(options.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(
        msgspec.json.format(msgspec.json.encode(report), indent=2)
    )
    write_page(pathlib.Path(options.page), report, cells, process_cells)
    for line in report.broken:
        print(line)
    print(f"{len(report.broken)} violations")
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(main())
