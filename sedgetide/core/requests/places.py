"""Admission control for upstreams that are shared by many hosts.

A place is a permit to send one request to an upstream. With many more hosts
than an upstream has slots, each host sends it a request only once in many
seconds, and cannot tell from its own window whether others send at the same
moment. Therefore one host, the lender, keeps the queue of an upstream for all
hosts: they ask it for a place and send their requests themselves.

Neither ownership nor the reported outcome of a request depends on this. The
loss of a lender, or two lenders that briefly lend the same places, affects
only ordering and latency: the upstream itself refuses keys that it does not
own, and can queue a few requests beyond its slots.

The lender also enforces rate limits: of cold upstreams, and of upstreams that
state a limit. To these, a host that gets no response from a lender sends
nothing.
"""

import enum
from typing import Any

import msgspec

from sedgetide.core.admission import AdmissionQueue
from sedgetide.core.admission import AdmissionReason
from sedgetide.core.admission import AdmissionVerdict
from sedgetide.core.admission import RequestTerms
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.coldstart import RecentSends
from sedgetide.core.requests.health import DEFAULT_SERVICE_TIME
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.ratelimits import TokenBucket

# A lost holder never returns its place. After this multiple of the service
# time, and at least this many seconds, its request has ended in all but a few
# cases; in those, one request too many waits at the upstream.
_LOAN_FACTOR = 6.0
_MIN_LOAN = 2.0
# Requests waiting for one upstream. Most are refused much earlier because of
# the expected wait; this limits memory if callers wait for hours.
_MAX_WAITING = 1000
# Seconds without a request after which the queue of an upstream is removed.
_IDLE_EXPIRY = 30.0
# Seconds; callers refused because of a limit have retried by then.
_ACTIVE_SECONDS = 3.0
# Places lent in excess of an upstream's slots. Between two requests a place
# returns to the lender and goes on to another host, and the slot would be idle
# meanwhile. One request queued at the upstream keeps it busy; with more,
# urgent requests could not go first.
_EXTRA_PLACES = 1
_NEVER = float("inf")
# Seconds by which the lender lets a request expire earlier than its final
# deadline requires: its messages take a millisecond or two between data
# centres, and longer on a busy host.
_TRANSIT_SECONDS = 0.01
# Seconds; a cold upstream that can handle nothing at all is warm by then.
_MAX_COLD_WAIT = 3.0


def rank_request(priority: int, overdue: bool) -> int:
    """Return the priority of a request in a lender's queue.

    Among requests of the same priority, those that can still meet their
    objective go first. Otherwise, overdue retries would delay the others past
    their objective.

    Parameters
    ----------
    priority : int
        Priority of the route; lower is more urgent.
    overdue : bool
        Whether the request was refused before and is already late.
    """
    return 2 * priority + int(overdue)


