"""Faults of the store of a fleet in a deployment's shape."""

from collections.abc import Callable

from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices
from sedgetide.testing.deploymentchoices import HostChoice
from sedgetide.testing.deploymentchoices import STORE_SECONDS
from sedgetide.testing.deploymentfleet import DeployedHost
from sedgetide.testing.deploymentpaths import set_store_mode
from sedgetide.testing.hostlinks import StoreCommand
from sedgetide.testing.proxies import Mode


class StoreFaults(FaultChoices):
    """Draws a store that is away, cut off, or loses what it has."""

    def draw_store_cut(self) -> DeploymentFault:
        """Draw a cut of hosts from the store."""
        label, choose = self._draw_hosts()
        mode = self._random.choice((Mode.CUT, Mode.REFUSE, Mode.ONE_WAY))
        return self._make_store_cut(
            f"{mode.value} paths of {label} to the store",
            choose,
            StoreCommand(mode),
            self._random.choice(STORE_SECONDS),
        )

    def _make_store_cut(
        self,
        name: str,
        choose: HostChoice,
        command: StoreCommand,
        seconds: float,
        then: Callable[[], None] = lambda: None,
    ) -> DeploymentFault:
        fleet = self._fleet
        cut: list[DeployedHost] = []

        def begin() -> None:
            cut.extend(choose())
            fleet.set_store_path(cut, command)
            then()

        def end() -> None:
            fleet.set_store_path(cut, StoreCommand())

        return DeploymentFault(name, seconds, begin, end)

    def draw_refused_hosts(self) -> DeploymentFault:
        """Draw a store that refuses hosts and revokes their leases."""
        label, choose = self._draw_hosts()
        command = self._random.choice(
            (
                StoreCommand(status=503),
                StoreCommand(status=429),
                StoreCommand(Mode.REFUSE),
                StoreCommand(Mode.CUT),
            )
        )
        forget = self._random.random() < 0.5
        fleet = self._fleet

        def revoke() -> None:
            document = {"kind": "revoke", "forget": forget}
            fleet.set_store_fault(**document, **{"keep-entries": True})

        how = command.status or command.mode.value
        return self._make_store_cut(
            f"store refuses {label} ({how}) and revokes their leases",
            choose,
            command,
            self._random.choice(STORE_SECONDS),
            revoke,
        )

    def draw_store_outage(self) -> DeploymentFault:
        """Draw a store that none of the hosts and upstreams reaches."""
        mode = self._random.choice((Mode.CUT, Mode.REFUSE, Mode.DELAY))
        delay = self._random.choice((0.2, 0.4))
        fleet = self._fleet

        def set_mode(mode: Mode) -> None:
            fleet.set_store_path(fleet.hosts, StoreCommand(mode, delay=delay))
            set_store_mode(fleet.upstreams, mode)

        return DeploymentFault(
            f"store {mode.value} for all",
            self._random.choice(STORE_SECONDS),
            lambda: set_mode(mode),
            lambda: set_mode(Mode.PASS),
        )

    def draw_store_fault(self) -> DeploymentFault:
        """Draw a fault of the store itself."""
        kind = self._random.choice(
            ("down", "lost", "late", "forget", "revoke")
        )
        seconds = self._random.choice(STORE_SECONDS)
        document = {"kind": kind, "seconds": seconds}
        if kind == "revoke":
            document["forget"] = self._random.random() < 0.5
        return DeploymentFault(
            f"store {kind}",
            seconds,
            lambda: self._fleet.set_store_fault(**document),
        )
