"""Checks that hosts keep to what upstreams ask of them in their answers."""

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import SAID

# Seconds, and a factor and requests beyond a limit, as the platform grants
# them: from its first word on, in any window, by a host that has heard it.
_BINDS_AFTER = 3.0
_WINDOW = 4.0
_HEARD_FOR = 0.5
_OVERRUN = 1.5
_SLACK = 5.0


class Absence(msgspec.Struct, frozen=True):
    """A time in which a host was not in touch, or had lost what it knew."""

    host: int
    began: float
    ended: float


def find_over_limit(
    events: Sequence[Event],
    hosts: Mapping[str, int],
    absences: Sequence[Absence] = (),
) -> list[str]:
    """Return the limits that were broken.

    Parameters
    ----------
    events : sequence of Event
        Of all upstreams, in order.
    hosts : mapping
        Host to which each request was sent.
    absences : sequence of Absence
        Times for which a host is not judged.
    """
    problems = []
    for upstream in sorted({each.upstream for each in events}):
        own = [each for each in events if each.upstream == upstream]
        problems += _judge(own, hosts, absences)
    return problems


def _judge(
    events: Sequence[Event],
    hosts: Mapping[str, int],
    absences: Sequence[Absence],
) -> list[str]:
    words = [each for each in events if each.kind == SAID]
    first = next((each.at for each in words if each.said), None)
    if first is None:
        return []
    counted = _list_counted(events, hosts, absences)
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
    limits = [_read_limit(each) for each in before + within]
    if not limits or None in limits:
        return None
    return _OVERRUN * max(limits) * _WINDOW + _SLACK


def _read_limit(said: str) -> float | None:
    try:
        return float(said)
    except ValueError:
        return None


def _list_counted(
    events: Sequence[Event],
    hosts: Mapping[str, int],
    absences: Sequence[Absence],
) -> list[float]:
    """Return the arrivals from hosts that had heard the limit before."""
    told: dict[int, float] = {}
    counted = []
    for event in events:
        host = hosts.get(event.request)
        if host is None:
            continue
        if event.kind == SAID and event.said:
            told.setdefault(host, event.at)
        elif event.kind == ARRIVED:
            heard = told.get(host, float("inf"))
            if event.at >= heard + _HEARD_FOR and not any(
                each.host == host
                and each.began <= event.at < each.ended + _BINDS_AFTER
                for each in absences
            ):
                counted.append(event.at)
    return counted
