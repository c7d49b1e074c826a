"""Check that no upstream is given a key on which another is still at work."""

import collections
from collections.abc import Sequence

import msgspec

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import EXITED
from sedgetide.testing.rangeupstream import GRANTED


class _Run(msgspec.Struct):
    """Work of an upstream on a key, and the end of the hold that it has."""

    upstream: str
    key: int
    until: float


class _Work:
    """Work in hand at all upstreams, in the order of events."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], _Run] = {}
        self._grants: dict[str, list[Event]] = collections.defaultdict(list)
        self._found: set[tuple[str, str, int]] = set()
        self.problems: list[str] = []

    def apply(self, event: Event) -> None:
        """Apply an event of an upstream."""
        if event.kind == GRANTED and event.keys is not None:
            self._check(event)
            self._grants[event.upstream].append(event)
        elif event.kind == "begin" and event.key >= 0:
            until = self._find_until(event.upstream, event.key)
            run = _Run(event.upstream, event.key, until)
            self._runs[event.upstream, event.request] = run
        elif event.kind == "end":
            self._runs.pop((event.upstream, event.request), None)
        elif event.kind == EXITED:
            self._drop(event.upstream)

    def _find_until(self, upstream: str, key: int) -> float:
        """Return the latest end of the grants that cover a key."""
        return max(
            (
                each.until
                for each in self._grants[upstream]
                if each.keys is not None
                and each.keys.low <= key <= each.keys.high
            ),
            default=0.0,
        )

    def _drop(self, upstream: str) -> None:
        self._runs = {
            number: run
            for number, run in self._runs.items()
            if run.upstream != upstream
        }

    def _check(self, grant: Event) -> None:
        if grant.keys is None:
            return
        for run in self._runs.values():
            if (
                run.upstream != grant.upstream
                and grant.keys.low <= run.key <= grant.keys.high
                and grant.at < run.until
            ):
                self._note(grant, run)

    def _note(self, grant: Event, run: _Run) -> None:
        """Record a case, once for each pair of upstreams and each key."""
        found = (grant.upstream, run.upstream, run.key)
        if found in self._found:
            return
        self._found.add(found)
        self.problems.append(
            f"key {run.key}: {grant.upstream} was granted it at "
            f"{grant.at:.2f} at fence {grant.fence}, while {run.upstream} "
            f"was at work on it and held it until {run.until:.2f}"
        )


def find_grants_over_work(events: Sequence[Event]) -> list[str]:
    """Return the grants of keys on which another upstream is at work.

    Only work before the end of the hold counts that the upstream had without
    the release, as an upstream ends what outlasts its hold.

    Parameters
    ----------
    events : sequence of Event
        Events of all upstreams by time, with the ends of processes.
    """
    work = _Work()
    for event in events:
        work.apply(event)
    return work.problems
