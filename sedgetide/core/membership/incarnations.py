"""Starts of an upstream that keeps its registered name.

A restarted process holds no keys and has seen no fence, so whatever is
known of the start before it is wrong of it: grants, windows, failures. Two
starts under one name are therefore two incarnations, and everything that
is remembered of an upstream is remembered by incarnation.
"""

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import StartTime
from sedgetide.core.identifiers import UpstreamName

# The registry does not tell starts apart: each has a name of its own.
UNKNOWN_BIRTH = StartTime(0)
_SEPARATOR = "@"


def name_incarnation(
    upstream: UpstreamName, born: StartTime
) -> IncarnationName:
    """Return the name of one start of an upstream.

    Parameters
    ----------
    upstream : UpstreamName
        Name in the registry.
    born : StartTime
        When it started, by its own time of day. Only compared with other
        starts of the same upstream, never with a clock: the time of day
        jumps on some hosts.
    """
    if born == UNKNOWN_BIRTH:
        return IncarnationName(upstream)
    return IncarnationName(f"{upstream}{_SEPARATOR}{born}")
