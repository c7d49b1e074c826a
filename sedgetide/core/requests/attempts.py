"""Where a request goes next, or why it goes nowhere: one pure decision."""

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

# Share of a request's time; with less, a second run ends after it has left in
# most cases and takes a slot from one that would not.
_LEAST_LEFT = 0.25
# The owner of a key is the only one that may run its requests, so one that
# refused is asked once more whatever the route allows.
_LEAST_SENDS = 2


class Wait(enum.Enum):
    """Why a request can not be sent just now."""

    NO_OWNER = "no-owner"
    MOVING = "moving"
    OWNER_GONE = "owner-gone"
    NO_UPSTREAM = "no-upstream"
    BACKING_OFF = "backing-off"


class Failure(enum.Enum):
    """Why an attempt gave no answer to pass on."""

    NONE = "none"
    BUSY = "busy"
    NOT_OWNER = "not-owner"
    DECLINED = "declined"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    FOREIGN = "foreign"
    FAILED = "failed"
    SILENT = "silent"


# These left the upstream's own word that nothing ran, or no byte had left.
NOT_RUN_FAILURES = frozenset(
    {
        Failure.BUSY,
        Failure.NOT_OWNER,
        Failure.FOREIGN,
        Failure.DECLINED,
        Failure.UNREACHABLE,
    }
)

# The upstream said nothing at all.
NO_RESPONSE_FAILURES = frozenset({Failure.UNREACHABLE, Failure.SILENT})

# These tell of the upstream itself; a full one, or one out of reach, is not
# slow, and would lose its keys for what it was asked too much.
UPSTREAM_FAULTS = frozenset({Failure.FAILED, Failure.SILENT, Failure.FOREIGN})


class Target(msgspec.Struct, frozen=True):
    """An upstream that a request may be sent to now.

    Parameters
    ----------
    upstream : RegisteredUpstream
        Where.
    fence : int
        Fence under which it owns the key; zero without keys.
    """

    upstream: RegisteredUpstream
    fence: int = NO_FENCE


class Progress(msgspec.Struct):
    """What has become of a request so far.

    Parameters
    ----------
    outcome : Outcome
        What may be told of all attempts together.
    failure : Failure
        Of the last attempt.
    tried : list of IncarnationName
        Upstreams it was sent to, in order.
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
    """Return the upstream that owns a key, if it may get requests for it."""
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
    """Return upstreams without keys, those not yet tried before others.

    Parameters
    ----------
    declined : collection of IncarnationName
        Upstreams that bear no more at present.
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
    """Return what a failure means for a service with or without keys.

    An upstream without keys has none to refuse for: where it seems to,
    another one has its address.
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
    """Tell whether a request may be sent once more after a failure.

    Parameters
    ----------
    route : RouteRule
        Its route.
    progress : Progress
        What has become of it so far.
    keyed : bool
        Whether only one upstream may run it.
    times : RequestTimes
        Its times.
    now : float
        Own clock.

    Notes
    -----
    Once a byte has left, only the upstream's own word or the route's leave
    to run twice allow another send.
    """
    if progress.outcome is Outcome.UNKNOWN and not route.idempotent:
        return False
    if progress.sends >= max(_LEAST_SENDS, route.attempts):
        return False
    if not keyed and len(set(progress.tried)) >= route.attempts:
        return False
    # What is left must be worth a second run of the upstream's work.
    return times.final - now > _LEAST_LEFT * (times.final - times.began)
