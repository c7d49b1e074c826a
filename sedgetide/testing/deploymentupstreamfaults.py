"""Faults of the upstreams of a fleet in a deployment's shape."""

import signal

import gevent

from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices
from sedgetide.testing.deploymentchoices import PAUSES
from sedgetide.testing.deploymentchoices import STALL_UNIT
from sedgetide.testing.deploymentchoices import STALLS
from sedgetide.testing.deploymentchoices import STORE_SECONDS
from sedgetide.testing.deploymenthostfaults import slow_down
from sedgetide.testing.deploymentpaths import set_store_mode
from sedgetide.testing.gateways import Path
from sedgetide.testing.proxies import Mode

# Share of the keyed upstreams that send extra answers at the same time.
_EXTRA_SHARE = 0.6


class UpstreamFaults(FaultChoices):
    """Draws upstreams that are late, slow, or answer too often."""

    def draw_upstream_stall(self) -> DeploymentFault:
        """Draw an upstream whose event loop stalls."""
        upstream = self._draw_keyed()
        seconds = self._random.choice(STALLS) * STALL_UNIT
        return DeploymentFault(
            f"stall {upstream.prefix}",
            seconds,
            lambda: upstream.set_fault(stall=seconds),
        )

    def draw_slow_upstream(self) -> DeploymentFault:
        """Draw an upstream that is slowed down."""
        upstream = self._draw_keyed()
        paused = self._random.choice(PAUSES)
        seconds = self._random.choice(STORE_SECONDS)

        def begin() -> None:
            self._fleet.spawn(slow_down, upstream.program, paused, seconds)

        return DeploymentFault(
            f"slow {upstream.prefix}, {paused:g} s pauses", seconds, begin
        )

    def draw_upstream_freeze(self) -> DeploymentFault:
        """Draw an upstream that is stopped by a signal for a time."""
        upstream = self._draw_keyed()
        return DeploymentFault(
            f"freeze {upstream.prefix}",
            self._draw_seconds(),
            lambda: upstream.program.signal(signal.SIGSTOP),
            lambda: upstream.program.signal(signal.SIGCONT),
        )

    def draw_late_orders(self) -> DeploymentFault:
        """Draw upstreams that leave orders unanswered and apply them late."""
        some = self._random.sample(self._fleet.list_keyed(), 3)

        def set_share(share: float) -> None:
            for each in some:
                each.set_fault(late=share)

        return DeploymentFault(
            "late orders at " + ",".join(each.prefix for each in some),
            self._draw_seconds(),
            lambda: set_share(0.5),
            lambda: set_share(0.0),
        )

    def draw_extra_answers(self) -> DeploymentFault:
        """Draw upstreams that send some answers once more, later."""
        keyed = self._fleet.list_keyed()
        count = max(1, round(_EXTRA_SHARE * len(keyed)))
        some = self._random.sample(keyed, count)
        seconds = self._random.choice(STORE_SECONDS)
        fleet = self._fleet

        def send() -> None:
            addresses = [each.address for each in some]
            number = fleet.cut(fleet.hosts, Path.REPEATING, addresses)
            gevent.sleep(seconds)
            fleet.heal(fleet.hosts, number)

        return DeploymentFault(
            f"extra answers of {count} upstreams",
            seconds,
            lambda: self._fleet.spawn(send),
        )

    def draw_unregistered(self) -> DeploymentFault:
        """Draw an upstream that is cut off from the store."""
        upstream = self._draw_keyed()
        mode = self._random.choice((Mode.CUT, Mode.REFUSE))

        return DeploymentFault(
            f"{upstream.prefix} without store, {mode.value}",
            self._random.choice((3.0, 6.0, 9.0)),
            lambda: set_store_mode([upstream], mode),
            lambda: set_store_mode([upstream], Mode.PASS),
        )
