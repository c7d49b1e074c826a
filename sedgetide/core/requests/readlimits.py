"""Limits of what is read of one answer, in bytes, pieces and time."""

import enum

from sedgetide.core.requests.bodylimits import BodyBudget

_KILOBYTE = 1024
# Bytes of an answer's status line and headers, with those of the interim
# answers before it.
MAX_HEAD_BYTES = 64 * _KILOBYTE
# Header lines of all these heads. A parser needs some microseconds a line.
_MAX_HEAD_LINES = 1000
_MAX_HEADS = 16
# Spaces and tabs in a row in a head. h11 needs time that grows with their
# square on a line that it refuses: 11 s for 60,000, 0.2 ms for 256.
_MAX_BLANKS = 256
_TABS_AS_SPACES = bytes.maketrans(b"\t", b" ")
# Bytes of chunk sizes, chunk extensions and trailers that any answer may
# have; one with a larger body may have as many again as the body.
_MAX_FRAMING_BYTES = 32 * _KILOBYTE
# Bytes of one chunk size with its extension, or of all trailers.
_MAX_FRAMING_PART = 2 * _KILOBYTE
# Chunks that any answer may have, and bytes of a body that allow for one
# more. A parser needs some ten microseconds a chunk.
_MAX_CHUNKS = 4096
_MIN_CHUNK_BYTES = 64
# Bytes of a body that count towards the memory for all bodies of one peer
# only once there are more of them.
_FREE_BODY_BYTES = 1024 * _KILOBYTE
# Bytes of a body that count towards the memory for all unfinished answers
# only once there are more of them, so that small answers are never cut for
# the size of others.
_SMALL_BODY_BYTES = 64 * _KILOBYTE
# Bytes after which a read pauses, and seconds. Without pauses, a few bodies
# without end take nearly all of the processor time of a host.
_UNPACED_BYTES = 4 * 1024 * _KILOBYTE
_PAUSE = 0.008


class ReadBound(enum.Enum):
    """What ended the read of an answer that was not complete.

    Attributes
    ----------
    HEAD
        Bytes or lines of the head, with interim answers.
    BODY
        Bytes of the body.
    FRAMING
        Bytes of chunk sizes, extensions and trailers.
    CHUNKS
        Number of chunks, for the size of the body.
    MEMORY
        Bytes of unfinished bodies of one peer, or of all.
    TIME
        Time allowed for the exchange, although bytes arrived.
    """

    HEAD = "head"
    BODY = "body"
    FRAMING = "framing"
    CHUNKS = "chunks"
    MEMORY = "memory"
    TIME = "time"


class ReadCut(Exception):
    """Raised when an answer exceeds a limit.

    Parameters
    ----------
    bound : ReadBound
        The limit that was exceeded.
    detail : str
        What was received, and how much is allowed.
    """

    def __init__(self, bound: ReadBound, detail: str) -> None:
        super().__init__(detail)
        self.bound = bound


def has_many_blanks(data: bytes) -> bool:
    """Return whether so many blanks follow each other that h11 is slow.

    Line ends don't separate them: h11 joins folded lines before it checks
    them.
    """
    return b" " * _MAX_BLANKS in data.translate(_TABS_AS_SPACES, b"\r\n")


class _Reservation:
    """Bytes of one body in a budget of unfinished bodies.

    Parameters
    ----------
    budget : BodyBudget
        The budget.
    threshold : int
        Size of the body in bytes from which on it counts.
    whose : str
        Whose bodies share the budget, for the error.
    """

    def __init__(self, budget: BodyBudget, threshold: int, whose: str) -> None:
        self._budget = budget
        self._threshold = threshold
        self._whose = whose
        self._size = 0

    def extend(self, size: int, total: int) -> None:
        """Reserve more bytes of a body; raise `ReadCut` if there are none."""
        if total <= self._threshold:
            return
        if not self._budget.take(size):
            raise ReadCut(
                ReadBound.MEMORY,
                f"no memory after {total} bytes of the response body, "
                f"{self._budget.held} bytes of {self._whose} are unfinished",
            )
        self._size += size

    def release(self) -> None:
        self._budget.give_back(self._size)
        self._size = 0


