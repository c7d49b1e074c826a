"""Timeline of a request, combined from the logs of several hosts."""

from collections.abc import Iterator
import datetime
import pathlib
import re

import msgspec

from sedgetide.command._reasons import EXPLANATIONS
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.requests.refusals import RefusalReason

_GRANTED = re.compile(r"(\d+)-(\d+)/(\d+)>(\S+)")
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
TIME_FORM = "%Y-%m-%d %H:%M:%S,%f"
_WINDOW_BEFORE = datetime.timedelta(seconds=12)
_WINDOW_AFTER = datetime.timedelta(seconds=1)
_OWNERSHIP_EVENTS = frozenset({"owner-stopped", "order"})
_UPSTREAM_EVENTS = frozenset(
    {
        "upstream",
        "upstream-withdrawn",
        "upstream-limited",
        "upstream-leaving",
        "upstream-backoff",
    }
)
_LEADERSHIP_EVENTS = frozenset(
    {
        "leading",
        "leading-no-more",
        "bridging",
        "not-verified",
        "recovering",
        "recovered",
        "upstream-released",
    }
)
_HOST_EVENTS = frozenset(
    {
        "store-lost",
        "store-reached",
        "store-restored",
        "history-lost",
        "lenders",
        "path-lost",
        "path-regained",
        "peers",
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

# Status codes of the router's own answers to requests that may have run.
_UNKNOWN_STATUSES = frozenset({"502", "504"})


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
        at = datetime.datetime.strptime(fields["time"], TIME_FORM)
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


def concerns_key(line: Line, key: str) -> bool:
    """Return whether an event is about a range with a key."""
    low, high = line.find("low"), line.find("high")
    if not (key.isdigit() and low.isdigit() and high.isdigit()):
        return False
    return int(low) <= int(key) <= int(high)


class Granted(msgspec.Struct, frozen=True):
    """Range with a key, as the line ``granting`` states it."""

    text: str
    upstream: str
    fence: str


def find_granted(line: Line, key: str) -> Granted | None:
    """Return the range with a key that a line grants, or None."""
    if line.find("event") != "granting" or not key.isdigit():
        return None
    for found in _GRANTED.finditer(line.find("ranges")):
        low, high, fence, upstream = found.groups()
        if int(low) <= int(key) <= int(high):
            return Granted(found.group(), upstream, fence)
    return None


def _show_granted(line: Line, key: str) -> Line:
    """Return a line ``granting`` with no ranges but that of the key."""
    granted = find_granted(line, key)
    if granted is None:
        return line
    return Line(line.at, {**line.fields, "ranges": granted.text})


def _drop_start_time(incarnation: str) -> str:
    """Return the registered name of an upstream, which events have."""
    name, _, born = incarnation.rpartition("@")
    return name if name and born.isdigit() else incarnation


def _concerns(line: Line, request: Line) -> bool:
    """Return whether an event may explain the outcome of a request."""
    event = line.find("event")
    if event in _LEADERSHIP_EVENTS:
        return True
    if find_granted(line, request.find("key")) is not None:
        return True
    if event in _OWNERSHIP_EVENTS:
        return concerns_key(line, request.find("key"))
    if event in _UPSTREAM_EVENTS:
        names = request.find("upstreams").split(",")
        names.append(request.find("no_room_at"))
        return line.find("upstream") in map(_drop_start_time, names)
    if event in _HOST_EVENTS:
        return line.find("host") == request.find("host")
    return False


def _concerns_fingerprint(line: Line, fingerprint: str) -> bool:
    """Return whether an event is about the quarantine of a fingerprint."""
    if not fingerprint or line.find("event") not in _QUARANTINE_EVENTS:
        return False
    return line.find("fingerprint") == fingerprint


def _parse_reason(text: str) -> RefusalReason | None:
    try:
        return RefusalReason(text)
    except ValueError:
        return None


def find_reason(request: Line) -> RefusalReason | None:
    """Return why a request was refused or failed; None if it is unknown.

    Earlier versions logged the error text of a failure, or nothing, in place
    of the reason.
    """
    reason = _parse_reason(request.find("note"))
    return reason or _parse_reason(request.find("failure"))


def _was_refused_or_failed(request: Line) -> bool:
    if request.find("event") == "denied":
        return request.find("status") == "503"
    return (
        request.find("outcome") != "answered" and request.find("status") != "0"
    )


def describe_cause(request: Line) -> str:
    """Return a sentence about the cause of a request's outcome."""
    if request.find("outcome") == "answered":
        return f"answered after {request.find('ms')} ms"
    if request.find("status") == "0":
        return f"its caller disconnected after {request.find('ms')} ms"
    if not _was_refused_or_failed(request):
        return "no route matched it"
    note, reason = request.find("note"), find_reason(request)
    if reason is None:
        return f"unknown: {note}"
    cause = EXPLANATIONS[reason].cause
    failure = _parse_reason(request.find("failure"))
    if failure not in (None, reason):
        cause += f"; before, {EXPLANATIONS[failure].cause}"
    detail = request.find("detail")
    if not detail and _parse_reason(note) is None:
        detail = note
    return f"{cause} ({detail})" if detail else cause


def _describe_kind(request: Line) -> str:
    kind = f"route {request.find('route')}, service {request.find('service')}"
    key = request.find("key")
    return kind if key in ("", "None") else f"{kind}, key {key}"


def _describe_wait(request: Line, awaited: str) -> str:
    upstream = request.find("no_room_at") or request.find("upstreams")
    where = f", upstream {upstream}" if upstream else ""
    if request.find("upstreams"):
        held = request.find("held_ms") or "unknown"
        return (
            f"{awaited}{where}; {held} ms before its first send, "
            f"{request.find('ms')} ms in all"
        )
    return f"{awaited}{where}; {request.find('ms')} ms, never sent"


def _describe_answer(request: Line) -> str:
    """Return what the caller of a request without an answer was told."""
    status, retry_after = request.find("status"), request.find("retry_after")
    if status == "503" and request.find("outcome") != "unknown":
        promise = f", retry after {retry_after} s" if retry_after else ""
        return f"503, it has not run and never will{promise}"
    if status in _UNKNOWN_STATUSES:
        return f"{status}, it may have run"
    return f"the upstream's answer, status {status}"


def _describe_refusal(request: Line) -> Iterator[str]:
    """Yield the kind of a request, its wait, who decided, and its answer."""
    if not _was_refused_or_failed(request):
        return
    routed = request.find("event") == "request"
    if routed:
        yield f"request: {_describe_kind(request)}"
    reason = find_reason(request)
    if reason is not None:
        explanation = EXPLANATIONS[reason]
        if routed:
            yield f"waited for: {_describe_wait(request, explanation.awaited)}"
        yield f"decided by: {explanation.decider}"
    yield f"told: {_describe_answer(request)}"


def _describe_hops(request: Line) -> Iterator[str]:
    """Yield by which host a request was passed on, and to which."""
    sender, peer = request.find("received_from"), request.find("via")
    if sender:
        yield f"passed on by {sender}, whose path to the upstream is lost"
    if peer:
        yield (
            f"passed on to the host that listens at {peer}, because the path "
            f"of {request.find('host')} to the upstream is lost"
        )


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
            shown = _show_granted(line, request.find("key"))
            yield _format_line(shown, began)
        yield f"cause: {describe_cause(request)}"
        yield from _describe_hops(request)
        yield from _describe_refusal(request)
        if not request.find("version"):
            continue
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
