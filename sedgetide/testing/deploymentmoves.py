"""Upstreams of a deployment's fleet that come and go, so that keys move."""

import signal

import gevent

from sedgetide.testing.deploymentchoices import CUT_DELAY
from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices
from sedgetide.testing.deploymentpaths import set_store_mode
from sedgetide.testing.fleetroutes import PLAIN
from sedgetide.testing.gateways import Path
from sedgetide.testing.ports import find_port
from sedgetide.testing.proxies import Mode

# Heartbeats after which an entry has certainly lapsed.
_LAPSED_BEATS = 4


class UpstreamChanges(FaultChoices):
    """Draws upstreams that crash, leave, are replaced or are added."""

    def draw_crash(self) -> DeploymentFault:
        """Draw upstreams that crash and are started again."""
        some = self._random.sample(
            self._fleet.list_keyed(), self._random.choice((1, 1, 3))
        )

        def begin() -> None:
            for each in some:
                each.program.signal(signal.SIGKILL)
            for each in some:
                each.program.wait()

        def end() -> None:
            for each in some:
                each.start()

        names = ",".join(each.prefix for each in some)
        return DeploymentFault(
            f"crash {names}", self._draw_seconds(), begin, end
        )

    def draw_silent_crash(self) -> DeploymentFault:
        """Draw an upstream whose address is silent after its crash."""
        upstream = self._draw_keyed()
        pause = self._random.choice((0.5, 2.0, 6.0))
        is_reused = self._random.random() < 0.6
        fleet = self._fleet

        def crash() -> None:
            port = upstream.port
            number = fleet.cut(fleet.hosts, Path.DROPPING, [upstream.address])
            gevent.sleep(CUT_DELAY)
            upstream.program.close()
            gevent.sleep(pause)
            if is_reused:
                fleet.add_upstream(PLAIN, upstream.centre, port)
            fleet.heal(fleet.hosts, number)
            upstream.start()

        name = f"{upstream.prefix} crashes silently for {pause:g}"
        return DeploymentFault(
            name + is_reused * ", address reused",
            pause,
            lambda: self._fleet.spawn(crash),
        )

    def draw_leaving(self) -> DeploymentFault:
        """Draw an upstream that leaves, and is replaced once it has ended."""
        upstream = self._draw_keyed()
        how = self._random.choice((signal.SIGUSR1, signal.SIGUSR2))
        lasts = self._random.choice((3.0, 5.0, 15.0))

        def leave() -> None:
            program = upstream.program
            program.signal(how)
            gevent.sleep(lasts)
            if program is upstream.program:
                program.close()
                upstream.start()

        return DeploymentFault(
            f"{upstream.prefix} leaves for {lasts:g}",
            0.0,
            lambda: self._fleet.spawn(leave),
        )

    def draw_replacements(self) -> DeploymentFault:
        """Draw upstreams that are replaced one after the other."""
        some = self._random.sample(self._fleet.list_keyed(), 4)
        pause = self._random.choice((0.3, 1.0))

        def replace() -> None:
            for each in some:
                each.program.close()
                each.start()
                gevent.sleep(pause)

        names = ",".join(each.prefix for each in some)
        return DeploymentFault(
            f"replace {names}", 4 * pause, lambda: self._fleet.spawn(replace)
        )

    def draw_reused_address(self) -> DeploymentFault:
        """Draw an upstream whose address another service's one takes."""
        upstream = self._draw_keyed()
        pause = self._random.choice((0.0, 2.0))
        fleet = self._fleet

        def begin() -> None:
            upstream.program.close()

        def end() -> None:
            if not upstream.program.running:
                fleet.add_upstream(PLAIN, upstream.centre, upstream.port)
                upstream.start()

        return DeploymentFault(
            f"address of {upstream.prefix} reused after {pause:g}",
            pause,
            begin,
            end,
        )

    def draw_late_entry(self) -> DeploymentFault:
        """Draw an upstream at whose address an older entry appears again.

        It has the address of one of another service that has ended, and is
        cut off from the store when that one's entry arrives late.
        """
        plain = [e for e in self._fleet.upstreams if e.service == PLAIN]
        former = self._random.choice(plain)
        alone = self._random.choice((8.0, 12.0))
        fleet = self._fleet
        service = fleet.list_keyed()[0].service

        def reuse() -> None:
            name, address, port = former.name, former.address, former.port
            former.program.close()
            added = fleet.add_upstream(service, former.centre, port)
            former.start(find_port())
            gevent.sleep(alone)
            set_store_mode([added], Mode.CUT)
            # Its own entry lapses first.
            gevent.sleep(_LAPSED_BEATS * fleet.shape.heartbeat)
            fleet.put_entry(name, PLAIN, former.centre, address)
            gevent.sleep(_LAPSED_BEATS * fleet.shape.heartbeat)
            set_store_mode([added], Mode.PASS)

        return DeploymentFault(
            f"late entry at the address of {former.prefix} after {alone:g}",
            0.0,
            lambda: self._fleet.spawn(reuse),
        )

    def draw_addition(self) -> DeploymentFault:
        """Draw an upstream that is added, and removed later."""
        centre = self._random.randrange(self._fleet.shape.data_centres)
        seconds = self._random.choice((4.0, 8.0, 20.0))
        fleet = self._fleet

        def add() -> None:
            service = fleet.list_keyed()[0].service
            added = fleet.add_upstream(service, centre)
            gevent.sleep(seconds)
            added.program.signal(signal.SIGUSR1)
            gevent.sleep(3.0)
            added.program.close()

        return DeploymentFault(
            f"upstream added in dc-{centre} for {seconds:g}",
            0.0,
            lambda: self._fleet.spawn(add),
        )
