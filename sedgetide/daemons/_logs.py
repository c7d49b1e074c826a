"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/-+,@"
)


def _show_value(value: Any) -> str:
    text = str(value)
    if text and all(letter in _PLAIN for letter in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def format_pairs(event: dict[str, Any], **_: Any) -> str:
    """Return an event as one line of key=value pairs.

    Takes the place of ``json.dumps`` in the library's formatter.

    Examples
    --------
    >>> format_pairs({"event": "shard moved", "epoch": 3})
    'event="shard moved" epoch=3'
    """
    return " ".join(
        f"{name}={_show_value(value)}" for name, value in event.items()
    )


def configure_logging(level: str, host: str, program: str) -> None:
    """Send all logs to standard error as key=value lines."""
    formatter = JsonFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={
            "asctime": "time",
            "levelname": "level",
            "name": "module",
            "message": "event",
        },
        static_fields={"host": host, "program": program},
        json_serializer=format_pairs,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
