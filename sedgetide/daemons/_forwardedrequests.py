"""Requests that another host has passed on: their context and result."""

from sedgetide.backends.dialects import RequestDialect
from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.forwarding import ForwardedRequest
from sedgetide.core.requests.forwarding import ForwardedResult
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.routes import choose_service
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request

DECLINED = ForwardedResult(Outcome.NOT_RUN, declined=True)


def read_request(forwarded: ForwardedRequest) -> Request:
    """Return the request as its caller sent it."""
    return Request(
        forwarded.method,
        forwarded.target,
        forwarded.headers,
        forwarded.body,
        forwarded.caller,
    )


def make_context(
    forwarded: ForwardedRequest,
    route: RouteRule,
    policy: Policy,
    dialect: RequestDialect,
    now: float,
) -> RequestContext:
    """Return the context in which a peer serves a request.

    Parameters
    ----------
    forwarded : ForwardedRequest
        The request.
    route, policy : RouteRule, Policy
        Its route, and the policy in force at the peer.
    dialect : RequestDialect
        Reads the headers of the request.
    now : float
        Current monotonic time of the peer, in seconds.
    """
    request = read_request(forwarded)
    fields = dialect.read_request(request.headers)
    service = choose_service(route, fields.request)
    rule = policy.services.get(service)
    began = now - forwarded.elapsed
    return RequestContext(
        request,
        fields,
        route,
        service,
        rule is not None and rule.keyed,
        RequestTimes(began, now + forwarded.left, began + route.objective),
        Progress(tried=list(forwarded.tried), sends=forwarded.sends),
        overdue=forwarded.overdue,
        received_from=forwarded.sender,
    )


def make_result(
    context: RequestContext, forwarded: ForwardedRequest, cut_off: bool
) -> ForwardedResult:
    """Return what a peer tells the host that has passed a request on.

    Parameters
    ----------
    context : RequestContext
        The request, after the peer has served it.
    forwarded : ForwardedRequest
        The request as it was received.
    cut_off : bool
        Whether the peer reaches no upstream.
    """
    progress = context.progress
    tried = progress.tried[len(forwarded.tried) :]
    reason = context.find_reason()
    unserved = (
        context.detour is not None
        or progress.failure is Failure.UNREACHABLE
        or reason is RefusalReason.STOPPING
    )
    if progress.outcome is Outcome.NOT_RUN and unserved and not tried:
        return ForwardedResult(Outcome.NOT_RUN, declined=True, cut_off=cut_off)
    answer = context.answer or Answer(0, [])
    return ForwardedResult(
        progress.outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        failures=context.failures,
        reason="" if reason is None else reason.value,
        retry_after=context.retry_after,
        tried=tried,
        answered_by=context.answered_by,
    )
