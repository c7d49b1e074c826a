"""Faults of a soak that isolate single upstreams, and losses of the leader.

Upstreams are cut off from hosts or from the store. Cuts of several faults
may overlap at one host.
"""

from collections.abc import Collection
from collections.abc import Sequence
import random
import signal

import gevent

from sedgetide.testing.gateways import Cut
from sedgetide.testing.proxies import Mode
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import GRACE
from sedgetide.testing.soakfleet import SoakHost
from sedgetide.testing.soakfleet import SoakUpstream
from sedgetide.testing.soakpaths import Disruption
from sedgetide.testing.soakpaths import draw_hosts
from sedgetide.testing.soakpaths import LOST_PATHS

# Share of cuts of an upstream alone, and of cuts from all hosts.
_ALONE_SHARE = 0.7
_EVERYONE_SHARE = 0.7
# Seconds.
_CUT_TIMES = (1.0, 4.0, 8.0, 8.0)
_STORE_CUT_TIMES = (3.0, 6.0, 9.0)
_LEADER_LOSS_TIMES = (0.3, 1.0, 2.0, 4.0)
# Number of cuts in a series, and the share of the cut in each step.
_SERIES_LENGTH = 3
_CUT_SHARE = 0.7


def _draw_upstreams(
    source: random.Random, fleet: Fleet, target: SoakUpstream
) -> Sequence[SoakUpstream]:
    """Draw an upstream alone, or all those of its data centre."""
    if source.random() < _ALONE_SHARE:
        return [target]
    return [
        each
        for each in fleet.upstreams
        if each.data_centre == target.data_centre
    ]


def _draw_cut_hosts(source: random.Random, fleet: Fleet) -> tuple[int, ...]:
    """Draw all hosts, or some of them."""
    if source.random() < _EVERYONE_SHARE:
        return tuple(range(len(fleet.hosts)))
    return draw_hosts(source, fleet)


def _cut(
    hosts: Collection[SoakHost], cut: Cut, seconds: float, count: int
) -> None:
    """Cut the paths of some hosts, once or several times in a row."""
    step = seconds / count
    share = _CUT_SHARE if count > 1 else 1.0
    for _ in range(count):
        for host in hosts:
            host.gateway.add_cut(cut)
        gevent.sleep(step * share)
        for host in hosts:
            host.gateway.remove_cut(cut)
        gevent.sleep(step * (1.0 - share))


def draw_isolation(
    source: random.Random, fleet: Fleet, target: SoakUpstream
) -> Disruption:
    """Draw a cut, or a series of cuts, of an upstream from hosts."""
    numbers = _draw_cut_hosts(source, fleet)
    hosts = [fleet.hosts[number] for number in numbers]
    upstreams = _draw_upstreams(source, fleet, target)
    path = source.choice(LOST_PATHS)
    seconds = source.choice(_CUT_TIMES)
    count = source.choice((1, 1, 1, _SERIES_LENGTH))
    cut = Cut(path, frozenset(e.address for e in upstreams).__contains__)
    tasks: list[gevent.Greenlet] = []

    def begin() -> None:
        tasks.append(gevent.spawn(_cut, hosts, cut, seconds, count))

    def end() -> None:
        gevent.joinall(tasks)

    label = ",".join(map(str, numbers))
    names = ",".join(str(fleet.upstreams.index(each)) for each in upstreams)
    name = f"{path.value} paths of hosts {label} to upstreams {names}"
    return Disruption(name + f" {count} times", seconds, numbers, begin, end)


def draw_store_cut(
    source: random.Random, fleet: Fleet, target: SoakUpstream
) -> Disruption:
    """Draw a cut of an upstream from the store."""
    proxy = target.store
    mode = source.choice((Mode.REFUSE, Mode.CUT))
    seconds = source.choice(_STORE_CUT_TIMES)

    def begin() -> None:
        proxy.mode = mode
        proxy.reset_all()

    def end() -> None:
        proxy.mode = Mode.PASS

    number = fleet.upstreams.index(target)
    name = f"upstream {number} without store, {mode.value}"
    return Disruption(name, seconds, (), begin, end)


def draw_leader_loss(source: random.Random, fleet: Fleet) -> Disruption:
    """Draw a leader that is frozen, killed, or resigns and is restarted."""
    kind = source.choice(("freeze", "kill", "resign"))
    seconds = GRACE if kind == "resign" else source.choice(_LEADER_LOSS_TIMES)
    number = {
        "freeze": signal.SIGSTOP,
        "kill": signal.SIGKILL,
        "resign": signal.SIGTERM,
    }[kind]
    fallback = source.choice(fleet.hosts)
    lost: list[SoakHost] = []

    def begin() -> None:
        lost.append(fleet.find_leader() or fallback)
        lost[0].program.signal(number)

    def end() -> None:
        program = lost[0].program
        if kind == "freeze":
            program.signal(signal.SIGCONT)
            return
        if kind == "resign":
            program.wait()
            program.close()
        program.start()

    everyone = tuple(range(len(fleet.hosts)))
    return Disruption(f"{kind} the leader", seconds, everyone, begin, end)
