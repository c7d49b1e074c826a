"""Client of the platform's store."""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
from typing import Any
from urllib.parse import urlencode

import msgspec

from sedgetide.backends.eras import EraWatch
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Listing
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import LeaseEnded
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.errors import UpstreamError
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
_ANSWER_BYTES = 64 * 1024 * 1024


class _Row(msgspec.Struct, rename="kebab", frozen=True):
    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False

    def make_item(self) -> Item:
        value = None
        if not self.tombstone and self.value is not None:
            value = _decode_value(self.value)
        return Item(self.key, Revision(self.revision), value)


def _decode_value(text: str) -> bytes:
    """Return an item's bytes; none of them when the text can't be read.

    One such item in a listing would otherwise hide all the others, and the
    host would never become ready. Empty, it is refused by whoever reads it.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


class _Page(msgspec.Struct, rename="kebab", frozen=True):
    as_of: int
    items: list[_Row] = []
    events: list[_Row] = []
    has_more: bool = False


class _Changed(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class PlatformStore(LeaseStore):
    """Store that the platform runs.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout : float
        Seconds to wait for an answer, besides a watch's own wait.
    eras : EraWatch
        Told of the era of each answer.
    """

    def __init__(self, address: str, timeout: float, eras: EraWatch) -> None:
        self._address = address
        self._eras = eras
        self._timeout = timeout
        self._pool = ConnectionPool(address, _ANSWER_BYTES)

    def read(self, key: str) -> Item | None:
        path = _names.ITEM_PATH + "?" + urlencode({"key": key})
        answer = self._call(Step.READ, "GET", path)
        if answer.status == _NOT_FOUND:
            return None
        return self._decode(answer, _Row, Step.READ).make_item()

    def list(self, prefix: str) -> Listing:
        items: list[Item] = []
        revision = None
        query = {"path-prefix": prefix}
        while True:
            path = _names.RANGE_PATH + "?" + urlencode(query)
            answer = self._call(Step.READ, "GET", path)
            page = self._decode(answer, _Page, Step.READ)
            items.extend(row.make_item() for row in page.items)
            if revision is None:
                revision = page.as_of
            if not page.has_more or not page.items:
                return Listing(items, Revision(revision))
            query["after"] = page.items[-1].key

    def watch(self, prefix: str, since: Revision, wait: float) -> Listing:
        query = urlencode(
            {
                "path-prefix": prefix,
                "after": since,
                "wait-ms": int(wait * 1000),
            }
        )
        path = f"{_names.WATCH_PATH}?{query}"
        answer = self._call(Step.WATCH, "GET", path, wait=wait)
        if answer.status == _GONE:
            raise HistoryLost(
                ErrorCode.STORE_UNAVAILABLE,
                Step.WATCH,
                self._address,
                f"history after revision {since} is gone",
            )
        page = self._decode(answer, _Page, Step.WATCH)
        items = [row.make_item() for row in page.events]
        return Listing(items, Revision(page.as_of))

    def transact(
        self, expected: Mapping[str, Revision], writes: Sequence[Write]
    ) -> Revision:
        document = {
            "expect": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "writes": [_make_write(write) for write in writes],
            "deletes": [],
        }
        answer = self._call(
            Step.WRITE, "POST", _names.TRANSACTION_PATH, document
        )
        if answer.status == _CONFLICT:
            raise StoreConflict(
                Step.WRITE, self._address, max(expected.values()), -1
            )
        if answer.status == _NOT_FOUND:
            raise self._lose_lease()
        return Revision(self._decode(answer, _Changed, Step.WRITE).revision)

    def open_lease(self, life: float) -> LeaseId:
        document = {"ttl-ms": int(life * 1000)}
        answer = self._call(Step.WRITE, "POST", _names.LEASE_PATH, document)
        return LeaseId(self._decode(answer, _Lease, Step.WRITE).lease)

    def renew_lease(self, lease: LeaseId) -> None:
        answer = self._call(Step.WRITE, "POST", f"{_names.KEEP_PATH}/{lease}")
        if answer.status == _NOT_FOUND:
            raise self._lose_lease()
        self._require_ok(answer, Step.WRITE)

    def end_lease(self, lease: LeaseId) -> None:
        path = f"{_names.LEASE_END_PATH}/{lease}"
        self._call(Step.WRITE, "DELETE", path)

    def close(self) -> None:
        self._pool.close()

    def _lose_lease(self) -> LeaseEnded:
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
    ) -> Answer:
        headers = [("Host", self._address)]
        body = b""
        if document is not None:
            body = msgspec.json.encode(document)
            headers.append(("Content-Type", "application/json"))
        request = Request(method, path, headers, body)
        with contextlib.ExitStack() as stack:
            try:
                connection = self._pool.take(_CONNECT_TIMEOUT)
                stack.callback(self._pool.give_back, connection)
                answer = connection.exchange(request, self._timeout + wait)
                self._note_era(answer)
                return answer
            except UpstreamError as error:
                code = ErrorCode.STORE_UNAVAILABLE
                if error.sent and method == "POST":
                    code = ErrorCode.STORE_UNCERTAIN
                raise StoreError(
                    code, step, self._address, error.detail
                ) from error

    def _note_era(self, answer: Answer) -> None:
        try:
            self._eras.note(read_era(answer.headers))
        except ValueError as error:
            self._eras.note_refused(str(error))

    def _require_ok(self, answer: Answer, step: Step) -> None:
        if answer.status != _OK:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                self._address,
                f"status {answer.status}",
            )

    def _decode(self, answer: Answer, kind: Any, step: Step) -> Any:
        self._require_ok(answer, step)
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            raise StoreError(
                ErrorCode.BAD_ANSWER, step, self._address, str(error)
            ) from error


def _make_write(write: Write) -> dict[str, Any]:
    return {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
        "lease": write.lease,
    }
