"""Faults of the ownership simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.testing.leasestore import StoreCopy
from sedgetide.testing.ownershiphosts import PathState
from sedgetide.testing.ownershiphosts import WorldHost

if TYPE_CHECKING:
    from sedgetide.testing.ownershipworld import OwnershipWorld

FAULT_TIMES = (0.3, 1.0, 2.0, 4.0, 8.0, 16.0, 30.0)
_FAULTS_PER_STEP = 0.04


class Faults:
    """Random faults of hosts, of their paths and of the store.

    Parameters
    ----------
    world : OwnershipWorld
        Simulation that the faults act on.
    with_restores : bool
        Whether the store is also restored from older copies.
    with_refusals : bool
        Whether hosts are also refused by upstreams that run.
    """

    def __init__(
        self,
        world: "OwnershipWorld",
        with_restores: bool = False,
        with_refusals: bool = False,
    ) -> None:
        self.world = world
        self.kinds: list[Callable[[WorldHost, float], None]] = [
            self.pause,
            self.restart,
            self._cut_host_from_store,
            self._stop_store,
            self._revoke,
            self._isolate_upstream,
            self._cut_from_upstream,
            self._change_read_probability,
        ]
        if with_restores:
            self.kinds += [self.restore, self.restore, self._restart_all]
        if with_refusals:
            self.kinds += [self._refuse, self._refuse]

    def start_random(self) -> None:
        """Start a random fault in 4 % of the steps."""
        if self.world.random.random() > _FAULTS_PER_STEP:
            return
        host = self.world.random.choice(self.world.hosts)
        until = self.world.now + self.world.random.choice(FAULT_TIMES)
        self.world.random.choice(self.kinds)(host, until)

    def pause(self, host: WorldHost, until: float) -> None:
        """Stop a host's process for some time."""
        host.paused_until = until

    def restart(self, host: WorldHost, _: float) -> None:
        """Kill a host's process; it is back soon, without its state."""
        host.restart()
        host.paused_until = self.world.now + self.world.random.uniform(
            0.2, 2.0
        )

    def _cut_host_from_store(self, host: WorldHost, until: float) -> None:
        host.store_unreachable_until = until

    def _stop_store(self, _: WorldHost, until: float) -> None:
        for host in self.world.hosts:
            host.store_unreachable_until = until

    def restore(self, *_: object) -> None:
        """Restore the store from a copy, at once or after an outage."""
        outage = self.world.random.choice((0.0, 0.0, 0.3, 1.0, 3.0))
        self.restore_copy(
            outage, self.world.random.choice(self.world.copies)[1]
        )

    def restore_copy(self, outage: float, copy: StoreCopy) -> None:
        """Restore the store from a given copy after an outage."""
        for host in self.world.hosts:
            host.store_unreachable_until = max(
                host.store_unreachable_until, self.world.now + outage
            )
        self.world.delay(
            outage, lambda: self.world.store.restore(copy, self.world.now)
        )

    def _restart_all(self, *_: object) -> None:
        for host in self.world.hosts:
            self.restart(host, 0.0)

    def _isolate_upstream(self, _: WorldHost, until: float) -> None:
        name = self.world.pick_upstream()
        for host in self.world.hosts:
            host.paths.close(name, PathState.SILENT, until)

    def _cut_from_upstream(self, host: WorldHost, until: float) -> None:
        name = self.world.pick_upstream()
        host.paths.close(name, PathState.SILENT, until)

    def _refuse(self, host: WorldHost, until: float) -> None:
        name = self.world.pick_upstream()
        host.paths.close(name, PathState.REFUSED, until)

    def _change_read_probability(self, host: WorldHost, _: float) -> None:
        host.read_probability = self.world.random.choice((0.0, 0.02, 0.7))

    def _revoke(self, *_: object) -> None:
        """Delete the leader's record while its lease stays valid."""
        for host in self.world.hosts:
            if host.lease != NO_LEASE:
                self.world.store.revoke(host.lease, forget=False)
