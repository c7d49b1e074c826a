"""HTTP frontend of an entry: accepts callers' requests and answers them."""

import functools
import logging
import math
import time
from typing import Any

import falcon
import msgspec
from prometheus_client import Counter
from prometheus_client import Histogram

from sedgetide.backends._connection import is_hop_header
from sedgetide.backends.httpupstream import RESERVED_HEADER_PREFIX
from sedgetide.coding.messages import Response
from sedgetide.coding.settings import Limits
from sedgetide.core.identifiers import OperationId
from sedgetide.core.identifiers import RequestId
from sedgetide.core.requests.operations import find_issue_time
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.routing import Match
from sedgetide.daemons._dispatcher import Call
from sedgetide.daemons._dispatcher import Dispatcher
from sedgetide.daemons._metrics import ENTRY_IN_HAND
from sedgetide.daemons._metrics import ENTRY_REQUESTS
from sedgetide.daemons._metrics import ENTRY_SECONDS
from sedgetide.runtime.clock import read_clock
from sedgetide.wire.messages import Answer
from sedgetide.wire.wsgi import RAW_TARGET

HEADER_OUTCOME = "Sedgetide-Outcome"
HEADER_REASON = "Sedgetide-Reason"
HEADER_OWNER = "Sedgetide-Owner"
HEADER_EPOCH = "Sedgetide-Epoch"
HEADER_DEADLINE = "sedgetide-deadline-ms"
HEADER_ATTEMPT = "sedgetide-attempt"
HEADER_OPERATION = "idempotency-key"

_RETRY_AFTER_OVERLOAD = 1.0

_STATUSES = {
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.SILENT: 504,
    Reason.DEADLINE: 503,
}
_DEFAULT_STATUSES = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 502}

_log = logging.getLogger(__name__)


@functools.lru_cache(maxsize=1024)
def _get_header_name(variable: str) -> str | None:
    """Return the header name of a WSGI variable; None if it is not forwarded.

    Headers with the router's own prefix are dropped, so that callers cannot
    impersonate the router towards upstreams.
    """
    if variable == "CONTENT_TYPE":
        return "Content-Type"
    if not variable.startswith("HTTP_"):
        return None
    name = variable[5:].replace("_", "-").title()
    if is_hop_header(name) or name.lower().startswith(RESERVED_HEADER_PREFIX):
        return None
    return name


def _read_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = []
    for variable, value in environ.items():
        name = _get_header_name(variable)
        if name is not None and value:
            headers.append((name, value))
    return headers


@functools.lru_cache(maxsize=4096)
def _get_request_counter(
    service: str, outcome: Outcome, reason: Reason
) -> Counter:
    return ENTRY_REQUESTS.labels(service, outcome.value, reason.value)


@functools.lru_cache(maxsize=1024)
def _get_duration_histogram(service: str) -> Histogram:
    return ENTRY_SECONDS.labels(service)


