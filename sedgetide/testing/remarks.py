"""What a stand-in says of itself in its answers, by the time since its start.

A script is made of lines ``SECONDS:KIND:VALUE``: from so many seconds after
the start on, each answer carries the value; an empty one ends it.
"""

from collections.abc import Sequence
import time

from sedgetide.platform import _names

LIMIT = "limit"
_HEADERS = {LIMIT: _names.LIMIT}


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

    def list_headers(self, now: float) -> list[tuple[str, str]]:
        """Return the headers of an answer that is written now."""
        said = [
            (header, self.find(kind, now)) for kind, header in _HEADERS.items()
        ]
        return [(header, value) for header, value in said if value]

    def __bool__(self) -> bool:
        return bool(self._lines)


def _read_line(line: str) -> tuple[float, str, str]:
    seconds, kind, value = line.split(":", 2)
    if kind not in _HEADERS:
        raise ValueError(f"{kind!r}: accepted are {sorted(_HEADERS)}")
    return float(seconds), kind, value
