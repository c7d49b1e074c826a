"""Headers of requests and responses."""

import re

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import Headers
from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.outcomes import NOT_RUN_STATUSES
from sedgetide.core.requests.pushback import Pushback
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.platform import _names
from sedgetide.platform._spellings import list_spellings
from sedgetide.wire.messages import find_header

# Set by the router on each send; values sent by a caller are dropped.
_REPLACED = frozenset(
    {_names.DEADLINE_MS.lower(), _names.EXPECT_INSTANCE.lower()}
)
_LOAD_PARTS = 3
_NORMAL_PACE = 100.0
_MAX_LOAD = 1_000_000
_RETRY_AFTER = "Retry-After"
# In seconds; an upstream that wants no requests for longer should leave.
_MAX_BACKOFF = 86_400.0
# In requests per second; higher limits have no further effect.
_MAX_LIMIT = 1_000_000.0
_DECIMAL = re.compile(r"[0-9]{1,40}(\.[0-9]{0,40})?|\.[0-9]{1,40}")


def _read_number(headers: Headers, name: str, maximum: float) -> int | None:
    value = find_header(headers, name.lower())
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()) or int(value) > maximum:
        raise ValueError(
            f"{name}: {value!r}: expected a number from 0 to {maximum}"
        )
    return int(value)


class PlatformRequests(RequestDialect):
    """Headers in the format of the platform's callers and upstreams."""

    def read_request(self, headers: Headers) -> CallerFields:
        deadline = _read_number(headers, _names.DEADLINE_MS, float("inf"))
        key = _read_number(headers, _names.SHARD_KEY, LAST_KEY)
        request = find_header(headers, _names.REQUEST_ID.lower()) or ""
        return CallerFields(
            RequestId(request),
            None if deadline is None else deadline / 1000.0,
            None if key is None else Key(key),
        )

    def write_request(
        self,
        headers: Headers,
        fields: CallerFields,
        left: float,
        upstream: UpstreamName,
    ) -> list[tuple[str, str]]:
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() not in _REPLACED
        ]
        kept.append((_names.DEADLINE_MS, str(max(1, int(left * 1000)))))
        kept.append((_names.EXPECT_INSTANCE, upstream))
        return kept

    def read_request_id(self, headers: Headers) -> RequestId | None:
        found = find_header(headers, _names.REQUEST_ID.lower())
        return None if found is None else RequestId(found)

    def classify_answer(self, status: int, headers: Headers) -> Failure:
        if self.is_not_run(status, headers):
            if status == _names.MISDIRECTED:
                return Failure.NOT_OWNER
            busy = status == _names.UNAVAILABLE
            return Failure.BUSY if busy else Failure.DECLINED
        if 200 <= status < 300:
            signed = find_header(headers, _names.SIGNATURE.lower())
            encoded = find_header(headers, "content-encoding")
            # A 2xx without the signature was not created by the upstream.
            if signed is None or encoded is not None:
                return Failure.BROKEN
            return Failure.NONE
        promises = status in NOT_RUN_STATUSES
        return Failure.FAILED if promises or status >= 500 else Failure.NONE

    def is_not_run(self, status: int, headers: Headers) -> bool:
        return find_header(headers, _names.NOT_EXECUTED.lower()) is not None

    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        value = find_header(headers, _names.LOAD.lower())
        if value is None:
            return None
        parts = [part.strip() for part in value.split(",")]
        if len(parts) < _LOAD_PARTS:
            raise ValueError(
                f"{_names.LOAD}: {value[:80]!r}: expected "
                f"{_LOAD_PARTS} or more numbers, separated by commas"
            )
        running, waiting, slots = (
            _read_load_number(part, 0) for part in parts[:_LOAD_PARTS]
        )
        if len(parts) == _LOAD_PARTS:
            return UpstreamLoad(running, waiting, slots)
        # The meaning of further numbers is unknown; they are ignored.
        pace = _read_load_number(parts[_LOAD_PARTS], 1) / _NORMAL_PACE
        return UpstreamLoad(running, waiting, slots, pace)

    def read_pushback(self, status: int, headers: Headers) -> Pushback:
        problems: list[str] = []

        def read(name: str, maximum: float) -> float | None:
            try:
                return _read_decimal(headers, name, maximum)
            except ValueError as error:
                problems.append(str(error))
                return None

        limit = read(_names.LIMIT, _MAX_LIMIT)
        leaving = read(_names.LEAVING, 1.0)
        backoff = None
        if status == _names.UNAVAILABLE:
            backoff = read(_RETRY_AFTER, _MAX_BACKOFF)
        return Pushback(limit, bool(leaving), backoff, tuple(problems))


def _find_either(headers: Headers, name: str) -> str | None:
    """Return the value of a header sent with or without the prefix."""
    plain, prefixed = list_spellings(name)
    value = find_header(headers, plain)
    return find_header(headers, prefixed) if value is None else value


def _read_decimal(headers: Headers, name: str, maximum: float) -> float | None:
    value = _find_either(headers, name)
    if value is None:
        return None
    if not _DECIMAL.fullmatch(value.strip()):
        raise ValueError(
            f"{name}: {value[:80]!r}: expected a non-negative decimal number"
        )
    return min(maximum, float(value))


def _read_load_number(part: str, minimum: int) -> int:
    if not (part.isascii() and part.isdigit() and len(part) <= 7):
        number = -1
    else:
        number = int(part)
    if not minimum <= number <= _MAX_LOAD:
        raise ValueError(
            f"{_names.LOAD}: {part[:20]!r}: expected an integer "
            f"from {minimum} to {_MAX_LOAD}"
        )
    return number