class Frontend:
    """Falcon sink that dispatches callers' requests and writes the responses.

    Parameters
    ----------
    dispatcher : Dispatcher
        Executes the calls.
    limits : Limits
        Limits on bodies, headers and requests in progress.
    """

    def __init__(self, dispatcher: Dispatcher, limits: Limits) -> None:
        self._dispatcher = dispatcher
        self._limits = limits
        self.in_hand = 0
        self.closing = False
        ENTRY_IN_HAND.set_function(lambda: self.in_hand)

    def make_application(self) -> falcon.App:
        """Return the WSGI application."""
        application = falcon.App()
        application.add_sink(self.serve, "/")
        application.add_error_handler(Exception, self._handle_error)
        application.add_error_handler(falcon.HTTPError, self._handle_error)
        return application

    def serve(
        self, request: falcon.Request, response: falcon.Response, **_: Any
    ) -> None:
        """Serve one request of a caller and update the metrics."""
        began = read_clock()
        self.in_hand += 1
        try:
            service, result = self._process(request, began)
        finally:
            self.in_hand -= 1
        self._write_response(response, result)
        _get_request_counter(service, result.outcome, result.reason).inc()
        _get_duration_histogram(service).observe(read_clock() - began)

    def _process(
        self, request: falcon.Request, began: float
    ) -> tuple[str, Response]:
        target = request.env[RAW_TARGET]
        path, _, query = target.partition("?")
        if not self._dispatcher.configured:
            return "", _refuse(Reason.NO_CONFIGURATION)
        match = self._dispatcher.match(request.method, path)
        if match is None:
            return "", _refuse(Reason.NO_ROUTE)
        service = match.service.name
        if self.in_hand > self._limits.requests:
            return service, _refuse(Reason.OVERLOAD)
        call = self._read_call(request, match, query, began)
        return service, self._dispatcher.dispatch(call)

    def _read_call(
        self,
        request: falcon.Request,
        match: Match,
        query: str,
        began: float,
    ) -> Call:
        headers = _read_headers(request.env)
        size = sum(len(name) + len(value) for name, value in headers)
        if size > self._limits.header_bytes:
            raise falcon.HTTPRequestHeaderFieldsTooLarge(
                title=f"headers over {self._limits.header_bytes} bytes"
            )
        return Call(
            match,
            request.method,
            f"{match.path}?{query}" if query else match.path,
            headers,
            self._read_body(request),
            began + _read_deadline(request, match),
            _read_operation(request),
            request.get_header(HEADER_ATTEMPT) == "1",
        )

    def _read_body(self, request: falcon.Request) -> bytes:
        limit = self._limits.body_bytes
        if (request.content_length or 0) > limit:
            raise falcon.HTTPContentTooLarge(title=f"body over {limit} bytes")
        try:
            body = request.env["wsgi.input"].read(limit + 1)
        except OSError as error:
            # A truncated body must not be forwarded as a complete one.
            raise falcon.HTTPBadRequest(title="body ended early") from error
        if len(body) > limit:
            raise falcon.HTTPContentTooLarge(title=f"body over {limit} bytes")
        return body

    def _write_response(
        self, response: falcon.Response, result: Response
    ) -> None:
        if result.outcome is Outcome.ANSWERED:
            response.status = result.status
            for name, value in result.headers:
                response.append_header(name, value)
            response.data = result.body
        else:
            self._write_failure(response, result)
        response.set_header(HEADER_OUTCOME, result.outcome.value)
        if result.owner:
            response.set_header(HEADER_OWNER, result.owner)
        if result.epoch:
            response.set_header(HEADER_EPOCH, str(result.epoch))
        if self.closing:
            response.set_header("Connection", "close")

    def _write_failure(
        self, response: falcon.Response, result: Response
    ) -> None:
        default = _DEFAULT_STATUSES[result.outcome]
        response.status = _STATUSES.get(result.reason, default)
        response.set_header(HEADER_REASON, result.reason.value)
        if result.outcome is Outcome.NOT_RUN and response.status == 503:
            seconds = max(1, math.ceil(result.retry_after))
            response.set_header("Retry-After", str(seconds))
        response.media = {
            "outcome": result.outcome.value,
            "reason": result.reason.value,
        }

    def _handle_error(
        self,
        request: falcon.Request,
        response: falcon.Response,
        error: Exception,
        _: dict[str, Any],
    ) -> None:
        if isinstance(error, falcon.HTTPError):
            # Raised only before the request is passed to the dispatcher.
            response.status = error.status
            response.set_header(HEADER_OUTCOME, Outcome.NOT_RUN.value)
            response.media = {"outcome": "not-run", "reason": error.title}
            response.set_header("Connection", "close")
            return
        _log.exception("request failed", extra={"target": request.path})
        self._write_response(
            response,
            Response(RequestId(""), Outcome.UNKNOWN, Reason.BAD_ANSWER),
        )


def explain_rejection(status: int) -> Answer:
    """Return the answer to a request that was not read to its end."""
    document = {"outcome": Outcome.NOT_RUN.value, "reason": "not read"}
    headers = [
        ("Content-Type", falcon.MEDIA_JSON),
        (HEADER_OUTCOME, Outcome.NOT_RUN.value),
    ]
    return Answer(status, headers, msgspec.json.encode(document))


def _refuse(reason: Reason) -> Response:
    return Response(
        RequestId(""),
        Outcome.NOT_RUN,
        reason,
        retry_after=_RETRY_AFTER_OVERLOAD,
    )


def _read_deadline(request: falcon.Request, match: Match) -> float:
    """Return the deadline in seconds; a caller may only shorten it."""
    requested = request.get_header(HEADER_DEADLINE)
    if requested is None:
        return match.route.deadline
    if not requested.isdigit() or int(requested) == 0:
        raise falcon.HTTPBadRequest(
            title=f"{HEADER_DEADLINE}: {requested!r}: accepted is a whole "
            "number of milliseconds above 0"
        )
    return min(int(requested) / 1000.0, match.route.deadline)


def _read_operation(request: falcon.Request) -> OperationId | None:
    operation = request.get_header(HEADER_OPERATION)
    if operation is None:
        return None
    issued = find_issue_time(OperationId(operation))
    if issued is None or issued > time.time() + 1.0:
        # A keeper that took over after the operation had run would treat an
        # id from the future as new and run the operation again.
        raise falcon.HTTPBadRequest(
            title=f"{HEADER_OPERATION}: {operation!r}: accepted is a "
            "version 7 UUID of the present time or before"
        )
    return OperationId(operation)
