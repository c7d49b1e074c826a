"""Trials: runs of suspect requests, one copy at a time across all hosts.

A request is suspect when upstreams have ended while running it. The leader's
host grants the trials for all hosts. While no leader is known, or it does not
reply, suspects are refused: hosts that do not learn of each other's runs would
each send a copy.
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
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.stages import Stage
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

# Retry-After in seconds while no leader replies. A lost leader is replaced
# within a few seconds.
_UNANSWERED_RETRY_DELAY = 1.0
# Seconds for which a leader that did not reply is not asked again. A killed
# host may be back before another one is elected.
_SILENT_PERIOD = 0.3
_MAX_FIRST_NUMBER = 2**30


class Trial:
    """Permission to run one copy of a suspect request.

    A request that is not suspect needs none.

    Parameters
    ----------
    trials : Trials
        Asks the leader for it.
    context : RequestContext
        The request.
    """

    def __init__(self, trials: "Trials", context: RequestContext) -> None:
        self._trials = trials
        self._context = context
        self._pending_verdict: PendingVerdict | None = None
        self._verdict: Verdict | None = None
        self._end = TrialEnd.NOT_RUN

    def ask(self) -> Verdict:
        """Return the verdict on the request; ask for it if necessary."""
        if self._verdict is not None:
            return self._verdict
        if not self._trials.is_suspect(self._context):
            return Verdict.NEEDLESS
        self._pending_verdict = self._trials.ask(self._context)
        verdict = None
        if self._pending_verdict is not None:
            with self._context.wait_for(Stage.TRIAL):
                verdict = self._pending_verdict.wait_first_verdict()
            if verdict is None:
                self._trials.note_silent(self._pending_verdict.link)
        if verdict is None:
            self._context.retry_after = _UNANSWERED_RETRY_DELAY
        self._apply(verdict or Verdict.REFUSED)
        return self._verdict

    def wait(self) -> bool:
        """Wait for the final verdict; return False when it is a refusal."""
        seconds = self._context.times.find_useful_time(read_clock())
        with self._context.wait_for(Stage.TRIAL):
            verdict = self._pending_verdict.wait_final_verdict(seconds)
        self._apply(verdict)
        return self._verdict is not Verdict.REFUSED

    def _apply(self, verdict: Verdict) -> None:
        self._verdict = verdict
        if verdict is Verdict.REFUSED:
            self._context.refusal = Refusal(RefusalReason.ON_TRIAL)
            if (
                self._pending_verdict is not None
                and self._pending_verdict.retry_after
            ):
                self._context.retry_after = self._pending_verdict.retry_after

    def mark_sending(self) -> None:
        """Record that the request is about to be sent."""
        self._end = TrialEnd.BROKEN
        pending = self._pending_verdict
        self._context.alone = pending is not None and pending.alone

    def mark_not_sent(self) -> None:
        """Record that the request was not sent after all."""
        self._end = TrialEnd.NOT_RUN

    def note_result(self, failure: Failure) -> None:
        """Record the result of the run."""
        if failure is Failure.NONE:
            self._end = TrialEnd.WELL
        elif failure in NOT_RUN_FAILURES or failure is Failure.FAILED:
            # An upstream that reports a failure is still running.
            self._end = TrialEnd.NOT_RUN

    def release(self) -> None:
        """End the trial, so that the next copy may run."""
        pending, self._pending_verdict = self._pending_verdict, None
        if pending is not None:
            self._trials.close(self._context, pending, self._end)


class Trials:
    """Asks for trials of a host's requests, and grants them as the leader.

    Parameters
    ----------
    link : LinkAddress
        Link address of this host.
    quarantine : SharedQuarantine
        Lists the suspects.
    find_leader_link : callable
        Returns the link address of the leader; None when unknown.
    send : callable
        Sends a message to a host.
    rng : random.Random
        Chooses the first message number, since the leader may still know
        numbers from an earlier run of this host.
    """

    def __init__(
        self,
        link: LinkAddress,
        quarantine: SharedQuarantine,
        find_leader_link: Callable[[], LinkAddress | None],
        send: Callable[[LinkAddress, Message], None],
        rng: random.Random,
    ) -> None:
        self._link = link
        self._quarantine = quarantine
        self._find_leader_link = find_leader_link
        self._send = send
        self._numbers = itertools.count(rng.randrange(_MAX_FIRST_NUMBER))
        self._pending: dict[int, PendingVerdict] = {}
        self._silent_until: dict[LinkAddress, float] = {}
        self._scheduler = TrialScheduler()

    @contextlib.contextmanager
    def open(self, context: RequestContext) -> Iterator[Trial]:
        """Return a context manager that ends the trial of a request."""
        trial = Trial(self, context)
        try:
            yield trial
        finally:
            trial.release()

    def is_suspect(self, context: RequestContext) -> bool:
        """Return whether a request may only run as a trial."""
        return self._quarantine.is_suspect(context)

    def ask(self, context: RequestContext) -> PendingVerdict | None:
        """Ask the leader for a trial; None when no leader can be asked."""
        link = self._find_leader_link()
        now = read_clock()
        if link is None or now < self._silent_until.get(link, now):
            return None
        number = next(self._numbers)
        pending = self._pending[number] = PendingVerdict(number, link)
        remaining = round(max(0.0, context.times.final - now), 3)
        fingerprint = context.find_fingerprint()
        strong = self._quarantine.is_strong_suspect(fingerprint)
        self._deliver(
            link,
            AskTrial(number, fingerprint, remaining, context.service, strong),
        )
        return pending

    def note_silent(self, link: LinkAddress) -> None:
        """Record that a host did not reply in time."""
        self._silent_until = {link: read_clock() + _SILENT_PERIOD}

    def close(
        self, context: RequestContext, pending: PendingVerdict, end: TrialEnd
    ) -> None:
        """Report the end of a trial, also of one that was not granted."""
        del self._pending[pending.number]
        verdict = pending.verdict
        TRIALS.labels("silent" if verdict is None else verdict.value).inc()
        if verdict is Verdict.GRANTED and end is not TrialEnd.NOT_RUN:
            log_event(
                Event.TRIAL,
                id=context.fields.request,
                fingerprint=context.find_fingerprint(),
                end=end.value,
            )
        if verdict not in (Verdict.REFUSED, Verdict.NEEDLESS):
            self._deliver(pending.link, EndTrial(pending.number, end))

    def _deliver(
        self, link: LinkAddress, message: AskTrial | EndTrial
    ) -> None:
        if link == self._link:
            self.handle_message(message, link)
        else:
            self._send(link, message)

    def handle_message(
        self, message: AskTrial | EndTrial | TrialVerdict, sender: LinkAddress
    ) -> None:
        """Handle a message about a trial."""
        now = read_clock()
        if isinstance(message, TrialVerdict):
            pending = self._pending.get(message.number)
            if pending is not None:
                pending.set_verdict(message.verdict, message.retry_after)
                pending.alone = message.alone
            return
        ticket = Ticket(sender, message.number)
        if isinstance(message, AskTrial):
            decisions = self._scheduler.ask(
                ticket,
                message.fingerprint,
                message.left,
                now,
                self._find_exclusive_service(message),
            )
        else:
            if message.end is TrialEnd.WELL:
                fingerprint = self._scheduler.find_fingerprint(ticket)
                if fingerprint is not None:
                    self._quarantine.clear(fingerprint, now)
            decisions = self._scheduler.end(ticket, message.end, now)
        self._deliver_decisions(decisions)

    def _find_exclusive_service(self, message: AskTrial) -> ServiceName | None:
        """Return the service in which no other strong suspect may run.

        None if the request is not a strong suspect.
        """
        # Either host may know of a loss that the other has not heard of.
        strong = self._quarantine.is_strong_suspect(message.fingerprint)
        return message.service if message.strong_suspect or strong else None

    def run_periodic(self, now: float) -> None:
        """End the trials of lost hosts."""
        self._deliver_decisions(self._scheduler.expire(now))

    def _deliver_decisions(self, decisions: list[TrialDecision]) -> None:
        for each in decisions:
            reply = TrialVerdict(
                each.ticket.number,
                each.verdict,
                each.retry_after,
                each.alone,
            )
            if each.ticket.holder == self._link:
                self.handle_message(reply, self._link)
            else:
                self._send(each.ticket.holder, reply)
