"""Which upstreams this host can open connections to.

A connection that cannot be opened looks the same whether the upstream has
ended or only this host's path to it is lost. The two differ in what follows
from it: requests for a lost upstream are refused, while another host may still
serve those of a lost path. A :class:`PathTracker` therefore records what this
host itself has reached, and nothing else.
"""

from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.directory import RegisteredUpstream

# Upstreams of a data centre, and of all data centres, that have to be missed
# in a row before the paths to the others count as lost too. A single upstream
# may have crashed.
_MIN_MISSED_IN_CENTRE = 2
_MIN_MISSED = 3
# Seconds between two attempts to reach an upstream, or a data centre, again.
_PROBE_INTERVAL = 0.5
# Upstreams probed at a time, and those of them that were not missed before.
# A lost path to hundreds of upstreams must not cause hundreds of connections.
_MAX_PROBES = 8
_MAX_SAMPLES = 2

# Seconds without any answer, and times the usual service time, after which an
# upstream that owes an answer is probed.
_MAX_SILENCE = 0.5
_MAX_SERVICE_TIMES = 2.5

NEVER = float("-inf")


class Sending(msgspec.Struct, eq=False):
    """A request that an upstream has not answered yet.

    Parameters
    ----------
    upstream : RegisteredUpstream
        The upstream.
    began : float
        Monotonic time at which it was sent.
    usual : float
        Usual service time of the upstream, in seconds.
    probed : bool
        Whether the upstream was probed because of it.
    """

    upstream: RegisteredUpstream
    began: float
    usual: float
    probed: bool = False


def take_silent(
    sendings: Collection[Sending], answered_at: float, now: float
) -> list[RegisteredUpstream]:
    """Return the upstreams to probe because none has answered for long.

    After the loss of a path, requests on kept connections wait until their
    deadline, and no new connection is opened as long as there are kept ones.
    Each request leads to one probe.

    Parameters
    ----------
    sendings : collection of Sending
        Requests without an answer.
    answered_at : float
        Monotonic time of the last answer of any upstream.
    now : float
        Current monotonic time in seconds.
    """
    if now - answered_at < _MAX_SILENCE:
        return []
    silent: dict[IncarnationName, RegisteredUpstream] = {}
    for each in sendings:
        limit = max(_MAX_SILENCE, _MAX_SERVICE_TIMES * each.usual)
        if not each.probed and now - each.began >= limit:
            each.probed = True
            silent[each.upstream.name] = each.upstream
    return list(silent.values())[:_MAX_PROBES]


class _Missed(msgspec.Struct):
    """An upstream to which no connection could be opened.

    Parameters
    ----------
    upstream : RegisteredUpstream
        The upstream.
    since, last : float
        Monotonic times of the first and of the latest failed attempt.
    """

    upstream: RegisteredUpstream
    since: float
    last: float


