"""Counts of events by peer, for a limited number of peers."""

import collections

# The peer whose last event is the oldest is dropped.
_MAX_PEERS = 64


class PeerCounts:
    """Counts events by the address of the peer that caused them."""

    def __init__(self) -> None:
        self._counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note(self, peer: str) -> None:
        """Count an event."""
        self._counts[peer] = self._counts.get(peer, 0) + 1
        self._counts.move_to_end(peer)
        if len(self._counts) > _MAX_PEERS:
            self._counts.popitem(last=False)

    def dump_state(self) -> dict[str, int]:
        """Return the number of events by peer."""
        return dict(self._counts)
