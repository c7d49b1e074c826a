"""Client of the platform's store."""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
from typing import Annotated
from typing import Any
from urllib.parse import urlencode

import msgspec

from sedgetide.backends.answerlimits import decode_value
from sedgetide.backends.answerlimits import find_answer_limit
from sedgetide.backends.answerlimits import ListingBudget
from sedgetide.backends.answerlimits import MAX_ANSWER_BYTES
from sedgetide.backends.answerlimits import MAX_ROWS
from sedgetide.backends.eras import EraTracker
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Listing
from sedgetide.backends.leasestore import Write
from sedgetide.coding.decoding import decode_json
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import LeaseEnded
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.errors import UpstreamError
from sedgetide.core.history import Era
from sedgetide.core.history import Position
from sedgetide.core.identifiers import Revision
from sedgetide.platform import _names
from sedgetide.platform._storeeras import read_era
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_CONNECT_TIMEOUT = 0.7
_FAILED = ErrorCode.STORE_UNAVAILABLE


class _Row(msgspec.Struct, rename="kebab", frozen=True):
    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False

    def make_item(self, era: Era) -> Item:
        value = None
        if not self.tombstone and self.value is not None:
            value = decode_value(self.value)
        return Item(self.key, Position(era, Revision(self.revision)), value)


_Rows = Annotated[list[_Row], msgspec.Meta(max_length=MAX_ROWS)]


class _Page(msgspec.Struct, rename="kebab", frozen=True):
    as_of: int
    items: _Rows = []
    events: _Rows = []
    has_more: bool = False


class _Reply(msgspec.Struct, frozen=True):
    answer: Answer
    era: Era


