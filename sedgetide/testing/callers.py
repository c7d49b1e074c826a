"""Callers that send a steady load and remember what they were told."""

import itertools
import time
import uuid

import gevent
import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.core.errors import UpstreamError
from sedgetide.testing.fleet import call

_TIMEOUT = 15.0


class Told(msgspec.Struct, frozen=True):
    """What a caller was told.

    Parameters
    ----------
    operation : str
        Id the upstream's journal shows too.
    began, took : float
        Machine's monotonic clock, and seconds.
    outcome : str
        Outcome, or ``cut`` when no whole answer came.
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
    """Call the first entry that takes a connection, as a balancer would."""
    for address in addresses[:-1]:
        try:
            return call(address, method, path, headers, body, _TIMEOUT)
        except UpstreamError as error:
            if error.sent:
                raise
    return call(addresses[-1], method, path, headers, body, _TIMEOUT)


def send(addresses: list[str], method: str, path: str) -> Told:
    """Send one request and check that its answer is its own and whole.

    Parameters
    ----------
    addresses : list of str
        Entries; the next is tried when one refuses the connection.
    """
    operation = make_operation_id(time.time())
    headers = [("Idempotency-Key", operation), ("Sedgetide-Attempt", "1")]
    body = operation.encode() if method == "POST" else b""
    began = time.monotonic()
    try:
        answer = _call_any(addresses, method, path, headers, body)
    except UpstreamError:
        took = time.monotonic() - began
        return Told(operation, method, path, began, took, "cut", "", 0, False)
    took = time.monotonic() - began
    outcome = answer.find_header("sedgetide-outcome") or ""
    whole = True
    if outcome == "answered":
        document = msgspec.json.decode(answer.body)
        whole = document["body"] == body.decode() and path.partition("?")[
            0
        ].endswith(document["path"])
    return Told(
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
    """A steady load on some entries.

    Parameters
    ----------
    addresses : list of str
        Entries, taken in turn; one that refuses connections is passed over
        as the platform's balancer would.
    paths : list of tuple
        Method and path, with ``{n}`` for a running number.
    rate : float
        Requests a second.
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
        self.told: list[Told] = []
        self._paths = paths
        self._interval = 1.0 / rate
        self._numbers = itertools.count()
        self._running: set[gevent.Greenlet] = set()
        self._pacer: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to send."""
        self._pacer = gevent.spawn(self._pace)

    def stop(self) -> list[Told]:
        """Stop, wait for the last answers and return all."""
        self._pacer.kill()
        gevent.joinall(list(self._running))
        return self.told

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
        self.told.append(send(addresses, method, path.replace("{n}", name)))
