"""Fault of a fleet: an upstream answers without end for some seconds."""

import random

from sedgetide.testing.endless import Kind
from sedgetide.testing.endlessswitch import SWITCH_PATH
from sedgetide.testing.endlessswitch import Target
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakUpstream
from sedgetide.testing.soakpaths import Disruption

_SECONDS = (0.5, 2.0, 4.0, 6.0)
# The proxies before the upstreams of a soak run in the process of its
# callers, which bodies of many megabytes would delay.
_SOAK_KINDS = tuple(
    kind
    for kind in Kind
    if kind not in (Kind.LENGTH, Kind.TO_CLOSE, Kind.LARGE_CHUNKS)
)


def answer_endlessly(
    upstream: SoakUpstream, kind: Kind, target: Target, seconds: float
) -> None:
    """Make the upstream of a fleet answer without end for some seconds."""
    port = int(upstream.address.rpartition(":")[2])
    path = f"{SWITCH_PATH}{kind.value}/{target.value}/{seconds:g}"
    call(port, "POST", path)


def draw_endless_answers(source: random.Random, fleet: Fleet) -> Disruption:
    """Draw an upstream that answers without end for some seconds."""
    upstream = source.choice(fleet.upstreams)
    kind = source.choice(_SOAK_KINDS)
    target = source.choice(tuple(Target))
    seconds = source.choice(_SECONDS)

    def begin() -> None:
        answer_endlessly(upstream, kind, target, seconds)

    return Disruption(
        f"{kind.value} of upstream {upstream.service} to {target.value}",
        seconds,
        (),
        begin,
        lambda: None,
    )
