"""Selection of the hosts that lend places at upstreams.

A place is a permit to send a request to an upstream. A lender grants the
places at an upstream to all hosts; see core/requests/places.py.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
import math

import msgspec
import xxhash

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.capacity import HostCapacity
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.rendezvous import choose_candidate

# With fewer hosts per slot of an upstream, each host sends requests to it
# often enough to learn its share from the answers, so a round trip for a place
# would gain nothing.
_HOSTS_PER_SLOT = 4
_STOP_LENDING_FACTOR = 0.5
# An upstream with two slots receives about six requests per second with three
# messages each. This makes 300 messages per second and lender, which take less
# than a tenth of a core.
_UPSTREAMS_PER_LENDER = 16
# Seconds; hosts report every 0.4 s, so three reports were missed.
_REPORT_TIMEOUT = 1.3


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of a host, sent with each report to the leader.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of the host.
    processors : float
        Processor time available to the host, in cores; zero if it is about
        to stop.
    lenders : int
        Version of the lender list that the host knows.
    quarantine : int
        Version of the host's quarantine.
    link_mbps : float
        Bandwidth of the host's network link, in megabits per second.
    short_moves : bool
        Whether the host understands the short form of the notice that moves
        have ended; hosts of an older version do not.
    forward_port : int
        Port, at the IP of the link, at which the host takes requests of hosts
        without a path to the upstreams; zero if it takes none.
    peers : int
        Version of the peer list that the host knows.
    lost : tuple of DataCentre
        Data centres of which the host reaches no upstream.
    """

    data_centre: DataCentre = DataCentre("")
    processors: float = 0.0
    lenders: int = 0
    quarantine: int = 0
    link_mbps: float = 1000.0
    short_moves: bool = False
    forward_port: int = 0
    peers: int = 0
    lost: tuple[DataCentre, ...] = ()

    @property
    def capacity(self) -> HostCapacity:
        """Capacity of the host to lend places."""
        return HostCapacity(self.processors, self.link_mbps)


class LendingHost(msgspec.Struct, frozen=True, array_like=True):
    """A host that lends places at upstreams.

    Parameters
    ----------
    link : LinkAddress
        Address to which requests for places are sent.
    data_centre : DataCentre
        Data centre at whose upstreams the host lends places.
    """

    link: LinkAddress
    data_centre: DataCentre


class LenderList(msgspec.Struct, frozen=True, array_like=True):
    """Hosts that lend places, as selected by the leader.

    Parameters
    ----------
    hosts : tuple of LendingHost
        The lenders.
    rate_limited_only : bool
        Whether places are lent only at upstreams with a limited request
        rate, while hosts use their own windows for all others.
    """

    hosts: tuple[LendingHost, ...] = ()
    rate_limited_only: bool = False

    @property
    def version(self) -> int:
        """Hash of the list; zero if it is empty."""
        if not self.hosts:
            return 0
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(self)) or 1

    def find(self, upstream: RegisteredUpstream) -> LinkAddress | None:
        """Return the lender of the places at an upstream, or None.

        A lender in the upstream's own data centre is preferred: a network
        partition cuts off both together, so hosts that reach one of them
        also reach the other.
        """
        near = [
            each.link
            for each in self.hosts
            if each.data_centre == upstream.data_centre
        ]
        links = near or [each.link for each in self.hosts]
        found = choose_candidate(upstream.registered_name, links)
        return None if found is None else LinkAddress(found)


class _ReportedStatus(msgspec.Struct):
    status: HostStatus
    heard_at: float


class LenderSelector:
    """Selects lenders among the hosts that report to the leader.

    Parameters
    ----------
    lenders : LenderList
        Lenders selected by an earlier leader. They are kept until all
        running hosts have reported, as a change would needlessly discard
        the queues of waiting requests.
    began : float
        Local time at which reports started to arrive.
    own : LendingHost or None
        The leader itself, which lends if no other host does.
    """

    def __init__(
        self,
        lenders: LenderList,
        began: float,
        own: LendingHost | None = None,
    ) -> None:
        self._reported: dict[LinkAddress, _ReportedStatus] = {}
        self._began = began
        self._own = own
        self.lenders = lenders

    def note(self, link: LinkAddress, status: HostStatus, now: float) -> None:
        """Record the status of a host."""
        self._reported[link] = _ReportedStatus(status, now)

    def choose(
        self,
        upstreams: Collection[RegisteredUpstream],
        now: float,
        others: Collection[RegisteredUpstream] = (),
    ) -> LenderList:
        """Select lenders among the hosts that currently report.

        Current lenders are preferred: a new lender first has to learn which
        places are in use, and for the duration of a request both lenders
        lend the same places.

        Parameters
        ----------
        upstreams : collection of RegisteredUpstream
            Upstreams that own keys, for which each request can be sent to
            one upstream only.
        now : float
            Current monotonic time in seconds.
        others : collection of RegisteredUpstream
            All upstreams whose request rate may become limited because they
            are cold or state a limit. This is not known in advance, and
            there is no time for a selection once it happens.
        """
        if now - self._began < _REPORT_TIMEOUT:
            return self.lenders
        self._reported = {
            link: reported
            for link, reported in self._reported.items()
            if now - reported.heard_at <= _REPORT_TIMEOUT
        }
        capable = {
            link: reported.status
            for link, reported in self._reported.items()
            if reported.status.processors > 0
        }
        many_hosts = self._exceeds_host_limit(upstreams)
        counts = collections.Counter(
            each.data_centre for each in (upstreams if many_hosts else ())
        )
        for each in others:
            counts.setdefault(each.data_centre, 1)
        hosts: list[LendingHost] = []
        for data_centre, count in counts.items():
            wanted = math.ceil(count / _UPSTREAMS_PER_LENDER)
            links = self._rank(data_centre, capable)[:wanted]
            hosts += [LendingHost(link, data_centre) for link in links]
        if not hosts and others and self._own is not None:
            hosts.append(self._own)
        hosts.sort(key=_sort_key)
        rate_limited_only = bool(hosts) and not many_hosts
        self.lenders = LenderList(tuple(hosts), rate_limited_only)
        return self.lenders

    def _exceeds_host_limit(
        self, upstreams: Collection[RegisteredUpstream]
    ) -> bool:
        """Return whether there are too many hosts to work without lenders.

        Each host then sees too few answers to know what the others send.
        Once places are lent, half as many hosts suffice, so that one host
        that stops and restarts does not remove and restore all queues.
        """
        if not upstreams:
            return False
        slots = sum(each.slots for each in upstreams) / len(upstreams)
        bound = _HOSTS_PER_SLOT * slots
        if self.lenders.hosts and not self.lenders.rate_limited_only:
            bound *= _STOP_LENDING_FACTOR
        # The leader itself sends no report.
        return len(self._reported) + 1 > bound

    def _rank(
        self,
        data_centre: DataCentre,
        capable: Mapping[LinkAddress, HostStatus],
    ) -> list[LinkAddress]:
        present = {each.link for each in self.lenders.hosts}
        return sorted(
            (
                link
                for link, status in capable.items()
                if status.data_centre == data_centre
            ),
            key=lambda link: (
                link not in present,
                capable[link].capacity.find_shortfall(),
                -capable[link].processors,
                link,
            ),
        )


def _sort_key(host: LendingHost) -> tuple[str, str]:
    return host.data_centre, host.link
