"""What logs cost a host: processor time and bytes for each request.

Two hosts of one fleet serve the same requests by turns, one of them with
logs of every request and one without.

    python -m sedgetide.testing.logcost --output build/logcost.json
"""

import argparse
import itertools
import pathlib
import tempfile

import gevent
import msgspec

from sedgetide.platform import _names
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import HOST
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_SETTLED = 3.0
_ROUNDS = 10
_KEYS = 65536
# The third host is stronger and leads, so that the two that are compared have
# no other work.
_OPTIONS = (
    {"log_level": "INFO", "processor_share": 0.1},
    {"log_level": "ERROR", "processor_share": 0.1},
    {"log_level": "ERROR"},
)


def _ask(host: SoakHost, count: int, numbers: itertools.count) -> None:
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
        Requests to each host.
    folder : pathlib.Path
        Where settings and output of the processes go.
    """
    fleet = Fleet(folder, 0.0, _OPTIONS)
    try:
        fleet.start()
        gevent.sleep(_SETTLED)
        logging, silent = fleet.hosts[:2]
        numbers = itertools.count()
        spent = {logging.name: 0.0, silent.name: 0.0}
        written = logging.program.output.stat().st_size
        for _ in range(_ROUNDS):
            for host in (logging, silent):
                before = host.program.read_processor_time()
                _ask(host, count // _ROUNDS, numbers)
                after = host.program.read_processor_time()
                spent[host.name] += after - before
        written = logging.program.output.stat().st_size - written
    finally:
        fleet.close()
    return {
        "requests": count,
        "ms_with": round(spent[logging.name] / count * 1000, 3),
        "ms_without": round(spent[silent.name] / count * 1000, 3),
        "ratio": round(spent[logging.name] / spent[silent.name], 3),
        "bytes_each": round(written / count),
    }


def main() -> int:
    """Measure, print, and write the figures."""
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
