"""Outcome of a request and the rule that keeps it honest."""

import enum


class Outcome(enum.Enum):
    """What a caller is told about its request.

    Attributes
    ----------
    ANSWERED
        The owner's whole answer is passed on.
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


# A refusal for one of these is expected to end by itself within a handover.
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

# After one of these a request may have run; only an idempotent one is sent
# again.
UNCERTAIN_REASONS = frozenset(
    {Reason.LINK_LOST, Reason.SILENT, Reason.BAD_ANSWER}
)


class Phase(enum.Enum):
    """How far a request has come on its way to an upstream."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    HANDED_OVER = "handed-over"
    DECLINED = "declined"
    ANSWERED = "answered"


def judge_failure(phase: Phase) -> Outcome:
    """Return the outcome that may be told when a request fails.

    Parameters
    ----------
    phase : Phase
        Furthest phase the request reached. ``DECLINED`` means that the
        upstream itself confirmed that it had not begun.

    Returns
    -------
    Outcome
        ``NOT_RUN`` only while no byte can have reached an upstream or when
        the upstream said so: an answer lost after the hand-over looks to
        the sender just like a request that never arrived.
    """
    if phase in (Phase.ACCEPTED, Phase.QUEUED, Phase.DECLINED):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def may_resend(outcome: Outcome, idempotent: bool) -> bool:
    """Tell whether a request may be sent once more after a failure."""
    if outcome is Outcome.NOT_RUN:
        return True
    return outcome is Outcome.UNKNOWN and idempotent


def combine_outcomes(before: Outcome, last: Outcome) -> Outcome:
    """Return what may be told after several attempts.

    Parameters
    ----------
    before : Outcome
        What could have been told of all earlier attempts; ``NOT_RUN`` when
        there were none.
    last : Outcome
        Outcome of the last attempt.

    Returns
    -------
    Outcome
        An attempt that was not run does not undo an earlier one that may
        have been.
    """
    if last is Outcome.NOT_RUN:
        return before
    return last
