"""Requests whose connection broke, until it is known what became of it.

A connection that ends without a whole answer looks alike for a process that
crashed, a full upstream that resets, a reset on the way, a garbled answer and
a pause of the own host. They differ in what follows: after a crash nobody
listens at the address, and a little later the registry drops the entry; after
all else the upstream goes on answering.
"""

import enum

import msgspec

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import RequestId
from sedgetide.core.membership.directory import UpstreamDirectory

# Seconds; an entry lapses after three heartbeats, 2.6 s at 0.87 s each, and
# twice that covers news that come late.
_OPEN_FOR = 6.0
# Requests kept for each upstream; it works on a few at a time, the rest waits
# in its queue.
_MOST_EACH = 32
_MOST_UPSTREAMS = 256


class LossProof(enum.Enum):
    """How it is known that an upstream has ended."""

    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


class BrokenRun(msgspec.Struct, frozen=True):
    """A request whose connection to an upstream broke.

    Parameters
    ----------
    request : RequestId
        Id of the attempt.
    fingerprint : Fingerprint
        What it and its repeats have in common.
    at : float
        When, by the own clock.
    caller : str
        Address that it came from.
    host_header, target : str
        What it asked for.
    alone : bool
        Whether no other grave suspect ran meanwhile.
    """

    request: RequestId
    fingerprint: Fingerprint
    at: float
    caller: str = ""
    host_header: str = ""
    target: str = ""
    alone: bool = False


class EndedUpstream(msgspec.Struct, frozen=True):
    """An upstream that ended, and what it was asked then.

    Parameters
    ----------
    upstream : IncarnationName
        Which start of which upstream.
    proof : LossProof
        How it is known.
    runs : tuple of BrokenRun
        What the own host had there.
    """

    upstream: IncarnationName
    proof: LossProof
    runs: tuple[BrokenRun, ...]

    @property
    def at(self) -> float:
        """When it ended, by the own clock."""
        return min(run.at for run in self.runs)


class BrokenRuns:
    """Broken requests of one host by upstream."""

    def __init__(self) -> None:
        self._open: dict[IncarnationName, list[BrokenRun]] = {}

    def note(self, upstream: IncarnationName, run: BrokenRun) -> None:
        """Take in that a request's connection broke."""
        if upstream not in self._open and len(self._open) >= _MOST_UPSTREAMS:
            del self._open[next(iter(self._open))]
        runs = self._open.setdefault(upstream, [])
        if len(runs) < _MOST_EACH:
            runs.append(run)

    def note_answer(self, upstream: IncarnationName, began: float) -> None:
        """Take in that an upstream has answered a request.

        It had not ended when the request was sent, so what broke before has
        another reason. An answer to an older request may have left right
        before the end.

        Parameters
        ----------
        upstream : IncarnationName
            Which start of which upstream.
        began : float
            When the request was sent, by the own clock.
        """
        if upstream not in self._open:
            return
        left = [run for run in self._open[upstream] if run.at >= began]
        if left:
            self._open[upstream] = left
        else:
            del self._open[upstream]

    def pop_ended(
        self, upstream: IncarnationName, proof: LossProof
    ) -> EndedUpstream | None:
        """Return what an upstream had that is known to have ended."""
        runs = self._open.pop(upstream, None)
        if not runs:
            return None
        return EndedUpstream(upstream, proof, tuple(runs))

    def pop_withdrawn(
        self, directory: UpstreamDirectory, now: float
    ) -> list[EndedUpstream]:
        """Return the upstreams that the registry has dropped meanwhile."""
        ended = []
        for name, runs in list(self._open.items()):
            if directory.find(name) is None:
                ended.append(self.pop_ended(name, LossProof.WITHDRAWN))
            elif now - runs[-1].at > _OPEN_FOR:
                del self._open[name]
        return ended
