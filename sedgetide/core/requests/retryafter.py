"""Delays after which callers should retry requests that were not run.

A caller that retries too early is refused again and has one retry less. With
a realistic delay, it still has retries left when keys without an owner get
one. Callers limit the delay to what their own deadline allows.
"""

from sedgetide.core.requests.windows import UpstreamLoad

# Seconds; a place is returned within half of the service time of a request.
SHORT_RETRY_DELAY = 0.25
# Seconds; the caller's next connection leads to another host.
STOPPING_RETRY_DELAY = 0.05
# Seconds until a starting host has read the routes.
STARTUP_RETRY_DELAY = 0.5
# Seconds until a host without contact to the store may be connected again.
STORE_SILENT_RETRY_DELAY = 1.5
# Seconds; a queue changes too fast to be predicted for longer.
_MAX_QUEUE_DELAY = 1.0
_MIN_FULL_DELAY = 0.05
# Seconds. A request without a place misses its objective in any case, so the
# delay is chosen such that it finds capacity: an overload lasts until a burst
# is over or keys have moved, which takes a second or more.
_MIN_PLACE_DELAY = 1.0
_MAX_PLACE_DELAY = 1.5
# Seconds from the loss of an owner to the grant of its successor: a hold of
# 3.5 s, its margins, and the next round of the leader.
_OWNER_LOSS_SECONDS = 4.2


def retry_after_queue(seconds: float) -> float:
    """Return the retry delay for a queue that is too long.

    Parameters
    ----------
    seconds : float
        Expected wait in the queue.
    """
    return min(_MAX_QUEUE_DELAY, max(SHORT_RETRY_DELAY, round(seconds, 2)))


def retry_after_place(seconds: float) -> float:
    """Return the retry delay for an upstream without free places.

    Parameters
    ----------
    seconds : float
        Expected wait, as reported by the lender.
    """
    capped = min(_MAX_PLACE_DELAY, seconds)
    return round(max(_MIN_PLACE_DELAY, capped), 2)


def retry_after_promise(seconds: float) -> float:
    """Return the retry delay that a lender promised.

    Parameters
    ----------
    seconds : float
        Time until the lender expects the caller back.
    """
    return round(max(SHORT_RETRY_DELAY, seconds), 2)


def retry_after_limit(seconds: float) -> float:
    """Return the retry delay for an upstream that has stated a limit.

    Parameters
    ----------
    seconds : float
        Time until the limit allows a request, as reported by the lender.
    """
    return round(max(SHORT_RETRY_DELAY, seconds), 2)


def retry_after_backoff(seconds: float) -> float:
    """Return the retry delay for an upstream that requested a backoff.

    Parameters
    ----------
    seconds : float
        Remaining time of the backoff.
    """
    return round(max(SHORT_RETRY_DELAY, seconds), 2)


def retry_after_full_upstream(
    load: UpstreamLoad | None, seconds: float
) -> float:
    """Return the retry delay for an upstream that was overloaded.

    Parameters
    ----------
    load : UpstreamLoad or None
        Load that it reported with its refusal.
    seconds : float
        Service time of a request there.
    """
    if load is None:
        return SHORT_RETRY_DELAY
    wait = load.waiting * seconds / max(1, load.slots)
    return min(_MAX_QUEUE_DELAY, _MIN_FULL_DELAY + wait)


def retry_after_owner_loss(seconds: float) -> float:
    """Return the retry delay for keys whose owner cannot be reached.

    When a data centre is cut off, its keys have no owner until the holds
    there have expired. Callers that retried after a quarter of a second were
    refused three times within one second and failed.

    Parameters
    ----------
    seconds : float
        Seconds for which this host has been unable to reach an owner.
    """
    return round(max(STARTUP_RETRY_DELAY, _OWNER_LOSS_SECONDS - seconds), 2)
