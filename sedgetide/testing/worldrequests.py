"""Callers' requests in the small world of :mod:`sedgetide.testing.world`."""

import msgspec

from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import OperationId
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.rendezvous import rank_candidates
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState
from sedgetide.core.requests.operations import Admission
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import judge_failure
from sedgetide.core.requests.outcomes import may_resend
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Phase
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.outcomes import TRANSIENT_REASONS
from sedgetide.core.requests.outcomes import UNCERTAIN_REASONS
from sedgetide.testing.callers import make_operation_id
from sedgetide.testing.upstreammodel import JournalEntry
from sedgetide.testing.upstreammodel import UpstreamModel
from sedgetide.testing.world import FakeKeeper
from sedgetide.testing.world import Running
from sedgetide.testing.world import World

DEADLINE = 3.0
SERVICE_TIME = 0.1
_GRACE = 0.1


class Told(msgspec.Struct, frozen=True):
    """What a caller was told of one attempt."""

    operation: OperationId
    outcome: Outcome
    reason: Reason
    answer: str


class Attempt(msgspec.Struct, eq=False):
    """One attempt at an operation.

    Parameters
    ----------
    phase : Phase
        Furthest phase it reached.
    sent_to : FakeKeeper or None
        Keeper it was handed to, with that process's incarnation.
    """

    operation: OperationId
    key: ShardKey
    idempotent: bool
    first: bool
    began: float
    phase: Phase = Phase.ACCEPTED
    sent_to: FakeKeeper | None = None
    incarnation: str = ""
    upstream: UpstreamName = UpstreamName("")
    model: UpstreamModel | None = None
    entry: JournalEntry | None = None
    told: Told | None = None
    outcome: Outcome = Outcome.NOT_RUN
    unheard_since: float = 0.0
    owns_operation: bool = False

    @property
    def deadline(self) -> float:
        """True time by which the caller needs the answer."""
        return self.began + DEADLINE


