"""Verdicts that requests wait for while another host decides."""

from gevent.event import Event as Signal

from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Verdict

# Seconds. The first verdict arrives within a round trip, 2 ms between data
# centres; a busy host needs some 20 ms more.
FIRST_VERDICT_TIMEOUT = 0.12


class PendingVerdict:
    """Future of another host's verdict on a request.

    A queued request gets two verdicts: ``QUEUED``, then the final one.

    Parameters
    ----------
    number : int
        Message number of this host, which verdicts refer to.
    link : LinkAddress
        Host that decides.

    Attributes
    ----------
    verdict : Verdict or None
        Latest verdict; None before the first.
    retry_after : float
        Seconds after which a refused caller should retry.
    service_time : float or None
        For a queued request that waits for a place until its final deadline:
        typical service time in seconds, as the lender knows it.
    promised : bool
        Whether the lender of a place counts on the return of the refused
        caller after ``retry_after``.
    alone : bool
        For a trial: whether no other strong suspect runs at the same time.
    """

    def __init__(self, number: int, link: LinkAddress) -> None:
        self.number = number
        self.link = link
        self.verdict: Verdict | None = None
        self.retry_after = 0.0
        self.service_time: float | None = None
        self.promised = False
        self.alone = False
        self._first_event = Signal()
        self._final_event = Signal()

    def set_verdict(self, verdict: Verdict, retry_after: float) -> None:
        """Set the verdict; ``QUEUED`` is followed by a final one."""
        self.verdict = verdict
        self.retry_after = retry_after
        self._first_event.set()
        if verdict is not Verdict.QUEUED:
            self._final_event.set()

    def wait_first_verdict(
        self, seconds: float = FIRST_VERDICT_TIMEOUT
    ) -> Verdict | None:
        """Return the first verdict; None when none arrived in time."""
        self._first_event.wait(max(0.0, seconds))
        return self.verdict

    def wait_decided(self, seconds: float) -> bool:
        """Wait for the final verdict; return whether it has arrived."""
        return self._final_event.wait(max(0.0, seconds))

    def wait_final_verdict(self, left: float) -> Verdict:
        """Return the final verdict on a queued request.

        ``REFUSED`` when none arrived in time.

        Parameters
        ----------
        left : float
            Seconds for which it may wait.
        """
        self._final_event.wait(max(0.0, left))
        if self.verdict is Verdict.QUEUED:
            return Verdict.REFUSED
        return self.verdict
