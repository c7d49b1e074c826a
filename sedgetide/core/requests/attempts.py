"""Choice of the target of a request's next attempt, and of retries."""

from collections.abc import Collection
import enum

import msgspec

from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import NO_FENCE
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.routes import RequestTimes

# Share of a request's total time that must be left for a retry. With less,
# the caller has usually given up before the retry ends, and the retry takes a
# slot from a request that would still be answered in time.
_MIN_REMAINING_SHARE = 0.25
# Only the owner of a key may run its requests, so an owner that refused is
# tried once more even if the route allows a single attempt.
_MIN_SENDS = 2


class Wait(enum.Enum):
    """Why a request cannot be sent at the moment."""

    NO_OWNER = "no-owner"
    MOVING = "moving"
    OWNER_GONE = "owner-gone"
    NO_UPSTREAM = "no-upstream"
    BACKING_OFF = "backing-off"


class Failure(enum.Enum):
    """Why an attempt yielded no answer to pass on."""

    NONE = "none"
    BUSY = "busy"
    NOT_OWNER = "not-owner"
    DECLINED = "declined"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    FOREIGN = "foreign"
    FAILED = "failed"
    SILENT = "silent"


# The upstream confirmed that nothing ran, or no byte had been sent.
NOT_RUN_FAILURES = frozenset(
    {
        Failure.BUSY,
        Failure.NOT_OWNER,
        Failure.FOREIGN,
        Failure.DECLINED,
        Failure.UNREACHABLE,
    }
)

# The upstream sent no response at all.
NO_RESPONSE_FAILURES = frozenset({Failure.UNREACHABLE, Failure.SILENT})

# Failures that indicate a fault of the upstream itself. An overloaded or
# unreachable upstream is not counted as faulty: it would lose its keys only
# because it was sent too much.
UPSTREAM_FAULTS = frozenset({Failure.FAILED, Failure.SILENT, Failure.FOREIGN})


class Target(msgspec.Struct, frozen=True):
    """An upstream to which a request may be sent now.

    Parameters
    ----------
    upstream : RegisteredUpstream
        Upstream to send to.
    fence : int
        Fencing token under which it owns the key; zero for services without
        keys.
    """

    upstream: RegisteredUpstream
    fence: int = NO_FENCE


class Progress(msgspec.Struct):
    """Progress of a request over its attempts.

    Parameters
    ----------
    outcome : Outcome
        Combined outcome of all attempts so far.
    failure : Failure
        Failure of the last attempt.
    tried : list of IncarnationName
        Upstreams to which it was sent, in order.
    sends : int
        Number of sends.
    """

    outcome: Outcome = Outcome.NOT_RUN
    failure: Failure = Failure.NONE
    tried: list[IncarnationName] = []
    sends: int = 0


def find_owner(
    table: RangeTable | None,
    key: Key | None,
    directory: UpstreamDirectory,
    now: float,
) -> Target | Wait:
    """Return the owner of a key, or why it cannot be sent requests now."""
    tenure = None if table is None or key is None else table.find(key)
    if tenure is None:
        return Wait.NO_OWNER
    if tenure.moving:
        return Wait.MOVING
    upstream = directory.find_serving(tenure.owner, now)
    if upstream is None:
        return Wait.OWNER_GONE
    return Target(upstream, tenure.fence)


def list_candidates(
    directory: UpstreamDirectory,
    service: ServiceName,
    tried: Collection[IncarnationName],
    now: float,
    declined: Collection[IncarnationName] = (),
) -> list[RegisteredUpstream]:
    """Return the upstreams of a service without keys that may be tried next.

    Upstreams that were already tried are returned only when there are no
    others.

    Parameters
    ----------
    declined : collection of IncarnationName
        Upstreams that cannot take another request at present.
    """
    active = [
        each
        for each in directory.list_active(service)
        if not directory.is_foreign(each.name, now)
        and each.name not in declined
    ]
    fresh = [each for each in active if each.name not in tried]
    return fresh or active


def refine_failure(failure: Failure, keyed: bool) -> Failure:
    """Return the failure as it applies to a service with or without keys.

    An upstream of a service without keys cannot refuse for lack of ownership.
    If it appears to, another upstream has taken over its address.
    """
    if failure is Failure.NOT_OWNER and not keyed:
        return Failure.FOREIGN
    return failure


def may_send_again(
    route: RouteRule,
    progress: Progress,
    keyed: bool,
    times: RequestTimes,
    now: float,
) -> bool:
    """Return whether a request may be sent again after a failure.

    Parameters
    ----------
    route : RouteRule
        Route of the request.
    progress : Progress
        Progress over the attempts so far.
    keyed : bool
        Whether only one upstream may run the request.
    times : RequestTimes
        Times of the request.
    now : float
        Current monotonic time in seconds.

    Notes
    -----
    Once a byte has been sent, the request is sent again only if the upstream
    confirmed that it did not run or the route is idempotent.
    """
    if progress.outcome is Outcome.UNKNOWN and not route.idempotent:
        return False
    if progress.sends >= max(_MIN_SENDS, route.attempts):
        return False
    if not keyed and len(set(progress.tried)) >= route.attempts:
        return False
    # Enough time must be left for the upstream to run the request again.
    return times.final - now > _MIN_REMAINING_SHARE * (
        times.final - times.began
    )
