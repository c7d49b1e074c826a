"""Attribution of broken connections to the crash of an upstream.

A connection that ends without a complete answer looks the same whether the
process crashed, an overloaded upstream reset it, it was reset on the way, the
answer was garbled, or the local host was paused. The causes differ in what
follows: after a crash nothing listens at the address, and a little later the
registry drops the entry; in all other cases the upstream keeps answering.

A host also closes the connection itself when the caller leaves. Most upstreams
drop the request then; others go on with it until its deadline and may crash
on it later.
"""

import enum

import msgspec

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import RequestId
from sedgetide.core.membership.directory import UpstreamDirectory

# A registry entry expires after three heartbeats, which is 2.6 s at 0.87 s
# each; twice that allows for delayed updates.
_PENDING_SECONDS = 6.0
# Attempts kept per upstream, which runs only a few requests at a time and
# queues the others.
_MAX_PER_UPSTREAM = 32
_MAX_UPSTREAMS = 256


class LossProof(enum.Enum):
    """Evidence that an upstream has ended."""

    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class BrokenRun(msgspec.Struct, frozen=True):
    """An attempt whose connection to an upstream broke, or was closed.

    Parameters
    ----------
    request : RequestId
        Id of the attempt.
    fingerprint : Fingerprint
        Fingerprint shared by the request and its repetitions.
    at : float
        Monotonic time at which the connection broke or was closed.
    caller : str
        Address of the caller.
    host_header, target : str
        Host header and target of the request.
    alone : bool
        Whether no other strong suspect ran at the same time.
    runs_until : float
        Monotonic time until which the upstream may go on with it, for one
        whose caller has left; minus infinity if the connection broke.
    """

    request: RequestId
    fingerprint: Fingerprint
    at: float
    caller: str = ""
    host_header: str = ""
    target: str = ""
    alone: bool = False
    runs_until: float = float("-inf")

    @property
    def is_abandoned(self) -> bool:
        """Whether its caller left before the upstream showed a failure."""
        return self.runs_until > float("-inf")

    @property
    def ended_by(self) -> float:
        """Monotonic time from which on it runs no longer."""
        return max(self.at, self.runs_until)


class EndedUpstream(msgspec.Struct, frozen=True):
    """An upstream that ended, and the requests it was running.

    Parameters
    ----------
    upstream : IncarnationName
        Incarnation that ended.
    proof : LossProof
        Evidence of the end.
    runs : tuple of BrokenRun
        Attempts of this host that were interrupted.
    """

    upstream: IncarnationName
    proof: LossProof
    runs: tuple[BrokenRun, ...]

    @property
    def at(self) -> float:
        """Monotonic time at which it ended, or shortly before."""
        broken = [run.at for run in self.runs if not run.is_abandoned]
        return min(broken) if broken else max(run.at for run in self.runs)

    @property
    def has_broken_runs(self) -> bool:
        """Whether a connection broke, which its end explains."""
        return not all(run.is_abandoned for run in self.runs)


class BrokenRuns:
    """Interrupted attempts of one host, by upstream."""

    def __init__(self) -> None:
        self._pending: dict[IncarnationName, list[BrokenRun]] = {}

    def __contains__(self, upstream: IncarnationName) -> bool:
        return upstream in self._pending

    def note(self, upstream: IncarnationName, run: BrokenRun) -> None:
        """Record that the connection of an attempt broke or was closed."""
        if (
            upstream not in self._pending
            and len(self._pending) >= _MAX_UPSTREAMS
        ):
            del self._pending[next(iter(self._pending))]
        runs = self._pending.setdefault(upstream, [])
        if len(runs) >= _MAX_PER_UPSTREAM:
            _drop_abandoned(runs)
        if len(runs) < _MAX_PER_UPSTREAM:
            runs.append(run)

    def note_answer(self, upstream: IncarnationName, began: float) -> None:
        """Record that an upstream has answered a request.

        It was still running when that request was sent, so connections that
        broke earlier have another cause. The answer to a request sent before
        the break proves nothing: it may have left right before the end. Nor
        does any while the upstream may go on with the request of a caller
        that has left.

        Parameters
        ----------
        upstream : IncarnationName
            Incarnation that answered.
        began : float
            Monotonic time at which the request was sent.
        """
        if upstream not in self._pending:
            return
        left = [
            run for run in self._pending[upstream] if run.ended_by >= began
        ]
        if left:
            self._pending[upstream] = left
        else:
            del self._pending[upstream]

    def pop_ended(
        self, upstream: IncarnationName, proof: LossProof
    ) -> EndedUpstream | None:
        """Remove and return the attempts of an upstream that has ended."""
        runs = self._pending.pop(upstream, None)
        if not runs:
            return None
        ended = EndedUpstream(upstream, proof, tuple(runs))
        still_running = tuple(
            run
            for run in runs
            if not run.is_abandoned or run.ended_by >= ended.at
        )
        return msgspec.structs.replace(ended, runs=still_running)

    def pop_withdrawn(
        self, directory: UpstreamDirectory, now: float
    ) -> list[EndedUpstream]:
        """Remove and return the upstreams that the registry has dropped.

        Runs of callers that have left are forgotten when the upstream says
        that it leaves: their connections would have been closed in any case.
        """
        ended = []
        for name, runs in list(self._pending.items()):
            if directory.find(name) is None:
                ended.append(self.pop_ended(name, LossProof.WITHDRAWN))
                continue
            leaving = directory.is_leaving(name)
            left = [
                run
                for run in runs
                if now - run.ended_by <= _PENDING_SECONDS
                and not (leaving and run.is_abandoned)
            ]
            if left:
                self._pending[name] = left
            else:
                del self._pending[name]
        return ended


def _drop_abandoned(runs: list[BrokenRun]) -> None:
    """Remove the oldest run of a caller that has left, if there is one."""
    for place, run in enumerate(runs):
        if run.is_abandoned:
            del runs[place]
            return
