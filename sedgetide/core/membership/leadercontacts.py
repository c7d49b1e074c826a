"""How a host that the store turns away finds the current leader.

The store may refuse some hosts while it serves the others. Such a host relies
on the feed of the leader that it knows. If that leader is replaced, the host
does not learn of its successor: it keeps sending requests to owners that have
been replaced since, until the store answers it again. It therefore asks the
lenders, which are in contact with all hosts.
"""

from collections.abc import Collection
import itertools

import xxhash

from sedgetide.core.identifiers import LinkAddress

# Seconds without news from the store or from the leader. The feed is sent
# several times a second, and a watch of the store is answered sooner.
_MAX_SILENCE = 1.2
# Shortest time between two questions, in seconds. It is less than the interval
# of load reports (0.4 s), with which the questions are sent. A contact that
# knows the leader answers within milliseconds; one that doesn't never answers.
_ASK_INTERVAL = 0.3


class LeaderContacts:
    """Chooses the host to ask for the current leader.

    Parameters
    ----------
    own : LinkAddress
        Link address of this host, which is never asked.
    """

    def __init__(self, own: LinkAddress) -> None:
        self._own = own
        self._turns = itertools.count(xxhash.xxh32_intdigest(own.encode()))
        self._asked_at = float("-inf")

    def choose(
        self,
        contacts: Collection[LinkAddress],
        leader: LinkAddress | None,
        heard_at: float,
        now: float,
    ) -> LinkAddress | None:
        """Return the host to ask now, or None if there is no need to.

        The contacts are asked in turn, since some of them may have been lost
        or may be turned away by the store as well.

        Parameters
        ----------
        contacts : collection of LinkAddress
            Hosts that may know the leader.
        leader : LinkAddress or None
            Leader known to this host, which it reports to anyway.
        heard_at : float
            When this host last had news from the store or from a leader.
        now : float
            Current monotonic time in seconds.
        """
        if now - heard_at <= _MAX_SILENCE:
            return None
        if now - self._asked_at < _ASK_INTERVAL:
            return None
        others = sorted(set(contacts) - {self._own, leader})
        if not others:
            return None
        self._asked_at = now
        return others[next(self._turns) % len(others)]
