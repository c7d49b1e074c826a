"""Limit of the bytes of request bodies that a host holds in memory."""

# A forwarded body is in memory up to three times: as the chunks read, joined,
# and in the request to the upstream.
_COPIES = 3
# Megabytes used by a host without any body: 28 to 52 in deployments of up to
# 195 hosts, plus room for about as much again in answers.
_BASE_MEGABYTES = 80
_MIN_BODY_SHARE = 0.1
_MEGABYTE = 1024 * 1024


def compute_body_limit(memory_megabytes: float) -> int:
    """Return how many bytes of bodies fit into the memory of a host.

    Parameters
    ----------
    memory_megabytes : float
        Memory available to the process.
    """
    available = memory_megabytes - _BASE_MEGABYTES
    available = max(available, memory_megabytes * _MIN_BODY_SHARE)
    return int(available * _MEGABYTE / _COPIES)


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
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.held = 0

    def take(self, size: int) -> bool:
        """Reserve bytes; return whether they fit within the limit."""
        if size and self.held + size > self._limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Release reserved bytes."""
        self.held -= size
