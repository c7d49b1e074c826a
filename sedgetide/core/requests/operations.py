"""Operation ids, which keep a repeated non-idempotent request from rerunning.

The id of an operation is the value of the caller's ``Idempotency-Key`` header.
"""

import collections
from collections.abc import Hashable
import enum
from typing import Generic
from typing import TypeVar
import uuid

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import OperationId

_UUID7_TIME_SHIFT = 80
_MILLISECONDS = 1000.0

AnswerT = TypeVar("AnswerT")


def find_issue_time(operation: OperationId) -> float | None:
    """Return when an operation id was issued.

    Parameters
    ----------
    operation : OperationId
        Value of the caller's ``Idempotency-Key`` header.

    Returns
    -------
    float or None
        Unix time in seconds; None when the id is not a version 7 UUID
        (RFC 9562, section 5.7), whose first 48 bits are its timestamp.
    """
    try:
        parsed = uuid.UUID(operation)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> _UUID7_TIME_SHIFT) / _MILLISECONDS


class Admission(enum.Enum):
    """What to do with a request that carries an operation id.

    Attributes
    ----------
    RUN
        The id is new; run the request.
    JOIN
        The request is running; wait for the answer of that run.
    REPEAT
        The request has run; return the stored answer.
    LOST
        The request may have run under a previous keeper or before the
        window.
    FULL
        The log has no capacity left.
    """

    RUN = "run"
    JOIN = "join"
    REPEAT = "repeat"
    LOST = "lost"
    FULL = "full"


class _Entry(msgspec.Struct, Generic[AnswerT]):
    begun_wall: float
    answer: AnswerT | None = None


class OperationLog(Generic[AnswerT]):
    """Operations that one keeper has run for the shards it serves.

    The log is lost with its keeper. Each keeper therefore records the start
    of its tenure, the time since when it has served a shard. An id issued
    before that may have run under a previous keeper and is answered as
    unknown instead of being run.

    Parameters
    ----------
    window : float
        Seconds for which an answer is kept.
    capacity : int
        Maximum number of operations kept.
    clock_skew : float
        Maximum difference in seconds between the wall clocks of callers and
        hosts.
    """

    def __init__(
        self, window: float, capacity: int, clock_skew: float
    ) -> None:
        self._window = window
        self._capacity = capacity
        self._clock_skew = clock_skew
        self._entries: collections.OrderedDict[
            OperationId, _Entry[AnswerT]
        ] = collections.OrderedDict()
        self._tenures: dict[Hashable, tuple[Epoch, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def begin_tenure(self, shard: Hashable, epoch: Epoch, wall: float) -> None:
        """Record that this keeper serves a shard from now on.

        A call for the current tenure has no effect.
        """
        held = self._tenures.get(shard)
        if held is None or held[0] != epoch:
            self._tenures[shard] = (epoch, wall)

    def end_tenures(self) -> None:
        """Record that another keeper has issued orders for these shards."""
        self._tenures.clear()

    def admit(
        self,
        operation: OperationId,
        shard: Hashable,
        wall: float,
        first_attempt: bool = False,
    ) -> Admission:
        """Decide how to handle a request with an operation id.

        Parameters
        ----------
        operation : OperationId
            A version 7 UUID.
        shard : hashable
            Shard of the request's key.
        wall : float
            Current Unix time in seconds.
        first_attempt : bool
            Whether the caller guarantees that this is its first attempt, so
            that none can have run under a previous keeper.
        """
        self._evict_expired(wall)
        entry = self._entries.get(operation)
        if entry is not None:
            return Admission.JOIN if entry.answer is None else Admission.REPEAT
        if not first_attempt and self._may_have_run(operation, shard, wall):
            return Admission.LOST
        if len(self._entries) >= self._capacity:
            return Admission.FULL
        return Admission.RUN

    def _may_have_run(
        self, operation: OperationId, shard: Hashable, wall: float
    ) -> bool:
        issued = find_issue_time(operation)
        tenure = self._tenures.get(shard)
        if issued is None or tenure is None:
            return True
        if issued <= tenure[1] + self._clock_skew:
            return True
        return issued <= wall - self._window + self._clock_skew

    def begin(self, operation: OperationId, wall: float) -> None:
        """Record that an operation is about to run."""
        self._entries[operation] = _Entry(wall)

    def withdraw(self, operation: OperationId) -> None:
        """Remove an operation that is known not to have run."""
        self._entries.pop(operation, None)

    def finish(self, operation: OperationId, answer: AnswerT) -> None:
        """Store the answer of an operation, also if its outcome is unknown."""
        entry = self._entries.get(operation)
        if entry is not None:
            entry.answer = answer

    def find_answer(self, operation: OperationId) -> AnswerT | None:
        """Return the stored answer, or None while the operation runs."""
        entry = self._entries.get(operation)
        return None if entry is None else entry.answer

    def _evict_expired(self, wall: float) -> None:
        while self._entries:
            operation, entry = next(iter(self._entries.items()))
            if entry.begun_wall > wall - self._window:
                return
            if entry.answer is None:
                return
            del self._entries[operation]
