"""Faults of a soak: drawn by a seed, done to its processes."""

from collections.abc import Callable
import enum
import random
import signal

import gevent
from gevent.lock import BoundedSemaphore
import msgspec

from sedgetide.testing.proxies import Mode
from sedgetide.testing.proxies import Proxy
from sedgetide.testing.soakevacuations import draw_data_centre
from sedgetide.testing.soakevacuations import Operator
from sedgetide.testing.soakfleet import call
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import GRACE
from sedgetide.testing.soakfleet import Program

FAULT_TIME = 9.0
CALM_TIME = 12.0
_RESETS = 40
# Seconds between the wish and its end; the soak may end before.
_EVACUATED_FOR = (0.4, 3.0, 9.0, 60.0)
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
# Seconds between a return of the store and the next one.
_BETWEEN_RETURNS = 0.7


class Fault(msgspec.Struct, frozen=True):
    """Something that begins at a time and ends some seconds later.

    Parameters
    ----------
    at, seconds : float
        When it begins, from the first traffic on, and how long it lasts.
    name : str
        For people.
    begin, end : callable
        Do and undo it.
    hosts : tuple of int
        Hosts that are out of touch meanwhile.
    upstream : str
        Beginning of the names of the upstreams that they do not reach; all
        when empty.
    """

    at: float
    seconds: float
    name: str
    begin: Callable[[], None]
    end: Callable[[], None] = lambda: None
    hosts: tuple[int, ...] = ()
    upstream: str = ""


def _reset_often(proxy: Proxy) -> None:
    """Reset what is open again and again, so that some of it is at work."""
    for _ in range(_RESETS):
        proxy.reset_all()
        gevent.sleep(_RESET_PAUSE)


class Play(enum.IntEnum):
    """What a soak is about, by the first of its seeds.

    Later ones came to the faults of earlier ones; seeds go on drawing what
    they once found a fault with.
    """

    EARLY = 0
    FORGETTING = 1000
    RESTARTS = 2000
    CROWDED = 3000
    DEADLY = 4000
    EVACUATED = 5000
    # Copies of one deadly request come from several callers at once.
    COPIES = 6000
    # Upstreams ask something of those who send to them.
    ASKING = 7000
    # The store comes back from older copies, and upstreams leave.
    RETURNING = 8000


def find_play(seed: int) -> Play:
    """Return what the soak of a seed is about."""
    return max(each for each in Play if each <= seed)


