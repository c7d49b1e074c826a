"""Faults of a soak that partition hosts from upstreams."""

from collections.abc import Callable
from collections.abc import Sequence
import random

import gevent
import msgspec

from sedgetide.testing.gateways import Path
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import SoakHost

_SECONDS = (0.4, 1.0, 2.0, 4.0, 6.0)
# Seconds of a cut and of the pause after it, in a series of cuts.
_SERIES_STEP = 0.7
_SERIES_LENGTH = 4
LOST_PATHS = (Path.HANGING, Path.RESETTING, Path.REFUSING, Path.ONE_WAY)


class Disruption(msgspec.Struct, frozen=True):
    """A fault whose time is not yet set.

    Parameters
    ----------
    name : str
        Description for the output.
    seconds : float
        Duration.
    hosts : tuple of int
        Numbers of the hosts that it concerns.
    begin, end : callable
        Inject the fault and undo it.
    """

    name: str
    seconds: float
    hosts: tuple[int, ...]
    begin: Callable[[], None]
    end: Callable[[], None]


def draw_hosts(source: random.Random, fleet: Fleet) -> tuple[int, ...]:
    """Draw one host, half of them, a data centre or all of them."""
    everyone = range(len(fleet.hosts))
    kind = source.choice(("one", "half", "half", "centre", "all"))
    if kind == "one":
        return (source.choice(everyone),)
    if kind == "half":
        return tuple(sorted(source.sample(everyone, len(everyone) // 2)))
    if kind == "centre":
        data_centre = source.choice(fleet.hosts).data_centre
        return tuple(
            number
            for number in everyone
            if fleet.hosts[number].data_centre == data_centre
        )
    return tuple(everyone)


def _draw_upstreams(source: random.Random, fleet: Fleet) -> Sequence[str]:
    """Draw the addresses of all upstreams, or of those of a data centre."""
    data_centre = source.choice(("", "", "dc-0", "dc-1"))
    return [
        each.address
        for each in fleet.upstreams
        if not data_centre or each.data_centre == data_centre
    ]


def _repeat(
    hosts: Sequence[SoakHost], path: Path, lost: Sequence[str]
) -> None:
    for _ in range(_SERIES_LENGTH):
        for state in (path, Path.OPEN):
            for host in hosts:
                host.gateway.set_path(state, lost.__contains__)
            gevent.sleep(_SERIES_STEP)


def draw_path_cut(source: random.Random, fleet: Fleet) -> Disruption:
    """Draw a cut, or a series of cuts, of some hosts from upstreams."""
    numbers = draw_hosts(source, fleet)
    hosts = [fleet.hosts[number] for number in numbers]
    lost = _draw_upstreams(source, fleet)
    path = source.choice(LOST_PATHS)
    seconds = source.choice(_SECONDS)
    in_series = source.random() < 0.25

    def begin() -> None:
        if in_series:
            gevent.spawn(_repeat, hosts, path, lost)
            return
        for host in hosts:
            host.gateway.set_path(path, lost.__contains__)

    def end() -> None:
        for host in hosts:
            host.gateway.set_path(Path.OPEN)

    if in_series:
        seconds = 2 * _SERIES_STEP * _SERIES_LENGTH
    label = ",".join(map(str, numbers))
    name = f"{path.value} paths of hosts {label} to {len(lost)} upstreams"
    return Disruption(
        name + in_series * " in series", seconds, numbers, begin, end
    )
