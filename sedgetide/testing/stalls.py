"""Stalls of simulated processes, on a signal.

A process that stalls is busy: its event loop doesn't run, while its kernel
keeps the connections open and accepts data. A stopped process looks the same
to others, but uses no processor time.
"""

import signal
import time

import gevent

# Seconds between the lengths of two signals, and number of signals.
_STEP = 0.5
_STEPS = 10


def keep_busy(seconds: float) -> None:
    """Use the processor for a time, without running the event loop."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


def find_stall_signal(seconds: float) -> int:
    """Return the signal for a stall.

    Parameters
    ----------
    seconds : float
        Length of the stall: 0.5 to 5, in steps of 0.5.
    """
    number = round(seconds / _STEP)
    if not 1 <= number <= _STEPS or number * _STEP != seconds:
        raise ValueError(
            f"{seconds} s, accepted are multiples of {_STEP} up to "
            f"{_STEP * _STEPS}"
        )
    return signal.SIGRTMIN + number


def install_stalls() -> None:
    """Let this process stall on the signals."""
    for number in range(1, _STEPS + 1):
        gevent.signal_handler(
            signal.SIGRTMIN + number, keep_busy, number * _STEP
        )
