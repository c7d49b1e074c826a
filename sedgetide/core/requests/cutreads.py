"""Counts of reads that were cut, and when one of them is logged."""

import collections

from sedgetide.core.requests.readlimits import ReadBound

_LOG_INTERVAL = 1.0
# Peers whose counts are kept; the one that was cut longest ago is dropped.
_MAX_PEERS = 64


class CutReads:
    """Counts cut reads by peer and bound."""

    def __init__(self) -> None:
        self._counts: collections.OrderedDict[
            str, collections.Counter[ReadBound]
        ] = collections.OrderedDict()
        self._logged_at: dict[tuple[str, ReadBound], float] = {}
        self._unlogged: collections.Counter[tuple[str, ReadBound]]
        self._unlogged = collections.Counter()

    def note(self, peer: str, bound: ReadBound, now: float) -> int:
        """Count a cut read.

        Returns
        -------
        int
            Number of reads that a log line now stands for; 0 if none is to
            be logged, because the last one of this peer and bound is recent.
        """
        self._counts.setdefault(peer, collections.Counter())[bound] += 1
        self._counts.move_to_end(peer)
        if len(self._counts) > _MAX_PEERS:
            self._forget(next(iter(self._counts)))
        kind = (peer, bound)
        self._unlogged[kind] += 1
        if now - self._logged_at.get(kind, float("-inf")) < _LOG_INTERVAL:
            return 0
        self._logged_at[kind] = now
        return self._unlogged.pop(kind)

    def _forget(self, peer: str) -> None:
        del self._counts[peer]
        for bound in ReadBound:
            self._logged_at.pop((peer, bound), None)
            self._unlogged.pop((peer, bound), None)

    def dump_state(self) -> dict[str, dict[str, int]]:
        """Return the counts by peer and value of the bound."""
        return {
            peer: {bound.value: count for bound, count in counts.items()}
            for peer, counts in self._counts.items()
        }
