"""Client of the compare-and-swap store over HTTP and JSON.

The protocol is described in ``docs/protocols.md``.
"""

import base64
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from typing import Annotated
from typing import Any
from urllib.parse import quote

import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.answerlimits import decode_value
from sedgetide.backends.store import Store
from sedgetide.backends.store import WatchResult
from sedgetide.coding.decoding import decode_json
from sedgetide.coding.values import MAX_VALUE_BYTES
from sedgetide.core.configuration.records import Record
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
# A watch names all changes since the last one.
_ANSWER_LIMIT = 16 * MAX_VALUE_BYTES
# Records of a watch; each one costs far more than its bytes.
_MAX_CHANGES = 16_384


class _Row(msgspec.Struct):
    key: str
    revision: int
    value: str


class _WatchAnswer(msgspec.Struct):
    revision: int
    changes: Annotated[list[_Row], msgspec.Meta(max_length=_MAX_CHANGES)]


class _Stored(msgspec.Struct):
    revision: int


def _make_record(row: _Row) -> Record:
    return Record(row.key, Revision(row.revision), decode_value(row.value))


class HttpStore(Store):
    """HTTP client of the store.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:port`` of the store's servers. If one does not respond, the
        next call uses the next one.
    timeout : float
        Response timeout in seconds; a watch adds its own wait.
    """

    def __init__(self, addresses: Sequence[str], timeout: float) -> None:
        self._addresses = list(addresses)
        self._timeout = timeout
        self._idle: list[HttpConnection] = []

    def read(self, key: str) -> Record | None:
        answer = self._call(Step.READ, "GET", f"/v1/values/{quote(key)}")
        if answer.status == _NOT_FOUND:
            return None
        row = self._decode(answer, _Row, Step.READ)
        if row.key != key:
            # An extra answer to an earlier call, or of a faulty server.
            self._rotate()
            raise StoreError(
                ErrorCode.BAD_ANSWER,
                Step.READ,
                self._addresses[-1],
                f"{key}: answer of key {row.key}",
            )
        return _make_record(row)

    def read_revision(self, key: str) -> Revision:
        path = f"/v1/revisions/{quote(key)}"
        answer = self._call(Step.READ, "GET", path)
        if answer.status == _NOT_FOUND:
            return NO_REVISION
        found = self._decode(answer, _Stored, Step.READ)
        return Revision(found.revision)

    def swap(self, key: str, value: bytes, expected: Revision) -> Revision:
        document = {
            "value": base64.b64encode(value).decode(),
            "expected": expected,
        }
        answer = self._call(
            Step.WRITE,
            "PUT",
            f"/v1/values/{quote(key)}",
            msgspec.json.encode(document),
        )
        found = self._decode(answer, _Stored, Step.WRITE)
        if answer.status == _CONFLICT:
            raise StoreConflict(
                Step.WRITE, self._addresses[0], expected, found.revision
            )
        return Revision(found.revision)

    def watch(self, prefix: str, since: Revision, wait: float) -> WatchResult:
        path = (
            f"/v1/watch?prefix={quote(prefix)}&since={since}"
            f"&wait_ms={int(wait * 1000)}"
        )
        answer = self._call(Step.WATCH, "GET", path, extra=wait)
        found = self._decode(answer, _WatchAnswer, Step.WATCH)
        return WatchResult(
            Revision(found.revision),
            [_make_record(row) for row in found.changes],
        )

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()

    def _call(
        self,
        step: Step,
        method: str,
        path: str,
        body: bytes = b"",
        extra: float = 0.0,
    ) -> HttpAnswer:
        with self._borrow(step) as connection:
            try:
                answer = connection.exchange(
                    method, path, (), body, self._timeout + extra
                )
            except UpstreamError as error:
                self._rotate()
                code = ErrorCode.STORE_UNAVAILABLE
                if step is Step.WRITE:
                    code = ErrorCode.STORE_UNCERTAIN
                raise StoreError(
                    code, step, connection.address, str(error)
                ) from error
        if answer.status not in (_OK, _NOT_FOUND, _CONFLICT):
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                connection.address,
                f"status {answer.status}",
            )
        return answer

    @contextlib.contextmanager
    def _borrow(self, step: Step) -> Iterator[HttpConnection]:
        connection = self._take_idle() or self._open(step)
        try:
            yield connection
        finally:
            self._idle.append(connection)

    def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            connection.close()
        return None

    def _open(self, step: Step) -> HttpConnection:
        connection = HttpConnection(self._addresses[0], _ANSWER_LIMIT)
        try:
            connection.open(self._timeout)
        except UpstreamError as error:
            self._rotate()
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                connection.address,
                str(error),
            ) from error
        return connection

    def _rotate(self) -> None:
        """Switch to the next server and drop all idle connections.

        An established connection may be lost for good while new ones to the
        same server work. The idle connections use the same network path and
        may be lost as well.
        """
        self.close()
        self._addresses.append(self._addresses.pop(0))

    def _decode(self, answer: HttpAnswer, kind: Any, step: Step) -> Any:
        try:
            return decode_json(answer.body, kind)
        except msgspec.MsgspecError as error:
            raise StoreError(
                ErrorCode.BAD_ANSWER, step, self._addresses[0], str(error)
            ) from error
