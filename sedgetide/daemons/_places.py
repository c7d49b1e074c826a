"""Places at upstreams: acquired by each host, granted by the lenders."""

from collections.abc import Callable
import itertools
import random

import gevent
import msgspec

from sedgetide.coding.messages import AskPlace
from sedgetide.coding.messages import EndPlace
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import PlaceVerdict
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.places import Decision
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import PLACES
from sedgetide.daemons._pendingverdict import PendingVerdict
from sedgetide.runtime.clock import read_clock

# Seconds for which a lender that did not reply is not asked again. A lost
# lender is replaced within two, and one probe a second delays few requests.
_SILENT_PERIOD = 1.0
_MAX_FIRST_NUMBER = 2**30

Send = Callable[[LinkAddress, Message], None]


class PlaceRefused(msgspec.Struct, frozen=True):
    """A lender's refusal: no place becomes free in time.

    Parameters
    ----------
    retry_after : float
        Seconds after which to ask again.
    """

    retry_after: float


class Place:
    """Lease of one of an upstream's slots, held for a single request.

    One host, the lender, leases the slots of an upstream to all hosts, which
    do not know of each other's requests.

    Parameters
    ----------
    on_release : callable
        Called with the service time in seconds (None without an answer), the
        number of requests that waited at the upstream, and the limit that
        the answer stated.
    """

    def __init__(
        self,
        on_release: Callable[[float | None, int, StatedLimit | None], None],
    ) -> None:
        self._on_release = on_release
        self._seconds: float | None = None
        self._waiting = 0
        self._stated_limit: StatedLimit | None = None

    def note_answer(
        self,
        seconds: float | None,
        waiting: int,
        stated_limit: StatedLimit | None = None,
    ) -> None:
        """Record what to report to the lender about the answer."""
        self._seconds = seconds
        self._waiting = waiting
        self._stated_limit = stated_limit

    def release(self) -> None:
        """Return the place to the lender."""
        self._on_release(self._seconds, self._waiting, self._stated_limit)


