"""Evacuations and cold starts of a soak, and checks of them."""

import random
import time

import msgspec

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import FLOODED
from sedgetide.testing.soakfleet import Fleet

DATA_CENTRES = ("dc-0", "dc-1")
# Seconds after the acknowledgement, and after the last fault, after which no
# request may reach an evacuated upstream. The platform specifies both.
ALLOWED_DELAY = 5.0
RECONNECT_TIME = 3.0


class Evacuation(msgspec.Struct):
    """Evacuation of a data centre, with times of the monotonic clock."""

    data_centre: str
    asked_at: float
    ended_at: float = float("inf")


class Operator:
    """Evacuates data centres and records the times.

    Parameters
    ----------
    fleet : Fleet
        Fleet to whose store the evacuations are written.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._active: dict[str, Evacuation] = {}
        self.evacuations: list[Evacuation] = []

    def start_evacuation(self, data_centre: str) -> None:
        """Start the evacuation of a data centre."""
        self._fleet.evacuate(data_centre, True)
        if data_centre not in self._active:
            evacuation = Evacuation(data_centre, time.monotonic())
            self._active[data_centre] = evacuation
            self.evacuations.append(evacuation)

    def cancel_evacuation(self, data_centre: str) -> None:
        """Cancel the evacuation of a data centre."""
        evacuation = self._active.pop(data_centre, None)
        if evacuation is not None:
            evacuation.ended_at = time.monotonic()
        self._fleet.evacuate(data_centre, False)


def find_late_runs(
    fleet: Fleet,
    evacuations: list[Evacuation],
    events: list[Event],
    faults: list[tuple[float, float]],
) -> list[str]:
    """Return violations: runs in an evacuated data centre without a fault.

    Parameters
    ----------
    faults : list of tuple
        Start and end of each fault; runs during one, or soon after it, are
        not counted.
    """
    problems = []
    for evacuation in evacuations:
        first = evacuation.asked_at + ALLOWED_DELAY
        for event in events:
            if (
                not first < event.at < evacuation.ended_at
                or event.kind != "begin"
            ):
                continue
            if (
                fleet.find_data_centre(event.upstream)
                != evacuation.data_centre
            ):
                continue
            if not any(b <= event.at < e + RECONNECT_TIME for b, e in faults):
                delay = event.at - evacuation.asked_at
                problems.append(
                    f"{event.request} ran at {event.upstream} {delay:.1f} s "
                    "after the evacuation"
                )
    return problems


def find_flooded(events: list[Event]) -> list[str]:
    """Return violations: cold upstreams that were sent too many requests."""
    return [
        f"{event.upstream} was flooded while it was cold"
        for event in events
        if event.kind == FLOODED
    ]


def draw_data_centre(source: random.Random) -> str:
    """Return a random data centre."""
    return source.choice(DATA_CENTRES)
