"""The queue of one upstream: slots, priority, deadlines, a bound."""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

import msgspec

from sedgetide.core.requests.outcomes import Reason

ItemT = TypeVar("ItemT")

_SERVICE_TIME_GAIN = 0.1


class Refusal(msgspec.Struct, frozen=True):
    """A request turned away before it was queued.

    Parameters
    ----------
    reason : Reason
        Why.
    retry_after : float
        Seconds after which asking again makes sense.
    """

    reason: Reason
    retry_after: float


class _Ticket(msgspec.Struct, Generic[ItemT], order=True):
    priority: int
    deadline: float
    number: int
    item: ItemT | None = None


class UpstreamQueue(Generic[ItemT]):
    """Requests that wait for one of an upstream's slots.

    Order: priority class, then deadline, then arrival.

    Parameters
    ----------
    slots : int
        Requests the upstream works on at a time.
    bound : int
        Requests that may wait.
    first_estimate : float
        Service time in seconds assumed before any was seen.
    """

    def __init__(self, slots: int, bound: int, first_estimate: float) -> None:
        self.slots = slots
        self._bound = bound
        self._heap: list[_Ticket[ItemT]] = []
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
        """Return how many wait that go before a newcomer."""
        return sum(1 for each in self._heap if each.priority <= priority)

    def estimate_wait(self, priority: int) -> float:
        """Return the expected wait in seconds of a newcomer.

        Only requests of its own class or a more urgent one come first.
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
            The request.
        priority : int
            Lower is more urgent.
        deadline : float
            Own clock time by which the answer is needed.
        now : float
            Own clock.

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
        ticket = _Ticket(priority, deadline, next(self._numbers), item)
        heapq.heappush(self._heap, ticket)
        return None

    def take(self, now: float) -> tuple[ItemT | None, list[ItemT]]:
        """Take the next request into a free slot.

        Returns
        -------
        item : object or None
            Request to run; None when no slot is free or nothing waits.
        expired : list
            Requests whose deadline passed while they waited.
        """
        expired: list[ItemT] = []
        while self._heap and self._running < self.slots:
            ticket = heapq.heappop(self._heap)
            if ticket.deadline <= now:
                expired.append(ticket.item)
                continue
            self._running += 1
            return ticket.item, expired
        return None, expired

    def finish(self, service_time: float | None) -> None:
        """Free a slot.

        Parameters
        ----------
        service_time : float or None
            Seconds the upstream took; None when it gave no answer.
        """
        self._running -= 1
        if service_time is not None:
            gain = _SERVICE_TIME_GAIN
            self.service_time += gain * (service_time - self.service_time)

    def remove_expired(self, now: float) -> list[ItemT]:
        """Take out the requests whose deadline has passed."""
        expired = [each.item for each in self._heap if each.deadline <= now]
        if expired:
            self._heap = [each for each in self._heap if each.deadline > now]
            heapq.heapify(self._heap)
        return expired

    def remove(self, item: ItemT) -> bool:
        """Take out one request; return False when it no longer waits."""
        for index, ticket in enumerate(self._heap):
            if ticket.item is item:
                del self._heap[index]
                heapq.heapify(self._heap)
                return True
        return False

    def clear(self) -> list[ItemT]:
        """Take out all waiting requests."""
        items = [each.item for each in self._heap]
        self._heap.clear()
        return items
