"""What a stand-in says of itself in its answers, by the time since its start.

A script is made of lines ``SECONDS:KIND:VALUE``: from so many seconds after
the start on, each answer carries the value; an empty one ends it.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import time

from sedgetide.platform import _names

LIMIT = "limit"
LEAVING = "leaving"
# Seconds; while it is said, every request is turned away.
BACKOFF = "backoff"
_HEADERS = {
    LIMIT: _names.LIMIT,
    LEAVING: _names.LEAVING,
    BACKOFF: "Retry-After",
}


class Script:
    """Decides what stands in an answer at a moment.

    Parameters
    ----------
    lines : sequence of str
        See the module.
    """

    def __init__(self, lines: Sequence[str]) -> None:
        self._began = time.monotonic()
        self._lines = sorted(map(_read_line, lines))

    def find(self, kind: str, now: float) -> str:
        """Return the value of a kind; empty when it is not said."""
        found = ""
        for at, each, value in self._lines:
            if each == kind and self._began + at <= now:
                found = value
        return found

    def list_words(self, now: float) -> dict[str, str]:
        """Return what an answer says that is written now."""
        said = {kind: self.find(kind, now) for kind in _HEADERS}
        return {kind: value for kind, value in said.items() if value}

    def __bool__(self) -> bool:
        return bool(self._lines)


def make_headers(words: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return words as the headers of an answer."""
    return [(_HEADERS[kind], value) for kind, value in words.items()]


def _read_line(line: str) -> tuple[float, str, str]:
    seconds, kind, value = line.split(":", 2)
    if kind not in _HEADERS:
        raise ValueError(f"{kind!r}: accepted are {sorted(_HEADERS)}")
    return float(seconds), kind, value
