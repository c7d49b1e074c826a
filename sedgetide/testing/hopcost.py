"""Measure what it costs to pass a request on to another host.

A fleet of real processes with upstreams that answer at once. One caller sends
requests one after the other to a host, first with a path to the upstreams and
then without. Prints the time to the answer, the processor time of the host
and of its peers for each request, and the bytes beside a request's own body.

    python -m sedgetide.testing.hopcost
"""

import argparse
import pathlib
import statistics
import tempfile
import time

import gevent
import msgspec

from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.gateways import Path
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_HOSTS = 3
# Seconds until the loss of the path is known everywhere.
_SETTLED = 3.0
# Seconds for which a request of an upstream runs.
_WORK = 0.0005


class HopCost(msgspec.Struct, frozen=True):
    """Cost of requests with or without a hop.

    Parameters
    ----------
    served : int
        Requests with status 200.
    median_ms, worst_ms : float
        Time to the answer: median and 99th percentile.
    host_ms, peers_ms : float
        Processor time for each request at the host and at all others.
    """

    served: int
    median_ms: float
    worst_ms: float
    host_ms: float
    peers_ms: float


def _send_all(fleet: Fleet, count: int, label: str) -> HopCost:
    host, *others = fleet.hosts
    began = [each.program.read_processor_time() for each in fleet.hosts]
    connection = Connection(f"127.0.0.1:{host.port}", 1 << 20)
    times = []
    served = 0
    for number in range(count):
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, f"{label}-{number}"),
            (_names.DEADLINE_MS, "1500"),
            (_names.SHARD_KEY, str(number * 131 % 65536)),
        ]
        if not connection.is_open:
            connection.open(1.0)
        sent_at = time.monotonic()
        answer = connection.exchange(Request("GET", "/map/x", headers, b""), 2)
        times.append(1000.0 * (time.monotonic() - sent_at))
        served += answer.status == 200
    connection.close()
    spent = [
        1000.0 * (each.program.read_processor_time() - start) / count
        for each, start in zip(fleet.hosts, began, strict=True)
    ]
    return HopCost(
        served,
        round(statistics.median(times), 2),
        round(statistics.quantiles(times, n=100)[98], 2),
        round(spent[0], 2),
        round(sum(spent[1:]), 2),
    )


def measure(count: int, folder: pathlib.Path) -> dict[str, HopCost]:
    """Return the cost of requests without a hop and with one."""
    fleet = Fleet(folder, 0.0, ({},) * _HOSTS, with_gateways=True, work=_WORK)
    try:
        fleet.start()
        gevent.sleep(_SETTLED)
        direct = _send_all(fleet, count, "direct")
        fleet.hosts[0].gateway.set_path(Path.RESETTING)
        _send_all(fleet, count // 10, "settling")
        gevent.sleep(_SETTLED)
        passed_on = _send_all(fleet, count, "passed-on")
        state = call(fleet.hosts[0].admin_port, "GET", "/state")
        lost = msgspec.json.decode(state.body)["paths"]["lost"]
        if not lost:
            raise RuntimeError("the host has not noticed the loss of its path")
        return {"direct": direct, "passed on": passed_on}
    finally:
        fleet.close()


def main() -> None:
    """Print the costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for name, cost in measure(
            arguments.count, pathlib.Path(folder)
        ).items():
            print(name, msgspec.to_builtins(cost))


if __name__ == "__main__":
    main()
