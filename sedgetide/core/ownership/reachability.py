"""Whether the leader reaches the upstreams as well as the other hosts do.

The leader's lease is at the store, so a leader that has lost its path to the
upstreams would go on leading while it can neither renew a grant nor move a
range. The load reports of the other hosts show which upstreams have answered
them. If several that the leader does not reach have, another host can lead
better. If none has, the upstreams themselves are lost, and a change of
leaders gains nothing.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.load import UpstreamWork

# Seconds between the loss of a path and the arrival of a report, after which
# the answers in the report came later than the loss: hosts report every 0.4 s.
_REPORT_LAG = 0.5
# Seconds after which a report no longer counts.
_REPORT_LIFE = 1.5
# Seconds for which others reach what the leader doesn't, if they didn't reach
# it when the leader's path was lost. When the paths of all hosts are back, the
# leader may be the last to notice: it tries each upstream every 0.5 s, and an
# attempt that began too early takes another 0.25 s.
_MIN_REACHED_TIME = 1.5
# Gaps between answers that are no loss, in terms of the usual ones of the
# upstream: some get a request every few seconds only.
_MAX_GAP_RATIO = 2.0
# Upstreams out of reach, and their share of all, for which a leader resigns.
# A single one may refuse connections of one host.
_MIN_UNREACHED = 2
_MIN_UNREACHED_SHARE = 0.05
# Seconds for which a leader leads at least, as the grants that it renews last
# longer. Paths that come and go must not lead to one election after another.
_MIN_TERM = 1.5


class _Answers(msgspec.Struct):
    """Answers of an upstream to other hosts, without a long gap.

    Parameters
    ----------
    first, last : float
        Monotonic times of the first and of the last report of them.
    gap : float
        Usual longest time between two reports, in seconds.
    """

    first: float
    last: float
    gap: float = 0.0

    def note(self, now: float) -> None:
        """Record a report; after a long gap the answers begin anew."""
        gap = now - self.last
        if gap > max(_REPORT_LIFE, _MAX_GAP_RATIO * self.gap):
            self.first = now
        self.last = now
        self.gap = max(gap, self.gap / 2)


class LeaderReachability:
    """Compares the leader's paths with what other hosts report."""

    def __init__(self) -> None:
        self._answers: dict[IncarnationName, _Answers] = {}

    def note_report(self, seen: Iterable[UpstreamWork], now: float) -> None:
        """Record which upstreams have answered another host."""
        for each in seen:
            if not each.answers:
                continue
            known = self._answers.get(each.upstream)
            if known is None:
                self._answers[each.upstream] = _Answers(now, now)
            else:
                known.note(now)

    def list_reached_by_others(
        self, doubtful: Mapping[IncarnationName, float], now: float
    ) -> list[IncarnationName]:
        """Return the upstreams that others reach and the leader doesn't.

        Parameters
        ----------
        doubtful : mapping of IncarnationName to float
            Upstreams to which the leader's path is in doubt, and the
            monotonic time since when it is.
        now : float
            Current monotonic time in seconds.
        """
        return [
            name
            for name, since in doubtful.items()
            if self._is_reached_by_others(name, since, now)
        ]

    def _is_reached_by_others(
        self, upstream: IncarnationName, since: float, now: float
    ) -> bool:
        """Return whether others reach an upstream in doubt since a time."""
        known = self._answers.get(upstream)
        if known is None:
            return False
        if known.last < max(since + _REPORT_LAG, now - _REPORT_LIFE):
            return False
        return known.first <= max(since, now - _MIN_REACHED_TIME)

    def should_resign(
        self,
        doubtful: Mapping[IncarnationName, float],
        upstreams: int,
        began: float,
        now: float,
    ) -> bool:
        """Return whether another host can lead better.

        Parameters
        ----------
        doubtful : mapping of IncarnationName to float
            See :meth:`list_reached_by_others`.
        upstreams : int
            Number of registered upstreams.
        began : float
            Monotonic time at which this host's term began.
        now : float
            Current monotonic time in seconds.
        """
        if not doubtful or now - began < _MIN_TERM:
            return False
        others_reach = len(self.list_reached_by_others(doubtful, now))
        return others_reach >= max(
            _MIN_UNREACHED, _MIN_UNREACHED_SHARE * upstreams
        )

    def forget(self, known: Collection[IncarnationName]) -> None:
        """Remove all upstreams but the known ones."""
        for name in list(self._answers):
            if name not in known:
                del self._answers[name]
