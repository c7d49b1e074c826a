"""Clock for leases and other expiring rights."""

import time


def read_clock() -> float:
    """Return seconds of a clock that includes time in suspension.

    CLOCK_MONOTONIC stops while the host is suspended, so that a process
    would consider an expired lease valid after it resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
