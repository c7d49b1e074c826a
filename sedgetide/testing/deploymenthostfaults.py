"""Faults of the hosts of a fleet in a deployment's shape."""

import os
import signal
import time

import gevent
import msgspec

from sedgetide.platform import _names
from sedgetide.testing.deploymentchoices import CUT_DELAY
from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices
from sedgetide.testing.deploymentchoices import HostChoice
from sedgetide.testing.deploymentchoices import PAUSES
from sedgetide.testing.deploymentchoices import STALL_UNIT
from sedgetide.testing.deploymentchoices import STALLS
from sedgetide.testing.deploymentchoices import STORE_SECONDS
from sedgetide.testing.deploymentfleet import DeployedHost
from sedgetide.testing.deploymentfleet import DeploymentFleet
from sedgetide.testing.deploymentfleet import GRACE
from sedgetide.testing.gateways import Path
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Program

_WRITE_TIMEOUT_MS = 5000
# Pauses of a process that is slowed down, in lengths of its runs.
_RUN_SHARE = 9.0


class HostFaults(FaultChoices):
    """Draws hosts that freeze, end, are replaced or run slowly."""

    def draw_freeze(self) -> DeploymentFault:
        """Draw a host that is stopped by a signal for a time."""
        label, choose = self._draw_host()
        frozen: list[DeployedHost] = []

        def begin() -> None:
            frozen.append(choose())
            frozen[0].program.signal(signal.SIGSTOP)

        def end() -> None:
            frozen[0].program.signal(signal.SIGCONT)

        return DeploymentFault(
            f"freeze {label}", self._draw_seconds(), begin, end
        )

    def draw_kill(self) -> DeploymentFault:
        """Draw a host that is killed and started again."""
        label, choose = self._draw_host()
        return self._make_kill(f"kill {label}", lambda: [choose()])

    def draw_mass_kill(self) -> DeploymentFault:
        """Draw many hosts that are killed at once."""
        label, choose = self._draw_hosts()
        return self._make_kill(f"kill {label}", choose)

    def _make_kill(self, name: str, choose: HostChoice) -> DeploymentFault:
        killed: list[DeployedHost] = []

        def begin() -> None:
            killed.extend(choose())
            for each in killed:
                each.program.signal(signal.SIGKILL)

        def end() -> None:
            for each in killed:
                each.program.wait()
                each.program.start()

        return DeploymentFault(name, self._draw_seconds(), begin, end)

    def draw_power_loss(self) -> DeploymentFault:
        """Draw a host that ends without closing its connections."""
        label, choose = self._draw_host()
        fleet = self._fleet

        def lose() -> None:
            host = choose()
            number = fleet.cut([host], Path.DROPPING)
            # The cut is in force before the kernel closes the connections.
            gevent.sleep(CUT_DELAY)
            host.program.close()
            gevent.sleep(seconds)
            fleet.heal([host], number)
            host.program.start()

        seconds = self._draw_seconds()
        return DeploymentFault(
            f"power loss of {label}", seconds, lambda: self._fleet.spawn(lose)
        )

    def draw_kill_after_write(self) -> DeploymentFault:
        """Draw a leader that is killed right after a write of the hosts."""
        fleet = self._fleet
        killed: list[DeployedHost] = []

        def kill() -> None:
            _wait_for_write(fleet)
            killed.append(fleet.find_leader())
            killed[0].program.signal(signal.SIGKILL)
            gevent.sleep(1.0)
            killed[0].program.wait()
            killed[0].program.start()

        return DeploymentFault(
            "kill the leader after a write",
            1.0,
            lambda: self._fleet.spawn(kill),
        )

    def draw_stops(self) -> DeploymentFault:
        """Draw hosts that are stopped by SIGTERM, one after the other."""
        count = self._random.choice((1, 2, 3))
        first = self._random.randrange(len(self._fleet.hosts))
        hosts = (self._fleet.hosts * 2)[first : first + count]

        def stop() -> None:
            for host in hosts:
                host.program.signal(signal.SIGTERM)
                host.program.wait(GRACE)
                host.program.close()
                host.program.start()

        return DeploymentFault(
            f"stop {count} hosts in turn", 1.0, lambda: self._fleet.spawn(stop)
        )

    def draw_host_replacement(self) -> DeploymentFault:
        """Draw a host that is replaced by one at another address."""
        label, choose = self._draw_host()
        lost: list[DeployedHost] = []

        def begin() -> None:
            lost.append(choose())
            lost[0].program.close()
            lost[0].replace()

        def end() -> None:
            lost[0].program.start()
            self._fleet.announce()

        return DeploymentFault(
            f"replace {label}", self._draw_seconds(), begin, end
        )

    def draw_host_stall(self) -> DeploymentFault:
        """Draw a host whose event loop stalls."""
        label, choose = self._draw_host()
        count = self._random.choice(STALLS)

        def begin() -> None:
            choose().program.signal(signal.SIGRTMIN + count)

        seconds = count * STALL_UNIT
        return DeploymentFault(f"stall {label}", seconds, begin)

    def draw_slow_host(self) -> DeploymentFault:
        """Draw a host that is slowed down."""
        label, choose = self._draw_host()
        paused = self._random.choice(PAUSES)
        seconds = self._random.choice(STORE_SECONDS)

        def begin() -> None:
            self._fleet.spawn(slow_down, choose().program, paused, seconds)

        return DeploymentFault(
            f"slow {label}, {paused:g} s pauses", seconds, begin
        )


def slow_down(program: Program, paused: float, seconds: float) -> None:
    """Let a process run for a tenth of the time.

    Unlike the end of a freeze, its pauses excuse no late order.
    """
    end = time.monotonic() + seconds
    while program.running and time.monotonic() < end:
        os.kill(program.process_id, signal.SIGSTOP)
        gevent.sleep(paused)
        os.kill(program.process_id, signal.SIGCONT)
        gevent.sleep(paused / _RUN_SHARE)


def _wait_for_write(fleet: DeploymentFleet) -> None:
    """Wait until a host writes to the store, for some seconds at most."""
    answer = call(
        fleet.store_port, "GET", f"{_names.RANGE_PATH}?path-prefix=sedgetide/"
    )
    if answer is None or answer.status != 200:
        return
    after = msgspec.json.decode(answer.body)["as-of"]
    call(
        fleet.store_port,
        "GET",
        f"{_names.WATCH_PATH}?path-prefix=sedgetide/&after={after}"
        f"&wait-ms={_WRITE_TIMEOUT_MS}",
        timeout=_WRITE_TIMEOUT_MS / 1000.0 + 1.0,
    )
