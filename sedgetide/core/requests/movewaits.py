"""How long a request waits for a key that is being moved."""

import msgspec

from sedgetide.core.ownership.moveprogress import MovingRange
from sedgetide.core.requests.retryafter import retry_after_owner_loss
from sedgetide.core.requests.retryafter import SHORT_RETRY_DELAY
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY

# Seconds; a move that lasts longer than this and than twice the usual time is
# no longer expected to end by a release.
_MAX_PLANNED_MOVE = 0.6
_OVERDUE_FACTOR = 2.0
# Seconds within which an upstream that has removed its registry entry, but is
# still running, answers a release.
_RELEASE_ANSWER_TIME = 0.25
# Seconds from the end of a hold until all hosts know of the next owner.
_GRANT_TIME = 0.1


class MoveWait(msgspec.Struct, frozen=True):
    """How long a request waits for its key, and what its caller is told.

    Parameters
    ----------
    until : float
        Time until which to wait for a change before the next decision. The
        request is refused if this is not in the future.
    retry_after : float
        Seconds after which a refused caller should retry.
    """

    until: float
    retry_after: float


def decide_move_wait(
    move: MovingRange, useful_until: float, now: float
) -> MoveWait:
    """Decide whether a request waits for a key that is being moved.

    A planned move ends within a short time, so the request waits as long as
    an answer can be useful. If the previous owner is lost, its hold has to
    expire; a caller that can't usefully wait for that is told at once.

    Parameters
    ----------
    move : MovingRange
        Progress of the move.
    useful_until : float
        Time until which a wait can be useful to the caller.
    now : float
        Current monotonic time in seconds.
    """
    if _may_be_released(move):
        until = useful_until
        if not move.owner_registered:
            until = min(until, now + _RELEASE_ANSWER_TIME - move.age)
        left = round(move.usual - move.age, 2)
        return MoveWait(until, max(SHORT_RETRY_DELAY, left))
    if move.hold_left is None:
        left = retry_after_owner_loss(move.age)
    else:
        left = round(move.hold_left + _GRANT_TIME, 2)
    until = now if now + left > useful_until else useful_until
    return MoveWait(until, max(STARTUP_RETRY_DELAY, left))


def _may_be_released(move: MovingRange) -> bool:
    """Return whether the move may still end by a release of the owner."""
    if not move.owner_registered:
        return move.age < _RELEASE_ANSWER_TIME
    longest = max(_MAX_PLANNED_MOVE, _OVERDUE_FACTOR * move.usual)
    return move.hold_left is None and move.age <= longest
