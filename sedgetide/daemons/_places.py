"""Places at upstreams: acquired by each host, granted by the lenders."""

from collections.abc import Callable
import itertools
import random
from typing import Any

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
from sedgetide.daemons._hostmetrics import DECISIONS
from sedgetide.daemons._hostmetrics import PLACES
from sedgetide.daemons._pendingverdict import FIRST_VERDICT_TIMEOUT
from sedgetide.daemons._pendingverdict import PendingVerdict
from sedgetide.runtime.clock import read_clock

# Seconds for which a lender that did not reply is not asked again. A lost
# lender is replaced within two, and one probe a second delays few requests.
_SILENT_PERIOD = 1.0
# Seconds after which a waiting request checks whether its lender and its
# upstream are still the same.
_CHECK_INTERVAL = 0.1
# Share of the typical service time that a waiting request must have left. It
# is less than 1, since the lender may report a shorter time with the grant.
_MIN_SERVICE_SHARE = 0.25
# Seconds. The service time, and with it the expiry of waiting requests, may
# change before the timer fires; it must not fire again at once.
_MIN_TIMER = 0.005
_MAX_FIRST_NUMBER = 2**30

Send = Callable[[LinkAddress, Message], None]


class PlaceRefused(msgspec.Struct, frozen=True):
    """No place becomes free in time, or no lender has granted one in time.

    Parameters
    ----------
    retry_after : float
        Seconds after which to ask again.
    promised : bool
        Whether the lender counts on the caller's return at that time.
    """

    retry_after: float
    promised: bool = False


class PlaceUnwanted(msgspec.Struct, frozen=True):
    """The request is no longer to be sent to the upstream it waited for."""


class _LenderChanged(msgspec.Struct, frozen=True):
    """Another host has become the lender during the wait."""


_LENDER_CHANGED = _LenderChanged()


class Place:
    """Permit to send one request to an upstream, on loan from its lender.

    One host, the lender, lends the places of an upstream to all hosts, which
    do not know of each other's requests.

    Parameters
    ----------
    on_release : callable
        Called with the service time in seconds (None without an answer), the
        number of requests that waited at the upstream, and the limit that
        the answer stated.
    send_by : float or None
        Monotonic time after which the request is not to be sent, since it
        waited and has too little time left for an answer; None for no limit.
    """

    def __init__(
        self,
        on_release: Callable[[float | None, int, StatedLimit | None], None],
        send_by: float | None = None,
    ) -> None:
        self._on_release = on_release
        self.send_by = send_by
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


class _PlaceRequest(msgspec.Struct, frozen=True):
    """Request for a place, with its times by this host's clock."""

    upstream: RegisteredUpstream
    priority: int
    useful_at: float
    final_at: float | None
    deadline_at: float | None
    cold_bound: int | None
    limit: StatedLimit | None
    is_wanted: Callable[[], bool] | None

    def make_message(self, number: int, now: float) -> AskPlace:
        return AskPlace(
            number,
            self.upstream.name,
            self.upstream.slots,
            self.priority,
            round(max(0.0, self.useful_at - now), 3),
            self.cold_bound,
            None if self.limit is None else self.limit.shift(-now),
            _find_left(self.final_at, now),
            _find_left(self.deadline_at, now),
        )

    def find_first_timeout(self, now: float) -> float:
        """Return for how many seconds to wait for the first verdict."""
        if self.final_at is None:
            return FIRST_VERDICT_TIMEOUT
        return min(FIRST_VERDICT_TIMEOUT, self.final_at - now)

    def find_send_deadline(self, pending: PendingVerdict) -> float | None:
        """Return until when the request may be sent after a wait.

        Returns
        -------
        float or None
            None when it did not wait, or only for its useful time.
        """
        if self.final_at is None or pending.service_time is None:
            return None
        return self.final_at - pending.service_time


def _find_left(at: float | None, now: float) -> float | None:
    return None if at is None else round(max(0.0, at - now), 3)


