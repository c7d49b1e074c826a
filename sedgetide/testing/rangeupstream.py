"""Simulated upstream process that registers, holds ranges and runs requests.

It implements the platform's protocol. Each event is written as a JSON line to
standard output with the time of the machine's monotonic clock; the checks of
a soak read these lines.
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

from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.platform import _names
from sedgetide.runtime.signals import ChangeSignal
from sedgetide.testing.coldstart import ColdStart
from sedgetide.testing.coldstart import Slowdown
from sedgetide.testing.endlessswitch import EndlessListener
from sedgetide.testing.endlessswitch import Switch
from sedgetide.testing.endlessswitch import SWITCH_PATH
from sedgetide.testing.orderserver import GIVEN_UP
from sedgetide.testing.orderserver import OrderServer
from sedgetide.testing.pushbackscript import BACKOFF
from sedgetide.testing.pushbackscript import make_headers
from sedgetide.testing.pushbackscript import Script
from sedgetide.testing.rangeholder import RangeHolder
from sedgetide.testing.serving import run_server
from sedgetide.testing.stalls import install_stalls
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

_HEARTBEAT = 0.4
FAULT_PATH = "/fault"
# Seconds in which the call that asks for a stall is answered.
_STALL_DELAY = 0.02
_OK = 200
# Exit status of a process that was ended by SIGSEGV, as a shell reports it.
CRASHED = 139
# Kind of event: a cold upstream received more requests than it accepts.
FLOODED = "flooded"
# Kinds of events of an upstream with a script: a request arrived, and an
# answer was sent with the values of the script.
ARRIVED = "arrived"
SAID = "said"
# Kind of event: the registry has acknowledged that the upstream leaves.
LEFT = "left"
# Kinds of events: a grant was applied, keys were released, and the process
# has ended. The last one is seen by the harness.
GRANTED = "granted"
RELEASED = "released"
EXITED = "exited"
_QUEUE_LIMIT = 8
_NOT_RUN = (_names.NOT_EXECUTED, "1")
# Statuses of requests that have run and failed.
_FAILURES = (500, 503, 429, 421, 408)


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event at an upstream.

    Parameters
    ----------
    at : float
        Time of the machine's monotonic clock.
    kind : str
        ``begin`` or ``end`` of a run, ``flooded``, ``left``, ``granted``,
        ``released``, ``exited``, or, at an upstream with a script,
        ``arrived`` or ``said``.
    upstream : str
        Id of this incarnation of the upstream.
    request : str
        Id of the request.
    key : int
        Key of the request; -1 when it has none.
    fence : int
        Fence of the grant that the key is held under, or of the order.
    said : dict
        Values of the script in the answer, by kind.
    keys : KeyRange or None
        Keys of an order.
    until : float
        End of the hold of a grant, in the machine's monotonic clock.
    late : bool
        Whether a grant was applied after its call had been held up, or had
        been given up by its sender.
    """

    at: float
    kind: str
    upstream: str
    request: str
    key: int
    fence: int
    said: dict[str, str] = {}
    keys: KeyRange | None = None
    until: float = 0.0
    late: bool = False


class Leaving(enum.Enum):
    """How an upstream tells the registry that it is about to exit.

    Attributes
    ----------
    DRAINING
        The state in its entry is draining.
    REMOVED
        It removes its entry.
    """

    NO = "no"
    DRAINING = "draining"
    REMOVED = "removed"


def name_life(name: str, born: int) -> str:
    """Return the id in events of one incarnation of an upstream."""
    return f"{name}@{born}"


def _write(event: Event) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(event) + b"\n")
    sys.stdout.buffer.flush()


def _echo_id(request: Request, answer: Answer) -> Answer:
    """Return an answer that names its request, if that has an id."""
    number = find_header(request.headers, _names.REQUEST_ID.lower())
    if number is None:
        return answer
    headers = [*answer.headers, (_names.REQUEST_ID, number)]
    return Answer(answer.status, headers, answer.body)


