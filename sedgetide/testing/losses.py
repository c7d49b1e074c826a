"""Measure how long a key is unavailable after the loss of its upstream.

By default ten times, an upstream of the soak's fleet is killed, and requests
for one of its keys are sent until one is served.

    python -m sedgetide.testing.losses --output build/losses.json
"""

import argparse
import itertools
import pathlib
import random
import statistics
import tempfile
import time

import gevent
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.soakfleet import SoakUpstream
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_RETRY_DELAY = 0.02
_SETTLING_TIME = 4.0
_SERVED_WITHIN = 30.0
_DEADLINE_MS = "300"


class LossMeter:
    """Kills upstreams and requests their keys until they are served.

    Parameters
    ----------
    fleet : Fleet
        A fleet that serves requests.
    seed : int
        Seed that determines the keys.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._numbers = itertools.count()

    def measure(self) -> float:
        """Return the seconds from a kill to the next answer for its key."""
        key = self._random.randrange(LAST_KEY + 1)
        owner = self._find_owner(key)
        owner.program.close()
        began = time.monotonic()
        self._request_until_served(key)
        unavailable = time.monotonic() - began
        owner.start()
        gevent.sleep(_SETTLING_TIME)
        return unavailable

    def _find_owner(self, key: int) -> SoakUpstream:
        number = self._request_until_served(key)
        for event in reversed(self._fleet.read_events()):
            if event.request == number:
                return self._find_upstream(event.upstream)
        raise LookupError(f"key {key}: no upstream has recorded {number}")

    def _find_upstream(self, name: str) -> SoakUpstream:
        for upstream in self._fleet.upstreams:
            if upstream.name == name.partition("@")[0]:
                return upstream
        raise LookupError(f"{name} is not a running upstream")

    def _request_until_served(self, key: int) -> str:
        end = time.monotonic() + _SERVED_WITHIN
        while time.monotonic() < end:
            number = f"loss-{next(self._numbers)}"
            if self._request(number, key):
                return number
            gevent.sleep(_RETRY_DELAY)
        raise TimeoutError(f"key {key} was not served in {_SERVED_WITHIN:g} s")

    def _request(self, number: str, key: int) -> bool:
        host = self._random.choice(self._fleet.hosts)
        return request_key(host, number, key)


def request_key(host: SoakHost, number: str, key: int) -> bool:
    """Send a request for a key to a host; return whether it was served."""
    headers = [
        ("Host", HOST),
        (_names.REQUEST_ID, number),
        (_names.DEADLINE_MS, _DEADLINE_MS),
        (_names.SHARD_KEY, str(key)),
    ]
    connection = Connection(host.front.address, 1 << 20)
    try:
        connection.open(0.5)
        request = Request("GET", "/map/x", headers, b"")
        return connection.exchange(request, 1.0).status == 200
    except UpstreamError:
        return False
    finally:
        connection.close()


def measure_losses(count: int, seed: int, folder: pathlib.Path) -> list[float]:
    """Return the unavailable time of each loss in seconds.

    Parameters
    ----------
    count : int
        Number of losses.
    seed : int
        Seed that determines the keys.
    folder : pathlib.Path
        Folder for settings and process output.
    """
    fleet = Fleet(folder, late_grants=0.0)
    try:
        fleet.start()
        gevent.sleep(_SETTLING_TIME)
        meter = LossMeter(fleet, seed)
        return [meter.measure() for _ in range(count)]
    finally:
        fleet.close()


def main() -> int:
    """Measure, and print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path, required=True)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        unavailable = measure_losses(
            options.count, options.seed, pathlib.Path(folder)
        )
    figures = {
        "seconds": [round(each, 3) for each in unavailable],
        "median": round(statistics.median(unavailable), 3),
        "worst": round(max(unavailable), 3),
    }
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(msgspec.json.encode(figures))
    print(figures)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
