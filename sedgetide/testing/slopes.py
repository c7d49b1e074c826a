"""Measure how costs grow with size, at several sizes, for docs/CAPACITY.md.

Usage: ``python -m sedgetide.testing.slopes --output build/slopes.json``.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import os
import pathlib
import sys
import time
import tracemalloc

import gevent
import msgspec

from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import encode_assignment
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
from sedgetide.core.requests.operations import OperationLog
from sedgetide.testing.callers import make_operation_id
from sedgetide.testing.fleet import call
from sedgetide.testing.fleet import Daemon
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.speed import make_text
from sedgetide.testing.speed import run_callers

_IDLE_TIME = 5.0
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Slope(msgspec.Struct, frozen=True):
    """Linear model of a cost as a function of size.

    Parameters
    ----------
    what, unit : str
        Measured quantity and the unit of the slope.
    sizes, costs : list of float
        Samples.
    slope, base : float
        Slope and intercept of the least-squares line.
    """

    what: str
    unit: str
    sizes: list[float]
    costs: list[float]
    slope: float
    base: float


def fit(
    what: str, unit: str, sizes: Sequence[float], costs: Sequence[float]
) -> Slope:
    """Fit a least-squares line to samples."""
    count = len(sizes)
    mean_size, mean_cost = sum(sizes) / count, sum(costs) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        / spread
    )
    return Slope(
        what,
        unit,
        list(sizes),
        list(costs),
        slope,
        mean_cost - slope * mean_size,
    )


def _read_cpu(daemon: Daemon) -> float:
    stat = pathlib.Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _read_memory(daemon: Daemon) -> float:
    status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1]) * 1024
    raise LookupError("VmRSS")


def make_assignment(shards: int) -> Assignment:
    """Return an assignment of shards with 12 members and 12 upstreams."""
    assignment = EMPTY_ASSIGNMENT
    for number in range(12):
        assignment = assignment.add_member(
            HostName(f"host-{number}"),
            Member(LinkAddress(f"10.0.0.{number}:9300"), "10.0.0.1:9301"),
            ChangeId("c"),
        )
    owners = {
        ShardKey(ServiceName("service"), Shard(number)): UpstreamName(
            f"upstream-{number % 12}"
        )
        for number in range(shards)
    }
    return assignment.assign_first(owners, ChangeId("c"))


def _measure_processor_time(
    action: Callable[[], object], repeats: int = 5
) -> float:
    best = float("inf")
    for _ in range(repeats):
        began = time.process_time()
        action()
        best = min(best, time.process_time() - began)
    return best


def measure_records() -> list[Slope]:
    """Measure size, memory and decoding of an assignment per shard."""
    sizes = [1000, 4000, 16000]
    stored, memory, decoding, grants = [], [], [], []
    for size in sizes:
        value = encode_assignment(make_assignment(size))
        stored.append(len(value))
        tracemalloc.start()
        decoded = decode_assignment(value)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        decoding.append(
            _measure_processor_time(
                lambda value=value: decode_assignment(value)
            )
        )
        owned = decoded.list_owned(UpstreamName("upstream-0"))
        rows = [[k.service, k.shard, epoch] for k, epoch in owned.items()]
        grants.append(len(msgspec.json.encode(rows)) * 12)
    return [
        fit("assignment in the store", "bytes a shard", sizes, stored),
        fit("assignment in memory", "bytes a shard", sizes, memory),
        fit("reading an assignment", "s a shard", sizes, decoding),
        fit("renewal of all grants", "bytes a shard", sizes, grants),
    ]


def measure_operations() -> list[Slope]:
    """Measure the memory of an operation id in the log."""
    sizes, memory = [1000, 4000, 16000], []
    for size in sizes:
        tracemalloc.start()
        log: OperationLog[bytes] = OperationLog(600.0, size, 1.0)
        log.begin_tenure("s", Epoch(1), 0.0)
        for _ in range(size):
            operation = make_operation_id(1e9)
            log.begin(operation, 1e9)
            log.finish(operation, b"")
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return [fit("operation id without answer", "bytes", sizes, memory)]


def measure_requests() -> list[Slope]:
    """Measure processor time and memory per request."""
    sizes = [2000, 4000, 8000]
    entry_cpu, keeper_cpu, memory = [], [], []
    with Fleet(make_text(16), service_ms=0.0) as fleet:
        fleet.start(keepers=1)
        entry, keeper = fleet.entries["one-1"], fleet.keepers["one-1"]
        address = entry.settings["listen"]
        run_callers(address, "/s/", 16, 2000)
        for size in sizes:
            before = _read_cpu(entry), _read_cpu(keeper)
            run_callers(address, "/s/", 16, size)
            entry_cpu.append(_read_cpu(entry) - before[0])
            keeper_cpu.append(_read_cpu(keeper) - before[1])
            memory.append(_read_memory(entry))
    return [
        fit("entry, processor", "s a request", sizes, entry_cpu),
        fit("keeper, processor", "s a request", sizes, keeper_cpu),
        fit("entry, memory", "bytes a request", sizes, memory),
    ]


def _measure_idle(keepers: int) -> dict[str, float]:
    with Fleet(make_text(4, shards=64), upstreams=1) as fleet:
        fleet.start(keepers=keepers)
        gevent.sleep(1.0 + 0.3 * keepers)
        daemons = list(fleet.keepers.values())
        entry = next(iter(fleet.entries.values()))
        calls = _count_calls(fleet)
        before = [
            (_read_cpu(each), each.fetch_state()["traffic"])
            for each in [*daemons, entry]
        ]
        began = time.monotonic()
        gevent.sleep(_IDLE_TIME)
        took = time.monotonic() - began
        costs = []
        for each, (cpu, traffic) in zip(
            [*daemons, entry], before, strict=True
        ):
            now = each.fetch_state()["traffic"]
            bytes_moved = sum(
                now[name] - traffic[name]
                for name in ("sent_bytes", "received_bytes")
            )
            costs.append(((_read_cpu(each) - cpu) / took, bytes_moved / took))
        count = len(daemons)
        return {
            "cpu": sum(cost[0] for cost in costs[:-1]) / count,
            "bytes": sum(cost[1] for cost in costs[:-1]) / count,
            "entry_cpu": costs[-1][0],
            "entry_bytes": costs[-1][1],
            "memory": sum(_read_memory(each) for each in daemons) / count,
            "store": (_count_calls(fleet) - calls) / took,
        }


def _count_calls(fleet: Fleet) -> int:
    answer = call(fleet.store_address, "GET", "/calls")
    return sum(msgspec.json.decode(answer.body).values())


def measure_control() -> list[Slope]:
    """Measure the cost of control per keeper of a data centre."""
    sizes = [2, 4, 8, 16]
    found = [_measure_idle(size) for size in sizes]

    def line(what: str, unit: str, name: str) -> Slope:
        return fit(what, unit, sizes, [each[name] for each in found])

    return [
        line("keeper, processor for control", "cores a keeper", "cpu"),
        line("keeper, link bytes", "bytes/s a keeper", "bytes"),
        line("keeper, memory", "bytes a keeper", "memory"),
        line("entry, processor for control", "cores a keeper", "entry_cpu"),
        line("entry, link bytes", "bytes/s a keeper", "entry_bytes"),
        line("store, calls", "calls/s a keeper", "store"),
    ]


def main(arguments: list[str] | None = None) -> int:
    """Measure all slopes, and print and write them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="build/slopes.json")
    options = parser.parse_args(arguments)
    slopes = [
        *measure_records(),
        *measure_operations(),
        *measure_requests(),
        *measure_control(),
    ]
    output = pathlib.Path(options.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(
        msgspec.json.format(msgspec.json.encode(slopes), indent=2)
    )
    for each in slopes:
        costs = ", ".join(f"{cost:.6g}" for cost in each.costs)
        print(
            f"{each.what:32} {each.slope:12.6g} {each.unit:18} "
            f"base {each.base:.6g}  ({costs})"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
