"""Admin port: health, readiness, state dump and metrics."""

from collections.abc import Iterable
import contextlib

from sedgetide.coding.addresses import split_address
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.daemons._inspection import Inspectable
from sedgetide.runtime.sockets import open_listener
from sedgetide.wire.server import ClosureObserver
from sedgetide.wire.server import ignore_closure
from sedgetide.wire.server import Server
from sedgetide.wire.wsgi import Application
from sedgetide.wire.wsgi import Environment
from sedgetide.wire.wsgi import make_handler
from sedgetide.wire.wsgi import StartResponse

# Path of the readiness check of entries and keepers.
READINESS_PATH = "/readyz"
_LIMITS = CallerLimits(header_bytes=16 * 1024, body_bytes=64 * 1024)


def _answer_readiness(
    process: Inspectable, respond: StartResponse
) -> list[bytes]:
    ready = process.is_ready()
    body = b"ready\n" if ready else b"not ready\n"
    headers = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
    ]
    respond("200 OK" if ready else "503 Service Unavailable", headers)
    return [body]


def make_application(process: Inspectable, readiness_path: str) -> Application:
    """Return the admin application.

    The balancer's readiness check is answered here; the other pages are
    imported on their first request. Importing them takes 0.08 of the 0.35 s
    of CPU time that a host needs to start, and after a power cut hundreds of
    hosts start at once.

    Parameters
    ----------
    process : Inspectable
        The process to report on.
    readiness_path : str
        Path of the readiness check.
    """
    pages: list[Application] = []

    def serve(
        environment: Environment, respond: StartResponse
    ) -> Iterable[bytes]:
        if environment["PATH_INFO"] == readiness_path:
            return _answer_readiness(process, respond)
        if not pages:
            from sedgetide.daemons._adminpages import make_pages

            pages.append(make_pages(process))
        return pages[0](environment, respond)

    return serve


def start_admin(
    address: str,
    application: Application,
    stack: contextlib.ExitStack,
    note_closure: ClosureObserver = ignore_closure,
) -> None:
    """Serve an admin port until the stack is closed.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    application : callable
        The admin application.
    stack : contextlib.ExitStack
        Stops the server when it is closed.
    note_closure : callable
        Called with each connection that is closed because of what was
        received on it.
    """
    # A page is computed without waiting, and some take milliseconds, so
    # those that one client asks for are computed one after the other.
    server = Server(
        make_handler(application),
        lambda request: False,
        lambda: _LIMITS,
        note_closure=note_closure,
        handler_does_io=False,
    )
    stack.callback(server.stop_accepting)
    server.start(open_listener(*split_address(address)))
