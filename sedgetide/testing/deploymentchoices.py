"""Faults of a fleet in a deployment's shape, and choices that they share.

The choices of a fault are drawn before the run. What depends on the state of
the fleet, such as which host leads, is looked up when the fault begins.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

import msgspec

from sedgetide.testing.deploymentfleet import DeployedHost
from sedgetide.testing.deploymentfleet import DeployedUpstream
from sedgetide.testing.deploymentfleet import DeploymentFleet

# Seconds until the process of a host's connections has applied a cut.
CUT_DELAY = 0.05
# Seconds of the pauses of a process that is slowed down.
PAUSES = (0.02, 0.1, 0.5)
# Stalls of an event loop, in units of so many seconds.
STALLS = (1, 2, 4, 8, 10)
STALL_UNIT = 0.5
STORE_SECONDS = (2.0, 3.0, 5.0)
_SECONDS = (0.5, 1.0, 2.0, 4.0)
_LEADER_SHARE = 0.6


class DeploymentFault(msgspec.Struct, frozen=True):
    """Fault whose time isn't set yet.

    Parameters
    ----------
    name : str
        Description for the output.
    seconds : float
        Time between its begin and its end.
    begin, end : callable
        Inject the fault and undo it.
    """

    name: str
    seconds: float
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None


class ScheduledFault(msgspec.Struct, frozen=True):
    """Fault and its time, counted from the first traffic in seconds."""

    at: float
    fault: DeploymentFault


HostChoice = Callable[[], list[DeployedHost]]


class FaultChoices:
    """Draws what faults act on, and for how long.

    Parameters
    ----------
    source : random.Random
        Random number generator.
    fleet : DeploymentFleet
        Processes that the faults act on.
    """

    def __init__(self, source: random.Random, fleet: DeploymentFleet) -> None:
        self._random = source
        self._fleet = fleet

    def _draw_seconds(self) -> float:
        return self._random.choice(_SECONDS)

    def _draw_host(self) -> tuple[str, Callable[[], DeployedHost]]:
        """Draw the leader of the moment, or some host."""
        if self._random.random() < _LEADER_SHARE:
            return "the leader", self._fleet.find_leader
        host = self._random.choice(self._fleet.hosts)
        return host.name, lambda: host

    def _draw_hosts(self) -> tuple[str, HostChoice]:
        """Draw one host, a data centre, most hosts with the leader, or all."""
        fleet = self._fleet
        kind = self._random.choice(("leader", "one", "centre", "most", "all"))
        host = self._random.choice(fleet.hosts)
        some = self._random.sample(fleet.hosts, len(fleet.hosts) * 2 // 3)

        def choose() -> list[DeployedHost]:
            match kind:
                case "leader":
                    return [fleet.find_leader()]
                case "one":
                    return [host]
                case "centre":
                    return [e for e in fleet.hosts if e.centre == host.centre]
                case "most":
                    leader = fleet.find_leader()
                    return [leader, *(e for e in some if e is not leader)]
            return list(fleet.hosts)

        label = {
            "leader": "the leader",
            "one": host.name,
            "centre": f"hosts of dc-{host.centre}",
            "most": "most hosts",
            "all": "all hosts",
        }
        return label[kind], choose

    def _draw_keyed(self) -> DeployedUpstream:
        return self._random.choice(self._fleet.list_keyed())

    def _draw_upstreams(self) -> tuple[str, Sequence[DeployedUpstream]]:
        """Draw one upstream, those of a data centre, or all."""
        kind = self._random.choice(("one", "one", "centre", "all"))
        upstream = self._draw_keyed()
        if kind == "one":
            return upstream.prefix, [upstream]
        if kind == "all":
            return "all upstreams", ()
        return f"upstreams of dc-{upstream.centre}", [
            each
            for each in self._fleet.upstreams
            if each.centre == upstream.centre
        ]
