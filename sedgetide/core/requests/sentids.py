"""Ids of the requests that were sent on one connection."""

import xxhash

from sedgetide.core.identifiers import RequestId

# Seconds between two removals of expired ids.
_PRUNE_INTERVAL = 1.0


class SentIds:
    """Ids of the requests that were sent on one connection.

    An upstream may send a copy of an answer late, where the next one on its
    connection is expected, and only the id of the request tells them apart.
    All attempts of a request have the same id, so on a connection that
    carried an earlier one, a copy of that one's rejection can't be told from
    the answer to a later one.

    Notes
    -----
    Ids are stored as 64-bit hashes, as callers choose their length. A
    collision costs one more connection.
    """

    def __init__(self) -> None:
        self._expiries: dict[int, float] = {}
        self._prune_at = 0.0

    def note(self, request: RequestId, expires: float, now: float) -> None:
        """Record that a request is sent.

        Parameters
        ----------
        request : RequestId
            Id of the request. An empty one is ignored, since upstreams run
            no requests without an id.
        expires : float
            Monotonic time in seconds after which the request isn't sent
            again.
        now : float
            Current monotonic time in seconds.
        """
        if now >= self._prune_at:
            self._prune_at = now + _PRUNE_INTERVAL
            self._expiries = {
                each: end for each, end in self._expiries.items() if end > now
            }
        if request:
            self._expiries[_hash(request)] = expires

    def __contains__(self, request: RequestId) -> bool:
        return _hash(request) in self._expiries


def _hash(request: RequestId) -> int:
    return xxhash.xxh3_64_intdigest(request.encode())