class RangeUpstream:
    """State of one upstream process.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.name = options.name
        self._life = name_life(options.name, options.born)
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
        self.endless = Switch()
        self._leaving = Leaving.NO
        self._leave_acknowledged = False

    def _read_clock(self) -> float:
        """Return the time of a clock that may run slow."""
        return time.monotonic() * self._options.clock_rate

    def holds(self, key: Key) -> bool:
        """Return whether the upstream holds a grant of a key."""
        return self._holder.find_fence(key, self._read_clock()) is not None

    def serve(self, request: Request) -> Answer:
        """Apply an order of a leader, or run a request."""
        expected = find_header(request.headers, _names.EXPECT_INSTANCE.lower())
        if request.path.startswith(SWITCH_PATH):
            return self.endless.set(request.path)
        if expected is not None and expected != self.name:
            return Answer(_names.MISDIRECTED, [_NOT_RUN])
        if request.path == FAULT_PATH:
            return self._set_fault(request)
        if request.path == _names.GRANT_PATH:
            return self._echo_order_id(request, self._apply_grant(request))
        if request.path == _names.RELEASE_PATH:
            return self._echo_order_id(request, self._apply_release(request))
        return _echo_id(request, self._answer(request))

    def _echo_order_id(self, request: Request, answer: Answer) -> Answer:
        if self._options.without_order_ids:
            return answer
        return _echo_id(request, answer)

    def _set_fault(self, request: Request) -> Answer:
        """Stall the event loop, or hold up a share of the grants."""
        fault = msgspec.json.decode(request.body)
        if "stall" in fault:
            gevent.spawn_later(_STALL_DELAY, time.sleep, fault["stall"])
        self._options.late = fault.get("late", self._options.late)
        return Answer(200, [])

    # Orders

    def _apply_grant(self, request: Request) -> Answer:
        order = msgspec.json.decode(request.body)
        arrived_at = self._read_clock()
        keys = KeyRange(order["from"], order["to"])

        def apply_grant(late: bool) -> bool:
            hold = order["hold-ms"] / 1000.0
            fence = order["fence"]
            if not self._holder.grant(keys, fence, hold, arrived_at):
                return False
            until = (arrived_at + hold) / self._options.clock_rate
            self._write_order(GRANTED, keys, fence, until, late)
            return True

        if find_header(request.headers, GIVEN_UP) is not None:
            return Answer(200 if apply_grant(True) else _names.FENCED, [])
        late = self._random.random() < self._options.late
        if late:
            delay = self._random.uniform(0.5, 6.0)
            gevent.spawn_later(delay, apply_grant, late)
            gevent.sleep(10.0)
        return Answer(200 if apply_grant(late) else _names.FENCED, [])

    def _apply_release(self, request: Request) -> Answer:
        order = msgspec.json.decode(request.body)
        keys = KeyRange(order["from"], order["to"])
        self._holder.release(keys, order["fence"])
        self._write_order(RELEASED, keys, order["fence"])
        while any(
            keys.low <= key <= keys.high for key in self._holder.running
        ):
            self._ended.wait(1.0)
        return Answer(200, [(_names.HANDOVER, f"from-{self.name}")])

    # Requests

    def _answer(self, request: Request) -> Answer:
        """Answer a request with the current values of the script."""
        if not self._script:
            return self._admit(request)
        number = find_header(request.headers, _names.REQUEST_ID.lower()) or ""
        self._write_event(ARRIVED, number, -1, 0)
        if self._script.find(BACKOFF, time.monotonic()):
            answer = Answer(503, [_NOT_RUN])
        else:
            answer = self._admit(request)
        values = self._script.list_values(time.monotonic())
        if answer.status != 503:
            values.pop(BACKOFF, None)
        self._write_event(SAID, number, -1, 0, values)
        headers = [*answer.headers, *make_headers(values)]
        return Answer(answer.status, headers, answer.body)

    def _admit(self, request: Request) -> Answer:
        number = find_header(request.headers, _names.REQUEST_ID.lower())
        if number is None:
            return Answer(400, [_NOT_RUN])
        if self._cold_start.is_flooded(time.monotonic()):
            self._write_event(FLOODED, number, -1, 0)
            os._exit(CRASHED)
        if self._waiting >= _QUEUE_LIMIT:
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
        self._write_event("begin", number, key, fence)
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
            self._write_event("end", number, key, fence)
        body = f"{number} {key} ".encode() * 20
        failed = self._random.random() < self._options.failing
        return Answer(
            self._random.choice(_FAILURES) if failed else 200,
            [
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

    def _write_event(
        self,
        kind: str,
        number: str,
        key: int,
        fence: int,
        said: dict[str, str] | None = None,
    ) -> None:
        event = Event(
            time.monotonic(), kind, self._life, number, key, fence, said or {}
        )
        _write(event)

    def _write_order(
        self,
        kind: str,
        keys: KeyRange,
        fence: int,
        until: float = 0.0,
        late: bool = False,
    ) -> None:
        now = time.monotonic()
        _write(
            Event(
                now,
                kind,
                self._life,
                "",
                -1,
                fence,
                keys=keys,
                until=until,
                late=late,
            )
        )

    # Registry

    def heartbeat_loop(self) -> None:
        """Write the registry entry periodically while the process runs."""
        options = self._options
        entry = {
            "address": options.address,
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": options.data_centre,
                "slots": options.slots,
            },
            # Constant, because the registry keeps the sequence number of the
            # first heartbeat since any other field changed.
            "status": {"state": "ready", "sequence": 1, "warmup-left-ms": 0},
        }
        if not options.unborn:
            entry["born"] = options.born
        while True:
            left = self._cold_start.find_remaining(time.monotonic())
            entry["status"]["warmup-left-ms"] = int(left * 1000)
            if self._leaving is Leaving.DRAINING:
                entry["status"]["state"] = "draining"
            gone = self._leaving is Leaving.REMOVED
            leaving = self._leaving
            if self._register(None if gone else entry):
                self._note_leave_acknowledged(leaving)
            gevent.sleep(options.heartbeat)

    def leave(self, how: Leaving) -> None:
        """Announce the departure in each heartbeat, and continue to serve."""
        self._leaving = how

    def _register(self, entry: dict[str, Any] | None) -> bool:
        """Write or remove the entry; return whether this was acknowledged."""
        request = self._make_heartbeat(entry)
        with contextlib.suppress(Exception):
            connection = self._registry.take(1.0)
            answer = connection.exchange(request, 1.0)
            self._registry.give_back(connection)
            return answer.status == _OK
        return False

    def _note_leave_acknowledged(self, leaving: Leaving) -> None:
        if leaving is not Leaving.NO and not self._leave_acknowledged:
            self._leave_acknowledged = True
            self._write_event(LEFT, "", -1, 0)

    def _make_heartbeat(self, entry: dict[str, Any] | None) -> Request:
        body = msgspec.json.encode(
            {
                "key": _names.REGISTRY_PREFIX + self._options.name,
                "value": entry,
                "life": 3 * self._options.heartbeat,
            }
        )
        return Request("POST", "/put", [("Host", self._options.store)], body)


_LEAVING_SIGNALS = {
    signal.SIGUSR1: Leaving.DRAINING,
    signal.SIGUSR2: Leaving.REMOVED,
}


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line of an upstream."""
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
    parser.add_argument("--heartbeat", type=float, default=_HEARTBEAT)
    parser.add_argument(
        "--unborn",
        action="store_true",
        help="leave the start time out of the registry entry",
    )
    parser.add_argument(
        "--without-order-ids",
        action="store_true",
        help="leave the id of an order out of its answer",
    )
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--born", type=int, default=1)
    parser.add_argument(
        "--crash-on",
        metavar="PATH",
        help="path of requests that crash the process",
    )
    parser.add_argument(
        "--cold",
        type=float,
        default=0.0,
        help="duration of the cold start in seconds",
    )
    parser.add_argument(
        "--most-cold",
        type=float,
        default=0.0,
        help="requests per second above which the process exits while cold",
    )
    parser.add_argument(
        "--failing",
        type=float,
        default=0.0,
        help="share of requests answered with status 500",
    )
    parser.add_argument(
        "--says",
        metavar="SECONDS:KIND:VALUE",
        action="append",
        default=[],
        help="value in answers from this time after the start on",
    )
    return parser


def main() -> int:
    """Run the upstream until SIGTERM."""
    options = make_parser().parse_args()
    upstream = RangeUpstream(options)
    install_stalls()
    for number, how in _LEAVING_SIGNALS.items():
        gevent.signal_handler(number, upstream.leave, how)
    gevent.spawn(upstream.heartbeat_loop)
    server = OrderServer(
        upstream.serve,
        lambda request: (
            request.path in (_names.GRANT_PATH, _names.RELEASE_PATH)
        ),
    )
    return run_server(server, EndlessListener(options.port, upstream.endless))


if __name__ == "__main__":
    raise SystemExit(main())
