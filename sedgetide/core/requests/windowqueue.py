"""Queue of the requests that wait for the window of one upstream."""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

from sedgetide.core.requests.callershares import find_window_share
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.windows import Window

ItemT = TypeVar("ItemT")
# Priority, rank, number and item of a request.
_Entry = tuple[int, int, int, ItemT]


class WindowQueue(Generic[ItemT]):
    """Requests that wait for capacity in a window, the most urgent first.

    Among equally urgent ones, those of callers with few requests in hand go
    first, and the others fill a share of the window only; see
    :mod:`~sedgetide.core.requests.callershares`.
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
        # Heaps by the share of the window that their requests may fill.
        self._heaps: dict[float, list[_Entry[ItemT]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._heaps.values()))

    def has_room(self, now: float, rank: int = 0) -> bool:
        """Return whether it has capacity and no request waits."""
        share = find_window_share(rank)
        return len(self) == 0 and self.window.is_free(now, share)

    def try_enter(self, now: float, rank: int = 0) -> bool:
        """Enter the window if it has capacity and no request waits."""
        if not self.has_room(now, rank):
            return False
        self.window.in_flight += 1
        return True

    def is_wait_too_long(
        self, priority: int, wait: float, now: float, rank: int = 0
    ) -> bool:
        """Return whether a request cannot be sent within ``wait`` seconds."""
        return wait <= 0 or self.estimate_wait(priority, now, rank) > wait

    def estimate_wait(self, priority: int, now: float, rank: int = 0) -> float:
        """Return the minimum expected wait of a request in seconds.

        Parameters
        ----------
        priority : int
            Lower is more urgent; less urgent requests are not counted.
        now : float
            Current monotonic time in seconds.
        rank : int
            Rank of the request among those of equal priority.
        """
        ahead = sum(
            each[:2] <= (priority, rank)
            for heap in self._heaps.values()
            for each in heap
        )
        seconds = self.health.estimate_seconds()
        return self.window.estimate_wait(ahead, seconds, now)

    def push(self, item: ItemT, priority: int, rank: int = 0) -> None:
        """Queue a request."""
        entry = (priority, rank, next(self._numbers), item)
        heap = self._heaps.setdefault(find_window_share(rank), [])
        heapq.heappush(heap, entry)

    def remove(self, item: ItemT) -> bool:
        """Remove a request; return False when it is not queued."""
        for heap in self._heaps.values():
            for index, entry in enumerate(heap):
                if entry[3] is item:
                    del heap[index]
                    heapq.heapify(heap)
                    return True
        return False

    def note_end(self, now: float) -> None:
        """Record the end of a request."""
        self.window.note_end(self.health.estimate_seconds(), now)

    def take(self, now: float) -> list[ItemT]:
        """Remove and return the requests that may be sent now, in order."""
        items = []
        while heap := self._find_next_heap(now):
            _, _, _, item = heapq.heappop(heap)
            self.window.in_flight += 1
            items.append(item)
        return items

    def _find_next_heap(self, now: float) -> list[_Entry[ItemT]]:
        """Return the heap with the next request that may be sent now.

        A request without room in its share does not hold up less urgent ones
        for which the rest of the window is kept.
        """
        heaps = [
            heap
            for share, heap in self._heaps.items()
            if heap and self.window.is_free(now, share)
        ]
        return min(heaps, default=[])

    def find_opening(self, now: float) -> float | None:
        """Return when the next request may be sent.

        Returns
        -------
        float or None
            Monotonic time; None if no request waits, or if the next one can
            be sent only after an answer.
        """
        openings = [
            self.window.find_opening(now, share)
            for share, heap in self._heaps.items()
            if heap
        ]
        return min((x for x in openings if x is not None), default=None)
