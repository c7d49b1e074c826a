"""Requests of callers in the simulation of :mod:`sedgetide.testing.world`."""

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
from sedgetide.testing.world import ProcessState
from sedgetide.testing.world import World

DEADLINE = 3.0
SERVICE_TIME = 0.1
_RESPONSE_GRACE = 0.1


class Told(msgspec.Struct, frozen=True):
    """Outcome of an attempt as reported to the caller."""

    operation: OperationId
    outcome: Outcome
    reason: Reason
    answer: str


class Attempt(msgspec.Struct, eq=False):
    """A caller's attempt at an operation.

    Parameters
    ----------
    phase : Phase
        Last phase that it reached.
    sent_to : FakeKeeper or None
        Keeper that it was sent to; ``incarnation`` is that of its process
        then.
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
        """Simulated time by which the caller needs the answer."""
        return self.began + DEADLINE


class Callers:
    """Callers and the entry that serves them.

    Parameters
    ----------
    world : World
        World that serves the requests.
    name : str
        Name of the entry, by which network cuts refer to it.
    """

    def __init__(self, world: World, name: str = "e1") -> None:
        self.world = world
        self.name = name
        self.attempts: list[Attempt] = []
        self.open_attempts: list[Attempt] = []
        self.told: list[Told] = []

    def send(
        self,
        key: ShardKey,
        idempotent: bool = False,
        operation: OperationId | None = None,
    ) -> Attempt:
        """Start an operation, or repeat the one given."""
        issued = operation or OperationId(
            make_operation_id(self.world.wall_clock)
        )
        attempt = Attempt(
            issued, key, idempotent, operation is None, self.world.now
        )
        self.attempts.append(attempt)
        self.open_attempts.append(attempt)
        return attempt

    def tick(self) -> None:
        """Advance every open attempt by one step."""
        for attempt in list(self.open_attempts):
            self._advance(attempt)
            if attempt.told is not None:
                self.open_attempts.remove(attempt)
                self.told.append(attempt.told)

    def _advance(self, attempt: Attempt) -> None:
        now = self.world.now
        keeper = attempt.sent_to
        if keeper is None:
            self._send_to_keeper(attempt)
            return
        keeper_gone = keeper.incarnation != attempt.incarnation
        keeper_gone = keeper_gone or keeper.state is ProcessState.DEAD
        if not keeper_gone and keeper.state is ProcessState.RUNNING:
            self._advance_at_keeper(attempt, keeper)
        if attempt.told is not None:
            return
        keeper_answers = not keeper_gone and self.world.can_reach_keeper(
            self.name, keeper.host
        )
        if keeper_answers:
            attempt.unheard_since = now
        silent = now - attempt.unheard_since > self.world.timing.silence
        if silent or now > attempt.deadline + _RESPONSE_GRACE:
            # The keeper may already have sent the request to the upstream.
            reason = Reason.LINK_LOST if silent else Reason.SILENT
            self._retry_or_fail(attempt, Outcome.UNKNOWN, reason)

    def _find_keeper(self, attempt: Attempt) -> FakeKeeper | None:
        """Return the first reachable keeper of the shard's owner."""
        for peer in self._list_peers():
            owner = peer.view.assignment.find_owner(attempt.key)
            if owner is None or owner.state is not ShardState.OWNED:
                continue
            attempt.upstream = owner.upstream
            members = peer.view.assignment.members
            for host in rank_candidates(owner.upstream, members):
                if self.world.can_reach_keeper(self.name, host):
                    return self.world.keepers[HostName(host)]
        return None

    def _list_peers(self) -> list[FakeKeeper]:
        """Return the reachable keepers, newest assignment first."""
        peers = [
            peer
            for name, peer in self.world.keepers.items()
            if self.world.can_reach_keeper(self.name, name)
        ]
        peers.sort(key=lambda peer: -peer.view.revision)
        return peers

    def _send_to_keeper(self, attempt: Attempt) -> None:
        keeper = self._find_keeper(attempt)
        if keeper is None:
            reason = Reason.MOVING if self._list_peers() else Reason.CUT_OFF
            self._retry_or_fail(attempt, Outcome.NOT_RUN, reason)
            return
        attempt.sent_to = keeper
        attempt.incarnation = keeper.incarnation
        attempt.unheard_since = self.world.now

    # At the keeper

    def _advance_at_keeper(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        if attempt.phase is Phase.ACCEPTED:
            self._enqueue(attempt, keeper)
        elif attempt.phase is Phase.QUEUED:
            self._send_to_upstream(attempt, keeper)
        elif attempt.phase is Phase.HANDED_OVER:
            self._check_answer(attempt, keeper)

    def _enqueue(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        lease = keeper.leases.get(attempt.upstream)
        if lease is None or lease.standing_back or keeper.view.leaving:
            self._reply(attempt, keeper, Outcome.NOT_RUN, Reason.NOT_KEEPER)
            return
        attempt.phase = Phase.QUEUED

    def _convert_deadline(self, attempt: Attempt, keeper: FakeKeeper) -> float:
        return keeper.clock.read(attempt.deadline)

    def _send_to_upstream(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        world = self.world
        lease = keeper.leases.get(attempt.upstream)
        now = keeper.clock.read(world.now)
        refusal_reason: Reason | None = Reason.NOT_KEEPER
        if lease is not None:
            refusal_reason = lease.find_refusal_reason(
                attempt.key, self._convert_deadline(attempt, keeper), now
            )
        if refusal_reason is not None:
            self._reply(attempt, keeper, Outcome.NOT_RUN, refusal_reason)
            return
        if not attempt.idempotent and not self._admit_operation(
            attempt, keeper
        ):
            return
        upstream = world.upstreams[attempt.upstream]
        connected = world.is_connected(keeper.host, upstream.name)
        if not connected or upstream.state is ProcessState.DEAD:
            self._reply(attempt, keeper, Outcome.NOT_RUN, Reason.UNREACHABLE)
            return
        lease.begin_request(attempt.key)
        attempt.phase = Phase.HANDED_OVER
        attempt.model = upstream.model
        order_context = (
            lease.find_epoch(attempt.key),
            keeper.orderer,
            float(lease.token.stamp)
            + self._convert_deadline(attempt, keeper)
            - lease.token.received_at,
        )
        if upstream.state is ProcessState.PAUSED:
            upstream.buffer.append(
                lambda at: self._deliver(attempt, order_context, at)
            )
            return
        declined = self._deliver(attempt, order_context, world.now)
        if declined:
            lease.end_request(attempt.key)
            attempt.phase = Phase.DECLINED
            self._reply(
                attempt, keeper, judge_failure(attempt.phase), Reason.NO_GRANT
            )

    def _admit_operation(self, attempt: Attempt, keeper: FakeKeeper) -> bool:
        log = keeper.logs[attempt.upstream]
        verdict = log.admit(
            attempt.operation,
            attempt.key,
            self.world.wall_clock,
            attempt.first,
        )
        if verdict is Admission.RUN:
            log.begin(attempt.operation, self.world.wall_clock)
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

    def _deliver(
        self,
        attempt: Attempt,
        order_context: tuple[int, str, float],
        now: float,
    ) -> str:
        """Deliver a request to the upstream; return why it is declined."""
        epoch, orderer, expires = order_context
        upstream = self.world.upstreams[attempt.upstream]
        if upstream.model is not attempt.model:
            return "gone"
        clock = upstream.clock.read(now)
        declined = upstream.model.find_refusal(
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

    def _check_answer(self, attempt: Attempt, keeper: FakeKeeper) -> None:
        world = self.world
        upstream = world.upstreams[attempt.upstream]
        alive = (
            upstream.model is attempt.model
            and upstream.state is not ProcessState.DEAD
        )
        running = upstream.state is ProcessState.RUNNING
        if alive and running and attempt.entry is not None:
            done = world.now >= attempt.entry.began + SERVICE_TIME
            if done:
                attempt.entry.ended = world.now
                connected = world.is_connected(keeper.host, upstream.name)
                if connected:
                    self._finish(attempt, keeper, Phase.ANSWERED)
                    return
        if not alive:
            self._finish(attempt, keeper, attempt.phase, Reason.BAD_ANSWER)
        elif world.now >= attempt.deadline:
            self._finish(attempt, keeper, attempt.phase, Reason.SILENT)

    def _finish(
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
        if not self.world.can_reach_keeper(self.name, keeper.host):
            return
        if outcome is Outcome.ANSWERED:
            attempt.told = told
        else:
            self._retry_or_fail(attempt, outcome, reason)

    def _retry_or_fail(
        self, attempt: Attempt, outcome: Outcome, reason: Reason
    ) -> None:
        """Send an attempt again when allowed, else end it."""
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