class PathTracker:
    """Paths from this host to the upstreams, judged by its own attempts.

    The path to an upstream is in doubt from a failed attempt to open a
    connection until an attempt succeeds. It is also in doubt while it is lost
    to the whole data centre: several upstreams were missed, and none has been
    reached since. Otherwise each request would have to find this out for its
    own upstream.
    """

    def __init__(self) -> None:
        self._missed: dict[IncarnationName, _Missed] = {}
        # Upstreams that were taken for reached because another one of their
        # data centre was, and that were not reached themselves since.
        self._presumed: set[IncarnationName] = set()
        self._reached_at: dict[DataCentre, float] = {}
        self._lost_since: dict[DataCentre, float] = {}
        self._cut_off_since: float | None = None
        self._probed_at: dict[IncarnationName, float] = {}
        self._sampled_at: dict[DataCentre, float] = {}

    def note_answer(self, upstream: RegisteredUpstream, now: float) -> None:
        """Record that an upstream answered on an open connection.

        Its data centre is reached, but new connections to the upstream may
        still fail while open ones live on.
        """
        self._presumed.discard(upstream.name)
        self._reached_at[upstream.data_centre] = now
        self._lost_since.pop(upstream.data_centre, None)
        self._cut_off_since = None

    def note_connected(self, upstream: RegisteredUpstream, now: float) -> None:
        """Record that a connection to an upstream was opened."""
        self._missed.pop(upstream.name, None)
        if self.is_lost(upstream.data_centre):
            self._presume_reached(upstream.data_centre)
        self.note_answer(upstream, now)

    def _presume_reached(self, data_centre: DataCentre) -> None:
        """Forget the misses of a data centre whose path is open again.

        Its upstreams need not be reached one by one. One that was missed
        again after that, and never reached, is missed for itself.
        """
        for name, each in list(self._missed.items()):
            if each.upstream.data_centre != data_centre:
                continue
            if name not in self._presumed:
                self._presumed.add(name)
                del self._missed[name]

    def note_missed(self, upstream: RegisteredUpstream, now: float) -> None:
        """Record that no connection to an upstream could be opened."""
        known = self._missed.setdefault(
            upstream.name, _Missed(upstream, now, now)
        )
        known.last = now
        data_centre = upstream.data_centre
        here = [
            each
            for each in self._list_missed_in_a_row()
            if each.upstream.data_centre == data_centre
        ]
        if len(here) >= _MIN_MISSED_IN_CENTRE:
            self._lost_since.setdefault(data_centre, now)
        reached_at = max(self._reached_at.values(), default=NEVER)
        everywhere = [
            each
            for each in self._list_missed_in_a_row()
            if each.last > reached_at
        ]
        if len(everywhere) >= _MIN_MISSED and self._cut_off_since is None:
            self._cut_off_since = now

    def _list_missed_in_a_row(self) -> list[_Missed]:
        """Return those missed after their data centre was last reached.

        One that is missed for itself tells nothing about its data centre.
        """
        return [
            each
            for name, each in self._missed.items()
            if name not in self._presumed
            and each.last
            > self._reached_at.get(each.upstream.data_centre, NEVER)
        ]

    def is_doubtful(self, upstream: RegisteredUpstream) -> bool:
        """Return whether a new connection to an upstream would likely fail."""
        if not self.has_missed:
            return False
        return upstream.name in self._missed or self.is_lost(
            upstream.data_centre
        )

    def is_lost(self, data_centre: DataCentre) -> bool:
        """Return whether no upstream of a data centre seems to be reached."""
        return self.is_cut_off or data_centre in self._lost_since

    @property
    def is_cut_off(self) -> bool:
        """Whether this host seems to reach no upstream at all."""
        return self._cut_off_since is not None

    def find_doubtful_time(
        self, upstream: RegisteredUpstream, now: float
    ) -> float:
        """Return for how many seconds the path has been in doubt."""
        known = self._missed.get(upstream.name)
        starts = (
            None if known is None else known.since,
            self._lost_since.get(upstream.data_centre),
            self._cut_off_since,
        )
        return now - min(
            (each for each in starts if each is not None), default=now
        )

    @property
    def has_missed(self) -> bool:
        """Whether the path to any upstream is in doubt."""
        return bool(self._missed)

    def list_missed(self) -> list[RegisteredUpstream]:
        """Return the upstreams that this host has failed to reach."""
        return [each.upstream for each in self._missed.values()]

    def take_due_probes(
        self, upstreams: Collection[RegisteredUpstream], now: float
    ) -> list[RegisteredUpstream]:
        """Return the upstreams to probe now, and count them as probed.

        Besides those that were missed, they are some others of data centres
        that seem lost. If it is only that several upstreams of one ended at
        once, these are reached at once.

        Parameters
        ----------
        upstreams : collection of RegisteredUpstream
            All registered upstreams.
        now : float
            Current monotonic time in seconds.
        """
        due = [
            each.upstream
            for each in self._missed.values()
            if now - max(self._find_probed_at(each.upstream), each.last)
            >= _PROBE_INTERVAL
        ]
        due.sort(key=self._find_probed_at)
        due = [*self._take_samples(upstreams, now), *due][:_MAX_PROBES]
        for each in due:
            self._probed_at[each.name] = now
        return due

    def choose_samples(
        self, upstreams: Collection[RegisteredUpstream], now: float
    ) -> list[RegisteredUpstream]:
        """Return some upstreams to probe beside one that is silent.

        They tell at once whether this host reaches any. They are counted as
        probed.
        """
        others = [each for each in upstreams if each.name not in self._missed]
        others.sort(key=self._find_probed_at)
        for each in others[:_MAX_SAMPLES]:
            self._probed_at[each.name] = now
        return others[:_MAX_SAMPLES]

    def _take_samples(
        self, upstreams: Collection[RegisteredUpstream], now: float
    ) -> list[RegisteredUpstream]:
        samples = []
        for data_centre in {each.data_centre for each in upstreams}:
            sampled_at = self._sampled_at.get(data_centre, NEVER)
            if (
                not self.is_lost(data_centre)
                or now - sampled_at < _PROBE_INTERVAL
            ):
                continue
            self._sampled_at[data_centre] = now
            others = [
                each
                for each in upstreams
                if each.data_centre == data_centre
                and each.name not in self._missed
            ]
            others.sort(key=self._find_probed_at)
            samples += others[:_MAX_SAMPLES]
        return samples

    def _find_probed_at(self, upstream: RegisteredUpstream) -> float:
        return self._probed_at.get(upstream.name, NEVER)

    def retain(self, known: Collection[IncarnationName]) -> None:
        """Forget the upstreams that aren't among the known ones."""
        for names in (self._missed, self._probed_at):
            for name in [each for each in names if each not in known]:
                del names[name]
        self._presumed.intersection_update(known)
        left = {each.upstream.data_centre for each in self._missed.values()}
        for data_centre in [
            each for each in self._lost_since if each not in left
        ]:
            del self._lost_since[data_centre]
        if not self._missed:
            self._cut_off_since = None
