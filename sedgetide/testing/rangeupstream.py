"""An upstream as a process: registers itself, holds ranges, runs requests.

By the platform's own protocol. Every run is a line on standard output, by
the machine's monotonic clock: what the checks of a soak go by.
"""

import argparse
import contextlib
import enum
import os
import random
import signal
import sys
import time
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore
import msgspec

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.platform import _names
from sedgetide.runtime.signals import ChangeSignal
from sedgetide.testing.coldstart import ColdStart
from sedgetide.testing.coldstart import Slowdown
from sedgetide.testing.rangeholder import RangeHolder
from sedgetide.testing.remarks import BACKOFF
from sedgetide.testing.remarks import make_headers
from sedgetide.testing.remarks import Script
from sedgetide.testing.serving import run_server
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request
from sedgetide.wire.server import Server

_HEARTBEAT = 0.4
_OK = 200
# What a process ends with that a signal of the kernel has ended.
CRASHED = 139
# Kind of the event of a cold upstream that is sent more than it bears.
FLOODED = "flooded"
# Kinds of the events of an upstream that says something in its answers.
ARRIVED = "arrived"
SAID = "said"
# The registry has taken its word that it leaves.
LEFT = "left"
_QUEUE = 8
_NOT_RUN = (_names.NOT_EXECUTED, "1")


class Event(msgspec.Struct, frozen=True):
    """One thing that happened at an upstream.

    Parameters
    ----------
    at : float
        Machine's monotonic clock.
    kind : str
        ``begin`` or ``end`` of a run, ``flooded``, or, of an upstream that
        asks something of its senders, ``arrived`` or ``said``.
    upstream : str
        Id of this start of the process.
    request : str
        Id of the request.
    key : int
        Its key; -1 when it has none.
    fence : int
        Fence under which the key is held.
    said : dict
        What the answer says of the upstream, by kind.
    """

    at: float
    kind: str
    upstream: str
    request: str
    key: int
    fence: int
    said: dict[str, str] = {}


class Leaving(enum.Enum):
    """How an upstream tells the registry that it is about to end.

    Attributes
    ----------
    DRAINING
        Its entry says so.
    REMOVED
        It takes its entry away.
    """

    NO = "no"
    DRAINING = "draining"
    REMOVED = "removed"


