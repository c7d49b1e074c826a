"""The keeper: renews grants, queues requests, assigns shards."""

import contextlib
import logging

import gevent

from sedgetide.coding.settings import KeeperSettings
from sedgetide.daemons._admin import make_application
from sedgetide.daemons._admin import READINESS_PATH
from sedgetide.daemons._admin import start_admin
from sedgetide.daemons._control import Control
from sedgetide.daemons._process import make_incarnation
from sedgetide.daemons._process import read_settings
from sedgetide.daemons._process import wait_for_stop
from sedgetide.runtime.clock import read_clock

_POLL_INTERVAL = 0.02

_log = logging.getLogger(__name__)


def _drain(control: Control, settings: KeeperSettings) -> None:
    """Wait until peers have taken over and open requests have ended."""
    control.begin_leaving()
    started_at = read_clock()
    notice = settings.limits.drain_notice
    while read_clock() - started_at < settings.limits.drain:
        waited = read_clock() - started_at
        if control.idle and waited >= notice:
            break
        gevent.sleep(_POLL_INTERVAL)
    _log.info("drained", extra={"idle": control.idle})


def run_keeper(settings: KeeperSettings) -> int:
    """Run a keeper until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit code.
    """
    with contextlib.ExitStack() as stack:
        control = Control(settings, make_incarnation())
        stack.callback(control.close)
        control.start()
        application = make_application(control, READINESS_PATH)
        start_admin(settings.admin, application, stack)
        _log.info("started", extra={"link": settings.link})
        wait_for_stop()
        _drain(control, settings)
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Entry point of ``sedgetide-keeper``."""
    settings = read_settings(
        "sedgetide-keeper", __doc__, KeeperSettings, arguments
    )
    return run_keeper(settings)


if __name__ == "__main__":
    raise SystemExit(main())
