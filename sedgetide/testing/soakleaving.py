"""Upstreams of a soak that tell the registry that they leave."""

from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import LEFT

# Seconds after the acknowledgement within which requests may still come.
DRAINED_WITHIN = 2.0
_TOUCH = 3.0


def find_late_sends(
    events: list[Event], faults: list[tuple[float, float]]
) -> list[str]:
    """Return what reached upstreams that leave, hosts being in touch.

    Parameters
    ----------
    faults : list of tuple
        When each fault began and ended.
    """
    left = {each.upstream: each.at for each in events if each.kind == LEFT}
    problems = []
    for event in events:
        if event.kind != "begin" or event.upstream not in left:
            continue
        late = event.at - left[event.upstream]
        excused = any(b <= event.at < e + _TOUCH for b, e in faults)
        if late > DRAINED_WITHIN and not excused:
            problems.append(
                f"{event.request} ran at {event.upstream} {late:.1f} s after "
                "the registry had heard that it leaves"
            )
    return problems
