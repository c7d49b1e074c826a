"""Limit of the connections of callers that a server keeps open."""

from collections.abc import Iterable
import heapq
from typing import TypeVar

# Share of the descriptors of a process; the others are for connections to
# upstreams, the store and other hosts.
_DESCRIPTOR_SHARE = 0.75
# Part of the limit that is closed at once when it is reached.
_CLOSED_FRACTION = 64

ConnectionT = TypeVar("ConnectionT")


def find_connection_limit(descriptors: int) -> int:
    """Return how many connections of callers a process may have.

    Parameters
    ----------
    descriptors : int
        Number of descriptors that the process may have open.
    """
    return max(1, int(descriptors * _DESCRIPTOR_SHARE))


def choose_idlest(
    idle_since: Iterable[tuple[float, ConnectionT]], limit: int
) -> list[ConnectionT]:
    """Return the connections to close when there are as many as allowed.

    Parameters
    ----------
    idle_since : iterable of tuple
        Idle connections, each with the time since which it is idle.
    limit : int
        Number of connections allowed.
    """
    count = max(1, limit // _CLOSED_FRACTION)
    longest = heapq.nsmallest(count, idle_since, key=lambda each: each[0])
    return [connection for _, connection in longest]
