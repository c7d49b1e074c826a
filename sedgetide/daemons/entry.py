"""The entry: accepts requests of callers and answers with the outcome."""

import contextlib
import functools
import logging
from typing import Any

import gevent

from sedgetide.coding.addresses import split_address
from sedgetide.coding.settings import EntrySettings
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.daemons._admin import make_application
from sedgetide.daemons._admin import READINESS_PATH
from sedgetide.daemons._admin import start_admin
from sedgetide.daemons._closurelog import ClosureLog
from sedgetide.daemons._dispatcher import Dispatcher
from sedgetide.daemons._frontend import explain_rejection
from sedgetide.daemons._frontend import Frontend
from sedgetide.daemons._inspection import Inspectable
from sedgetide.daemons._process import make_incarnation
from sedgetide.daemons._process import read_settings
from sedgetide.daemons._process import wait_for_stop
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request
from sedgetide.wire.server import Server
from sedgetide.wire.wsgi import make_handler

_POLL_INTERVAL = 0.02
# Seconds for sending the answers of the requests that end with the entry.
_ANSWER_RESERVE = 0.2

_log = logging.getLogger(__name__)


class Entry(Inspectable):
    """One entry process.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._dispatcher = Dispatcher(settings, make_incarnation())
        self._frontend = Frontend(self._dispatcher, settings.limits)
        self._closures = ClosureLog()
        self._handle = make_handler(self._frontend.make_application())
        limits = settings.limits
        self._caller_limits = CallerLimits(
            limits.header_bytes, limits.body_bytes
        )
        self._server = Server(
            self._serve,
            lambda request: False,
            lambda: self._caller_limits,
            note_closure=functools.partial(self._closures.record, "callers"),
            explain_rejection=explain_rejection,
        )

    def start(self, stack: contextlib.ExitStack) -> None:
        """Listen for callers until the stack is closed."""
        stack.callback(self._dispatcher.close)
        self._dispatcher.start()
        application = make_application(self, READINESS_PATH)
        start_admin(self._settings.admin, application, stack)
        stack.callback(self._server.stop_accepting)
        self._server.start(
            open_listener(*split_address(self._settings.listen))
        )

    def _serve(self, request: Request) -> Answer:
        """Serve a request, to its end also if its caller leaves.

        Its operation may have run already, and a repeat joins it.
        """
        return gevent.spawn(self._handle, request).get()

    def drain(self) -> None:
        """Report not ready, then stop accepting and finish open requests.

        The notice gives the load balancer time to see the readiness probe
        fail. Requests that are still open at the end get an answer.
        """
        self._frontend.closing = True
        gevent.sleep(self._settings.limits.drain_notice)
        self._server.stop_accepting()
        end = read_clock() + self._settings.limits.drain
        self._wait_until(end - _ANSWER_RESERVE)
        self._dispatcher.end_requests()
        self._wait_until(end)
        _log.info("drained", extra={"in_hand": self._frontend.in_hand})

    def _wait_until(self, end: float) -> None:
        """Wait until a time, or until no caller waits for an answer."""
        while self._server.in_hand and read_clock() < end:
            gevent.sleep(_POLL_INTERVAL)

    def is_ready(self) -> bool:
        return (
            not self._frontend.closing
            and self._dispatcher.configured
            and self._dispatcher.has_keeper(read_clock())
        )

    def dump_state(self) -> dict[str, Any]:
        return {
            "host": self._settings.host,
            "data_centre": self._settings.data_centre,
            "closing": self._frontend.closing,
            "closed_connections": self._closures.dump_state(),
            **self._dispatcher.dump_state(),
        }


def run_entry(settings: EntrySettings) -> int:
    """Run an entry until SIGTERM or SIGINT; return its exit code."""
    with contextlib.ExitStack() as stack:
        entry = Entry(settings)
        entry.start(stack)
        _log.info("started", extra={"listen": settings.listen})
        wait_for_stop()
        entry.drain()
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Entry point of ``sedgetide-entry``."""
    settings = read_settings(
        "sedgetide-entry", __doc__, EntrySettings, arguments
    )
    return run_entry(settings)


if __name__ == "__main__":
    raise SystemExit(main())
