"""Callers that send a constant load and record the results."""

import itertools
import time
import uuid

import gevent
import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.core.errors import UpstreamError
from sedgetide.testing.fleet import call

_TIMEOUT = 15.0


class CallResult(msgspec.Struct, frozen=True):
    """Result of one request.

    Parameters
    ----------
    operation : str
        Operation id, as in the upstream's journal.
    began, took : float
        Start by the machine's monotonic clock, and duration in seconds.
    outcome : str
        Outcome in the answer, or ``cut`` when there was no complete answer.
    """

    operation: str
    method: str
    path: str
    began: float
    took: float
    outcome: str
    reason: str
    status: int
    whole: bool


def make_operation_id(now: float) -> str:
    """Return a version 7 UUID for a Unix time in seconds."""
    random = uuid.uuid4().int
    milliseconds = int(now * 1000) & ((1 << 48) - 1)
    value = (milliseconds << 80) | (random & ((1 << 80) - 1))
    value &= ~(0xF << 76) & ~(0x3 << 62)
    return str(uuid.UUID(int=value | (7 << 76) | (2 << 62)))


def _call_any(
    addresses: list[str],
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> HttpAnswer:
    """Call the first entry that accepts a connection, like a balancer."""
    for address in addresses[:-1]:
        try:
            return call(address, method, path, headers, body, _TIMEOUT)
        except UpstreamError as error:
            if error.sent:
                raise
    return call(addresses[-1], method, path, headers, body, _TIMEOUT)


def send(addresses: list[str], method: str, path: str) -> CallResult:
    """Send one request and check that its answer is complete and matches.

    Parameters
    ----------
    addresses : list of str
        Addresses of entries; the next one is tried when one refuses the
        connection.
    """
    operation = make_operation_id(time.time())
    headers = [("Idempotency-Key", operation), ("Sedgetide-Attempt", "1")]
    body = operation.encode() if method == "POST" else b""
    began = time.monotonic()
    try:
        answer = _call_any(addresses, method, path, headers, body)
    except UpstreamError:
        took = time.monotonic() - began
        return CallResult(
            operation, method, path, began, took, "cut", "", 0, False
        )
    took = time.monotonic() - began
    outcome = answer.find_header("sedgetide-outcome") or ""
    whole = True
    if outcome == "answered":
        document = msgspec.json.decode(answer.body)
        whole = document["body"] == body.decode() and path.partition("?")[
            0
        ].endswith(document["path"])
    return CallResult(
        operation,
        method,
        path,
        began,
        took,
        outcome,
        answer.find_header("sedgetide-reason") or "",
        answer.status,
        whole,
    )


class Load:
    """Constant load on some entries.

    Parameters
    ----------
    addresses : list of str
        Addresses of entries, used in turn; one that refuses connections is
        skipped, as by the platform's balancer.
    paths : list of tuple
        Method and path, with ``{n}`` for a running number.
    rate : float
        Requests per second.
    names : int
        Number of different values of ``{n}``; 0 for a new one each time.
    """

    def __init__(
        self,
        addresses: list[str],
        paths: list[tuple[str, str]],
        rate: float,
        names: int = 0,
    ) -> None:
        self._names = names
        self.addresses = addresses
        self.call_results: list[CallResult] = []
        self._paths = paths
        self._interval = 1.0 / rate
        self._numbers = itertools.count()
        self._running: set[gevent.Greenlet] = set()
        self._pacer: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sending."""
        self._pacer = gevent.spawn(self._pace)

    def stop(self) -> list[CallResult]:
        """Stop sending, wait for the last answers and return all results."""
        self._pacer.kill()
        gevent.joinall(list(self._running))
        return self.call_results

    def _pace(self) -> None:
        due = time.monotonic()
        while True:
            number = next(self._numbers)
            task = gevent.spawn(self._send, number)
            self._running.add(task)
            task.link(self._running.discard)
            due += self._interval
            gevent.sleep(max(0.0, due - time.monotonic()))

    def _send(self, number: int) -> None:
        method, path = self._paths[number % len(self._paths)]
        turn = number % len(self.addresses)
        addresses = self.addresses[turn:] + self.addresses[:turn]
        name = str(number % self._names if self._names else number)
        self.call_results.append(
            send(addresses, method, path.replace("{n}", name))
        )
