"""HTTP client of an upstream: proxied requests, and orders as JSON.

The protocol is described in ``docs/protocols.md``.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
import uuid

import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamClient
from sedgetide.backends.upstream import UpstreamRequest
from sedgetide.backends.upstream import UpstreamResult
from sedgetide.backends.upstream import UpstreamStatus
from sedgetide.coding.decoding import decode_json
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Headers
from sedgetide.wire.messages import Request

RESERVED_HEADER_PREFIX = "sedgetide-"
HEADER_REQUEST_ID = "sedgetide-request"
HEADER_SHARD = "sedgetide-shard"
HEADER_EPOCH = "sedgetide-epoch"
HEADER_ORDERER = "sedgetide-orderer"
HEADER_STAMP = "sedgetide-stamp"
HEADER_LIFE = "sedgetide-life-ms"
HEADER_DECLINED = "sedgetide-declined"
CONTROL_PREFIX = "/sedgetide/v1"

_MAX_CONTROL_BODY = 4 * 1024 * 1024
_MAX_FRESH_IDLE = 1.0
_NO_DEADLINE = float("inf")
_OK = 200


def drop_reserved_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return response headers without those addressed to the keeper."""
    return [
        (name, value)
        for name, value in headers
        if not name.lower().startswith(RESERVED_HEADER_PREFIX)
    ]


def _encode_shards(shards: Mapping[ShardKey, Epoch]) -> list[list[Any]]:
    return [[key.service, key.shard, epoch] for key, epoch in shards.items()]


