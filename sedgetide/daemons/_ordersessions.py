"""Sessions in which upstreams were granted keys, kept across terms."""

from collections.abc import Collection

from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import IncarnationName

# Seconds without orders after which sessions of a former term are dropped.
# Idle connections end then, and all upstreams would look restarted.
_MAX_BREAK = 5.0
# Enough for the grants of two tables with 24 ranges for each of 300 upstreams.
_MAX_SESSIONS = 16_000

OwnedFence = tuple[IncarnationName, Fence]


class OrderSessions:
    """Sessions in which each owner was first granted keys at each fence.

    A restarted upstream has seen no fence, and would accept keys at the one
    under which its former process had them. A host that resigns and leads
    again within seconds still knows which process that was.
    """

    def __init__(self) -> None:
        self._sessions: dict[OwnedFence, int] = {}
        self._checked_at = float("-inf")

    def begin_term(self, now: float) -> None:
        """Drop the sessions if the last order was sent long ago."""
        if now - self._checked_at > _MAX_BREAK:
            self._sessions.clear()

    def is_restarted(
        self, grant: OwnedFence, session: int, now: float
    ) -> bool:
        """Return whether an owner may have restarted since it had a fence.

        Parameters
        ----------
        grant : tuple
            Owner and fence of a grant that is about to be sent.
        session : int
            Current session; see :class:`OrderClient`.
        """
        self._checked_at = now
        return self._sessions.setdefault(grant, session) != session

    @property
    def is_full(self) -> bool:
        """Whether sessions of grants that are no longer current should go."""
        return len(self._sessions) > _MAX_SESSIONS

    def retain(self, current: Collection[OwnedFence]) -> None:
        """Drop the sessions of all other grants."""
        for grant in self._sessions.keys() - current:
            del self._sessions[grant]
