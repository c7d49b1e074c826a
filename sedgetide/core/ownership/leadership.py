"""Which host orders grants, and until when it may.

The record of the leader lies in the store under a lease. The lease alone
proves nothing to its holder: the store may take the record away early and
still renew the lease. What proves it is a read, sent after the record was
written, that finds the holder's own position; it counts for ``proof_life``
from before it was sent. A successor therefore waits ``proof_life`` before
it takes its predecessor's last order for sent. A store that comes back from
a copy proves nothing about the era before any more.
"""

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress

NEVER = float("-inf")
_RENEWALS_IN_A_HOLD = 3
_MISSED = 2
_AMPLE_PROCESSORS = 1.0
_LONGEST_YIELD = 0.6


def find_election_delay(processors: float) -> float:
    """Return for how many seconds a host lets stronger ones stand first.

    The leader renews every grant and feeds every host. On a weak host of a
    large deployment that takes all there is, and grants run out while they
    wait for their turn.

    Parameters
    ----------
    processors : float
        Cores' worth of time that the host has.
    """
    lacking = max(0.0, _AMPLE_PROCESSORS - processors)
    return _LONGEST_YIELD * lacking / _AMPLE_PROCESSORS


class LeaderRecord(msgspec.Struct, frozen=True):
    """What the leader writes of itself.

    Parameters
    ----------
    host : HostName
        Its host.
    incarnation : str
        Start of its process.
    link : LinkAddress
        Where it takes load reports.
    """

    host: HostName
    incarnation: str
    link: LinkAddress


class Durations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds on which single ownership of ranges rests.

    Parameters
    ----------
    lease : float
        Life of the leader's lease in the store.
    proof_life : float
        Age up to which a read of the leader's record counts.
    verify : float
        Interval of those reads.
    hold : float
        Life of a grant in ordinary times.
    long_hold : float
        Life of a grant given while the store does not answer.
    renew : float
        Interval of renewals of grants.
    clock_error : float
        Largest share by which an upstream's clock may run slow.
    margin : float
        Added to each wait for timer granularity.
    order_timeout : float
        Longest time between the send of a grant and its arrival; after it
        the connection has been reset and the grant taken back.
    """

    lease: float = 2.0
    proof_life: float = 1.8
    verify: float = 0.5
    hold: float = 3.5
    long_hold: float = 7.0
    renew: float = 1.2
    clock_error: float = 0.02
    margin: float = 0.25
    order_timeout: float = 0.6

    def cap_holds(self, longest_hold: float) -> "Durations":
        """Return these durations with no hold over what upstreams accept."""
        return msgspec.structs.replace(
            self,
            hold=min(self.hold, longest_hold),
            long_hold=min(self.long_hold, longest_hold),
            renew=min(self.renew, longest_hold / _RENEWALS_IN_A_HOLD),
        )

    def bound_hold(self, hold: float) -> float:
        """Return how long after its send a grant may still be held."""
        return hold * (1.0 + self.clock_error) + self.margin

    def max_inherited_hold(self) -> float:
        """Return how long a grant may be held that a lost leader gave.

        Counted from a moment at which it may still have held its record.
        """
        last = self.proof_life + self.order_timeout
        return last + self.bound_hold(self.long_hold)


class Leadership:
    """Whether this host leads, and until when it may give orders.

    Parameters
    ----------
    durations : Durations
        Shared by all hosts.
    """

    def __init__(self, durations: Durations) -> None:
        self._durations = durations
        self._term = NO_POSITION
        self._proved_at = NEVER
        self._took_over_at = NEVER
        self._outlived = False

    @property
    def era_ended(self) -> bool:
        """Whether the own record is of an era of the store that is over.

        There is no further proof. As long as the last one counts, grants
        are renewed: a leader of the new era takes them back first.
        """
        return self._outlived

    def note_era(self, era: Era) -> None:
        """Take in that an era of the store has begun."""
        if self._term != NO_POSITION and self._term.era < era:
            self._outlived = True

    @property
    def term(self) -> Position:
        """Position of the own record; zero when this host does not lead."""
        return self._term

    def begin(self, position: Position, asked_at: float, now: float) -> None:
        """Take in that the own record was written.

        Parameters
        ----------
        position : Position
            Of the record.
        asked_at : float
            Own clock before the write was sent.
        now : float
            Own clock.
        """
        self._term = position
        self._outlived = False
        self._proved_at = asked_at
        self._took_over_at = now

    def note_read(self, position: Position, asked_at: float) -> bool:
        """Take in a read of the record; return whether it is the own."""
        if self._term == NO_POSITION or self._outlived:
            return False
        if position != self._term:
            self.end()
            return False
        self._proved_at = max(self._proved_at, asked_at)
        return True

    def end(self) -> None:
        """Give no more orders."""
        self._term = NO_POSITION
        self._outlived = False
        self._proved_at = NEVER

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be sent at this very moment.

        A process may stand still between any two steps; only a look at a
        clock that runs on meanwhile shows that the proof still counts.
        """
        return (
            self._term != NO_POSITION
            and now < self._proved_at + self._durations.proof_life
        )

    def is_certainly_lost(self, now: float) -> bool:
        """Tell whether the record is certainly gone, though nobody said so.

        A host that the store turns away hears neither that its lease has
        ended nor who leads now. Believing itself the leader, it would take
        no news from the one that is.
        """
        gone = self._durations.proof_life + self._durations.lease
        return self._term != NO_POSITION and now >= self._proved_at + gone

    def choose_hold(self, now: float) -> float:
        """Return the life of a grant that is given now.

        Long ones bridge an outage of the store, short ones keep the keys
        of a lost upstream dark for less time.
        """
        if self.is_fresh(now):
            return self._durations.hold
        return self._durations.long_hold

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last proof came when it was due.

        A leader that misses one may be the only host that the store turns
        away. It may order a while longer, but what it knows of the store is
        no longer good enough for others to do without their own.
        """
        if self._outlived:
            return False
        due = _MISSED * self._durations.verify
        return self._term != NO_POSITION and now - self._proved_at < due

    def bound_inherited(self) -> float:
        """Return until when orders of earlier leaders may hold."""
        return self._took_over_at + self._durations.max_inherited_hold()
