"""Scripted pushback headers in the answers of a simulated upstream.

A script consists of lines ``SECONDS:KIND:VALUE``. From that many seconds
after the start on, each answer carries the value in the header of its kind;
an empty value removes the header.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import time

from sedgetide.platform import _names

LIMIT = "limit"
LEAVING = "leaving"
# The value is in seconds; while it is set, every request is refused.
BACKOFF = "backoff"
_HEADERS = {
    LIMIT: _names.LIMIT,
    LEAVING: _names.LEAVING,
    BACKOFF: "Retry-After",
}


class Script:
    """Values to put into answers, by the time since the start.

    Parameters
    ----------
    lines : sequence of str
        Lines in the format that the module's docstring describes.
    """

    def __init__(self, lines: Sequence[str]) -> None:
        self._began = time.monotonic()
        self._lines = sorted(map(_parse_line, lines))

    def find(self, kind: str, now: float) -> str:
        """Return the current value of a kind; empty when it has none."""
        found = ""
        for at, each, value in self._lines:
            if each == kind and self._began + at <= now:
                found = value
        return found

    def list_values(self, now: float) -> dict[str, str]:
        """Return the current value of each kind that has one."""
        said = {kind: self.find(kind, now) for kind in _HEADERS}
        return {kind: value for kind, value in said.items() if value}

    def __bool__(self) -> bool:
        return bool(self._lines)


def make_headers(values: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the values as headers of an answer."""
    return [(_HEADERS[kind], value) for kind, value in values.items()]


def _parse_line(line: str) -> tuple[float, str, str]:
    seconds, kind, value = line.split(":", 2)
    if kind not in _HEADERS:
        raise ValueError(f"{kind!r}: accepted are {sorted(_HEADERS)}")
    return float(seconds), kind, value
