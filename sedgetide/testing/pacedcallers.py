"""Callers that send at fixed times, whatever earlier requests wait for."""

from collections.abc import Collection
import time

import gevent
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Key
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import KEYED
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.testing.soakcallers import is_whole
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

_TABLE_INTERVAL = 0.1
_ROUTES = ("map", "map", "alert", "archive")


class _KnownTable(msgspec.Struct):
    table: RangeTable


class _Knowledge(msgspec.Struct):
    tables: dict[str, _KnownTable]


class _State(msgspec.Struct):
    knowledge: _Knowledge


class OwnerWatch:
    """Reads the owners of all keys from the first host, again and again."""

    def __init__(self, fleet: Fleet) -> None:
        self._port = fleet.hosts[0].admin_port
        self._table = RangeTable()

    def run(self) -> None:
        """Read until this greenlet is killed."""
        while True:
            answer = call(self._port, "GET", "/state")
            if answer is not None:
                state = msgspec.json.decode(answer.body, type=_State)
                self._table = state.knowledge.tables[KEYED].table
            gevent.sleep(_TABLE_INTERVAL)

    def find_owners(self, key: Key) -> tuple[str, ...]:
        """Return the owner of a key, and the next one if it moves."""
        tenure = self._table.find(key)
        return () if tenure is None else (tenure.owner, tenure.successor)


class PacedRecord(RequestRecord):
    """A request that was sent at a fixed time.

    Parameters
    ----------
    owners : tuple of str
        Owner of its key when it was sent, and the next one if it was moving;
        empty without a key.
    seconds : float or None
        Time until its answer or its end; None before.
    """

    owners: tuple[str, ...] = ()
    seconds: float | None = None

    @property
    def served(self) -> bool:
        """Whether it was answered with status 200."""
        return self.status == 200

    def concerns(self, upstreams: Collection[str]) -> bool:
        """Return whether one of some upstreams had its key, or was to."""
        return any(each in upstreams for each in self.owners)


class PacedCallers(Caller):
    """Sends requests at fixed times, each in a task of its own.

    Parameters
    ----------
    number, fleet, seed
        See :class:`Caller`.
    rate : float
        Requests a second.
    owners : OwnerWatch
        Owners of the keys.
    """

    records: list[PacedRecord]

    def __init__(
        self,
        number: int,
        fleet: Fleet,
        seed: int,
        rate: float,
        owners: OwnerWatch,
    ) -> None:
        super().__init__(number, fleet, seed)
        self._rate = rate
        self._owners = owners
        self._idle: list[list[Connection]] = [[] for _ in fleet.hosts]

    def run(self) -> None:
        """Send requests until this greenlet is killed."""
        began = time.monotonic()
        while True:
            due = began + len(self.records) / self._rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            self._start_one()

    def _start_one(self) -> None:
        route = self._random.choice(_ROUTES)
        record = PacedRecord(
            f"r-{self.number}-{len(self.records)}",
            route == "alert",
            time.monotonic(),
            self._random.randrange(len(self._fleet.hosts)),
        )
        self.records.append(record)
        request = self._make_request(record, route)
        key = find_header(request.headers, _names.SHARD_KEY.lower())
        if key is not None:
            record.owners = self._owners.find_owners(Key(int(key)))
        gevent.spawn(self._finish_one, record, request)

    def _finish_one(self, record: PacedRecord, request: Request) -> None:
        answer = self._exchange(record.host, request)
        record.seconds = time.monotonic() - record.at
        if answer is None:
            return
        record.status = answer.status
        record.whole = answer.status != 200 or is_whole(record, answer)

    def _exchange(self, host: int, request: Request) -> Answer | None:
        idle = self._idle[host]
        try:
            connection = idle.pop() if idle else None
            if connection is None or not connection.usable:
                address = self._fleet.hosts[host].front.address
                connection = Connection(address, 1 << 20)
                connection.open(0.5)
            answer = connection.exchange(request, DEADLINE + 0.5)
        except UpstreamError:
            return None
        if connection.is_open:
            idle.append(connection)
        return answer
