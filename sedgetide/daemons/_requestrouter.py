"""Routes a caller's request to an upstream and returns its final answer."""

from collections.abc import Iterator
import contextlib
import logging
import random

import gevent
import msgspec

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import may_send_again
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.forwarding import ForwardedRequest
from sedgetide.core.requests.forwarding import ForwardedResult
from sedgetide.core.requests.outcomes import is_false_promise
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.overdue import OverdueDetector
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.retries import compute_burst_limit
from sedgetide.core.requests.retries import FIRST_TOKENS
from sedgetide.core.requests.retries import RetryBudget
from sedgetide.core.requests.retries import RetryPolicy
from sedgetide.core.requests.retryafter import retry_after_backoff
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY
from sedgetide.core.requests.retryafter import STOPPING_RETRY_DELAY
from sedgetide.core.requests.routes import choose_service
from sedgetide.core.requests.routes import compute_times
from sedgetide.core.requests.stages import Stage
from sedgetide.core.requests.stopping import StopSchedule
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._forwardedrequests import DECLINED
from sedgetide.daemons._forwardedrequests import make_context
from sedgetide.daemons._forwardedrequests import make_result
from sedgetide.daemons._forwardedrequests import read_request
from sedgetide.daemons._forwarder import Detour
from sedgetide.daemons._forwarder import Forwarder
from sedgetide.daemons._hostmetrics import FALSE_PROMISES
from sedgetide.daemons._hostmetrics import QUARANTINE_REFUSALS
from sedgetide.daemons._hostmetrics import RETRIES
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._places import Places
from sedgetide.daemons._quarantine import SharedQuarantine
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._requestlog import record_metrics
from sedgetide.daemons._requestlog import RequestLog
from sedgetide.daemons._sender import Sender
from sedgetide.daemons._trials import Trial
from sedgetide.daemons._trials import Trials
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.daemons._upstreamselector import SendPermit
from sedgetide.daemons._upstreamselector import UpstreamSelector
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

# Seconds; by then this host has received the result of a move that has just
# ended.
_NOT_OWNER_PAUSE = 0.03
# Seconds; a fifth of the usual service time, so a slot may have become free.
_BUSY_PAUSE = 0.04
_MAX_UNREACHED = 3

_log = logging.getLogger(__name__)


class _HostStops(BaseException):
    """Raised in a request that is in progress when its host ends."""


