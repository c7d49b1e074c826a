"""Interruptions of an event loop, seen as late wakes of a periodic task.

While an event loop stands, no greenlet reads a message, renews a grant or
notices a timeout, though the kernel keeps the connections of the process
open. Other processes see the same when the process is stopped.
"""

import enum

import msgspec

# Seconds by which a wake is late before it counts as an interruption. Grants
# may be sent 50 ms after the decision; a tenth of a second delays orders.
_MIN_INTERRUPTION = 0.1
# Share of an interruption in which the process ran, from which on it counts as
# busy. Other processes take some of the time on a loaded machine.
_MIN_BUSY_SHARE = 0.1
# Seconds between two reports, so that a loop that is late at each wake doesn't
# fill the log.
_REPORT_INTERVAL = 1.0


class InterruptionCause(enum.Enum):
    """Why an event loop was interrupted.

    Attributes
    ----------
    BUSY
        The process ran: a greenlet did not yield.
    PAUSED
        The process did not run: it was stopped, or waited for a processor or
        in a system call, or the machine was suspended.
    """

    BUSY = "busy"
    PAUSED = "paused"


class Interruption(msgspec.Struct, frozen=True):
    """A time in which an event loop did not run.

    Parameters
    ----------
    seconds : float
        By how much the wake after it was late.
    processor_seconds : float
        Processor time that the process used since the wake before it.
    """

    seconds: float
    processor_seconds: float

    @property
    def is_long(self) -> bool:
        """Whether it is more than the usual lateness of a wake."""
        return self.seconds >= _MIN_INTERRUPTION

    @property
    def cause(self) -> InterruptionCause:
        """Whether the process ran meanwhile."""
        if self.processor_seconds >= _MIN_BUSY_SHARE * self.seconds:
            return InterruptionCause.BUSY
        return InterruptionCause.PAUSED


class InterruptionReport(msgspec.Struct, frozen=True):
    """Interruptions since the report before.

    Parameters
    ----------
    longest : Interruption
        The longest one.
    count : int
        Number of interruptions.
    """

    longest: Interruption
    count: int


class LoopDelayTracker:
    """Finds interruptions by the lateness of a periodic wake.

    Parameters
    ----------
    interval : float
        Seconds between two wakes.

    Attributes
    ----------
    counts : dict
        Number of interruptions by cause.
    longest : Interruption or None
        Longest interruption so far.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._woken_at = float("inf")
        self._processor_time = 0.0
        self._reported_at = float("-inf")
        self._unreported: list[Interruption] = []
        self.counts = dict.fromkeys(InterruptionCause, 0)
        self.longest: Interruption | None = None

    def note_wake(self, now: float, processor_time: float) -> Interruption:
        """Record a wake; return by how much it was late.

        The first wake is never late.

        Parameters
        ----------
        now : float
            Current time in seconds, of a clock that includes suspension.
        processor_time : float
            Processor time of the process so far, in seconds.
        """
        late = max(0.0, now - self._woken_at - self._interval)
        found = Interruption(late, processor_time - self._processor_time)
        self._woken_at = now
        self._processor_time = processor_time
        if found.is_long:
            self._note_interruption(found)
        return found

    def _note_interruption(self, found: Interruption) -> None:
        self.counts[found.cause] += 1
        self._unreported.append(found)
        if self.longest is None or found.seconds > self.longest.seconds:
            self.longest = found

    def take_report(self, now: float) -> InterruptionReport | None:
        """Return the interruptions to report now, if there are any."""
        if not self._unreported or now - self._reported_at < _REPORT_INTERVAL:
            return None
        longest = max(self._unreported, key=lambda each: each.seconds)
        report = InterruptionReport(longest, len(self._unreported))
        self._unreported.clear()
        self._reported_at = now
        return report
