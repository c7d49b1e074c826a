"""Timeline of a request, combined from the logs of several hosts."""

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
_WINDOW_BEFORE = datetime.timedelta(seconds=12)
_WINDOW_AFTER = datetime.timedelta(seconds=1)
_OWNERSHIP_EVENTS = frozenset({"owner-stopped", "order"})
_UPSTREAM_EVENTS = frozenset({"upstream", "upstream-withdrawn"})
_LEADERSHIP_EVENTS = frozenset(
    {
        "leading",
        "leading-no-more",
        "bridging",
        "not-verified",
        "recovering",
        "recovered",
    }
)
_HOST_EVENTS = frozenset(
    {
        "store-lost",
        "store-reached",
        "store-restored",
        "history-lost",
        "policy",
        "stopping",
    }
)

# These events affect a request for up to an hour.
_QUARANTINE_EVENTS = frozenset(
    {
        "upstream-ended",
        "quarantined",
        "quarantine-ended",
        "quarantine-lifted",
    }
)

_CAUSES = {
    ("", "window"): "its owner had no free place in time",
    ("", "moving"): "its range had no owner while it moved",
    ("", "owner-gone"): "its owner was no longer available and its range had "
    "not yet moved",
    ("", "no-owner"): "the host knew no owner of its key",
    ("", "no-upstream"): "its service had no upstream",
    ("", "quarantined"): "it is quarantined and was not sent, because "
    "upstreams ended during it and its repeats",
    ("", "limited"): "it exceeded the rate limit that its upstream had set "
    "for all hosts together",
    (
        "",
        "backing-off",
    ): "its upstream had asked the host to send nothing for some time",
    ("not-owner", None): "the upstream that the host considered the owner "
    "did not own the key",
    ("unreachable", None): "the connection to the upstream failed",
    ("busy", None): "the upstream reported that it was full",
    ("declined", None): "the upstream declined it",
    ("broken", None): "the connection broke before the response was complete",
    ("foreign", None): "only responses to other requests were received",
    ("failed", None): "the upstream ran it and failed",
    ("silent", None): "no response was received in time",
}


class Line(msgspec.Struct, frozen=True):
    """A log line: one event of one host."""

    at: datetime.datetime
    fields: dict[str, str]

    def find(self, name: str) -> str:
        """Return the value of a field, empty if it is absent."""
        return self.fields.get(name, "")


def parse_line(text: str) -> Line | None:
    """Parse a log line; None if it is invalid or truncated.

    Parameters
    ----------
    text : str
        Line; anything before ``time=`` is ignored.
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
    """Return the events of several files, sorted by time.

    Raises
    ------
    InputError
        If a file cannot be read.
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
    """Return whether an event may explain the outcome of a request."""
    event = line.find("event")
    if event in _LEADERSHIP_EVENTS:
        return True
    if event in _OWNERSHIP_EVENTS:
        return _concerns_key(line, request.find("key"))
    if event in _UPSTREAM_EVENTS:
        tried = request.find("upstreams").split(",")
        return line.find("upstream") in tried
    if event in _HOST_EVENTS:
        return line.find("host") == request.find("host")
    return False


def _concerns_fingerprint(line: Line, fingerprint: str) -> bool:
    """Return whether an event is about the quarantine of a fingerprint."""
    if not fingerprint or line.find("event") not in _QUARANTINE_EVENTS:
        return False
    return line.find("fingerprint") == fingerprint


def describe_cause(request: Line) -> str:
    """Return a sentence about the cause of a request's outcome."""
    if request.find("outcome") == "answered":
        return f"answered after {request.find('ms')} ms"
    if request.find("status") == "0":
        return f"its caller disconnected after {request.find('ms')} ms"
    failure, note = request.find("failure"), request.find("note")
    if failure in ("", "none"):
        return _CAUSES.get(("", note), f"unknown: {note}")
    cause = _CAUSES.get((failure, None), f"unknown: {failure}")
    return f"{cause} ({note})" if note else cause


def _format_line(line: Line, since: datetime.datetime) -> str:
    seconds = (line.at - since).total_seconds()
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("time", "level", "event", "host", "program") and value
    )
    event, host = line.find("event"), line.find("host")
    return f"{seconds:+8.3f} {host} {event} {fields}"


def explain_request(number: str, lines: list[Line]) -> Iterator[str]:
    """Yield the timelines of all attempts with an id, and their causes.

    Parameters
    ----------
    number : str
        Id of the request.
    lines : list of Line
        Events of all hosts, sorted by time.

    Raises
    ------
    InputError
        If no event has the id.
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
            "not found in these files: expected the id of a request that "
            "was logged",
        )
    for request in found:
        began = request.at - _find_duration(request)
        near = [
            line
            for line in lines
            if _concerns_fingerprint(line, request.find("fingerprint"))
            or (
                began - _WINDOW_BEFORE <= line.at <= request.at + _WINDOW_AFTER
                and (line is request or _concerns(line, request))
            )
        ]
        for line in near:
            yield _format_line(line, began)
        yield f"cause: {describe_cause(request)}"
        yield (
            f"decided with version {request.find('version')}, range table "
            f"revision {request.find('revision')}, fence "
            f"{request.find('fence')}, {request.find('age_ms')} ms after the "
            "last response of the store"
        )


def _find_duration(request: Line) -> datetime.timedelta:
    length = request.find("ms")
    milliseconds = int(length) if length.isdigit() else 0
    return datetime.timedelta(milliseconds=milliseconds)
