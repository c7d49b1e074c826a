"""Logs: one line of key=value pairs for each event, on standard output.

Bounded, and never in the way: the loop that serves requests writes them.
"""

import collections
import contextlib
import logging
import os
import re
import sys
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from sedgetide.daemons._hostmetrics import LOG_LINES_OMITTED
from sedgetide.runtime.events import Event

LINES_PER_SECOND = 300
_RESERVED = 100
_WAITING_LINES = 2000
_WAITING_BYTES = 1024 * 1024

_PLAIN = re.compile(r"[\w.:/\-+,@>]+", re.ASCII)


def _show_value(value: Any) -> str:
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def format_logfmt(event: dict[str, Any], **_: Any) -> str:
    """Return an event as one line of key=value pairs.

    Takes the place of ``json.dumps`` in the library's formatter.

    Examples
    --------
    >>> format_logfmt({"event": "shard moved", "epoch": 3})
    'event="shard moved" epoch=3'
    """
    return " ".join(
        f"{name}={_show_value(value)}" for name, value in event.items()
    )


class LineRateLimit:
    """How many lines may be written, and which are left out above that.

    Answered requests are left out first; the last third of each second's
    lines is kept for all else.

    Parameters
    ----------
    most : int
        Lines a second.
    reserved : int
        Lines of these for what is no answered request.
    """

    def __init__(
        self, most: int = LINES_PER_SECOND, reserved: int = _RESERVED
    ) -> None:
        self._most = most
        self._reserved = reserved
        self._second = 0
        self._count = 0
        self.omitted = 0

    def admit(self, plain: bool, now: float) -> bool:
        """Tell whether a line may be written.

        Parameters
        ----------
        plain : bool
            Whether it tells of a request that was answered.
        now : float
            Own clock.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._count = 0
        most = self._most - self._reserved if plain else self._most
        if self._count >= most:
            self.omitted += 1
            return False
        self._count += 1
        return True

    def take_omitted(self) -> int:
        """Return how many lines were left out since the last call."""
        omitted, self.omitted = self.omitted, 0
        return omitted


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    A reader that stops would otherwise stop the loop, and with it every
    request, at the moment at which someone looks for what is wrong.

    Parameters
    ----------
    descriptor : int
        Where to write; made non-blocking.
    bound : LineRateLimit
        How many lines.
    """

    def __init__(self, descriptor: int, bound: LineRateLimit) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._bound = bound
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._told_at = 0.0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, keep it for later, or leave it out."""
        now = time.monotonic()
        plain = getattr(record, "outcome", "") == "answered"
        if self._bound.admit(plain, now):
            self._keep(self.format(record))
        self._tell_omitted(now)
        self._flush()

    def _keep(self, line: str) -> None:
        data = line.encode() + b"\n"
        if (
            len(self._lines) >= _WAITING_LINES
            or self._bytes + len(data) > _WAITING_BYTES
        ):
            self._bound.omitted += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    def _tell_omitted(self, now: float) -> None:
        if not self._bound.omitted or now - self._told_at < 1.0:
            return
        self._told_at = now
        definition = Event.OMITTED.value
        record = logging.LogRecord(
            "sedgetide", definition.level, "", 0, definition.name, (), None
        )
        record.lines = self._bound.take_omitted()
        LOG_LINES_OMITTED.inc(record.lines)
        self._keep(self.format(record))

    def _flush(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # Nobody will ever read it.
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def close(self) -> None:
        """Write what still can be written."""
        self._flush()
        super().close()


def make_formatter(host: str, program: str) -> logging.Formatter:
    """Return the formatter of all daemons."""
    return JsonFormatter(
        ["asctime", "levelname", "message"],
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "message": "event",
        },
        static_fields={"host": host, "program": program},
        json_serializer=format_logfmt,
    )


def configure_logging(level: str, host: str, program: str) -> None:
    """Send all logs to standard output as key=value lines."""
    handler = BoundedHandler(sys.stdout.fileno(), LineRateLimit())
    handler.setFormatter(make_formatter(host, program))
    logging.basicConfig(level=level, handlers=[handler], force=True)
