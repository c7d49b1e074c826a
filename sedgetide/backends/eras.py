"""Tracking of the store's era."""

from collections.abc import Callable

from sedgetide.core.history import Era
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event


class EraTracker:
    """Newest era seen in any response of the store.

    A new era begins when the store is restored from a copy; its revisions
    are counted anew. All clients of one store share a tracker, because a new
    era invalidates the earlier responses to all of them.

    Attributes
    ----------
    newest : Era or None
        Newest era, None before the first response.
    refused : int
        Number of responses whose era could not be parsed.
    """

    def __init__(self) -> None:
        self.newest: Era | None = None
        self.refused = 0
        self._listeners: list[Callable[[Era], None]] = []

    def subscribe(self, listener: Callable[[Era], None]) -> None:
        """Register a function to be called with each era after the first."""
        self._listeners.append(listener)

    def note(self, era: Era) -> None:
        """Record the era of a response; earlier eras are ignored."""
        former = self.newest
        if former is not None and era <= former:
            return
        self.newest = era
        if former is None:
            return
        log_event(Event.STORE_RESTORED, era=era, former=former)
        for listener in self._listeners:
            listener(era)

    def record_unparsable(self, problem: str) -> None:
        """Record a response whose era cannot be parsed."""
        self.refused += 1
        log_event(Event.ERA_REFUSED, problem=problem)
