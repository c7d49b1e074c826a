"""Watches the event loop of this process for interruptions."""

import contextlib
import time
from typing import Any

import gevent

from sedgetide.core.loopdelay import LoopDelayTracker
from sedgetide.daemons._hostmetrics import LOOP_DELAY_SECONDS
from sedgetide.daemons._hostmetrics import LOOP_INTERRUPTIONS
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.tasks import spawn_vital

_INTERVAL = 0.1


class LoopMonitor:
    """Logs and counts interruptions of the event loop."""

    def __init__(self) -> None:
        self._tracker = LoopDelayTracker(_INTERVAL)

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the task; the stack stops it."""
        spawn_vital(self._watch_loop, stack)

    def _watch_loop(self) -> None:
        while True:
            self._note_wake(read_clock(), time.process_time())
            gevent.sleep(_INTERVAL)

    def _note_wake(self, now: float, processor_time: float) -> None:
        delay = self._tracker.note_wake(now, processor_time)
        LOOP_DELAY_SECONDS.observe(delay.seconds)
        if delay.is_long:
            LOOP_INTERRUPTIONS.labels(delay.cause.value).inc()
        report = self._tracker.take_report(now)
        if report is None:
            return
        longest = report.longest
        log_event(
            Event.LOOP_STALLED,
            seconds=f"{longest.seconds:.2f}",
            processor_seconds=f"{longest.processor_seconds:.2f}",
            cause=longest.cause.value,
            stalls=report.count,
        )

    def dump_state(self) -> dict[str, Any]:
        """Return the interruptions so far for the admin endpoint."""
        longest = self._tracker.longest
        return {
            "interruptions": {
                cause.value: count
                for cause, count in self._tracker.counts.items()
            },
            "longest_seconds": 0.0 if longest is None else longest.seconds,
        }
