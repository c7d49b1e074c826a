"""Selection of the hosts that send requests for a host without a path.

A host that cannot reach an upstream passes requests for it on to a *peer*,
another host that sends them in its place.
"""

import bisect

import msgspec
import xxhash

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.capacity import has_broad_link
from sedgetide.core.membership.lenders import HostStatus

# Peers of a host, and those of them in its own data centre. Most hosts of a
# data centre may lose their paths at once.
_MAX_PEERS = 6
_MAX_NEAR_PEERS = 3
# Seconds; hosts report every 0.4 s, so three reports were missed.
_REPORT_TIMEOUT = 1.3

# Hosts by the hashes of their addresses, for each data centre.
_Rings = dict[DataCentre, list[tuple[int, LinkAddress]]]


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A host that takes requests of other hosts.

    Parameters
    ----------
    address : str
        ``IP:port`` at which it takes them.
    data_centre : DataCentre
        Data centre of the host.
    """

    address: str
    data_centre: DataCentre


class PeerList(msgspec.Struct, frozen=True, array_like=True):
    """Peers of one host, as selected by the leader."""

    peers: tuple[Peer, ...] = ()

    @property
    def version(self) -> int:
        """Hash of the list; zero if it is empty."""
        if not self.peers:
            return 0
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(self)) or 1


class _ReportedStatus(msgspec.Struct):
    status: HostStatus
    heard_at: float


def _make_peer(link: LinkAddress, status: HostStatus) -> Peer:
    ip = link.rpartition(":")[0]
    return Peer(f"{ip}:{status.forward_port}", status.data_centre)


def _takes_requests(status: HostStatus) -> bool:
    return bool(status.forward_port) and status.processors > 0


class PeerSelector:
    """Selects the peers of each host among those that report to the leader.

    The hosts of a data centre that reach all upstreams form a ring, by the
    hashes of their addresses. A host's peers are those that follow it. So each
    host is the peer of as many others, and the loss of one changes few lists.
    Hosts that have lost a path are peers only if there are no others: if no
    host reaches one of the data centres, some still reach the rest.
    """

    def __init__(self) -> None:
        self._reported: dict[LinkAddress, _ReportedStatus] = {}
        self._whole: _Rings = {}
        self._partial: _Rings = {}

    def note(self, link: LinkAddress, status: HostStatus, now: float) -> None:
        """Record the status of a host."""
        known = self._reported.get(link)
        if known is not None:
            self._remove(link, known.status)
        self._reported[link] = _ReportedStatus(status, now)
        if _takes_requests(status):
            rings = self._partial if status.lost else self._whole
            ring = rings.setdefault(status.data_centre, [])
            bisect.insort(ring, (_hash_link(link), link))

    def expire(self, now: float) -> None:
        """Forget hosts that no longer report."""
        for link, known in list(self._reported.items()):
            if now - known.heard_at > _REPORT_TIMEOUT:
                self._remove(link, known.status)
                del self._reported[link]

    def _remove(self, link: LinkAddress, status: HostStatus) -> None:
        rings = self._partial if status.lost else self._whole
        ring = rings.get(status.data_centre, [])
        entry = (_hash_link(link), link)
        index = bisect.bisect_left(ring, entry)
        if index < len(ring) and ring[index] == entry:
            del ring[index]

    def find(self, link: LinkAddress) -> PeerList:
        """Return the peers of a host; empty if it has not reported."""
        known = self._reported.get(link)
        if known is None:
            return PeerList()
        own = known.status.data_centre
        found = self._rank(self._whole, own, link)
        found = found or self._rank(self._partial, own, link)
        return PeerList(
            tuple(
                _make_peer(each, self._reported[each].status) for each in found
            )
        )

    def _rank(
        self, rings: _Rings, own: DataCentre, link: LinkAddress
    ) -> list[LinkAddress]:
        near = _follow_ring(rings.get(own, []), link)
        runs = [
            _follow_ring(rings[each], link)
            for each in sorted(rings)
            if each != own
        ]
        far = [
            run[index]
            for index in range(_MAX_PEERS)
            for run in runs
            if index < len(run)
        ]
        ranked = near[:_MAX_NEAR_PEERS] + far + near[_MAX_NEAR_PEERS:]
        ranked.sort(key=self._has_narrow_link)
        return ranked[:_MAX_PEERS]

    def _has_narrow_link(self, link: LinkAddress) -> bool:
        """Return whether a host's link is narrow.

        A host carries each body that it sends for another one twice.
        """
        return not has_broad_link(self._reported[link].status.link_mbps)


def _follow_ring(
    ring: list[tuple[int, LinkAddress]], link: LinkAddress
) -> list[LinkAddress]:
    """Return the hosts of a ring that follow a host, without itself."""
    start = bisect.bisect_left(ring, (_hash_link(link), link))
    count = min(len(ring), _MAX_PEERS + 1)
    run = [ring[(start + step) % len(ring)][1] for step in range(count)]
    return [each for each in run if each != link][:_MAX_PEERS]


def _hash_link(link: LinkAddress) -> int:
    return xxhash.xxh32_intdigest(link.encode())
