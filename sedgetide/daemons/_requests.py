"""From a caller's request to its final answer."""

import random

import gevent
import msgspec

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import find_owner
from sedgetide.core.requests.attempts import list_candidates
from sedgetide.core.requests.attempts import may_send_again
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import refine_failure
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.attempts import Wait
from sedgetide.core.requests.choice import Candidate
from sedgetide.core.requests.choice import choose_upstream
from sedgetide.core.requests.choice import price_crossing
from sedgetide.core.requests.health import UNREACHED_WEIGHT
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.retries import bound_burst
from sedgetide.core.requests.retries import FIRST_TOKENS
from sedgetide.core.requests.retries import RetryBudget
from sedgetide.core.requests.retries import RetryTerms
from sedgetide.core.requests.returns import UNPREPARED
from sedgetide.core.requests.returns import wait_for_move
from sedgetide.core.requests.returns import wait_for_owner
from sedgetide.core.requests.returns import wait_for_queue
from sedgetide.core.requests.returns import wait_for_upstream
from sedgetide.core.requests.routes import choose_service
from sedgetide.core.requests.routes import set_times
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._hostmetrics import RETRIES
from sedgetide.daemons._job import Job
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._lanes import Lane
from sedgetide.daemons._lanes import Lanes
from sedgetide.daemons._places import Place
from sedgetide.daemons._places import PlaceRefused
from sedgetide.daemons._places import Places
from sedgetide.daemons._reporter import LoadMeter
from sedgetide.daemons._requestlog import count_end
from sedgetide.daemons._requestlog import RequestLog
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import drop_hop_headers
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

_CONNECT_TIMEOUT = 0.4
_NOT_OWNER_PAUSE = 0.03
_BUSY_PAUSE = 0.04
_MOST_UNREACHED = 3
_FIRST_GUESS = 0.25
_USUAL_GAIN = 0.1

# These left the upstream's own word that nothing ran, or no byte had left.
_NOT_RUN_FAILURES = frozenset(
    {
        Failure.BUSY,
        Failure.NOT_OWNER,
        Failure.FOREIGN,
        Failure.DECLINED,
        Failure.UNREACHABLE,
    }
)

# The upstream said nothing at all.
_NO_WORD = frozenset({Failure.UNREACHABLE, Failure.SILENT})

# These tell of the upstream itself; a full one, or one out of reach, is not
# slow, and would lose its keys for what it was asked too much.
_OWN_FAULTS = frozenset({Failure.FAILED, Failure.SILENT, Failure.FOREIGN})


class _Passage(msgspec.Struct):
    """Leave to send one request to an upstream."""

    target: Target
    lane: Lane
    place: Place | None

    def leave(self) -> None:
        self.lane.leave()
        if self.place is not None:
            self.place.leave()


