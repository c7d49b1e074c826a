"""Shared code of the simulated servers: serving, options, JSON answers."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import signal
import sys
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from gevent.socket import socket
import msgspec

from sedgetide.runtime.sockets import open_listener
from sedgetide.wire.server import Server

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}


def read_json(environ: dict[str, Any]) -> Any:
    """Return the decoded JSON body of a request; ``{}`` when it is empty."""
    body = environ["wsgi.input"].read()
    return msgspec.json.decode(body) if body else {}


def answer(
    start_response: StartResponse,
    status: int,
    document: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send a JSON answer."""
    body = msgspec.json.encode(document)
    start_response(
        STATUS_LINES[status],
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def add_listen_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the listen address and port."""
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)


@contextlib.contextmanager
def serve(application: Callable[..., Iterable[bytes]]) -> Iterator[str]:
    """Serve an application in this process for the duration of a block.

    Yields
    ------
    str
        ``IP:port`` of the server.
    """
    listener = open_listener("127.0.0.1", 0)
    server = WSGIServer(listener, application, log=None, error_log=None)
    server.start()
    host, port = listener.getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.stop(timeout=0.1)


def serve_until_signal(
    application: Callable[..., Iterable[bytes]],
    address: str,
    port: int,
    connections: int = 10_000,
) -> int:
    """Serve until SIGTERM; print the address once listening.

    Parameters
    ----------
    connections : int
        Maximum number of concurrent connections; more wait to be accepted.
    """
    listener = open_listener(address, port)
    server = WSGIServer(
        listener,
        application,
        spawn=Pool(connections),
        log=None,
        error_log=sys.stderr,
    )
    server.start()
    host, bound = listener.getsockname()[:2]
    print(f"{host}:{bound}", flush=True)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    stopped.wait()
    server.stop(timeout=0.1)
    return 0


def run_server(server: Server, listener: socket) -> int:
    """Run a :class:`Server` on a listening socket until SIGTERM."""
    server.start(listener)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    stopped.wait()
    return 0
