"""Faults of a soak, drawn from a seed and injected into its processes."""

from collections.abc import Callable
import enum
import random
import signal
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore
import msgspec

from sedgetide.testing.endlessupstream import draw_endless_answers
from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.soakevacuations import draw_data_centre
from sedgetide.testing.soakevacuations import Operator
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import GRACE
from sedgetide.testing.soakfleet import Program
from sedgetide.testing.soakfleet import SoakUpstream
from sedgetide.testing.soakisolation import draw_isolation
from sedgetide.testing.soakisolation import draw_leader_loss
from sedgetide.testing.soakisolation import draw_store_cut
from sedgetide.testing.soakpaths import Disruption
from sedgetide.testing.soakpaths import draw_path_cut

FAULT_WINDOW = 9.0
RECOVERY_TIME = 12.0
_RESETS = 40
# Seconds between the start and the end of an evacuation; the soak may end
# earlier.
_EVACUATION_TIMES = (0.4, 3.0, 9.0, 60.0)
_FOREIGN_ENTRIES = (
    "no entry at all",
    {"address": 7, "info": [], "status": None},
    {
        "address": "127.0.0.1:1",
        "info": {"service": "maps", "version": "v1", "zone": "z", "slots": -1},
        "status": {"state": "resting", "sequence": 0, "warmup-left-ms": 0},
    },
)
_RESET_PAUSE = 0.05
# Seconds between two restores of the store.
_RESTORE_INTERVAL = 0.7


class Fault(msgspec.Struct, frozen=True):
    """Scheduled fault of limited duration.

    Parameters
    ----------
    at, seconds : float
        Start time, counted from the first traffic, and duration.
    name : str
        Description for the output.
    begin, end : callable
        Inject the fault and undo it.
    hosts : tuple of int
        Hosts that may have no current information while it lasts.
    upstream : str
        Prefix of the names of the upstreams that these hosts cannot reach;
        all upstreams when empty.
    """

    at: float
    seconds: float
    name: str
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None
    hosts: tuple[int, ...] = ()
    upstream: str = ""


def _reset_repeatedly(proxy: Proxy) -> None:
    """Reset open connections repeatedly, to hit requests in flight."""
    for _ in range(_RESETS):
        proxy.reset_all()
        gevent.sleep(_RESET_PAUSE)


class FaultSet(enum.IntEnum):
    """Set of faults that a soak draws from, by the lowest of its seeds.

    Sets were added over time. A seed keeps its set, so that a seed that once
    found a defect still draws the same faults.
    """

    EARLY = 0
    FORGETTING = 1000
    RESTARTS = 2000
    CROWDED = 3000
    DEADLY = 4000
    EVACUATED = 5000
    # Several callers send copies of one deadly request at the same time.
    COPIES = 6000
    # Upstreams send limits, leaving notices and backoffs in their answers.
    PUSHBACK = 7000
    # The store is restored from older copies, and upstreams leave.
    RESTORES = 8000
    # Hosts lose their paths to upstreams, and some of them have no peers.
    PATHS = 10_000
    # The store is restored from older copies while upstreams are cut off
    # from hosts and from the store, restart and leave, and leaders are lost.
    ISOLATED = 11_000
    # Upstreams answer without end.
    ENDLESS = 12_000


def find_fault_set(seed: int) -> FaultSet:
    """Return the set of faults of a seed."""
    return max(each for each in FaultSet if each <= seed)


