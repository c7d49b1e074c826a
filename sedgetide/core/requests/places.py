"""Places at an upstream, lent to hosts that do not know of each other.

With many more hosts than an upstream has slots, each host sends it a request
once in many seconds, and no window of its own tells it whether others do so
at the same moment. One host, the lender, therefore keeps the queue of an
upstream for all: they ask it for a place and send their requests themselves.

Ownership and what may be told of a request do not rest on it. A lender that
is lost, or two that lend the same places for a moment, cost order and time:
the upstream itself refuses keys that it does not hold, and has room for a
few requests more than its slots.

The lender also counts what may be sent at all where that is bounded: to a
cold upstream, and to one that names a limit. There a host that hears no
lender sends nothing.
"""

import enum

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.coldstart import RecentSends
from sedgetide.core.requests.health import FIRST_GUESS
from sedgetide.core.requests.queues import UpstreamQueue
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.ratelimits import TokenBucket

# A holder that is lost never gives its place back. After so many times what
# requests take there, and this many seconds at least, its request has ended
# in all but a few cases; one too many waits at the upstream then.
_LOAN_TIMES = 6.0
_LEAST_LOAN = 2.0
# Requests that wait for one upstream. Most are refused long before, by the
# time they would have to wait; this bounds memory if callers wait for hours.
_MOST_WAITING = 1000
# Seconds without a request after which an upstream's queue is forgotten.
_FORGOTTEN_AFTER = 30.0
# Seconds; callers who were refused for a limit are back by then.
_ASKED_FOR = 3.0
# Places lent beyond an upstream's slots. Between two requests a place goes to
# the lender and on to another host, and the slot would be idle for as long.
# One request that waits at the upstream fills it; more of them could not be
# overtaken by urgent ones.
_AHEAD = 1
_UNBOUNDED = float("inf")
# Seconds; a cold upstream that bears nothing at all is warm by then.
_LONGEST_REST = 3.0


def rank_request(priority: int, overdue: bool) -> int:
    """Return the place of a request in the order of a lender's queue.

    Of equally urgent requests those go first that can still be answered in
    time: callers who come back late would otherwise make the others late.

    Parameters
    ----------
    priority : int
        Of its route; lower is more urgent.
    overdue : bool
        Whether its caller was refused before and is late already.
    """
    return 2 * priority + int(overdue)


class Verdict(enum.Enum):
    """What is said to a host that asks for leave to send a request.

    ``needless``: none is needed any more; no place is ever needless.
    """

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"
    NEEDLESS = "needless"


class Ticket(msgspec.Struct, frozen=True):
    """One request that needs a place.

    Parameters
    ----------
    holder : LinkAddress
        Host that asks.
    number : int
        Its own number of the request.
    """

    holder: LinkAddress
    number: int


class Decision(msgspec.Struct, frozen=True):
    """What becomes of a ticket.

    Parameters
    ----------
    ticket : Ticket
        Which.
    verdict : Verdict
        What its holder may do.
    retry_after : float
        Seconds after which a refused caller does well to come again.
    """

    ticket: Ticket
    verdict: Verdict
    retry_after: float = 0.0


class _Places:
    """Places of one upstream, and who waits for them."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._recent = RecentSends()
        self._cold_bound: int | None = None
        self._bucket = TokenBucket()
        self._queue: UpstreamQueue[Ticket] = UpstreamQueue(
            slots + _AHEAD, _MOST_WAITING, FIRST_GUESS
        )
        self._waiting: dict[Ticket, Ticket] = {}
        self._lent: dict[Ticket, float] = {}
        self.used_at = float("-inf")

    def ask(
        self,
        ticket: Ticket,
        priority: int,
        left: float,
        now: float,
        cold_bound: int | None,
        limit: StatedLimit | None,
    ) -> list[Decision]:
        self.used_at = now
        self._cold_bound = cold_bound
        if limit is not None:
            self._bucket.note(limit, now)
        rest = self._find_rest(self._queue.count_ahead(priority), now)
        if rest > 0.0 and rest + self._queue.service_time > left:
            return [Decision(ticket, Verdict.REFUSED, rest)]
        free = rest <= 0.0 and self._queue.estimate_wait(priority) == 0.0
        # Where a place is free, trying costs nobody else anything.
        deadline = _UNBOUNDED if free else now + left
        refusal = self._queue.offer(ticket, priority, deadline, now)
        if refusal is not None:
            return [Decision(ticket, Verdict.REFUSED, refusal.retry_after)]
        self._waiting[ticket] = ticket
        decisions = self._admit(now)
        if ticket in self._waiting:
            decisions.append(Decision(ticket, Verdict.QUEUED))
        return decisions

    def note_limit(self, said: StatedLimit, now: float) -> list[Decision]:
        """Take in what an answer said of the upstream's limit."""
        self._bucket.note(said, now)
        return self._admit(now)

    def end(
        self, ticket: Ticket, seconds: float | None, waiting: int, now: float
    ) -> list[Decision]:
        queued = self._waiting.pop(ticket, None)
        if queued is not None:
            self._queue.remove(queued)
            return []
        if self._lent.pop(ticket, None) is None:
            return []
        self._queue.finish(seconds)
        # Whoever else waits at the upstream was sent there without a place,
        # and takes the slot that has just become free.
        strange = max(0, waiting - _AHEAD)
        self._queue.slots = max(1, self._slots + _AHEAD - strange)
        return self._admit(now)

    def expire(self, now: float) -> list[Decision]:
        overdue = [each for each, end in self._lent.items() if end <= now]
        for ticket in overdue:
            del self._lent[ticket]
            self._queue.finish(None)
        rested = self._bounded and bool(self._waiting)
        return self._admit(now) if overdue or rested else []

    @property
    def _bounded(self) -> bool:
        return self._cold_bound is not None or self.rate is not None

    def _find_rest(self, ahead: int, now: float) -> float:
        """Return for how long the upstream may be sent nothing more."""
        rest = self._bucket.find_wait(ahead, now)
        if self._cold_bound is None:
            return rest
        cold = self._recent.find_wait(self._cold_bound, ahead, now)
        return max(rest, min(_LONGEST_REST, cold))

    @property
    def rate(self) -> float | None:
        """Limit of the upstream, in requests a second."""
        return self._bucket.rate

    def find_opening(self, now: float) -> float | None:
        """Return after how long a bound lets one more through.

        Returns
        -------
        float or None
            None when nobody waits for that.
        """
        if not self._waiting or not self._bounded:
            return None
        rest = self._find_rest(0, now)
        return rest if rest > 0.0 else None

    def _admit(self, now: float) -> list[Decision]:
        decisions = []
        loan = max(_LEAST_LOAN, _LOAN_TIMES * self._queue.service_time)
        while self._find_rest(0, now) <= 0.0:
            ticket, expired = self._queue.take(now)
            for each in expired:
                del self._waiting[each]
                wait = self._queue.service_time
                decisions.append(Decision(each, Verdict.REFUSED, wait))
            if ticket is None:
                return decisions
            del self._waiting[ticket]
            self._lent[ticket] = now + loan
            self._recent.note(now)
            self._bucket.take(now)
            decisions.append(Decision(ticket, Verdict.GRANTED))
        return decisions

    @property
    def idle(self) -> bool:
        return not self._lent and not self._waiting


