"""Measure for how long keys are unavailable after a restore of the store.

In a fleet of real processes, requests for 12 keys are sent at short intervals
while the store is restored from a backup. The unavailable time of a key is the
longest time between two requests that were served. Situations:

alive
    The former leader lives and all upstreams are reached.
refused
    All connections to one upstream are reset, and new ones refused, for 5 s.
refused-at-leader
    As before, but only those of the former leader, and without an end.
killed
    The former leader's process is killed.

    python -m sedgetide.testing.restoretimes --situation alive --count 3
"""

import argparse
from collections.abc import Sequence
import enum
import itertools
import pathlib
import statistics
import tempfile
import time

import gevent
import msgspec

from sedgetide.command.explain import Line
from sedgetide.command.explain import read_lines
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.testing.gateways import Path
from sedgetide.testing.losses import request_key
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.soakfleet import SoakUpstream

_KEYS = tuple(Key(LAST_KEY * number // 12) for number in range(12))
_INTERVAL = 0.05
_WORK = 0.002
_ERA = 6
_SETTLING_TIME = 5.0
# Seconds after the restore; longer than any grant may be held.
_MEASURED_TIME = 16.0
_BACKUP_AGE = 1.5
_OUTAGE = 0.1
_REFUSAL_TIME = 5.0
_SERVED_WITHIN = 30.0
# Seconds before the end in which a key that is available was served.
_LAST_TIME = 2.0


class Situation(enum.Enum):
    """What else happens at the time of the restore."""

    ALIVE = "alive"
    REFUSED = "refused"
    REFUSED_AT_LEADER = "refused-at-leader"
    KILLED = "killed"


class RestoreTimes(msgspec.Struct, frozen=True):
    """Unavailable times of one restore in seconds.

    Parameters
    ----------
    keys : tuple of float
        Of the keys whose upstream is reached, in ascending order.
    refused : tuple of float
        Of the keys whose upstream refuses connections.
    unserved : int
        Keys that were still not served at the end of the measurement.
    recovered : tuple of str
        Fields of the lines ``recovered`` of all hosts.
    """

    keys: tuple[float, ...]
    refused: tuple[float, ...]
    unserved: int
    recovered: tuple[str, ...]


class _KeyProber:
    """Requests one key at intervals and records when it was served."""

    def __init__(self, key: Key, hosts: Sequence[SoakHost]) -> None:
        self.key = key
        self.number = ""
        self.served_at: list[float] = []
        self._hosts = itertools.cycle(hosts)

    def run(self) -> None:
        """Send requests until this greenlet is killed."""
        for count in itertools.count():
            number = f"restore-{self.key}-{count}"
            sent_at = time.monotonic()
            if request_key(next(self._hosts), number, self.key):
                self.number = number
                self.served_at.append(sent_at)
            gevent.sleep(_INTERVAL)

    def is_served(self, since: float) -> bool:
        """Return whether a request that was sent since then was served."""
        return bool(self.served_at) and self.served_at[-1] >= since

    def find_gap(self, began: float, ended: float) -> float:
        """Return the longest time without a served request."""
        times = [began, *(at for at in self.served_at if at > began), ended]
        return max(
            later - earlier for earlier, later in itertools.pairwise(times)
        )


def _find_leader(fleet: Fleet) -> SoakHost:
    name = fleet.hosts[0].read_leader()
    return next(each for each in fleet.hosts if each.name == name)


def _find_owners(
    fleet: Fleet, probers: Sequence[_KeyProber]
) -> dict[Key, SoakUpstream]:
    """Return the upstreams that served the last request for each key."""
    upstreams = {each.name: each for each in fleet.upstreams}
    served = {
        event.request: upstreams[event.upstream.partition("@")[0]]
        for event in fleet.read_events()
    }
    return {each.key: served[each.number] for each in probers}


def _describe(line: Line) -> str:
    known = {"time", "level", "event", "program", "service", "era"}
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in known
    )


def measure_restore(
    situation: Situation, folder: pathlib.Path
) -> RestoreTimes:
    """Return the unavailable times after a restore in one situation.

    Parameters
    ----------
    situation : Situation
        What else happens at the time of the restore.
    folder : pathlib.Path
        Folder for settings and process output.
    """
    fleet = Fleet(folder, 0.0, era=_ERA, with_gateways=True, work=_WORK)
    try:
        fleet.start()
        gevent.sleep(_SETTLING_TIME)
        leader = _find_leader(fleet)
        killed = situation is Situation.KILLED
        hosts = [e for e in fleet.hosts if not (killed and e is leader)]
        probers = [_KeyProber(key, hosts) for key in _KEYS]
        tasks = [gevent.spawn(each.run) for each in probers]
        with gevent.Timeout(_SERVED_WITHIN):
            while not all(each.number for each in probers):
                gevent.sleep(_INTERVAL)
        gevent.sleep(_BACKUP_AGE)
        owners = _find_owners(fleet, probers)
        lost: set[Key] = set()
        began = time.monotonic()
        fleet.restore_store(_BACKUP_AGE, _OUTAGE)
        if killed:
            leader.program.close()
        elif situation is not Situation.ALIVE:
            refusing = owners[_KEYS[0]]
            lost = {key for key, owner in owners.items() if owner is refusing}
            at_all = situation is Situation.REFUSED
            for host in fleet.hosts if at_all else [leader]:
                gateway = host.gateway
                gateway.set_path(Path.RESETTING, refusing.address.__eq__)
                if at_all:
                    gevent.spawn_later(
                        _REFUSAL_TIME, gateway.set_path, Path.OPEN
                    )
        gevent.sleep(_MEASURED_TIME)
        ended = time.monotonic()
        gevent.killall(tasks)
    finally:
        fleet.close()
    gaps = {each.key: each.find_gap(began, ended) for each in probers}
    lines = read_lines([each.program.output for each in fleet.hosts])
    return RestoreTimes(
        tuple(sorted(gap for key, gap in gaps.items() if key not in lost)),
        tuple(sorted(gap for key, gap in gaps.items() if key in lost)),
        sum(not each.is_served(ended - _LAST_TIME) for each in probers),
        tuple(
            _describe(line)
            for line in lines
            if line.find("event") == "recovered"
        ),
    )


def _show(label: str, seconds: Sequence[float]) -> None:
    if seconds:
        print(
            f"{label}: {len(seconds)} keys, median "
            f"{statistics.median(seconds):.2f} s, worst {max(seconds):.2f} s"
        )


def main() -> None:
    """Print the figures of each restore and of all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--situation",
        type=Situation,
        choices=list(Situation),
        action="append",
    )
    parser.add_argument("--count", type=int, default=3)
    options = parser.parse_args()
    for situation in options.situation or list(Situation):
        runs = []
        for _ in range(options.count):
            with tempfile.TemporaryDirectory() as folder:
                run = measure_restore(situation, pathlib.Path(folder))
            runs.append(run)
            _show(situation.value, run.keys)
            _show(f"{situation.value}, refusing upstream", run.refused)
            print(f"{run.unserved} keys not served at the end")
            print(*run.recovered, sep="\n")
        _show(
            f"all {situation.value}", [gap for run in runs for gap in run.keys]
        )
        _show(
            f"all {situation.value}, refusing upstream",
            [gap for run in runs for gap in run.refused],
        )


if __name__ == "__main__":
    main()