class Callers:
    """An entry with its callers.

    Parameters
    ----------
    world : World
        Where the requests go.
    name : str
        Name of the entry for cuts.
    """

    def __init__(self, world: World, name: str = "e1") -> None:
        self.world = world
        self.name = name
        self.attempts: list[Attempt] = []
        self.open: list[Attempt] = []
        self.told: list[Told] = []

    def send(
        self,
        key: ShardKey,
        idempotent: bool = False,
        operation: OperationId | None = None,
    ) -> Attempt:
        """Begin an operation, or repeat one."""
        issued = operation or OperationId(make_operation_id(self.world.wall))
        attempt = Attempt(
            issued, key, idempotent, operation is None, self.world.now
        )
        self.attempts.append(attempt)
        self.open.append(attempt)
        return attempt

    def tick(self) -> None:
        """Bring every open attempt one step further."""
        for attempt in list(self.open):
            self._advance(attempt)
            if attempt.told is not None:
                self.open.remove(attempt)
                self.told.append(attempt.told)

    def _advance(self, attempt: Attempt) -> None:
        now = self.world.now
        keeper = attempt.sent_to
        if keeper is None:
            self._hand_over(attempt)
            return
        gone = keeper.incarnation != attempt.incarnation
        gone = gone or keeper.state is Running.DEAD
        if not gone and keeper.state is Running.RUNNING:
            self._work(attempt, keeper)
        if attempt.told is not None:
            return
        heard = not gone and self.world.talks(self.name, keeper.host)
        if heard:
            attempt.unheard_since = now
        silent = now - attempt.unheard_since > self.world.timing.silence
        if silent or now > attempt.deadline + _GRACE:
            # The keeper may have handed the request over already.
            reason = Reason.LINK_LOST if silent else Reason.SILENT
            self._fail(attempt, Outcome.UNKNOWN, reason)

    def _find_keeper(self, attempt: Attempt) -> FakeKeeper | None:
        """Return the first keeper of the owner that answers."""
        for peer in self._list_peers():
            owner = peer.view.assignment.find_owner(attempt.key)
            if owner is None or owner.state is not ShardState.OWNED:
                continue
            attempt.upstream = owner.upstream
            members = peer.view.assignment.members
            for host in rank_candidates(owner.upstream, members):
                if self.world.talks(self.name, host):
                    return self.world.keepers[HostName(host)]
        return None

    def _list_peers(self) -> list[FakeKeeper]:
        """Return keepers the entry learns from, newest knowledge first."""
        peers = [
            peer
            for name, peer in self.world.keepers.items()
            if self.world.talks(self.name, name)
        ]
        peers.sort(key=lambda peer: -peer.view.revision)
        return peers

    def _hand_over(self, attempt: Attempt) -> None:
        keeper = self._find_keeper(attempt)
        if keeper is None:
            reason = Reason.MOVING if self._list_peers() else Reason.CUT_OFF
            self._fail(attempt, Outcome.NOT_RUN, reason)
            return
        attempt.sent_to = keeper
        attempt.incarnation = keeper.incarnation
        attempt.unheard_since = self.world.now

    # At the keeper

    def _work(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        if attempt.phase is Phase.ACCEPTED:
            self._queue(attempt, keeper)
        elif attempt.phase is Phase.QUEUED:
            self._send(attempt, keeper)
        elif attempt.phase is Phase.HANDED_OVER:
            self._wait(attempt, keeper)

    def _queue(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        lease = keeper.leases.get(attempt.upstream)
        if lease is None or lease.standing_back or keeper.view.leaving:
            self._reply(attempt, keeper, Outcome.NOT_RUN, Reason.NOT_KEEPER)
            return
        attempt.phase = Phase.QUEUED

    def _expires(self, attempt: Attempt, keeper: FakeKeeper) -> float:
        return keeper.clock.read(attempt.deadline)

    def _send(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        world = self.world
        lease = keeper.leases.get(attempt.upstream)
        now = keeper.clock.read(world.now)
        obstacle: Reason | None = Reason.NOT_KEEPER
        if lease is not None:
            obstacle = lease.find_refusal_reason(
                attempt.key, self._expires(attempt, keeper), now
            )
        if obstacle is not None:
            self._reply(attempt, keeper, Outcome.NOT_RUN, obstacle)
            return
        if not attempt.idempotent and not self._judge(attempt, keeper):
            return
        upstream = world.upstreams[attempt.upstream]
        reached = world.reaches(keeper.host, upstream.name)
        if not reached or upstream.state is Running.DEAD:
            self._reply(attempt, keeper, Outcome.NOT_RUN, Reason.UNREACHABLE)
            return
        lease.begin_request(attempt.key)
        attempt.phase = Phase.HANDED_OVER
        attempt.model = upstream.model
        order = (
            lease.find_epoch(attempt.key),
            keeper.orderer,
            float(lease.token.stamp)
            + self._expires(attempt, keeper)
            - lease.token.received_at,
        )
        if upstream.state is Running.PAUSED:
            upstream.buffer.append(lambda at: self._arrive(attempt, order, at))
            return
        declined = self._arrive(attempt, order, world.now)
        if declined:
            lease.end_request(attempt.key)
            attempt.phase = Phase.DECLINED
            self._reply(
                attempt, keeper, judge_failure(attempt.phase), Reason.NO_GRANT
            )

    def _judge(self, attempt: Attempt, keeper: FakeKeeper) -> bool:
        log = keeper.logs[attempt.upstream]
        verdict = log.judge(
            attempt.operation, attempt.key, self.world.wall, attempt.first
        )
        if verdict is Admission.RUN:
            log.begin(attempt.operation, self.world.wall)
            attempt.owns_operation = True
            return True
        if verdict is Admission.REPEAT:
            told = log.find_answer(attempt.operation)
            self._reply(attempt, keeper, told.outcome, told.reason)
        elif verdict is Admission.LOST:
            self._reply(
                attempt, keeper, Outcome.UNKNOWN, Reason.OPERATION_LOST
            )
        return False

    def _arrive(
        self, attempt: Attempt, order: tuple[int, str, float], now: float
    ) -> str:
        """Take a request at the upstream; return why it is declined."""
        epoch, orderer, expires = order
        upstream = self.world.upstreams[attempt.upstream]
        if upstream.model is not attempt.model:
            return "gone"
        clock = upstream.clock.read(now)
        declined = upstream.model.judge(
            attempt.key, epoch, orderer, expires, clock
        )
        if not declined:
            attempt.entry = JournalEntry(
                upstream.name,
                now,
                str(attempt.key),
                epoch,
                "GET" if attempt.idempotent else "POST",
                "",
                attempt.operation,
                attempt.operation,
            )
            upstream.model.begin(attempt.entry)
        return declined

    def _wait(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        world = self.world
        upstream = world.upstreams[attempt.upstream]
        alive = (
            upstream.model is attempt.model
            and upstream.state is not Running.DEAD
        )
        running = upstream.state is Running.RUNNING
        if alive and running and attempt.entry is not None:
            done = world.now >= attempt.entry.began + SERVICE_TIME
            if done:
                attempt.entry.ended = world.now
                reached = world.reaches(keeper.host, upstream.name)
                if reached:
                    self._end(attempt, keeper, Phase.ANSWERED)
                    return
        if not alive:
            self._end(attempt, keeper, attempt.phase, Reason.BAD_ANSWER)
        elif world.now >= attempt.deadline:
            self._end(attempt, keeper, attempt.phase, Reason.SILENT)

    def _end(
        self,
        attempt: Attempt,
        keeper: FakeKeeper,
        phase: Phase,
        reason: Reason = Reason.NONE,
    ) -> None:
        lease = keeper.leases.get(attempt.upstream)
        if lease is not None and attempt.key in lease._in_flight:
            lease.end_request(attempt.key)
        attempt.phase = phase
        outcome = judge_failure(phase)
        if phase is Phase.ANSWERED:
            outcome = Outcome.ANSWERED
        self._reply(attempt, keeper, outcome, reason)

    def _reply(
        self,
        attempt: Attempt,
        keeper: FakeKeeper,
        outcome: Outcome,
        reason: Reason,
    ) -> None:
        log = keeper.logs.get(attempt.upstream)
        told = Told(attempt.operation, outcome, reason, attempt.operation)
        if attempt.owns_operation and log is not None:
            if outcome is Outcome.NOT_RUN:
                log.withdraw(attempt.operation)
            else:
                log.finish(attempt.operation, told)
            attempt.owns_operation = False
        if not self.world.talks(self.name, keeper.host):
            return
        if outcome is Outcome.ANSWERED:
            attempt.told = told
        else:
            self._fail(attempt, outcome, reason)

    def _fail(
        self, attempt: Attempt, outcome: Outcome, reason: Reason
    ) -> None:
        """End an attempt, or send it once more."""
        transient = reason in TRANSIENT_REASONS
        outcome = attempt.outcome = combine_outcomes(attempt.outcome, outcome)
        again = may_resend(outcome, attempt.idempotent) and (
            transient or reason in UNCERTAIN_REASONS
        )
        if again and self.world.now < attempt.deadline:
            attempt.phase = Phase.ACCEPTED
            attempt.sent_to = None
            attempt.entry = None
            return
        attempt.told = Told(
            attempt.operation, outcome, reason, attempt.operation
        )
