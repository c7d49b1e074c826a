"""Leave to run a request under which upstreams have ended: one run at a time.

The load that this answers: many copies of a request that crashes whoever runs
it are on their way at all hosts. Each copy that runs is one more crash, and
an upstream that ends takes all copies that it works on, and the requests
beside them, along. From the first loss on, one host therefore lets one copy
run and keeps the others waiting. An innocent request ends well and is free
after one run; a deadly one costs one run for each upstream.

Requests beside a deadly one are suspects as well. Once two losses speak
against several of a service, they run one after the other: the next loss
then speaks against one of them only.

What may be told of a request does not rest on it. A desk that is lost, or two
that let a copy run in the same moment, cost a run more.
"""

import collections
from collections.abc import Iterable
import enum

import msgspec

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict

# Seconds after a run that broke for which no other copy runs. Word of the
# loss has reached all hosts by then.
_SETTLING = 1.0
# Seconds after the end of its request for which a holder may be silent.
_GRACE = 0.5
# Requests that wait for one run's end; their hosts give up within a second,
# and this bounds memory beyond that.
_MOST_WAITING = 200
# Fingerprints, as many as losses of the quarantine may name.
_MOST_SUSPECTS = 4096


class TrialEnd(enum.Enum):
    """What became of a run."""

    WELL = "well"
    NOT_RUN = "not-run"
    BROKEN = "broken"


class TrialDecision(msgspec.Struct, frozen=True):
    """What becomes of a request that asked for leave to run.

    Parameters
    ----------
    ticket : Ticket
        Which.
    verdict : Verdict
        What its host may do.
    retry_after : float
        Seconds after which a refused caller does well to come again.
    alone : bool
        Whether no other grave suspect of its service runs meanwhile.
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
    """One request: its run, and the copies that wait for the end of it."""

    def __init__(self) -> None:
        self.holder: Ticket | None = None
        # When the holder counts as lost; without one, until when none runs.
        self.until = float("-inf")
        # Service in which no other grave suspect may run beside the holder.
        self.alone: ServiceName | None = None
        self.waiting: collections.deque[_Waiting] = collections.deque()

    def is_open(self, now: float) -> bool:
        """Tell whether a copy may run."""
        return self.holder is None and now >= self.until

    def grant_first(self, now: float) -> TrialDecision:
        """Let the copy run that has waited longest."""
        first = self.waiting.popleft()
        self.holder = first.ticket
        self.until = now + first.left + _GRACE
        self.alone = first.alone
        alone = first.alone is not None
        return TrialDecision(first.ticket, Verdict.GRANTED, alone=alone)

    def withdraw(self, ticket: Ticket) -> None:
        """Forget a copy that waits."""
        self.waiting = collections.deque(
            each for each in self.waiting if each.ticket != ticket
        )

    def finish(self, end: TrialEnd, now: float) -> list[TrialDecision]:
        """End the run; decide what the waiting copies learn from it."""
        self.holder = None
        self.alone = None
        self.until = now
        if end is TrialEnd.NOT_RUN:
            return []
        verdict, wait = Verdict.NEEDLESS, 0.0
        if end is TrialEnd.BROKEN:
            verdict, wait = Verdict.REFUSED, _SETTLING
            self.until = now + _SETTLING
        waiting, self.waiting = self.waiting, collections.deque()
        return [TrialDecision(each.ticket, verdict, wait) for each in waiting]


class TrialScheduler:
    """Lets suspects run one at a time, for all hosts that ask."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._asked: dict[Ticket, Fingerprint] = {}
        # Services in which a grave suspect runs.
        self._taken: set[ServiceName] = set()

    def ask(
        self,
        ticket: Ticket,
        fingerprint: Fingerprint,
        left: float,
        now: float,
        alone: ServiceName | None = None,
    ) -> list[TrialDecision]:
        """Take in that a host wants to run a request.

        Parameters
        ----------
        ticket : Ticket
            Who asks.
        fingerprint : Fingerprint
            What the request and its repeats have in common.
        left : float
            Seconds until its caller gets a final answer at the latest.
        now : float
            Own clock.
        alone : ServiceName or None
            Where no other such request may run beside it: of a grave
            suspect, the service that it goes to.

        Returns
        -------
        list of TrialDecision
            For this ticket, and for others that it affects.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= _MOST_SUSPECTS:
                return [TrialDecision(ticket, Verdict.REFUSED, _SETTLING)]
            suspect = self._suspects[fingerprint] = _Suspect()
        settling = suspect.holder is None and now < suspect.until
        if settling or len(suspect.waiting) >= _MOST_WAITING:
            return [TrialDecision(ticket, Verdict.REFUSED, _SETTLING)]
        self._asked[ticket] = fingerprint
        suspect.waiting.append(_Waiting(ticket, left, alone))
        decisions = self._admit([suspect], now)
        if all(each.ticket != ticket for each in decisions):
            decisions.append(TrialDecision(ticket, Verdict.QUEUED))
        return decisions

    def end(
        self, ticket: Ticket, end: TrialEnd, now: float
    ) -> list[TrialDecision]:
        """Take in that a run is over, or is waited for no longer.

        Parameters
        ----------
        ticket : Ticket
            Whose; one that is not known changes nothing.
        end : TrialEnd
            What became of it.
        now : float
            Own clock.
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
        self._taken.discard(freed)
        return decisions + self._admit(self._suspects.values(), now)

    def find_fingerprint(self, ticket: Ticket) -> Fingerprint | None:
        """Return which request a ticket is for."""
        return self._asked.get(ticket)

    def expire(self, now: float) -> list[TrialDecision]:
        """End the runs of hosts that were lost; forget what is over."""
        decisions = []
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.holder is not None and now >= suspect.until:
                decisions += self.end(suspect.holder, TrialEnd.BROKEN, now)
            if suspect.is_open(now) and not suspect.waiting:
                del self._suspects[fingerprint]
        return decisions

    def _admit(
        self, suspects: Iterable[_Suspect], now: float
    ) -> list[TrialDecision]:
        decisions = []
        for suspect in suspects:
            if not suspect.waiting or not suspect.is_open(now):
                continue
            alone = suspect.waiting[0].alone
            if alone in self._taken:
                continue
            if alone is not None:
                self._taken.add(alone)
            decisions.append(suspect.grant_first(now))
        return decisions
