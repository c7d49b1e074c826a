"""Passes requests on to peers that reach their upstreams."""

import enum

import msgspec

from sedgetide.coding.decoding import decode_msgpack
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import UpstreamError
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import NO_UPSTREAM
from sedgetide.core.membership.peers import Peer
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.forwarding import ForwardedRequest
from sedgetide.core.requests.forwarding import ForwardedResult
from sedgetide.core.requests.forwarding import PeerPool
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.stages import Stage
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._hostmetrics import FORWARDED
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.client import ConnectionPool
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import check_status
from sedgetide.wire.messages import Request

FORWARD_PATH = "/forward"
_decoder = msgspec.msgpack.Decoder(ForwardedResult)
# Seconds; a handshake between data centres takes two milliseconds.
_CONNECT_TIMEOUT = 0.15
# Seconds by which a peer's answer is due earlier than that to the caller.
_HOP_TIME = 0.02
_MIN_TIME = 0.01
# A request is offered to so many peers. After that it is more likely that the
# upstream has ended than that a further peer reaches it.
_MAX_ASKED = 3
_RESULT_OVERHEAD = 64 * 1024
_MAX_DETAIL_LENGTH = 80
_OK = 200
# Refused before it was decoded: no memory for the body, or it is too large.
_REFUSED = frozenset({413, 503})


class Detour(enum.Enum):
    """What came of passing a request on.

    Attributes
    ----------
    FINAL
        A peer has decided on it; its result is that of the request.
    DECLINED
        No peer could send it either, and it has not run at any.
    BROKEN
        The connection to a peer broke; it may have run.
    """

    FINAL = "final"
    DECLINED = "declined"
    BROKEN = "broken"


