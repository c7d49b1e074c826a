"""Terms of a request for a place, and the decision on it."""

import enum

import msgspec


class AdmissionVerdict(enum.Enum):
    """Decision on a request for a place.

    Attributes
    ----------
    RUN
        A place is free and the request has it.
    WAIT_IN_TIME
        It waits and is expected to be answered within its objective.
    WAIT_LATE
        It waits and is expected to be answered before its final deadline.
    REFUSE
        It does not wait.
    """

    RUN = "run"
    WAIT_IN_TIME = "wait-in-time"
    WAIT_LATE = "wait-late"
    REFUSE = "refuse"


class AdmissionReason(enum.Enum):
    """Why a request runs, waits or is refused.

    Attributes
    ----------
    FREE
        A place was free.
    NEXT
        It waited and got a place.
    EXPECTED
        It is expected to get a place in time for its verdict.
    PRECEDENCE
        A less urgent request waits, which it goes before.
    FOREMOST
        No other late request of its priority waits.
    DEMAND
        Requests that go first ask for all of the places' time.
    TOO_LONG
        The expected wait exceeds the time that the request has.
    EXPIRED
        It waited, and no longer has enough time to be answered.
    FULL
        Too many requests wait.
    LIMIT
        A rate limit of the upstream allows no send in time.
    """

    FREE = "free"
    NEXT = "next"
    EXPECTED = "expected"
    PRECEDENCE = "precedence"
    FOREMOST = "foremost"
    DEMAND = "demand"
    TOO_LONG = "too-long"
    EXPIRED = "expired"
    FULL = "full"
    LIMIT = "limit"


class RequestTerms(msgspec.Struct, frozen=True):
    """What a request for a place needs.

    Parameters
    ----------
    priority : int
        Lower is more urgent.
    returning : bool
        Whether the caller was refused before.
    useful : float
        Seconds within which an answer meets the objective.
    final : float or None
        Seconds until the route timeout or the caller's deadline, whichever
        is first. None when not stated, as by hosts of an older version: the
        request then waits only for an answer within ``useful``.
    deadline : float or None
        Seconds until the caller's own deadline; None when not stated.
    """

    priority: int
    returning: bool
    useful: float
    final: float | None = None
    deadline: float | None = None


class Admission(msgspec.Struct, frozen=True):
    """Decision on a request.

    Parameters
    ----------
    verdict : AdmissionVerdict
        The decision.
    reason : AdmissionReason
        Why it was taken.
    retry_after : float
        Seconds after which a refused caller should return.
    promised : bool
        Whether the lender counts on the caller's return at that time.
    """

    verdict: AdmissionVerdict
    reason: AdmissionReason
    retry_after: float = 0.0
    promised: bool = False
