"""Liveness of peers, proved by answers rather than by open connections."""

import enum

import msgspec

from sedgetide.core.identifiers import LinkAddress


class PeerState(enum.Enum):
    """State of a peer as this process sees it."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SILENT = "silent"


class _Peer(msgspec.Struct):
    heard_at: float
    leaving: bool


class Liveness:
    """Peers and the times of their last answers.

    Parameters
    ----------
    silence : float
        Seconds without an answer after which a peer counts as lost.
    """

    def __init__(self, silence: float) -> None:
        self._silence = silence
        self._peers: dict[LinkAddress, _Peer] = {}

    def note_answer(
        self, peer: LinkAddress, asked_at: float, leaving: bool
    ) -> None:
        """Record an answer to a request sent at ``asked_at``."""
        self._peers[peer] = _Peer(asked_at, leaving)

    def find_state(self, peer: LinkAddress, now: float) -> PeerState:
        """Return the state of a peer."""
        known = self._peers.get(peer)
        if known is None or now - known.heard_at > self._silence:
            return PeerState.SILENT
        return PeerState.LEAVING if known.leaving else PeerState.ALIVE

    def list_alive(self, now: float) -> list[LinkAddress]:
        """Return the peers that answer and are not about to stop."""
        return [
            peer
            for peer in self._peers
            if self.find_state(peer, now) is PeerState.ALIVE
        ]

    def measure_silence(self, peer: LinkAddress, now: float) -> float:
        """Return the seconds since a peer's last answer; infinite if none."""
        known = self._peers.get(peer)
        return float("inf") if known is None else now - known.heard_at
