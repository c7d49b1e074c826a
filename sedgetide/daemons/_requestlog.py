"""Logs and metrics of requests."""

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.stages import Stage
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import HELD_SECONDS
from sedgetide.daemons._hostmetrics import REQUEST_SECONDS
from sedgetide.daemons._hostmetrics import REQUESTS
from sedgetide.daemons._hostmetrics import ROUTE_HELD_SECONDS
from sedgetide.daemons._hostmetrics import SENDS
from sedgetide.daemons._hostmetrics import UNANSWERED_REQUESTS
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request


def record_metrics(context: RequestContext, began: float) -> None:
    """Count a request and its times in the metrics."""
    progress = context.progress
    REQUESTS.labels(
        context.service, progress.outcome.value, progress.failure.value
    ).inc()
    REQUEST_SECONDS.labels(context.service).observe(read_clock() - began)
    reason = context.find_reason()
    if reason is not None:
        UNANSWERED_REQUESTS.labels(context.route.name, reason.value).inc()
    if progress.sends:
        HELD_SECONDS.labels(context.service).observe(context.held)
        ROUTE_HELD_SECONDS.labels(context.route.name).observe(context.held)
        SENDS.labels(context.service).inc(progress.sends)


def _choose_note(context: RequestContext, status: int) -> str:
    """Return why a request was refused or failed.

    For an answered request, and for one whose caller left, it is what the
    request waited for before; empty if nothing kept it from being sent.
    """
    if status and context.progress.outcome is not Outcome.ANSWERED:
        return context.find_reason().value
    refusal = context.refusal
    return "" if refusal is None else refusal.reason.value


def _list_details(context: RequestContext, status: int) -> dict[str, str]:
    """Return the fields that only lines without an answer have."""
    details = {}
    if context.progress.outcome is Outcome.ANSWERED:
        return details
    if context.stage is not Stage.ROUTING:
        details["stage"] = context.stage.value
    if context.detail:
        details["detail"] = context.detail
    if context.refusal is not None and context.refusal.upstream:
        details["no_room_at"] = context.refusal.upstream
    if status == 503 and context.progress.outcome is Outcome.NOT_RUN:
        details["retry_after"] = f"{context.retry_after:g}"
    return details


def _list_hops(context: RequestContext) -> dict[str, str]:
    """Return the fields that only lines of passed on requests have."""
    hops = {}
    if context.via:
        hops["via"] = context.via
    if context.received_from is not None:
        hops["received_from"] = context.received_from
    return hops


class RequestLog:
    """Logs each request with the state by which it was routed.

    That is the version of the policy, the revision of the table of owners, the
    fence, and the age of this state.

    Parameters
    ----------
    deployment : DeploymentState
        State of the deployment as this host knows it.
    dialect : RequestDialect
        Reads the ids of requests that are not routed.
    """

    def __init__(
        self, deployment: DeploymentState, dialect: RequestDialect
    ) -> None:
        self._deployment = deployment
        self._dialect = dialect

    def log_end(
        self, context: RequestContext, status: int, began: float
    ) -> None:
        """Log the end of a request; status 0 means that it got no answer."""
        table = self._deployment.tables.get(context.service)
        now = read_clock()
        log_event(
            Event.REQUEST,
            id=context.fields.request,
            route=context.route.name,
            service=context.service,
            key=context.fields.key,
            status=status,
            outcome=context.progress.outcome.value,
            failure=context.progress.failure.value,
            failures=",".join(each.value for each in context.failures),
            note=_choose_note(context, status),
            **_list_details(context, status),
            caller=context.request.caller,
            **_list_hops(context),
            fingerprint=context.fingerprint or "",
            upstreams=",".join(context.progress.tried),
            ports=",".join(str(each) for each in context.ports),
            ms=int((now - began) * 1000),
            held_ms=int(context.held * 1000),
            rested_ms=int(context.rested * 1000),
            version=self._deployment.policy.version,
            revision=0 if table is None else table.position,
            fence=context.fence,
            age_ms=int((now - self._deployment.heard_at) * 1000),
        )

    def log_denied(self, fields: CallerFields, request: Request) -> None:
        """Log a request that matches no route."""
        log_event(
            Event.DENIED,
            id=fields.request,
            status=404,
            host_header=find_header(request.headers, "host"),
            path=request.path[:80],
            version=self._deployment.policy.version,
            age_ms=int((read_clock() - self._deployment.heard_at) * 1000),
        )

    def log_unrouted(
        self, request: Request, reason: RefusalReason, retry_after: float
    ) -> None:
        """Log and count a request that was refused before it was routed."""
        UNANSWERED_REQUESTS.labels("", reason.value).inc()
        log_event(
            Event.DENIED,
            id=self._dialect.read_request_id(request.headers) or "",
            status=503,
            note=reason.value,
            retry_after=f"{retry_after:g}",
            host_header=find_header(request.headers, "host"),
            path=request.path[:80],
        )
