"""What is told of requests: logs and metrics."""

from sedgetide.backends.dialects import CallerFields
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import HELD_SECONDS
from sedgetide.daemons._hostmetrics import REQUEST_SECONDS
from sedgetide.daemons._hostmetrics import REQUESTS
from sedgetide.daemons._hostmetrics import SENDS
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request


def count_end(job: RequestContext, began: float) -> None:
    """Count a request and its times in the metrics."""
    progress = job.progress
    REQUESTS.labels(
        job.service, progress.outcome.value, progress.failure.value
    ).inc()
    REQUEST_SECONDS.labels(job.service).observe(read_clock() - began)
    if progress.sends:
        HELD_SECONDS.labels(job.service).observe(job.held)
        SENDS.labels(job.service).inc(progress.sends)


class RequestLog:
    """Tells by what a request was decided, and how old that was.

    Parameters
    ----------
    knowledge : DeploymentState
        What the host knows of the deployment.
    """

    def __init__(self, deployment: DeploymentState) -> None:
        self._deployment = deployment

    def tell_end(self, job: RequestContext, status: int, began: float) -> None:
        """Log the end of a request; status 0: its caller left."""
        known = self._deployment.tables.get(job.service)
        now = read_clock()
        log_event(
            Event.REQUEST,
            id=job.fields.request,
            route=job.route.name,
            service=job.service,
            key=job.fields.key,
            status=status,
            outcome=job.progress.outcome.value,
            failure=job.progress.failure.value,
            failures=",".join(each.value for each in job.failures),
            note=job.note,
            caller=job.request.caller,
            fingerprint=job.fingerprint or "",
            upstreams=",".join(job.progress.tried),
            ms=int((now - began) * 1000),
            held_ms=int(job.held * 1000),
            rested_ms=int(job.rested * 1000),
            version=self._deployment.policy.version,
            revision=0 if known is None else known.position,
            fence=job.fence,
            age_ms=int((now - self._deployment.heard_at) * 1000),
        )

    def tell_denied(self, fields: CallerFields, request: Request) -> None:
        """Log a request without a route."""
        log_event(
            Event.DENIED,
            id=fields.request,
            status=404,
            host_header=find_header(request.headers, "host"),
            path=request.path[:80],
            version=self._deployment.policy.version,
            age_ms=int((read_clock() - self._deployment.heard_at) * 1000),
        )
