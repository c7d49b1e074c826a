"""A request on its way, from its arrival to its final answer."""

import msgspec

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.fingerprints import make_fingerprint
from sedgetide.core.requests.retryafter import SHORT_RETRY_DELAY
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request


class RequestContext(msgspec.Struct):
    """One request on its way.

    Parameters
    ----------
    request, fields : Request, CallerFields
        What the caller sent.
    route, service, keyed : RouteRule, ServiceName, bool
        Where it goes, and whether only the owner of its key may run it.
    times : RequestTimes
        Its times by the own clock.
    progress : Progress
        What has become of it so far.
    answer : Answer or None
        Last answer that may be passed on.
    retry_after : float
        Seconds after which the caller does well to come again.
    note : str
        Why it got no answer, for the log.
    unreached : int
        Connections that did not open.
    overdue : bool
        Whether its caller was refused before and is late already.
    fence : int
        Fence under which it was sent last.
    held, rested : float
        Seconds that it waited here, and that its connection had been idle.
    failures : list of Failure
        Of its attempts so far, in order.
    alone : bool
        Whether it runs while no other grave suspect of its service does.
    fingerprint : Fingerprint or None
        Once it was asked for; see :meth:`find_fingerprint`.
    """

    request: Request
    fields: CallerFields
    route: RouteRule
    service: ServiceName
    keyed: bool
    times: RequestTimes
    progress: Progress
    answer: Answer | None = None
    retry_after: float = SHORT_RETRY_DELAY
    note: str = ""
    unreached: int = 0
    overdue: bool = False
    fence: int = 0
    held: float = 0.0
    rested: float = 0.0
    failures: list[Failure] = []
    alone: bool = False
    fingerprint: Fingerprint | None = None

    def find_fingerprint(self) -> Fingerprint:
        """Return what stands for the request and each repeat of it."""
        if self.fingerprint is None:
            request = self.request
            self.fingerprint = make_fingerprint(
                request.method,
                find_header(request.headers, "host") or "",
                request.target,
                request.body,
            )
        return self.fingerprint
