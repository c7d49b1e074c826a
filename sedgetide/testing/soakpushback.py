"""Pushback of upstreams of a soak, and checks that hosts comply.

Pushback is what an upstream asks of hosts in the headers of its answers: a
limit of requests per second, that it is leaving, or a backoff.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import msgspec

from sedgetide.testing.pushbackscript import BACKOFF
from sedgetide.testing.pushbackscript import LEAVING
from sedgetide.testing.pushbackscript import LIMIT
from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import SAID
from sedgetide.testing.soakcallers import RequestRecord

# Tolerances that the platform specifies. A limit binds from this many seconds
# after its first answer on; within any window the product of limit and window
# may be exceeded by the factor and the number of requests; and only requests
# of a host that has received the answer long enough ago are counted.
_EFFECTIVE_AFTER = 3.0
_WINDOW = 4.0
_KNOWN_AFTER = 0.5
_OVERRUN = 1.5
_SLACK = 5.0
# Seconds after a leaving notice in which callers' requests may still arrive.
_DRAINED_WITHIN = 2.0
# Requests that a host may send in a backoff that it has received.
_MAX_IN_BACKOFF = 2


class HostOutage(msgspec.Struct, frozen=True):
    """Interval in which hosts were disconnected or had lost their state.

    Parameters
    ----------
    hosts : tuple of int
        Indices of the hosts.
    began, ended : float
        Times of the machine's monotonic clock.
    upstream : str
        Prefix of the names of the upstreams concerned; all when empty.
    """

    hosts: tuple[int, ...]
    began: float
    ended: float
    upstream: str = ""


_LIMITS = ("0", "0.3", "1.3", "2.2", "6", "50", "x")
_BACKOFFS = ("0.4", "1.5", "3", "soon")
# Numbers of the upstreams that have a script: two keyed ones, one plain.
_SCRIPTED = (0, 1, 4)


def draw_scripts(source: random.Random) -> dict[int, list[str]]:
    """Return the lines of a script for each upstream that has one.

    Limits and backoffs end after some seconds, so that callers are served
    again; leaving does not.
    """
    scripts: dict[int, list[str]] = {}
    for number in _SCRIPTED:
        kinds = source.sample((LIMIT, LEAVING, BACKOFF, ""), 2)
        scripts[number] = [
            line for kind in kinds for line in _draw_lines(source, kind)
        ]
    return scripts


def _draw_lines(source: random.Random, kind: str) -> list[str]:
    at = source.uniform(3.0, 7.0)
    if kind == LEAVING:
        return [f"{at:.1f}:{kind}:1"]
    if kind == BACKOFF:
        ended = at + source.uniform(0.3, 2.5)
        backoff = source.choice(_BACKOFFS)
        return [f"{at:.1f}:{kind}:{backoff}", f"{ended:.1f}:{kind}:"]
    if kind == LIMIT:
        middle, ended = at + source.uniform(0.2, 4.0), at + 8.0
        return [
            f"{at:.1f}:{kind}:{source.choice(_LIMITS)}",
            f"{middle:.1f}:{kind}:{source.choice(_LIMITS)}",
            f"{ended:.1f}:{kind}:",
        ]
    return []


RecordsById = Mapping[str, RequestRecord]
HostOutages = Sequence[HostOutage]


def find_pushback_violations(
    events: Sequence[Event],
    records: Iterable[RequestRecord],
    outages: HostOutages = (),
) -> list[str]:
    """Return violations: requests that hosts sent in spite of pushback.

    Parameters
    ----------
    events : sequence of Event
        Events of all upstreams, by time.
    records : iterable of RequestRecord
        All requests of callers.
    outages : sequence of HostOutage
        Intervals in which requests of a host are not counted.
    """
    records_by_id = {record.number: record for record in records}
    problems = []
    for upstream in sorted({each.upstream for each in events}):
        own = [
            each
            for each in events
            if each.upstream == upstream and each.request in records_by_id
        ]
        excused = [
            each for each in outages if upstream.startswith(each.upstream)
        ]
        problems += _find_over_limit(own, records_by_id, excused)[:1]
        problems += _find_late(own, records_by_id, excused)[:1]
        problems += _find_in_backoff(own, records_by_id, excused)[:1]
    return problems


def _is_in_outage(host: int, at: float, outages: HostOutages) -> bool:
    return any(
        host in each.hosts and each.began <= at < each.ended + _EFFECTIVE_AFTER
        for each in outages
    )


def _find_late(
    events: Sequence[Event], records: RecordsById, outages: HostOutages
) -> list[str]:
    """Return requests of hosts that knew that the upstream is leaving."""
    known_since: dict[int, float] = {}
    problems = []
    for event in events:
        record = records[event.request]
        if event.kind == SAID and event.said.get(LEAVING) == "1":
            known_since.setdefault(record.host, event.at)
        informed_at = known_since.get(record.host, float("inf"))
        forgotten = any(
            record.host in each.hosts and each.ended > informed_at
            for each in outages
        )
        late = record.at - informed_at - _DRAINED_WITHIN
        if event.kind == ARRIVED and late > 0 and not forgotten:
            problems.append(
                f"{event.request} reached {event.upstream} "
                f"{late + _DRAINED_WITHIN:.1f} s after its leaving notice"
            )
    return problems


def _find_in_backoff(
    events: Sequence[Event], records: RecordsById, outages: HostOutages
) -> list[str]:
    """Return backoffs in which a host continued to send."""
    problems = []
    for pushback in events:
        backoff = _parse_number(pushback.said.get(BACKOFF, ""))
        if pushback.kind != SAID or backoff is None:
            continue
        host = records[pushback.request].host
        sent = [
            each.at
            for each in events
            if each.kind == ARRIVED
            and records[each.request].host == host
            and pushback.at + _KNOWN_AFTER < each.at < pushback.at + backoff
            and not _is_in_outage(host, each.at, outages)
        ]
        if len(sent) > _MAX_IN_BACKOFF:
            problems.append(
                f"{pushback.upstream} asked host {host} to back off "
                f"{backoff:g} s and received {len(sent)} requests"
            )
    return problems


def _find_over_limit(
    events: Sequence[Event], records: RecordsById, outages: HostOutages
) -> list[str]:
    pushbacks = [each for each in events if each.kind == SAID]
    first = next((each.at for each in pushbacks if LIMIT in each.said), None)
    if first is None:
        return []
    counted = _list_counted(events, records, outages)
    problems = []
    for index, at in enumerate(counted):
        began = at - _WINDOW
        allowed = _find_allowed(pushbacks, began, at)
        if began < first + _EFFECTIVE_AFTER or allowed is None:
            continue
        sent = sum(1 for each in counted[: index + 1] if each > began)
        if sent > allowed:
            problems.append(
                f"{events[0].upstream} received {sent} requests in "
                f"{_WINDOW:g} s, {allowed:g} are allowed, {at - first:.1f} s "
                "after its first limit"
            )
    return problems


def _find_allowed(
    pushbacks: Sequence[Event], began: float, ended: float
) -> float | None:
    """Return the requests allowed in a window; None when unlimited."""
    before = [each.said for each in pushbacks if each.at <= began][-1:]
    within = [each.said for each in pushbacks if began < each.at <= ended]
    limits = [_parse_number(each.get(LIMIT, "")) for each in before + within]
    if not limits or None in limits:
        return None
    return _OVERRUN * max(limits) * _WINDOW + _SLACK


def _parse_number(said: str) -> float | None:
    try:
        return float(said)
    except ValueError:
        return None


def _list_counted(
    events: Sequence[Event],
    records: RecordsById,
    outages: HostOutages,
) -> list[float]:
    """Return arrival times of requests from hosts that knew of the limit."""
    known_since: dict[int, float] = {}
    counted = []
    for event in events:
        host = records[event.request].host
        if event.kind == SAID and LIMIT in event.said:
            known_since.setdefault(host, event.at)
        elif event.kind == ARRIVED:
            informed_at = known_since.get(host, float("inf"))
            informed = event.at >= informed_at + _KNOWN_AFTER
            if informed and not _is_in_outage(host, event.at, outages):
                counted.append(event.at)
    return counted
