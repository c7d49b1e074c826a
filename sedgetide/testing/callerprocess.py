"""Process of callers that send requests to the hosts of a fleet.

    python -m sedgetide.testing.callerprocess --seed 7 --output FILE

Commands are JSON lines on standard input: the addresses of the hosts, or a
burst. When the input ends, the records of all requests are written to the
file, one JSON line each.
"""

import argparse
import pathlib
import random
import sys

import gevent
from gevent.fileobject import FileObject
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

_BURST_CALLERS = 8


class Front(msgspec.Struct, frozen=True):
    """Address of a host for callers."""

    address: str


class FrontedHost(msgspec.Struct, frozen=True):
    """A host as callers see it."""

    front: Front


class FrontList:
    """Hosts that callers may connect to; the list changes."""

    def __init__(self) -> None:
        self.hosts: list[FrontedHost] = []


class CallerCommand(msgspec.Struct, frozen=True):
    """Command to the process.

    Parameters
    ----------
    fronts : tuple of str
        New addresses of the hosts; unchanged when empty.
    burst : float
        Seconds for which additional callers send requests.
    key : int
        Key of the additional requests; a random one when negative.
    """

    fronts: tuple[str, ...] = ()
    burst: float = 0.0
    key: int = -1


class PacedCaller(Caller):
    """Caller with a mean rate.

    Parameters
    ----------
    number, fronts, seed
        See :class:`Caller`.
    interval : float
        Mean seconds between two requests.
    """

    def __init__(
        self, number: int, fronts: FrontList, seed: int, interval: float
    ) -> None:
        super().__init__(number, fronts, seed)
        self._pause = random.Random(f"{seed}/{number}/pause")
        self._interval = interval

    def run(self) -> None:
        """Send requests until this greenlet is killed."""
        while True:
            gevent.sleep(self._pause.expovariate(1 / self._interval))
            self._send_one()


def _send_burst(fronts: FrontList, command: CallerCommand, task: int) -> None:
    """Send requests as fast as they are answered."""
    source = random.Random(task)
    count = 0
    with gevent.Timeout(command.burst, False):
        while True:
            count += 1
            key = command.key if command.key >= 0 else source.randrange(65536)
            headers = [
                ("Host", HOST),
                (_names.REQUEST_ID, f"burst-{task}-{count}"),
                (_names.DEADLINE_MS, str(int(DEADLINE * 1000))),
                (_names.SHARD_KEY, str(key)),
            ]
            front = source.choice(fronts.hosts).front
            connection = Connection(front.address, 1 << 20)
            try:
                connection.open(0.5)
                request = Request("GET", "/map/x", headers, b"")
                connection.exchange(request, DEADLINE)
            except UpstreamError:
                gevent.sleep(0.1)
            finally:
                connection.close()


def _read_commands(fronts: FrontList, seed: int) -> None:
    bursts = 0
    decoder = msgspec.json.Decoder(CallerCommand)
    for line in FileObject(sys.stdin.buffer, "rb"):
        command = decoder.decode(line)
        if command.fronts:
            fronts.hosts = [FrontedHost(Front(e)) for e in command.fronts]
        if command.burst:
            for _ in range(_BURST_CALLERS):
                bursts += 1
                gevent.spawn(
                    _send_burst, fronts, command, seed * 10_000 + bursts
                )


def main() -> None:
    """Send requests until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--rate", type=float, default=80.0)
    parser.add_argument("--output", type=pathlib.Path, required=True)
    options = parser.parse_args()
    fronts = FrontList()
    interval = options.callers / options.rate
    callers = [
        PacedCaller(options.first + each, fronts, options.seed, interval)
        for each in range(options.callers)
    ]
    reading = gevent.spawn(_read_commands, fronts, options.seed)
    while not fronts.hosts and not reading.dead:
        gevent.sleep(0.05)
    tasks = [gevent.spawn(each.run) for each in callers]
    reading.join()
    gevent.killall(tasks)
    encoder = msgspec.json.Encoder()
    records = [record for each in callers for record in each.records]
    options.output.write_bytes(
        b"".join(encoder.encode(each) + b"\n" for each in records)
    )


if __name__ == "__main__":
    main()
