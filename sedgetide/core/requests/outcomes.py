"""Outcome of a request and the rules by which it is determined."""

import enum


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller.

    Attributes
    ----------
    ANSWERED
        The complete answer of the owner is passed on.
    NOT_RUN
        The request had no effect and will have none.
    UNKNOWN
        The request may have run or may still run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not answered."""

    NONE = "none"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    NOT_KEEPER = "not-keeper"
    MOVING = "moving"
    NO_OWNER = "no-owner"
    NO_GRANT = "no-grant"
    STALE_EPOCH = "stale-epoch"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut-off"
    LINK_LOST = "link-lost"
    BAD_ANSWER = "bad-answer"
    SILENT = "silent"
    OPERATION_LOST = "operation-lost"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"


# Conditions that are expected to end within the duration of a handover.
TRANSIENT_REASONS = frozenset(
    {
        Reason.NOT_KEEPER,
        Reason.MOVING,
        Reason.NO_OWNER,
        Reason.NO_GRANT,
        Reason.STALE_EPOCH,
        Reason.UNREACHABLE,
    }
)

# The request may have run, so it is sent again only if it is idempotent.
UNCERTAIN_REASONS = frozenset(
    {Reason.LINK_LOST, Reason.SILENT, Reason.BAD_ANSWER}
)


class Phase(enum.Enum):
    """Progress of a request on its way to an upstream."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    HANDED_OVER = "handed-over"
    DECLINED = "declined"
    ANSWERED = "answered"


def judge_failure(phase: Phase) -> Outcome:
    """Return the outcome to report for a failed request.

    Parameters
    ----------
    phase : Phase
        Last phase that the request reached. ``DECLINED`` means that the
        upstream confirmed that it had not started the request.

    Returns
    -------
    Outcome
        ``NOT_RUN`` only if no byte can have reached an upstream or if the
        upstream confirmed it. After the hand-over, a lost answer and a
        request that never arrived look the same to the sender.
    """
    if phase in (Phase.ACCEPTED, Phase.QUEUED, Phase.DECLINED):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def is_false_promise(outcome: Outcome, status: int) -> bool:
    """Return whether a status promises more than the outcome allows.

    Parameters
    ----------
    outcome : Outcome
        Combined outcome of all attempts.
    status : int
        Status of the answer to the caller.
    """
    return status in NOT_RUN_STATUSES and outcome is not Outcome.NOT_RUN


def may_resend(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether a request may be sent again after a failure."""
    if outcome is Outcome.NOT_RUN:
        return True
    return outcome is Outcome.UNKNOWN and idempotent


def combine_outcomes(before: Outcome, last: Outcome) -> Outcome:
    """Return the combined outcome of several attempts.

    Parameters
    ----------
    before : Outcome
        Combined outcome of all earlier attempts; ``NOT_RUN`` when there
        were none.
    last : Outcome
        Outcome of the last attempt.

    Returns
    -------
    Outcome
        A last attempt that was not run does not change the outcome of an
        earlier one that may have run.
    """
    if last is Outcome.NOT_RUN:
        return before
    return last
