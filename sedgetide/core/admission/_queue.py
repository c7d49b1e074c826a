"""Queue of the requests of all hosts for one upstream.

Requests are ordered by priority. Within a priority, those that can still
meet their objective go before those that are late or returning, and then the
one whose last useful moment comes first. A request whose objective can no
longer be met waits on, after the others, as long as it can be answered before
its final deadline: refusing it would cost the caller a retry that is late in
any case.
"""

import heapq
import itertools
from typing import Generic
from typing import TypeVar

import msgspec

from sedgetide.core.admission._demand import Demand
from sedgetide.core.admission._demand import ServiceTimes
from sedgetide.core.admission._returns import Promises
from sedgetide.core.admission._terms import Admission
from sedgetide.core.admission._terms import AdmissionReason
from sedgetide.core.admission._terms import AdmissionVerdict
from sedgetide.core.admission._terms import RequestTerms

ItemT = TypeVar("ItemT")

_NEVER = float("inf")
# A heap is compacted when the entries of requests that have left outnumber
# the others by more than this.
_MAX_GONE = 64
_MAX_PROMISES = 1000


class _Entry(msgspec.Struct, Generic[ItemT], eq=False):
    """One waiting request.

    Parameters
    ----------
    useful_until : float
        Last moment at which a short service time meets the objective.
    final_at : float
        Final deadline; without one, the end of the useful time.
    timed : bool
        Whether the final deadline is known.
    late : bool
        Whether it is late or returning, as counted by its queue.
    gone : bool
        Whether it has left the queue; its heap entries are removed later.
    """

    item: ItemT
    priority: int
    useful_until: float
    final_at: float
    timed: bool
    late: bool
    gone: bool = False


class _PriorityQueue:
    """Waiting requests of one priority, with lazy deletion."""

    def __init__(self) -> None:
        self.in_time: list[tuple[float, int, _Entry]] = []
        self.late: list[tuple[float, int, _Entry]] = []
        self.in_time_count = 0
        self.late_count = 0

    @property
    def count(self) -> int:
        return self.in_time_count + self.late_count

    def push(self, entry: _Entry, number: int) -> None:
        if entry.late:
            heapq.heappush(self.late, (entry.useful_until, number, entry))
            self.late_count += 1
        else:
            heapq.heappush(self.in_time, (entry.useful_until, number, entry))
            self.in_time_count += 1
        _compact(self.in_time, self.in_time_count)
        _compact(self.late, self.late_count)

    def drop(self, entry: _Entry) -> None:
        entry.gone = True
        if entry.late:
            self.late_count -= 1
        else:
            self.in_time_count -= 1

    def advance(self, now: float) -> None:
        """Move the requests that have become late."""
        while self.in_time and (
            self.in_time[0][2].gone or self.in_time[0][0] < now
        ):
            useful_until, number, entry = heapq.heappop(self.in_time)
            if not entry.gone:
                entry.late = True
                self.in_time_count -= 1
                self.late_count += 1
                heapq.heappush(self.late, (useful_until, number, entry))

    def pop(self, spare: bool) -> _Entry | None:
        """Remove and return the next request.

        Parameters
        ----------
        spare : bool
            Whether a late request may have the place. One that states no
            final deadline has it in any case.
        """
        for heap in (self.in_time, self.late):
            while heap:
                entry = heap[0][2]
                if entry.late and entry.timed and not (spare or entry.gone):
                    return None
                heapq.heappop(heap)
                if not entry.gone:
                    self.drop(entry)
                    return entry
        return None