class Lender:
    """Queues of all upstreams whose places one host lends.

    The most urgent request of all hosts goes first, then the one whose
    answer is needed soonest. One that would have to wait too long is
    refused at once, with the time after which asking again makes sense.
    """

    def __init__(self) -> None:
        self._places: dict[IncarnationName, _Places] = {}
        self._upstreams: dict[Ticket, IncarnationName] = {}

    def ask(
        self,
        ticket: Ticket,
        upstream: IncarnationName,
        slots: int,
        priority: int,
        left: float,
        now: float,
        cold_bound: int | None = None,
        limit: StatedLimit | None = None,
    ) -> list[Decision]:
        """Take in a request for a place.

        Parameters
        ----------
        ticket : Ticket
            Who asks.
        upstream : IncarnationName
            Where.
        slots : int
            Requests that the upstream works on at a time.
        priority : int
            Lower is more urgent.
        left : float
            Seconds within which the answer is needed.
        now : float
            Own clock.
        cold_bound : int or None
            Most sends to allow while the upstream is cold; None when it is
            warm.
        limit : StatedLimit or None
            What the asking host has heard of the upstream's limit, by the
            own clock; None when it has heard of none.

        Returns
        -------
        list of Decision
            For this ticket, and for others that it affects.
        """
        decisions = self.end(ticket, None, 0, now)
        places = self._places.get(upstream)
        if places is None:
            places = self._places[upstream] = _Places(slots)
        self._upstreams[ticket] = upstream
        decisions += places.ask(ticket, priority, left, now, cold_bound, limit)
        return self._settle(decisions)

    def end(
        self,
        ticket: Ticket,
        seconds: float | None,
        waiting: int,
        now: float,
        said: StatedLimit | None = None,
    ) -> list[Decision]:
        """Take in that a place is given back or no longer waited for.

        Parameters
        ----------
        ticket : Ticket
            Whose; one that is not known changes nothing.
        seconds : float or None
            How long the upstream took; None when it gave no answer.
        waiting : int
            Requests that wait at the upstream itself, as it said.
        now : float
            Own clock.
        said : StatedLimit or None
            What its answer said of the upstream's limit, by the own clock;
            None without an answer.
        """
        upstream = self._upstreams.pop(ticket, None)
        if upstream is None:
            return []
        places = self._places[upstream]
        decisions = []
        if said is not None:
            decisions += places.note_limit(said, now)
        decisions += places.end(ticket, seconds, waiting, now)
        return self._settle(decisions)

    def find_opening(self, now: float) -> float | None:
        """Return after how long a bound lets a waiting request through.

        Returns
        -------
        float or None
            None when none waits for that.
        """
        openings = [
            places.find_opening(now) for places in self._places.values()
        ]
        return min(
            (each for each in openings if each is not None), default=None
        )

    def expire(self, now: float) -> list[Decision]:
        """Take back places whose holders were lost; forget idle queues."""
        decisions = []
        for name, places in list(self._places.items()):
            decisions += places.expire(now)
            if places.idle and now - places.used_at > _FORGOTTEN_AFTER:
                del self._places[name]
        self._upstreams = {
            ticket: name
            for ticket, name in self._upstreams.items()
            if name in self._places
        }
        return self._settle(decisions)

    def list_limits(self, now: float) -> dict[IncarnationName, float]:
        """Return the limits of upstreams that are asked for just now.

        In requests a second.
        """
        return {
            name: places.rate
            for name, places in self._places.items()
            if places.rate is not None and now - places.used_at < _ASKED_FOR
        }

    def _settle(self, decisions: list[Decision]) -> list[Decision]:
        for each in decisions:
            if each.verdict is Verdict.REFUSED:
                self._upstreams.pop(each.ticket, None)
        return decisions
