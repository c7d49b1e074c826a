"""What is seen in one part of a trial with endless callers."""

import statistics

import msgspec

from sedgetide.testing.loopstalls import LoopStall
from sedgetide.testing.soakcallers import RequestRecord


class RouteRate(msgspec.Struct, frozen=True):
    """What the other callers got on one route in one part of a trial.

    Parameters
    ----------
    rate : float
        Whole responses a second.
    refused : float
        Other responses a second.
    median : float
        Median time of the whole responses in seconds; 0 without any.
    """

    rate: float
    refused: float
    median: float


class ProcessorUse(msgspec.Struct, frozen=True):
    """Processors in use in one part of a trial.

    Parameters
    ----------
    observer : float
        By this process, which has the other callers, the probers, and the
        proxies before the hosts and the upstreams.
    hosts, upstreams : float
        By all hosts, and by all upstreams.
    busiest_host : float
        By the busiest host.
    """

    observer: float
    hosts: float
    upstreams: float
    busiest_host: float


class Part(msgspec.Struct, frozen=True):
    """One part of a trial.

    Parameters
    ----------
    routes : dict
        What the other callers got, by route.
    processors : ProcessorUse
        Processors in use.
    stalls : list of LoopStall
        Interruptions of the event loops of the hosts.
    """

    routes: dict[str, RouteRate]
    processors: ProcessorUse
    stalls: list[LoopStall]

    @property
    def rate(self) -> float:
        """Whole responses a second of all routes."""
        return sum(each.rate for each in self.routes.values())


def summarize_routes(
    records: list[RequestRecord], seconds: float
) -> dict[str, RouteRate]:
    """Return what callers got on each route in so many seconds."""
    rates = {}
    for route in sorted({each.route for each in records}):
        mine = [each for each in records if each.route == route]
        times = [each.seconds for each in mine if each.status // 100 == 2]
        rates[route] = RouteRate(
            len(times) / seconds,
            (len(mine) - len(times)) / seconds,
            statistics.median(times) if times else 0.0,
        )
    return rates
