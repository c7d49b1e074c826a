"""The clock on which leases and proofs rest."""

import time


def read_clock() -> float:
    """Return seconds of a clock that runs on while the host is suspended.

    The plain monotonic clock stands still then: a holder would wake up
    with a lease that had run out long ago and believe in it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
