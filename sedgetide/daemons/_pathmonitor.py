"""Watches this host's paths to the upstreams, and probes those in doubt."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
from typing import Any

import gevent

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.paths import PathTracker
from sedgetide.core.membership.paths import Sending
from sedgetide.core.membership.paths import take_silent
from sedgetide.daemons._hostmetrics import MISSED_UPSTREAMS
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds; a handshake between data centres takes two milliseconds.
_PROBE_TIMEOUT = 0.25
# Seconds without a path, after which connections from before are closed. A
# shorter doubt is mostly due to upstreams that ended at the same time.
_MIN_STALE = 1.0


def _ignore(_: Collection[IncarnationName]) -> None:
    """Do nothing."""


class PathMonitor:
    """Records which upstreams this host reaches, and looks after the others.

    Parameters
    ----------
    directory : UpstreamDirectory
        Registered upstreams.
    channels : UpstreamChannels
        Connections to the upstreams. A successful probe leaves one there.

    Attributes
    ----------
    on_regained : callable
        Called with the upstreams to which the path is no longer in doubt.
    """

    def __init__(
        self, directory: UpstreamDirectory, channels: UpstreamChannels
    ) -> None:
        self._directory = directory
        self._channels = channels
        self.tracker = PathTracker()
        self.on_regained: Callable[[Collection[IncarnationName]], None] = (
            _ignore
        )
        self._sendings: set[Sending] = set()
        self._answered_at = float("-inf")
        self._probing: set[IncarnationName] = set()
        self._logged_missed: set[IncarnationName] = set()
        # Upstreams reached since the changes were last logged.
        self._reached: set[IncarnationName] = set()
        self._logged_lost: dict[DataCentre, float] = {}

    # Observations

    def note_connected(self, upstream: RegisteredUpstream) -> None:
        """Record that a connection to an upstream was opened.

        Connections from before a lost path was regained are closed. The
        upstream may have ended them without this host's notice, and what is
        sent on such a connection has an unknown outcome.
        """
        now = read_clock()
        lost_for = self.tracker.find_doubtful_time(upstream, now)
        regained = self.tracker.is_lost(upstream.data_centre)
        doubtful = self._list_doubtful() if lost_for > 0 else []
        self.tracker.note_connected(upstream, now)
        self._reached.add(upstream.name)
        self._report_regained(doubtful)
        if lost_for < _MIN_STALE:
            return
        self._drop_older(upstream, now - lost_for)
        if regained:
            for each in self._directory.list_all():
                if each.data_centre == upstream.data_centre:
                    self._drop_older(each, now - lost_for)

    def _report_regained(self, doubtful: list[RegisteredUpstream]) -> None:
        """Report the upstreams that were in doubt and no longer are."""
        regained = {
            each.name for each in doubtful if not self.is_doubtful(each)
        }
        if regained:
            self.on_regained(regained)

    def _drop_older(self, upstream: RegisteredUpstream, at: float) -> None:
        self._channels.find(upstream).pool.drop_older(at)

    def note_missed(self, upstream: RegisteredUpstream) -> None:
        """Record that no connection to an upstream could be opened.

        If its data centre seems lost by that, others are probed at once.
        """
        now = read_clock()
        was_lost = self.tracker.is_lost(upstream.data_centre)
        self.tracker.note_missed(upstream, now)
        if not was_lost and self.tracker.is_lost(upstream.data_centre):
            self._start_due_probes(self._directory.list_all(), now)

    def note_answer(self, upstream: RegisteredUpstream) -> None:
        """Record that an upstream answered on an open connection."""
        now = read_clock()
        self._answered_at = now
        self.tracker.note_answer(upstream, now)

    def suspect(self, upstream: RegisteredUpstream) -> None:
        """Probe an upstream that has not answered in time."""
        if upstream.name not in self._probing:
            self._probing.add(upstream.name)
            gevent.spawn(self._probe, upstream)

    @contextlib.contextmanager
    def watch_sending(self, upstream: RegisteredUpstream) -> Iterator[None]:
        """Return a context manager for the time a request waits for one."""
        health = self._channels.find(upstream).health
        sending = Sending(upstream, read_clock(), health.estimate_seconds())
        self._sendings.add(sending)
        try:
            yield
        finally:
            self._sendings.discard(sending)

    # Decisions

    def is_doubtful(self, upstream: RegisteredUpstream) -> bool:
        """Return whether a new connection to an upstream would likely fail."""
        return self.tracker.is_doubtful(upstream)

    def find_doubtful_time(self, upstream: RegisteredUpstream) -> float:
        """Return for how many seconds the path has been in doubt."""
        return self.tracker.find_doubtful_time(upstream, read_clock())

    def find_doubts(self) -> dict[IncarnationName, float]:
        """Return since when each path that is in doubt has been so."""
        now = read_clock()
        return {
            each.name: now - self.tracker.find_doubtful_time(each, now)
            for each in self._list_doubtful()
        }

    def find_lost_share(self) -> float:
        """Return the share of upstreams to which the path is in doubt."""
        upstreams = len(self._directory.list_all())
        return len(self._list_doubtful()) / max(1, upstreams)

    def _list_doubtful(self) -> list[RegisteredUpstream]:
        if not self.tracker.has_missed:
            return []
        upstreams = self._directory.list_all()
        return [each for each in upstreams if self.is_doubtful(each)]

    def prefer_reached(
        self, upstreams: list[RegisteredUpstream]
    ) -> list[RegisteredUpstream]:
        """Return the upstreams without those in doubt, or all if all are."""
        return [each for each in upstreams if not self.is_doubtful(each)] or (
            upstreams
        )

    def list_lost(self) -> tuple[DataCentre, ...]:
        """Return the data centres of which no upstream can be reached."""
        if not self.tracker.has_missed:
            return ()
        centres = {each.data_centre for each in self._directory.list_all()}
        return tuple(sorted(filter(self.tracker.is_lost, centres)))

    def is_cut_off_from_others(self, own: DataCentre) -> bool:
        """Return whether no upstream of any other data centre is reached."""
        centres = {each.data_centre for each in self._directory.list_all()}
        return bool(centres - {own}) and all(
            self.tracker.is_lost(each) for each in centres - {own}
        )

    # Periodic work

    def run_periodic(self, now: float) -> None:
        """Start the probes that are due, and log what has changed."""
        if self.tracker.has_missed:
            upstreams = self._directory.list_all()
            self.tracker.retain({each.name for each in upstreams})
            self._start_due_probes(upstreams, now)
        silent = take_silent(self._sendings, self._answered_at, now)
        if silent:
            self._probe_silent(silent, now)
        if self.tracker.has_missed or self._logged_missed or self._logged_lost:
            self._log_changes(now)

    def _probe_silent(
        self, silent: list[RegisteredUpstream], now: float
    ) -> None:
        """Probe upstreams that owe an answer, and some to compare with."""
        others = [
            each for each in self._directory.list_all() if each not in silent
        ]
        for each in [*silent, *self.tracker.choose_samples(others, now)]:
            self.suspect(each)

    def _start_due_probes(
        self, upstreams: list[RegisteredUpstream], now: float
    ) -> None:
        for each in self.tracker.take_due_probes(upstreams, now):
            self.suspect(each)

    def _probe(self, upstream: RegisteredUpstream) -> None:
        try:
            self._channels.find(upstream).pool.open_spare(_PROBE_TIMEOUT)
        except UpstreamError as error:
            if error.code is ErrorCode.UPSTREAM_FULL:
                # It accepted the connection before it reset it.
                self.note_connected(upstream)
            else:
                self.note_missed(upstream)
        else:
            self.note_connected(upstream)
        finally:
            self._probing.discard(upstream.name)

    def _log_changes(self, now: float) -> None:
        missed = {each.name for each in self.tracker.list_missed()}
        for name in sorted(missed - self._logged_missed):
            log_event(Event.UPSTREAM_MISSED, upstream=name)
        for name in sorted((self._logged_missed - missed) & self._reached):
            log_event(Event.UPSTREAM_REACHED, upstream=name)
        self._logged_missed = missed
        self._reached.clear()
        MISSED_UPSTREAMS.set(len(missed))
        lost = set(self.list_lost())
        for data_centre in sorted(lost - self._logged_lost.keys()):
            self._logged_lost[data_centre] = now
            log_event(
                Event.PATH_LOST, data_centre=data_centre, missed=len(missed)
            )
        for data_centre in sorted(self._logged_lost.keys() - lost):
            seconds = now - self._logged_lost.pop(data_centre)
            log_event(
                Event.PATH_REGAINED,
                data_centre=data_centre,
                seconds=f"{seconds:.1f}",
            )

    def dump_state(self) -> dict[str, Any]:
        """Return the paths in doubt for the admin endpoint."""
        return {
            "cut_off": self.tracker.is_cut_off,
            "lost": list(self.list_lost()),
            "missed": sorted(each.name for each in self.tracker.list_missed()),
            "waiting": dict(
                collections.Counter(
                    each.upstream.data_centre for each in self._sendings
                )
            ),
        }
