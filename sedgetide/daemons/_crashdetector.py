"""Finds out whether an upstream ended under a request that broke."""

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

# Seconds; a refusal comes within two milliseconds from another data centre.
# A host that is dark answers nothing, and the registry tells of it later.
_PROBE_TIMEOUT = 0.05
# Seconds; a full upstream resets many requests at once, and each probe is one
# more connection that it has to turn away.
_PROBE_EVERY = 0.1
# Characters of a target in a line of the log.
_LONGEST_TARGET = 200


class _Probed(msgspec.Struct):
    at: float
    presence: Presence


class CrashDetector:
    """Tells a crash from other reasons for a broken connection.

    Parameters
    ----------
    directory : UpstreamDirectory
        Upstreams as the registry shows them.
    note_upstream_end : callable
        Called with each upstream that ended, and the time.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        note_upstream_end: Callable[[EndedUpstream, float], None],
    ) -> None:
        self._directory = directory
        self._note_upstream_end = note_upstream_end
        self._runs = BrokenRuns()
        self._probed: dict[IncarnationName, _Probed] = {}

    def note_broken(
        self, job: RequestContext, upstream: RegisteredUpstream
    ) -> None:
        """Find out what became of an upstream that broke off.

        An upstream that has announced its end is no crash.
        """
        now = read_clock()
        if self._directory.is_leaving(upstream.name):
            return
        self._runs.note(upstream.name, _describe(job, now))
        if self._probe(upstream, now) is Presence.ENDED:
            self._conclude(
                self._runs.pop_ended(upstream.name, LossProof.REFUSED)
            )

    def _probe(self, upstream: RegisteredUpstream, now: float) -> Presence:
        last = self._probed.get(upstream.name)
        if last is not None and now - last.at < _PROBE_EVERY:
            return last.presence
        presence = probe(upstream.address, _PROBE_TIMEOUT)
        self._probed[upstream.name] = _Probed(now, presence)
        return presence

    def note_answer(self, upstream: IncarnationName, began: float) -> None:
        """Take in that an upstream answered a request sent at a time."""
        self._runs.note_answer(upstream, began)

    def run_periodic(self, now: float) -> None:
        """Look for upstreams that the registry has dropped meanwhile."""
        for ended in self._runs.pop_withdrawn(self._directory, now):
            self._conclude(ended)
        self._probed = {
            name: each
            for name, each in self._probed.items()
            if now - each.at < _PROBE_EVERY
        }

    def _conclude(self, ended: EndedUpstream | None) -> None:
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


def _describe(job: RequestContext, now: float) -> BrokenRun:
    request = job.request
    return BrokenRun(
        job.fields.request,
        job.find_fingerprint(),
        now,
        request.caller,
        find_header(request.headers, "host") or "",
        request.target[:_LONGEST_TARGET],
        job.alone,
    )
