"""Trials: runs of suspected requests, one at a time over all hosts.

A suspect is a request that was running when an upstream crashed; see
quarantine.py. This guards against many copies of a crashing request in
progress at all hosts. Each copy that runs is another crash, which also ends
all other copies and requests that the upstream is running. Therefore, from the
first loss on, one host allows one copy to run and makes the others wait. An
innocent request succeeds and is unrestricted after one run; a crashing one
costs a single run per upstream.

Requests that run beside a crashing one become suspects as well. Once several
requests of a service have two losses each, they run one after the other, so
that the next loss can be attributed to one of them.

The reported outcome of a request does not depend on this. The loss of a
scheduler, or two that allow a copy to run at the same moment, cost one more
run.
"""

import collections
from collections.abc import Iterable
import enum

import msgspec

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict

# Seconds after a broken run for which no other copy runs. All hosts have
# learnt of the loss by then.
_SETTLE_SECONDS = 1.0
# Seconds after the deadline of its request after which a silent holder is
# considered lost.
_HOLDER_GRACE = 0.5
# Requests that wait for the end of one run. Their hosts give up within a
# second; this limits memory.
_MAX_WAITING = 200
# Fingerprints; as many as the losses of the quarantine may contain.
_MAX_SUSPECTS = 4096


class TrialEnd(enum.Enum):
    """How a run ended."""

    WELL = "well"
    NOT_RUN = "not-run"
    BROKEN = "broken"


class TrialDecision(msgspec.Struct, frozen=True):
    """Decision on a request for permission to run.

    Parameters
    ----------
    ticket : Ticket
        Request that is decided on.
    verdict : Verdict
        Response to its host.
    retry_after : float
        Seconds after which a refused caller should retry.
    alone : bool
        Whether no other strong suspect of its service runs meanwhile.
    """

    ticket: Ticket
    verdict: Verdict
    retry_after: float = 0.0
    alone: bool = False


class _Waiting(msgspec.Struct):
    ticket: Ticket
    left: float
    alone: ServiceName | None


class _Suspect:
    """A suspected request: its current run and the copies that wait."""

    def __init__(self) -> None:
        self.holder: Ticket | None = None
        # With a holder, when it is considered lost; without one, until when
        # no copy may run.
        self.until = float("-inf")
        # Service in which no other strong suspect may run beside the holder.
        self.alone: ServiceName | None = None
        self.waiting: collections.deque[_Waiting] = collections.deque()

    def can_run(self, now: float) -> bool:
        """Return whether a copy may run."""
        return self.holder is None and now >= self.until

    def grant_first(self, now: float) -> TrialDecision:
        """Allow the copy that has waited longest to run."""
        first = self.waiting.popleft()
        self.holder = first.ticket
        self.until = now + first.left + _HOLDER_GRACE
        self.alone = first.alone
        alone = first.alone is not None
        return TrialDecision(first.ticket, Verdict.GRANTED, alone=alone)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting copy."""
        self.waiting = collections.deque(
            each for each in self.waiting if each.ticket != ticket
        )

    def finish(self, end: TrialEnd, now: float) -> list[TrialDecision]:
        """End the run and decide on the waiting copies."""
        self.holder = None
        self.alone = None
        self.until = now
        if end is TrialEnd.NOT_RUN:
            return []
        verdict, wait = Verdict.NEEDLESS, 0.0
        if end is TrialEnd.BROKEN:
            verdict, wait = Verdict.REFUSED, _SETTLE_SECONDS
            self.until = now + _SETTLE_SECONDS
        waiting, self.waiting = self.waiting, collections.deque()
        return [TrialDecision(each.ticket, verdict, wait) for each in waiting]


class TrialScheduler:
    """Schedules the runs of suspects one at a time for all hosts."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._asked: dict[Ticket, Fingerprint] = {}
        # Services in which a strong suspect runs.
        self._busy_services: set[ServiceName] = set()

    def ask(
        self,
        ticket: Ticket,
        fingerprint: Fingerprint,
        left: float,
        now: float,
        alone: ServiceName | None = None,
    ) -> list[TrialDecision]:
        """Handle the request of a host to run a suspect.

        Parameters
        ----------
        ticket : Ticket
            Request that needs permission.
        fingerprint : Fingerprint
            Fingerprint of the request.
        left : float
            Seconds until the caller gets a final answer at the latest.
        now : float
            Current monotonic time in seconds.
        alone : ServiceName or None
            For a strong suspect, its service, in which no other strong
            suspect may run beside it.

        Returns
        -------
        list of TrialDecision
            Decisions on this ticket and on others that it affects.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= _MAX_SUSPECTS:
                return [
                    TrialDecision(ticket, Verdict.REFUSED, _SETTLE_SECONDS)
                ]
            suspect = self._suspects[fingerprint] = _Suspect()
        settling = suspect.holder is None and now < suspect.until
        if settling or len(suspect.waiting) >= _MAX_WAITING:
            return [TrialDecision(ticket, Verdict.REFUSED, _SETTLE_SECONDS)]
        self._asked[ticket] = fingerprint
        suspect.waiting.append(_Waiting(ticket, left, alone))
        decisions = self._admit([suspect], now)
        if all(each.ticket != ticket for each in decisions):
            decisions.append(TrialDecision(ticket, Verdict.QUEUED))
        return decisions

    def end(
        self, ticket: Ticket, end: TrialEnd, now: float
    ) -> list[TrialDecision]:
        """Handle the end of a run, or of the wait for one.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the request; unknown ones are ignored.
        end : TrialEnd
            How the run ended.
        now : float
            Current monotonic time in seconds.
        """
        fingerprint = self._asked.pop(ticket, None)
        if fingerprint is None:
            return []
        suspect = self._suspects[fingerprint]
        if ticket != suspect.holder:
            suspect.withdraw(ticket)
            return self._admit([suspect], now)
        freed = suspect.alone
        decisions = suspect.finish(end, now)
        for each in decisions:
            del self._asked[each.ticket]
        if freed is None:
            return decisions + self._admit([suspect], now)
        self._busy_services.discard(freed)
        return decisions + self._admit(self._suspects.values(), now)

    def find_fingerprint(self, ticket: Ticket) -> Fingerprint | None:
        """Return the fingerprint of the request of a ticket."""
        return self._asked.get(ticket)

    def expire(self, now: float) -> list[TrialDecision]:
        """End the runs of lost hosts and remove finished suspects."""
        decisions = []
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.holder is not None and now >= suspect.until:
                decisions += self.end(suspect.holder, TrialEnd.BROKEN, now)
            if suspect.can_run(now) and not suspect.waiting:
                del self._suspects[fingerprint]
        return decisions

    def _admit(
        self, suspects: Iterable[_Suspect], now: float
    ) -> list[TrialDecision]:
        decisions = []
        for suspect in suspects:
            if not suspect.waiting or not suspect.can_run(now):
                continue
            alone = suspect.waiting[0].alone
            if alone in self._busy_services:
                continue
            if alone is not None:
                self._busy_services.add(alone)
            decisions.append(suspect.grant_first(now))
        return decisions
