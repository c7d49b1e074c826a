"""Requests that one host passes on to another, and the choice of the other.

A host that has lost its path to an upstream passes requests for it on to a
peer, which sends them in its place. A request is passed on once at most: a
peer never passes it on again.
"""

from collections.abc import Collection
import random
from typing import Annotated

import msgspec

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.identifiers import Version
from sedgetide.core.membership.peers import Peer
from sedgetide.core.membership.peers import PeerList
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.outcomes import Outcome

# Seconds for which a peer is not asked again for a destination that it could
# not reach, and for anything after it did not answer.
_DECLINED_PERIOD = 0.5
_SILENT_PERIOD = 1.0
# Remembered destinations after which those that may be asked for again are
# forgotten.
_MAX_DECLINED = 1000
# Items of a list; a parser accepts fewer header lines. The decoder checks it
# before it reads them: 16 MB of empty ones take 0.4 s, during which the whole
# process stands.
_FEW = msgspec.Meta(max_length=10_000)
# Requests in progress that outweigh the cost of leaving the data centre.
_FAR_PENALTY = 2

_Headers = Annotated[list[tuple[str, str]], _FEW]
_Upstreams = Annotated[list[IncarnationName], _FEW]


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request, passed on to a peer.

    Parameters
    ----------
    sender : HostName
        Host that passes it on.
    method, target, headers, body, caller
        The request as the caller sent it; see
        :class:`sedgetide.wire.messages.Request`.
    version : Version
        Policy in force at the sender. A peer that has an older one declines,
        since the sender's callers may already have seen the newer one.
    elapsed, left : float
        Seconds since it arrived, and until its final answer is due.
    overdue : bool
        Whether the caller was refused before and is already late.
    sends : int
        How often the sender has sent it itself.
    tried : list of IncarnationName
        Upstreams to which the sender has sent it.
    """

    sender: HostName
    method: str
    target: str
    headers: _Headers
    body: bytes
    caller: str
    version: Version
    elapsed: float
    left: float
    overdue: bool = False
    sends: int = 0
    tried: _Upstreams = []


class ForwardedResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a request at a peer.

    Parameters
    ----------
    outcome : Outcome
        Outcome of what the peer itself has done with it.
    declined : bool
        Whether the peer sent it nowhere, and another peer may do better.
    cut_off : bool
        Whether the peer reaches no upstream at all.
    status, headers, body
        Answer of an upstream; status 0 without one.
    failures : list of Failure
        Failures of the peer's attempts.
    reason : str
        Why it was not sent; empty if it was.
    retry_after : float
        Seconds after which a refused caller should retry.
    tried : list of IncarnationName
        Upstreams to which the peer has sent it.
    answered_by : IncarnationName
        Upstream whose answer it is; empty without one, and from a peer of an
        earlier version.
    """

    outcome: Outcome
    declined: bool = False
    cut_off: bool = False
    status: int = 0
    headers: _Headers = []
    body: bytes = b""
    failures: Annotated[list[Failure], _FEW] = []
    reason: str = ""
    retry_after: float = 0.0
    tried: _Upstreams = []
    answered_by: IncarnationName = NO_UPSTREAM


class PeerPool:
    """Chooses a peer for each request that is passed on.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this host.
    rng : random.Random
        Chooses among equally suitable peers.
    """

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._in_progress: dict[str, int] = {}
        self._declined_until: dict[tuple[str, str], float] = {}
        self._silent_until: dict[str, float] = {}

    def choose(
        self,
        peers: PeerList,
        destination: str,
        asked: Collection[str],
        now: float,
    ) -> Peer | None:
        """Return the peer to ask next, or None if there is none left.

        Peers with fewer requests of this host in progress are preferred, and
        those of its own data centre.

        Parameters
        ----------
        peers : PeerList
            Peers of this host.
        destination : str
            Upstream or service that the request is for.
        asked : collection of str
            Addresses of peers that were asked for this request before.
        now : float
            Current monotonic time in seconds.
        """
        eligible = [
            each
            for each in peers.peers
            if each.address not in asked
            and now >= self._find_resting_end(each.address, destination)
        ]
        return min(eligible, key=self._rate, default=None)

    def _find_resting_end(self, address: str, destination: str) -> float:
        never = float("-inf")
        return max(
            self._silent_until.get(address, never),
            self._declined_until.get((address, destination), never),
            self._declined_until.get((address, ""), never),
        )

    def _rate(self, peer: Peer) -> tuple[int, float]:
        far = peer.data_centre != self._data_centre
        load = self._in_progress.get(peer.address, 0) + _FAR_PENALTY * far
        return load, self._rng.random()

    def note_begin(self, peer: Peer) -> None:
        """Count a request that is passed on to a peer."""
        count = self._in_progress.get(peer.address, 0)
        self._in_progress[peer.address] = count + 1

    def note_end(self, peer: Peer) -> None:
        """Count the end of a request at a peer."""
        self._in_progress[peer.address] -= 1
        if not self._in_progress[peer.address]:
            del self._in_progress[peer.address]

    def note_declined(
        self, peer: Peer, destination: str, cut_off: bool, now: float
    ) -> None:
        """Record that a peer could not send a request either."""
        key = (peer.address, "" if cut_off else destination)
        self._declined_until[key] = now + _DECLINED_PERIOD
        if len(self._declined_until) > _MAX_DECLINED:
            self._declined_until = {
                key: until
                for key, until in self._declined_until.items()
                if until > now
            }

    def note_silent(self, peer: Peer, now: float) -> None:
        """Record that a peer could not be asked, or did not answer."""
        self._silent_until = {
            address: until
            for address, until in self._silent_until.items()
            if until > now
        }
        self._silent_until[peer.address] = now + _SILENT_PERIOD
