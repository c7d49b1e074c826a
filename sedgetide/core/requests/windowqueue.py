"""Queue of the requests that wait for the window of one upstream."""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.windows import Window

ItemT = TypeVar("ItemT")


class WindowQueue(Generic[ItemT]):
    """Requests that wait for capacity in a window, the most urgent first.

    A request that cannot be sent in time is refused at once, since waiting
    would cost its caller time that it needs for a retry.

    Parameters
    ----------
    window : Window
        Limit of the requests in flight.
    health : UpstreamHealth
        Service time and failures of the upstream.
    """

    def __init__(self, window: Window, health: UpstreamHealth) -> None:
        self.window = window
        self.health = health
        self._numbers = itertools.count()
        self._heap: list[tuple[int, int, ItemT]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def try_enter(self, now: float) -> bool:
        """Enter the window if it has capacity and no request waits."""
        if self._heap or not self.window.is_free(now):
            return False
        self.window.in_flight += 1
        return True

    def is_wait_too_long(self, priority: int, wait: float, now: float) -> bool:
        """Return whether a request cannot be sent within ``wait`` seconds."""
        return wait <= 0 or self.estimate_wait(priority, now) > wait

    def estimate_wait(self, priority: int, now: float) -> float:
        """Return the minimum expected wait of a request in seconds.

        Parameters
        ----------
        priority : int
            Lower is more urgent; less urgent requests are not counted.
        now : float
            Current monotonic time in seconds.
        """
        ahead = sum(1 for each in self._heap if each[0] <= priority)
        seconds = self.health.estimate_seconds()
        return self.window.estimate_wait(ahead, seconds, now)

    def push(self, item: ItemT, priority: int) -> None:
        """Queue a request."""
        entry = (priority, next(self._numbers), item)
        heapq.heappush(self._heap, entry)

    def remove(self, item: ItemT) -> bool:
        """Remove a request; return False when it is not queued."""
        kept = [each for each in self._heap if each[2] is not item]
        found = len(kept) < len(self._heap)
        heapq.heapify(kept)
        self._heap = kept
        return found

    def note_end(self, now: float) -> None:
        """Record the end of a request."""
        self.window.note_end(self.health.estimate_seconds(), now)

    def take(self, now: float) -> list[ItemT]:
        """Remove and return the requests that may be sent now, in order."""
        items = []
        while self._heap and self.window.is_free(now):
            _, _, item = heapq.heappop(self._heap)
            self.window.in_flight += 1
            items.append(item)
        return items

    def find_opening(self, now: float) -> float | None:
        """Return when the next request may be sent.

        Returns
        -------
        float or None
            Monotonic time; None if no request waits, or if the next one can
            be sent only after an answer.
        """
        return self.window.find_opening(now) if self._heap else None
