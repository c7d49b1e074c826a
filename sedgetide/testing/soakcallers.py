"""Callers of a soak, which record their requests and the answers."""

import random
import time

import gevent
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.soakfleet import Fleet
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

DEADLINE = 1.5
DEADLY_PATH = "/map/deadly"
DEADLY_ID_PREFIX = "deadly-"
_DEADLY_INTERVAL = 0.6
# Seconds; longer than all hosts may take to learn of a lost upstream.
_SYNCHRONIZED_INTERVAL = 3.2
_RECONNECT_PROBABILITY = 0.03


class RequestRecord(msgspec.Struct):
    """One request of a caller and its outcome.

    Parameters
    ----------
    number : str
        Id of the request.
    unsafe : bool
        Whether it may run at most once.
    at : float
        Time at which it was sent.
    host : int
        Index of the host that it was sent to.
    status : int
        Status of the answer; 0 when the connection returned none.
    whole : bool
        Whether a 2xx was the complete answer to this request.
    retry_after : float
        Value of Retry-After in the answer, in seconds; 0 when absent.
    route : str
        Route of the request; empty when the caller has a single one.
    seconds : float
        Time from the send to the answer; 0 without an answer.
    """

    number: str
    unsafe: bool
    at: float
    host: int
    status: int = 0
    whole: bool = True
    retry_after: float = 0.0
    route: str = ""
    seconds: float = 0.0


class Caller:
    """Sends requests one after the other on kept-alive connections."""

    def __init__(self, number: int, fleet: Fleet, seed: int) -> None:
        self.number = number
        self._fleet = fleet
        self._random = random.Random(f"{seed}/{number}")
        self._connection: Connection | None = None
        self._host = 0
        self.records: list[RequestRecord] = []

    def run(self) -> None:
        """Send requests until this greenlet is killed."""
        while True:
            self._send_one()
            gevent.sleep(self._random.uniform(0.0, 0.08))

    def _send_one(self) -> None:
        route = self._random.choice(("map", "map", "alert", "archive"))
        record = RequestRecord(
            f"r-{self.number}-{len(self.records)}",
            route == "alert",
            time.monotonic(),
            self._host,
            route=route,
        )
        self.records.append(record)
        answer = self._send(self._make_request(record, route))
        if answer is None:
            return
        record.seconds = time.monotonic() - record.at
        record.status = answer.status
        record.retry_after = float(
            find_header(answer.headers, "retry-after") or 0
        )
        if 200 <= answer.status < 300:
            record.whole = is_whole(record, answer)

    def _make_request(self, record: RequestRecord, route: str) -> Request:
        busy = self._random.random() < 0.5
        key = self._random.randrange(300 if busy else LAST_KEY + 1)
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, record.number),
            (_names.DEADLINE_MS, str(int(DEADLINE * 1000))),
        ]
        if route != "archive":
            headers.append((_names.SHARD_KEY, str(key)))
        method = "POST" if record.unsafe else "GET"
        return Request(method, f"/{route}/x", headers, b"")

    def _send(self, request: Request) -> Answer | None:
        try:
            if self._random.random() < _RECONNECT_PROBABILITY:
                self._disconnect()
            if self._connection is None or not self._connection.usable:
                self._connect()
            self.records[-1].host = self._host
            return self._connection.exchange(request, DEADLINE + 0.5)
        except UpstreamError:
            self._disconnect()
            return None

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _connect(self) -> None:
        self._host = self._random.randrange(len(self._fleet.hosts))
        proxy = self._fleet.hosts[self._host].front
        self._connection = Connection(proxy.address, 1 << 20)
        self._connection.open(0.5)


class DeadlyCaller(Caller):
    """Repeats a safe request that crashes every upstream that runs it.

    Requests are sent to random hosts.

    Parameters
    ----------
    number, fleet, seed
        See :class:`Caller`.
    synchronized : bool
        Whether all such callers send at the same moments.
    """

    def __init__(
        self, number: int, fleet: Fleet, seed: int, synchronized: bool
    ) -> None:
        super().__init__(number, fleet, seed)
        self._synchronized = synchronized

    def _send_one(self) -> None:
        self._disconnect()
        record = RequestRecord(
            f"{DEADLY_ID_PREFIX}{self.number}-{len(self.records)}",
            False,
            time.monotonic(),
            self._host,
        )
        self.records.append(record)
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, record.number),
            (_names.DEADLINE_MS, str(int(DEADLINE * 1000))),
            (_names.SHARD_KEY, "7"),
        ]
        answer = self._send(Request("GET", DEADLY_PATH, headers, b""))
        record.status = 0 if answer is None else answer.status
        pause = _DEADLY_INTERVAL
        if self._synchronized:
            pause = (
                _SYNCHRONIZED_INTERVAL
                - time.monotonic() % _SYNCHRONIZED_INTERVAL
            )
        gevent.sleep(pause)


def is_whole(record: RequestRecord, answer: Answer) -> bool:
    """Return whether an answer is complete and belongs to a request."""
    signature = find_header(answer.headers, _names.SIGNATURE.lower())
    mine = answer.body.startswith(f"{record.number} ".encode())
    return mine and signature == f"{len(answer.body):x}"
