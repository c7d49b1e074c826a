"""How many bytes of callers' bodies a host may hold."""

# A body that is being passed on stands in memory up to three times: as it was
# read, as one piece, and in the request to the upstream.
_COPIES = 3
# Megabytes that a host takes without any body: 28 to 52 on hosts of up to
# 195, and room for as much again in answers.
_OWN_MEGABYTES = 80
_LEAST_SHARE = 0.1
_MEGABYTE = 1024 * 1024


def compute_body_limit(memory_megabytes: float) -> int:
    """Return the bytes of bodies that fit into a host's memory.

    Parameters
    ----------
    memory_megabytes : float
        Memory of the process.
    """
    room = memory_megabytes - _OWN_MEGABYTES
    room = max(room, memory_megabytes * _LEAST_SHARE)
    return int(room * _MEGABYTE / _COPIES)


class BodyBudget:
    """Bytes of bodies that are in hand, and their bound.

    Uploads come in at the pace of many callers and leave at the pace of
    their upstreams. Without a bound a few dozen large ones end the process,
    and with it every request that it has in hand; with one, the caller of
    the upload that does not fit hears at once that it has not run.

    Parameters
    ----------
    most : int
        Bytes at most.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self.held = 0

    def take(self, size: int) -> bool:
        """Hold some bytes; return whether they fit."""
        if size and self.held + size > self._most:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Hold some bytes no longer."""
        self.held -= size
