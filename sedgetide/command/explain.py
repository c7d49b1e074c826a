"""One timeline of a request out of the logs of several hosts."""

from collections.abc import Iterator
import datetime
import pathlib
import re

import msgspec

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = "%Y-%m-%d %H:%M:%S,%f"
_BEFORE = datetime.timedelta(seconds=12)
_AFTER = datetime.timedelta(seconds=1)
_OWNERSHIP = frozenset({"owner-stopped", "order"})
_UPSTREAM = frozenset({"upstream", "upstream-withdrawn"})
_LEADERSHIP = frozenset(
    {
        "leading",
        "leading-no-more",
        "bridging",
        "not-verified",
        "recovering",
        "recovered",
    }
)
_OWN_HOST = frozenset(
    {
        "store-lost",
        "store-reached",
        "store-restored",
        "history-lost",
        "policy",
        "stopping",
    }
)

# These decide about a request for as long as an hour.
_QUARANTINE = frozenset(
    {
        "upstream-ended",
        "quarantined",
        "quarantine-ended",
        "quarantine-lifted",
    }
)

_CAUSES = {
    ("", "window"): "its owner had no room for it in time",
    ("", "moving"): "its range had no owner while it moved",
    ("", "owner-gone"): "its owner had left and its range not yet moved",
    ("", "no-owner"): "no owner of its key was known to the host",
    ("", "no-upstream"): "its service had no upstream",
    ("", "quarantined"): "upstreams ended under it and its repeats, so it is "
    "refused unsent",
    ("", "limited"): "its upstream had named a limit of requests a second "
    "for all hosts together, and this one did not fit in",
    (
        "",
        "backing-off",
    ): "its upstream had asked the host to send nothing for a while",
    ("not-owner", None): "the upstream that the host took for the owner did "
    "not hold the key",
    ("unreachable", None): "no connection to the upstream opened",
    ("busy", None): "the upstream was full and said so",
    ("declined", None): "the upstream declined it",
    ("broken", None): "the connection broke before a whole answer was in",
    ("foreign", None): "only answers to other requests came",
    ("failed", None): "the upstream ran it and failed",
    ("silent", None): "no answer came in time",
}


class Line(msgspec.Struct, frozen=True):
    """One event of one host."""

    at: datetime.datetime
    fields: dict[str, str]

    def find(self, name: str) -> str:
        """Return a field, or an empty text."""
        return self.fields.get(name, "")


def parse_line(text: str) -> Line | None:
    """Read a line of a log; None when it is none, or cut short.

    Parameters
    ----------
    text : str
        The line; what stands before ``time=`` is passed over.
    """
    start = text.find("time=")
    if start < 0 or not text.endswith("\n"):
        return None
    fields = {
        name: value[1:-1] if value.startswith('"') else value
        for name, value in _PAIR.findall(text[start:])
    }
    try:
        at = datetime.datetime.strptime(fields["time"], _TIME)
    except (KeyError, ValueError):
        return None
    return Line(at, fields)


def read_lines(paths: list[pathlib.Path]) -> list[Line]:
    """Return the events of several files, by time.

    Raises
    ------
    InputError
        When a file can not be read.
    """
    lines = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                parsed = [parse_line(text) for text in file]
        except OSError as error:
            raise InputError(
                ErrorCode.BAD_TEXT, Step.READ, str(path), str(error.strerror)
            ) from error
        lines.extend(line for line in parsed if line is not None)
    return sorted(lines, key=lambda line: line.at)


def _concerns_key(line: Line, key: str) -> bool:
    low, high = line.find("low"), line.find("high")
    if not (key.isdigit() and low.isdigit() and high.isdigit()):
        return False
    return int(low) <= int(key) <= int(high)


def _concerns(line: Line, request: Line) -> bool:
    """Tell whether an event may explain a request."""
    event = line.find("event")
    if event in _LEADERSHIP:
        return True
    if event in _OWNERSHIP:
        return _concerns_key(line, request.find("key"))
    if event in _UPSTREAM:
        tried = request.find("upstreams").split(",")
        return line.find("upstream") in tried
    if event in _OWN_HOST:
        return line.find("host") == request.find("host")
    return False


def _is_about(line: Line, fingerprint: str) -> bool:
    """Tell whether an event is about a request that ends upstreams."""
    if not fingerprint or line.find("event") not in _QUARANTINE:
        return False
    return line.find("fingerprint") == fingerprint


def name_cause(request: Line) -> str:
    """Return in a sentence why a request ended as it did."""
    if request.find("outcome") == "answered":
        return f"answered after {request.find('ms')} ms"
    if request.find("status") == "0":
        return f"its caller left after {request.find('ms')} ms"
    failure, note = request.find("failure"), request.find("note")
    if failure in ("", "none"):
        return _CAUSES.get(("", note), f"unknown: {note}")
    cause = _CAUSES.get((failure, None), f"unknown: {failure}")
    return f"{cause} ({note})" if note else cause


def _show(line: Line, since: datetime.datetime) -> str:
    seconds = (line.at - since).total_seconds()
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("time", "level", "event", "host", "program") and value
    )
    event, host = line.find("event"), line.find("host")
    return f"{seconds:+8.3f} {host} {event} {fields}"


def explain_request(number: str, lines: list[Line]) -> Iterator[str]:
    """Yield the timeline of all attempts under an id, and their causes.

    Parameters
    ----------
    number : str
        Id of the request.
    lines : list of Line
        Events of all hosts, by time.

    Raises
    ------
    InputError
        When no line tells of it.
    """
    found = [
        line
        for line in lines
        if line.find("id") == number
        and line.find("event") in ("request", "denied")
    ]
    if not found:
        raise InputError(
            ErrorCode.BAD_TEXT,
            Step.READ,
            number,
            "no line of these files tells of it: accepted is the id of a "
            "request of which one was logged",
        )
    for request in found:
        began = request.at - _find_length(request)
        near = [
            line
            for line in lines
            if _is_about(line, request.find("fingerprint"))
            or (
                began - _BEFORE <= line.at <= request.at + _AFTER
                and (line is request or _concerns(line, request))
            )
        ]
        for line in near:
            yield _show(line, began)
        yield f"cause: {name_cause(request)}"
        yield (
            f"decided by version {request.find('version')}, owners' revision "
            f"{request.find('revision')}, fence {request.find('fence')}, "
            f"{request.find('age_ms')} ms after the store was last heard"
        )


def _find_length(request: Line) -> datetime.timedelta:
    length = request.find("ms")
    milliseconds = int(length) if length.isdigit() else 0
    return datetime.timedelta(milliseconds=milliseconds)