class FaultSampler:
    """Draws the faults of one soak.

    Parameters
    ----------
    fault_set : FaultSet
        Set of faults to draw from.
    source : random.Random
        Random number generator.
    fleet : Fleet
        Processes and proxies that the faults act on.
    operator : Operator
        Starts and cancels evacuations of data centres.
    """

    def __init__(
        self,
        fault_set: FaultSet,
        source: random.Random,
        fleet: Fleet,
        operator: Operator,
    ) -> None:
        self._fault_set = fault_set
        self._random = source
        self._fleet = fleet
        self._operator = operator
        self._operator_lock = BoundedSemaphore()
        self.extra_routes: list[str] = []

    def draw(self) -> list[Fault]:
        """Return the faults, ordered by start time."""
        if self._fault_set is FaultSet.ISOLATED:
            return sorted(self._draw_isolated(), key=lambda fault: fault.at)
        factories = [
            self._draw_host_signal,
            self._draw_upstream_loss,
            self._draw_store_fault,
            self._draw_link_fault,
            self._draw_link_fault,
            self._draw_configuration,
            self._draw_planned_stop,
        ]
        if self._fault_set is FaultSet.COPIES:
            factories.remove(self._draw_upstream_loss)
            factories += [self._draw_host_signal, self._draw_loss_of_all_hosts]
        elif self._fault_set is FaultSet.EVACUATED:
            factories += [self._draw_evacuation] * 3
            factories += [
                self._draw_data_centre_restart,
                self._draw_loss_of_all_hosts,
            ]
        elif self._fault_set is FaultSet.PUSHBACK:
            factories += [self._draw_restart, self._draw_loss_of_all_hosts]
        elif self._fault_set is FaultSet.RESTORES:
            factories += [self._draw_restore] * 4
            factories += [self._draw_leaving] * 3
            factories += [self._draw_loss_of_all_hosts, self._draw_evacuation]
        elif self._fault_set is FaultSet.ENDLESS:
            factories += [self._draw_endless] * 6
            factories += [self._draw_restart, self._draw_loss_of_all_hosts]
        elif self._fault_set is FaultSet.PATHS:
            factories += [self._draw_path_cut] * 6
            factories += [self._draw_restart, self._draw_loss_of_all_hosts]
        elif self._fault_set is FaultSet.DEADLY:
            # Deadly requests crash upstreams already, and the fleet restarts
            # them.
            factories.remove(self._draw_upstream_loss)
        elif self._fault_set >= FaultSet.RESTARTS:
            factories += [self._draw_restart, self._draw_restart]
            factories.append(self._draw_foreign_entry)
        faults = [
            self._random.choice(factories)(
                self._random.uniform(0.5, FAULT_WINDOW)
            )
            for _ in range(self._random.randrange(3, 8))
        ]
        return sorted(faults, key=lambda fault: fault.at)

    def _draw_isolated(self) -> list[Fault]:
        """Draw restores, each with several faults around it."""
        return [
            fault
            for _ in range(self._random.choice((1, 1, 1, 2)))
            for fault in self._draw_isolated_restore()
        ]

    def _draw_isolated_restore(self) -> list[Fault]:
        """Draw a restore and faults that mostly concern one upstream.

        Two upstreams hold the same keys only when several faults of one of
        them meet within the seconds of a restore. Independently drawn faults
        seldom do. Most begin once the leader has sent the long grants of an
        outage.
        """
        source, fleet = self._random, self._fleet
        target = source.choice(fleet.list_keyed())
        age = source.choice((0.5, 1.5, 3.0, 6.0))
        outage = source.choice((0.3, 1.5, 2.0, 3.0))
        began = source.uniform(5.0, FAULT_WINDOW)
        later = outage + 1.0
        # Probability, times from the loss of the store on, and the fault.
        parts: list[tuple[float, float, float, Callable[[float], Fault]]] = [
            (0.4, -4.5, -2.5, lambda at: self._draw_replacement(at, target)),
            (0.6, 0.9, later, lambda at: self._draw_isolation(at, target)),
            (0.5, -0.5, outage, lambda at: self._draw_store_cut(at, target)),
            (0.4, 0.9, later, self._draw_loss_of_all_hosts),
            (0.4, -0.5, later, self._draw_leader_loss),
            (0.5, 0.9, later, lambda at: self._draw_leaving(at, target)),
            (0.2, -0.5, later, lambda at: self._draw_restart(at, target)),
            (0.2, -0.5, later, self._draw_upstream_loss),
            (0.2, 1.0, outage + 4.0, self._draw_restore),
        ]
        return [
            Fault(
                began,
                outage + _RESTORE_INTERVAL,
                f"restore store of {age:g} s ago after {outage:g} s",
                lambda: fleet.restore_store(age, outage),
            ),
            *[
                draw(began + source.uniform(low, high))
                for probability, low, high, draw in parts
                if source.random() < probability
            ],
        ]

    def _draw_isolation(self, at: float, target: SoakUpstream) -> Fault:
        return self._place(at, draw_isolation, target)

    def _draw_store_cut(self, at: float, target: SoakUpstream) -> Fault:
        return self._place(at, draw_store_cut, target)

    def _draw_leader_loss(self, at: float) -> Fault:
        return self._place(at, draw_leader_loss)

    def _place(
        self, at: float, draw: Callable[..., Disruption], *arguments: Any
    ) -> Fault:
        """Draw a fault that begins at a time."""
        drawn = draw(self._random, self._fleet, *arguments)
        return Fault(
            at, drawn.seconds, drawn.name, drawn.begin, drawn.end, drawn.hosts
        )

    def _draw_replacement(self, at: float, upstream: SoakUpstream) -> Fault:
        """Replace an upstream by one of another name."""

        def begin() -> None:
            upstream.program.close()
            upstream.start()

        return Fault(at, 0.0, "replace an upstream", begin)

    def _draw_seconds(self) -> float:
        return self._random.choice((0.3, 1.0, 2.0, 4.0))

    def _draw_host_signal(self, at: float) -> Fault:
        host = self._random.choice(self._fleet.hosts)
        hosts = (self._fleet.hosts.index(host),)
        seconds = self._draw_seconds()
        if self._random.random() < 0.5:
            return Fault(
                at,
                seconds,
                f"freeze {host.name}",
                lambda: host.program.signal(signal.SIGSTOP),
                lambda: host.program.signal(signal.SIGCONT),
                hosts,
            )

        def kill() -> None:
            host.program.close()

        return Fault(
            at,
            seconds,
            f"kill {host.name}",
            kill,
            host.program.start,
            hosts,
        )

    def _draw_planned_stop(self, at: float) -> Fault:
        host = self._random.choice(self._fleet.hosts)

        def begin() -> None:
            host.program.signal(signal.SIGTERM)

        def end() -> None:
            host.program.wait()
            host.program.close()
            host.program.start()

        hosts = (self._fleet.hosts.index(host),)
        return Fault(at, GRACE, f"stop {host.name}", begin, end, hosts)

    def _draw_upstream_loss(self, at: float) -> Fault:
        upstream = self._random.choice(self._fleet.upstreams)
        seconds = self._draw_seconds()
        if self._random.random() < 0.4:
            return Fault(
                at,
                seconds,
                "freeze an upstream",
                lambda: upstream.program.signal(signal.SIGSTOP),
                lambda: upstream.program.signal(signal.SIGCONT),
            )
        return Fault(
            at,
            seconds + 2.0,
            "kill an upstream",
            lambda: upstream.program.close(),
            upstream.start,
        )

    def _draw_restart(
        self, at: float, upstream: SoakUpstream | None = None
    ) -> Fault:
        """Kill an upstream and restart it under the same name."""
        if upstream is None:
            upstream = self._random.choice(self._fleet.upstreams)
        seconds = self._random.choice((0.1, 0.3, 1.0, 3.0))
        return Fault(
            at,
            seconds,
            "restart an upstream under its name",
            lambda: upstream.program.close(),
            upstream.restart,
        )

    def _draw_restore(self, at: float) -> Fault:
        """Restore the store from a copy, in 30 % of the draws twice."""
        ages = [self._random.choice((0.5, 1.5, 3.0, 6.0)) for _ in range(2)]
        outage = self._random.choice((0.0, 0.3, 1.5, 4.0))
        twice = self._random.random() < 0.3

        def begin() -> None:
            self._fleet.restore_store(ages[0], outage)

        def end() -> None:
            if twice:
                self._fleet.restore_store(ages[1], 0.0)

        name = f"restore store of {ages[0]:g} s ago" + twice * " twice"
        return Fault(at, outage + _RESTORE_INTERVAL, name, begin, end)

    def _draw_leaving(
        self, at: float, upstream: SoakUpstream | None = None
    ) -> Fault:
        """Have an upstream leave, exit some seconds later and be replaced."""
        if upstream is None:
            upstream = self._random.choice(self._fleet.upstreams)
        how = self._random.choice((signal.SIGUSR1, signal.SIGUSR2))
        seconds = self._random.choice((3.0, 5.0, 8.0))

        def end() -> None:
            if upstream.program is leaving[0]:
                upstream.program.close()
                upstream.start()

        leaving: list[Program] = []

        def begin() -> None:
            leaving.append(upstream.program)
            upstream.program.signal(how)
            gevent.spawn_later(seconds, end)

        return Fault(at, 0.0, f"{upstream.name} leaves", begin)

    def _draw_path_cut(self, at: float) -> Fault:
        return self._place(at, draw_path_cut)

    def _draw_endless(self, at: float) -> Fault:
        return self._place(at, draw_endless_answers)

    def _draw_evacuation(self, at: float) -> Fault:
        name = draw_data_centre(self._random)
        seconds = self._random.choice(_EVACUATION_TIMES)

        def begin() -> None:
            with self._operator_lock:
                self._operator.start_evacuation(name)
            if seconds <= RECOVERY_TIME:
                gevent.spawn_later(seconds, end)

        def end() -> None:
            with self._operator_lock:
                self._operator.cancel_evacuation(name)

        return Fault(at, 0.0, f"evacuate {name} for {seconds:g}", begin)

    def _draw_data_centre_restart(self, at: float) -> Fault:
        """Kill a data centre's upstreams and restart all of them cold."""
        name = draw_data_centre(self._random)
        seconds = self._random.choice((0.3, 2.0, 4.0))
        lost = [
            each for each in self._fleet.upstreams if each.data_centre == name
        ]

        def begin() -> None:
            for each in lost:
                each.program.close()

        def end() -> None:
            for each in lost:
                if not each.program.running:
                    each.start()

        return Fault(at, seconds, f"cold restart of {name}", begin, end)

    def _draw_loss_of_all_hosts(self, at: float) -> Fault:
        def begin() -> None:
            for host in self._fleet.hosts:
                host.program.signal(signal.SIGKILL)
            # Not at the end, as an overlapping fault may have started the
            # hosts again by then.
            for host in self._fleet.hosts:
                host.program.wait()

        def end() -> None:
            for host in self._fleet.hosts:
                host.program.start()

        hosts = tuple(range(len(self._fleet.hosts)))
        return Fault(at, 0.5, "kill all hosts", begin, end, hosts)

    def _draw_foreign_entry(self, at: float) -> Fault:
        """Have a foreign writer overwrite a registry entry or add one."""
        upstream = self._random.choice(self._fleet.upstreams)
        added = self._random.random() < 0.5
        value = self._random.choice(_FOREIGN_ENTRIES)

        def begin() -> None:
            name = "i-foreign" if added else upstream.name
            self._fleet.put_entry(name, value)

        return Fault(at, 0.0, "foreign entry", begin)

    def _draw_store_fault(self, at: float) -> Fault:
        kind = self._random.choice(
            ("down", "lost", "late", "forget", "revoke")
        )
        seconds = self._draw_seconds()
        document = {"kind": kind, "seconds": seconds}
        if kind == "revoke":
            document["forget"] = self._random.random() < 0.5

        def begin() -> None:
            call(self._fleet.store_port, "POST", "/fault", document)

        return Fault(at, seconds, f"store {kind}", begin)

    def _draw_link_fault(self, at: float) -> Fault:
        proxies = {
            f"store of {host.name}": host.store for host in self._fleet.hosts
        }
        for number, upstream in enumerate(self._fleet.upstreams):
            proxies[f"upstream {number}"] = upstream.proxy
        for host in self._fleet.hosts:
            proxies[f"front of {host.name}"] = host.front
        name = self._random.choice(sorted(proxies))
        return self._break_link(at, name, proxies[name])

    def _list_link_faults(self) -> tuple[str, ...]:
        kinds = ("reset", "silence", "delay", "cut", "one-way", "refuse")
        if self._fault_set < FaultSet.FORGETTING:
            # Older seeds must draw the same faults as when they were added.
            return kinds
        return (*kinds, Mode.FORGET.value, Mode.FORGET.value)

    def _break_link(self, at: float, name: str, proxy: Proxy) -> Fault:
        kind = self._random.choice(self._list_link_faults())
        label = f"{kind} {name}"
        hosts: tuple[int, ...] = ()
        upstream = ""
        if name.startswith("upstream"):
            # Data that was held up arrives all at once when the fault ends.
            hosts = tuple(range(len(self._fleet.hosts)))
            upstream = f"i-{name.split()[1]}-"
        if kind == "reset":
            return Fault(
                at, 0.0, label, lambda: gevent.spawn(_reset_repeatedly, proxy)
            )
        if kind == "silence":
            return Fault(at, 0.0, label, proxy.silence_all)

        def set_mode(mode: Mode) -> None:
            proxy.mode = mode
            if mode is Mode.REFUSE:
                proxy.reset_all()

        return Fault(
            at,
            self._draw_seconds(),
            label,
            lambda: set_mode(Mode(kind)),
            lambda: set_mode(Mode.PASS),
            hosts,
            upstream,
        )

    def _draw_configuration(self, at: float) -> Fault:
        def begin() -> None:
            # Writes are serialized: a version whose answer was lost is
            # written again before the next version. Otherwise the repeat
            # would overwrite the newer version, and hosts that start later
            # would not see it.
            with self._operator_lock:
                self.extra_routes.append(f"extra{len(self.extra_routes)}")
                version = 1 + len(self.extra_routes)
                self._fleet.configure(version, tuple(self.extra_routes))

        return Fault(at, 0.0, "configuration", begin)
