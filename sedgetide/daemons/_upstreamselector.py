"""Where a request goes, and leave to send it there."""

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
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.retryafter import retry_after_backoff
from sedgetide.core.requests.retryafter import retry_after_limit
from sedgetide.core.requests.retryafter import retry_after_move
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_queue
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY
from sedgetide.core.requests.retryafter import STORE_SILENT_RETRY_DELAY
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._places import Places
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannel
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.runtime.clock import read_clock

# Seconds for which a retry may wait, whatever its request has waited before.
_RETRY_HOLD = 0.1
# Seconds; a lost lender of places at a bounded upstream is replaced by then.
_UNLENT = 1.0
# Seconds without a word of the store; a watch that finds nothing is answered
# sooner.
_SILENT_STORE = 3.0


class SendPermit(msgspec.Struct):
    """Leave to send one request to an upstream."""

    target: Target
    lane: UpstreamChannel
    place: Place | None

    def leave(self) -> None:
        self.lane.leave()
        if self.place is not None:
            self.place.leave()


class UpstreamSelector:
    """Finds a target with a place for each request.

    Parameters
    ----------
    knowledge : DeploymentState
        What is known of the deployment.
    lanes : UpstreamChannels
        Ways to upstreams.
    places : Places
        Places at upstreams, where hosts lend them.
    usual : AnswerAverages
        What requests usually take.
    data_centre : str
        Own data centre.
    source : random.Random
        Blurs choices, on each host in its own way.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        lanes: UpstreamChannels,
        places: Places,
        usual: AnswerAverages,
        data_centre: str,
        source: random.Random,
    ) -> None:
        self._deployment = deployment
        self._lanes = lanes
        self._places = places
        self._usual = usual
        self._data_centre = data_centre
        self._random = source

    def find(self, job: RequestContext) -> SendPermit | None:
        """Return a target with a place there; None to give up."""
        limit = job.times.find_hold_deadline()
        if job.progress.sends:
            limit = max(limit, read_clock() + _RETRY_HOLD)
        declined: set[IncarnationName] = set()
        while True:
            now = read_clock()
            target = self._find_target(job, declined, now)
            if isinstance(target, Target):
                passage = self._enter(job, target, limit)
                if isinstance(passage, PlaceRefused):
                    if job.keyed:
                        return None
                    # Another that does the same work may bear it.
                    declined.add(target.upstream.name)
                    continue
                if passage is None or self.may_send(job, passage):
                    return passage
                passage.leave()
                continue
            if declined:
                # All are bounded, and have been sent what they bear.
                return None
            job.note = target.value
            if now >= limit or self._is_hopeless(target, now):
                job.retry_after = self._foresee(job, target, now)
                return None
            self._deployment.changes.wait(limit - now)

    def _enter(
        self, job: RequestContext, target: Target, limit: float
    ) -> SendPermit | PlaceRefused | None:
        """Wait for a place at an upstream; None when none came in time.

        Only one upstream may run a request with a key, so the queue there
        is the only one that counts; among equal ones each host's own
        windows find one with room, unless what it bears is bounded.
        """
        lane = self._lanes.find(target.upstream)
        bound = self._deployment.find_cold_bound(target.upstream, read_clock())
        stated = self._deployment.limits.find(target.upstream.name)
        bounded = bound is not None or stated is not None
        if job.keyed or bounded:
            place = self._ask_place(job, target, bound, stated)
            if place is None and bounded:
                place = PlaceRefused(_UNLENT)
            if isinstance(place, PlaceRefused):
                _note_refusal(job, place.retry_after, bound, stated)
                return place
            if place is not None:
                lane.occupy()
                return SendPermit(target, lane, place)
        priority = job.route.priority
        wait = min(limit, job.times.final) - read_clock()
        if lane.enter(priority, wait):
            return SendPermit(target, lane, None)
        job.note = "window"
        job.retry_after = retry_after_queue(lane.estimate_wait(priority))
        return None

    def _ask_place(
        self,
        job: RequestContext,
        target: Target,
        bound: int | None,
        stated: StatedLimit | None,
    ) -> Place | PlaceRefused | None:
        if not job.keyed:
            # Of equal upstreams another serves it sooner than a wait.
            return self._places.enter(
                target.upstream, job.route.priority, 0.0, bound, stated
            )
        now = read_clock()
        left = job.times.find_useful_time(now)
        if job.progress.outcome is Outcome.UNKNOWN:
            # It may have run, and only an answer can tell: worth the wait.
            left = job.times.final - now
        rank = rank_request(job.route.priority, job.overdue)
        return self._places.enter(target.upstream, rank, left, bound, stated)

    def _is_hopeless(self, wait: Wait, now: float) -> bool:
        """Tell whether waiting here can't bring a target."""
        if wait is Wait.OWNER_GONE:
            # Nobody can give its keys to another, or tell this host.
            return self._is_out_of_touch(now)
        return wait is Wait.BACKING_OFF

    def _is_out_of_touch(self, now: float) -> bool:
        return now - self._deployment.heard_at > _SILENT_STORE

    def _foresee(self, job: RequestContext, wait: Wait, now: float) -> float:
        """Return when a request that can't be sent anywhere may be."""
        if wait is Wait.BACKING_OFF:
            return retry_after_backoff(self.find_backoff(job, now))
        if wait is Wait.OWNER_GONE and self._is_out_of_touch(now):
            return STORE_SILENT_RETRY_DELAY
        if wait is not Wait.MOVING:
            return STARTUP_RETRY_DELAY
        moving = self._deployment.find_move_age(
            job.service, job.fields.key, now
        )
        return retry_after_move(moving)

    def find_backoff(self, job: RequestContext, now: float) -> float:
        """Return for how long all that may run a request want nothing.

        Returns
        -------
        float
            Seconds; zero when any of them wants none.
        """
        directory = self._deployment.directory
        backoffs = self._deployment.backoffs
        if not job.keyed:
            active = directory.list_active(job.service)
            return backoffs.find_shortest([each.name for each in active], now)
        table = self._deployment.find_table(job.service)
        owner = find_owner(table, job.fields.key, directory, now)
        if isinstance(owner, Wait):
            return 0.0
        return backoffs.find_remaining(owner.upstream.name, now)

    def may_send(self, job: RequestContext, passage: SendPermit) -> bool:
        """Tell whether a passage may be used at this moment.

        A limit may have been named while the request waited for this host's
        window, which knows nothing of what others send; a backoff while it
        waited for a place or a connection.
        """
        upstream = passage.target.upstream.name
        if (
            self._deployment.backoffs.find_remaining(upstream, read_clock())
            > 0.0
        ):
            return False
        if passage.place is None and self._deployment.limits.find(upstream):
            return False
        return self._still_holds(job, passage.target)

    def _still_holds(self, job: RequestContext, target: Target) -> bool:
        """Tell whether a target is still right after waiting for it."""
        directory = self._deployment.directory
        if not job.keyed:
            return directory.find_active(target.upstream.name) is not None
        table = self._deployment.find_table(job.service)
        now = read_clock()
        return find_owner(table, job.fields.key, directory, now) == target

    def _find_target(
        self,
        job: RequestContext,
        declined: Collection[IncarnationName],
        now: float,
    ) -> Target | Wait:
        directory = self._deployment.directory
        if job.keyed:
            if self.find_backoff(job, now) > 0.0:
                return Wait.BACKING_OFF
            table = self._deployment.find_table(job.service)
            return find_owner(table, job.fields.key, directory, now)
        avoided = self._deployment.backoffs.list_active(now)
        candidates = list_candidates(
            directory,
            job.service,
            job.progress.tried,
            now,
            avoided.union(declined),
        )
        if not candidates:
            if not declined and self.find_backoff(job, now) > 0.0:
                return Wait.BACKING_OFF
            return Wait.NO_UPSTREAM
        size = len(job.request.body) + self._usual.find_answer_size(
            job.route.name
        )
        crossing = compute_crossing_cost(
            size, job.times.objective - job.times.began
        )
        seen = [
            self._describe(upstream, crossing, now) for upstream in candidates
        ]
        return Target(choose_upstream(seen, self._random))

    def _describe(
        self, upstream: RegisteredUpstream, crossing: float, now: float
    ) -> Candidate:
        lane = self._lanes.find(upstream)
        usual = self._usual.find_service_time(upstream.service)
        near = upstream.data_centre == self._data_centre
        cold = self._deployment.find_cold_rate(upstream, now) is not None
        limited = self._deployment.limits.find(upstream.name) is not None
        return Candidate(
            upstream,
            lane.health.service_time or usual,
            lane.window.estimate_queue(now) + lane.queue_length,
            near,
            lane.pool.has_idle,
            lane.health.is_suspect(now),
            0.0 if near else crossing,
            cold or limited,
        )


def _note_refusal(
    job: RequestContext,
    seconds: float,
    bound: int | None,
    stated: StatedLimit | None,
) -> None:
    """Note why a lender has refused a request, and when to come again."""
    if stated is not None:
        job.note = "limited"
        job.retry_after = retry_after_limit(seconds)
        return
    job.note = "no place" if bound is None else "cold"
    job.retry_after = retry_after_place(seconds)