class RequestRouter:
    """Serves all requests that callers send to one host.

    Parameters
    ----------
    deployment : DeploymentState
        State of the deployment as this host knows it.
    dialect : RequestDialect
        Reads and writes the headers of requests and answers.
    channels : UpstreamChannels
        Connections and windows of all upstreams.
    places : Places
        Acquires places from the lenders of upstreams.
    meter : LoadMeter
        Measures load for the reports to the leader.
    data_centre : str
        Data centre of this host.
    partitions : PartitionDetector
        Records which data centres answer.
    crash_detector : CrashDetector
        Determines whether a broken connection means a crashed upstream.
    paths : PathMonitor
        Records which upstreams this host reaches.
    forwarder : Forwarder
        Passes requests on to hosts that reach other upstreams.
    quarantine : SharedQuarantine
        Refuses requests that crash the upstreams that run them.
    trials : Trials
        Runs suspect requests one copy at a time across all hosts.
    retry_policy : RetryPolicy
        Retries that the deployment allows.
    rng : random.Random
        Randomizes the choice of upstreams; seeded differently on each host.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        dialect: RequestDialect,
        channels: UpstreamChannels,
        places: Places,
        meter: LoadMeter,
        data_centre: str,
        partitions: PartitionDetector,
        crash_detector: CrashDetector,
        paths: PathMonitor,
        forwarder: Forwarder,
        quarantine: SharedQuarantine,
        trials: Trials,
        retry_policy: RetryPolicy,
        rng: random.Random,
    ) -> None:
        answer_averages = AnswerAverages()
        self._deployment = deployment
        self._dialect = dialect
        self._meter = meter
        self._partitions = partitions
        self._quarantine = quarantine
        self._trials = trials
        self._retry_policy = retry_policy
        self._overdue_detector = OverdueDetector()
        self._stop_schedule = StopSchedule()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._selector = UpstreamSelector(
            deployment,
            channels,
            places,
            answer_averages,
            data_centre,
            rng,
            paths,
            forwarder,
            self._stop_schedule,
        )
        self._paths = paths
        self._forwarder = forwarder
        self._sender = Sender(
            deployment,
            dialect,
            meter,
            partitions,
            answer_averages,
            crash_detector,
            paths,
        )
        self._log = RequestLog(deployment, dialect)
        self._in_progress: dict[gevent.Greenlet, RequestContext] = {}

    def read_limits(self) -> CallerLimits:
        """Return the caller limits in force."""
        policy = self._deployment.policy
        return CallerLimits() if policy is None else policy.limits

    def is_idempotent(self, request: Request) -> bool:
        """Return whether other requests of its caller may run beside it."""
        route = self._match(request)
        return route is None or route.idempotent

    def _match(self, request: Request) -> RouteRule | None:
        if self._deployment.routes is None:
            return None
        host = find_header(request.headers, "host") or ""
        return self._deployment.routes.match(host, request.path)

    def note_body_refusal(self, request: Request, retry_after: float) -> None:
        """Record that the server had no memory for the body of a request."""
        self._log.log_unrouted(request, RefusalReason.BODY_MEMORY, retry_after)

    def serve(self, request: Request) -> Answer:
        """Serve a request and return its final answer."""
        began = read_clock()
        if self._deployment.routes is None:
            self._log.log_unrouted(
                request, RefusalReason.NO_ROUTES, STARTUP_RETRY_DELAY
            )
            return _make_refusal(STARTUP_RETRY_DELAY)
        try:
            fields = self._dialect.read_request(request.headers)
        except ValueError as error:
            return _make_error_answer(400, str(error))
        route = self._match(request)
        if route is None:
            self._log.log_denied(fields, request)
            return _make_error_answer(404, "no route")
        context = self._make_context(request, fields, route, began)
        try:
            budget = self._find_budget(context.service)
            budget.limit(self._compute_burst_limit())
            budget.note_request()
            answer = self._run_until_stop(context)
        except gevent.GreenletExit:
            self._log.log_end(context, 0, began)
            raise
        except Exception:
            # The server answers 502.
            _note_internal_error(context)
            self._log.log_end(context, 502, began)
            record_metrics(context, began)
            raise
        self._log.log_end(context, answer.status, began)
        record_metrics(context, began)
        self._partitions.note_end(context.progress.outcome is Outcome.ANSWERED)
        if context.met_congestion:
            return msgspec.structs.replace(answer, congested=True)
        return answer

    def serve_forwarded(self, forwarded: ForwardedRequest) -> ForwardedResult:
        """Serve a request that another host has passed on to this one."""
        began = read_clock()
        policy = self._deployment.policy
        if policy is None or policy.version < forwarded.version:
            return DECLINED
        route = self._match(read_request(forwarded))
        if route is None:
            return DECLINED
        context = make_context(forwarded, route, policy, self._dialect, began)
        status = 0
        try:
            status = self._run_until_stop(context).status
        except Exception:
            _log.exception("passed on request failed")
            _note_internal_error(context)
            status = 502
        finally:
            self._log.log_end(context, status, began)
        return make_result(context, forwarded, self._paths.tracker.is_cut_off)

    # Stop

    def begin_stop(self, ends_at: float) -> None:
        """Refuse requests that can't be answered before the host ends.

        Parameters
        ----------
        ends_at : float
            Monotonic time at which :meth:`end_requests` is called.
        """
        self._stop_schedule.ends_at = ends_at
        for context in self._in_progress.values():
            context.times = self._stop_schedule.cap_times(context.times)
        # Requests that wait for an owner of their key decide anew.
        self._deployment.changes.notify_all()

    def end_requests(self) -> None:
        """Give the requests in progress a final answer, whatever they do."""
        for greenlet in list(self._in_progress):
            greenlet.kill(_HostStops(), block=False)

    def _run_until_stop(self, context: RequestContext) -> Answer:
        """Run the attempts of a request, at most until the host ends."""
        context.times = self._stop_schedule.cap_times(context.times)
        with self._track(context):
            try:
                answer = self._run_attempts(context)
            except _HostStops:
                answer = self._break_off(context)
        return self._withhold_false_promise(context, answer)

    def _withhold_false_promise(
        self, context: RequestContext, answer: Answer
    ) -> Answer:
        """Return an answer that promises "not run" only if this is known."""
        progress = context.progress
        if not is_false_promise(progress.outcome, answer.status):
            return answer
        FALSE_PROMISES.labels(context.service, str(answer.status)).inc()
        context.detail = f"status {answer.status}, which may have run"
        context.answer = None
        progress.outcome = Outcome.UNKNOWN
        if progress.failure is Failure.NONE:
            progress.failure = Failure.FAILED
            context.failures.append(Failure.FAILED)
        return self._make_final_answer(context)

    def _break_off(self, context: RequestContext) -> Answer:
        """Return the final answer of a request that can't be completed."""
        progress = context.progress
        context.refuse(RefusalReason.STOPPING)
        context.retry_after = STOPPING_RETRY_DELAY
        if progress.outcome is Outcome.UNKNOWN:
            progress.failure = Failure.SILENT
            context.failures.append(Failure.SILENT)
        return self._make_final_answer(context)

    @contextlib.contextmanager
    def _track(self, context: RequestContext) -> Iterator[None]:
        """List a request as in progress."""
        greenlet = gevent.getcurrent()
        self._in_progress[greenlet] = context
        try:
            yield
        finally:
            del self._in_progress[greenlet]

    def log_unfinished(self) -> None:
        """Log the requests that end without an answer as the host stops."""
        for context in self._in_progress.values():
            self._log.log_end(context, 0, context.times.began)

    def _make_context(
        self,
        request: Request,
        fields: CallerFields,
        route: RouteRule,
        began: float,
    ) -> RequestContext:
        service = choose_service(route, fields.request)
        rule = self._deployment.policy.services.get(service)
        keyed = rule is not None and rule.keyed
        if keyed and fields.key is not None:
            self._meter.note_request(route.name, service, fields.key)
        times = compute_times(route, fields.deadline, began)
        objective = times.objective - began
        overdue = self._overdue_detector.is_overdue(
            route.name, fields.deadline, objective, began
        )
        return RequestContext(
            request,
            fields,
            route,
            service,
            keyed,
            times,
            Progress(),
            overdue=overdue,
        )

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._retry_policy.ratio,
                self._compute_burst_limit(),
                FIRST_TOKENS,
            )
            self._budgets[service] = budget
        return budget

    def _compute_burst_limit(self) -> float:
        return compute_burst_limit(
            self._retry_policy.slack, self._deployment.hosts
        )

    # Attempts

    def _run_attempts(self, context: RequestContext) -> Answer:
        while not self._is_quarantined(context):
            with self._trials.open(context) as trial:
                sent = self._attempt(context, trial)
            if not sent and not self._take_detour(context):
                break
            if context.progress.failure is Failure.NONE:
                # The upstream survived the run, whatever the answer says.
                self._quarantine.note_end(context, read_clock())
                return context.answer
            if not self._should_retry(context):
                break
        return self._make_final_answer(context)

    def _take_detour(self, context: RequestContext) -> bool:
        """Pass a request on; return whether to judge its failure or answer.

        A request that another host has passed on is left to that host.
        """
        if context.detour is None or context.received_from is not None:
            return False
        earlier, asked_at = context.answer, read_clock()
        detour = self._forwarder.forward(context, context.detour)
        if detour is not Detour.FINAL:
            return True
        if context.answer is not earlier:
            self._sender.note_peer_answer(context, asked_at)
        answered = context.progress.outcome is Outcome.ANSWERED
        if answered:
            self._note_reached_by_peer(context)
        return answered

    def _note_reached_by_peer(self, context: RequestContext) -> None:
        """Record that a data centre is reached, if not by this host itself."""
        name = context.progress.tried[-1]
        upstream = self._deployment.directory.find(name)
        if upstream is not None:
            self._partitions.note_reached(upstream.data_centre, read_clock())

    def _attempt(self, context: RequestContext, trial: Trial) -> bool:
        """Send a request once; return False if it may not be sent."""
        while True:
            permit = self._selector.acquire(context)
            if permit is None:
                return False
            try:
                # The request may have been quarantined while it waited for
                # its key to get an owner.
                if self._is_quarantined(context):
                    return False
                verdict = trial.ask()
                if verdict is Verdict.REFUSED:
                    return False
                if verdict is not Verdict.QUEUED:
                    if self._send(context, permit, trial):
                        return True
                    continue
            finally:
                permit.release()
            if not trial.wait():
                return False

    def _send(
        self, context: RequestContext, permit: SendPermit, trial: Trial
    ) -> bool:
        """Send a request; return False if its permit is no longer valid."""
        trial.mark_sending()
        sent = self._sender.attempt(
            context, permit, lambda: self._selector.may_send(context, permit)
        )
        if sent:
            trial.note_result(context.progress.failure)
        else:
            trial.mark_not_sent()
        return sent

    def _is_quarantined(self, context: RequestContext) -> bool:
        """Return whether a request is quarantined, and record the refusal."""
        remaining = self._quarantine.find_stay_left(context, read_clock())
        if remaining <= 0.0:
            return False
        context.refuse(RefusalReason.QUARANTINED)
        context.retry_after = remaining
        QUARANTINE_REFUSALS.labels(context.service).inc()
        return True

    def _should_retry(self, context: RequestContext) -> bool:
        now = read_clock()
        if context.progress.failure is Failure.UNREACHABLE:
            return self._should_reconnect(context, now)
        if not may_send_again(
            context.route, context.progress, context.keyed, context.times, now
        ):
            return False
        backoff = self._selector.find_backoff(context, now)
        if backoff > 0.0:
            context.refuse(RefusalReason.BACKING_OFF)
            context.retry_after = retry_after_backoff(backoff)
            return False
        if not self._quarantine.may_retry(context):
            context.refuse(RefusalReason.SUSPECT)
            return False
        if not self._find_budget(context.service).spend():
            context.refuse(RefusalReason.NO_RETRY_BUDGET)
            RETRIES.labels(context.service, "refused").inc()
            return False
        RETRIES.labels(context.service, "spent").inc()
        if context.progress.failure is Failure.NOT_OWNER:
            self._deployment.changes.wait(_NOT_OWNER_PAUSE)
        elif context.progress.failure is Failure.BUSY:
            gevent.sleep(_BUSY_PAUSE)
        return True

    def _should_reconnect(self, context: RequestContext, now: float) -> bool:
        """Return whether to try again after a failed connection attempt.

        No upstream received the request, so this does not count as a retry.
        A request with a key waits for a change of the deployment first,
        since only the owner of the key may run it.
        """
        context.unreached += 1
        if context.received_from is not None and context.keyed:
            # The host that has passed it on asks another one.
            return False
        if (
            context.unreached > _MAX_UNREACHED
            or now >= context.times.find_hold_deadline()
        ):
            return False
        if context.keyed:
            with context.wait_for(Stage.TARGET):
                self._deployment.changes.wait(
                    context.times.find_hold_deadline() - now
                )
        return True

    def _make_final_answer(self, context: RequestContext) -> Answer:
        """Return the final answer of a request without a usable answer."""
        if context.progress.outcome is Outcome.NOT_RUN:
            return _make_refusal(context.retry_after)
        if context.answer is not None:
            return context.answer
        silent = context.progress.failure is Failure.SILENT
        return _make_error_answer(504 if silent else 502, "may have run")


def _note_internal_error(context: RequestContext) -> None:
    context.refuse(RefusalReason.INTERNAL_ERROR)
    # The caller gets a 502, by which the request may have run.
    context.progress.outcome = Outcome.UNKNOWN


def _make_refusal(retry_after: float) -> Answer:
    """Return the answer of a request that has not run and will not run."""
    return Answer(503, [("Retry-After", f"{retry_after:g}")], b"not run\n")


def _make_error_answer(status: int, text: str) -> Answer:
    return Answer(status, [], text.encode() + b"\n")
