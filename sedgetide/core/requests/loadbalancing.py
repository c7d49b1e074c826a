"""Load balancing among the upstreams of a service without keys."""

from collections.abc import Sequence
import random

import msgspec

from sedgetide.core.membership.directory import RegisteredUpstream

_BASE_LOAD = 0.7
_REMOTE_FACTOR = 1.2
# Traffic between data centres shares its links and their failures. A request
# with small bodies goes where it is served soonest; one with a large body
# stays in the local data centre until the queue there costs it more than this.
_CROSSING_BYTES_PER_SECOND = 50_000.0
# An answer within the objective is as good as an earlier one, so staying in
# the local data centre may cost up to this share of the objective.
_MAX_CROSSING_SHARE = 0.6
_CONNECT_FACTOR = 1.2
_SUSPECT_FACTOR = 4.0
# An upstream with a limited request rate is slower or has little capacity, and
# each send needs a place from its lender.
_BOUNDED_FACTOR = 3.0
_JITTER = 0.1


class Candidate(msgspec.Struct, frozen=True):
    """An upstream as seen by one host.

    Parameters
    ----------
    upstream : RegisteredUpstream
        Registry entry of the upstream.
    seconds : float
        Estimated service time of a request there.
    queue : float
        Number of requests that run there or wait to be sent there.
    near : bool
        Whether it is in the data centre of the host.
    connected : bool
        Whether an idle connection to it is open.
    suspect : bool
        Whether requests failed there recently.
    crossing : float
        Cost in seconds of leaving the local data centre; see
        :func:`compute_crossing_cost`. Zero for a local upstream.
    bounded : bool
        Whether the request rate of all hosts together is limited there.
    """

    upstream: RegisteredUpstream
    seconds: float
    queue: float
    near: bool
    connected: bool
    suspect: bool
    crossing: float = 0.0
    bounded: bool = False


def compute_crossing_cost(size: float, objective: float) -> float:
    """Return the cost in seconds of sending to another data centre.

    A remote upstream must be expected to answer that much sooner than a local
    one to be chosen.

    Parameters
    ----------
    size : float
        Bytes of the request body and of the average answer.
    objective : float
        Seconds within which an answer meets the route's objective.
    """
    return min(
        size / _CROSSING_BYTES_PER_SECOND, _MAX_CROSSING_SHARE * objective
    )


def estimate_cost(candidate: Candidate) -> float:
    """Return the expected duration of a request plus penalties, in seconds.

    Opening a connection and sending a body to another data centre add to the
    cost, so that a host with few requests reuses a few upstreams instead of
    cycling through all of them. A queue of one request per slot outweighs
    both penalties.
    """
    cost = candidate.seconds * (
        _BASE_LOAD + candidate.queue / candidate.upstream.slots
    )
    if not candidate.near:
        cost *= _REMOTE_FACTOR
    if not candidate.connected:
        cost *= _CONNECT_FACTOR
    if candidate.suspect:
        cost *= _SUSPECT_FACTOR
    if candidate.bounded:
        cost *= _BOUNDED_FACTOR
    return cost + candidate.crossing


def choose_upstream(
    candidates: Sequence[Candidate], source: random.Random
) -> RegisteredUpstream:
    """Return the upstream with the lowest cost.

    Random jitter is added to the costs: hosts with the same information
    would otherwise all choose the same upstream.
    """

    def add_jitter(candidate: Candidate) -> float:
        factor = source.uniform(1.0 - _JITTER, 1.0 + _JITTER)
        return estimate_cost(candidate) * factor

    return min(candidates, key=add_jitter).upstream
