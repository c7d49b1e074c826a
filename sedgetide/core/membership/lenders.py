"""Which hosts lend places at upstreams; see core/requests/places.py."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
import math

import msgspec
import xxhash

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.rendezvous import choose_candidate

# Where fewer hosts send to an upstream than this for each of its slots, each
# has requests there often enough to learn its share from the answers, and a
# round trip for a place would buy nothing.
_HOSTS_EACH_SLOT = 4
_CROWDED_STILL = 0.5
# Upstreams of two slots are asked for some six requests a second, three
# messages each: 300 messages a second, under a tenth of a core.
_UPSTREAMS_EACH = 16
# Seconds; hosts report each 0.4 s, so three reports were missed.
_SILENCE = 1.3


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a host says of itself with each report to the leader.

    Parameters
    ----------
    data_centre : DataCentre
        Where it is.
    processors : float
        Cores' worth of time that it has; zero when it is about to stop.
    lenders : int
        Version of the list of lenders that it knows.
    quarantine : int
        Version of its quarantine.
    """

    data_centre: DataCentre = DataCentre("")
    processors: float = 0.0
    lenders: int = 0
    quarantine: int = 0


class LendingHost(msgspec.Struct, frozen=True, array_like=True):
    """A host that lends places at upstreams.

    Parameters
    ----------
    link : LinkAddress
        Where it is asked.
    data_centre : DataCentre
        Where it is: it lends places at the upstreams there.
    """

    link: LinkAddress
    data_centre: DataCentre


class LenderList(msgspec.Struct, frozen=True, array_like=True):
    """All hosts that lend places, as the leader names them.

    Parameters
    ----------
    hosts : tuple of LendingHost
        Who lends.
    rate_limited_only : bool
        Whether places are lent only where so many requests a second are
        borne, and hosts go by their own windows elsewhere.
    """

    hosts: tuple[LendingHost, ...] = ()
    rate_limited_only: bool = False

    @property
    def version(self) -> int:
        """Number that equal lists have in common; zero for none."""
        if not self.hosts:
            return 0
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(self)) or 1

    def find(self, upstream: RegisteredUpstream) -> LinkAddress | None:
        """Return who lends the places at an upstream; None: nobody.

        A lender in the upstream's own data centre is cut off together with
        it, so that a cut never separates those who reach one of them.
        """
        near = [
            each.link
            for each in self.hosts
            if each.data_centre == upstream.data_centre
        ]
        links = near or [each.link for each in self.hosts]
        found = choose_candidate(upstream.registered_name, links)
        return None if found is None else LinkAddress(found)


class _Seen(msgspec.Struct):
    standing: HostStatus
    heard_at: float


class LenderSelector:
    """Hosts that report to the leader, and those of them that lend.

    Parameters
    ----------
    lenders : LenderList
        Those whom an earlier leader named. They stay until all that live
        have reported: hosts would lose their queues for nothing.
    began : float
        When reports began to come, by the own clock.
    own : LendingHost or None
        The leader itself, which lends where no other host does.
    """

    def __init__(
        self,
        lenders: LenderList,
        began: float,
        own: LendingHost | None = None,
    ) -> None:
        self._seen: dict[LinkAddress, _Seen] = {}
        self._began = began
        self._own = own
        self.lenders = lenders

    def note(
        self, link: LinkAddress, standing: HostStatus, now: float
    ) -> None:
        """Take in what a host says of itself."""
        self._seen[link] = _Seen(standing, now)

    def choose(
        self,
        upstreams: Collection[RegisteredUpstream],
        now: float,
        others: Collection[RegisteredUpstream] = (),
    ) -> LenderList:
        """Return who is to lend places at upstreams, by who reports now.

        Those who lend already go on: a new lender has to learn who is
        where, and for the time of a request both lend the same places.

        Parameters
        ----------
        upstreams : collection of RegisteredUpstream
            Those with keys: each request has one choice only.
        now : float
            Own clock.
        others : collection of RegisteredUpstream
            All that may come to bear only so many requests a second: cold
            ones, and whatever names a limit. Nobody knows before, and then
            there is no time to choose.
        """
        if now - self._began < _SILENCE:
            return self.lenders
        self._seen = {
            link: seen
            for link, seen in self._seen.items()
            if now - seen.heard_at <= _SILENCE
        }
        able = {
            link: seen.standing
            for link, seen in self._seen.items()
            if seen.standing.processors > 0
        }
        crowded = self._are_crowded(upstreams)
        counts = collections.Counter(
            each.data_centre for each in (upstreams if crowded else ())
        )
        for each in others:
            counts.setdefault(each.data_centre, 1)
        hosts: list[LendingHost] = []
        for data_centre, count in counts.items():
            wanted = math.ceil(count / _UPSTREAMS_EACH)
            links = self._rank(data_centre, able)[:wanted]
            hosts += [LendingHost(link, data_centre) for link in links]
        if not hosts and others and self._own is not None:
            hosts.append(self._own)
        hosts.sort(key=_order)
        rate_limited_only = bool(hosts) and not crowded
        self.lenders = LenderList(tuple(hosts), rate_limited_only)
        return self.lenders

    def _are_crowded(self, upstreams: Collection[RegisteredUpstream]) -> bool:
        """Tell whether hosts are too many to know what the others send.

        Where places are lent already, half as many are: one host that stops
        and comes back must not take all queues away and back.
        """
        if not upstreams:
            return False
        slots = sum(each.slots for each in upstreams) / len(upstreams)
        bound = _HOSTS_EACH_SLOT * slots
        if self.lenders.hosts and not self.lenders.rate_limited_only:
            bound *= _CROWDED_STILL
        # The leader itself sends no report.
        return len(self._seen) + 1 > bound

    def _rank(
        self, data_centre: DataCentre, able: Mapping[LinkAddress, HostStatus]
    ) -> list[LinkAddress]:
        present = {each.link for each in self.lenders.hosts}
        return sorted(
            (
                link
                for link, standing in able.items()
                if standing.data_centre == data_centre
            ),
            key=lambda link: (
                link not in present,
                -able[link].processors,
                link,
            ),
        )


def _order(host: LendingHost) -> tuple[str, str]:
    return host.data_centre, host.link
