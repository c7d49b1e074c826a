"""State of a request from its arrival to its final answer."""

from collections.abc import Iterator
import contextlib

import msgspec

from sedgetide.backends.dialects import CallerFields
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import Progress
from sedgetide.core.requests.fingerprints import make_fingerprint
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import decide_reason
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.retryafter import SHORT_RETRY_DELAY
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.core.requests.stages import Stage
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request


class RequestContext(msgspec.Struct):
    """State of one request while a host serves it.

    Parameters
    ----------
    request, fields : Request, CallerFields
        The caller's request, and the values of its headers for the router.
    route, service, keyed : RouteRule, ServiceName, bool
        Its route and service, and whether only the owner of its key may run
        it.
    times : RequestTimes
        Arrival and deadlines by the host's clock.
    progress : Progress
        Result of the attempts so far.
    answer : Answer or None
        Last answer that may be returned to the caller.
    answered_by : IncarnationName
        Upstream whose answer it is; empty without one.
    retry_after : float
        Seconds after which the caller should retry.
    refusal : Refusal or None
        What last kept it from being sent; None if nothing has since its last
        failure.
    detail : str
        Error text of the last attempt without a response.
    unreached : int
        Number of failed connection attempts.
    overdue : bool
        Whether the caller was refused before and is already late.
    fence : int
        Fence under which it was last sent.
    held, rested : float
        Seconds that it waited on this host before the first send, and that
        its connection to the upstream had been idle.
    ports : list of int
        Own ports of the connections on which it was sent, in order.
    failures : list of Failure
        Failures of its attempts so far, in order.
    alone : bool
        Whether no other strong suspect of its service runs at the same time.
    send_by : float
        Monotonic time after which it is not to be sent, as it waited for a
        place and too little time is left for an answer.
    received_from : HostName or None
        Host that has passed it on to this one; None if it came from a caller.
    detour : str or None
        Upstream or service to which this host's path is in doubt, so that
        another host has to send it; None while its path seems open.
    via : str
        Address of the peer that it was last passed on to; empty for none.
    congested : bool
        Whether requests waited for places at the upstream that answered.
    stage : Stage
        What it is waiting for.
    fingerprint : Fingerprint or None
        Computed on first use; see :meth:`find_fingerprint`.
    """

    request: Request
    fields: CallerFields
    route: RouteRule
    service: ServiceName
    keyed: bool
    times: RequestTimes
    progress: Progress
    answer: Answer | None = None
    answered_by: IncarnationName = NO_UPSTREAM
    retry_after: float = SHORT_RETRY_DELAY
    refusal: Refusal | None = None
    detail: str = ""
    unreached: int = 0
    overdue: bool = False
    fence: int = 0
    held: float = 0.0
    rested: float = 0.0
    ports: list[int] = []
    failures: list[Failure] = []
    alone: bool = False
    send_by: float = float("inf")
    received_from: HostName | None = None
    detour: str | None = None
    via: str = ""
    congested: bool = False
    stage: Stage = Stage.ROUTING
    fingerprint: Fingerprint | None = None

    @contextlib.contextmanager
    def wait_for(self, stage: Stage) -> Iterator[None]:
        """Return a context manager for a wait.

        The stage remains if the request ends meanwhile, so that the log
        shows it.
        """
        self.stage = stage
        try:
            yield
        except Exception:
            self.stage = Stage.ROUTING
            raise
        self.stage = Stage.ROUTING

    def refuse(self, reason: RefusalReason) -> None:
        """Record what keeps it from being sent; no single upstream does."""
        self.refusal = Refusal(reason)

    @property
    def met_congestion(self) -> bool:
        """Whether it or others had to wait for a place, or it got none."""
        return self.congested or self.progress.outcome is Outcome.NOT_RUN

    def find_reason(self) -> RefusalReason | None:
        """Return why it was refused or failed; None if it was answered."""
        return decide_reason(
            self.progress.outcome, self.refusal, self.failures
        )

    def find_fingerprint(self) -> Fingerprint:
        """Return the fingerprint that the request and its repeats share."""
        if self.fingerprint is None:
            request = self.request
            self.fingerprint = make_fingerprint(
                request.method,
                find_header(request.headers, "host") or "",
                request.target,
                request.body,
            )
        return self.fingerprint
