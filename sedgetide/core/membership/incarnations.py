"""Incarnations: the processes that use one registered name in succession.

A restarted process holds no keys and has seen no fences, so the grants,
windows and failures known of the previous process do not apply to it.
Therefore each start is an incarnation of its own, and all state about
upstreams is kept by incarnation.
"""

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import StartTime
from sedgetide.core.identifiers import UpstreamName

# Used with registries that do not report start times because each incarnation
# registers under a name of its own.
UNKNOWN_START_TIME = StartTime(0)
_SEPARATOR = "@"


def name_incarnation(
    upstream: UpstreamName, born: StartTime
) -> IncarnationName:
    """Return the name of one incarnation of an upstream.

    Parameters
    ----------
    upstream : UpstreamName
        Name in the registry.
    born : StartTime
        Start time by the wall clock of the upstream. It is only compared
        with other start times of the same upstream, never with a clock,
        because the wall clocks of some hosts jump.
    """
    if born == UNKNOWN_START_TIME:
        return IncarnationName(upstream)
    return IncarnationName(f"{upstream}{_SEPARATOR}{born}")


def has_start_time(incarnation: IncarnationName) -> bool:
    """Return whether a name tells a start time.

    If it doesn't, the next process has another name.
    """
    name, _, born = incarnation.rpartition(_SEPARATOR)
    return bool(name) and born.isdigit()
