"""Background tasks that a daemon depends on."""

from collections.abc import Callable
import contextlib
import logging
import os

import gevent

EXIT_TASK_FAILED = 70

_log = logging.getLogger(__name__)


def _exit_on_failure(task: gevent.Greenlet) -> None:
    """Exit the process after one of its tasks has failed.

    If a keeper sent heartbeats while its renewals have stopped, the keys of
    its upstreams would stay unavailable. After it has exited, another keeper
    takes over.
    """
    _log.critical("task failed", extra={"task": str(task)})
    os._exit(EXIT_TASK_FAILED)


def spawn_vital(loop: Callable[[], None], stack: contextlib.ExitStack) -> None:
    """Run a task until the stack is closed.

    The process exits if the task raises an exception.

    Parameters
    ----------
    loop : callable
        Function that runs forever and handles all expected errors.
    stack : contextlib.ExitStack
        Kills the task when it is closed.
    """
    task = gevent.spawn(loop)
    task.link_exception(_exit_on_failure)
    stack.callback(task.kill)
