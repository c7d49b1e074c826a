"""The task of a keeper that serves one upstream."""

from collections.abc import Callable
import contextlib
import functools
import logging
import time
from typing import Any

import gevent
from gevent.event import Event
import msgspec
from prometheus_client import Counter

from sedgetide.backends.httpupstream import drop_reserved_headers
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamClient
from sedgetide.backends.upstream import UpstreamRequest
from sedgetide.backends.upstream import UpstreamResult
from sedgetide.backends.upstream import UpstreamStatus
from sedgetide.coding.messages import Request
from sedgetide.coding.messages import Response
from sedgetide.coding.settings import KeeperSettings
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Upstream
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.controlcalls import ControlAnswer
from sedgetide.core.ownership.controlcalls import ControlCall
from sedgetide.core.ownership.controlcalls import ControlCallKind
from sedgetide.core.ownership.grants import Token
from sedgetide.core.ownership.leasing import Authorization
from sedgetide.core.ownership.leasing import Health
from sedgetide.core.ownership.leasing import UpstreamLease
from sedgetide.core.requests.operations import Admission
from sedgetide.core.requests.operations import OperationLog
from sedgetide.core.requests.outcomes import judge_failure
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Phase
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.queues import UpstreamQueue
from sedgetide.daemons._metrics import KEEPER_REQUESTS
from sedgetide.daemons._metrics import UPSTREAM_ERRORS
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.tasks import spawn_vital

_INITIAL_SERVICE_TIME = 0.005
_QUEUE_POLL_INTERVAL = 0.02
_CANCEL_TIMEOUT = 0.05
_MOVING_RETRY_DELAY = 0.1
_MILLISECONDS = 1000.0

_log = logging.getLogger(__name__)

