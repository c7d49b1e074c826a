"""From a caller's request to its final answer."""

import random

import gevent

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import may_send_again
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.attempts import Wait
from sedgetide.core.requests.averages import AnswerAverages
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.overdue import OverdueDetector
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.retries import compute_burst_limit
from sedgetide.core.requests.retries import FIRST_TOKENS
from sedgetide.core.requests.retries import RetryBudget
from sedgetide.core.requests.retries import RetryPolicy
from sedgetide.core.requests.retryafter import retry_after_backoff
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY
from sedgetide.core.requests.routes import choose_service
from sedgetide.core.requests.routes import compute_times
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import QUARANTINE_REFUSALS
from sedgetide.daemons._hostmetrics import RETRIES
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._places import Places
from sedgetide.daemons._quarantine import SharedQuarantine
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._requestlog import count_end
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

# Seconds; news of a move that has just ended are there by then.
_NOT_OWNER_PAUSE = 0.03
# Seconds; a fifth of what requests take, so that a slot may be free.
_BUSY_PAUSE = 0.04
_MOST_UNREACHED = 3


class RequestRouter:
    """Serves the requests of one host.

    Parameters
    ----------
    knowledge : DeploymentState
        What is known of the deployment.
    dialect : RequestDialect
        Headers.
    lanes : UpstreamChannels
        Ways to upstreams.
    places : Places
        Places at upstreams, where hosts lend them.
    meter : LoadMeter
        Counts load for the leader.
    data_centre : str
        Own data centre.
    partitions : PartitionDetector
        Learns from each request what can be reached.
    breaks : CrashDetector
        Finds out why connections to upstreams break.
    quarantine : SharedQuarantine
        RequestRouter that end the upstreams that run them.
    trials : Trials
        Leave to run those that are suspected of it.
    retries : RetryPolicy
        What the deployment grants.
    source : random.Random
        Blurs choices, on each host in its own way.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        dialect: RequestDialect,
        lanes: UpstreamChannels,
        places: Places,
        meter: LoadMeter,
        data_centre: str,
        partitions: PartitionDetector,
        breaks: CrashDetector,
        quarantine: SharedQuarantine,
        trials: Trials,
        retries: RetryPolicy,
        source: random.Random,
    ) -> None:
        usual = AnswerAverages()
        self._deployment = deployment
        self._dialect = dialect
        self._meter = meter
        self._partitions = partitions
        self._quarantine = quarantine
        self._trials = trials
        self._retries = retries
        self._ages = OverdueDetector()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._passages = UpstreamSelector(
            deployment, lanes, places, usual, data_centre, source
        )
        self._sender = Sender(
            deployment, dialect, meter, partitions, usual, breaks
        )
        self._log = RequestLog(deployment)

    def read_limits(self) -> CallerLimits:
        """Return the bounds of callers in force."""
        policy = self._deployment.policy
        return CallerLimits() if policy is None else policy.limits

    def is_idempotent(self, request: Request) -> bool:
        """Tell whether a request may run beside others of its caller."""
        route = self._match(request)
        return route is None or route.idempotent

    def _match(self, request: Request) -> RouteRule | None:
        if self._deployment.routes is None:
            return None
        host = find_header(request.headers, "host") or ""
        return self._deployment.routes.match(host, request.path)

    def serve(self, request: Request) -> Answer:
        """Bring a request to its final answer."""
        began = read_clock()
        if self._deployment.routes is None:
            return _refuse(STARTUP_RETRY_DELAY)
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
    ) -> RequestContext:
        service = choose_service(route, fields.request)
        rule = self._deployment.policy.services.get(service)
        keyed = rule is not None and rule.keyed
        if keyed and fields.key is not None:
            self._meter.note_request(route.name, service, fields.key)
        times = compute_times(route, fields.deadline, began)
        objective = times.objective - began
        overdue = self._ages.is_overdue(
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
                self._retries.ratio, self._bound_burst(), FIRST_TOKENS
            )
            self._budgets[service] = budget
        return budget

    def _bound_burst(self) -> float:
        return compute_burst_limit(self._retries.slack, self._deployment.hosts)

    # Attempts

    def _run(self, job: RequestContext) -> Answer:
        while not self._is_quarantined(job):
            with self._trials.open(job) as trial:
                sent = self._try_once(job, trial)
            if not sent:
                break
            if job.progress.failure is Failure.NONE:
                # Whatever it says, the upstream has lived through the run.
                self._quarantine.note_end(job, read_clock())
                return job.answer
            if not self._may_go_on(job):
                break
        return self._conclude(job)

    def _try_once(self, job: RequestContext, trial: Trial) -> bool:
        """Send a request once; return whether it might be sent."""
        while True:
            passage = self._passages.find(job)
            if passage is None:
                return False
            try:
                # While its key has no owner, a request waits for the next
                # one, and may have become known meanwhile.
                if self._is_quarantined(job):
                    return False
                verdict = trial.ask()
                if verdict is Verdict.REFUSED:
                    return False
                if verdict is not Verdict.QUEUED:
                    if self._send(job, passage, trial):
                        return True
                    continue
            finally:
                passage.leave()
            if not trial.wait():
                return False

    def _send(
        self, job: RequestContext, passage: SendPermit, trial: Trial
    ) -> bool:
        """Send a request, unless its passage has become void meanwhile."""
        trial.begin()
        sent = self._sender.attempt(
            job, passage, lambda: self._passages.may_send(job, passage)
        )
        if sent:
            trial.note(job.progress.failure)
        else:
            trial.withdraw()
        return sent

    def _is_quarantined(self, job: RequestContext) -> bool:
        """Tell whether a request is refused since upstreams end under it."""
        left = self._quarantine.find_stay_left(job, read_clock())
        if left <= 0.0:
            return False
        job.note = "quarantined"
        job.retry_after = left
        QUARANTINE_REFUSALS.labels(job.service).inc()
        return True

    def _may_go_on(self, job: RequestContext) -> bool:
        now = read_clock()
        if job.progress.failure is Failure.UNREACHABLE:
            return self._may_look_elsewhere(job, now)
        if not may_send_again(
            job.route, job.progress, job.keyed, job.times, now
        ):
            return False
        left = self._passages.find_backoff(job, now)
        if left > 0.0:
            job.note = Wait.BACKING_OFF.value
            job.retry_after = retry_after_backoff(left)
            return False
        if not self._quarantine.may_retry(job):
            job.note = "suspect"
            return False
        if not self._find_budget(job.service).spend():
            job.note = "no retry budget"
            RETRIES.labels(job.service, "refused").inc()
            return False
        RETRIES.labels(job.service, "spent").inc()
        if job.progress.failure is Failure.NOT_OWNER:
            self._deployment.changes.wait(_NOT_OWNER_PAUSE)
        elif job.progress.failure is Failure.BUSY:
            gevent.sleep(_BUSY_PAUSE)
        return True

    def _may_look_elsewhere(self, job: RequestContext, now: float) -> bool:
        """Tell whether to go on after a connection that did not open.

        Nothing arrived anywhere, so this is no retry; but the owner of a
        key is the only one that may run its requests.
        """
        job.unreached += 1
        if (
            job.unreached > _MOST_UNREACHED
            or now >= job.times.find_hold_deadline()
        ):
            return False
        if job.keyed:
            self._deployment.changes.wait(job.times.find_hold_deadline() - now)
        return True

    def _conclude(self, job: RequestContext) -> Answer:
        """Return the final answer of a request that none was got for."""
        if job.progress.outcome is Outcome.NOT_RUN:
            return _refuse(job.retry_after)
        if job.answer is not None:
            return job.answer
        silent = job.progress.failure is Failure.SILENT
        return _say(504 if silent else 502, "may have run")


def _refuse(retry_after: float) -> Answer:
    """Return the answer of a request that has not run and never will."""
    return Answer(503, [("Retry-After", f"{retry_after:g}")], b"not run\n")


def _say(status: int, text: str) -> Answer:
    return Answer(status, [], text.encode() + b"\n")
