"""The task of a keeper that owns one upstream."""

from collections.abc import Callable
import contextlib
import enum
import functools
import logging
import time
from typing import Any

import gevent
from gevent.event import Event
import msgspec
from prometheus_client import Counter

from sedgetide.backends.upstream import Order
from sedgetide.backends.upstream import UpstreamClient
from sedgetide.backends.upstream import UpstreamStatus
from sedgetide.backends.upstream import Work
from sedgetide.backends.upstream import WorkResult
from sedgetide.coding.messages import Request
from sedgetide.coding.messages import Response
from sedgetide.coding.settings import Limits
from sedgetide.core.assignment import Assignment
from sedgetide.core.assignment import ShardKey
from sedgetide.core.assignment import ShardState
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.grants import GrantLedger
from sedgetide.core.grants import Token
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.operations import OperationLog
from sedgetide.core.operations import Verdict
from sedgetide.core.outcomes import judge_failure
from sedgetide.core.outcomes import Outcome
from sedgetide.core.outcomes import Phase
from sedgetide.core.outcomes import Reason
from sedgetide.core.queues import UpstreamQueue
from sedgetide.core.services import Service
from sedgetide.core.services import Upstream
from sedgetide.core.timing import Timing
from sedgetide.daemons._metrics import KEEPER_REQUESTS
from sedgetide.daemons._metrics import UPSTREAM_ERRORS
from sedgetide.runtime.tasks import spawn_vital

_FIRST_ESTIMATE = 0.005
_QUEUE_TICK = 0.02
_CANCEL_TIME = 0.05
_MOVING_RETRY = 0.1

_log = logging.getLogger(__name__)

_DECLINED = {
    "shed": Reason.SHED,
    "no-grant": Reason.NO_GRANT,
    "stale-epoch": Reason.STALE_EPOCH,
    "stale-orderer": Reason.NOT_KEEPER,
    "expired": Reason.DEADLINE,
    "cancelled": Reason.CANCELLED,
}


@functools.lru_cache(maxsize=8192)
def _count_requests(
    upstream: UpstreamName, outcome: Outcome, reason: Reason
) -> Counter:
    return KEEPER_REQUESTS.labels(upstream, outcome.value, reason.value)


class Standing(msgspec.Struct, frozen=True):
    """What the control task lets an upstream's task act on.

    Parameters
    ----------
    assignment : Assignment
        Newest version held.
    proved_until : float
        Own clock time up to which it is proved to be the newest.
    """

    assignment: Assignment
    proved_until: float


