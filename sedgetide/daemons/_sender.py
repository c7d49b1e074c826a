"""Sends a request to an upstream once and evaluates the answer."""

from collections.abc import Callable

import gevent

from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.errors import AnswerCutError
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
from sedgetide.core.requests.health import UNREACHABLE_WEIGHT
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.pushback import Pushback
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.retryafter import retry_after_full_upstream
from sedgetide.core.requests.retryafter import retry_after_owner_loss
from sedgetide.core.requests.stages import Stage
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.daemons._connectionchoice import take_connection
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import PUSHBACKS
from sedgetide.daemons._hostmetrics import UNREADABLE_LOADS
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamselector import SendPermit
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import drop_hop_headers
from sedgetide.wire.messages import Request

_MAX_DETAIL_LENGTH = 80
# Failures that a lost path causes as well. While the path is in doubt, they
# don't count against the upstream, which other hosts may reach.
_PATH_FAILURES = frozenset({Failure.BROKEN, Failure.SILENT})


class Sender:
    """Sends requests and updates the host's state from the answers.

    Parameters
    ----------
    deployment : DeploymentState
        State of the deployment as this host knows it.
    dialect : RequestDialect
        Reads and writes the headers of requests and answers.
    meter : LoadMeter
        Measures load for the reports to the leader.
    partitions : PartitionDetector
        Records which data centres answer.
    answer_averages : AnswerAverages
        Averages service times and answer sizes.
    crash_detector : CrashDetector
        Determines whether a broken connection means a crashed upstream.
    paths : PathMonitor
        Records which upstreams this host reaches.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        dialect: RequestDialect,
        meter: LoadMeter,
        partitions: PartitionDetector,
        answer_averages: AnswerAverages,
        crash_detector: CrashDetector,
        paths: PathMonitor,
    ) -> None:
        self._deployment = deployment
        self._dialect = dialect
        self._meter = meter
        self._partitions = partitions
        self._averages = answer_averages
        self._crash_detector = crash_detector
        self._paths = paths

    def attempt(
        self,
        context: RequestContext,
        permit: SendPermit,
        may_send: Callable[[], bool],
    ) -> bool:
        """Send a request once and record the result in its progress.

        Parameters
        ----------
        context : RequestContext
            The request.
        permit : SendPermit
            Permission to send it, and the upstream.
        may_send : callable
            Returns whether the permit is still valid. Called right before
            the send, after a connection has been opened, which takes up to
            0.4 s.

        Returns
        -------
        bool
            False when the permit was no longer valid and nothing was sent.
        """
        progress = context.progress
        target, channel = permit.target, permit.channel
        now = read_clock()
        if now >= context.times.final:
            context.refuse(RefusalReason.TOO_LATE)
            progress.failure = Failure.UNREACHABLE
            return True
        connection = self._connect(context, permit, now)
        if connection is None:
            return True
        if not may_send():
            channel.pool.give_back(connection)
            return False
        progress.sends += 1
        progress.tried.append(target.upstream.name)
        began = read_clock()
        if progress.sends == 1:
            context.held = began - context.times.began
        context.fence = target.fence
        context.rested = connection.rested
        context.ports.append(connection.local_port)
        # Until an answer arrives, the upstream may have run the request.
        earlier_outcome, progress.outcome = progress.outcome, Outcome.UNKNOWN
        try:
            answer = self._exchange(context, permit, connection, began)
        except UpstreamError as error:
            silent = error.code is ErrorCode.UPSTREAM_SILENT
            if not silent and not isinstance(error, AnswerCutError):
                channel.idle_limit.note_reset(connection.rested, read_clock())
            failure = Failure.SILENT if silent else Failure.BROKEN
            self._note_failure(context, permit, failure)
            context.detail = error.detail[:_MAX_DETAIL_LENGTH]
            if not silent:
                self._crash_detector.note_broken(context, target.upstream)
            return True
        except gevent.GreenletExit:
            self._crash_detector.note_abandoned(context, target.upstream)
            raise
        self._paths.note_answer(target.upstream)
        self._crash_detector.note_answer(target.upstream.name, began)
        channel.owed.note_answer(read_clock())
        channel.pool.give_back(connection)
        self._partitions.note_reached(
            target.upstream.data_centre, read_clock()
        )
        self._handle_answer(context, permit, answer, earlier_outcome, began)
        return True

    def _exchange(
        self,
        context: RequestContext,
        permit: SendPermit,
        connection: Connection,
        began: float,
    ) -> Answer:
        """Send a request and return its answer; errors as of `exchange`."""
        target, owed = permit.target, permit.channel.owed
        number = owed.note_sent(began)
        connection.sent_ids.note(
            context.fields.request, context.times.final, began
        )
        silent = False
        try:
            with (
                self._paths.watch_sending(target.upstream),
                context.wait_for(Stage.ANSWER),
            ):
                answer = connection.exchange(
                    self._build_request(context, target, began),
                    max(0.001, context.times.final - began),
                    self._make_response_check(context, permit, connection),
                )
                if context.fields.request:
                    permit.channel.answer_ids.note_answer(
                        self._dialect.read_request_id(answer.headers)
                    )
                return answer
        except UpstreamError as error:
            silent = error.code is ErrorCode.UPSTREAM_SILENT or isinstance(
                error, AnswerCutError
            )
            raise
        finally:
            owed.note_end(number, silent)

    def _connect(
        self, context: RequestContext, permit: SendPermit, now: float
    ) -> Connection | None:
        """Return a connection to the upstream, or None after a failure."""
        upstream, channel = permit.target.upstream, permit.channel
        try:
            with context.wait_for(Stage.CONNECTION):
                connection = take_connection(context, channel, now)
        except UpstreamError as error:
            if error.code is ErrorCode.UPSTREAM_FULL:
                self._paths.note_connected(upstream)
            else:
                self._note_unreached(context, permit, now)
            self._note_failure(context, permit, Failure.UNREACHABLE)
            context.detail = error.detail[:_MAX_DETAIL_LENGTH]
            return None
        if connection.is_new:
            self._paths.note_connected(upstream)
        return connection

    def _note_unreached(
        self, context: RequestContext, permit: SendPermit, now: float
    ) -> None:
        health = permit.channel.health
        self._paths.note_missed(permit.target.upstream)
        health.note_unreached(now)
        if context.keyed:
            absence = health.find_unreachable_time(read_clock())
            context.retry_after = retry_after_owner_loss(absence)

    def _build_request(
        self, context: RequestContext, target: Target, now: float
    ) -> Request:
        headers = drop_hop_headers(context.request.headers)
        return Request(
            context.request.method,
            context.request.target,
            self._dialect.write_request(
                headers,
                context.fields,
                context.times.final - now,
                target.upstream.registered_name,
            ),
            context.request.body,
        )

    def _make_response_check(
        self,
        context: RequestContext,
        permit: SendPermit,
        connection: Connection,
    ) -> Callable[[list[tuple[str, str]]], bool]:
        is_first = not connection.answered

        def is_own_answer(headers: list[tuple[str, str]]) -> bool:
            return permit.channel.answer_ids.is_own(
                self._dialect.read_request_id(headers),
                context.fields.request,
                is_first,
                certain=False,
            )

        return is_own_answer

    def _handle_answer(
        self,
        context: RequestContext,
        permit: SendPermit,
        answer: Answer,
        earlier_outcome: Outcome,
        began: float,
    ) -> None:
        now = read_clock()
        target, channel = permit.target, permit.channel
        load = self._read_load(target, answer)
        if load is not None:
            context.congested |= load.waiting > 0
            channel.window.note_load(load, now)
            channel.admit()
        failure = refine_failure(
            self._dialect.classify_answer(answer.status, answer.headers),
            context.keyed,
        )
        stated_limit = None
        if failure is not Failure.FOREIGN:
            stated_limit = self._apply_pushback(
                target.upstream, answer, failure is Failure.NONE, began, now
            )
        if permit.place is not None:
            waiting = 0 if load is None else load.waiting
            complete = failure is Failure.NONE
            permit.place.note_answer(
                now - began if complete else None, waiting, stated_limit
            )
        if failure is Failure.NONE:
            channel.health.note_success(now - began)
            self._averages.note_answer(
                context.route.name,
                context.service,
                now - began,
                len(answer.body),
            )
            self._meter.note_answer(
                context.route.name, target.upstream.name, now - began, load
            )
            context.progress.outcome = Outcome.ANSWERED
            context.progress.failure = Failure.NONE
            _keep_answer(context, target, answer)
            return
        if failure is Failure.FOREIGN:
            self._deployment.directory.note_foreign(target.upstream.name, now)
        if failure in NOT_RUN_FAILURES:
            context.progress.outcome = combine_outcomes(
                earlier_outcome, Outcome.NOT_RUN
            )
        elif failure is Failure.FAILED:
            _keep_answer(context, target, answer)
        if failure is Failure.BUSY:
            seconds = channel.health.estimate_seconds()
            context.retry_after = retry_after_full_upstream(load, seconds)
        self._note_failure(context, permit, failure, load)

    def _read_load(
        self, target: Target, answer: Answer
    ) -> UpstreamLoad | None:
        try:
            return self._dialect.read_load(answer.headers)
        except ValueError as error:
            # The answer itself is complete; only the window and the lender
            # get no load figures from it.
            UNREADABLE_LOADS.labels(target.upstream.service).inc()
            log_event(
                Event.LOAD_REFUSED,
                upstream=target.upstream.registered_name,
                problem=error,
            )
            return None

    def note_peer_answer(
        self, context: RequestContext, asked_at: float
    ) -> None:
        """Apply what an upstream says of itself in an answer that a peer got.

        The caller gets it from this host, which then has to know it as if it
        had sent the request itself. A backoff concerns the peer only.

        Parameters
        ----------
        asked_at : float
            Monotonic time before which the peer can't have sent it.
        """
        upstream = self._deployment.directory.find(context.answered_by)
        if upstream is None:
            return
        answer = context.answer
        pushback = self._read_pushback(upstream, answer)
        self._note_leaving(upstream, pushback)
        if pushback.limit is not None:
            limit = StatedLimit(pushback.limit, asked_at, read_clock())
            self._note_limit(upstream, limit)

    def _read_pushback(
        self, upstream: RegisteredUpstream, answer: Answer
    ) -> Pushback:
        pushback = self._dialect.read_pushback(answer.status, answer.headers)
        for problem in pushback.problems:
            PUSHBACKS.labels(upstream.service, "unreadable").inc()
            log_event(
                Event.PUSHBACK_REFUSED,
                upstream=upstream.registered_name,
                problem=problem,
            )
        return pushback

    def _apply_pushback(
        self,
        upstream: RegisteredUpstream,
        answer: Answer,
        complete: bool,
        began: float,
        now: float,
    ) -> StatedLimit | None:
        """Apply the pushback of an answer; return the limit it states."""
        pushback = self._read_pushback(upstream, answer)
        self._note_leaving(upstream, pushback)
        if pushback.backoff is not None:
            PUSHBACKS.labels(upstream.service, "backoff").inc()
            self._note_backoff(upstream, pushback.backoff, now)
        if pushback.limit is None and (not complete or pushback.problems):
            # Only a complete answer without a limit means that there is none.
            return None
        stated_limit = StatedLimit(pushback.limit, began, now)
        before = self._deployment.limits.find(upstream.name)
        self._note_limit(upstream, stated_limit)
        # Nearly all answers state no limit, and the lender is often in another
        # data centre; it is told of "no limit" only if there was one before.
        return (
            None
            if before is None and stated_limit.rate is None
            else stated_limit
        )

    def _note_leaving(
        self, upstream: RegisteredUpstream, pushback: Pushback
    ) -> None:
        if pushback.leaving:
            PUSHBACKS.labels(upstream.service, "leaving").inc()
            self._deployment.note_leaving(upstream.name)

    def _note_limit(
        self, upstream: RegisteredUpstream, stated_limit: StatedLimit
    ) -> None:
        limits = self._deployment.limits
        if stated_limit.rate is not None:
            PUSHBACKS.labels(upstream.service, "limit").inc()
        if limits.note(upstream.name, stated_limit):
            limit = limits.find(upstream.name)
            log_event(
                Event.LIMITED,
                upstream=upstream.registered_name,
                limit=None if limit is None else limit.rate,
            )

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
        context: RequestContext,
        permit: SendPermit,
        failure: Failure,
        load: UpstreamLoad | None = None,
    ) -> None:
        target, channel = permit.target, permit.channel
        context.progress.failure = failure
        context.failures.append(failure)
        context.refusal = None
        context.detail = ""
        unseen = failure in _PATH_FAILURES and self._paths.is_doubtful(
            target.upstream
        )
        if failure in (Failure.BUSY, Failure.BROKEN) and not unseen:
            channel.window.note_refusal(load)
        if failure in NO_RESPONSE_FAILURES:
            self._partitions.note_unreached(target.upstream.data_centre)
        if failure is not Failure.NOT_OWNER:
            unreached = failure is Failure.UNREACHABLE
            weight = UNREACHABLE_WEIGHT if unreached else 1.0
            channel.health.note_failure(read_clock(), weight)
        if failure in UPSTREAM_FAULTS and not unseen:
            self._meter.note_failure(target.upstream.name)


def _keep_answer(
    context: RequestContext, target: Target, answer: Answer
) -> None:
    """Keep an answer of an upstream as one that the caller may get."""
    headers = drop_hop_headers(answer.headers)
    context.answer = Answer(answer.status, headers, answer.body)
    context.answered_by = target.upstream.name
