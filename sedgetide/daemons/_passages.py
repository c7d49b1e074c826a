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
from sedgetide.core.requests.choice import Candidate
from sedgetide.core.requests.choice import choose_upstream
from sedgetide.core.requests.choice import price_crossing
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.returns import OUT_OF_TOUCH
from sedgetide.core.requests.returns import UNPREPARED
from sedgetide.core.requests.returns import wait_for_backoff
from sedgetide.core.requests.returns import wait_for_limit
from sedgetide.core.requests.returns import wait_for_move
from sedgetide.core.requests.returns import wait_for_place
from sedgetide.core.requests.returns import wait_for_queue
from sedgetide.core.requests.usual import UsualFigures
from sedgetide.daemons._job import Job
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._lanes import Lane
from sedgetide.daemons._lanes import Lanes
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._places import Places
from sedgetide.runtime.clock import read_clock

# Seconds for which a retry may wait, whatever its request has waited before.
_RETRY_HOLD = 0.1
# Seconds; a lost lender of places at a bounded upstream is replaced by then.
_UNLENT = 1.0
# Seconds without a word of the store; a watch that finds nothing is answered
# sooner.
_SILENT_STORE = 3.0


class Passage(msgspec.Struct):
    """Leave to send one request to an upstream."""

    target: Target
    lane: Lane
    place: Place | None

    def leave(self) -> None:
        self.lane.leave()
        if self.place is not None:
            self.place.leave()


class Passages:
    """Finds a target with a place for each request.

    Parameters
    ----------
    knowledge : Knowledge
        What is known of the deployment.
    lanes : Lanes
        Ways to upstreams.
    places : Places
        Places at upstreams, where hosts lend them.
    usual : UsualFigures
        What requests usually take.
    data_centre : str
        Own data centre.
    source : random.Random
        Blurs choices, on each host in its own way.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        lanes: Lanes,
        places: Places,
        usual: UsualFigures,
        data_centre: str,
        source: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._lanes = lanes
        self._places = places
        self._usual = usual
        self._data_centre = data_centre
        self._random = source

    def find(self, job: Job) -> Passage | None:
        """Return a target with a place there; None to give up."""
        limit = job.times.bound_hold()
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
            self._knowledge.changes.wait(limit - now)

    def _enter(
        self, job: Job, target: Target, limit: float
    ) -> Passage | PlaceRefused | None:
        """Wait for a place at an upstream; None when none came in time.

        Only one upstream may run a request with a key, so the queue there
        is the only one that counts; among equal ones each host's own
        windows find one with room, unless what it bears is bounded.
        """
        lane = self._lanes.find(target.upstream)
        bound = self._knowledge.find_cold_bound(target.upstream, read_clock())
        stated = self._knowledge.limits.find(target.upstream.name)
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
                return Passage(target, lane, place)
        priority = job.route.priority
        wait = min(limit, job.times.final) - read_clock()
        if lane.enter(priority, wait):
            return Passage(target, lane, None)
        job.note = "window"
        job.retry_after = wait_for_queue(lane.estimate_wait(priority))
        return None

    def _ask_place(
        self,
        job: Job,
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
        left = job.times.find_patience(now)
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
        return now - self._knowledge.heard_at > _SILENT_STORE

    def _foresee(self, job: Job, wait: Wait, now: float) -> float:
        """Return when a request that can't be sent anywhere may be."""
        if wait is Wait.BACKING_OFF:
            return wait_for_backoff(self.find_backoff(job, now))
        if wait is Wait.OWNER_GONE and self._is_out_of_touch(now):
            return OUT_OF_TOUCH
        if wait is not Wait.MOVING:
            return UNPREPARED
        moving = self._knowledge.find_moving(job.service, job.fields.key, now)
        return wait_for_move(moving)

    def find_backoff(self, job: Job, now: float) -> float:
        """Return for how long all that may run a request want nothing.

        Returns
        -------
        float
            Seconds; zero when any of them wants none.
        """
        directory = self._knowledge.directory
        backoffs = self._knowledge.backoffs
        if not job.keyed:
            active = directory.list_active(job.service)
            return backoffs.find_first([each.name for each in active], now)
        table = self._knowledge.find_table(job.service)
        owner = find_owner(table, job.fields.key, directory, now)
        if isinstance(owner, Wait):
            return 0.0
        return backoffs.find_left(owner.upstream.name, now)

    def may_send(self, job: Job, passage: Passage) -> bool:
        """Tell whether a passage may be used at this moment.

        A limit may have been named while the request waited for this host's
        window, which knows nothing of what others send; a backoff while it
        waited for a place or a connection.
        """
        upstream = passage.target.upstream.name
        if self._knowledge.backoffs.find_left(upstream, read_clock()) > 0.0:
            return False
        if passage.place is None and self._knowledge.limits.find(upstream):
            return False
        return self._still_holds(job, passage.target)

    def _still_holds(self, job: Job, target: Target) -> bool:
        """Tell whether a target is still right after waiting for it."""
        directory = self._knowledge.directory
        if not job.keyed:
            return directory.find_active(target.upstream.name) is not None
        table = self._knowledge.find_table(job.service)
        now = read_clock()
        return find_owner(table, job.fields.key, directory, now) == target

    def _find_target(
        self, job: Job, declined: Collection[IncarnationName], now: float
    ) -> Target | Wait:
        directory = self._knowledge.directory
        if job.keyed:
            if self.find_backoff(job, now) > 0.0:
                return Wait.BACKING_OFF
            table = self._knowledge.find_table(job.service)
            return find_owner(table, job.fields.key, directory, now)
        avoided = self._knowledge.backoffs.list_active(now)
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
        size = len(job.request.body) + self._usual.find_bytes(job.route.name)
        crossing = price_crossing(size, job.times.objective - job.times.began)
        seen = [
            self._describe(upstream, crossing, now) for upstream in candidates
        ]
        return Target(choose_upstream(seen, self._random))

    def _describe(
        self, upstream: RegisteredUpstream, crossing: float, now: float
    ) -> Candidate:
        lane = self._lanes.find(upstream)
        usual = self._usual.find_seconds(upstream.service)
        near = upstream.data_centre == self._data_centre
        cold = self._knowledge.find_cold_rate(upstream, now) is not None
        limited = self._knowledge.limits.find(upstream.name) is not None
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
    job: Job,
    seconds: float,
    bound: int | None,
    stated: StatedLimit | None,
) -> None:
    """Note why a lender has refused a request, and when to come again."""
    if stated is not None:
        job.note = "limited"
        job.retry_after = wait_for_limit(seconds)
        return
    job.note = "no place" if bound is None else "cold"
    job.retry_after = wait_for_place(seconds)
