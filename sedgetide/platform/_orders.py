"""Orders that grant keys to an upstream or release them."""

import msgspec

from sedgetide.backends.dialects import Headers
from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.dialects import OrderRequest
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.platform import _names
from sedgetide.wire.messages import find_header


def _make_order(
    path: str, upstream: UpstreamName, document: dict[str, object]
) -> OrderRequest:
    return OrderRequest(
        path,
        msgspec.json.encode(document),
        (
            ("Content-Type", "application/json"),
            # The address may now belong to an upstream of another service.
            (_names.EXPECT_INSTANCE, upstream),
        ),
    )


class PlatformOrders(OrderDialect):
    """Orders in the format of the platform's upstreams."""

    id_header = _names.REQUEST_ID

    def make_grant(
        self,
        upstream: UpstreamName,
        keys: KeyRange,
        fence: Fence,
        hold: float,
        handover: str,
    ) -> OrderRequest:
        document = {
            "from": keys.low,
            "to": keys.high,
            "fence": fence,
            "hold-ms": int(hold * 1000),
        }
        if handover:
            document["handover"] = handover
        return _make_order(_names.GRANT_PATH, upstream, document)

    def make_release(
        self, upstream: UpstreamName, keys: KeyRange, fence: Fence
    ) -> OrderRequest:
        document = {"from": keys.low, "to": keys.high, "fence": fence}
        return _make_order(_names.RELEASE_PATH, upstream, document)

    def read_handover(self, headers: Headers) -> str:
        return find_header(headers, _names.HANDOVER.lower()) or ""

    def is_fenced(self, status: int) -> bool:
        return status == _names.FENCED

    def is_misdirected(self, status: int) -> bool:
        return status == _names.MISDIRECTED
