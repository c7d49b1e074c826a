"""Callers of a soak, who remember what they were told."""

import random
import time

import gevent
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.platform import _names
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import HOST
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

DEADLINE = 1.5
DEADLY_PATH = "/map/deadly"
DEADLY_NAMES = "deadly-"
_DEADLY_EVERY = 0.6
# Seconds; longer than hosts may need to know of a loss.
_TOGETHER_EVERY = 3.2
_RECONNECT = 0.03


class Ask(msgspec.Struct):
    """One request of a caller and what came of it.

    Parameters
    ----------
    number : str
        Its id.
    unsafe : bool
        Whether it may run at most once.
    at : float
        When it was sent.
    host : int
        Host that it was sent to.
    status : int
        Status of its answer; 0 when the connection gave none.
    whole : bool
        Whether a 2xx was the upstream's own whole answer.
    retry_after : float
        Seconds after which it was told to come again.
    """

    number: str
    unsafe: bool
    at: float
    host: int
    status: int = 0
    whole: bool = True
    retry_after: float = 0.0


class Caller:
    """Sends requests one after the other, on connections that it keeps."""

    def __init__(self, number: int, fleet: Fleet, seed: int) -> None:
        self.number = number
        self._fleet = fleet
        self._random = random.Random(f"{seed}/{number}")
        self._connection: Connection | None = None
        self._host = 0
        self.asked: list[Ask] = []

    def run(self) -> None:
        """Ask until killed."""
        while True:
            self._ask()
            gevent.sleep(self._random.uniform(0.0, 0.08))

    def _ask(self) -> None:
        route = self._random.choice(("map", "map", "alert", "archive"))
        ask = Ask(
            f"r-{self.number}-{len(self.asked)}",
            route == "alert",
            time.monotonic(),
            self._host,
        )
        self.asked.append(ask)
        answer = self._send(self._make_request(ask, route))
        if answer is None:
            return
        ask.status = answer.status
        ask.retry_after = float(
            find_header(answer.headers, "retry-after") or 0
        )
        if 200 <= answer.status < 300:
            ask.whole = _is_whole(ask, answer)

    def _make_request(self, ask: Ask, route: str) -> Request:
        busy = self._random.random() < 0.5
        key = self._random.randrange(300 if busy else LAST_KEY + 1)
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, ask.number),
            (_names.DEADLINE_MS, str(int(DEADLINE * 1000))),
        ]
        if route != "archive":
            headers.append((_names.SHARD_KEY, str(key)))
        method = "POST" if ask.unsafe else "GET"
        return Request(method, f"/{route}/x", headers, b"")

    def _send(self, request: Request) -> Answer | None:
        try:
            if self._random.random() < _RECONNECT:
                self._leave()
            if self._connection is None or not self._connection.usable:
                self._connect()
            self.asked[-1].host = self._host
            return self._connection.exchange(request, DEADLINE + 0.5)
        except UpstreamError:
            self._leave()
            return None

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _connect(self) -> None:
        self._host = self._random.randrange(len(self._fleet.hosts))
        proxy = self._fleet.hosts[self._host].front
        self._connection = Connection(proxy.address, 1 << 20)
        self._connection.open(0.5)


class DeadlyCaller(Caller):
    """Repeats a read that crashes whoever runs it, at any host.

    Parameters
    ----------
    number, fleet, seed
        As of any caller.
    together : bool
        Whether all such callers ask in the same moments.
    """

    def __init__(
        self, number: int, fleet: Fleet, seed: int, together: bool
    ) -> None:
        super().__init__(number, fleet, seed)
        self._together = together

    def _ask(self) -> None:
        self._leave()
        ask = Ask(
            f"{DEADLY_NAMES}{self.number}-{len(self.asked)}",
            False,
            time.monotonic(),
            self._host,
        )
        self.asked.append(ask)
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, ask.number),
            (_names.DEADLINE_MS, str(int(DEADLINE * 1000))),
            (_names.SHARD_KEY, "7"),
        ]
        answer = self._send(Request("GET", DEADLY_PATH, headers, b""))
        ask.status = 0 if answer is None else answer.status
        pause = _DEADLY_EVERY
        if self._together:
            pause = _TOGETHER_EVERY - time.monotonic() % _TOGETHER_EVERY
        gevent.sleep(pause)


def _is_whole(ask: Ask, answer: Answer) -> bool:
    signature = find_header(answer.headers, _names.SIGNATURE.lower())
    mine = answer.body.startswith(f"{ask.number} ".encode())
    return mine and signature == f"{len(answer.body):x}"
