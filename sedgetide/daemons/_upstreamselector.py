"""Selects the upstream of a request and acquires permission to send to it."""

from collections.abc import Collection
import random

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.attempts import find_owner
from sedgetide.core.requests.attempts import list_candidates
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.attempts import Wait
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.loadbalancing import Candidate
from sedgetide.core.requests.loadbalancing import choose_upstream
from sedgetide.core.requests.loadbalancing import compute_crossing_cost
from sedgetide.core.requests.movewaits import decide_move_wait
from sedgetide.core.requests.movewaits import MoveWait
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.retryafter import retry_after_backoff
from sedgetide.core.requests.retryafter import retry_after_limit
from sedgetide.core.requests.retryafter import retry_after_owner_loss
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_promise
from sedgetide.core.requests.retryafter import retry_after_queue
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY
from sedgetide.core.requests.retryafter import STOPPING_RETRY_DELAY
from sedgetide.core.requests.retryafter import STORE_SILENT_RETRY_DELAY
from sedgetide.core.requests.stages import Stage
from sedgetide.core.requests.stopping import StopSchedule
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._forwarder import Forwarder
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._places import Places
from sedgetide.daemons._places import PlaceUnwanted
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannel
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.runtime.clock import read_clock

# Seconds for which a retry may wait, however long the request has waited
# before.
_RETRY_WAIT = 0.1
# Retry-After in seconds while a rate-limited or cold upstream has no lender.
# By then a lost lender has been replaced.
_NO_LENDER_RETRY_DELAY = 1.0
# Seconds without an answer after which the store counts as silent. A watch
# without changes is answered sooner.
_MAX_STORE_SILENCE = 3.0


class SendPermit(msgspec.Struct):
    """Permission to send one request to an upstream.

    Parameters
    ----------
    target : Target
        Upstream, and the fence under which it owns the key.
    channel : UpstreamChannel
        Channel to the upstream, with one request counted as in flight.
    place : Place or None
        Place that the lender granted; None when the host's own window
        admitted the request.
    """

    target: Target
    channel: UpstreamChannel
    place: Place | None

    def release(self) -> None:
        self.channel.release()
        if self.place is not None:
            self.place.release()


