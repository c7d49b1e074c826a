"""Evacuations and cold starts of a soak: faults drawn, promises checked."""

import random
import time

import msgspec

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import FLOODED
from sedgetide.testing.soakfleet import Fleet

DATA_CENTRES = ("dc-0", "dc-1")
# Seconds after the acknowledgement, and after the last fault, from which on
# nothing may reach an evacuated upstream; as the platform grants them.
ALLOWED = 5.0
TOUCH = 3.0


class Evacuation(msgspec.Struct):
    """One wish of the operators, by the machine's monotonic clock."""

    data_centre: str
    asked_at: float
    ended_at: float = float("inf")


class Operator:
    """Evacuates data centres, and remembers when.

    Parameters
    ----------
    fleet : Fleet
        Whose store takes the wishes.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._asked: dict[str, Evacuation] = {}
        self.evacuations: list[Evacuation] = []

    def ask(self, data_centre: str) -> None:
        """Have a data centre emptied."""
        self._fleet.evacuate(data_centre, True)
        if data_centre not in self._asked:
            wish = Evacuation(data_centre, time.monotonic())
            self._asked[data_centre] = wish
            self.evacuations.append(wish)

    def take_back(self, data_centre: str) -> None:
        """Let a data centre have work again."""
        wish = self._asked.pop(data_centre, None)
        if wish is not None:
            wish.ended_at = time.monotonic()
        self._fleet.evacuate(data_centre, False)


def find_late_runs(
    fleet: Fleet,
    evacuations: list[Evacuation],
    events: list[Event],
    faults: list[tuple[float, float]],
) -> list[str]:
    """Return what ran in an evacuated data centre, hosts being in touch.

    Parameters
    ----------
    faults : list of tuple
        When each fault began and ended.
    """
    problems = []
    for wish in evacuations:
        first = wish.asked_at + ALLOWED
        for event in events:
            if not first < event.at < wish.ended_at or event.kind != "begin":
                continue
            if fleet.find_data_centre(event.upstream) != wish.data_centre:
                continue
            if not any(b <= event.at < e + TOUCH for b, e in faults):
                late = event.at - wish.asked_at
                problems.append(
                    f"{event.request} ran at {event.upstream} {late:.1f} s "
                    "after the evacuation"
                )
    return problems


def find_floods(events: list[Event]) -> list[str]:
    """Return the cold upstreams that were sent more than they bear."""
    return [
        f"{event.upstream} was flooded while it was cold"
        for event in events
        if event.kind == FLOODED
    ]


def draw_data_centre(source: random.Random) -> str:
    """Return one of the data centres."""
    return source.choice(DATA_CENTRES)
