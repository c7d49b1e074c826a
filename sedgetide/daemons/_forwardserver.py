"""Takes the requests that other hosts pass on, and sends them for them."""

from collections.abc import Callable
import contextlib

import msgspec

from sedgetide.coding.addresses import split_address
from sedgetide.coding.decoding import decode_msgpack
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.forwarding import ForwardedRequest
from sedgetide.core.requests.forwarding import ForwardedResult
from sedgetide.daemons._forwardedrequests import DECLINED
from sedgetide.daemons._hostmetrics import FORWARDED
from sedgetide.runtime.sockets import open_listener
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request
from sedgetide.wire.server import ClosureObserver
from sedgetide.wire.server import ignore_closure
from sedgetide.wire.server import Server

# Bytes beside the body: headers and times.
_OVERHEAD = 64 * 1024
# Requests of other hosts in progress. More are left to other peers, so that
# this host's own callers are served.
_MAX_IN_PROGRESS = 100

_decoder = msgspec.msgpack.Decoder(ForwardedRequest)


class ForwardServer:
    """Serves requests that other hosts pass on.

    Parameters
    ----------
    serve : callable
        Serves one such request.
    read_limits : callable
        Returns the limits of callers' requests.
    bodies : BodyBudget
        Limit of the bodies in memory, shared with callers' requests.
    note_closure : callable
        Called with each connection that is closed because of what was
        received on it.
    """

    def __init__(
        self,
        serve: Callable[[ForwardedRequest], ForwardedResult],
        read_limits: Callable[[], CallerLimits],
        bodies: BodyBudget,
        note_closure: ClosureObserver = ignore_closure,
    ) -> None:
        self._serve = serve
        self._read_caller_limits = read_limits
        self._stopping = False
        self._server = Server(
            self._handle,
            lambda request: True,
            self._read_limits,
            bodies,
            note_closure=note_closure,
        )

    def start(self, address: str, stack: contextlib.ExitStack) -> None:
        """Listen at an address; the stack stops it."""
        stack.callback(self._server.stop_accepting)
        self._server.start(open_listener(*split_address(address)))

    def begin_stop(self) -> None:
        """Take no more requests; those in progress are finished."""
        self._stopping = True
        self._server.begin_stop()

    @property
    def in_progress(self) -> int:
        """Number of requests of other hosts without a result."""
        return self._server.in_hand

    def _read_limits(self) -> CallerLimits:
        limits = self._read_caller_limits()
        return CallerLimits(body_bytes=limits.body_bytes + _OVERHEAD)

    def _handle(self, request: Request) -> Answer:
        result = DECLINED
        if not self._stopping and self._server.in_hand <= _MAX_IN_PROGRESS:
            try:
                forwarded = decode_msgpack(request.body, _decoder)
            except msgspec.MsgspecError:
                return Answer(400, [])
            result = self._serve(forwarded)
        label = "declined" if result.declined else result.outcome.value
        FORWARDED.labels("received", label).inc()
        return Answer(200, [], msgspec.msgpack.encode(result))
