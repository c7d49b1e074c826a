"""Questions to another host, whose answer a request waits for."""

from gevent.event import Event as Signal

from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Verdict

# Seconds for the first word. It comes within a round trip, 2 ms between data
# centres; a busy host needs some 20 ms more.
_WORD = 0.12


class PendingVerdict:
    """A request that waits for another host's words.

    Parameters
    ----------
    number : int
        The own host's; pairs the words with the question.
    link : LinkAddress
        Who is asked.

    Attributes
    ----------
    verdict : Verdict or None
        Last word; None until one was heard.
    retry_after : float
        Seconds after which a refused caller does well to come again.
    alone : bool
        Of a trial: whether no other grave suspect runs meanwhile.
    """

    def __init__(self, number: int, link: LinkAddress) -> None:
        self.number = number
        self.link = link
        self.verdict: Verdict | None = None
        self.retry_after = 0.0
        self.alone = False
        self._heard = Signal()
        self._settled = Signal()

    def take(self, verdict: Verdict, retry_after: float) -> None:
        """Take in a word; a queued request gets a second one."""
        self.verdict = verdict
        self.retry_after = retry_after
        self._heard.set()
        if verdict is not Verdict.QUEUED:
            self._settled.set()

    def wait_first(self) -> Verdict | None:
        """Return the first word; None when nothing was said in time."""
        self._heard.wait(_WORD)
        return self.verdict

    def wait_last(self, left: float) -> Verdict:
        """Return what became of a queued request; refused when nothing did.

        Parameters
        ----------
        left : float
            Seconds for which it may wait.
        """
        self._settled.wait(left)
        if self.verdict is Verdict.QUEUED:
            return Verdict.REFUSED
        return self.verdict