class AdmissionQueue(Generic[ItemT]):
    """Decides which requests get a place of an upstream, wait or are refused.

    Parameters
    ----------
    slots : int
        Number of places.
    bound : int
        Maximum number of waiting requests.
    first_estimate : float
        Service time in seconds assumed before the first answer.
    extra : int
        How many of the places exceed the upstream's slots. These are not
        given to late or returning requests that have waited: queued at the
        upstream, such a request would delay those that can be in time.
    """

    def __init__(
        self, slots: int, bound: int, first_estimate: float, extra: int = 0
    ) -> None:
        self.slots = slots
        self._extra = extra
        self._bound = bound
        self._numbers = itertools.count()
        self._by_priority: dict[int, _PriorityQueue] = {}
        self._entries: dict[ItemT, _Entry[ItemT]] = {}
        # Entries by their final deadline, for those that state one.
        self._finals: list[tuple[float, int, _Entry[ItemT]]] = []
        self._running = 0
        self._times = ServiceTimes(first_estimate)
        self._demand = Demand()
        self._promises = Promises(_MAX_PROMISES)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, item: ItemT) -> bool:
        return item in self._entries

    @property
    def running(self) -> int:
        """Number of places in use."""
        return self._running

    @property
    def service_time(self) -> float:
        """Mean service time in seconds."""
        return self._times.mean

    @property
    def typical_time(self) -> float:
        """Service time in seconds that most requests do not exceed."""
        return self._times.typical

    @property
    def in_time_count(self) -> int:
        """Number of waiting requests that can meet their objective."""
        return sum(queue.in_time_count for queue in self._by_priority.values())

    @property
    def late_count(self) -> int:
        """Number of waiting requests that are late or returning."""
        return sum(queue.late_count for queue in self._by_priority.values())

    def find_demand(self, now: float) -> float:
        """Return the share of the places' time that arrivals ask for."""
        return self._demand.find_rate(None, True, now) * self._place_interval

    def count_promises(self, now: float) -> int:
        """Return how many refused callers are expected to return."""
        return self._promises.count(now)

    @property
    def _place_interval(self) -> float:
        """Mean seconds between two places that become free under full use."""
        return self.service_time / self.slots

    def count_ahead(self, priority: int, late: bool) -> int:
        """Return how many waiting requests go before a new one.

        Parameters
        ----------
        priority : int
            Priority of the new request.
        late : bool
            Whether it is late or returning.
        """
        ahead = 0
        for other, queue in self._by_priority.items():
            if other < priority:
                ahead += queue.count
            elif other == priority:
                ahead += queue.count if late else queue.in_time_count
        return ahead

    def offer(
        self,
        item: ItemT,
        terms: RequestTerms,
        now: float,
        may_run: bool = True,
    ) -> Admission:
        """Decide on a request.

        Parameters
        ----------
        item : object
            Request; hashable, and not waiting yet.
        terms : RequestTerms
            What it needs.
        now : float
            Current monotonic time in seconds.
        may_run : bool
            Whether a free place may be used now; False while a rate limit
            of the upstream allows no send.
        """
        self._demand.note_arrival(terms.priority, terms.returning, now)
        if terms.returning:
            self._promises.note_return(terms.priority, now)
        self._advance(now)
        ahead = self.count_ahead(terms.priority, terms.returning)
        free = ahead == 0 and self._running < self.slots
        if free and may_run:
            self._running += 1
            return Admission(AdmissionVerdict.RUN, AdmissionReason.FREE)
        if len(self._entries) >= self._bound:
            wait = self._bound * self._place_interval
            return self.refuse(terms, AdmissionReason.FULL, wait, now)
        wait = 0.0 if free else (ahead + 1) * self._place_interval
        if terms.final is None:
            admission = self._decide_untimed(terms, wait, now)
        else:
            admission = self._decide(terms, wait, now)
        if admission.verdict is not AdmissionVerdict.REFUSE:
            self._push(item, terms, now)
        return admission

    def _decide_untimed(
        self, terms: RequestTerms, wait: float, now: float
    ) -> Admission:
        if wait + self.service_time > terms.useful:
            return self.refuse(terms, AdmissionReason.TOO_LONG, wait, now)
        return Admission(
            AdmissionVerdict.WAIT_IN_TIME, AdmissionReason.EXPECTED
        )

    def _decide(
        self, terms: RequestTerms, wait: float, now: float
    ) -> Admission:
        """Decide on a request that finds no free place."""
        typical = self.typical_time
        if not terms.returning:
            expected = self._stretch_wait(terms.priority, wait, False, now)
            if expected + typical <= min(terms.useful, terms.final):
                return Admission(
                    AdmissionVerdict.WAIT_IN_TIME, AdmissionReason.EXPECTED
                )
        late_wait = (
            self.count_ahead(terms.priority, True) + 1
        ) * self._place_interval
        if late_wait + typical > terms.final:
            return self.refuse(terms, AdmissionReason.TOO_LONG, late_wait, now)
        expected = self._stretch_wait(terms.priority, late_wait, True, now)
        if expected + typical <= terms.final:
            return Admission(
                AdmissionVerdict.WAIT_LATE, AdmissionReason.EXPECTED
            )
        if self._has_less_urgent(terms.priority):
            return Admission(
                AdmissionVerdict.WAIT_LATE, AdmissionReason.PRECEDENCE
            )
        queue = self._by_priority.get(terms.priority)
        expected = self._stretch_wait(terms.priority, late_wait, False, now)
        if (
            queue is None or queue.late_count == 0
        ) and expected + typical <= terms.final:
            # Many arrivals of its priority are refused and take no place. If
            # nothing waited, a place that becomes free would go to whichever
            # request asks next, often a less urgent one.
            return Admission(
                AdmissionVerdict.WAIT_LATE, AdmissionReason.FOREMOST
            )
        return self.refuse(terms, AdmissionReason.DEMAND, late_wait, now)

    def _stretch_wait(
        self, priority: int, wait: float, late: bool, now: float
    ) -> float:
        """Return a wait, extended by requests that arrive and go first.

        Parameters
        ----------
        priority : int
            Priority of the request that waits.
        wait : float
            Seconds until the waiting requests that go first have been served.
        late : bool
            Whether it is late or returning.
        now : float
            Current monotonic time in seconds.
        """
        demand = self._find_demand_ahead(priority, late, now)
        wait = _stretch(wait, demand)
        returns = self._promises.count_due(priority - 1, now + wait, now)
        return wait + returns * self._place_interval

    def _find_demand_ahead(
        self, priority: int, late: bool, now: float
    ) -> float:
        """Return the demand of future arrivals that go before a request."""
        return (
            self._demand.find_rate(priority, late, now) * self._place_interval
        )

    def _has_less_urgent(self, priority: int) -> bool:
        return any(
            other > priority and queue.count
            for other, queue in self._by_priority.items()
        )

    def refuse(
        self,
        terms: RequestTerms,
        reason: AdmissionReason,
        wait: float,
        now: float,
    ) -> Admission:
        """Return the refusal of a request, with the time of its return.

        Parameters
        ----------
        terms : RequestTerms
            What the request needs.
        reason : AdmissionReason
            Why it is refused.
        wait : float
            Seconds until the waiting requests that go first have been served.
        now : float
            Current monotonic time in seconds.
        """
        if terms.final is None:
            seconds = max(wait, self.service_time)
            return Admission(AdmissionVerdict.REFUSE, reason, seconds)
        demand = self._find_demand_ahead(terms.priority, True, now)
        seconds = self._promises.promise(
            terms.priority,
            _stretch(wait, demand),
            _stretch(self._place_interval, demand),
            terms.deadline,
            now,
        )
        return Admission(AdmissionVerdict.REFUSE, reason, seconds, True)

    def _push(self, item: ItemT, terms: RequestTerms, now: float) -> None:
        timed = terms.final is not None
        # Without a final deadline a request is never late: it expires.
        useful_until = now + terms.useful
        if timed:
            useful_until -= self._times.short
        entry = _Entry(
            item,
            terms.priority,
            useful_until,
            now + (terms.final if timed else terms.useful),
            timed,
            terms.returning or (timed and useful_until < now),
        )
        number = next(self._numbers)
        self._entries[item] = entry
        queue = self._by_priority.get(terms.priority)
        if queue is None:
            queue = self._by_priority[terms.priority] = _PriorityQueue()
        queue.push(entry, number)
        if timed:
            heapq.heappush(self._finals, (entry.final_at, number, entry))
            _compact(self._finals, len(self._entries))

    def _advance(self, now: float) -> None:
        for queue in self._by_priority.values():
            queue.advance(now)

    def take(self, now: float) -> tuple[ItemT | None, list[ItemT]]:
        """Take the next request into a free place.

        Returns
        -------
        item : object or None
            Request to run; None when no place is free or none waits.
        expired : list
            Requests that can no longer be answered in time.
        """
        expired = self.remove_expired(now)
        if not self._entries or self._running >= self.slots:
            return None, expired
        self._advance(now)
        spare = self._running < max(1, self.slots - self._extra)
        for priority in sorted(self._by_priority):
            queue = self._by_priority[priority]
            while (entry := queue.pop(spare)) is not None:
                del self._entries[entry.item]
                if not entry.timed and entry.final_at <= now:
                    expired.append(entry.item)
                    continue
                self._running += 1
                return entry.item, expired
            if queue.count:
                break
        return None, expired

    def remove_expired(self, now: float) -> list[ItemT]:
        """Remove the requests that can't be answered before their deadline.

        These have less than a typical service time left. Requests without a
        stated final deadline are not among them.
        """
        expired = []
        last = now + self.typical_time
        while self._finals and (
            self._finals[0][2].gone or self._finals[0][0] <= last
        ):
            entry = heapq.heappop(self._finals)[2]
            if not entry.gone:
                self._drop(entry)
                expired.append(entry.item)
        return expired

    def find_expiry(self) -> float:
        """Return when the next waiting request expires; may be infinite."""
        while self._finals and self._finals[0][2].gone:
            heapq.heappop(self._finals)
        if not self._finals:
            return _NEVER
        return self._finals[0][0] - self.typical_time

    def _drop(self, entry: _Entry[ItemT]) -> None:
        del self._entries[entry.item]
        self._by_priority[entry.priority].drop(entry)

    def finish(self, seconds: float | None, now: float) -> None:
        """Free a place.

        Parameters
        ----------
        seconds : float or None
            Service time; None when there was no answer.
        now : float
            Current monotonic time in seconds.
        """
        self._running -= 1
        if seconds is not None:
            self._times.note(seconds)

    def remove(self, item: ItemT) -> bool:
        """Remove a request; return False when it does not wait."""
        entry = self._entries.get(item)
        if entry is None:
            return False
        self._drop(entry)
        return True


def _compact(heap: list[tuple[float, int, _Entry]], count: int) -> None:
    """Remove the entries of requests that have left if they are too many.

    Otherwise, they would stay for as long as an entry before them waits.

    Parameters
    ----------
    heap : list
        Entries by time.
    count : int
        Maximum number of entries of requests that wait.
    """
    if len(heap) > 2 * count + _MAX_GONE:
        heap[:] = [each for each in heap if not each[2].gone]
        heapq.heapify(heap)


def _stretch(wait: float, demand: float) -> float:
    """Return a wait during which arrivals that go first take their share."""
    return wait / (1.0 - demand) if demand < 1.0 else _NEVER
