"""Run both example deployments with real processes, a move and a loss.

Usage: ``python -m sedgetide.testing.demo --output build/demo.json``, in a
directory that contains ``examples``. Exits with 1 on a violation.
"""

import argparse
import collections
import contextlib
import pathlib
import sys
import time
from typing import Any

import gevent
import msgspec

from sedgetide.backends.httpstore import HttpStore
from sedgetide.command.configuration import pin_shard
from sedgetide.command.configuration import require_text
from sedgetide.core.ownership.keyspace import find_shard
from sedgetide.testing.callers import Load
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.fleet import wait_for
from sedgetide.testing.processfaults import find_violations
from sedgetide.testing.processfaults import measure_unavailable

_RATE = 60.0
_KEY_COUNT = 40
_TIME_BEFORE_MOVE = 2.0
_TIME_AFTER_MOVE = 3.0
_TIME_AFTER_KILL = 5.0
_SERVED_WITHIN = 2.0

_PATHS = {
    "lombardia": [
        ("GET", "/mappa-fumi/tiles/t{n}"),
        ("GET", "/mappa-fumi/stations/s{n}"),
        ("POST", "/mappa-fumi/alerts/a{n}"),
        ("GET", "/archivio-pennacchi/plumes/p{n}"),
    ],
    "muntenia": [
        ("GET", "/intake-ledger/lots/l{n}/weight"),
        ("GET", "/intake-ledger/lots/l{n}/grade"),
        ("POST", "/intake-ledger/lots/l{n}/acceptance"),
        ("GET", "/yard-roster/shifts/w{n}"),
    ],
}
_MOVED = {"lombardia": "mappa-fumi", "muntenia": "intake-ledger"}


class Result(msgspec.Struct):
    """Results of one deployment."""

    deployment: str
    processes: int
    requests: int
    outcomes: dict[str, int]
    moved: str
    move_seconds: float
    killed: str
    unavailable_seconds: float
    refused_by_move: int
    broken: list[str]


def _move_one_shard(fleet: Fleet, service: str) -> tuple[str, float]:
    """Move one shard and return its name and the duration of the move."""
    grants = fleet.list_grants()
    homes = {
        each["name"]: each["data_centre"]
        for row in fleet.text["services"]
        if row["name"] == service
        for each in row["upstreams"]
    }
    key = "moved-key"
    store = HttpStore([fleet.store_address], 5.0)
    with contextlib.closing(store):
        shard, owner = _find_owner(store, fleet, service, key)
        target = next(
            name
            for name, centre in homes.items()
            if centre == homes[owner] and name != owner
        )
        began = time.monotonic()
        pin_shard(store, service, key, target)
    name = f"{service}/{shard}"
    epoch = grants[name][1]
    wait_for(
        lambda: fleet.list_grants().get(name) == (target, epoch + 1),
        10,
        f"{name} at {target}",
    )
    return f"{name}: {owner} -> {target}", time.monotonic() - began


def _find_owner(
    store: HttpStore, fleet: Fleet, service: str, key: str
) -> tuple[int, str]:
    text = require_text(store)
    shard = find_shard(key, text.find_service(service).shards)
    return shard, fleet.list_grants()[f"{service}/{shard}"][0]


def run_deployment(name: str, text: dict[str, Any], upstreams: int) -> Result:
    """Run one deployment with a move and the loss of a keeper."""
    with Fleet(text, upstreams=upstreams) as fleet:
        fleet.start(keepers=3, entries=1)
        addresses = [
            entry.settings["listen"] for entry in fleet.entries.values()
        ]
        load = Load(addresses, _PATHS[name], _RATE, _KEY_COUNT)
        load.start()
        gevent.sleep(_TIME_BEFORE_MOVE)
        before_move = time.monotonic()
        moved, move_seconds = _move_one_shard(fleet, _MOVED[name])
        gevent.sleep(_TIME_AFTER_MOVE)
        killed_at = time.monotonic()
        victim = fleet.find_keeper(moved.rpartition(" ")[2])
        victim.process.kill()
        gevent.sleep(_TIME_AFTER_KILL)
        call_results = load.stop()
        outcomes = collections.Counter(each.outcome for each in call_results)
        unavailable = measure_unavailable(call_results, killed_at)
        broken = find_violations(fleet, call_results)
        if unavailable > _SERVED_WITHIN:
            broken.append(f"a key was unavailable for {unavailable:.2f} s")
        refused_by_move = sum(
            1
            for each in call_results
            if before_move <= each.began < killed_at
            and each.outcome != "answered"
        )
        if refused_by_move:
            broken.append(f"{refused_by_move} requests failed in the move")
        return Result(
            name,
            len(fleet.upstreams) + len(fleet.keepers) + len(fleet.entries),
            len(call_results),
            dict(outcomes),
            moved,
            move_seconds,
            victim.process.name,
            unavailable,
            refused_by_move,
            broken,
        )


def _print_table(results: list[Result]) -> None:
    for each in results:
        print(f"{each.deployment}: {each.processes} processes")
        print(f"  requests          {each.requests}")
        for outcome, count in sorted(each.outcomes.items()):
            print(f"    {outcome:15} {count}")
        print(f"  moved             {each.moved}")
        print(f"  move took         {each.move_seconds:.3f} s")
        print(f"  failed in move    {each.refused_by_move}")
        print(f"  killed            {each.killed}")
        print(f"  key unavailable   {each.unavailable_seconds:.3f} s")
        print(f"  violations        {len(each.broken)}")
        for line in each.broken:
            print(f"    {line}")


def main(arguments: list[str] | None = None) -> int:
    """Run the demo and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="build/demo.json")
    parser.add_argument("--examples", default="examples")
    parser.add_argument("--upstreams", type=int, default=2)
    options = parser.parse_args(arguments)
    results = []
    for name in _PATHS:
        path = pathlib.Path(options.examples) / f"{name}.json"
        text = msgspec.json.decode(path.read_bytes())
        results.append(run_deployment(name, text, options.upstreams))
    output = pathlib.Path(options.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(
        msgspec.json.format(msgspec.json.encode(results), indent=2)
    )
    _print_table(results)
    return 1 if any(each.broken for each in results) else 0


if __name__ == "__main__":
    sys.exit(main())
