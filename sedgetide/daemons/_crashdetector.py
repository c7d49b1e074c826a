"""Determines whether a broken connection means that the upstream crashed."""

from collections.abc import Callable

import gevent
import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.requests.brokenruns import BrokenRun
from sedgetide.core.requests.brokenruns import BrokenRuns
from sedgetide.core.requests.brokenruns import EndedUpstream
from sedgetide.core.requests.brokenruns import LossProof
from sedgetide.daemons._hostmetrics import UPSTREAM_ENDS
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.wire.messages import find_header
from sedgetide.wire.probes import Presence
from sedgetide.wire.probes import probe

# Seconds; a refusal from another data centre arrives within two milliseconds.
# A machine that is down does not answer; its entry leaves the registry later.
_PROBE_TIMEOUT = 0.05
# Seconds; a full upstream resets many requests at once, and each probe is one
# more connection that it has to reject.
_PROBE_INTERVAL = 0.1
# Upstreams to which a connection is opened after one has refused it. Several
# may crash at the same time.
_MAX_CONTROLS = 3
# Characters of a request target in a log line.
_MAX_TARGET_LENGTH = 200


class _ProbeResult(msgspec.Struct):
    at: float
    presence: Presence


class CrashDetector:
    """Distinguishes a crash from other causes of a broken connection.

    Parameters
    ----------
    directory : UpstreamDirectory
        Upstreams by their registry entries.
    note_upstream_end : callable
        Called with each upstream that ended, and the current time.
    paths : PathMonitor
        Tells which upstreams this host reaches.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        note_upstream_end: Callable[[EndedUpstream, float], None],
        paths: PathMonitor,
    ) -> None:
        self._directory = directory
        self._paths = paths
        self._note_upstream_end = note_upstream_end
        self._runs = BrokenRuns()
        # Upstreams with runs whose callers have left.
        self._abandoned: dict[IncarnationName, RegisteredUpstream] = {}
        self._probe_results: dict[IncarnationName, _ProbeResult] = {}

    def note_broken(
        self, context: RequestContext, upstream: RegisteredUpstream
    ) -> None:
        """Probe an upstream after a connection to it broke.

        The end of an upstream that has announced it is not a crash. A
        connection that breaks while the path is lost tells nothing.
        """
        now = read_clock()
        if self._directory.is_leaving(upstream.name):
            return
        if self._paths.tracker.is_lost(upstream.data_centre):
            return
        self._runs.note(upstream.name, _describe_run(context, now))
        if self._probe(upstream, now) is Presence.ENDED:
            self._report_end(
                self._runs.pop_ended(upstream.name, LossProof.REFUSED)
            )

    def note_abandoned(
        self, context: RequestContext, upstream: RegisteredUpstream
    ) -> None:
        """Record that a caller left while an upstream ran its request.

        The upstream may go on until the deadline that it was told.
        """
        if self._directory.is_leaving(upstream.name):
            return
        run = _describe_run(context, read_clock(), context.times.final)
        self._runs.note(upstream.name, run)
        self._abandoned[upstream.name] = upstream

    def _probe(self, upstream: RegisteredUpstream, now: float) -> Presence:
        last = self._probe_results.get(upstream.name)
        if last is not None and now - last.at < _PROBE_INTERVAL:
            return last.presence
        presence = probe(upstream.address, _PROBE_TIMEOUT)
        if presence is Presence.ENDED:
            self._paths.note_missed(upstream)
            if not self._is_path_open(upstream):
                presence = Presence.UNKNOWN
        self._probe_results[upstream.name] = _ProbeResult(now, presence)
        return presence

    def _is_path_open(self, refusing: RegisteredUpstream) -> bool:
        """Return whether another upstream accepts connections of this host.

        A path that resets connections refuses new ones to all upstreams. Each
        of them would look crashed, and every request in progress suspect.
        """
        for other in self._choose_controls(refusing):
            presence = probe(other.address, _PROBE_TIMEOUT)
            if presence is Presence.LISTENING:
                self._paths.note_connected(other)
                return True
            self._paths.note_missed(other)
        return len(self._directory.list_all()) == 1

    def _choose_controls(
        self, refusing: RegisteredUpstream
    ) -> list[RegisteredUpstream]:
        """Return some upstreams to compare with, near the refusing one."""
        others = [
            each
            for each in self._directory.list_all()
            if each.name != refusing.name
            and not self._directory.is_leaving(each.name)
        ]
        others.sort(
            key=lambda each: (
                each.data_centre != refusing.data_centre,
                self._paths.is_doubtful(each),
            )
        )
        return others[:_MAX_CONTROLS]

    def note_answer(self, upstream: IncarnationName, began: float) -> None:
        """Record that an upstream answered a request sent at ``began``."""
        self._runs.note_answer(upstream, began)

    def run_periodic(self, now: float) -> None:
        """Report broken upstreams whose registry entries have disappeared."""
        for ended in self._runs.pop_withdrawn(self._directory, now):
            if ended.has_broken_runs:
                self._report_end(ended)
            else:
                upstream = self._abandoned[ended.upstream]
                gevent.spawn(self._report_if_ended, ended, upstream, now)
        self._abandoned = {
            name: upstream
            for name, upstream in self._abandoned.items()
            if name in self._runs
        }
        self._probe_results = {
            name: each
            for name, each in self._probe_results.items()
            if now - each.at < _PROBE_INTERVAL
        }

    def _report_if_ended(
        self, ended: EndedUpstream, upstream: RegisteredUpstream, now: float
    ) -> None:
        """Report an upstream that was withdrawn after callers had left.

        Some upstreams are withdrawn as planned, without an announcement, and
        go on for a while. No broken connection tells that this one crashed.
        """
        restarted = any(
            each.registered_name == upstream.registered_name
            for each in self._directory.list_all()
        )
        if restarted or self._probe(upstream, now) is Presence.ENDED:
            self._report_end(ended)

    def _report_end(self, ended: EndedUpstream | None) -> None:
        if ended is None:
            return
        for run in ended.runs:
            UPSTREAM_ENDS.labels(ended.proof.value).inc()
            log_event(
                Event.UPSTREAM_ENDED,
                upstream=ended.upstream,
                proof=ended.proof.value,
                id=run.request,
                fingerprint=run.fingerprint,
                caller=run.caller,
                host_header=run.host_header,
                target=run.target,
                beside=len(ended.runs) - 1,
            )
        self._note_upstream_end(ended, read_clock())


def _describe_run(
    context: RequestContext, now: float, runs_until: float = float("-inf")
) -> BrokenRun:
    request = context.request
    return BrokenRun(
        context.fields.request,
        context.find_fingerprint(),
        now,
        request.caller,
        find_header(request.headers, "host") or "",
        request.target[:_MAX_TARGET_LENGTH],
        context.alone,
        runs_until,
    )
