"""Compare latency and throughput of requests along three paths.

The paths are directly to an upstream, through an entry without keepers, and
through entry and keeper. Usage: ``python -m sedgetide.testing.speed``. The
figures of one run are comparable with each other only.
"""

import argparse
import statistics
import sys
import time

import gevent
import msgspec

from sedgetide.backends._connection import HttpConnection
from sedgetide.testing.fleet import call
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.fleet import reserve_address
from sedgetide.testing.fleet import wait_for

_MAX_ANSWER_BYTES = 1024 * 1024
_TIMEOUT = 10.0
_ROUNDS = 5


class Sample(msgspec.Struct, frozen=True):
    """Result of one load.

    Parameters
    ----------
    median, p99 : float
        Latency in seconds.
    rate : float
        Requests with status 200 per second.
    refused : int
        Number of requests with another status.
    """

    median: float
    p99: float
    rate: float
    refused: int


def make_text(
    slots: int, shards: int = 16, checks_orders: bool = True
) -> dict:
    """Return a configuration of one data centre and one keyed service."""
    return {
        "name": "speed",
        "data_centres": ["one"],
        "classes": [{"name": "read", "priority": 0}],
        "services": [
            {
                "name": "s",
                "prefix": "/s",
                "keyed": True,
                "shards": shards,
                "homes": ["one"],
                "checks_orders": checks_orders,
                "slots": slots,
                "connections": 130,
                "routes": [
                    {
                        "path": "/{key}",
                        "methods": ["GET"],
                        "class": "read",
                        "idempotent": True,
                    },
                    {
                        "path": "/{key}",
                        "methods": ["POST"],
                        "class": "read",
                    },
                ],
                "upstreams": [
                    {
                        "name": "u-01",
                        "data_centre": "one",
                        "address": "127.0.0.1:1",
                    }
                ],
            }
        ],
    }


def run_callers(
    address: str, path: str, callers: int, requests: int
) -> Sample:
    """Send requests from callers that each wait for the answer."""
    times: list[float] = []

    def run(number: int) -> None:
        connection = HttpConnection(address, _MAX_ANSWER_BYTES)
        connection.open(_TIMEOUT)
        for index in range(requests // callers):
            began = time.perf_counter()
            answer = connection.exchange(
                "GET", f"{path}{number}-{index}", (), b"", _TIMEOUT
            )
            if answer.status == 200:
                times.append(time.perf_counter() - began)
        connection.close()

    began = time.perf_counter()
    gevent.joinall(
        [gevent.spawn(run, number) for number in range(callers)],
        raise_error=True,
    )
    took = time.perf_counter() - began
    times.sort()
    return Sample(
        statistics.median(times),
        times[int(len(times) * 0.99)],
        len(times) / took,
        requests // callers * callers - len(times),
    )


def measure(
    service_ms: float, slots: int, requests: int
) -> dict[str, list[Sample]]:
    """Measure all paths in turn, in several rounds."""
    found: dict[str, list[Sample]] = {}
    with Fleet(make_text(slots), service_ms=service_ms) as fleet:
        fleet.start(keepers=1)
        upstream = fleet.list_upstreams()["u-01"]
        direct_entry = reserve_address()
        fleet.start_tool(
            "direct",
            "sedgetide.testing.directentry",
            "--port",
            direct_entry.rpartition(":")[2],
            "--upstream",
            upstream,
        )
        wait_for(lambda: call(direct_entry, "GET", "/x"), 10, "baseline")
        entry = fleet.entries["one-1"].settings["listen"]
        paths = [
            ("direct", upstream, "/"),
            ("direct entry", direct_entry, "/"),
            ("entry and keeper", entry, "/s/"),
        ]
        for _ in range(_ROUNDS):
            for callers in (1, 16):
                for name, address, path in paths:
                    sample = run_callers(address, path, callers, requests)
                    found.setdefault(f"{name}, {callers}", []).append(sample)
    return found


def main(arguments: list[str] | None = None) -> int:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service-ms", type=float, default=0.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--requests", type=int, default=1000)
    options = parser.parse_args(arguments)
    found = measure(options.service_ms, options.slots, options.requests)
    print(f"service {options.service_ms} ms, {options.slots} slots")
    for name, samples in found.items():
        median = statistics.median(each.median for each in samples)
        p99 = statistics.median(each.p99 for each in samples)
        rate = statistics.median(each.rate for each in samples)
        print(
            f"{name:22} median {median * 1000:7.3f} ms  "
            f"p99 {p99 * 1000:7.3f} ms  {rate:8.0f} requests/s  "
            f"refused {sum(each.refused for each in samples)}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
