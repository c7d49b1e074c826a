"""One send of a request to an upstream, and what its answer tells."""

from collections.abc import Callable

from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import NO_RESPONSE_FAILURES
from sedgetide.core.requests.attempts import NOT_RUN_FAILURES
from sedgetide.core.requests.attempts import refine_failure
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.attempts import UPSTREAM_FAULTS
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.health import UNREACHED_WEIGHT
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.retryafter import retry_after_full_upstream
from sedgetide.core.requests.retryafter import retry_after_owner_loss
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import PUSHBACKS
from sedgetide.daemons._hostmetrics import UNREADABLE_LOADS
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannel
from sedgetide.daemons._upstreamselector import SendPermit
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import drop_hop_headers
from sedgetide.wire.messages import Request

# Seconds; a handshake between data centres takes two milliseconds, a lost
# packet of it is sent again after 0.2 s.
_CONNECT_TIMEOUT = 0.4
_LONGEST_DETAIL = 80


class Sender:
    """Sends requests and learns from what comes back.

    Parameters
    ----------
    knowledge : DeploymentState
        What is known of the deployment.
    dialect : RequestDialect
        Headers.
    meter : LoadMeter
        Counts load for the leader.
    partitions : PartitionDetector
        Learns from each request what can be reached.
    usual : AnswerAverages
        Learns what requests take.
    breaks : CrashDetector
        Finds out why connections break.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        dialect: RequestDialect,
        meter: LoadMeter,
        partitions: PartitionDetector,
        usual: AnswerAverages,
        breaks: CrashDetector,
    ) -> None:
        self._deployment = deployment
        self._dialect = dialect
        self._meter = meter
        self._partitions = partitions
        self._usual = usual
        self._breaks = breaks

    def attempt(
        self,
        job: RequestContext,
        passage: SendPermit,
        may_send: Callable[[], bool],
    ) -> bool:
        """Send a request once; its progress tells what became of it.

        Parameters
        ----------
        may_send : callable
            Tells right before the send whether the passage still holds: to
            open a connection takes up to 0.4 s.

        Returns
        -------
        bool
            False when it does not, and nothing was sent.
        """
        progress = job.progress
        target, lane = passage.target, passage.lane
        now = read_clock()
        if now >= job.times.final:
            job.note = "too late"
            progress.failure = Failure.UNREACHABLE
            return True
        try:
            connection = lane.pool.take(
                min(_CONNECT_TIMEOUT, job.times.final - now),
                _choose_rest(job, lane, now),
            )
        except UpstreamError as error:
            if error.code is ErrorCode.UPSTREAM_UNREACHABLE:
                lane.health.note_unreached(now)
                if job.keyed:
                    absence = lane.health.find_unreachable_time(read_clock())
                    job.retry_after = retry_after_owner_loss(absence)
            self._note_failure(job, passage, Failure.UNREACHABLE)
            return True
        if not may_send():
            lane.pool.give_back(connection)
            return False
        progress.sends += 1
        progress.tried.append(target.upstream.name)
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
            failure = Failure.SILENT if silent else Failure.BROKEN
            self._note_failure(job, passage, failure)
            job.note = error.detail[:_LONGEST_DETAIL]
            if not silent:
                self._breaks.note_broken(job, target.upstream)
            return True
        self._breaks.note_answer(target.upstream.name, began)
        lane.pool.give_back(connection)
        self._partitions.note_reached(
            target.upstream.data_centre, read_clock()
        )
        self._take_answer(job, passage, answer, before, began)
        return True

    def _make_send(
        self, job: RequestContext, target: Target, now: float
    ) -> Request:
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

    def _make_test(
        self, job: RequestContext
    ) -> Callable[[list[tuple[str, str]]], bool]:
        def belongs(headers: list[tuple[str, str]]) -> bool:
            found = self._dialect.read_request_id(headers)
            return found is None or found == job.fields.request

        return belongs

    def _take_answer(
        self,
        job: RequestContext,
        passage: SendPermit,
        answer: Answer,
        before: Outcome,
        began: float,
    ) -> None:
        now = read_clock()
        target, lane = passage.target, passage.lane
        load = self._read_load(target, answer)
        if load is not None:
            lane.window.note_load(load, now)
            lane.admit()
        failure = refine_failure(
            self._dialect.classify_answer(answer.status, answer.headers),
            job.keyed,
        )
        said = self._hear_pushback(target, answer, failure, began, now)
        if passage.place is not None:
            waiting = 0 if load is None else load.waiting
            whole = failure is Failure.NONE
            passage.place.note_answer(
                now - began if whole else None, waiting, said
            )
        if failure is Failure.NONE:
            lane.health.note_success(now - began)
            self._usual.note_answer(
                job.route.name, job.service, now - began, len(answer.body)
            )
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
            self._deployment.directory.note_foreign(target.upstream.name, now)
        if failure in NOT_RUN_FAILURES:
            job.progress.outcome = combine_outcomes(before, Outcome.NOT_RUN)
        elif failure is Failure.FAILED:
            job.answer = Answer(
                answer.status, drop_hop_headers(answer.headers), answer.body
            )
        if failure is Failure.BUSY:
            seconds = lane.health.estimate_seconds()
            job.retry_after = retry_after_full_upstream(load, seconds)
        self._note_failure(job, passage, failure, load)

    def _read_load(
        self, target: Target, answer: Answer
    ) -> UpstreamLoad | None:
        try:
            return self._dialect.read_load(answer.headers)
        except ValueError as error:
            # The answer itself is whole; only windows and places go without
            # what it would have told them.
            UNREADABLE_LOADS.labels(target.upstream.service).inc()
            log_event(
                Event.LOAD_REFUSED,
                upstream=target.upstream.registered_name,
                problem=error,
            )
            return None

    def _hear_pushback(
        self,
        target: Target,
        answer: Answer,
        failure: Failure,
        began: float,
        now: float,
    ) -> StatedLimit | None:
        """Take in what an answer asks; return what it says of a limit."""
        upstream = target.upstream
        pushback = self._dialect.read_pushback(answer.status, answer.headers)
        for problem in pushback.problems:
            PUSHBACKS.labels(upstream.service, "unreadable").inc()
            log_event(
                Event.PUSHBACK_REFUSED,
                upstream=upstream.registered_name,
                problem=problem,
            )
        if failure is Failure.FOREIGN:
            return None
        if pushback.leaving:
            PUSHBACKS.labels(upstream.service, "leaving").inc()
            self._deployment.note_leaving(upstream.name)
        if pushback.backoff is not None:
            PUSHBACKS.labels(upstream.service, "backoff").inc()
            self._note_backoff(upstream, pushback.backoff, now)
        limits = self._deployment.limits
        if pushback.limit is not None:
            PUSHBACKS.labels(upstream.service, "limit").inc()
        elif failure is not Failure.NONE or pushback.problems:
            # Only a whole answer that names none says that there is none.
            return None
        said = StatedLimit(pushback.limit, began, now)
        before = limits.find(upstream.name)
        if limits.note(upstream.name, said):
            limit = limits.find(upstream.name)
            log_event(
                Event.LIMITED,
                upstream=upstream.registered_name,
                limit=None if limit is None else limit.rate,
            )
        # Nearly all answers name none, and a lender is often far away.
        return None if before is None and said.rate is None else said

    def _note_backoff(
        self, upstream: RegisteredUpstream, seconds: float, now: float
    ) -> None:
        if self._deployment.backoffs.note(upstream.name, seconds, now):
            log_event(
                Event.BACKING_OFF,
                upstream=upstream.registered_name,
                seconds=seconds,
            )

    def _note_failure(
        self,
        job: RequestContext,
        passage: SendPermit,
        failure: Failure,
        load: UpstreamLoad | None = None,
    ) -> None:
        target, lane = passage.target, passage.lane
        job.progress.failure = failure
        job.failures.append(failure)
        if failure in (Failure.BUSY, Failure.BROKEN):
            lane.window.note_refusal(load)
        if failure in NO_RESPONSE_FAILURES:
            self._partitions.note_unreached(target.upstream.data_centre)
        if failure is not Failure.NOT_OWNER:
            unreached = failure is Failure.UNREACHABLE
            weight = UNREACHED_WEIGHT if unreached else 1.0
            lane.health.note_failure(read_clock(), weight)
        if failure in UPSTREAM_FAULTS:
            self._meter.note_failure(target.upstream.name)


def _choose_rest(
    job: RequestContext, lane: UpstreamChannel, now: float
) -> float:
    """Return how long a connection may have rested for a request.

    One that may run again is sent again; the others have one chance.
    """
    if job.route.idempotent:
        return float("inf")
    return lane.rests.find_max_idle(now)