class FaultDrawer:
    """Draws the faults of one soak.

    Parameters
    ----------
    play : Play
        Which of them may strike.
    source : random.Random
        Decides.
    fleet : Fleet
        What they strike.
    evacuator : Operator
        Evacuates data centres.
    """

    def __init__(
        self,
        play: Play,
        source: random.Random,
        fleet: Fleet,
        evacuator: Operator,
    ) -> None:
        self._play = play
        self._random = source
        self._fleet = fleet
        self._evacuator = evacuator
        self._operator = BoundedSemaphore()
        self.extra: list[str] = []

    def draw(self) -> list[Fault]:
        """Return faults, by time."""
        makers = [
            self._draw_host_signal,
            self._draw_upstream_loss,
            self._draw_store_fault,
            self._draw_link_fault,
            self._draw_link_fault,
            self._draw_configuration,
            self._draw_planned_stop,
        ]
        if self._play is Play.COPIES:
            makers.remove(self._draw_upstream_loss)
            makers += [self._draw_host_signal, self._draw_loss_of_all]
        elif self._play is Play.EVACUATED:
            makers += [self._draw_evacuation] * 3
            makers += [self._draw_cold_return, self._draw_loss_of_all]
        elif self._play is Play.ASKING:
            makers += [self._draw_restart, self._draw_loss_of_all]
        elif self._play is Play.RETURNING:
            makers += [self._draw_return] * 4
            makers += [self._draw_leaving] * 3
            makers += [self._draw_loss_of_all, self._draw_evacuation]
        elif self._play is Play.DEADLY:
            # Upstreams crash as it is, and are started again for it.
            makers.remove(self._draw_upstream_loss)
        elif self._play >= Play.RESTARTS:
            makers += [self._draw_restart, self._draw_restart]
            makers.append(self._draw_foreign_entry)
        faults = [
            self._random.choice(makers)(self._random.uniform(0.5, FAULT_TIME))
            for _ in range(self._random.randrange(3, 8))
        ]
        return sorted(faults, key=lambda fault: fault.at)

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

    def _draw_restart(self, at: float) -> Fault:
        """Crash an upstream that is back under its name, often at once."""
        upstream = self._random.choice(self._fleet.upstreams)
        seconds = self._random.choice((0.1, 0.3, 1.0, 3.0))
        return Fault(
            at,
            seconds,
            "restart an upstream under its name",
            lambda: upstream.program.close(),
            upstream.start_again,
        )

    def _draw_return(self, at: float) -> Fault:
        """Have the store come back from a copy, now and then twice."""
        ages = [self._random.choice((0.5, 1.5, 3.0, 6.0)) for _ in range(2)]
        away = self._random.choice((0.0, 0.3, 1.5, 4.0))
        twice = self._random.random() < 0.3

        def begin() -> None:
            self._fleet.restore_store(ages[0], away)

        def end() -> None:
            if twice:
                self._fleet.restore_store(ages[1], 0.0)

        name = f"store back from {ages[0]:g} s" + twice * " and again"
        return Fault(at, away + _BETWEEN_RETURNS, name, begin, end)

    def _draw_leaving(self, at: float) -> Fault:
        """Have an upstream leave, end some seconds later, and be replaced."""
        upstream = self._random.choice(self._fleet.upstreams)
        how = self._random.choice((signal.SIGUSR1, signal.SIGUSR2))
        seconds = self._random.choice((3.0, 5.0, 8.0))

        def end() -> None:
            if upstream.program is leaver[0]:
                upstream.program.close()
                upstream.start()

        leaver: list[Program] = []

        def begin() -> None:
            leaver.append(upstream.program)
            upstream.program.signal(how)
            gevent.spawn_later(seconds, end)

        return Fault(at, 0.0, f"{upstream.name} leaves", begin)

    def _draw_evacuation(self, at: float) -> Fault:
        name = draw_data_centre(self._random)
        seconds = self._random.choice(_EVACUATED_FOR)

        def begin() -> None:
            with self._operator:
                self._evacuator.ask(name)
            if seconds <= CALM_TIME:
                gevent.spawn_later(seconds, end)

        def end() -> None:
            with self._operator:
                self._evacuator.take_back(name)

        return Fault(at, 0.0, f"evacuate {name} for {seconds:g}", begin)

    def _draw_cold_return(self, at: float) -> Fault:
        """End a data centre's upstreams, which come back together, cold."""
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

        return Fault(at, seconds, f"cold return of {name}", begin, end)

    def _draw_loss_of_all(self, at: float) -> Fault:
        def begin() -> None:
            for host in self._fleet.hosts:
                host.program.signal(signal.SIGKILL)

        def end() -> None:
            for host in self._fleet.hosts:
                host.program.wait()
                host.program.start()

        hosts = tuple(range(len(self._fleet.hosts)))
        return Fault(at, 0.5, "kill all hosts", begin, end, hosts)

    def _draw_foreign_entry(self, at: float) -> Fault:
        """Let another writer overwrite an entry, or add one."""
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
        if self._play < Play.FORGETTING:
            # Regressions go on drawing the faults that they were found with.
            return kinds
        return (*kinds, Mode.FORGET.value, Mode.FORGET.value)

    def _break_link(self, at: float, name: str, proxy: Proxy) -> Fault:
        kind = self._random.choice(self._list_link_faults())
        label = f"{kind} {name}"
        hosts: tuple[int, ...] = ()
        upstream = ""
        if name.startswith("upstream"):
            # What was held up on this way arrives together when it ends.
            hosts = tuple(range(len(self._fleet.hosts)))
            upstream = f"i-{name.split()[1]}-"
        if kind == "reset":
            return Fault(
                at, 0.0, label, lambda: gevent.spawn(_reset_often, proxy)
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
            # One operator: a version whose answer was lost is written again
            # before the next one. Written after it, it would replace it, and
            # hosts that start could not know of the newer one.
            with self._operator:
                self.extra.append(f"extra{len(self.extra)}")
                version = 1 + len(self.extra)
                self._fleet.configure(version, tuple(self.extra))

        return Fault(at, 0.0, "configuration", begin)