class _Changed(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class PlatformStore(LeaseStore):
    """HTTP client of the platform's key-value store.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout : float
        Response timeout in seconds; a watch adds its own wait.
    eras : EraTracker
        Records the era of each response.
    """

    def __init__(self, address: str, timeout: float, eras: EraTracker) -> None:
        self._address = address
        self._eras = eras
        self._timeout = timeout
        self._pool = ConnectionPool(address, MAX_ANSWER_BYTES)

    def read(self, key: str) -> Item | None:
        path = _names.ITEM_PATH + "?" + urlencode({"key": key})
        reply = self._call(Step.READ, "GET", path)
        if reply.answer.status == _NOT_FOUND:
            return None
        row = self._decode(reply.answer, _Row, Step.READ)
        if row.key != key:
            self._pool.drop_older(float("inf"))
            raise self._error(Step.READ, f"{key}: answer of key {row.key}")
        return row.make_item(reply.era)

    def list(self, prefix: str) -> Listing:
        items: list[Item] = []
        budget = ListingBudget(self._address)
        position = None
        query = {"path-prefix": prefix}
        while True:
            path = _names.RANGE_PATH + "?" + urlencode(query)
            reply = self._call(Step.READ, "GET", path)
            page = self._decode(reply.answer, _Page, Step.READ)
            budget.note_page(
                len(reply.answer.body), [each.key for each in page.items]
            )
            items.extend(row.make_item(reply.era) for row in page.items)
            if position is None:
                position = Position(reply.era, Revision(page.as_of))
            if reply.era != position.era:
                raise self._error(
                    Step.READ,
                    f"listing spans eras {position.era} and {reply.era}",
                )
            if not page.has_more or not page.items:
                return Listing(items, position)
            query["after"] = page.items[-1].key

    def watch(self, prefix: str, since: Position, wait: float) -> Listing:
        if self._eras.newest != since.era:
            raise self._history_lost(since)
        query = urlencode(
            {
                "path-prefix": prefix,
                "after": since.revision,
                "wait-ms": int(wait * 1000),
            }
        )
        path = f"{_names.WATCH_PATH}?{query}"
        reply = self._call(Step.WATCH, "GET", path, wait=wait)
        if reply.answer.status == _GONE or reply.era != since.era:
            raise self._history_lost(since)
        page = self._decode(reply.answer, _Page, Step.WATCH)
        items = [row.make_item(reply.era) for row in page.events]
        return Listing(items, Position(reply.era, Revision(page.as_of)))

    def transact(
        self,
        era: Era,
        expected: Mapping[str, Position],
        writes: Sequence[Write],
    ) -> Position:
        if self._eras.newest != era:
            raise self._conflict(expected)
        document = {
            "expect": [
                {"key": key, "revision": position.revision}
                for key, position in expected.items()
            ],
            "writes": [_make_write(write) for write in writes],
            "deletes": [],
        }
        reply = self._call(
            Step.WRITE, "POST", _names.TRANSACTION_PATH, document
        )
        if reply.answer.status == _CONFLICT:
            raise self._conflict(expected)
        if reply.answer.status == _NOT_FOUND:
            raise self._lease_ended()
        changed = self._decode(reply.answer, _Changed, Step.WRITE)
        if reply.era != era:
            raise self._error(
                Step.WRITE,
                f"applied in era {reply.era}, expected era {era}",
                ErrorCode.STORE_UNCERTAIN,
            )
        return Position(era, Revision(changed.revision))

    def open_lease(self, life: float) -> LeaseId:
        document = {"ttl-ms": int(life * 1000)}
        reply = self._call(Step.WRITE, "POST", _names.LEASE_PATH, document)
        return LeaseId(self._decode(reply.answer, _Lease, Step.WRITE).lease)

    def renew_lease(self, lease: LeaseId) -> None:
        path = f"{_names.KEEP_PATH}/{lease}"
        answer = self._call(Step.WRITE, "POST", path).answer
        if answer.status == _NOT_FOUND:
            raise self._lease_ended()
        self._require_ok(answer, Step.WRITE)

    def end_lease(self, lease: LeaseId) -> None:
        self._call(Step.WRITE, "DELETE", f"{_names.LEASE_END_PATH}/{lease}")

    def close(self) -> None:
        self._pool.close()

    def _error(
        self,
        step: Step,
        detail: str,
        code: ErrorCode = ErrorCode.STORE_UNAVAILABLE,
    ) -> StoreError:
        return StoreError(code, step, self._address, detail)

    def _conflict(self, expected: Mapping[str, Position]) -> StoreConflict:
        newest = max(expected.values()).revision
        return StoreConflict(Step.WRITE, self._address, newest, -1)

    def _history_lost(self, since: Position) -> HistoryLost:
        return HistoryLost(
            ErrorCode.STORE_UNAVAILABLE,
            Step.WATCH,
            self._address,
            f"history after position {since} is no longer available",
        )

    def _lease_ended(self) -> LeaseEnded:
        return LeaseEnded(
            ErrorCode.STORE_CONFLICT,
            Step.WRITE,
            self._address,
            "the lease has ended",
        )

    def _call(
        self,
        step: Step,
        method: str,
        path: str,
        document: Any = None,
        wait: float = 0.0,
    ) -> _Reply:
        headers = [("Host", self._address)]
        body = b""
        if document is not None:
            body = msgspec.json.encode(document)
            headers.append(("Content-Type", "application/json"))
        request = Request(method, path, headers, body)
        answer = self._exchange(step, request, self._timeout + wait)
        return _Reply(answer, self._check_era(answer, step, request))

    def _exchange(
        self, step: Step, request: Request, timeout: float
    ) -> Answer:
        with contextlib.ExitStack() as stack:
            try:
                connection = self._pool.take(_CONNECT_TIMEOUT)
                stack.callback(self._pool.give_back, connection)
                limit = find_answer_limit(step)
                return connection.exchange(request, timeout, body_limit=limit)
            except UpstreamError as error:
                code = _classify(request) if error.sent else _FAILED
                raise self._error(step, error.detail, code) from error

    def _check_era(self, answer: Answer, step: Step, request: Request) -> Era:
        """Return the era of a response.

        Raises
        ------
        StoreError
            If the era has ended or cannot be parsed; the response does not
            describe the current state of the store.
        """
        try:
            era = read_era(answer.headers)
        except ValueError as error:
            self._eras.record_unparsable(str(error))
            raise self._error(step, str(error), _classify(request)) from error
        self._eras.note(era)
        if era != self._eras.newest:
            raise self._error(
                step,
                f"response of era {era} after one of era {self._eras.newest}",
                _classify(request),
            )
        return era

    def _require_ok(self, answer: Answer, step: Step) -> None:
        if answer.status != _OK:
            raise self._error(step, f"status {answer.status}")

    def _decode(self, answer: Answer, kind: Any, step: Step) -> Any:
        self._require_ok(answer, step)
        try:
            return decode_json(answer.body, kind)
        except msgspec.MsgspecError as error:
            raise self._error(
                step, str(error), ErrorCode.BAD_ANSWER
            ) from error


def _classify(request: Request) -> ErrorCode:
    """Return the error code of a sent call without a usable response."""
    return ErrorCode.STORE_UNCERTAIN if request.method == "POST" else _FAILED


def _make_write(write: Write) -> dict[str, Any]:
    return {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
        "lease": write.lease,
    }