class Forwarder:
    """Passes the requests of one host on to its peers.

    Parameters
    ----------
    host : HostName
        This host.
    deployment : DeploymentState
        Lists the peers.
    peer_pool : PeerPool
        Chooses the peer of each request.
    body_limit : int
        Largest body accepted in an answer.
    memory : BodyBudget or None
        Memory for unfinished answers of all servers; None for no limit.
    """

    def __init__(
        self,
        host: HostName,
        deployment: DeploymentState,
        peer_pool: PeerPool,
        body_limit: int,
        memory: BodyBudget | None = None,
    ) -> None:
        self._host = host
        self._deployment = deployment
        self._peer_pool = peer_pool
        self._result_limit = body_limit + _RESULT_OVERHEAD
        self._memory = memory
        self._pools: dict[str, ConnectionPool] = {}

    @property
    def can_forward(self) -> bool:
        """Whether there are peers to pass requests on to."""
        return bool(self._deployment.peers.peers)

    def forward(self, context: RequestContext, destination: str) -> Detour:
        """Pass a request on, and record the result in its context.

        Parameters
        ----------
        context : RequestContext
            The request.
        destination : str
            Upstream or service that it is for.
        """
        asked: set[str] = set()
        while len(asked) < _MAX_ASKED:
            now = read_clock()
            if context.times.final - now < _HOP_TIME + _MIN_TIME:
                break
            peer = self._peer_pool.choose(
                self._deployment.peers, destination, asked, now
            )
            if peer is None:
                break
            asked.add(peer.address)
            result = self._ask(peer, context)
            if isinstance(result, Detour):
                return result
            if result is None:
                continue
            if not result.declined:
                FORWARDED.labels("sent", result.outcome.value).inc()
                _apply_result(context, result)
                return Detour.FINAL
            FORWARDED.labels("sent", "declined").inc()
            self._peer_pool.note_declined(
                peer, destination, result.cut_off, read_clock()
            )
        context.progress.failure = Failure.UNREACHABLE
        context.failures.append(Failure.UNREACHABLE)
        return Detour.DECLINED

    def _ask(
        self, peer: Peer, context: RequestContext
    ) -> ForwardedResult | Detour | None:
        """Return a peer's result, or None if it could not be asked."""
        try:
            connection = self._find_pool(peer).take(_CONNECT_TIMEOUT)
        except UpstreamError:
            self._peer_pool.note_silent(peer, read_clock())
            FORWARDED.labels("sent", "unconnected").inc()
            return None
        now = read_clock()
        if not context.progress.sends:
            context.held = now - context.times.began
        context.via = peer.address
        self._peer_pool.note_begin(peer)
        # Until there is a result, the peer may have sent it.
        progress = context.progress
        earlier_outcome, progress.outcome = progress.outcome, Outcome.UNKNOWN
        try:
            with context.wait_for(Stage.PEER):
                answer = connection.exchange(
                    self._make_request(peer, context, now),
                    context.times.final - now,
                )
        except UpstreamError as error:
            self._note_broken(peer, context, error)
            return Detour.BROKEN
        finally:
            self._peer_pool.note_end(peer)
        progress.outcome = earlier_outcome
        self._find_pool(peer).give_back(connection)
        return _decode_result(answer)

    def _make_request(
        self,
        peer: Peer,
        context: RequestContext,
        now: float,
    ) -> Request:
        request = context.request
        forwarded = ForwardedRequest(
            self._host,
            request.method,
            request.target,
            request.headers,
            request.body,
            request.caller,
            self._deployment.policy.version,
            now - context.times.began,
            context.times.final - now - _HOP_TIME,
            context.overdue,
            context.progress.sends,
            context.progress.tried,
        )
        body = msgspec.msgpack.encode(forwarded)
        headers = [("Host", peer.address)]
        return Request("POST", FORWARD_PATH, headers, body)

    def _note_broken(
        self, peer: Peer, context: RequestContext, error: UpstreamError
    ) -> None:
        FORWARDED.labels("sent", "broken").inc()
        self._peer_pool.note_silent(peer, read_clock())
        silent = error.code is ErrorCode.UPSTREAM_SILENT
        failure = Failure.SILENT if silent else Failure.BROKEN
        context.progress.sends += 1
        context.progress.outcome = Outcome.UNKNOWN
        context.progress.failure = failure
        context.failures.append(failure)
        context.refusal = None
        context.detail = error.detail[:_MAX_DETAIL_LENGTH]

    def _find_pool(self, peer: Peer) -> ConnectionPool:
        pool = self._pools.get(peer.address)
        if pool is None:
            pool = ConnectionPool(
                peer.address, self._result_limit, memory=self._memory
            )
            self._pools[peer.address] = pool
        return pool

    def prune(self) -> None:
        """Close idle connections, and those to hosts that have ended."""
        for address, pool in list(self._pools.items()):
            pool.prune()
            if not pool.has_idle:
                del self._pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()


def _decode_result(answer: Answer) -> ForwardedResult:
    if answer.status in _REFUSED:
        return ForwardedResult(Outcome.NOT_RUN, declined=True)
    if answer.status != _OK:
        return ForwardedResult(Outcome.UNKNOWN)
    try:
        result = decode_msgpack(answer.body, _decoder)
        if result.status:
            check_status(result.status)
        return result
    except (msgspec.MsgspecError, ValueError):
        # Another process has the address, or the peer's version differs.
        return ForwardedResult(Outcome.UNKNOWN)


def _apply_result(context: RequestContext, result: ForwardedResult) -> None:
    """Record what a peer has done with a request."""
    progress = context.progress
    progress.outcome = combine_outcomes(progress.outcome, result.outcome)
    progress.tried += result.tried
    progress.sends += len(result.tried)
    progress.failure = result.failures[-1] if result.failures else Failure.NONE
    context.failures += result.failures
    context.refusal = None
    if result.status:
        context.answer = Answer(result.status, result.headers, result.body)
        context.answered_by = result.answered_by
        if not context.answered_by and result.outcome is Outcome.ANSWERED:
            context.answered_by = next(reversed(result.tried), NO_UPSTREAM)
    if result.outcome is Outcome.ANSWERED:
        progress.failure = Failure.NONE
        return
    if result.reason:
        context.refusal = Refusal(RefusalReason(result.reason))
    if result.outcome is Outcome.NOT_RUN:
        context.retry_after = result.retry_after
