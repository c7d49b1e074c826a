"""Log line, counter and state of reads of answers that were cut."""

from prometheus_client import Counter

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.requests.cutreads import CutReads
from sedgetide.core.requests.readlimits import ReadBound
from sedgetide.core.requests.readlimits import ReadBudget
from sedgetide.core.requests.readlimits import ReadCut
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

READS_CUT = Counter(
    "sedgetide_reads_cut",
    "Answers that were read up to a limit and not to their end, by limit.",
    ["bound"],
)
# Of this process, as its metrics are.
_cut_reads = CutReads()


def make_cut_error(
    peer: str, budget: ReadBudget, cut: ReadCut
) -> UpstreamError:
    """Count a read that was cut, and return the error to raise.

    It is logged unless a line of this peer and limit is recent.

    Parameters
    ----------
    peer : str
        ``IP:port`` of the process that answered.
    budget : ReadBudget
        Limits of the read.
    cut : ReadCut
        The limit that was exceeded.
    """
    READS_CUT.labels(cut.bound.value).inc()
    times = _cut_reads.note(peer, cut.bound, read_clock())
    if times:
        log_event(
            Event.READ_CUT,
            peer=peer,
            bound=cut.bound.value,
            received=budget.received,
            times=times,
            problem=cut,
        )
    is_late = cut.bound is ReadBound.TIME
    code = ErrorCode.UPSTREAM_SILENT if is_late else ErrorCode.BAD_ANSWER
    return UpstreamError(
        code, Step.ANSWER, peer, str(cut), sent=True, cut=True
    )


def make_timeout_error(
    peer: str, budget: ReadBudget, timeout: float
) -> UpstreamError:
    """Return the error of an exchange that took longer than allowed.

    Parameters
    ----------
    timeout : float
        Seconds that were allowed.
    """
    if budget.received:
        return make_cut_error(peer, budget, budget.make_time_cut())
    return UpstreamError(
        ErrorCode.UPSTREAM_SILENT,
        Step.ANSWER,
        peer,
        f"no response in {timeout:.3f} s",
        sent=True,
    )


def dump_cut_reads() -> dict[str, dict[str, int]]:
    """Return the numbers of cut reads by peer and bound."""
    return _cut_reads.dump_state()
