"""WSGI applications as request handlers of a server."""

from collections.abc import Callable
from collections.abc import Iterable
import io
import sys
from typing import Any
from urllib.parse import unquote_to_bytes

from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Headers
from sedgetide.wire.messages import Request

RAW_TARGET = "sedgetide.target"

Environment = dict[str, Any]
StartResponse = Callable[[str, Headers], Any]
Application = Callable[[Environment, StartResponse], Iterable[bytes]]

# Set by the server for the connection that it has.
_SERVER_HEADERS = frozenset({"content-length", "connection"})


def make_handler(application: Application) -> Callable[[Request], Answer]:
    """Return the handler of requests that calls a WSGI application."""

    def handle(request: Request) -> Answer:
        return _call(application, request)

    return handle


def _call(application: Application, request: Request) -> Answer:
    started: list[tuple[str, Headers]] = []

    def start(status: str, headers: Headers, _: Any = None) -> None:
        started.append((status, headers))

    body = b"".join(application(_make_environment(request), start))
    status, headers = started[-1]
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in _SERVER_HEADERS
    ]
    reusable = ("connection", "close") not in {
        (name.lower(), value.lower()) for name, value in headers
    }
    return Answer(int(status.split()[0]), kept, body, reusable)


def _make_environment(request: Request) -> Environment:
    path, _, query = request.target.partition("?")
    environment = {
        RAW_TARGET: request.target,
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "SERVER_NAME": "",
        "SERVER_PORT": "0",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": request.caller,
        "CONTENT_LENGTH": str(len(request.body)),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.headers:
        _add_header(environment, name.upper().replace("-", "_"), value)
    return environment


def _add_header(environment: Environment, name: str, value: str) -> None:
    if name == "CONTENT_LENGTH":
        return
    variable = name if name == "CONTENT_TYPE" else f"HTTP_{name}"
    if variable in environment:
        value = f"{environment[variable]},{value}"
    environment[variable] = value
