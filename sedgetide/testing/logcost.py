"""Measure the cost of request logs: processor time and bytes per request.

Two hosts of one fleet serve the same number of requests in turn, one of them
with a log line for every request and one without.

    python -m sedgetide.testing.logcost --output build/logcost.json
"""

import argparse
import itertools
import pathlib
import tempfile

import gevent
import msgspec

from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_SETTLING_TIME = 3.0
_ROUNDS = 10
_KEYS = 65536
# The third host has a larger processor share and therefore becomes the leader,
# so that the two hosts that are compared have no other work.
_OPTIONS = (
    {"log_level": "INFO", "processor_share": 0.1},
    {"log_level": "ERROR", "processor_share": 0.1},
    {"log_level": "ERROR"},
)


def _send_requests(
    host: SoakHost, count: int, numbers: itertools.count
) -> None:
    connection = Connection(host.front.address, 1 << 20)
    connection.open(1.0)
    try:
        for number in itertools.islice(numbers, count):
            headers = [
                ("Host", HOST),
                (_names.REQUEST_ID, f"cost-{number}"),
                (_names.SHARD_KEY, str(number * 7919 % _KEYS)),
            ]
            request = Request("GET", "/map/x", headers, b"")
            connection.exchange(request, 5.0)
    finally:
        connection.close()


def measure(count: int, folder: pathlib.Path) -> dict[str, float]:
    """Return the figures of one run.

    Parameters
    ----------
    count : int
        Number of requests to each host.
    folder : pathlib.Path
        Folder for settings and process output.
    """
    fleet = Fleet(folder, 0.0, _OPTIONS)
    try:
        fleet.start()
        gevent.sleep(_SETTLING_TIME)
        logged, unlogged = fleet.hosts[:2]
        numbers = itertools.count()
        spent = {logged.name: 0.0, unlogged.name: 0.0}
        written = logged.program.output.stat().st_size
        for _ in range(_ROUNDS):
            for host in (logged, unlogged):
                before = host.program.read_processor_time()
                _send_requests(host, count // _ROUNDS, numbers)
                after = host.program.read_processor_time()
                spent[host.name] += after - before
        written = logged.program.output.stat().st_size - written
    finally:
        fleet.close()
    return {
        "requests": count,
        "ms_with": round(spent[logged.name] / count * 1000, 3),
        "ms_without": round(spent[unlogged.name] / count * 1000, 3),
        "ratio": round(spent[logged.name] / spent[unlogged.name], 3),
        "bytes_each": round(written / count),
    }


def main() -> int:
    """Measure, and print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--output", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        figures = measure(options.count, pathlib.Path(folder))
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(msgspec.json.encode(figures))
    print(figures)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
