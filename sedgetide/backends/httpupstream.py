"""Upstreams over HTTP: requests as they are, orders as JSON.

The protocol is described in ``docs/protocols.md``.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import time
from typing import Any

import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamClient
from sedgetide.backends.upstream import UpstreamRequest
from sedgetide.backends.upstream import UpstreamResult
from sedgetide.backends.upstream import UpstreamStatus
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey

RESERVED_HEADER_PREFIX = "sedgetide-"
HEADER_REQUEST_ID = "sedgetide-request"
HEADER_SHARD = "sedgetide-shard"
HEADER_EPOCH = "sedgetide-epoch"
HEADER_ORDERER = "sedgetide-orderer"
HEADER_STAMP = "sedgetide-stamp"
HEADER_LIFE = "sedgetide-life-ms"
HEADER_DECLINED = "sedgetide-declined"
CONTROL_PREFIX = "/sedgetide/v1"

_CONTROL_LIMIT = 4 * 1024 * 1024
_RECENT = 1.0
_ALWAYS = float("inf")
_OK = 200


def drop_reserved_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return an upstream's headers without those meant for its keeper."""
    return [
        (name, value)
        for name, value in headers
        if not name.lower().startswith(RESERVED_HEADER_PREFIX)
    ]


def _encode_shards(shards: Mapping[ShardKey, Epoch]) -> list[list[Any]]:
    return [[key.service, key.shard, epoch] for key, epoch in shards.items()]


class HttpUpstream(UpstreamClient):
    """Client of one upstream.

    Parameters
    ----------
    address : str
        ``IP:port``.
    body_limit : int
        Largest body of an answer.
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
        self._control: HttpConnection | None = None

    def fetch_status(self, timeout: float) -> UpstreamStatus:
        return self._order("GET", "/status", None, timeout, _ALWAYS)

    def grant(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        life: float,
        timeout: float,
    ) -> UpstreamStatus:
        document = {
            "orderer": order.orderer,
            "stamp": order.stamp,
            "life_ms": life * 1000.0,
            "shards": _encode_shards(shards),
        }
        return self._order(
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
        return self._order(
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
        work: UpstreamRequest,
        timeout: float,
        fresh: bool,
    ) -> UpstreamResult:
        headers = [
            *work.headers,
            (HEADER_REQUEST_ID, work.number),
            (HEADER_ORDERER, order.orderer),
            (HEADER_STAMP, order.stamp),
            (HEADER_LIFE, str(int(work.life * 1000.0))),
        ]
        if work.shard is not None:
            headers.append((HEADER_SHARD, str(work.shard)))
            headers.append((HEADER_EPOCH, str(work.epoch)))
        connection = self._take_connection(fresh)
        try:
            answer = connection.exchange(
                work.method,
                work.path,
                headers,
                work.body,
                timeout,
                order.not_after,
            )
        except BaseException:
            connection.close()
            raise
        if answer.find_header(HEADER_REQUEST_ID) != work.number:
            # An answer of an earlier request would be a true-looking lie.
            connection.close()
            raise UpstreamError(
                ErrorCode.BAD_ANSWER,
                Step.ANSWER,
                self._address,
                f"answer is not that of request {work.number}",
                sent=True,
            )
        if connection.usable:
            self._idle.append(connection)
        declined = answer.find_header(HEADER_DECLINED) or ""
        return UpstreamResult(answer, declined)

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()
        if self._control is not None:
            self._control.close()

    def _take_connection(self, fresh: bool) -> HttpConnection:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if not fresh or now - connection.answered_at < _RECENT:
                return connection
            connection.close()
        return self._connect()

    def _connect(self) -> HttpConnection:
        connection = HttpConnection(self._address, self._body_limit)
        connection.open(self._connect_timeout)
        return connection

    def _order(
        self,
        method: str,
        path: str,
        document: Any,
        timeout: float,
        not_after: float,
    ) -> UpstreamStatus:
        if self._control is None or not self._control.usable:
            self._control = HttpConnection(self._address, _CONTROL_LIMIT)
            self._control.open(self._connect_timeout)
        body = b"" if document is None else msgspec.json.encode(document)
        answer = self._control.exchange(
            method, CONTROL_PREFIX + path, (), body, timeout, not_after
        )
        return self._decode(answer, UpstreamStatus)

    def _decode(self, answer: HttpAnswer, kind: Any) -> Any:
        try:
            if answer.status != _OK:
                raise ValueError(f"status {answer.status}")
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise UpstreamError(
                ErrorCode.BAD_ANSWER,
                Step.ANSWER,
                self._address,
                str(error),
                sent=True,
            ) from error
