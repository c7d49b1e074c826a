"""Places at upstreams: asked for by each host, lent by some."""

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

# Seconds for which a lender without a word is not asked: a lost one is
# replaced within two, and one probe a second delays few requests.
_SILENT_FOR = 1.0
_NUMBERS = 2**30

Send = Callable[[LinkAddress, Message], None]


class PlaceRefused(msgspec.Struct, frozen=True):
    """No place in time.

    Parameters
    ----------
    retry_after : float
        Seconds after which asking again makes sense.
    """

    retry_after: float


class Place:
    """A place at an upstream that one request may use.

    Parameters
    ----------
    give_back : callable
        Called with the upstream's seconds, None without an answer, the
        number of requests that waited there, and what the answer said of
        the upstream's limit.
    """

    def __init__(
        self,
        give_back: Callable[[float | None, int, StatedLimit | None], None],
    ) -> None:
        self._give_back = give_back
        self._seconds: float | None = None
        self._waiting = 0
        self._said: StatedLimit | None = None

    def note_answer(
        self,
        seconds: float | None,
        waiting: int,
        said: StatedLimit | None = None,
    ) -> None:
        """Take in what the lender is to learn from the answer."""
        self._seconds = seconds
        self._waiting = waiting
        self._said = said

    def leave(self) -> None:
        """Give the place back."""
        self._give_back(self._seconds, self._waiting, self._said)


class Places:
    """One host's dealings with places: it asks, and lends if it is named.

    Parameters
    ----------
    link : LinkAddress
        Own link address.
    knowledge : DeploymentState
        Names the lenders.
    send : callable
        Sends a message to a host.
    source : random.Random
        Where numbers begin: those of an earlier start of this host may
        still be known to lenders.
    """

    def __init__(
        self,
        link: LinkAddress,
        deployment: DeploymentState,
        send: Send,
        source: random.Random,
    ) -> None:
        self._link = link
        self._deployment = deployment
        self._send = send
        self._numbers = itertools.count(source.randrange(_NUMBERS))
        self._pending: dict[int, PendingVerdict] = {}
        self._silent_until: dict[LinkAddress, float] = {}
        self._lender = Lender()
        self._timer: gevent.Greenlet | None = None

    def enter(
        self,
        upstream: RegisteredUpstream,
        priority: int,
        left: float,
        cold_bound: int | None = None,
        limit: StatedLimit | None = None,
    ) -> Place | PlaceRefused | None:
        """Wait for a place at an upstream.

        Parameters
        ----------
        upstream : RegisteredUpstream
            Where.
        priority : int
            Lower is more urgent.
        left : float
            Seconds within which the answer is needed.
        cold_bound : int or None
            Most sends that the lender may allow while the upstream is cold;
            None when it is warm.
        limit : StatedLimit or None
            Limit that the upstream names; None for none.

        Returns
        -------
        Place, PlaceRefused or None
            None when nobody lends there just now: a lender that is lost
            must not make its upstreams unreachable.
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
        question = AskPlace(
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
            self._tell(link, question)
            found = pending.wait_first()
            if found is Verdict.QUEUED:
                found = pending.wait_last(left)
            if found is None:
                self._silent_until[link] = read_clock() + _SILENT_FOR
            granted = found is Verdict.GRANTED
        finally:
            del self._pending[number]
            # Also when the caller has left, or the word comes too late: a
            # place that nobody uses stays lost until its loan ends.
            if not granted and pending.verdict is not Verdict.REFUSED:
                self._tell(link, EndPlace(number))
        PLACES.labels("silent" if found is None else found.value).inc()
        if granted:
            return Place(
                lambda seconds, waiting, said: self._tell(
                    link,
                    EndPlace(
                        number,
                        seconds,
                        waiting,
                        None if said is None else said.shift(-read_clock()),
                    ),
                )
            )
        return None if found is None else PlaceRefused(pending.retry_after)

    def _is_silent(self, link: LinkAddress) -> bool:
        return read_clock() < self._silent_until.get(link, float("-inf"))

    def _tell(self, link: LinkAddress, message: AskPlace | EndPlace) -> None:
        if link == self._link:
            self.take(message, link)
        else:
            self._send(link, message)

    def take(
        self, message: AskPlace | EndPlace | PlaceVerdict, sender: LinkAddress
    ) -> None:
        """Take in a message about a place."""
        now = read_clock()
        if isinstance(message, PlaceVerdict):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.take(message.verdict, message.retry_after)
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
                self._find_bound(message, now),
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
        self._announce(decisions)

    def _find_bound(self, message: AskPlace, now: float) -> int | None:
        """Return the bound of sends by whoever takes the upstream for cold.

        One of the two hosts knows its newer entry, and nobody can tell which.
        """
        entry = self._deployment.directory.find(message.upstream)
        own = None
        if entry is not None:
            own = self._deployment.find_cold_bound(entry, now)
        bounds = [
            each for each in (own, message.cold_bound) if each is not None
        ]
        return min(bounds, default=None)

    def list_limits(self, now: float) -> dict[IncarnationName, float]:
        """Return the limits that this host counts for all, a second."""
        return self._lender.list_limits(now)

    def run_periodic(self, now: float) -> None:
        """Take back what lost hosts hold."""
        self._announce(self._lender.expire(now))

    def _set_timer(self) -> None:
        """Let the next request through as soon as a bound allows it."""
        if self._timer is not None and not self._timer.ready():
            return
        seconds = self._lender.find_opening(read_clock())
        if seconds is not None:
            self._timer = gevent.spawn_later(seconds, self._on_time)

    def _on_time(self) -> None:
        self._timer = None
        self.run_periodic(read_clock())

    def _announce(self, decisions: list[Decision]) -> None:
        for each in decisions:
            verdict = PlaceVerdict(
                each.ticket.number, each.verdict, round(each.retry_after, 3)
            )
            if each.ticket.holder == self._link:
                self.take(verdict, self._link)
            else:
                self._send(each.ticket.holder, verdict)
        self._set_timer()