class RangeUpstream:
    """State of one upstream process.

    Parameters
    ----------
    options : argparse.Namespace
        Command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.name = options.name
        self._options = options
        self._holder = RangeHolder(options.name)
        self._slots = BoundedSemaphore(options.slots)
        self._waiting = 0
        self._running = 0
        self._ended = ChangeSignal()
        self._random = random.Random(options.name)
        self._registry = ConnectionPool(options.store, 65536)
        self._cold_start = ColdStart(options.cold, options.most_cold)
        self._slowdown = Slowdown(options.name, options.cold > 0)
        self._script = Script(options.says)
        self._leaving = Leaving.NO
        self._heard = False

    def _read_clock(self) -> float:
        """Return a clock that runs slow, as an upstream's may."""
        return time.monotonic() * self._options.clock_rate

    def serve(self, request: Request) -> Answer:
        """Answer an order or run a request."""
        expected = find_header(request.headers, _names.EXPECT_INSTANCE.lower())
        if expected is not None and expected != self.name:
            return Answer(_names.MISDIRECTED, [_NOT_RUN])
        if request.path == _names.GRANT_PATH:
            return self._take_grant(request)
        if request.path == _names.RELEASE_PATH:
            return self._take_release(request)
        return self._answer(request)

    # Orders

    def _take_grant(self, request: Request) -> Answer:
        order = msgspec.json.decode(request.body)
        arrived_at = self._read_clock()
        keys = KeyRange(order["from"], order["to"])

        def carry_out() -> bool:
            return self._holder.grant(
                keys, order["fence"], order["hold-ms"] / 1000.0, arrived_at
            )

        if self._random.random() < self._options.late:
            gevent.spawn_later(self._random.uniform(0.5, 6.0), carry_out)
            gevent.sleep(10.0)
        return Answer(200 if carry_out() else _names.FENCED, [])

    def _take_release(self, request: Request) -> Answer:
        order = msgspec.json.decode(request.body)
        keys = KeyRange(order["from"], order["to"])
        self._holder.release(keys, order["fence"])
        while any(
            keys.low <= key <= keys.high for key in self._holder.running
        ):
            self._ended.wait(1.0)
        return Answer(200, [(_names.HANDOVER, f"from-{self.name}")])

    # Requests

    def _answer(self, request: Request) -> Answer:
        """Answer a request, and say what the script says by then."""
        if not self._script:
            return self._take_request(request)
        number = find_header(request.headers, _names.REQUEST_ID.lower()) or ""
        self._tell(ARRIVED, number, -1, 0)
        if self._script.find(BACKOFF, time.monotonic()):
            answer = Answer(503, [_NOT_RUN])
        else:
            answer = self._take_request(request)
        values = self._script.list_values(time.monotonic())
        if answer.status != 503:
            values.pop(BACKOFF, None)
        self._tell(SAID, number, -1, 0, values)
        headers = [*answer.headers, *make_headers(values)]
        return Answer(answer.status, headers, answer.body)

    def _take_request(self, request: Request) -> Answer:
        number = find_header(request.headers, _names.REQUEST_ID.lower())
        if number is None:
            return Answer(400, [_NOT_RUN])
        if self._cold_start.is_flooded(time.monotonic()):
            self._tell(FLOODED, number, -1, 0)
            os._exit(CRASHED)
        if self._waiting >= _QUEUE:
            return Answer(503, [_NOT_RUN])
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return self._run(request, number)
        finally:
            self._slots.release()

    def _run(self, request: Request, number: str) -> Answer:
        shard = find_header(request.headers, _names.SHARD_KEY.lower())
        key = -1 if shard is None else int(shard)
        fence = 0
        if self._options.keyed:
            fence = self._holder.find_fence(Key(key), self._read_clock())
            if fence is None:
                return Answer(_names.MISDIRECTED, [_NOT_RUN])
        self._tell("begin", number, key, fence)
        self._holder.running.append(Key(key))
        self._running += 1
        try:
            gevent.sleep(self._draw_work())
            if request.path == self._options.crash_on:
                os._exit(CRASHED)
        finally:
            self._running -= 1
            self._holder.running.remove(Key(key))
            self._ended.notify_all()
            self._tell("end", number, key, fence)
        body = f"{number} {key} ".encode() * 20
        failed = self._random.random() < self._options.failing
        return Answer(
            500 if failed else 200,
            [
                (_names.REQUEST_ID, number),
                (_names.SIGNATURE, f"{len(body):x}"),
                (_names.LOAD, self._describe_load()),
            ],
            body,
        )

    def _find_slowdown(self) -> float:
        now = time.monotonic()
        return self._slowdown.find(
            now, self._cold_start.find_remaining(now) > 0
        )

    def _draw_work(self) -> float:
        work = self._random.expovariate(1 / self._options.work)
        return work * self._find_slowdown()

    def _describe_load(self) -> str:
        slowdown = int(100 * self._find_slowdown())
        slots = self._options.slots
        return f"{self._running},{self._waiting},{slots},{slowdown}"

    def _tell(
        self,
        kind: str,
        number: str,
        key: int,
        fence: int,
        said: dict[str, str] | None = None,
    ) -> None:
        start = f"{self.name}@{self._options.born}"
        event = Event(
            time.monotonic(), kind, start, number, key, fence, said or {}
        )
        sys.stdout.buffer.write(msgspec.json.encode(event) + b"\n")
        sys.stdout.buffer.flush()

    # Registry

    def heartbeat_loop(self) -> None:
        """Register, and say so again while the process lives."""
        options = self._options
        entry = {
            "address": options.address,
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": options.data_centre,
                "slots": options.slots,
            },
            # The registry keeps the number of the first heartbeat in which
            # anything else was new.
            "status": {"state": "ready", "sequence": 1, "warmup-left-ms": 0},
            "born": options.born,
        }
        while True:
            left = self._cold_start.find_remaining(time.monotonic())
            entry["status"]["warmup-left-ms"] = int(left * 1000)
            if self._leaving is Leaving.DRAINING:
                entry["status"]["state"] = "draining"
            gone = self._leaving is Leaving.REMOVED
            leaving = self._leaving
            if self._register(None if gone else entry):
                self._note_heard(leaving)
            gevent.sleep(_HEARTBEAT)

    def leave(self, how: Leaving) -> None:
        """Say from now on that it leaves, and go on serving."""
        self._leaving = how

    def _register(self, entry: dict[str, Any] | None) -> bool:
        """Write the entry, or remove it; return whether that was taken."""
        request = self._make_heartbeat(entry)
        with contextlib.suppress(Exception):
            connection = self._registry.take(1.0)
            answer = connection.exchange(request, 1.0)
            self._registry.give_back(connection)
            return answer.status == _OK
        return False

    def _note_heard(self, leaving: Leaving) -> None:
        if leaving is not Leaving.NO and not self._heard:
            self._heard = True
            self._tell(LEFT, "", -1, 0)

    def _make_heartbeat(self, entry: dict[str, Any] | None) -> Request:
        body = msgspec.json.encode(
            {
                "key": _names.REGISTRY_PREFIX + self._options.name,
                "value": entry,
                "life": 3 * _HEARTBEAT,
            }
        )
        return Request("POST", "/put", [("Host", self._options.store)], body)


_LEAVING_SIGNALS = {
    signal.SIGUSR1: Leaving.DRAINING,
    signal.SIGUSR2: Leaving.REMOVED,
}


def main() -> int:
    """Run until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--data-centre", default="dc-1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--work", type=float, default=0.03)
    parser.add_argument("--late", type=float, default=0.0)
    parser.add_argument("--clock-rate", type=float, default=1.0)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--born", type=int, default=1)
    parser.add_argument(
        "--crash-on", metavar="PATH", help="path that ends the process"
    )
    parser.add_argument(
        "--cold", type=float, default=0.0, help="seconds cold at the start"
    )
    parser.add_argument(
        "--most-cold",
        type=float,
        default=0.0,
        help="arrivals a second above which it ends while it is cold",
    )
    parser.add_argument(
        "--failing", type=float, default=0.0, help="share of runs that fail"
    )
    parser.add_argument(
        "--says",
        metavar="SECONDS:KIND:VALUE",
        action="append",
        default=[],
        help="what answers say from so many seconds after the start on",
    )
    options = parser.parse_args()
    upstream = RangeUpstream(options)
    for number, how in _LEAVING_SIGNALS.items():
        gevent.signal_handler(number, upstream.leave, how)
    gevent.spawn(upstream.heartbeat_loop)
    server = Server(upstream.serve, lambda _: True, CallerLimits)
    return run_server(server, options.port)


if __name__ == "__main__":
    raise SystemExit(main())
