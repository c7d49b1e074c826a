"""Check that leaving upstreams of a soak receive no further requests."""

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import LEFT

# Seconds after the registry's acknowledgement in which requests may still
# arrive.
DRAINED_WITHIN = 2.0
_RECONNECT_TIME = 3.0


def find_late_sends(
    events: list[Event], faults: list[tuple[float, float]]
) -> list[str]:
    """Return violations: requests to leaving upstreams without a fault.

    Parameters
    ----------
    faults : list of tuple
        Start and end of each fault; requests during one, or soon after it,
        are not counted.
    """
    left = {each.upstream: each.at for each in events if each.kind == LEFT}
    problems = []
    for event in events:
        if event.kind != "begin" or event.upstream not in left:
            continue
        delay = event.at - left[event.upstream]
        excused = any(b <= event.at < e + _RECONNECT_TIME for b, e in faults)
        if delay > DRAINED_WITHIN and not excused:
            problems.append(
                f"{event.request} ran at {event.upstream} {delay:.1f} s after "
                "the registry had acknowledged that it leaves"
            )
    return problems
