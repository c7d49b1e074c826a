"""Why requests are refused or fail."""

from collections.abc import Sequence
import enum

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import NOT_RUN_FAILURES
from sedgetide.core.requests.outcomes import Outcome


class RefusalReason(enum.Enum):
    """Why a request got no answer of an upstream.

    The values are written to logs and metrics. They contain the values of all
    members of ``Wait`` and, except ``NONE``, of ``Failure``.
    """

    # Refused before it was routed.
    BODY_MEMORY = "body memory"
    NO_ROUTES = "no-routes"
    # Nothing to send it to.
    NO_OWNER = "no-owner"
    MOVING = "moving"
    OWNER_GONE = "owner-gone"
    NO_UPSTREAM = "no-upstream"
    # No permission to send it.
    BACKING_OFF = "backing-off"
    WINDOW = "window"
    OWNER_SILENT = "owner silent"
    NO_PLACE = "no place"
    COLD = "cold"
    LIMITED = "limited"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on trial"
    TOO_LATE = "too late"
    STOPPING = "stopping"
    # An attempt failed, and the request was not sent again.
    SUSPECT = "suspect"
    NO_RETRY_BUDGET = "no retry budget"
    BUSY = "busy"
    NOT_OWNER = "not-owner"
    DECLINED = "declined"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    FOREIGN = "foreign"
    FAILED = "failed"
    SILENT = "silent"
    INTERNAL_ERROR = "internal-error"


class Refusal(msgspec.Struct, frozen=True):
    """What keeps a request from being sent, or from being sent again.

    Parameters
    ----------
    reason : RefusalReason
        Why it cannot be sent.
    upstream : IncarnationName
        Upstream that has no room for it; empty if the reason does not concern
        a single upstream.
    """

    reason: RefusalReason
    upstream: IncarnationName = NO_UPSTREAM


def decide_reason(
    outcome: Outcome, refusal: Refusal | None, failures: Sequence[Failure]
) -> RefusalReason | None:
    """Return why a request was refused or failed; None if it was answered.

    Parameters
    ----------
    outcome : Outcome
        Combined outcome of all attempts.
    refusal : Refusal or None
        What kept it from being sent after its last failure; None if nothing
        did.
    failures : sequence of Failure
        Failures of its attempts, in order.

    Notes
    -----
    Without a refusal, a failure ended the request. For an unknown outcome it
    is the last one after which the request may have run: a later attempt that
    certainly did not run leaves the outcome unknown.
    """
    if outcome is Outcome.ANSWERED:
        return None
    if refusal is not None:
        return refusal.reason
    decisive = [
        each
        for each in failures
        if outcome is Outcome.NOT_RUN or each not in NOT_RUN_FAILURES
    ]
    if not decisive:
        return RefusalReason.INTERNAL_ERROR
    return RefusalReason(decisive[-1].value)