class Health(enum.Enum):
    """Whether the upstream answers."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    LOST = "lost"
    RESTARTED = "restarted"


class _Job(msgspec.Struct):
    request: Request
    reply: Callable[[Response], None]
    phase: Phase = Phase.QUEUED
    owns_operation: bool = False


class UpstreamTask:
    """Queue, connections, grants and operations of one upstream.

    Parameters
    ----------
    orderer : str
        Host and incarnation of this keeper.
    service : Service
        Service of the upstream.
    upstream : Upstream
        The upstream.
    client : UpstreamClient
        Connections, owned by the task.
    timing, limits
        Durations and bounds.
    """

    def __init__(
        self,
        orderer: str,
        service: Service,
        upstream: Upstream,
        client: UpstreamClient,
        timing: Timing,
        limits: Limits,
    ) -> None:
        self.name = UpstreamName(upstream.name)
        self.service = service
        self.upstream = upstream
        self.health = Health.UNKNOWN
        self._orderer = orderer
        self._client = client
        self._timing = timing
        self._standing: Standing | None = None
        self._queue: UpstreamQueue[_Job] = UpstreamQueue(
            service.slots, limits.queue, _FIRST_ESTIMATE
        )
        self._ledger = GrantLedger(timing.grant_life, timing.clock_error)
        self._operations: OperationLog[Response] = OperationLog(
            limits.operation_window, limits.operations, limits.clock_skew
        )
        self._jobs: dict[RequestId, _Job] = {}
        self._joined: dict[str, list[_Job]] = {}
        self._in_flight: dict[ShardKey, int] = {}
        self._released: dict[ShardKey, Epoch] = {}
        self._gone: dict[ShardKey, Epoch] = {}
        self._answered_at = time.monotonic()
        self._standing_back = True
        self._retired = False
        self._rank_of: Callable[[str], bool] = lambda _: False
        self._woken = Event()
        self._stack = contextlib.ExitStack()

    def start(self, outranks: Callable[[str], bool]) -> None:
        """Begin to renew grants and to serve.

        Parameters
        ----------
        outranks : callable
            Tells whether the keeper of an orderer name is alive and comes
            before this one for the upstream.
        """
        self._rank_of = outranks
        self._stack.callback(self._client.close)
        for loop in (self._renew_loop, self._queue_loop):
            spawn_vital(loop, self._stack)

    def reconfigure(
        self,
        service: Service,
        upstream: Upstream,
        client: UpstreamClient | None,
    ) -> None:
        """Take over changed settings; operations and grants stay known.

        Parameters
        ----------
        client : UpstreamClient or None
            Connections to the new address, when that changed.
        """
        self.service = service
        self.upstream = upstream
        self._queue.slots = service.slots
        if client is not None:
            self._stack.callback(client.close)
            self._client = client
        self._dispatch()

    def retire(self) -> None:
        """Give no more orders; what waits is answered as not run."""
        self._retired = True
        self._standing_back = True
        for job in self._queue.clear():
            self._refuse(job, Reason.NOT_KEEPER, _MOVING_RETRY)

    def close(self) -> None:
        """Stop all that runs and close the connections."""
        self.retire()
        self._stack.close()

    @property
    def idle(self) -> bool:
        """Whether no request is in hand."""
        return not self._jobs

    def update(self, standing: Standing) -> None:
        """Take in what may be acted on from now on."""
        known = self._standing
        self._standing = standing
        if known is None or known.assignment is not standing.assignment:
            self._woken.set()

    def list_lost(self) -> list[tuple[ShardKey, Epoch]]:
        """Return shards whose owner's process is gone or silent."""
        if self._standing is None:
            return []
        owned = self._standing.assignment.list_owned(self.name)
        if self.health is Health.LOST:
            return list(owned.items())
        return [
            (key, epoch)
            for key, epoch in self._gone.items()
            if owned.get(key) == epoch
        ]

    def list_released(self) -> list[tuple[ShardKey, Epoch]]:
        """Return shards that the upstream confirmed to have given up."""
        return list(self._released.items())

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the dump."""
        now = time.monotonic()
        return {
            "upstream": self.name,
            "health": self.health.value,
            "standing_back": self._standing_back,
            "queued": len(self._queue),
            "running": self._queue.running,
            "service_time": self._queue.service_time,
            "operations": len(self._operations),
            "grants": {
                str(key): epoch
                for key, epoch in self._ledger.list_held(now).items()
            },
        }

    # Requests

    def submit(
        self, request: Request, reply: Callable[[Response], None], now: float
    ) -> None:
        """Queue a request, or answer it at once."""
        job = _Job(request, reply)
        if self._standing_back:
            self._refuse(job, Reason.NOT_KEEPER, _MOVING_RETRY)
            return
        refusal = self._queue.offer(
            job, request.priority, request.expires, now
        )
        if refusal is not None:
            self._refuse(job, refusal.reason, refusal.retry_after)
            return
        self._jobs[request.number] = job
        self._dispatch()

    def cancel(self, number: RequestId) -> None:
        """Drop a request its sender no longer waits for."""
        job = self._jobs.get(number)
        if job is not None and self._queue.remove(job):
            self._refuse(job, Reason.CANCELLED, 0.0)

    def _dispatch(self) -> None:
        while True:
            job, expired = self._queue.take(time.monotonic())
            for late in expired:
                self._refuse(late, Reason.DEADLINE, self._queue.service_time)
            if job is None:
                return
            gevent.spawn(self._run, job)

    def _run(self, job: _Job) -> None:
        began = time.monotonic()
        answered = False
        try:
            answered = self._serve(job)
        except Exception:
            _log.exception("request failed")
            self._finish(job, judge_failure(job.phase), Reason.BAD_ANSWER)
        finally:
            took = time.monotonic() - began if answered else None
            self._queue.finish(took)
            self._dispatch()

    def _serve(self, job: _Job) -> bool:
        request = job.request
        if request.operation is None:
            return self._send(job)
        verdict = self._operations.judge(
            request.operation,
            request.shard,
            time.time(),
            request.first_attempt,
        )
        match verdict:
            case Verdict.RUN:
                self._operations.begin(request.operation, time.time())
                job.owns_operation = True
                return self._send(job)
            case Verdict.JOIN:
                waiting = self._joined.setdefault(request.operation, [])
                waiting.append(job)
            case Verdict.REPEAT:
                remembered = self._operations.find_answer(request.operation)
                self._reply(job, remembered)
            case Verdict.LOST:
                self._finish(job, Outcome.UNKNOWN, Reason.OPERATION_LOST)
            case Verdict.FULL:
                self._refuse(job, Reason.OVERLOAD, 1.0)
        return False

    def _find_obstacle(self, request: Request, now: float) -> Reason | None:
        """Return why a request may not be sent at this very moment.

        A greenlet may have been paused anywhere before; only a look at the
        clock right before the send shows whether the proof still holds.
        """
        if now >= request.expires:
            return Reason.DEADLINE
        standing = self._standing
        if request.shard is None:
            return None if self._ledger.token else Reason.NO_GRANT
        if standing is None or now >= standing.proved_until:
            return Reason.NO_GRANT
        owner = standing.assignment.find_owner(request.shard)
        if owner is None or owner.upstream != self.name:
            return Reason.STALE_EPOCH
        if owner.state is not ShardState.OWNED:
            return Reason.MOVING
        if not self._ledger.covers(request.shard, owner.epoch, now):
            return Reason.NO_GRANT
        return None

    def _send(self, job: _Job) -> bool:
        request = job.request
        now = time.monotonic()
        obstacle = self._find_obstacle(request, now)
        if obstacle is not None:
            self._refuse(job, obstacle, _MOVING_RETRY)
            return False
        epoch = self._find_epoch(request.shard)
        token = self._ledger.token
        work = Work(
            request.number,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.shard,
            epoch,
            request.expires - token.received_at,
        )
        self._count(request.shard, 1)
        job.phase = Phase.HANDED_OVER
        try:
            result = self._client.run(
                Order(self._orderer, token.stamp, self._find_limit(request)),
                work,
                request.expires - now,
                fresh=not request.idempotent,
            )
        except UpstreamError as error:
            self._handle_failure(job, error)
            return False
        finally:
            self._count(request.shard, -1)
        self._answered_at = time.monotonic()
        return self._handle_result(job, result, epoch)

    def _find_limit(self, request: Request) -> float:
        """Return the clock time after which a request may not be sent."""
        if request.shard is None:
            return request.expires
        return min(request.expires, self._standing.proved_until)

    def _find_epoch(self, shard: ShardKey | None) -> Epoch:
        if shard is None:
            return Epoch(0)
        return self._standing.assignment.find_owner(shard).epoch

    def _count(self, shard: ShardKey | None, change: int) -> None:
        if shard is None:
            return
        count = self._in_flight.get(shard, 0) + change
        if count:
            self._in_flight[shard] = count
        else:
            self._in_flight.pop(shard, None)

    def _handle_result(
        self, job: _Job, result: WorkResult, epoch: Epoch
    ) -> bool:
        if result.declined:
            job.phase = Phase.DECLINED
            reason = _DECLINED.get(result.declined, Reason.SHED)
            self._refuse(job, reason, self._queue.service_time)
            return False
        job.phase = Phase.ANSWERED
        answer = result.answer
        response = Response(
            job.request.number,
            Outcome.ANSWERED,
            Reason.NONE,
            answer.status,
            answer.headers,
            answer.body,
            self.name,
            epoch,
        )
        self._settle(job, response)
        return True

    def _handle_failure(self, job: _Job, error: UpstreamError) -> None:
        UPSTREAM_ERRORS.labels(self.name, error.code.value).inc()
        if not error.sent:
            job.phase = Phase.QUEUED
            self._refuse(job, Reason.UNREACHABLE, self._timing.silence)
            return
        reason = Reason.BAD_ANSWER
        if error.code is ErrorCode.UPSTREAM_SILENT:
            reason = Reason.SILENT
            if self._cancel_begun(job.request.number):
                job.phase = Phase.DECLINED
        self._finish(job, judge_failure(job.phase), reason)

    def _cancel_begun(self, number: str) -> bool:
        """Tell whether the upstream confirms that it never began."""
        try:
            return self._client.cancel(number, _CANCEL_TIME)
        except UpstreamError:
            return False

    def _refuse(self, job: _Job, reason: Reason, retry_after: float) -> None:
        self._finish(job, Outcome.NOT_RUN, reason, retry_after)

    def _finish(
        self,
        job: _Job,
        outcome: Outcome,
        reason: Reason,
        retry_after: float = 0.0,
    ) -> None:
        response = Response(
            job.request.number,
            outcome,
            reason,
            owner=self.name,
            retry_after=retry_after,
        )
        self._settle(job, response)

    def _settle(self, job: _Job, response: Response) -> None:
        # Only the job that began the operation may end it: another with
        # the same id that lapsed in the queue would free the id while the
        # first still runs, and a third would run it again.
        if job.owns_operation:
            self._settle_operation(job, response)
        self._reply(job, response)

    def _settle_operation(self, job: _Job, response: Response) -> None:
        operation = job.request.operation
        if response.outcome is Outcome.NOT_RUN:
            self._operations.withdraw(operation)
        else:
            self._operations.finish(operation, response)
        for other in self._joined.pop(operation, ()):
            self._reply(other, response)

    def _reply(self, job: _Job, response: Response) -> None:
        number = job.request.number
        self._jobs.pop(number, None)
        if response.number != number:
            response = msgspec.structs.replace(response, number=number)
        _count_requests(self.name, response.outcome, response.reason).inc()
        job.reply(response)

    def _queue_loop(self) -> None:
        while True:
            gevent.sleep(_QUEUE_TICK)
            if not len(self._queue):
                continue
            late = self._queue.remove_expired(time.monotonic())
            for job in late:
                self._refuse(job, Reason.DEADLINE, self._queue.service_time)

    # Grants

    def _renew_loop(self) -> None:
        while not self._retired:
            try:
                self._renew()
            except UpstreamError as error:
                self._note_silence(error)
            self._woken.wait(self._timing.heartbeat)
            self._woken.clear()

    def _renew(self) -> None:
        unmet = self._ledger.token is None or self._standing_back
        if unmet and not self._meet():
            return
        self._give_up_released()
        self._grant_owned()

    def _meet(self) -> bool:
        """Get a stamp; return whether this keeper may give orders.

        Another keeper that comes first and still renews is left alone:
        two that outdid each other would refuse each other's requests.
        """
        asked_at = time.monotonic()
        status = self._client.fetch_status(self._call_time)
        self._note_status(asked_at, status)
        foreign = status.orderer not in ("", self._orderer)
        self._standing_back = (
            foreign and status.held_ms > 0 and self._rank_of(status.orderer)
        )
        return not self._standing_back

    def _grant_owned(self) -> None:
        standing = self._standing
        now = time.monotonic()
        if standing is None or now >= standing.proved_until:
            # Without authority the call only shows whether it is alive.
            status = self._client.fetch_status(self._call_time)
            self._note_status(now, status)
            return
        owned = {
            key: epoch
            for key, epoch in standing.assignment.list_owned(self.name).items()
            if self._gone.get(key) != epoch
        }
        token = self._ledger.token
        status = self._client.grant(
            Order(self._orderer, token.stamp, standing.proved_until),
            owned,
            self._timing.grant_life,
            self._call_time,
        )
        if self._note_status(now, status):
            return
        self._note_orderer(status)
        refused = set(status.refused)
        taken = {
            key: epoch for key, epoch in owned.items() if key not in refused
        }
        self._ledger.note_granted(token, taken)
        wall = time.time()
        for key, epoch in taken.items():
            self._operations.begin_tenure(key, epoch, wall)

    def _note_orderer(self, status: UpstreamStatus) -> None:
        if status.orderer in ("", self._orderer):
            return
        # Another keeper gave orders in between, so operations may have run
        # that this log does not know.
        self._operations.end_tenures()
        _log.info(
            "orders taken over",
            extra={"upstream": self.name, "from": status.orderer},
        )
        if status.held_ms > 0 and self._rank_of(status.orderer):
            self._standing_back = True

    def _give_up_released(self) -> None:
        standing = self._standing
        if standing is None:
            return
        releasing = {
            key: owner.epoch
            for key, owner in standing.assignment.list_releasing().items()
            if owner.upstream == self.name
        }
        self._released = {
            key: epoch
            for key, epoch in self._released.items()
            if releasing.get(key) == epoch
        }
        # A request that runs is let end, so that a planned move cuts none.
        ready = {
            key: epoch
            for key, epoch in releasing.items()
            if key not in self._released and key not in self._in_flight
        }
        if not ready or not self.service.checks_orders:
            return
        for key in ready:
            self._ledger.drop(key)
        asked_at = time.monotonic()
        status = self._client.release(
            Order(self._orderer, self._ledger.token.stamp, float("inf")),
            ready,
            self._call_time,
        )
        restarted = self._note_status(asked_at, status)
        self._note_orderer(status)
        if not restarted:
            self._released.update(ready)

    @property
    def _call_time(self) -> float:
        return self._timing.silence / 2

    def _note_status(self, asked_at: float, status: UpstreamStatus) -> bool:
        """Take in an answer; return whether the upstream restarted."""
        self._answered_at = time.monotonic()
        token = Token(
            status.stamp, asked_at, self._answered_at, status.incarnation
        )
        restarted = self._ledger.note_token(token)
        if restarted and self._standing is not None:
            # The process that held these grants is gone with its state.
            # The shards go through a release, as after any loss.
            self._gone.update(self._standing.assignment.list_owned(self.name))
            _log.warning("upstream restarted", extra={"peer": self.name})
        self._set_health(Health.RESTARTED if restarted else Health.ALIVE)
        return restarted

    def _note_silence(self, error: UpstreamError) -> None:
        silent = time.monotonic() - self._answered_at
        if silent > self._timing.silence:
            self._set_health(Health.LOST)
        _log.debug("upstream silent", extra={"error": str(error)})

    def _set_health(self, health: Health) -> None:
        if health is not self.health:
            _log.info(
                "upstream health",
                extra={"peer": self.name, "state": health.value},
            )
        self.health = health
