"""What upstreams of a soak ask of hosts in their answers, and its checks."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import msgspec

from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import SAID
from sedgetide.testing.remarks import BACKOFF
from sedgetide.testing.remarks import LEAVING
from sedgetide.testing.remarks import LIMIT
from sedgetide.testing.soakcallers import Ask

# Seconds, and a factor and requests beyond a limit, as the platform grants
# them: from its first word on, in any window, by a host that has heard it.
_BINDS_AFTER = 3.0
_WINDOW = 4.0
_HEARD_FOR = 0.5
_OVERRUN = 1.5
_SLACK = 5.0
# Seconds after the word of leaving in which callers' requests may still come.
_DRAINED_WITHIN = 2.0
# Requests that may come in a backoff once a host has heard of it.
_MOST_IN_BACKOFF = 2


class Absence(msgspec.Struct, frozen=True):
    """A time in which hosts were not in touch, or had lost what they knew.

    Parameters
    ----------
    hosts : tuple of int
        Which.
    began, ended : float
        Machine's monotonic clock.
    upstream : str
        Beginning of the names of the upstreams that it concerns; all when
        empty.
    """

    hosts: tuple[int, ...]
    began: float
    ended: float
    upstream: str = ""


_LIMITS = ("0", "0.3", "1.3", "2.2", "6", "50", "x")
_BACKOFFS = ("0.4", "1.5", "3", "soon")
# Numbers of upstreams with and without keys that may ask for something.
_ASKING = (0, 1, 4)


def draw_scripts(source: random.Random) -> dict[int, list[str]]:
    """Return what upstreams say, by the time since their start.

    All but the word of leaving ends after some seconds, so that callers are
    served again.
    """
    scripts: dict[int, list[str]] = {}
    for number in _ASKING:
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


Asked = Mapping[str, Ask]
Absences = Sequence[Absence]


def find_ignored(
    events: Sequence[Event], asked: Iterable[Ask], absences: Absences = ()
) -> list[str]:
    """Return where hosts did not keep to what upstreams had asked.

    Parameters
    ----------
    events : sequence of Event
        Of all upstreams, in order.
    asked : iterable of Ask
        All requests of callers.
    absences : sequence of Absence
        Times for which a host is not judged.
    """
    requests = {ask.number: ask for ask in asked}
    problems = []
    for upstream in sorted({each.upstream for each in events}):
        own = [
            each
            for each in events
            if each.upstream == upstream and each.request in requests
        ]
        excused = [
            each for each in absences if upstream.startswith(each.upstream)
        ]
        problems += _find_over_limit(own, requests, excused)[:1]
        problems += _find_late(own, requests, excused)[:1]
        problems += _find_in_backoff(own, requests, excused)[:1]
    return problems


def _is_absent(host: int, at: float, absences: Absences) -> bool:
    return any(
        host in each.hosts and each.began <= at < each.ended + _BINDS_AFTER
        for each in absences
    )


def _find_late(
    events: Sequence[Event], asked: Asked, absences: Absences
) -> list[str]:
    """Return what reached an upstream that had told the host of its end."""
    told: dict[int, float] = {}
    problems = []
    for event in events:
        ask = asked[event.request]
        if event.kind == SAID and event.said.get(LEAVING) == "1":
            told.setdefault(ask.host, event.at)
        heard = told.get(ask.host, float("inf"))
        forgotten = any(
            ask.host in each.hosts and each.ended > heard for each in absences
        )
        late = ask.at - heard - _DRAINED_WITHIN
        if event.kind == ARRIVED and late > 0 and not forgotten:
            problems.append(
                f"{event.request} reached {event.upstream}, which leaves, "
                f"{late + _DRAINED_WITHIN:.1f} s after its word"
            )
    return problems


def _find_in_backoff(
    events: Sequence[Event], asked: Asked, absences: Absences
) -> list[str]:
    """Return backoffs in which a host went on sending."""
    problems = []
    for word in events:
        backoff = _read_number(word.said.get(BACKOFF, ""))
        if word.kind != SAID or backoff is None:
            continue
        host = asked[word.request].host
        sent = [
            each.at
            for each in events
            if each.kind == ARRIVED
            and asked[each.request].host == host
            and word.at + _HEARD_FOR < each.at < word.at + backoff
            and not _is_absent(host, each.at, absences)
        ]
        if len(sent) > _MOST_IN_BACKOFF:
            problems.append(
                f"{word.upstream} asked host {host} to back off {backoff:g} s "
                f"and got {len(sent)} requests"
            )
    return problems


def _find_over_limit(
    events: Sequence[Event], asked: Asked, absences: Absences
) -> list[str]:
    words = [each for each in events if each.kind == SAID]
    first = next((each.at for each in words if LIMIT in each.said), None)
    if first is None:
        return []
    counted = _list_counted(events, asked, absences)
    problems = []
    for index, at in enumerate(counted):
        began = at - _WINDOW
        allowed = _find_allowed(words, began, at)
        if began < first + _BINDS_AFTER or allowed is None:
            continue
        sent = sum(1 for each in counted[: index + 1] if each > began)
        if sent > allowed:
            problems.append(
                f"{events[0].upstream} was sent {sent} in {_WINDOW:g} s, "
                f"{allowed:g} are allowed, {at - first:.1f} s after its word"
            )
    return problems


def _find_allowed(
    words: Sequence[Event], began: float, ended: float
) -> float | None:
    """Return the requests that a window may hold; None: any number."""
    before = [each.said for each in words if each.at <= began][-1:]
    within = [each.said for each in words if began < each.at <= ended]
    limits = [_read_number(each.get(LIMIT, "")) for each in before + within]
    if not limits or None in limits:
        return None
    return _OVERRUN * max(limits) * _WINDOW + _SLACK


def _read_number(said: str) -> float | None:
    try:
        return float(said)
    except ValueError:
        return None


def _list_counted(
    events: Sequence[Event],
    asked: Asked,
    absences: Absences,
) -> list[float]:
    """Return the arrivals from hosts that had heard the limit before."""
    told: dict[int, float] = {}
    counted = []
    for event in events:
        host = asked[event.request].host
        if event.kind == SAID and LIMIT in event.said:
            told.setdefault(host, event.at)
        elif event.kind == ARRIVED:
            heard = told.get(host, float("inf"))
            late = event.at >= heard + _HEARD_FOR
            if late and not _is_absent(host, event.at, absences):
                counted.append(event.at)
    return counted