class Places:
    """Acquires places for a host's requests, and grants them as a lender.

    Parameters
    ----------
    link : LinkAddress
        Link address of this host.
    deployment : DeploymentState
        Lists the lenders.
    send : callable
        Sends a message to a host.
    rng : random.Random
        Chooses the first message number, since lenders may still know
        numbers from an earlier run of this host.
    """

    def __init__(
        self,
        link: LinkAddress,
        deployment: DeploymentState,
        send: Send,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._deployment = deployment
        self._send = send
        self._numbers = itertools.count(rng.randrange(_MAX_FIRST_NUMBER))
        self._pending: dict[int, PendingVerdict] = {}
        self._silent_until: dict[LinkAddress, float] = {}
        self._lender = Lender()
        self._timer: gevent.Greenlet | None = None

    def acquire(
        self,
        upstream: RegisteredUpstream,
        priority: int,
        left: float,
        cold_bound: int | None = None,
        limit: StatedLimit | None = None,
    ) -> Place | PlaceRefused | None:
        """Ask the lender for a place at an upstream and wait for it.

        Parameters
        ----------
        upstream : RegisteredUpstream
            The upstream.
        priority : int
            Lower is more urgent.
        left : float
            Seconds within which the answer is needed.
        cold_bound : int or None
            Most sends that the lender may allow while the upstream is cold;
            None when it is warm.
        limit : StatedLimit or None
            Rate limit that the upstream states; None for none.

        Returns
        -------
        Place, PlaceRefused or None
            None when there is no lender or it does not reply: the loss of a
            lender must not make its upstreams unreachable.
        """
        lenders = self._deployment.lenders
        link = lenders.find(upstream)
        if link is None or self._is_silent(link):
            return None
        bounded = cold_bound is not None or limit is not None
        if lenders.rate_limited_only and not bounded:
            return None
        number = next(self._numbers)
        pending = self._pending[number] = PendingVerdict(number, link)
        message = AskPlace(
            number,
            upstream.name,
            upstream.slots,
            priority,
            round(left, 3),
            cold_bound,
            None if limit is None else limit.shift(-read_clock()),
        )
        granted = False
        try:
            self._deliver(link, message)
            verdict = pending.wait_first_verdict()
            if verdict is Verdict.QUEUED:
                verdict = pending.wait_final_verdict(left)
            if verdict is None:
                self._silent_until[link] = read_clock() + _SILENT_PERIOD
            granted = verdict is Verdict.GRANTED
        finally:
            del self._pending[number]
            # Also when the caller has left or the verdict arrives too late:
            # an unused place is lost until its lease expires.
            if not granted and pending.verdict is not Verdict.REFUSED:
                self._deliver(link, EndPlace(number))
        PLACES.labels("silent" if verdict is None else verdict.value).inc()
        if granted:
            return Place(
                lambda seconds, waiting, stated_limit: self._deliver(
                    link,
                    EndPlace(
                        number,
                        seconds,
                        waiting,
                        None
                        if stated_limit is None
                        else stated_limit.shift(-read_clock()),
                    ),
                )
            )
        return None if verdict is None else PlaceRefused(pending.retry_after)

    def _is_silent(self, link: LinkAddress) -> bool:
        return read_clock() < self._silent_until.get(link, float("-inf"))

    def _deliver(
        self, link: LinkAddress, message: AskPlace | EndPlace
    ) -> None:
        if link == self._link:
            self.handle_message(message, link)
        else:
            self._send(link, message)

    def handle_message(
        self, message: AskPlace | EndPlace | PlaceVerdict, sender: LinkAddress
    ) -> None:
        """Handle a message about a place."""
        now = read_clock()
        if isinstance(message, PlaceVerdict):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.set_verdict(message.verdict, message.retry_after)
            return
        ticket = Ticket(sender, message.number)
        if isinstance(message, AskPlace):
            decisions = self._lender.ask(
                ticket,
                message.upstream,
                message.slots,
                message.priority,
                message.left,
                now,
                self._find_cold_bound(message, now),
                None if message.limit is None else message.limit.shift(now),
            )
        else:
            decisions = self._lender.end(
                ticket,
                message.seconds,
                message.waiting,
                now,
                None if message.said is None else message.said.shift(now),
            )
        self._deliver_decisions(decisions)

    def _find_cold_bound(self, message: AskPlace, now: float) -> int | None:
        """Return the lower of both hosts' bounds for a cold upstream.

        One of the two hosts may know a newer entry of the upstream, but
        neither can tell which.
        """
        entry = self._deployment.directory.find(message.upstream)
        own = None
        if entry is not None:
            own = self._deployment.find_cold_send_limit(entry, now)
        bounds = [
            each for each in (own, message.cold_bound) if each is not None
        ]
        return min(bounds, default=None)

    def list_limits(self, now: float) -> dict[IncarnationName, float]:
        """Return the rate limits that this host enforces as a lender.

        Returns
        -------
        dict of IncarnationName to float
            Requests a second that all hosts together may send to an upstream.
        """
        return self._lender.list_limits(now)

    def run_periodic(self, now: float) -> None:
        """Reclaim the places that lost hosts hold."""
        self._deliver_decisions(self._lender.expire(now))

    def _set_timer(self) -> None:
        """Schedule the next grant for when the limits allow it."""
        if self._timer is not None and not self._timer.ready():
            return
        seconds = self._lender.find_opening(read_clock())
        if seconds is not None:
            self._timer = gevent.spawn_later(seconds, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.run_periodic(read_clock())

    def _deliver_decisions(self, decisions: list[Decision]) -> None:
        for each in decisions:
            verdict = PlaceVerdict(
                each.ticket.number, each.verdict, round(each.retry_after, 3)
            )
            if each.ticket.holder == self._link:
                self.handle_message(verdict, self._link)
            else:
                self._send(each.ticket.holder, verdict)
        self._set_timer()
