"""When a caller whose request has not run does well to come again.

One that comes too early is refused once more and has one retry less; one
that is told the truth about keys without an owner is still there when they
have one. Callers cut what they are told to what their own deadline allows.
"""

from sedgetide.core.requests.windows import UpstreamLoad

# Seconds; a place is given back within half of what a request takes.
SHORT_RETRY_DELAY = 0.25
# Seconds; until a host that starts has read the routes.
STARTUP_RETRY_DELAY = 0.5
# Seconds; until a host that hears nothing of the store may hear it again.
STORE_SILENT_RETRY_DELAY = 1.5
# Seconds; a queue changes too fast to be foretold for longer.
_LONGEST_QUEUE = 1.0
_LEAST_QUEUED = 0.05
# Seconds. A request without a place is late whatever comes, so what counts is
# that it finds room: load above an upstream's work lasts until a burst is over
# or keys have moved, a second or more.
_LEAST_FOR_PLACE = 1.0
_LONGEST_FOR_PLACE = 1.5
# Seconds from the loss of an owner to the grant of its successor: a hold of
# 3.5, its margins, and the leader's next round.
_DARK = 4.2
# Seconds; a planned move takes no longer.
_PLANNED_MOVE = 0.6


def retry_after_queue(seconds: float) -> float:
    """Return when to come again to a queue that is too long.

    Parameters
    ----------
    seconds : float
        Wait there by what is known.
    """
    return min(_LONGEST_QUEUE, max(SHORT_RETRY_DELAY, round(seconds, 2)))


def retry_after_place(seconds: float) -> float:
    """Return when to come again to an upstream whose places are all lent.

    Parameters
    ----------
    seconds : float
        Wait there, as the lender says.
    """
    most = min(_LONGEST_FOR_PLACE, seconds)
    return round(max(_LEAST_FOR_PLACE, most), 2)


def retry_after_limit(seconds: float) -> float:
    """Return when to come again to an upstream that has named a limit.

    Parameters
    ----------
    seconds : float
        Until the limit has room again, as the lender says.
    """
    return round(max(SHORT_RETRY_DELAY, seconds), 2)


def retry_after_backoff(seconds: float) -> float:
    """Return when to come again to an upstream that wants nothing yet.

    Parameters
    ----------
    seconds : float
        That are left of it.
    """
    return round(max(SHORT_RETRY_DELAY, seconds), 2)


def retry_after_full_upstream(
    load: UpstreamLoad | None, seconds: float
) -> float:
    """Return when to come again to an upstream that was full.

    Parameters
    ----------
    load : UpstreamLoad or None
        What it said when it refused.
    seconds : float
        How long requests take there.
    """
    if load is None:
        return SHORT_RETRY_DELAY
    wait = load.waiting * seconds / max(1, load.slots)
    return min(_LONGEST_QUEUE, _LEAST_QUEUED + wait)


def retry_after_owner_loss(dark: float) -> float:
    """Return when to come again for keys whose owner can't be reached.

    A data centre is cut off: its keys have no owner until the holds there
    have run out. Callers who came back after a quarter of a second were
    refused three times within one, and failed.

    Parameters
    ----------
    dark : float
        Seconds for which this host has not reached an owner.
    """
    return round(max(STARTUP_RETRY_DELAY, _DARK - dark), 2)


def retry_after_move(moving: float) -> float:
    """Return when to come again for keys that are on their way.

    Parameters
    ----------
    moving : float
        Seconds for which they have been; longer than planned moves take
        where the old owner is lost and its hold has to run out.
    """
    if moving <= _PLANNED_MOVE:
        return SHORT_RETRY_DELAY
    return retry_after_owner_loss(moving)
