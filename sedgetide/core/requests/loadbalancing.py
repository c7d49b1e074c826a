"""Which of several equal upstreams gets a request."""

from collections.abc import Sequence
import random

import msgspec

from sedgetide.core.membership.directory import RegisteredUpstream

_IDLE = 0.7
_FOREIGN_COST = 1.2
# Bytes that cross share a link and a failure domain with all else that does.
# A request whose bodies are small goes where it is served soonest; one with a
# large body stays near until the queue there costs it more than this.
_CROSSING_BYTES_PER_SECOND = 50_000.0
# An answer within the objective is as good as a sooner one, so staying near
# may cost so much of it, and no more.
_CROSSING_SHARE = 0.6
_CONNECTING_COST = 1.2
_SUSPECT_COST = 4.0
# It takes longer, or has little room, and is asked for a place first.
_BOUNDED_COST = 3.0
_JITTER = 0.1


class Candidate(msgspec.Struct, frozen=True):
    """An upstream as one host sees it.

    Parameters
    ----------
    upstream : RegisteredUpstream
        Which.
    seconds : float
        How long requests take there.
    queue : float
        Requests that are there or wait to be sent there.
    near : bool
        Whether it is in the host's own data centre.
    connected : bool
        Whether an idle connection to it is kept.
    suspect : bool
        Whether requests failed there lately.
    crossing : float
        Seconds that staying in the own data centre is worth; see
        :func:`compute_crossing_cost`. Zero for an upstream that is there.
    bounded : bool
        Whether it bears only so many requests a second, from all hosts.
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
    """Return how much sooner a crossing has to bring the answer, in seconds.

    Parameters
    ----------
    size : float
        Bytes of the request's body and of its usual answer.
    objective : float
        Seconds within which an answer is worth most.
    """
    return min(size / _CROSSING_BYTES_PER_SECOND, _CROSSING_SHARE * objective)


def estimate_cost(candidate: Candidate) -> float:
    """Return the seconds that a request would take, prices added to them.

    A connection that has to be opened and a body that crosses to another
    data centre are paid for, so that a host with few requests keeps to a
    few upstreams instead of visiting each in turn. A queue of one request
    a slot outweighs both.
    """
    cost = candidate.seconds * (
        _IDLE + candidate.queue / candidate.upstream.slots
    )
    if not candidate.near:
        cost *= _FOREIGN_COST
    if not candidate.connected:
        cost *= _CONNECTING_COST
    if candidate.suspect:
        cost *= _SUSPECT_COST
    if candidate.bounded:
        cost *= _BOUNDED_COST
    return cost + candidate.crossing


def choose_upstream(
    candidates: Sequence[Candidate], source: random.Random
) -> RegisteredUpstream:
    """Return the upstream that costs least.

    Costs are blurred a little: hosts that know the same would otherwise
    all choose the same one.
    """

    def blur(candidate: Candidate) -> float:
        factor = source.uniform(1.0 - _JITTER, 1.0 + _JITTER)
        return estimate_cost(candidate) * factor

    return min(candidates, key=blur).upstream
