"""Determines whether a broken connection means that the upstream crashed."""

from collections.abc import Callable

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.requests.brokenruns import BrokenRun
from sedgetide.core.requests.brokenruns import BrokenRuns
from sedgetide.core.requests.brokenruns import EndedUpstream
from sedgetide.core.requests.brokenruns import LossProof
from sedgetide.daemons._hostmetrics import UPSTREAM_ENDS
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
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        note_upstream_end: Callable[[EndedUpstream, float], None],
    ) -> None:
        self._directory = directory
        self._note_upstream_end = note_upstream_end
        self._runs = BrokenRuns()
        self._probe_results: dict[IncarnationName, _ProbeResult] = {}

    def note_broken(
        self, context: RequestContext, upstream: RegisteredUpstream
    ) -> None:
        """Probe an upstream after a connection to it broke.

        The end of an upstream that has announced it is not a crash.
        """
        now = read_clock()
        if self._directory.is_leaving(upstream.name):
            return
        self._runs.note(upstream.name, _describe_run(context, now))
        if self._probe(upstream, now) is Presence.ENDED:
            self._report_end(
                self._runs.pop_ended(upstream.name, LossProof.REFUSED)
            )

    def _probe(self, upstream: RegisteredUpstream, now: float) -> Presence:
        last = self._probe_results.get(upstream.name)
        if last is not None and now - last.at < _PROBE_INTERVAL:
            return last.presence
        presence = probe(upstream.address, _PROBE_TIMEOUT)
        self._probe_results[upstream.name] = _ProbeResult(now, presence)
        return presence

    def note_answer(self, upstream: IncarnationName, began: float) -> None:
        """Record that an upstream answered a request sent at ``began``."""
        self._runs.note_answer(upstream, began)

    def run_periodic(self, now: float) -> None:
        """Report broken upstreams whose registry entries have disappeared."""
        for ended in self._runs.pop_withdrawn(self._directory, now):
            self._report_end(ended)
        self._probe_results = {
            name: each
            for name, each in self._probe_results.items()
            if now - each.at < _PROBE_INTERVAL
        }

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


def _describe_run(context: RequestContext, now: float) -> BrokenRun:
    request = context.request
    return BrokenRun(
        context.fields.request,
        context.find_fingerprint(),
        now,
        request.caller,
        find_header(request.headers, "host") or "",
        request.target[:_MAX_TARGET_LENGTH],
        context.alone,
    )
