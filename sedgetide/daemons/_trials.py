"""Runs of requests under which upstreams have ended, one at a time.

The leader's host grants them for all. While nobody knows a leader, or it does
not answer, such a request is refused: hosts that can't hear of each other's
runs would each send a copy of it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import random

from sedgetide.coding.messages import AskTrial
from sedgetide.coding.messages import EndTrial
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import TrialVerdict
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.attempts import NOT_RUN_FAILURES
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.trials import TrialDecision
from sedgetide.core.requests.trials import TrialEnd
from sedgetide.core.requests.trials import TrialScheduler
from sedgetide.daemons._hostmetrics import TRIALS
from sedgetide.daemons._pendingverdict import PendingVerdict
from sedgetide.daemons._quarantine import SharedQuarantine
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds after which a caller does well to come again while nobody can be
# asked: a lost leader has a successor within a few.
_UNANSWERED = 1.0
# Seconds for which a leader without a word is not asked. A killed one may be
# back before it has a successor.
_SILENT_FOR = 0.3
_NUMBERS = 2**30


class Trial:
    """Leave to send one request; needs none while nothing speaks against it.

    Parameters
    ----------
    trials : Trials
        Asks for it.
    job : RequestContext
        The request.
    """

    def __init__(self, trials: "Trials", job: RequestContext) -> None:
        self._trials = trials
        self._job = job
        self._question: PendingVerdict | None = None
        self._verdict: Verdict | None = None
        self._end = TrialEnd.NOT_RUN

    def ask(self) -> Verdict:
        """Return whether the request may be sent; ask if that is open."""
        if self._verdict is not None:
            return self._verdict
        if not self._trials.is_suspect(self._job):
            return Verdict.NEEDLESS
        self._question = self._trials.ask(self._job)
        found = None
        if self._question is not None:
            found = self._question.wait_first()
            if found is None:
                self._trials.note_silent(self._question.link)
        if found is None:
            self._job.retry_after = _UNANSWERED
        self._note(found or Verdict.REFUSED)
        return self._verdict

    def wait(self) -> bool:
        """Wait for a queued request's turn; return whether it came."""
        patience = self._job.times.find_useful_time(read_clock())
        self._note(self._question.wait_last(patience))
        return self._verdict is not Verdict.REFUSED

    def _note(self, verdict: Verdict) -> None:
        self._verdict = verdict
        if verdict is Verdict.REFUSED:
            self._job.note = "on trial"
            if self._question is not None and self._question.retry_after:
                self._job.retry_after = self._question.retry_after

    def begin(self) -> None:
        """Take in that the request is about to be sent."""
        self._end = TrialEnd.BROKEN
        question = self._question
        self._job.alone = question is not None and question.alone

    def withdraw(self) -> None:
        """Take in that the request was not sent after all."""
        self._end = TrialEnd.NOT_RUN

    def note(self, failure: Failure) -> None:
        """Take in what came back."""
        if failure is Failure.NONE:
            self._end = TrialEnd.WELL
        elif failure in NOT_RUN_FAILURES or failure is Failure.FAILED:
            # After a failure of its own the upstream is still there.
            self._end = TrialEnd.NOT_RUN

    def leave(self) -> None:
        """Let the next copy run."""
        question, self._question = self._question, None
        if question is not None:
            self._trials.close(self._job, question, self._end)