class HttpUpstream(UpstreamClient):
    """HTTP client of one upstream.

    An upstream may send an extra answer late, where that to the next call
    is expected. Each call has an id, which the upstream echoes; answers with
    another one are skipped. If the upstream echoes no ids, each control call
    uses a new connection, on which the first answer can't be an extra one.

    A connection leads to one process. A restarted upstream has lost its
    fences and would accept the epochs that its former process was granted,
    so a grant is sent only on a connection on which the process that issued
    its stamp has answered.

    Parameters
    ----------
    address : str
        ``IP:port``.
    body_limit : int
        Maximum size of a response body in bytes.
    connect_timeout : float
        Seconds to wait for a new connection.
    """

    def __init__(
        self, address: str, body_limit: int, connect_timeout: float
    ) -> None:
        self._address = address
        self._body_limit = body_limit
        self._connect_timeout = connect_timeout
        self._idle: list[HttpConnection] = []
        self._control_connection: Connection | None = None
        # Last answer on the control connection, and whether it had an id.
        self._last_status: UpstreamStatus | None = None
        self._last_named = False

    def fetch_status(self, timeout: float) -> UpstreamStatus:
        return self._send_order("GET", "/status", None, timeout, _NO_DEADLINE)

    def grant(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        life: float,
        timeout: float,
    ) -> UpstreamStatus:
        other = self._find_other_process(order.incarnation, timeout)
        if other is not None:
            return msgspec.structs.replace(other, refused=list(shards))
        document = {
            "orderer": order.orderer,
            "stamp": order.stamp,
            "life_ms": life * 1000.0,
            "shards": _encode_shards(shards),
        }
        return self._send_order(
            "POST", "/grants", document, timeout, order.not_after
        )

    def release(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        timeout: float,
    ) -> UpstreamStatus:
        document = {
            "orderer": order.orderer,
            "stamp": order.stamp,
            "shards": _encode_shards(shards),
        }
        # An extra answer must not confirm the release.
        self._close_control_connection()
        return self._send_order(
            "POST", "/releases", document, timeout, order.not_after
        )

    def cancel(self, number: str, timeout: float) -> bool:
        connection = self._connect()
        try:
            answer = connection.exchange(
                "POST",
                f"{CONTROL_PREFIX}/cancel/{number}",
                (),
                b"",
                timeout,
            )
        finally:
            connection.close()
        found = self._decode(answer, dict[str, bool])
        return not found["begun"]

    def run(
        self,
        order: OrderContext,
        request: UpstreamRequest,
        timeout: float,
        fresh: bool,
    ) -> UpstreamResult:
        headers = [
            *request.headers,
            (HEADER_REQUEST_ID, request.number),
            (HEADER_ORDERER, order.orderer),
            (HEADER_STAMP, order.stamp),
            (HEADER_LIFE, str(int(request.life * 1000.0))),
        ]
        if request.shard is not None:
            headers.append((HEADER_SHARD, str(request.shard)))
            headers.append((HEADER_EPOCH, str(request.epoch)))
        connection = self._take_connection(fresh)
        try:
            answer = connection.exchange(
                request.method,
                request.path,
                headers,
                request.body,
                timeout,
                order.not_after,
            )
        except BaseException:
            connection.close()
            raise
        if answer.find_header(HEADER_REQUEST_ID) != request.number:
            # A late response to an earlier request would look valid.
            connection.close()
            raise self._make_error(
                f"response is not that of request {request.number}"
            )
        self._idle.append(connection)
        declined = answer.find_header(HEADER_DECLINED) or ""
        return UpstreamResult(answer, declined)

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()
        self._close_control_connection()

    def _close_control_connection(self) -> None:
        if self._control_connection is not None:
            self._control_connection.close()

    def _take_connection(self, fresh: bool) -> HttpConnection:
        now = read_clock()
        while self._idle:
            connection = self._idle.pop()
            recent = now - connection.answered_at < _MAX_FRESH_IDLE
            if connection.usable and (recent or not fresh):
                return connection
            connection.close()
        return self._connect()

    def _connect(self) -> HttpConnection:
        connection = HttpConnection(self._address, self._body_limit)
        connection.open(self._connect_timeout)
        return connection

    def _send_order(
        self,
        method: str,
        path: str,
        document: Any,
        timeout: float,
        not_after: float,
    ) -> UpstreamStatus:
        self._ensure_control_connection()
        status = self._exchange_control(
            method, path, document, timeout, not_after
        )
        if not self._last_named:
            self._close_control_connection()
        return status

    def _find_other_process(
        self, incarnation: str, timeout: float
    ) -> UpstreamStatus | None:
        """Return the status of the process that answers if it is another.

        Afterwards the control connection leads to that process.
        """
        self._ensure_control_connection()
        last = self._last_status
        if last is not None and last.incarnation == incarnation:
            return None
        try:
            status = self._exchange_control(
                "GET", "/status", None, timeout, _NO_DEADLINE
            )
        except UpstreamError as error:
            # Nothing but a question was sent.
            raise UpstreamError(
                error.code, error.step, error.peer, error.detail, sent=False
            ) from error
        return None if status.incarnation == incarnation else status

    def _ensure_control_connection(self) -> None:
        connection = self._control_connection
        if connection is None or not connection.usable:
            self._close_control_connection()
            connection = Connection(self._address, _MAX_CONTROL_BODY)
            connection.open(self._connect_timeout)
            self._control_connection = connection
            self._last_status = None
            self._last_named = False

    def _exchange_control(
        self,
        method: str,
        path: str,
        document: Any,
        timeout: float,
        not_after: float,
    ) -> UpstreamStatus:
        number = uuid.uuid4().hex
        request = Request(
            method,
            CONTROL_PREFIX + path,
            [("Host", self._address), (HEADER_REQUEST_ID, number)],
            b"" if document is None else msgspec.json.encode(document),
        )

        def is_own_answer(headers: Headers) -> bool:
            found = find_header(headers, HEADER_REQUEST_ID)
            return not self._last_named if found is None else found == number

        if read_clock() >= not_after:
            raise UpstreamError(
                ErrorCode.TOO_LATE,
                Step.SEND,
                self._address,
                "authority expired before the order was sent",
                sent=False,
            )
        answer = self._control_connection.exchange(
            request, timeout, is_own_answer
        )
        status: UpstreamStatus = self._decode(answer, UpstreamStatus)
        self._last_named = (
            find_header(answer.headers, HEADER_REQUEST_ID) is not None
        )
        last, self._last_status = self._last_status, status
        if (
            not self._last_named
            and last is not None
            and last.stamp == status.stamp
        ):
            # An extra answer has the stamp of an earlier one.
            self._close_control_connection()
            raise self._make_error("response is that of an earlier call")
        return status

    def _decode(self, answer: HttpAnswer | Answer, kind: Any) -> Any:
        try:
            if answer.status != _OK:
                raise ValueError(f"status {answer.status}")
            return decode_json(answer.body, kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise self._make_error(str(error)) from error

    def _make_error(self, detail: str) -> UpstreamError:
        return UpstreamError(
            ErrorCode.BAD_ANSWER, Step.ANSWER, self._address, detail, sent=True
        )
