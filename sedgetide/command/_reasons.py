"""Explanations of the reasons for which requests are refused or fail."""

from typing import NamedTuple

from sedgetide.core.requests.refusals import RefusalReason


class Explanation(NamedTuple):
    """Explanation of a reason, for operators.

    Parameters
    ----------
    cause : str
        Sentence about the cause.
    awaited : str
        What the request waited for.
    decider : str
        What decided that it is refused or has failed, and by what.
    """

    cause: str
    awaited: str
    decider: str


_NOTHING = "nothing, it was refused at once"
_ANSWER = "a response of the upstream"
_NO_RETRY = (
    "; the host did not send it again, because its route allows no further "
    "attempt or too little of its time was left"
)
_REGISTRY = "the host, by the registry as it knows it"
_TABLE = "the host, by its copy of the range table"

EXPLANATIONS = {
    RefusalReason.BODY_MEMORY: Explanation(
        "the bodies of other requests took the memory that the host has for "
        "them",
        _NOTHING,
        "the host, by its memory_mb; the rest of the body was not read",
    ),
    RefusalReason.NO_ROUTES: Explanation(
        "the host had not read the routes yet",
        _NOTHING,
        "the host, which had just started",
    ),
    RefusalReason.NO_OWNER: Explanation(
        "the host knew no owner of its key",
        "a range table with an owner of its key",
        _TABLE,
    ),
    RefusalReason.MOVING: Explanation(
        "its range had no owner while it moved",
        "the grant of its range to the next owner",
        f"{_TABLE}: the move took longer than the request could wait",
    ),
    RefusalReason.OWNER_GONE: Explanation(
        "its owner was no longer available and its range had not yet moved",
        "the move of its range, or nothing if the store was silent",
        _REGISTRY,
    ),
    RefusalReason.NO_UPSTREAM: Explanation(
        "its service had no upstream",
        "an upstream of its service that takes requests",
        _REGISTRY,
    ),
    RefusalReason.BACKING_OFF: Explanation(
        "its upstream had asked the host to send nothing for some time",
        _NOTHING,
        "the upstream, by the backoff in an earlier response; the caller is "
        "told its remaining time",
    ),
    RefusalReason.WINDOW: Explanation(
        "its upstream had no free place in time",
        "room in the host's own window for the upstream",
        "the host, by its window and the requests that waited for it",
    ),
    RefusalReason.OWNER_SILENT: Explanation(
        "the upstream that owns its key owed the host answers to several "
        "requests and had sent none since",
        "an answer of the upstream to a request before it, or another owner",
        "the host, by the requests that it had sent to the upstream",
    ),
    RefusalReason.NO_PLACE: Explanation(
        "its upstream had no free place in time, counted over all hosts",
        "a place at the upstream, in the queue of its lender",
        "the lender of the upstream's places",
    ),
    RefusalReason.COLD: Explanation(
        "its upstream was cold and is sent fewer requests at first",
        "a place at the cold upstream",
        "the lender of the upstream's places, or the host because no lender "
        "replied",
    ),
    RefusalReason.LIMITED: Explanation(
        "it exceeded the rate limit that its upstream had set for all hosts "
        "together",
        "room under the limit of the upstream",
        "the lender of the upstream's places, or the host because no lender "
        "replied",
    ),
    RefusalReason.QUARANTINED: Explanation(
        "it is quarantined and was not sent, because upstreams ended during "
        "it and its repeats",
        _NOTHING,
        "the quarantine, which all hosts share; the caller is told its "
        "remaining time",
    ),
    RefusalReason.ON_TRIAL: Explanation(
        "upstreams had ended during it or beside it, so one copy of it runs "
        "at a time, and it had no turn",
        "the end of the run of another copy",
        "the leader's host, or this host because no leader replied",
    ),
    RefusalReason.TOO_LATE: Explanation(
        "its time was over before it could be sent",
        "permission to be sent",
        "the host, by the caller's deadline and the timeout of the route",
    ),
    RefusalReason.STOPPING: Explanation(
        "the host was told to stop and had too little time left for it",
        "what stage says, or nothing if there is none",
        "the host, by its grace time and the usual service time",
    ),
    RefusalReason.SUSPECT: Explanation(
        "upstreams had ended during it, and another run could end one more",
        _NOTHING,
        "the host, by the losses that the quarantine has recorded",
    ),
    RefusalReason.NO_RETRY_BUDGET: Explanation(
        "it could not be sent again, because the retries of its service were "
        "used up",
        _NOTHING,
        "the host, by the retry budget of the service",
    ),
    RefusalReason.BUSY: Explanation(
        "the upstream reported that it was full",
        _ANSWER,
        f"the upstream{_NO_RETRY}",
    ),
    RefusalReason.NOT_OWNER: Explanation(
        "the upstream that the host considered the owner did not own the key",
        _ANSWER,
        f"the upstream{_NO_RETRY}",
    ),
    RefusalReason.DECLINED: Explanation(
        "the upstream declined it", _ANSWER, f"the upstream{_NO_RETRY}"
    ),
    RefusalReason.UNREACHABLE: Explanation(
        "the connection to the upstream failed",
        "a connection to the upstream",
        "the host, which opened none in the time or the attempts for it",
    ),
    RefusalReason.BROKEN: Explanation(
        "the connection broke before the response was complete",
        _ANSWER,
        f"the host{_NO_RETRY}, or it may run only once",
    ),
    RefusalReason.FOREIGN: Explanation(
        "only responses to other requests were received",
        _ANSWER,
        f"the host{_NO_RETRY}",
    ),
    RefusalReason.FAILED: Explanation(
        "the upstream ran it and failed",
        _ANSWER,
        f"the upstream{_NO_RETRY}, or it may run only once",
    ),
    RefusalReason.SILENT: Explanation(
        "no response was received in time",
        _ANSWER,
        "the host, by the caller's deadline and the timeout of the route",
    ),
    RefusalReason.INTERNAL_ERROR: Explanation(
        "the router failed with an error that its host logged",
        _NOTHING,
        "the host",
    ),
}