class Trials:
    """One host's trials: it asks for them, and grants them if it leads.

    Parameters
    ----------
    link : LinkAddress
        Own link address.
    quarantine : SharedQuarantine
        Names the suspects.
    find_leader_link : callable
        Returns who is asked; None when unknown.
    send : callable
        Sends a message to a host.
    source : random.Random
        Where numbers begin: those of an earlier start of this host may
        still be known to the leader.
    """

    def __init__(
        self,
        link: LinkAddress,
        quarantine: SharedQuarantine,
        find_leader_link: Callable[[], LinkAddress | None],
        send: Callable[[LinkAddress, Message], None],
        source: random.Random,
    ) -> None:
        self._link = link
        self._quarantine = quarantine
        self._find_leader_link = find_leader_link
        self._send = send
        self._numbers = itertools.count(source.randrange(_NUMBERS))
        self._pending: dict[int, PendingVerdict] = {}
        self._silent_until: dict[LinkAddress, float] = {}
        self._desk = TrialScheduler()

    @contextlib.contextmanager
    def open(self, job: RequestContext) -> Iterator[Trial]:
        """Own the trial of a request until it has been sent."""
        trial = Trial(self, job)
        try:
            yield trial
        finally:
            trial.leave()

    def is_suspect(self, job: RequestContext) -> bool:
        """Tell whether a request may run on trial only."""
        return self._quarantine.is_suspect(job)

    def ask(self, job: RequestContext) -> PendingVerdict | None:
        """Ask for leave to run a request; None when nobody can be asked."""
        link = self._find_leader_link()
        now = read_clock()
        if link is None or now < self._silent_until.get(link, now):
            return None
        number = next(self._numbers)
        question = self._pending[number] = PendingVerdict(number, link)
        left = round(max(0.0, job.times.final - now), 3)
        fingerprint = job.find_fingerprint()
        grave = self._quarantine.is_strong_suspect(fingerprint)
        self._tell(
            link, AskTrial(number, fingerprint, left, job.service, grave)
        )
        return question

    def note_silent(self, link: LinkAddress) -> None:
        """Take in that a host said nothing in time."""
        self._silent_until = {link: read_clock() + _SILENT_FOR}

    def close(
        self, job: RequestContext, question: PendingVerdict, end: TrialEnd
    ) -> None:
        """Tell what became of a run, also of one that was never granted."""
        del self._pending[question.number]
        verdict = question.verdict
        TRIALS.labels("silent" if verdict is None else verdict.value).inc()
        if verdict is Verdict.GRANTED and end is not TrialEnd.NOT_RUN:
            log_event(
                Event.TRIAL,
                id=job.fields.request,
                fingerprint=job.find_fingerprint(),
                end=end.value,
            )
        if verdict not in (Verdict.REFUSED, Verdict.NEEDLESS):
            self._tell(question.link, EndTrial(question.number, end))

    def _tell(self, link: LinkAddress, message: AskTrial | EndTrial) -> None:
        if link == self._link:
            self.take(message, link)
        else:
            self._send(link, message)

    def take(
        self, message: AskTrial | EndTrial | TrialVerdict, sender: LinkAddress
    ) -> None:
        """Take in a message about a trial."""
        now = read_clock()
        if isinstance(message, TrialVerdict):
            question = self._pending.get(message.number)
            if question is not None:
                question.take(message.verdict, message.retry_after)
                question.alone = message.alone
            return
        ticket = Ticket(sender, message.number)
        if isinstance(message, AskTrial):
            decisions = self._desk.ask(
                ticket,
                message.fingerprint,
                message.left,
                now,
                self._find_alone(message),
            )
        else:
            if message.end is TrialEnd.WELL:
                fingerprint = self._desk.find_fingerprint(ticket)
                if fingerprint is not None:
                    self._quarantine.clear(fingerprint, now)
            decisions = self._desk.end(ticket, message.end, now)
        self._announce(decisions)

    def _find_alone(self, message: AskTrial) -> ServiceName | None:
        """Return where a request has to run without other grave suspects."""
        # Either of the two hosts may know of a loss more.
        grave = self._quarantine.is_strong_suspect(message.fingerprint)
        return message.service if message.grave or grave else None

    def run_periodic(self, now: float) -> None:
        """End the runs of hosts that were lost."""
        self._announce(self._desk.expire(now))

    def _announce(self, decisions: list[TrialDecision]) -> None:
        for each in decisions:
            word = TrialVerdict(
                each.ticket.number,
                each.verdict,
                each.retry_after,
                each.alone,
            )
            if each.ticket.holder == self._link:
                self.take(word, self._link)
            else:
                self._send(each.ticket.holder, word)
