"""Upstream registry and operators' configuration."""

from collections.abc import Sequence
import re
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from sedgetide.backends.dialects import EvacuationRequest
from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.dialects import UnreadableEntry
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.coding.addresses import check_server_address
from sedgetide.coding.decoding import decode_json
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import ServiceRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import StartTime
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.identifiers import Version
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.incarnations import UNKNOWN_START_TIME
from sedgetide.platform import _names

_DRAINING = "draining"
_IDEMPOTENT_KIND = "safe"
_DEFAULT_TIMEOUT_MS = 30_000
_MAX_COUNT = 2**53
# Upstream names are sent in a header; other characters would allow header
# injection. Keys of the store have at most 200 bytes.
_VISIBLE_NAME = re.compile(r"[!-~]{1,200}")
# Far above any real upstream; a larger window would not limit anything.
_MAX_SLOTS = 65_536
_MAX_WARMUP_MS = 86_400_000
# In seconds, or in requests per second.
_MAX_NUMBER = 1_000_000_000
_UNREADABLE = (msgspec.MsgspecError, ValueError)

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _Info(msgspec.Struct, rename="kebab", frozen=True):
    service: _Text
    version: str
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _Status(msgspec.Struct, rename="kebab", frozen=True):
    state: Literal["ready", "draining"]
    sequence: _Count
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WARMUP_MS)]


class _Entry(msgspec.Struct, rename="kebab", frozen=True):
    """Registry entry of an upstream, with the fields that it always writes.

    Entries of other writers lack some of them or have values of other types.
    ``born`` is absent where each start of an upstream has its own name.
    """

    address: str
    info: _Info
    status: _Status
    born: Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)] | None = None


class _Table(msgspec.Struct, frozen=True):
    columns: list[str]
    rows: Annotated[list[list[Any]], msgspec.Meta(max_length=32_768)]

    def list_rows(self) -> list[dict[str, Any]]:
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=False)
                if value is not None
            }
            for row in self.rows
        ]


class _Limits(msgspec.Struct, rename="kebab", frozen=True):
    # Any of these numbers may have a fraction.
    max_header_bytes: float = 32 * 1024
    max_body_bytes: float = 16 * 1024 * 1024
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Configuration(msgspec.Struct, rename="kebab", frozen=True):
    version: str
    routes: _Table
    services: _Table
    limits: _Limits = _Limits()


def _read_entry(name: UpstreamName, value: bytes) -> RegisteredUpstream:
    if _VISIBLE_NAME.fullmatch(name) is None:
        raise ValueError("name: expected 1 to 200 visible ASCII characters")
    entry = decode_json(value, _Entry)
    check_server_address(entry.address)
    return RegisteredUpstream(
        name,
        ServiceName(entry.info.service),
        entry.address,
        DataCentre(entry.info.zone),
        entry.info.slots,
        entry.status.state == _DRAINING,
        entry.status.warmup_left_ms / 1000.0,
        UNKNOWN_START_TIME if entry.born is None else StartTime(entry.born),
    )


def _read_shares(row: dict[str, Any]) -> tuple[Share, ...]:
    if "service" in row:
        return (Share(ServiceName(row["service"]), 1.0),)
    return tuple(
        Share(ServiceName(part["service"]), float(part.get("weight", 1)))
        for part in row.get("traffic-split", ())
    )


def _read_route(row: dict[str, Any]) -> RouteRule:
    stated = _read_optional_number(row, "timeout-ms")
    timeout = (_DEFAULT_TIMEOUT_MS if stated is None else stated) / 1000.0
    objective = _read_optional_number(row, "target-latency-ms")
    return RouteRule(
        RouteName(row["name"]),
        row["host"],
        row["path-prefix"],
        row.get("kind") == _IDEMPOTENT_KIND,
        timeout,
        timeout if objective is None else objective / 1000.0,
        int(row.get("max-attempts", 1)),
        int(row.get("priority", 0)),
        _read_shares(row),
    )


def _read_service(row: dict[str, Any]) -> ServiceRule:
    return ServiceRule(
        ServiceName(row["name"]),
        int(row.get("max-connections", 100)),
        bool(row.get("sharded")),
        row.get("warm-s", 0.0),
        _read_optional_number(row, "warmup-s") or 0.0,
        _read_optional_number(row, "warmup-per-s"),
    )


def _read_optional_number(row: dict[str, Any], name: str) -> float | None:
    """Return the number in a column, or None when it is absent or null.

    Raises
    ------
    ValueError
        If the value is not a number within the limits.
    """
    value = row.get(name)
    if value is None:
        return None
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not 0 <= value <= _MAX_NUMBER:
        raise ValueError(
            f"{name}: {str(value)[:40]}: expected a number from 0 to "
            f"{_MAX_NUMBER}"
        )
    return float(value)


def _read_policy(value: bytes) -> Policy:
    document = decode_json(value, _Configuration)
    services = [_read_service(row) for row in document.services.list_rows()]
    limits = document.limits
    return Policy(
        Version(int(document.version.lstrip("r"))),
        tuple(_read_route(row) for row in document.routes.list_rows()),
        {rule.name: rule for rule in services},
        CallerLimits(
            int(limits.max_header_bytes),
            int(limits.max_body_bytes),
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
    )


class PlatformRegistry(RegistryDialect):
    """Store items written by upstreams and operators."""

    def list_prefixes(self) -> Sequence[str]:
        return (_names.ALL_KEYS,)

    def read(
        self, key: str, value: bytes | None
    ) -> (
        RegisteredUpstream
        | UpstreamWithdrawn
        | EvacuationRequest
        | Policy
        | None
    ):
        if key.startswith(_names.EVACUATION_PREFIX):
            # Only the presence of the item matters; its value is unused.
            name = key.removeprefix(_names.EVACUATION_PREFIX)
            return EvacuationRequest(DataCentre(name), value is not None)
        if key.startswith(_names.REGISTRY_PREFIX):
            name = UpstreamName(key.removeprefix(_names.REGISTRY_PREFIX))
            return _read_registered(key, name, value)
        if key == _names.CONFIGURATION_KEY and value is not None:
            try:
                return _read_policy(value)
            except (*_UNREADABLE, KeyError, TypeError) as error:
                raise InputError(
                    ErrorCode.BAD_TEXT, Step.READ, key, str(error)
                ) from error
        return None


def _read_registered(
    key: str, name: UpstreamName, value: bytes | None
) -> RegisteredUpstream | UpstreamWithdrawn:
    if value is None:
        return UpstreamWithdrawn(name)
    try:
        return _read_entry(name, value)
    except _UNREADABLE as error:
        raise UnreadableEntry(name, key, str(error)) from error
