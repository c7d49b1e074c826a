"""Measure for how long keys have no holder around a change of the leader.

In a fleet of real processes the leader is killed, or stopped as planned. With
``--restart`` an upstream starts again under its name meanwhile, and can't
reach the store for some time, so that the registry shows it late. Prints the
longest time for which a key had no holder, and the keys that two processes
had at a wrong fence.

    python -m sedgetide.testing.leaderchanges --loss killed --count 5
"""

import argparse
from collections.abc import Sequence
import enum
import pathlib
import random
import shutil
import signal
import tempfile
import time

import gevent
import msgspec

from sedgetide.command.explain import read_lines
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.testing.proxies import Mode
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import GRANTED
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.soakfleet import SoakUpstream
from sedgetide.testing.soakholdings import find_holding_violations
from sedgetide.testing.soakholdings import Holding
from sedgetide.testing.soakholdings import list_holdings

_KEYS = tuple(Key(LAST_KEY * number // 24) for number in range(25))
_SETTLING_TIME = 6.0
# Seconds between the loss and the kill of the upstream; the next leader is
# elected about 2 s after the loss.
_RESTART_AFTER = {"killed": 1.2, "stopped": -0.5}
_RESTART_SPREAD = 0.2
_CUT_TIME = 2.0
_MEASURED_TIME = 8.0


class Loss(enum.Enum):
    """How the leader ends."""

    KILLED = "killed"
    STOPPED = "stopped"


class LeaderChange(msgspec.Struct, frozen=True):
    """What was seen around one change of the leader.

    Parameters
    ----------
    unheld : float
        Longest time in seconds for which a key had no holder, among those
        whose upstream ran all the time.
    restarted : float
        The same among all other keys.
    left : float
        Shortest time in seconds that was left of a hold when the same
        process was granted the key again, for the keys of ``unheld``.
    violations : tuple of str
        Keys that were taken at a wrong fence, or held twice.
    written : int
        Tables that were written.
    """

    unheld: float
    restarted: float
    left: float
    violations: tuple[str, ...]
    written: int


def _find_leader(fleet: Fleet) -> SoakHost:
    with gevent.Timeout(_SETTLING_TIME):
        while (leader := fleet.find_leader()) is None:
            gevent.sleep(0.1)
    return leader


def _restart(upstream: SoakUpstream) -> None:
    """Start an upstream again, cut off from the store for some time."""
    upstream.store.mode = Mode.CUT
    upstream.program.close()
    upstream.restart()
    gevent.sleep(_CUT_TIME)
    upstream.store.mode = Mode.PASS


def _find_unheld(
    holdings: Sequence[Holding], key: Key, began: float, ended: float
) -> float:
    """Return the longest time for which a key had no holder."""
    held_until = began
    longest = 0.0
    for each in sorted(holdings, key=lambda each: each.since):
        if not each.low <= key <= each.high or each.until < began:
            continue
        longest = max(longest, min(each.since, ended) - held_until)
        held_until = max(held_until, each.until)
    return max(longest, ended - held_until)


def _find_left(events: Sequence[Event], key: Key, began: float) -> float:
    """Return the shortest time left of a hold that was renewed."""
    ends: dict[str, float] = {}
    shortest = float("inf")
    for each in events:
        if each.kind != GRANTED or not each.keys.low <= key <= each.keys.high:
            continue
        if each.at >= began and each.upstream in ends:
            shortest = min(shortest, ends[each.upstream] - each.at)
        ends[each.upstream] = each.until
    return shortest


def _list_steady(
    holdings: Sequence[Holding], restarted: str, began: float, ended: float
) -> list[Key]:
    """Return the keys that no process of the restarted upstream had."""
    touched = [
        each
        for each in holdings
        if restarted
        and each.upstream.startswith(f"{restarted}@")
        and each.until > began
        and each.since < ended
    ]
    return [
        key
        for key in _KEYS
        if not any(each.low <= key <= each.high for each in touched)
    ]


def measure_change(
    loss: Loss, with_restart: bool, seed: int, folder: pathlib.Path
) -> LeaderChange:
    """Return what is seen around a change of the leader.

    Parameters
    ----------
    loss : Loss
        How the leader ends.
    with_restart : bool
        Whether an upstream starts again under its name meanwhile.
    seed : int
        Seed of the offsets of the loss and the restart.
    folder : pathlib.Path
        Folder for settings and process output.
    """
    chosen = random.Random(seed)
    fleet = Fleet(folder, 0.0)
    restarted = ""
    try:
        fleet.start()
        gevent.sleep(_SETTLING_TIME + chosen.uniform(0.0, 1.2))
        leader = _find_leader(fleet)
        upstream = chosen.choice(fleet.list_keyed())
        began = time.monotonic()
        offset = _RESTART_AFTER[loss.value] + chosen.uniform(
            -_RESTART_SPREAD, _RESTART_SPREAD
        )
        if with_restart:
            restarted = upstream.name
            gevent.spawn_later(max(0.0, offset), _restart, upstream)
        gevent.sleep(max(0.0, -offset) if with_restart else 0.0)
        if loss is Loss.KILLED:
            leader.program.close()
        else:
            leader.program.signal(signal.SIGTERM)
        gevent.sleep(_MEASURED_TIME)
        ended = time.monotonic()
    finally:
        fleet.close()
    events = fleet.read_events()
    heals = fleet.list_heals()
    holdings = list_holdings(events, heals)
    keys = _list_steady(holdings, restarted, began, ended)
    lines = read_lines([each.program.output for each in fleet.hosts])
    written = [e for e in lines if e.find("event") == "table-written"]
    unheld = {key: _find_unheld(holdings, key, began, ended) for key in _KEYS}
    return LeaderChange(
        max(unheld[key] for key in keys),
        max((unheld[key] for key in _KEYS if key not in keys), default=0.0),
        min(_find_left(events, key, began) for key in keys),
        tuple(find_holding_violations(events, heals, ended)),
        len(written),
    )


def main() -> None:
    """Print the figures of each change."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--loss", type=Loss, choices=list(Loss), default=Loss.KILLED
    )
    parser.add_argument("--restart", action="store_true")
    parser.add_argument("--count", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        help="folder for the output of runs with violations or keys that "
        "had no holder",
    )
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.count):
        with tempfile.TemporaryDirectory() as folder:
            change = measure_change(
                options.loss, options.restart, seed, pathlib.Path(folder)
            )
            if options.keep and (change.unheld or change.violations):
                kept = options.keep / f"{options.loss.value}-{seed}"
                shutil.copytree(folder, kept, dirs_exist_ok=True)
        print(
            f"{options.loss.value}, seed {seed}: no holder for "
            f"{change.unheld:.2f} s, of the restarted upstream "
            f"{change.restarted:.2f} s, holds renewed {change.left:.2f} s "
            f"before their end, {len(change.violations)} violations, "
            f"{change.written} tables",
            flush=True,
        )
        for violation in change.violations[:3]:
            print(f"  {violation}", flush=True)


if __name__ == "__main__":
    main()