def _find_label(
    verdict: Verdict | None, result: PlaceUnwanted | _LenderChanged | None
) -> str:
    if verdict is not None:
        return verdict.value
    return "silent" if result is None else "withdrawn"


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
        self._wake_at = 0.0

    def acquire(
        self,
        upstream: RegisteredUpstream,
        priority: int,
        left: float,
        cold_bound: int | None = None,
        limit: StatedLimit | None = None,
        final: float | None = None,
        deadline: float | None = None,
        is_wanted: Callable[[], bool] | None = None,
    ) -> Place | PlaceRefused | PlaceUnwanted | None:
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
        final : float or None
            Seconds until the final deadline, for a request that may be
            answered later than within ``left``; None for others.
        deadline : float or None
            Seconds until the caller's deadline; None when not stated.
        is_wanted : callable or None
            Returns whether the request is still to be sent to this upstream.
            Checked during the wait.

        Returns
        -------
        Place, PlaceRefused, PlaceUnwanted or None
            None when there is no lender or it does not reply: the loss of a
            lender must not make its upstreams unreachable.
        """
        now = read_clock()
        request = _PlaceRequest(
            upstream,
            priority,
            now + left,
            None if final is None else now + final,
            None if deadline is None else now + deadline,
            cold_bound,
            limit,
            is_wanted,
        )
        bounded = cold_bound is not None or limit is not None
        while True:
            lenders = self._deployment.lenders
            link = lenders.find(upstream)
            if link is None or self._is_silent(link):
                return None
            if lenders.rate_limited_only and not bounded:
                return None
            result = self._ask_lender(request, link)
            if result is not _LENDER_CHANGED:
                return result

    def _ask_lender(
        self, request: "_PlaceRequest", link: LinkAddress
    ) -> "Place | PlaceRefused | PlaceUnwanted | _LenderChanged | None":
        number = next(self._numbers)
        pending = self._pending[number] = PendingVerdict(number, link)
        granted = False
        try:
            now = read_clock()
            self._deliver(link, request.make_message(number, now))
            timeout = request.find_first_timeout(now)
            verdict = pending.wait_first_verdict(timeout)
            if verdict is None and timeout >= FIRST_VERDICT_TIMEOUT:
                self._silent_until[link] = read_clock() + _SILENT_PERIOD
            result = None
            if verdict is Verdict.QUEUED:
                verdict, result = self._wait_in_queue(request, pending)
            granted = verdict is Verdict.GRANTED
        finally:
            del self._pending[number]
            # Also when the caller has left or the verdict arrives too late:
            # an unused place is not available until its loan ends.
            if not granted and pending.verdict is not Verdict.REFUSED:
                self._deliver(link, EndPlace(number))
        PLACES.labels(_find_label(verdict, result)).inc()
        if granted:
            return self._make_place(number, link, request, pending)
        if verdict is Verdict.REFUSED:
            return PlaceRefused(pending.retry_after, pending.promised)
        return result

    def _make_place(
        self,
        number: int,
        link: LinkAddress,
        request: "_PlaceRequest",
        pending: PendingVerdict,
    ) -> Place:
        def release(
            seconds: float | None,
            waiting: int,
            stated_limit: StatedLimit | None,
        ) -> None:
            said = (
                None
                if stated_limit is None
                else stated_limit.shift(-read_clock())
            )
            self._deliver(link, EndPlace(number, seconds, waiting, said))

        return Place(release, request.find_send_deadline(pending))

    def _wait_in_queue(
        self, request: "_PlaceRequest", pending: PendingVerdict
    ) -> "tuple[Verdict | None, PlaceUnwanted | _LenderChanged | None]":
        """Wait for the final verdict on a queued request.

        Returns
        -------
        verdict : Verdict or None
            None when the wait was abandoned.
        result : PlaceUnwanted, _LenderChanged or None
            Why it was abandoned; None if the lender has been lost.
        """
        if request.final_at is None or pending.service_time is None:
            left = request.useful_at - read_clock()
            return pending.wait_final_verdict(left), None
        # The lender ends the wait. This host does so only if the lender is
        # lost or very slow; the service time may have fallen meanwhile.
        end = request.final_at - _MIN_SERVICE_SHARE * pending.service_time
        while not pending.wait_decided(
            min(_CHECK_INTERVAL, end - read_clock())
        ):
            now = read_clock()
            if now >= end:
                break
            if request.is_wanted is not None and not request.is_wanted():
                return None, PlaceUnwanted()
            if self._deployment.lenders.find(request.upstream) != pending.link:
                return None, _LENDER_CHANGED
            if now >= request.useful_at and self._is_silent(pending.link):
                # A late request has nothing to gain from the order of the
                # queue, while a lost lender would hold it to the end.
                in_time = now < request.find_send_deadline(pending)
                return None if in_time else Verdict.REFUSED, None
        if pending.verdict is Verdict.GRANTED:
            send_by = request.find_send_deadline(pending)
            if send_by is None or read_clock() < send_by:
                return Verdict.GRANTED, None
        elif pending.verdict is Verdict.REFUSED:
            return Verdict.REFUSED, None
        # Undecided, or granted too late: the place is given back.
        pending.retry_after = pending.service_time
        return Verdict.REFUSED, None

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
            # Even a verdict that is too late shows that the lender is alive.
            self._silent_until.pop(sender, None)
            pending = self._pending.get(message.number)
            if pending is not None:
                if message.service_time is not None:
                    pending.service_time = message.service_time
                pending.promised = message.promised
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
                message.final,
                message.deadline,
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

    def dump_state(self, now: float) -> dict[IncarnationName, dict[str, Any]]:
        """Return the upstreams whose places this host lends."""
        return self._lender.dump_state(now)

    def run_periodic(self, now: float) -> None:
        """Reclaim the places that lost hosts hold."""
        self._deliver_decisions(self._lender.expire(now))

    def _set_timer(self) -> None:
        """Schedule the next grant or expiry that no message brings about."""
        now = read_clock()
        seconds = self._lender.find_wakeup(now)
        if seconds is None:
            return
        wake_at = now + max(_MIN_TIMER, seconds)
        if self._timer is not None:
            if self._wake_at <= wake_at:
                return
            self._timer.kill(block=False)
        self._wake_at = wake_at
        self._timer = gevent.spawn_later(wake_at - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.run_periodic(read_clock())

    def _deliver_decisions(self, decisions: list[Decision]) -> None:
        for each in decisions:
            DECISIONS.labels(
                each.verdict.value, each.reason.value, each.request_class.value
            ).inc()
            verdict = PlaceVerdict(
                each.ticket.number,
                each.verdict,
                round(each.retry_after, 3),
                each.service_time,
                each.promised,
            )
            if each.ticket.holder == self._link:
                self.handle_message(verdict, self._link)
            else:
                self._send(each.ticket.holder, verdict)
        self._set_timer()