class UpstreamSelector:
    """Selects an upstream for each request and waits until it has room.

    Parameters
    ----------
    deployment : DeploymentState
        State of the deployment as this host knows it.
    channels : UpstreamChannels
        Connections and windows of all upstreams.
    places : Places
        Acquires places from the lenders of upstreams.
    answer_averages : AnswerAverages
        Average service times and answer sizes.
    data_centre : str
        Data centre of this host.
    rng : random.Random
        Randomizes the choice of upstreams; seeded differently on each host.
    paths : PathMonitor
        Tells which upstreams this host reaches.
    forwarder : Forwarder
        Tells whether other hosts can send requests in place of this one.
    stop_schedule : StopSchedule
        Until when this host sends requests.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        channels: UpstreamChannels,
        places: Places,
        answer_averages: AnswerAverages,
        data_centre: str,
        rng: random.Random,
        paths: PathMonitor,
        forwarder: Forwarder,
        stop_schedule: StopSchedule,
    ) -> None:
        self._deployment = deployment
        self._channels = channels
        self._places = places
        self._averages = answer_averages
        self._data_centre = data_centre
        self._rng = rng
        self._paths = paths
        self._forwarder = forwarder
        self._stop_schedule = stop_schedule

    def acquire(self, context: RequestContext) -> SendPermit | None:
        """Return a permit for a request; None when it cannot be sent.

        If only this host's path is in the way, the request gets a detour.
        """
        context.detour = None
        hold_deadline = _find_hold_deadline(context)
        declined: set[IncarnationName] = set()
        while True:
            now = read_clock()
            obstacle = self._find_obstacle(context, now)
            if obstacle is not None:
                # Its permit may have been acquired in time, but not used.
                _note_obstacle(context, obstacle)
                return None
            target = self._find_target(context, declined, now)
            if isinstance(target, Target):
                permit = self._acquire_permit(context, target, hold_deadline)
                if isinstance(permit, PlaceUnwanted):
                    continue
                if isinstance(permit, PlaceRefused):
                    if context.keyed:
                        return None
                    # Another upstream of the service may have room.
                    declined.add(target.upstream.name)
                    continue
                if permit is None or self.may_send(context, permit):
                    return permit
                permit.release()
                continue
            if declined:
                # All remaining upstreams are at their limit.
                return None
            context.refusal = Refusal(RefusalReason(target.value))
            wait = self._decide_wait(context, target, hold_deadline, now)
            if wait.until <= now:
                context.retry_after = wait.retry_after
                return None
            until = min(wait.until, self._find_send_limit(context))
            with context.wait_for(Stage.TARGET):
                self._deployment.changes.wait(until - now)

    def _needs_detour(self, context: RequestContext, target: Target) -> bool:
        """Return whether another host has to send a request."""
        upstream = target.upstream
        if not self._paths.is_doubtful(upstream):
            return False
        if context.received_from is None and not self._forwarder.can_forward:
            return False
        context.detour = upstream.name if context.keyed else context.service
        context.refuse(RefusalReason.UNREACHABLE)
        if context.keyed:
            context.retry_after = retry_after_owner_loss(
                self._paths.find_doubtful_time(upstream)
            )
        return True

    def _acquire_permit(
        self, context: RequestContext, target: Target, hold_deadline: float
    ) -> SendPermit | PlaceRefused | PlaceUnwanted | None:
        """Wait for permission to send; None when there is none in time.

        Only the owner may run a request with a key, so all hosts share the
        queue that its lender keeps. Requests without a key may go to any
        upstream of the service, for which the host's own window suffices
        unless the upstream is cold or states a limit.
        """
        if self._needs_detour(context, target):
            return None
        channel = self._channels.find(target.upstream)
        if context.keyed and self._is_owner_silent(context, target):
            return None
        cold_bound = self._deployment.find_cold_send_limit(
            target.upstream, read_clock()
        )
        stated_limit = self._deployment.limits.find(target.upstream.name)
        bounded = cold_bound is not None or stated_limit is not None
        if context.keyed or bounded:
            with context.wait_for(Stage.PLACE):
                place = self._ask_place(
                    context, target, cold_bound, stated_limit
                )
            if place is None and bounded:
                place = PlaceRefused(_NO_LENDER_RETRY_DELAY)
            if isinstance(place, PlaceRefused):
                _note_refusal(
                    context,
                    target.upstream.name,
                    place,
                    cold_bound,
                    stated_limit,
                )
                return place
            if isinstance(place, PlaceUnwanted):
                return place
            if place is not None:
                if place.send_by is not None:
                    context.send_by = place.send_by
                    context.congested = True
                channel.force_acquire()
                return SendPermit(target, channel, place)
        priority = context.route.priority
        until = min(hold_deadline, context.times.final)
        wait = min(until, self._find_send_limit(context)) - read_clock()
        rank = context.request.rank
        context.congested = not channel.has_room(rank)
        with context.wait_for(Stage.WINDOW):
            admitted = channel.acquire(priority, wait, rank)
        if admitted:
            return SendPermit(target, channel, None)
        context.refusal = Refusal(RefusalReason.WINDOW, target.upstream.name)
        context.retry_after = retry_after_queue(
            channel.estimate_wait(priority, rank)
        )
        return None

    def _is_owner_silent(
        self, context: RequestContext, target: Target
    ) -> bool:
        """Return whether an owner answers nothing, and record the refusal.

        Only it may run the request, which would wait until its deadline. A
        request that may have run waits nevertheless, as only an answer can
        tell.
        """
        if context.progress.outcome is Outcome.UNKNOWN:
            return False
        silence = self._find_owner_silence(target)
        if silence <= 0.0:
            return False
        context.refusal = Refusal(
            RefusalReason.OWNER_SILENT, target.upstream.name
        )
        context.retry_after = retry_after_owner_loss(silence)
        return True

    def _find_owner_silence(self, target: Target) -> float:
        channel = self._channels.find(target.upstream)
        usual = channel.health.estimate_seconds()
        return channel.owed.find_silence(usual, read_clock())

    def _ask_place(
        self,
        context: RequestContext,
        target: Target,
        cold_bound: int | None,
        stated_limit: StatedLimit | None,
    ) -> Place | PlaceRefused | PlaceUnwanted | None:
        if not context.keyed:
            # Another upstream of the service answers sooner than a wait here.
            return self._places.acquire(
                target.upstream,
                context.route.priority,
                0.0,
                cold_bound,
                stated_limit,
            )
        now = read_clock()
        rank = rank_request(context.route.priority, context.overdue)
        if context.progress.outcome is Outcome.UNKNOWN:
            # The request may have run and only an answer can tell, so it waits
            # until its final deadline.
            return self._places.acquire(
                target.upstream,
                rank,
                context.times.final - now,
                cold_bound,
                stated_limit,
            )
        deadline = context.fields.deadline
        if deadline is not None:
            deadline -= now - context.times.began
        return self._places.acquire(
            target.upstream,
            rank,
            context.times.find_useful_time(now),
            cold_bound,
            stated_limit,
            context.times.final - now,
            deadline,
            lambda: (
                self._is_still_wanted(context, target)
                and self._find_owner_silence(target) <= 0.0
                and read_clock() < self._find_send_limit(context)
            ),
        )

    def _decide_wait(
        self,
        context: RequestContext,
        wait: Wait,
        hold_deadline: float,
        now: float,
    ) -> MoveWait:
        """Return until when a request without a target waits for one."""
        if wait is Wait.MOVING:
            useful_until = now + context.times.find_useful_time(now)
            return decide_move_wait(
                self._deployment.find_moving_range(
                    context.service, context.fields.key, now
                ),
                max(useful_until, hold_deadline),
                now,
            )
        until = now if self._is_wait_futile(wait, now) else hold_deadline
        return MoveWait(until, self._estimate_retry_after(context, wait, now))

    def _is_wait_futile(self, wait: Wait, now: float) -> bool:
        """Return whether waiting in this state cannot yield a target."""
        if wait is Wait.OWNER_GONE:
            # While the store is silent the keys cannot be reassigned, or
            # this host would not learn of it.
            return self._is_store_silent(now)
        return wait is Wait.BACKING_OFF

    def _is_store_silent(self, now: float) -> bool:
        return now - self._deployment.heard_at > _MAX_STORE_SILENCE

    def _estimate_retry_after(
        self, context: RequestContext, wait: Wait, now: float
    ) -> float:
        """Return the Retry-After in seconds of a request without a target."""
        if wait is Wait.BACKING_OFF:
            return retry_after_backoff(self.find_backoff(context, now))
        if wait is Wait.OWNER_GONE and self._is_store_silent(now):
            return STORE_SILENT_RETRY_DELAY
        return STARTUP_RETRY_DELAY

    def find_backoff(self, context: RequestContext, now: float) -> float:
        """Return for how long all eligible upstreams ask for backoff.

        Returns
        -------
        float
            Seconds; zero when at least one of them asks for none.
        """
        directory = self._deployment.directory
        backoffs = self._deployment.backoffs
        if not context.keyed:
            active = directory.list_active(context.service)
            return backoffs.find_shortest([each.name for each in active], now)
        table = self._deployment.find_table(context.service)
        owner = find_owner(table, context.fields.key, directory, now)
        if isinstance(owner, Wait):
            return 0.0
        return backoffs.find_remaining(owner.upstream.name, now)

    def may_send(self, context: RequestContext, permit: SendPermit) -> bool:
        """Return whether a permit may still be used.

        While the request waited for this host's window, which does not count
        the requests of other hosts, the upstream may have stated a limit;
        while it waited for a place or a connection, it may have asked for
        backoff.
        """
        upstream = permit.target.upstream.name
        if permit.place is None and self._deployment.limits.find(upstream):
            return False
        if self._find_obstacle(context, read_clock()) is not None:
            return False
        return self._is_still_wanted(context, permit.target)

    def _find_send_limit(self, context: RequestContext) -> float:
        """Return until when this host sends a request, as it stops."""
        usual = self._averages.find_service_time(context.service)
        return self._stop_schedule.find_send_limit(usual)

    def _find_obstacle(
        self, context: RequestContext, now: float
    ) -> RefusalReason | None:
        """Return why a request has too little time left to be sent.

        A request that may have run is sent nevertheless, since only an answer
        can tell.
        """
        if context.progress.outcome is Outcome.UNKNOWN:
            return None
        if now >= self._find_send_limit(context):
            return RefusalReason.STOPPING
        return RefusalReason.TOO_LATE if now >= context.send_by else None

    def _is_still_wanted(
        self, context: RequestContext, target: Target
    ) -> bool:
        """Return whether a target is valid and asks for no backoff."""
        backoff = self._deployment.backoffs.find_remaining(
            target.upstream.name, read_clock()
        )
        return backoff <= 0.0 and self._is_still_valid(context, target)

    def _is_still_valid(self, context: RequestContext, target: Target) -> bool:
        """Return whether a target is still valid after the wait for it."""
        directory = self._deployment.directory
        if not context.keyed:
            return directory.find_active(target.upstream.name) is not None
        table = self._deployment.find_table(context.service)
        now = read_clock()
        return find_owner(table, context.fields.key, directory, now) == target

    def _find_target(
        self,
        context: RequestContext,
        declined: Collection[IncarnationName],
        now: float,
    ) -> Target | Wait:
        directory = self._deployment.directory
        if context.keyed:
            if self.find_backoff(context, now) > 0.0:
                return Wait.BACKING_OFF
            table = self._deployment.find_table(context.service)
            return find_owner(table, context.fields.key, directory, now)
        avoided = self._deployment.backoffs.list_active(now)
        upstreams = self._paths.prefer_reached(
            list_candidates(
                directory,
                context.service,
                context.progress.tried,
                now,
                avoided.union(declined),
            )
        )
        if not upstreams:
            if not declined and self.find_backoff(context, now) > 0.0:
                return Wait.BACKING_OFF
            return Wait.NO_UPSTREAM
        size = len(context.request.body) + self._averages.find_answer_size(
            context.route.name
        )
        crossing = compute_crossing_cost(
            size, context.times.objective - context.times.began
        )
        candidates = [
            self._make_candidate(upstream, crossing, now)
            for upstream in upstreams
        ]
        return Target(choose_upstream(candidates, self._rng))

    def _make_candidate(
        self, upstream: RegisteredUpstream, crossing: float, now: float
    ) -> Candidate:
        channel = self._channels.find(upstream)
        average = self._averages.find_service_time(upstream.service)
        near = upstream.data_centre == self._data_centre
        cold = self._deployment.find_cold_rate(upstream, now) is not None
        limited = self._deployment.limits.find(upstream.name) is not None
        return Candidate(
            upstream,
            channel.health.service_time or average,
            channel.window.estimate_queue(now) + channel.queue_length,
            near,
            channel.pool.has_idle,
            channel.health.is_suspect(now),
            0.0 if near else crossing,
            cold or limited,
        )


def _find_hold_deadline(context: RequestContext) -> float:
    """Return until when a request may wait for a target or a window."""
    hold_deadline = context.times.find_hold_deadline()
    if context.progress.sends:
        hold_deadline = max(hold_deadline, read_clock() + _RETRY_WAIT)
    return min(hold_deadline, context.times.final)


def _note_obstacle(context: RequestContext, reason: RefusalReason) -> None:
    context.refuse(reason)
    if reason is RefusalReason.STOPPING:
        context.retry_after = STOPPING_RETRY_DELAY


def _note_refusal(
    context: RequestContext,
    upstream: IncarnationName,
    refused: PlaceRefused,
    cold_bound: int | None,
    stated_limit: StatedLimit | None,
) -> None:
    """Record why the lender refused a request, and its Retry-After."""
    seconds = refused.retry_after
    if stated_limit is not None:
        context.refusal = Refusal(RefusalReason.LIMITED, upstream)
        context.retry_after = retry_after_limit(seconds)
        return
    reason = (
        RefusalReason.NO_PLACE if cold_bound is None else RefusalReason.COLD
    )
    context.refusal = Refusal(reason, upstream)
    context.retry_after = (
        retry_after_promise(seconds)
        if refused.promised
        else retry_after_place(seconds)
    )
