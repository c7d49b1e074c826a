"""Logs: one logfmt line for each event, on standard output.

The loop that serves requests writes the lines, so their number is limited and
writing never blocks.
"""

import collections
import contextlib
import logging
import os
import re
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from sedgetide.daemons._hostmetrics import LOG_LINES_OMITTED
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event

LINES_PER_SECOND = 300
_RESERVED_LINES = 100
_MAX_QUEUED_LINES = 2000
_MAX_QUEUED_BYTES = 1024 * 1024

_UNQUOTED = re.compile(r"[\w.:/\-+,@>]+", re.ASCII)


def _format_value(value: Any) -> str:
    text = str(value)
    if _UNQUOTED.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def format_logfmt(event: dict[str, Any], **_: Any) -> str:
    """Return an event as one line of key=value pairs.

    Replaces ``json.dumps`` in the formatter of python-json-logger.

    Examples
    --------
    >>> format_logfmt({"event": "shard moved", "epoch": 3})
    'event="shard moved" epoch=3'
    """
    return " ".join(
        f"{name}={_format_value(value)}" for name, value in event.items()
    )


class LineRateLimit:
    """Limits the number of lines in each second.

    Lines of answered requests are omitted first; the last third of each
    second's lines is reserved for all others.

    Parameters
    ----------
    max_lines : int
        Lines a second.
    reserved : int
        Number of these lines that answered requests may not use.
    """

    def __init__(
        self,
        max_lines: int = LINES_PER_SECOND,
        reserved: int = _RESERVED_LINES,
    ) -> None:
        self._max_lines = max_lines
        self._reserved = reserved
        self._second = 0
        self._count = 0
        self.omitted = 0

    def admit(self, answered: bool, now: float) -> bool:
        """Return whether a line may be written.

        Parameters
        ----------
        answered : bool
            Whether the line is that of an answered request.
        now : float
            Current time in seconds.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._count = 0
        max_lines = (
            self._max_lines - self._reserved if answered else self._max_lines
        )
        if self._count >= max_lines:
            self.omitted += 1
            return False
        self._count += 1
        return True

    def take_omitted(self) -> int:
        """Return how many lines were omitted since the last call."""
        omitted, self.omitted = self.omitted, 0
        return omitted


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking on its reader.

    Otherwise a reader that stops would block the loop, and with it every
    request, while an operator is investigating a fault.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; made non-blocking.
    rate_limit : LineRateLimit
        Limits the number of lines.
    """

    def __init__(self, descriptor: int, rate_limit: LineRateLimit) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rate_limit = rate_limit
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._omitted_logged_at = 0.0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, queue it, or omit it."""
        now = read_clock()
        answered = getattr(record, "outcome", "") == "answered"
        if self._rate_limit.admit(answered, now):
            self._enqueue(self.format(record))
        self._log_omitted(now)
        self._flush()

    def _enqueue(self, line: str) -> None:
        data = line.encode() + b"\n"
        if (
            len(self._lines) >= _MAX_QUEUED_LINES
            or self._bytes + len(data) > _MAX_QUEUED_BYTES
        ):
            self._rate_limit.omitted += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    def _log_omitted(self, now: float) -> None:
        if not self._rate_limit.omitted or now - self._omitted_logged_at < 1.0:
            return
        self._omitted_logged_at = now
        definition = Event.OMITTED.value
        record = logging.LogRecord(
            "sedgetide", definition.level, "", 0, definition.name, (), None
        )
        record.lines = self._rate_limit.take_omitted()
        LOG_LINES_OMITTED.inc(record.lines)
        self._enqueue(self.format(record))

    def _flush(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader is gone for good.
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def close(self) -> None:
        """Write the queued lines that can be written without blocking."""
        self._flush()
        super().close()


def make_formatter(host: str, program: str) -> logging.Formatter:
    """Return the log formatter of all daemons."""
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
    """Write all logs to standard output as logfmt lines."""
    handler = BoundedHandler(sys.stdout.fileno(), LineRateLimit())
    handler.setFormatter(make_formatter(host, program))
    logging.basicConfig(level=level, handlers=[handler], force=True)
