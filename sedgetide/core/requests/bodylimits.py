"""Limits of the bytes of bodies that a host holds in memory."""

import msgspec

# A forwarded body is in memory up to three times: as the chunks read, joined,
# and in the request to the upstream.
_COPIES = 3
# Megabytes used by a host without any body: 28 to 52 in deployments of up to
# 195 hosts, plus room for about as much again in answers.
_BASE_MEGABYTES = 80
_MIN_BODY_SHARE = 0.1
# Share of the memory for bodies that unfinished answers may take, so that
# callers can upload while upstreams send answers without end.
_ANSWER_SHARE = 0.5
# Bytes of memory for a byte of a body that grows while it is read.
_GROWTH_COPIES = 2
_MEGABYTE = 1024 * 1024


def compute_body_limit(memory_megabytes: float) -> int:
    """Return how many bytes of request bodies fit into a host's memory.

    Parameters
    ----------
    memory_megabytes : float
        Memory available to the process.
    """
    return _compute_available(memory_megabytes) // _COPIES


def _compute_available(memory_megabytes: float) -> int:
    available = memory_megabytes - _BASE_MEGABYTES
    available = max(available, memory_megabytes * _MIN_BODY_SHARE)
    return int(available * _MEGABYTE)


class BodyBudget:
    """Counts the bytes of bodies held in memory against a limit.

    Uploads arrive at the combined rate of many callers and leave at the rate
    of their upstreams. Without a limit, a few dozen large uploads exhaust
    the memory of the process, which then loses every request in progress.
    With one, the caller of an upload that does not fit is told at once that
    it was not run.

    Parameters
    ----------
    limit : int
        Maximum number of bytes.
    memory : BodyBudget or None
        Budget in which these bytes count as well; None for none.
    copies : int
        How many times they count there.
    """

    def __init__(
        self, limit: int, memory: "BodyBudget | None" = None, copies: int = 1
    ) -> None:
        self._limit = limit
        self._memory = memory
        self._copies = copies
        self.held = 0

    def take(self, size: int) -> bool:
        """Reserve bytes; return whether they fit within the limit."""
        if size and self.held + size > self._limit:
            return False
        if self._memory is not None and not self._memory.take(
            size * self._copies
        ):
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Release reserved bytes."""
        self.held -= size
        if self._memory is not None:
            self._memory.give_back(size * self._copies)


class BodyMemory(msgspec.Struct, frozen=True):
    """Budgets of the bodies that a host holds in memory.

    Parameters
    ----------
    requests : BodyBudget
        Bodies of requests, from their arrival to the answer.
    answers : BodyBudget
        Bodies of answers that are not complete yet, of all servers.
    """

    requests: BodyBudget
    answers: BodyBudget


def make_body_memory(memory_megabytes: float) -> BodyMemory:
    """Return the budgets of a host, which share its memory.

    Parameters
    ----------
    memory_megabytes : float
        Memory available to the process.
    """
    available = _compute_available(memory_megabytes)
    memory = BodyBudget(available)
    return BodyMemory(
        BodyBudget(compute_body_limit(memory_megabytes), memory, _COPIES),
        BodyBudget(
            int(available * _ANSWER_SHARE / _GROWTH_COPIES),
            memory,
            _GROWTH_COPIES,
        ),
    )
