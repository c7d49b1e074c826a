"""Which era of the store a host has heard of."""

from collections.abc import Callable

from sedgetide.core.history import Era
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event


class EraTracker:
    """Newest era that any answer to any call of this host has shown.

    All clients of one store share it: what one of them learns makes the
    earlier answers to the others worthless.
    """

    def __init__(self) -> None:
        self.newest: Era | None = None
        self.refused = 0
        self._listeners: list[Callable[[Era], None]] = []

    def subscribe(self, listener: Callable[[Era], None]) -> None:
        """Have a function called with each later era, but not the first."""
        self._listeners.append(listener)

    def note(self, era: Era) -> None:
        """Take in the era of an answer; an earlier one changes nothing."""
        former = self.newest
        if former is not None and era <= former:
            return
        self.newest = era
        if former is None:
            return
        log_event(Event.STORE_RESTORED, era=era, former=former)
        for listener in self._listeners:
            listener(era)

    def note_refused(self, problem: str) -> None:
        """Take in an answer whose era can not be read."""
        self.refused += 1
        log_event(Event.ERA_REFUSED, problem=problem)
