"""Measure how long keys are unavailable in planned moves.

A leader moves 60 ranges at a time between 100 simulated upstreams. A key is
unavailable from the acknowledged write of its move until a host hears of the
end of the move. With a rate, upstreams run requests, and releases wait for
them.

    python -m sedgetide.testing.movetimes --output build/movetimes.json
"""

import argparse
import collections
import contextlib
import math
import pathlib
import random
import statistics
import tempfile
import time
from typing import Any

import gevent
import msgspec

from sedgetide.coding.settings import HostSettings
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.daemons._orderexecutor import OrderExecutor
from sedgetide.daemons.host import DeploymentAdapter
from sedgetide.daemons.host import Host
from sedgetide.platform import _names
from sedgetide.platform._orders import PlatformOrders
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.platform._store import PlatformStore
from sedgetide.runtime.clock import read_clock
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.ports import find_port
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Program

_UPSTREAMS, _MOVES = 100, 60
_PER_PROCESS = 25
_START_TIMEOUT = 60.0
_MAX_RANGES = 400
_PAUSE = 2.0
_POLICY = {
    "version": "r1",
    "routes": {"columns": [], "rows": []},
    "services": {"columns": ["name", "sharded"], "rows": [[KEYED, True]]},
}


class _Meter:
    """Replaces the plans of a leader, and records the steps of its moves."""

    def __init__(self, leader: Any, stack: contextlib.ExitStack) -> None:
        self.requested = False
        self.times = collections.defaultdict(dict)
        self._plan, self._write = leader._plan_moves, leader._write
        self._broadcast = leader._broadcast_move
        self._stop_owner = OrderExecutor._stop_owner
        leader._plan_moves, leader._write = self._plan_moves, self._write_table
        leader._broadcast_move = self._note_granted
        OrderExecutor._stop_owner = lambda *args: self._note_stopped(*args)
        stack.callback(setattr, OrderExecutor, "_stop_owner", self._stop_owner)

    def _plan_moves(self, service, table, active, balance, now) -> list[Move]:
        self._plan(service, table, active, balance, now)
        if not self.requested:
            return []
        self.requested = False
        moves = []
        resting = [each for each in table.tenures if not each.moving]
        for tenure in random.sample(resting, min(_MOVES, len(resting))):
            whole = len(table.tenures) > _MAX_RANGES
            middle = Key((tenure.low + tenure.high) // 2)
            keys = tenure.keys if whole else KeyRange(tenure.low, middle)
            names = [each.name for each in active if each.name != tenure.owner]
            moves.append(Move(keys, random.choice(names)))
        return moves

    def _write_table(self, service, table) -> bool:
        written = self._write(service, table)
        for each in table.list_moving():
            self.times[each.fence].setdefault("written", read_clock())
        return written

    def _note_stopped(self, executor, service, tenure) -> object:
        stopped = self._stop_owner(executor, service, tenure)
        self.times[tenure.fence]["stopped"] = read_clock()
        return stopped

    def _note_granted(self, service, tenure) -> None:
        self.times[tenure.fence]["granted"] = read_clock()
        self._broadcast(service, tenure)

    def list_seconds(self, step: str) -> list[float]:
        """Return the seconds until a step of each move; inf if not reached."""
        return [
            times.get(step, math.inf) - times["written"]
            for times in self.times.values()
        ]


def _wait_for(condition) -> None:
    end = time.monotonic() + _START_TIMEOUT
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("the deployment did not start")
        gevent.sleep(0.2)


def _start_standins(
    folder: pathlib.Path, count: int, *arguments: str
) -> list[Program]:
    programs = []
    for first in range(0, count, _PER_PROCESS):
        size = min(_PER_PROCESS, count - first)
        ports = [str(find_port()) for _ in range(size)]
        module = "sedgetide.testing.movestandins"
        program = Program(ports[0], folder, ["-m", module, *arguments, *ports])
        program.start()
        programs.append(program)
    return programs


def measure(
    hosts: int, rate: float, rounds: int, folder: pathlib.Path
) -> dict[str, list[float]]:
    """Return the seconds from the write of each move to each of its steps.

    Parameters
    ----------
    hosts : int
        Number of hosts that the leader feeds.
    rate : float
        Requests per second that each upstream runs.
    rounds : int
        How often ranges are moved.
    folder : pathlib.Path
        Folder for the output of the processes.
    """
    store_port = find_port()
    store = f"127.0.0.1:{store_port}"
    listen, ready, admin, link = (f"127.0.0.1:{find_port()}" for _ in range(4))
    settings = HostSettings(
        host="leader",
        data_centre="dc-1",
        listen=listen,
        ready=ready,
        admin=admin,
        link=link,
        stores=(store,),
        processors=4.0,
    )
    adapter = DeploymentAdapter(
        PlatformRequests(),
        PlatformOrders(),
        PlatformRegistry(),
        lambda address, eras: PlatformStore(address, 0.9, eras),
        _names.READINESS_PATH,
    )
    module = "sedgetide.testing.platformstore"
    program = Program("store", folder, ["-m", module, f"--port={store_port}"])
    total = rate * _UPSTREAMS

    def configure() -> bool:
        body = {"key": _names.CONFIGURATION_KEY, "value": _POLICY}
        answer = call(store_port, "POST", "/put", body)
        return answer is not None and answer.status == 200

    def is_registered() -> bool:
        with contextlib.closing(leader._open_store()) as client:
            items = client.list(_names.REGISTRY_PREFIX).items
        return len(items) == _UPSTREAMS

    def is_fed() -> bool:
        known = leader._deployment
        return known.can_route and known.hosts == hosts + 1

    with contextlib.ExitStack() as stack:
        leader = Host(settings, adapter)
        meter = _Meter(leader._leader, stack)
        stack.callback(program.close)
        program.start()
        _wait_for(configure)
        arguments = (f"--store={store}", f"--rate={total}")
        for each in _start_standins(folder, _UPSTREAMS, *arguments):
            stack.callback(each.close)
        _wait_for(is_registered)
        arguments = (f"--leader={link}", f"--rate={total / hosts}")
        standins = _start_standins(folder, hosts, *arguments)
        for each in standins:
            stack.callback(each.close)
        leader.start(stack)
        _wait_for(is_fed)
        for _ in range(rounds):
            gevent.sleep(random.uniform(1.0, 1.2) * _PAUSE)
            meter.requested = True
        gevent.sleep(2 * _PAUSE)
    found = {step: meter.list_seconds(step) for step in ("stopped", "granted")}
    lines = " ".join(each.output.read_text() for each in standins).split()
    found["heard"] = [
        float(heard_at) - meter.times[int(fence)]["written"]
        for fence, heard_at in zip(lines[::2], lines[1::2], strict=True)
    ]
    return found


def main() -> int:
    """Measure, and print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--hosts", type=int, nargs="+", default=[100, 200, 300]
    )
    parser.add_argument("--rates", type=float, nargs="+", default=[0.0, 7.0])
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--output", type=pathlib.Path, required=True)
    options = parser.parse_args()
    figures = []
    for hosts in options.hosts:
        for rate in options.rates:
            with tempfile.TemporaryDirectory() as folder:
                found = measure(
                    hosts, rate, options.rounds, pathlib.Path(folder)
                )
            row = {"hosts": hosts, "rate": rate}
            for step, times in found.items():
                cuts = statistics.quantiles(times, n=20)
                row[step] = {
                    "median": round(cuts[9], 3),
                    "p95": round(cuts[18], 3),
                    "worst": round(max(times), 3),
                    "samples": len(times),
                }
            print(row, flush=True)
            figures.append(row)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(msgspec.json.encode(figures))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
