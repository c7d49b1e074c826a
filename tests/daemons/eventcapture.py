"""Captures the events that a test logs."""

import logging


class _Capture(logging.Handler):
    def __init__(self, events):
        super().__init__()
        self._events = events

    def emit(self, record):
        self._events.append(vars(record))


def capture_events(test):
    """Return a list that gets the fields of each event until a test ends."""
    events = []
    handler = _Capture(events)
    log = logging.getLogger("sedgetide")
    test.addCleanup(log.setLevel, log.level)
    log.setLevel(logging.INFO)
    log.addHandler(handler)
    test.addCleanup(log.removeHandler, handler)
    return events
