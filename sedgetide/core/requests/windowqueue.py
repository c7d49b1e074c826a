"""Who may be sent next to one upstream, by a host's own window."""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.windows import Window

TurnT = TypeVar("TurnT")


class WindowQueue(Generic[TurnT]):
    """Requests that wait for a place in a window, the most urgent first.

    Where none can come in time the answer is no at once: a caller that waits
    to hear it loses time that it needs elsewhere.

    Parameters
    ----------
    window : Window
        What may be in flight.
    health : UpstreamHealth
        How long requests take there.
    """

    def __init__(self, window: Window, health: UpstreamHealth) -> None:
        self.window = window
        self.health = health
        self._numbers = itertools.count()
        self._heap: list[tuple[int, int, TurnT]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def try_enter(self, now: float) -> bool:
        """Take a place if one is free and nobody waits."""
        if self._heap or not self.window.is_free(now):
            return False
        self.window.in_flight += 1
        return True

    def is_wait_too_long(self, priority: int, wait: float, now: float) -> bool:
        """Tell whether no place can come within some seconds."""
        return wait <= 0 or self.estimate_wait(priority, now) > wait

    def estimate_wait(self, priority: int, now: float) -> float:
        """Return after how long a request might get a place, at best.

        Parameters
        ----------
        priority : int
            Lower is more urgent; those behind it do not count.
        now : float
            Own clock.
        """
        ahead = sum(1 for each in self._heap if each[0] <= priority)
        seconds = self.health.estimate_seconds()
        return self.window.estimate_wait(ahead, seconds, now)

    def push(self, turn: TurnT, priority: int) -> None:
        """Queue a request."""
        entry = (priority, next(self._numbers), turn)
        heapq.heappush(self._heap, entry)

    def remove(self, turn: TurnT) -> bool:
        """Take a request out; return False when it no longer waits."""
        kept = [each for each in self._heap if each[2] is not turn]
        found = len(kept) < len(self._heap)
        heapq.heapify(kept)
        self._heap = kept
        return found

    def note_end(self, now: float) -> None:
        """Take in that a request has ended."""
        self.window.note_end(self.health.estimate_seconds(), now)

    def take(self, now: float) -> list[TurnT]:
        """Return all that may be sent now, in order."""
        turns = []
        while self._heap and self.window.is_free(now):
            _, _, turn = heapq.heappop(self._heap)
            self.window.in_flight += 1
            turns.append(turn)
        return turns

    def find_opening(self, now: float) -> float | None:
        """Return when the next may be sent; None: after an answer."""
        return self.window.find_opening(now) if self._heap else None