def _make_terms(
    rank: int, left: float, final: float | None, deadline: float | None
) -> RequestTerms:
    """Return the terms of a request with a rank of :func:`rank_request`."""
    if final is not None:
        final = max(0.0, final - _TRANSIT_SECONDS)
    return RequestTerms(rank // 2, rank % 2 == 1, left, final, deadline)


class RequestClass(enum.Enum):
    """Class of a request in the counters of a lender.

    ``unstated`` is the class of requests without a stated final deadline.
    """

    IN_TIME = "in-time"
    LATE = "late"
    RETURNING = "returning"
    UNSTATED = "unstated"


class Verdict(enum.Enum):
    """Response to a host that asks for permission to send a request.

    ``needless`` is the response to a trial for which permission is no longer
    needed; it is never given for a place.
    """

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"
    NEEDLESS = "needless"


class Ticket(msgspec.Struct, frozen=True):
    """Identifies a request that needs a place.

    Parameters
    ----------
    holder : LinkAddress
        Link address of the requesting host.
    number : int
        Number of the request on that host.
    """

    holder: LinkAddress
    number: int


class Decision(msgspec.Struct, frozen=True):
    """Decision on a ticket.

    Parameters
    ----------
    ticket : Ticket
        Request that is decided on.
    verdict : Verdict
        Response to its holder.
    retry_after : float
        Seconds after which a refused caller should retry.
    reason : AdmissionReason
        Why it was decided so.
    request_class : RequestClass
        Class of the request at the time of the decision.
    service_time : float or None
        Typical service time in seconds, if the request states its final
        deadline and has to wait or has waited. Its host does not send it when
        less time than that is left.
    promised : bool
        Whether the lender counts on the return of a refused caller after
        ``retry_after``.
    """

    ticket: Ticket
    verdict: Verdict
    retry_after: float = 0.0
    reason: AdmissionReason = AdmissionReason.EXPECTED
    request_class: RequestClass = RequestClass.UNSTATED
    service_time: float | None = None
    promised: bool = False


class _UpstreamPlaces:
    """Places of one upstream, and the requests that wait for them."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._recent = RecentSends()
        self._cold_bound: int | None = None
        self._bucket = TokenBucket()
        self._queue: AdmissionQueue[Ticket] = AdmissionQueue(
            slots + _EXTRA_PLACES,
            _MAX_WAITING,
            DEFAULT_SERVICE_TIME,
            _EXTRA_PLACES,
        )
        self._terms: dict[Ticket, tuple[RequestTerms, float]] = {}
        self._lent: dict[Ticket, float] = {}
        self.used_at = float("-inf")

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._lent or ticket in self._terms

    def ask(
        self,
        ticket: Ticket,
        terms: RequestTerms,
        now: float,
        cold_bound: int | None,
        limit: StatedLimit | None,
    ) -> list[Decision]:
        self.used_at = now
        self._cold_bound = cold_bound
        if limit is not None:
            self._bucket.note(limit, now)
        if self._is_limited and terms.final is not None:
            # A rate limit bounds the wait by itself, so a request that would
            # be late is told when the limit allows it.
            terms = msgspec.structs.replace(terms, final=None)
        ahead = self._queue.count_ahead(terms.priority, terms.returning)
        limit_wait = self._find_limit_wait(ahead, now)
        if (
            limit_wait > 0.0
            and limit_wait + self._queue.service_time > terms.useful
        ):
            return [
                Decision(
                    ticket,
                    Verdict.REFUSED,
                    limit_wait,
                    AdmissionReason.LIMIT,
                    _classify(terms, 0.0),
                )
            ]
        admission = self._queue.offer(ticket, terms, now, limit_wait <= 0.0)
        request_class = _classify(terms, 0.0)
        if admission.verdict is AdmissionVerdict.RUN:
            return [
                self._grant(ticket, AdmissionReason.FREE, request_class, now)
            ]
        if admission.verdict is AdmissionVerdict.REFUSE:
            return [
                Decision(
                    ticket,
                    Verdict.REFUSED,
                    admission.retry_after,
                    admission.reason,
                    request_class,
                    promised=admission.promised,
                )
            ]
        self._terms[ticket] = (terms, now)
        if (
            admission.verdict is AdmissionVerdict.WAIT_LATE
            and request_class is RequestClass.IN_TIME
        ):
            request_class = RequestClass.LATE
        decisions = self._admit(now)
        if ticket in self._queue:
            decisions.append(
                Decision(
                    ticket,
                    Verdict.QUEUED,
                    0.0,
                    admission.reason,
                    request_class,
                    None if terms.final is None else self._queue.typical_time,
                )
            )
        return decisions

    def note_limit(self, said: StatedLimit, now: float) -> list[Decision]:
        """Update the limit of the upstream from an answer."""
        self._bucket.note(said, now)
        return self._admit(now)

    def end(
        self, ticket: Ticket, seconds: float | None, waiting: int, now: float
    ) -> list[Decision]:
        if self._queue.remove(ticket):
            del self._terms[ticket]
            # A late request keeps less urgent ones from the extra place.
            return self._admit(now)
        if self._lent.pop(ticket, None) is None:
            return []
        self._queue.finish(seconds, now)
        # Any other request queued at the upstream was sent without a place
        # and takes the slot that has just become free.
        without_place = max(0, waiting - _EXTRA_PLACES)
        self._queue.slots = max(1, self._slots + _EXTRA_PLACES - without_place)
        return self._admit(now)

    def expire(self, now: float) -> list[Decision]:
        overdue = [each for each, end in self._lent.items() if end <= now]
        for ticket in overdue:
            del self._lent[ticket]
            self._queue.finish(None, now)
        return self._admit(now) if overdue or self._terms else []

    @property
    def _is_limited(self) -> bool:
        return self._cold_bound is not None or self.rate is not None

    def _find_limit_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until the limits allow another send."""
        limit_wait = self._bucket.find_wait(ahead, now)
        if self._cold_bound is None:
            return limit_wait
        cold = self._recent.find_wait(self._cold_bound, ahead, now)
        return max(limit_wait, min(_MAX_COLD_WAIT, cold))

    @property
    def rate(self) -> float | None:
        """Limit stated by the upstream, in requests per second."""
        return self._bucket.rate

    def find_opening(self, now: float) -> float | None:
        """Return the seconds until the limits allow another send.

        Returns
        -------
        float or None
            None when no request waits for a limit.
        """
        if not self._terms or not self._is_limited:
            return None
        limit_wait = self._find_limit_wait(0, now)
        return limit_wait if limit_wait > 0.0 else None

    def find_expiry(self) -> float:
        return self._queue.find_expiry()

    def _admit(self, now: float) -> list[Decision]:
        decisions = []
        while self._find_limit_wait(0, now) <= 0.0:
            ticket, expired = self._queue.take(now)
            for each in expired:
                decisions.append(self._expire(each, now))
            if ticket is None:
                return decisions
            terms, asked_at = self._terms.pop(ticket)
            request_class = _classify(terms, now - asked_at)
            granted = self._grant(
                ticket, AdmissionReason.NEXT, request_class, now
            )
            if terms.final is not None:
                granted = msgspec.structs.replace(
                    granted, service_time=self._queue.typical_time
                )
            decisions.append(granted)
        decisions += [
            self._expire(each, now) for each in self._queue.remove_expired(now)
        ]
        return decisions

    def _grant(
        self,
        ticket: Ticket,
        reason: AdmissionReason,
        request_class: RequestClass,
        now: float,
    ) -> Decision:
        loan = max(_MIN_LOAN, _LOAN_FACTOR * self._queue.service_time)
        self._lent[ticket] = now + loan
        self._recent.note(now)
        self._bucket.take(now)
        return Decision(ticket, Verdict.GRANTED, 0.0, reason, request_class)

    def _expire(self, ticket: Ticket, now: float) -> Decision:
        terms, asked_at = self._terms.pop(ticket)
        waited = now - asked_at
        if terms.deadline is not None:
            terms = msgspec.structs.replace(
                terms, deadline=terms.deadline - waited
            )
        refusal = self._queue.refuse(
            terms, AdmissionReason.EXPIRED, self._queue.service_time, now
        )
        return Decision(
            ticket,
            Verdict.REFUSED,
            refusal.retry_after,
            refusal.reason,
            _classify(terms, waited),
            promised=refusal.promised,
        )

    @property
    def idle(self) -> bool:
        return not self._lent and not self._terms

    def dump_state(self, now: float) -> dict[str, Any]:
        """Return the fields of the state dump."""
        return {
            "slots": self._slots,
            "lent": len(self._lent),
            "waiting_in_time": self._queue.in_time_count,
            "waiting_late": self._queue.late_count,
            "demand": round(self._queue.find_demand(now), 2),
            "promises": self._queue.count_promises(now),
        }


def _classify(terms: RequestTerms, waited: float) -> RequestClass:
    if terms.final is None:
        return RequestClass.UNSTATED
    if terms.returning:
        return RequestClass.RETURNING
    return RequestClass.IN_TIME if waited < terms.useful else RequestClass.LATE


class Lender:
    """Queues of the upstreams whose places one host lends.

    Requests of all hosts are admitted by priority, then by deadline. A
    request that cannot be answered in the time that it has is refused at
    once, with the time after which a retry makes sense.
    """

    def __init__(self) -> None:
        self._places: dict[IncarnationName, _UpstreamPlaces] = {}
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
        final: float | None = None,
        deadline: float | None = None,
    ) -> list[Decision]:
        """Handle a request for a place.

        Parameters
        ----------
        ticket : Ticket
            Request that needs the place.
        upstream : IncarnationName
            Upstream to which it is to be sent.
        slots : int
            Number of requests that the upstream runs concurrently.
        priority : int
            As returned by :func:`rank_request`.
        left : float
            Seconds within which an answer meets the objective.
        now : float
            Current monotonic time in seconds.
        cold_bound : int or None
            Maximum number of sends per window to a cold upstream; None when
            it is warm.
        limit : StatedLimit or None
            Limit of the upstream as known to the requesting host, in local
            monotonic time; None when it knows of none.
        final : float or None
            Seconds until the route timeout or the caller's deadline,
            whichever is first; None when not stated.
        deadline : float or None
            Seconds until the caller's deadline; None when not stated.

        Returns
        -------
        list of Decision
            Decisions on this ticket and on others that it affects.
        """
        decisions = self.end(ticket, None, 0, now)
        places = self._places.get(upstream)
        if places is None:
            places = self._places[upstream] = _UpstreamPlaces(slots)
        self._upstreams[ticket] = upstream
        terms = _make_terms(priority, left, final, deadline)
        decisions += places.ask(ticket, terms, now, cold_bound, limit)
        return self._drop_refused(decisions)

    def end(
        self,
        ticket: Ticket,
        seconds: float | None,
        waiting: int,
        now: float,
        said: StatedLimit | None = None,
    ) -> list[Decision]:
        """Handle the return of a place, or the end of the wait for one.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the request; unknown ones are ignored.
        seconds : float or None
            Service time of the request; None when it got no answer.
        waiting : int
            Number of requests queued at the upstream, as it reported.
        now : float
            Current monotonic time in seconds.
        said : StatedLimit or None
            Limit stated in the answer, in local monotonic time; None without
            an answer.
        """
        upstream = self._upstreams.pop(ticket, None)
        if upstream is None:
            return []
        places = self._places[upstream]
        decisions = []
        if said is not None:
            decisions += places.note_limit(said, now)
        decisions += places.end(ticket, seconds, waiting, now)
        return self._drop_refused(decisions)

    def find_opening(self, now: float) -> float | None:
        """Return the seconds until a limit admits a waiting request.

        Returns
        -------
        float or None
            None when no request waits for a limit.
        """
        openings = [
            places.find_opening(now) for places in self._places.values()
        ]
        return min(
            (each for each in openings if each is not None), default=None
        )

    def find_wakeup(self, now: float) -> float | None:
        """Return the seconds until a waiting request is granted or expires.

        Returns
        -------
        float or None
            None when no request waits for a limit or until its final
            deadline.
        """
        expiries = [places.find_expiry() for places in self._places.values()]
        expiry = min(expiries, default=_NEVER)
        opening = self.find_opening(now)
        if expiry == _NEVER:
            return opening
        expiry = max(0.0, expiry - now)
        return expiry if opening is None else min(opening, expiry)

    def expire(self, now: float) -> list[Decision]:
        """Reclaim the places of lost holders and remove idle queues."""
        decisions = []
        for name, places in list(self._places.items()):
            decisions += places.expire(now)
            if places.idle and now - places.used_at > _IDLE_EXPIRY:
                del self._places[name]
        self._upstreams = {
            ticket: name
            for ticket, name in self._upstreams.items()
            if name in self._places and ticket in self._places[name]
        }
        return self._drop_refused(decisions)

    def list_limits(self, now: float) -> dict[IncarnationName, float]:
        """Return the limits of upstreams with recent requests.

        Limits are in requests per second.
        """
        return {
            name: places.rate
            for name, places in self._places.items()
            if places.rate is not None
            and now - places.used_at < _ACTIVE_SECONDS
        }

    def dump_state(self, now: float) -> dict[IncarnationName, dict[str, Any]]:
        """Return the rows of the state dump, by upstream."""
        return {
            name: places.dump_state(now)
            for name, places in self._places.items()
        }

    def _drop_refused(self, decisions: list[Decision]) -> list[Decision]:
        for each in decisions:
            if each.verdict is Verdict.REFUSED:
                self._upstreams.pop(each.ticket, None)
        return decisions