class ReadBudget:
    """Decides whether one more part of an answer may be read.

    Parameters
    ----------
    body_limit : int
        Maximum size of the body in bytes.
    deadline : float
        Time of the own clock at which the read ends.
    bodies : BodyBudget or None
        Memory for the unfinished bodies of all answers of the peer; None for
        no limit.
    memory : BodyBudget or None
        Memory for the unfinished bodies of all peers; None for no limit.

    Attributes
    ----------
    received : int
        Bytes of the answer that were received.
    """

    def __init__(
        self,
        body_limit: int,
        deadline: float,
        bodies: BodyBudget | None = None,
        memory: BodyBudget | None = None,
    ) -> None:
        self._reservations = [
            _Reservation(budget, threshold, whose)
            for budget, threshold, whose in (
                (memory, _SMALL_BODY_BYTES, "all peers"),
                (bodies, _FREE_BODY_BYTES, "the peer"),
            )
            if budget is not None
        ]
        self._body_limit = body_limit
        self._deadline = deadline
        self._head_bytes = 0
        self._head_lines = 0
        self._heads = 0
        self._body_bytes = 0
        self._chunks = 0
        self.received = 0

    def check_time(self, now: float) -> None:
        """Raise `ReadCut` when the time is over."""
        if now >= self._deadline:
            raise self.make_time_cut()

    def make_time_cut(self) -> ReadCut:
        """Return the exception for an answer that took too long."""
        return ReadCut(
            ReadBound.TIME,
            f"no complete response in time, {self.received} bytes received",
        )

    def note_received(self, size: int) -> None:
        """Count received bytes."""
        self.received += size

    def check_open_head(self, size: int) -> None:
        """Check a head of which a number of bytes has arrived so far."""
        if self._head_bytes + size > MAX_HEAD_BYTES:
            raise ReadCut(
                ReadBound.HEAD,
                f"response head larger than {MAX_HEAD_BYTES} bytes",
            )

    def note_head(self, head: bytes) -> None:
        """Check a complete head before it is parsed."""
        self.check_open_head(len(head))
        self._head_bytes += len(head)
        self._head_lines += head.count(b"\n")
        self._heads += 1
        if self._head_lines > _MAX_HEAD_LINES:
            raise ReadCut(
                ReadBound.HEAD,
                f"response head of more than {_MAX_HEAD_LINES} lines",
            )
        if self._heads > _MAX_HEADS:
            raise ReadCut(
                ReadBound.HEAD, f"more than {_MAX_HEADS} interim responses"
            )
        if has_many_blanks(head):
            raise ReadCut(
                ReadBound.HEAD,
                f"response head with {_MAX_BLANKS} spaces in a row",
            )

    def check_length(self, size: int) -> None:
        """Check the size of a body, announced or received."""
        if size > self._body_limit:
            raise ReadCut(
                ReadBound.BODY,
                f"response body larger than {self._body_limit} bytes",
            )

    def note_body(self, size: int, chunks: int = 0) -> None:
        """Count bytes of the body, and chunks that begin in them."""
        self._body_bytes += size
        self._chunks += chunks
        self.check_length(self._body_bytes)
        for reservation in self._reservations:
            reservation.extend(size, self._body_bytes)
        if self._chunks > _MAX_CHUNKS + self._body_bytes / _MIN_CHUNK_BYTES:
            raise ReadCut(
                ReadBound.CHUNKS,
                f"{self._chunks} chunks for {self._body_bytes} bytes of the "
                "response body",
            )

    def release(self) -> None:
        """Release the memory of the body when the read has ended."""
        for reservation in self._reservations:
            reservation.release()

    def find_pause(self) -> float:
        """Return for how many seconds the read pauses to let others run."""
        return _PAUSE if self.received > _UNPACED_BYTES else 0.0

    def check_framing_part(self, size: int) -> None:
        """Check a chunk size without an end, or trailers."""
        if size > _MAX_FRAMING_PART:
            raise ReadCut(
                ReadBound.FRAMING,
                f"chunk size or trailers larger than {_MAX_FRAMING_PART} "
                "bytes",
            )

    def check_framing(self) -> None:
        """Check the bytes after the head that are not part of the body.

        Called when the parser needs more data.
        """
        framing = self.received - self._head_bytes - self._body_bytes
        if framing > _MAX_FRAMING_BYTES + self._body_bytes:
            raise ReadCut(
                ReadBound.FRAMING,
                f"{framing} bytes of chunk sizes and trailers for "
                f"{self._body_bytes} bytes of the response body",
            )
