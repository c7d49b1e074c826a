"""Loops a daemon can not do without."""

from collections.abc import Callable
import contextlib
import logging
import os

import gevent

EXIT_TASK_FAILED = 70

_log = logging.getLogger(__name__)


def _abort(task: gevent.Greenlet) -> None:
    """End the process when one of its loops has died.

    A keeper whose heartbeats go on while its renewals have stopped would
    hold its upstreams' keys dark; once it is gone, another takes over.
    """
    _log.critical("task failed", extra={"task": str(task)})
    os._exit(EXIT_TASK_FAILED)


def spawn_vital(loop: Callable[[], None], stack: contextlib.ExitStack) -> None:
    """Run a loop until the stack is closed.

    Parameters
    ----------
    loop : callable
        Must handle all errors that are to be expected.
    stack : contextlib.ExitStack
        Ends the loop.
    """
    task = gevent.spawn(loop)
    task.link_exception(_abort)
    stack.callback(task.kill)
