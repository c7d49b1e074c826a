"""Faults of a fleet in a deployment's shape, drawn from a seed."""

from collections.abc import Sequence
import random
import signal

from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import ScheduledFault
from sedgetide.testing.deploymentfleet import DeploymentFleet
from sedgetide.testing.deploymenthostfaults import HostFaults
from sedgetide.testing.deploymentload import LoadFaults
from sedgetide.testing.deploymentmoves import UpstreamChanges
from sedgetide.testing.deploymentpaths import PathFaults
from sedgetide.testing.deploymentstorefaults import StoreFaults
from sedgetide.testing.deploymentupstreamfaults import UpstreamFaults

# Share of faults that are followed, or preceded, by one that moves keys.
_FOLLOWED_SHARE = 0.5
_FOLLOWED_WITHIN = (-1.5, 1.5)


class DeploymentFaultSampler(
    HostFaults,
    PathFaults,
    StoreFaults,
    UpstreamFaults,
    UpstreamChanges,
    LoadFaults,
):
    """Draws the faults of one run.

    Parameters
    ----------
    source : random.Random
        Random number generator.
    fleet : DeploymentFleet
        Processes that the faults act on.
    kinds : sequence of str
        Kinds to draw from, as the methods' names without ``draw_``; one may
        be given several times. All kinds when empty.
    """

    def __init__(
        self,
        source: random.Random,
        fleet: DeploymentFleet,
        kinds: Sequence[str] = (),
    ) -> None:
        super().__init__(source, fleet)
        self._chosen = tuple(getattr(self, f"draw_{each}") for each in kinds)
        self._moves = (
            self.draw_crash,
            self.draw_silent_crash,
            self.draw_leaving,
            self.draw_replacements,
            self.draw_reused_address,
            self.draw_reused_address,
            self.draw_late_entry,
            self.draw_addition,
        )
        self._host_faults = (
            self.draw_freeze,
            self.draw_freeze,
            self.draw_kill,
            self.draw_kill,
            self.draw_kill_after_write,
            self.draw_power_loss,
            self.draw_stops,
            self.draw_mass_kill,
            self.draw_host_replacement,
            self.draw_host_stall,
            self.draw_host_stall,
            self.draw_slow_host,
            self.draw_slow_host,
        )
        self._path_faults = (
            self.draw_path_cut,
            self.draw_path_cut,
            self.draw_path_cut,
            self.draw_store_cut,
            self.draw_store_cut,
            self.draw_isolated_upstream,
            self.draw_isolated_upstream,
            self.draw_isolated_centre,
        )
        self._store_faults = (
            self.draw_store_outage,
            self.draw_store_fault,
            self.draw_refused_hosts,
            self.draw_refused_hosts,
        )
        self._upstream_faults = (
            self.draw_upstream_stall,
            self.draw_slow_upstream,
            self.draw_upstream_freeze,
            self.draw_late_orders,
            self.draw_extra_answers,
            self.draw_extra_answers,
            self.draw_unregistered,
        )
        self._load_faults = (self.draw_routes, self.draw_burst)

    def draw(
        self, count: int, first: float, last: float
    ) -> list[ScheduledFault]:
        """Return the faults of a run, ordered by time.

        Half of them are followed by one that makes keys move, as faults of
        hosts and of the store harm nobody while all keys stay.
        """
        kinds = (
            (self._chosen,)
            if self._chosen
            else (
                self._host_faults,
                self._path_faults,
                self._store_faults,
                self._store_faults,
                self._upstream_faults,
                self._load_faults,
                self._moves,
            )
        )
        drawn: list[ScheduledFault] = []
        for at in self._draw_times(count, first, last):
            factory = self._random.choice(self._random.choice(kinds))
            drawn.append(ScheduledFault(at, factory()))
            is_followed = self._random.random() < _FOLLOWED_SHARE
            if is_followed and not self._chosen:
                later = at + self._random.uniform(*_FOLLOWED_WITHIN)
                factory = self._random.choice(self._moves)
                drawn.append(ScheduledFault(max(first, later), factory()))
        return sorted(drawn, key=lambda each: each.at)

    def _draw_times(
        self, count: int, first: float, last: float
    ) -> list[float]:
        """Draw times that are spread over the run."""
        expected = 1.0 + _FOLLOWED_SHARE
        times = max(1, round(count / expected))
        step = (last - first) / times
        return [
            first + step * (number + self._random.random())
            for number in range(times)
        ]

    def draw_final(self) -> DeploymentFault:
        """Draw the final fault: all hosts killed, or all lose power."""
        with_upstreams = self._random.random() < 0.5
        fleet = self._fleet

        def begin() -> None:
            lost = [each.program for each in fleet.hosts]
            if with_upstreams:
                lost += [each.program for each in fleet.upstreams]
            for program in lost:
                program.signal(signal.SIGKILL)
            for program in lost:
                program.wait()

        def end() -> None:
            for host in fleet.hosts:
                host.program.start()
            for upstream in fleet.upstreams if with_upstreams else ():
                upstream.start()

        name = "all lose power" if with_upstreams else "kill all hosts"
        return DeploymentFault(name, 1.0, begin, end)