_DECLINE_REASONS = {
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
        Client of the upstream; the task closes it.
    settings : KeeperSettings
        Timing and limits.
    outranks : callable
        See :class:`~sedgetide.core.ownership.leasing.UpstreamLease`.
    report_now : callable
        Called to report the upstream's state to the assigner without
        waiting for the next heartbeat.
    """

    def __init__(
        self,
        orderer: str,
        service: Service,
        upstream: Upstream,
        client: UpstreamClient,
        settings: KeeperSettings,
        outranks: Callable[[str], bool],
        report_now: Callable[[], None],
    ) -> None:
        self._report_now = report_now
        self.name = UpstreamName(upstream.name)
        self.service = service
        self.upstream = upstream
        timing, limits = settings.timing, settings.limits
        self.lease = UpstreamLease(
            self.name,
            orderer,
            service.checks_orders,
            timing,
            outranks,
            read_clock(),
        )
        self._orderer = orderer
        self._client = client
        self._timing = timing
        self._queue: UpstreamQueue[_Job] = UpstreamQueue(
            service.slots, limits.queue, _INITIAL_SERVICE_TIME
        )
        self._operations: OperationLog[Response] = OperationLog(
            limits.operation_window, limits.operations, limits.clock_skew
        )
        self._jobs: dict[RequestId, _Job] = {}
        self._joined_jobs: dict[str, list[_Job]] = {}
        self._running: set[gevent.Greenlet] = set()
        self._retired = False
        self._authorization_changed = Event()
        self._stack = contextlib.ExitStack()
        self._stack.callback(client.close)

    def start(self) -> None:
        """Start renewing grants and serving requests."""
        for loop in (self._renew_loop, self._queue_loop):
            spawn_vital(loop, self._stack)

    def reconfigure(
        self,
        service: Service,
        upstream: Upstream,
        client: UpstreamClient | None,
    ) -> None:
        """Apply changed settings; operations and grants are kept.

        Parameters
        ----------
        client : UpstreamClient or None
            Client for the new address; None when it is unchanged.
        """
        self.service = service
        self.upstream = upstream
        self.lease.checks_orders = service.checks_orders
        self._queue.slots = service.slots
        if client is not None:
            self._stack.callback(client.close)
            self._client = client
        self._dispatch()

    def retire(self) -> None:
        """Send no more orders, and refuse queued requests as not run."""
        self._retired = True
        self.lease.retire()
        for job in self._queue.clear():
            self._refuse(job, Reason.NOT_KEEPER, _MOVING_RETRY_DELAY)

    def close(self) -> None:
        """Stop all loops and close the connections."""
        self.retire()
        self._stack.close()

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        return not self._jobs

    def update(self, authorization: Authorization) -> None:
        """Apply a new authorization of this keeper."""
        if self.lease.update(authorization):
            self._authorization_changed.set()

    def dump_state(self) -> dict[str, Any]:
        """Return the fields of the state dump."""
        now = read_clock()
        return {
            "upstream": self.name,
            "health": self.lease.health.value,
            "standing_back": self.lease.standing_back,
            "queued": len(self._queue),
            "running": self._queue.running,
            "service_time": self._queue.service_time,
            "operations": len(self._operations),
            "grants": {
                str(key): epoch
                for key, epoch in self.lease.list_granted(now).items()
            },
        }

    # Requests

    def submit(
        self, request: Request, reply: Callable[[Response], None], now: float
    ) -> None:
        """Queue a request, or refuse it at once."""
        job = _Job(request, reply)
        if self.lease.standing_back:
            self._refuse(job, Reason.NOT_KEEPER, _MOVING_RETRY_DELAY)
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
        """Remove a queued request whose sender no longer waits for it."""
        job = self._jobs.get(number)
        if job is not None and self._queue.remove(job):
            self._refuse(job, Reason.CANCELLED, 0.0)

    def _dispatch(self) -> None:
        while True:
            job, expired = self._queue.take(read_clock())
            for late in expired:
                self._refuse(late, Reason.DEADLINE, self._queue.service_time)
            if job is None:
                return
            gevent.spawn(self._run, job)

    def _run(self, job: _Job) -> None:
        began = read_clock()
        answered = False
        # Registered only once it runs: a greenlet killed before its first
        # step would never free its slot or answer its caller.
        self._running.add(gevent.getcurrent())
        try:
            answered = self._serve(job)
        except Exception:
            _log.exception("request failed")
            self._finish(job, judge_failure(job.phase), Reason.BAD_ANSWER)
        finally:
            self._running.discard(gevent.getcurrent())
            took = read_clock() - began if answered else None
            self._queue.finish(took)
            self._dispatch()

    def _serve(self, job: _Job) -> bool:
        request = job.request
        if request.operation is None or request.idempotent:
            return self._send(job)
        verdict = self._operations.admit(
            request.operation,
            request.shard,
            time.time(),
            request.first_attempt,
        )
        match verdict:
            case Admission.RUN:
                self._operations.begin(request.operation, time.time())
                job.owns_operation = True
                return self._send(job)
            case Admission.JOIN:
                waiting = self._joined_jobs.setdefault(request.operation, [])
                waiting.append(job)
            case Admission.REPEAT:
                remembered = self._operations.find_answer(request.operation)
                self._reply(job, remembered)
            case Admission.LOST:
                self._finish(job, Outcome.UNKNOWN, Reason.OPERATION_LOST)
            case Admission.FULL:
                self._refuse(job, Reason.OVERLOAD, 1.0)
        return False

    def _send(self, job: _Job) -> bool:
        request, lease = job.request, self.lease
        now = read_clock()
        refusal_reason = lease.find_refusal_reason(
            request.shard, request.expires, now
        )
        if refusal_reason is not None:
            self._refuse(job, refusal_reason, _MOVING_RETRY_DELAY)
            return False
        epoch = lease.find_epoch(request.shard)
        send_deadline = lease.find_send_deadline(
            request.shard, request.expires
        )
        upstream_request = UpstreamRequest(
            request.number,
            request.method,
            request.path,
            request.headers,
            request.body,
            request.shard,
            epoch,
            request.expires - lease.token.received_at,
        )
        lease.begin_request(request.shard)
        job.phase = Phase.HANDED_OVER
        try:
            result = self._client.run(
                OrderContext(self._orderer, lease.token.stamp, send_deadline),
                upstream_request,
                request.expires - now,
                fresh=not request.idempotent,
            )
        except UpstreamError as error:
            self._handle_failure(job, error)
            return False
        finally:
            lease.end_request(request.shard)
        return self._handle_result(job, result, epoch)

    def _handle_result(
        self, job: _Job, result: UpstreamResult, epoch: Epoch
    ) -> bool:
        if result.declined:
            job.phase = Phase.DECLINED
            reason = _DECLINE_REASONS.get(result.declined, Reason.SHED)
            self._refuse(job, reason, self._queue.service_time)
            return False
        job.phase = Phase.ANSWERED
        answer = result.answer
        response = Response(
            job.request.number,
            Outcome.ANSWERED,
            Reason.NONE,
            answer.status,
            drop_reserved_headers(answer.headers),
            answer.body,
            self.name,
            epoch,
        )
        self._complete(job, response)
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
            if self._cancel_if_not_begun(job.request.number):
                job.phase = Phase.DECLINED
        self._finish(job, judge_failure(job.phase), reason)

    def _cancel_if_not_begun(self, number: str) -> bool:
        """Cancel a request; return whether the upstream never began it."""
        try:
            return self._client.cancel(number, _CANCEL_TIMEOUT)
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
        self._complete(job, response)

    def _complete(self, job: _Job, response: Response) -> None:
        # Only the job that began the operation may complete it. If another
        # job with the same id that expired in the queue released the id, a
        # third could run the operation again while the first still runs.
        if job.owns_operation:
            self._complete_operation(job, response)
        self._reply(job, response)

    def _complete_operation(self, job: _Job, response: Response) -> None:
        operation = job.request.operation
        if response.outcome is Outcome.NOT_RUN:
            self._operations.withdraw(operation)
        else:
            self._operations.finish(operation, response)
        for other in self._joined_jobs.pop(operation, ()):
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
            gevent.sleep(_QUEUE_POLL_INTERVAL)
            if not len(self._queue):
                continue
            late = self._queue.remove_expired(read_clock())
            for job in late:
                self._refuse(job, Reason.DEADLINE, self._queue.service_time)

    # Control calls

    def _renew_loop(self) -> None:
        while not self._retired:
            call = self.lease.next_call(read_clock())
            answered = self._make_control_call(call)
            following = self.lease.next_call(read_clock())
            if answered and following.kind is not call.kind:
                continue
            if not answered and self.lease.health is not Health.LOST:
                # The failed call closed its connection. A retry on a new
                # one tells a lost connection from a lost upstream.
                gevent.sleep(_QUEUE_POLL_INTERVAL)
                continue
            self._authorization_changed.wait(self._timing.heartbeat)
            self._authorization_changed.clear()

    def _make_control_call(self, call: ControlCall) -> bool:
        """Make a control call; return whether it was answered."""
        asked_at = read_clock()
        health = self.lease.health
        try:
            status = self._send_control_call(call)
        except UpstreamError as error:
            if error.code is not ErrorCode.TOO_LATE:
                self._note_failed_call(call if error.sent else None)
            self._handle_health_change(health)
            return False
        received_at = read_clock()
        answer = ControlAnswer(
            Token(status.stamp, asked_at, received_at, status.incarnation),
            status.orderer,
            status.held_ms / _MILLISECONDS,
            frozenset(status.refused),
        )
        if self.lease.note_answer(call, answer):
            self._operations.end_tenures()
            _log.info(
                "orders taken over",
                extra={"upstream": self.name, "from": status.orderer},
            )
        if call.kind is ControlCallKind.GRANT:
            self._begin_tenures(call, answer)
        elif call.kind is ControlCallKind.RELEASE:
            self._report_now()
        self._handle_health_change(health)
        return True

    def _note_failed_call(self, sent: ControlCall | None) -> None:
        if self.lease.note_failure(read_clock(), sent):
            self._operations.end_tenures()

    def _send_control_call(self, call: ControlCall) -> UpstreamStatus:
        timeout = self._timing.silence / 2
        if call.kind is ControlCallKind.STATUS:
            return self._client.fetch_status(timeout)
        order = OrderContext(
            self._orderer,
            call.token.stamp,
            call.not_after,
            call.token.incarnation,
        )
        if call.kind is ControlCallKind.RELEASE:
            return self._client.release(order, call.shards, timeout)
        return self._client.grant(
            order, call.shards, self._timing.grant_life, timeout
        )

    def _begin_tenures(self, call: ControlCall, answer: ControlAnswer) -> None:
        wall = time.time()
        for key, epoch in call.shards.items():
            if key not in answer.refused:
                self._operations.begin_tenure(key, epoch, wall)

    def _handle_health_change(self, before: Health) -> None:
        health = self.lease.health
        if health is before:
            return
        _log.info(
            "upstream health",
            extra={"peer": self.name, "state": health.value},
        )
        if health is Health.LOST:
            self._fail_running_requests()
            self._report_now()

    def _fail_running_requests(self) -> None:
        """Fail the requests that a lost upstream has not answered.

        The upstream may be frozen. Without this, their callers would wait
        until the deadline for an owner that is being replaced.
        """
        lost = UpstreamError(
            ErrorCode.UPSTREAM_SILENT,
            Step.ANSWER,
            self.upstream.address,
            "upstream lost while a request was running",
            sent=True,
        )
        for task in list(self._running):
            task.kill(lost, block=False)
