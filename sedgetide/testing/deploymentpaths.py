"""Faults of the paths between the processes of a deployment's fleet."""

from collections.abc import Callable
from collections.abc import Sequence

import gevent

from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices
from sedgetide.testing.deploymentchoices import HostChoice
from sedgetide.testing.deploymentfleet import DeployedUpstream
from sedgetide.testing.gateways import Path
from sedgetide.testing.hostlinks import StoreCommand
from sedgetide.testing.proxies import Mode

_LOST_PATHS = tuple(each for each in Path if each is not Path.OPEN)
_ISOLATION_SECONDS = (2.0, 5.0, 8.0)


class PathFaults(FaultChoices):
    """Draws cuts between hosts and upstreams, and who is isolated."""

    def draw_path_cut(self) -> DeploymentFault:
        """Draw a cut of hosts from upstreams, or a series of cuts."""
        label, choose = self._draw_hosts()
        lost_label, lost = self._draw_upstreams()
        path = self._random.choice(_LOST_PATHS)
        count = self._random.choice((1, 1, 1, 3))
        seconds = self._draw_seconds()
        fleet = self._fleet

        def cut() -> None:
            hosts = choose()
            addresses = [each.address for each in lost]
            for _ in range(count):
                number = fleet.cut(hosts, path, addresses)
                gevent.sleep(seconds / count)
                fleet.heal(hosts, number)
                gevent.sleep(0.3)

        name = f"{path.value} paths of {label} to {lost_label} {count} times"
        return DeploymentFault(name, seconds, lambda: self._fleet.spawn(cut))

    def draw_isolated_upstream(self) -> DeploymentFault:
        """Draw an upstream that is cut off from all hosts and the store."""
        upstream = self._draw_keyed()
        fleet = self._fleet
        return self._make_isolation(
            upstream.prefix,
            lambda: list(fleet.hosts),
            lambda: [upstream],
            lambda: [upstream],
        )

    def draw_isolated_centre(self) -> DeploymentFault:
        """Draw a data centre that is cut off from others and the store."""
        centre = self._random.randrange(self._fleet.shape.data_centres)
        fleet = self._fleet
        return self._make_isolation(
            f"hosts of dc-{centre}",
            lambda: [each for each in fleet.hosts if each.centre == centre],
            lambda: [
                each for each in fleet.upstreams if each.centre != centre
            ],
            lambda: [
                each for each in fleet.upstreams if each.centre == centre
            ],
        )

    def _make_isolation(
        self,
        label: str,
        choose: HostChoice,
        choose_lost: Callable[[], list[DeployedUpstream]],
        choose_silent: Callable[[], list[DeployedUpstream]],
    ) -> DeploymentFault:
        """Cut hosts from some upstreams, and other ones from the store."""
        path = self._random.choice(_LOST_PATHS)
        mode = self._random.choice((Mode.CUT, Mode.REFUSE, Mode.PASS))
        with_hosts = self._random.random() < 0.5
        seconds = self._random.choice(_ISOLATION_SECONDS)
        fleet = self._fleet

        def cut() -> None:
            hosts, silent = choose(), choose_silent()
            addresses = [each.address for each in choose_lost()]
            number = fleet.cut(hosts, path, addresses)
            set_store_mode(silent, mode)
            # An upstream is no reason to cut all hosts from the store.
            lonely = hosts if with_hosts and len(silent) > 1 else []
            fleet.set_store_path(lonely, StoreCommand(mode))
            gevent.sleep(seconds)
            fleet.heal(hosts, number)
            set_store_mode(silent, Mode.PASS)
            fleet.set_store_path(lonely, StoreCommand())

        name = f"isolate {label}, {path.value}, store {mode.value}"
        return DeploymentFault(name, seconds, lambda: self._fleet.spawn(cut))


def set_store_mode(upstreams: Sequence[DeployedUpstream], mode: Mode) -> None:
    """Change the paths of upstreams to the store."""
    for each in upstreams:
        each.store.mode = mode
        if mode is Mode.REFUSE:
            each.store.reset_all()
