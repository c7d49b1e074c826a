"""Limits of bytes and time for one request or response on a connection."""

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.requests.closures import CloseReason

# Bytes a second that a body has to come, or a response has to be read, with.
MIN_RATE = 500
# Bytes besides the body: head, lines of chunks and trailers.
_MIN_FRAMING_BYTES = 64 * 1024
# Chunks of five bytes or more have no more framing than content.
_FRAMING_PER_BODY = 1


class TransferDeadline:
    """Time by which more of a body has to be transferred.

    Bytes that come without a pause never let a timeout for the next ones
    expire, and single bytes restart it, so the whole transfer has a limit
    that grows with what has been transferred.

    Parameters
    ----------
    began : float
        Time at which the transfer began, in seconds.
    patience : float
        Seconds without any progress, and in excess of those at the lowest
        rate, that are allowed.
    """

    def __init__(self, began: float, patience: float) -> None:
        self._began = began
        self._patience = patience
        self._progress_at = began
        self._size = 0

    def note_progress(self, size: int, now: float) -> None:
        """Record that further bytes were transferred."""
        self._size += size
        self._progress_at = now

    def find_end(self) -> float:
        """Return the time at which the transfer is to be given up."""
        by_rate = self._began + self._size / MIN_RATE
        return min(by_rate, self._progress_at) + self._patience


class RequestLimits:
    """Limits for the request that a connection is reading.

    Parameters
    ----------
    limits : CallerLimits
        Limits in force.
    now : float
        Time of its first byte, in seconds.

    Attributes
    ----------
    has_length : bool
        Whether its head has announced a length of the body.
    """

    def __init__(self, limits: CallerLimits, now: float) -> None:
        self._limits = limits
        self._began = now
        self._body: TransferDeadline | None = None
        self._received = 0
        self._body_bytes = 0
        self.has_length = False

    @property
    def in_body(self) -> bool:
        """Whether its head is complete."""
        return self._body is not None

    def note_received(self, size: int) -> None:
        """Count bytes that were passed to the parser."""
        self._received += size

    def note_head(self, length: int, now: float) -> CloseReason | None:
        """Record that the head is complete; return why it is refused.

        Parameters
        ----------
        length : int
            Announced length of the body; 0 when there is none.
        now : float
            Current time in seconds.
        """
        self._body = TransferDeadline(now, self._limits.header_timeout)
        self.has_length = length > 0
        if length > self._limits.body_bytes:
            return CloseReason.BODY_TOO_LONG
        return None

    def note_body(self, size: int, now: float) -> CloseReason | None:
        """Count bytes of the body; return why it is refused."""
        self._body.note_progress(size, now)
        self._body_bytes += size
        if self._body_bytes > self._limits.body_bytes:
            return CloseReason.BODY_TOO_LONG
        return None

    def find_excess(self, now: float) -> CloseReason | None:
        """Return why no more may be read of an incomplete request.

        Called when all bytes received so far have been parsed.
        """
        if now > self.find_end():
            return CloseReason.TOO_SLOW
        framing = self._received - self._body_bytes
        allowed = max(_MIN_FRAMING_BYTES, 2 * self._limits.header_bytes)
        if framing > allowed + _FRAMING_PER_BODY * self._body_bytes:
            return CloseReason.FRAMING_TOO_LONG
        return None

    def find_end(self) -> float:
        """Return the time at which the request is to be given up."""
        if self._body is None:
            return self._began + self._limits.header_timeout
        return self._body.find_end()
