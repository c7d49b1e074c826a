"""Bounded priority queue of the requests for one upstream."""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

import msgspec

from sedgetide.core.requests.outcomes import Reason

ItemT = TypeVar("ItemT")

_SMOOTHING = 0.1


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a request that was not queued.

    Parameters
    ----------
    reason : Reason
        Reason of the refusal.
    retry_after : float
        Seconds after which a retry makes sense.
    """

    reason: Reason
    retry_after: float


class _QueueEntry(msgspec.Struct, Generic[ItemT], order=True):
    priority: int
    deadline: float
    number: int
    item: ItemT | None = None


class UpstreamQueue(Generic[ItemT]):
    """Requests that wait for a slot of an upstream.

    They are ordered by priority, then deadline, then arrival.

    Parameters
    ----------
    slots : int
        Number of requests that the upstream runs concurrently.
    bound : int
        Maximum number of waiting requests.
    first_estimate : float
        Service time in seconds assumed before the first answer.
    """

    def __init__(self, slots: int, bound: int, first_estimate: float) -> None:
        self.slots = slots
        self._bound = bound
        self._heap: list[_QueueEntry[ItemT]] = []
        self._numbers = itertools.count()
        self._running = 0
        self.service_time = first_estimate

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    def count_ahead(self, priority: int) -> int:
        """Return how many waiting requests go before a new one."""
        return sum(1 for each in self._heap if each.priority <= priority)

    def estimate_wait(self, priority: int) -> float:
        """Return the expected wait of a new request in seconds.

        Only requests of the same or a more urgent priority go first.
        """
        ahead = self.count_ahead(priority)
        if ahead == 0 and self._running < self.slots:
            return 0.0
        return (ahead + 1) * self.service_time / self.slots

    def offer(
        self, item: ItemT, priority: int, deadline: float, now: float
    ) -> Refusal | None:
        """Queue a request, or refuse it at once.

        Parameters
        ----------
        item : object
            Request to queue.
        priority : int
            Lower is more urgent.
        deadline : float
            Monotonic time by which the answer is needed.
        now : float
            Current monotonic time in seconds.

        Returns
        -------
        Refusal or None
            None when the request was queued.
        """
        if len(self._heap) >= self._bound:
            return Refusal(
                Reason.OVERLOAD, self._bound * self.service_time / self.slots
            )
        wait = self.estimate_wait(priority)
        if now + wait + self.service_time > deadline:
            return Refusal(Reason.OVERLOAD, max(wait, self.service_time))
        entry = _QueueEntry(priority, deadline, next(self._numbers), item)
        heapq.heappush(self._heap, entry)
        return None

    def take(self, now: float) -> tuple[ItemT | None, list[ItemT]]:
        """Take the next request into a free slot.

        Returns
        -------
        item : object or None
            Request to run; None when no slot is free or the queue is empty.
        expired : list
            Requests whose deadline passed while waiting.
        """
        expired: list[ItemT] = []
        while self._heap and self._running < self.slots:
            entry = heapq.heappop(self._heap)
            if entry.deadline <= now:
                expired.append(entry.item)
                continue
            self._running += 1
            return entry.item, expired
        return None, expired

    def finish(self, service_time: float | None) -> None:
        """Free a slot.

        Parameters
        ----------
        service_time : float or None
            Service time in seconds; None when there was no answer.
        """
        self._running -= 1
        if service_time is not None:
            smoothing = _SMOOTHING
            self.service_time += smoothing * (service_time - self.service_time)

    def remove_expired(self, now: float) -> list[ItemT]:
        """Remove and return the requests whose deadline has passed."""
        expired = [each.item for each in self._heap if each.deadline <= now]
        if expired:
            self._heap = [each for each in self._heap if each.deadline > now]
            heapq.heapify(self._heap)
        return expired

    def remove(self, item: ItemT) -> bool:
        """Remove a request; return False when it is not queued."""
        for index, entry in enumerate(self._heap):
            if entry.item is item:
                del self._heap[index]
                heapq.heapify(self._heap)
                return True
        return False

    def clear(self) -> list[ItemT]:
        """Remove and return all waiting requests."""
        items = [each.item for each in self._heap]
        self._heap.clear()
        return items