class Requests:
    """Serves the requests of one host.

    Parameters
    ----------
    knowledge : Knowledge
        What is known of the deployment.
    dialect : RequestDialect
        Headers.
    lanes : Lanes
        Ways to upstreams.
    places : Places
        Places at upstreams, where hosts lend them.
    meter : LoadMeter
        Counts load for the leader.
    data_centre : str
        Own data centre.
    partitions : PartitionDetector
        Learns from each request what can be reached.
    retries : RetryTerms
        What the deployment grants.
    source : random.Random
        Blurs choices, on each host in its own way.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        dialect: RequestDialect,
        lanes: Lanes,
        places: Places,
        meter: LoadMeter,
        data_centre: str,
        partitions: PartitionDetector,
        retries: RetryTerms,
        source: random.Random,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._lanes = lanes
        self._places = places
        self._meter = meter
        self._data_centre = data_centre
        self._partitions = partitions
        self._retries = retries
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._random = source
        self._usual: dict[ServiceName, float] = {}
        self._usual_bytes: dict[RouteName, float] = {}
        self._log = RequestLog(knowledge)

    def read_limits(self) -> CallerLimits:
        """Return the bounds of callers in force."""
        policy = self._knowledge.policy
        return CallerLimits() if policy is None else policy.limits

    def is_idempotent(self, request: Request) -> bool:
        """Tell whether a request may run beside others of its caller."""
        route = self._match(request)
        return route is None or route.idempotent

    def _match(self, request: Request) -> RouteRule | None:
        if self._knowledge.routes is None:
            return None
        host = find_header(request.headers, "host") or ""
        return self._knowledge.routes.match(host, request.path)

    def serve(self, request: Request) -> Answer:
        """Bring a request to its final answer."""
        began = read_clock()
        if self._knowledge.routes is None:
            return _refuse(UNPREPARED)
        try:
            fields = self._dialect.read_request(request.headers)
        except ValueError as error:
            return _say(400, str(error))
        route = self._match(request)
        if route is None:
            self._log.tell_denied(fields, request)
            return _say(404, "no route")
        job = self._make_job(request, fields, route, began)
        try:
            budget = self._find_budget(job.service)
            budget.limit(self._bound_burst())
            budget.note_request()
            answer = self._run(job)
        except gevent.GreenletExit:
            self._log.tell_end(job, 0, began)
            raise
        self._log.tell_end(job, answer.status, began)
        count_end(job, began)
        self._partitions.note_end(job.progress.outcome is Outcome.ANSWERED)
        return answer

    def _make_job(
        self,
        request: Request,
        fields: CallerFields,
        route: RouteRule,
        began: float,
    ) -> Job:
        service = choose_service(route, fields.request)
        rule = self._knowledge.policy.services.get(service)
        keyed = rule is not None and rule.keyed
        if keyed and fields.key is not None:
            self._meter.note_request(route.name, service, fields.key)
        times = set_times(route, fields.deadline, began)
        return Job(request, fields, route, service, keyed, times, Progress())

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._retries.ratio, self._bound_burst(), FIRST_TOKENS
            )
            self._budgets[service] = budget
        return budget

    def _bound_burst(self) -> float:
        return bound_burst(self._retries.slack, self._knowledge.hosts)

    # Attempts

    def _run(self, job: Job) -> Answer:
        while True:
            passage = self._find_passage(job)
            if passage is None:
                return self._conclude(job)
            try:
                self._attempt(job, passage.target, passage.lane)
            finally:
                passage.leave()
            if job.progress.failure is Failure.NONE:
                return job.answer
            if not self._may_go_on(job):
                return self._conclude(job)

    def _may_go_on(self, job: Job) -> bool:
        now = read_clock()
        if job.progress.failure is Failure.UNREACHABLE:
            return self._may_look_elsewhere(job, now)
        if not may_send_again(
            job.route, job.progress, job.keyed, job.times, now
        ):
            return False
        if not self._find_budget(job.service).spend():
            job.note = "no retry budget"
            RETRIES.labels(job.service, "refused").inc()
            return False
        RETRIES.labels(job.service, "spent").inc()
        if job.progress.failure is Failure.NOT_OWNER:
            self._knowledge.changes.wait(_NOT_OWNER_PAUSE)
        elif job.progress.failure is Failure.BUSY:
            gevent.sleep(_BUSY_PAUSE)
        return True

    def _may_look_elsewhere(self, job: Job, now: float) -> bool:
        """Tell whether to go on after a connection that did not open.

        Nothing arrived anywhere, so this is no retry; but the owner of a
        key is the only one that may run its requests.
        """
        job.unreached += 1
        if job.unreached > _MOST_UNREACHED or now >= job.times.bound_hold():
            return False
        if job.keyed:
            self._knowledge.changes.wait(job.times.bound_hold() - now)
        return True

    def _conclude(self, job: Job) -> Answer:
        """Return the final answer of a request that none was got for."""
        if job.progress.outcome is Outcome.NOT_RUN:
            return _refuse(job.retry_after)
        if job.answer is not None:
            return job.answer
        silent = job.progress.failure is Failure.SILENT
        return _say(504 if silent else 502, "may have run")

    # Targets

    def _find_passage(self, job: Job) -> _Passage | None:
        """Return a target with a place there; None to give up."""
        limit = job.times.bound_hold()
        if job.progress.sends:
            limit = max(limit, read_clock() + 0.1)
        while True:
            now = read_clock()
            target = self._find_target(job, now)
            if isinstance(target, Target):
                lane = self._lanes.find(target.upstream)
                if not self._enter(job, target, lane, limit):
                    return None
                passage = _Passage(target, lane, job.place)
                if self._still_holds(job, target):
                    return passage
                passage.leave()
                continue
            job.note = target.value
            if now >= limit:
                job.retry_after = self._foresee_owner(job, target, now)
                return None
            self._knowledge.changes.wait(limit - now)

    def _enter(
        self, job: Job, target: Target, lane: Lane, limit: float
    ) -> bool:
        """Wait for a place at an upstream; return whether one was got.

        Only one upstream may run a request with a key, so the queue there
        is the only one that counts; among equal ones each host's own
        windows find one with room.
        """
        priority = job.route.priority
        job.place = None
        if job.keyed:
            found = self._ask_place(job, target)
            if isinstance(found, PlaceRefused):
                job.note = "no place"
                job.retry_after = wait_for_queue(found.retry_after)
                return False
            if found is not None:
                job.place = found
                lane.occupy()
                return True
        wait = min(limit, job.times.final) - read_clock()
        if lane.enter(priority, wait):
            return True
        job.note = "window"
        job.retry_after = wait_for_queue(lane.estimate_wait(priority))
        return False

    def _ask_place(
        self, job: Job, target: Target
    ) -> Place | PlaceRefused | None:
        now = read_clock()
        left = job.times.find_patience(now)
        if job.progress.sends:
            # It may have run, and only an answer can tell: worth the wait.
            left = job.times.final - now
        return self._places.enter(target.upstream, job.route.priority, left)

    def _foresee_owner(self, job: Job, wait: Wait, now: float) -> float:
        """Return when a request that can't be sent anywhere may be."""
        if wait is not Wait.MOVING:
            return UNPREPARED
        moving = self._knowledge.find_moving(job.service, job.fields.key, now)
        return wait_for_move(moving)

    def _still_holds(self, job: Job, target: Target) -> bool:
        """Tell whether a target is still right after waiting for it."""
        directory = self._knowledge.directory
        if directory.find_active(target.upstream.name) is None:
            return False
        if not job.keyed:
            return True
        table = self._knowledge.find_table(job.service)
        return find_owner(table, job.fields.key, directory) == target

    def _find_target(self, job: Job, now: float) -> Target | Wait:
        directory = self._knowledge.directory
        if job.keyed:
            table = self._knowledge.find_table(job.service)
            return find_owner(table, job.fields.key, directory)
        candidates = list_candidates(
            directory, job.service, job.progress.tried, now
        )
        if not candidates:
            return Wait.NO_UPSTREAM
        size = len(job.request.body) + self._usual_bytes.get(job.route.name, 0)
        crossing = price_crossing(size, job.times.objective - job.times.began)
        seen = [
            self._describe(upstream, crossing, now) for upstream in candidates
        ]
        return Target(choose_upstream(seen, self._random))

    def _describe(
        self, upstream: RegisteredUpstream, crossing: float, now: float
    ) -> Candidate:
        lane = self._lanes.find(upstream)
        usual = self._usual.get(upstream.service, _FIRST_GUESS)
        near = upstream.data_centre == self._data_centre
        return Candidate(
            upstream,
            lane.health.service_time or usual,
            lane.window.estimate_queue(now) + lane.queue_length,
            near,
            lane.pool.has_idle,
            lane.health.is_suspect(now),
            0.0 if near else crossing,
        )

    # One attempt

    def _attempt(self, job: Job, target: Target, lane: Lane) -> None:
        progress = job.progress
        name = target.upstream.name
        now = read_clock()
        if now >= job.times.final:
            job.note = "too late"
            progress.failure = Failure.UNREACHABLE
            return
        try:
            connection = lane.pool.take(
                min(_CONNECT_TIMEOUT, job.times.final - now),
                _choose_rest(job, lane, now),
            )
        except UpstreamError as error:
            if error.code is ErrorCode.UPSTREAM_UNREACHABLE:
                lane.health.note_unreached(now)
                if job.keyed:
                    absence = lane.health.find_absence(read_clock())
                    job.retry_after = wait_for_owner(absence)
            self._note_failure(job, target, lane, Failure.UNREACHABLE)
            return
        progress.sends += 1
        progress.tried.append(name)
        began = read_clock()
        if progress.sends == 1:
            job.held = began - job.times.began
        job.fence = target.fence
        job.rested = connection.rested
        # Until an answer tells otherwise, it may have run.
        before, progress.outcome = progress.outcome, Outcome.UNKNOWN
        try:
            answer = connection.exchange(
                self._make_send(job, target, began),
                max(0.001, job.times.final - began),
                self._make_test(job),
            )
        except UpstreamError as error:
            silent = error.code is ErrorCode.UPSTREAM_SILENT
            if not silent:
                lane.rests.note_reset(connection.rested, read_clock())
            self._note_failure(
                job,
                target,
                lane,
                Failure.SILENT if silent else Failure.BROKEN,
            )
            job.note = error.detail[:80]
            return
        lane.pool.give_back(connection)
        self._partitions.note_reached(
            target.upstream.data_centre, read_clock()
        )
        self._take_answer(job, target, lane, answer, before, began)

    def _make_send(self, job: Job, target: Target, now: float) -> Request:
        headers = drop_hop_headers(job.request.headers)
        return Request(
            job.request.method,
            job.request.target,
            self._dialect.write_request(
                headers,
                job.fields,
                job.times.final - now,
                target.upstream.registered_name,
            ),
            job.request.body,
        )

    def _make_test(self, job: Job):
        def belongs(headers: list[tuple[str, str]]) -> bool:
            found = self._dialect.find_request(headers)
            return found is None or found == job.fields.request

        return belongs

    def _take_answer(
        self,
        job: Job,
        target: Target,
        lane: Lane,
        answer: Answer,
        before: Outcome,
        began: float,
    ) -> None:
        now = read_clock()
        load = self._dialect.read_load(answer.headers)
        if load is not None:
            lane.window.note_load(load, now)
            lane.admit()
        failure = refine_failure(
            self._dialect.judge(answer.status, answer.headers), job.keyed
        )
        if job.place is not None:
            waiting = 0 if load is None else load.waiting
            whole = failure is Failure.NONE
            job.place.note_answer(now - began if whole else None, waiting)
        if failure is Failure.NONE:
            lane.health.note_success(now - began)
            self._note_usual(job, now - began, len(answer.body))
            self._meter.note_answer(
                job.route.name, target.upstream.name, now - began, load
            )
            job.progress.outcome = Outcome.ANSWERED
            job.progress.failure = Failure.NONE
            job.answer = Answer(
                answer.status, drop_hop_headers(answer.headers), answer.body
            )
            return
        if failure is Failure.FOREIGN:
            self._knowledge.directory.note_foreign(target.upstream.name, now)
        if failure in _NOT_RUN_FAILURES:
            job.progress.outcome = combine_outcomes(before, Outcome.NOT_RUN)
        elif failure is Failure.FAILED:
            job.answer = Answer(
                answer.status, drop_hop_headers(answer.headers), answer.body
            )
        if failure is Failure.BUSY:
            seconds = lane.health.estimate_seconds()
            job.retry_after = wait_for_upstream(load, seconds)
        self._note_failure(job, target, lane, failure, load)

    def _note_usual(self, job: Job, seconds: float, size: int) -> None:
        usual = self._usual.setdefault(job.service, seconds)
        self._usual[job.service] = usual + _USUAL_GAIN * (seconds - usual)
        known = self._usual_bytes.setdefault(job.route.name, size)
        self._usual_bytes[job.route.name] = known + _USUAL_GAIN * (
            size - known
        )

    def _note_failure(
        self,
        job: Job,
        target: Target,
        lane: Lane,
        failure: Failure,
        load: UpstreamLoad | None = None,
    ) -> None:
        job.progress.failure = failure
        if failure in (Failure.BUSY, Failure.BROKEN):
            lane.window.note_refusal(load)
        if failure in _NO_WORD:
            self._partitions.note_unreached(target.upstream.data_centre)
        if failure is not Failure.NOT_OWNER:
            unreached = failure is Failure.UNREACHABLE
            weight = UNREACHED_WEIGHT if unreached else 1.0
            lane.health.note_failure(read_clock(), weight)
        if failure in _OWN_FAULTS:
            self._meter.note_failure(target.upstream.name)


def _choose_rest(job: Job, lane: Lane, now: float) -> float:
    """Return how long a connection may have rested for a request.

    One that may run again is sent again; the others have one chance.
    """
    if job.route.idempotent:
        return float("inf")
    return lane.rests.find_longest(now)


def _refuse(retry_after: float) -> Answer:
    """Return the answer of a request that has not run and never will."""
    return Answer(503, [("Retry-After", f"{retry_after:g}")], b"not run\n")


def _say(status: int, text: str) -> Answer:
    return Answer(status, [], text.encode() + b"\n")
