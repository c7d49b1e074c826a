"""Leadership of a host and the time for which it may send orders.

The leader's record is kept in the store under a lease. The lease alone does
not prove leadership: the store may remove the record early and still renew
the lease. The proof is a read, sent after the record was written, that finds
the record at the position of the leader's own write. It is valid for
``proof_life``, counted from before the read was sent, so a successor has to
assume that its predecessor sent orders for another ``proof_life``. After the
store has been restored from a backup, reads no longer prove anything about
the previous era.
"""

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.capacity import HostCapacity

NEVER = float("-inf")
_RENEWALS_PER_HOLD = 3
_FRESH_VERIFY_INTERVALS = 2
_MAX_ELECTION_DELAY = 0.6
_MAX_PATH_DELAY = 3.0


def find_election_delay(capacity: HostCapacity) -> float:
    """Return by how many seconds a host delays its candidacy for leader.

    Hosts with little processor time or a narrow link let stronger hosts go
    first. The leader renews every grant and sends updates to every host; in
    a large deployment this can saturate a weak host, and grants expire while
    their renewals are queued. On a narrow link a single large answer to a
    caller delays them by as much.

    Parameters
    ----------
    capacity : HostCapacity
        Processor time and bandwidth of the host.
    """
    return _MAX_ELECTION_DELAY * capacity.find_shortfall()


def find_path_delay(lost_share: float) -> float:
    """Return by how many seconds a host without paths delays its candidacy.

    A host that reaches all upstreams goes first. If there is none, one that
    reaches some, or none, leads nevertheless: hosts get changes of the store
    from it.

    Parameters
    ----------
    lost_share : float
        Share of the upstreams that the host does not reach.
    """
    return _MAX_PATH_DELAY * lost_share


class LeaderRecord(msgspec.Struct, frozen=True):
    """The leader's record in the store.

    Parameters
    ----------
    host : HostName
        Host of the leader.
    incarnation : str
        Incarnation of its process.
    link : LinkAddress
        Address to which hosts send load reports.
    """

    host: HostName
    incarnation: str
    link: LinkAddress


class Durations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations in seconds that guarantee a single owner of each range.

    Parameters
    ----------
    lease : float
        Lifetime of the leader's lease in the store.
    proof_life : float
        Maximum age of a read of the leader's record that proves leadership.
    verify : float
        Interval of these reads.
    hold : float
        Lifetime of a grant while the store answers.
    long_hold : float
        Lifetime of a grant sent while the store does not answer.
    renew : float
        Interval at which grants are renewed.
    clock_error : float
        Largest relative rate by which an upstream's clock may run slow.
    margin : float
        Added to each wait to allow for timer granularity.
    order_timeout : float
        Longest time between the decision to send a grant and its arrival at
        the upstream's machine. After this time the connection has been reset,
        even if the sender is paused or has ended. An upstream that stalls
        may still read a grant that arrived before.
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
        """Return a copy with holds limited to what upstreams accept."""
        return msgspec.structs.replace(
            self,
            hold=min(self.hold, longest_hold),
            long_hold=min(self.long_hold, longest_hold),
            renew=min(self.renew, longest_hold / _RENEWALS_PER_HOLD),
        )

    def max_hold(self, hold: float) -> float:
        """Return how long a grant may still be held after it was sent."""
        return hold * (1.0 + self.clock_error) + self.margin

    def max_inherited_hold(self) -> float:
        """Return how long a grant of a previous leader may still be held.

        The time counts from a moment at which that leader may still have
        held its record.
        """
        last = self.proof_life + self.order_timeout
        return last + self.max_hold(self.long_hold)


class ProofOfTerm(msgspec.Struct):
    """Last read that showed a term's record, under a lease renewed before.

    Parameters
    ----------
    read_at : float
        Monotonic time before the lease was renewed; minus infinity if there
        was no such read, or if the lease may have been given up or lost.
    """

    read_at: float = NEVER


class Leadership:
    """Whether this host is the leader, and until when it may send orders.

    An order is a grant or a release that the leader sends to an upstream.
    A term is the period in which one leader's record stands in the store,
    identified by the position of its write.

    Parameters
    ----------
    durations : Durations
        Durations shared by all hosts.
    """

    def __init__(self, durations: Durations) -> None:
        self._durations = durations
        self._term = NO_POSITION
        self._proved_at = NEVER
        self._term_began_at = NEVER
        self._era_ended = False
        self._proof = ProofOfTerm()

    @property
    def era_ended(self) -> bool:
        """Whether this host's record belongs to a past era of the store.

        No further proof can be obtained. Grants are renewed while the last
        proof is valid, as a leader of the new era waits for them to be
        released or to expire.
        """
        return self._era_ended

    def note_era(self, era: Era) -> None:
        """Record that a new era of the store has begun."""
        if self._term != NO_POSITION and self._term.era < era:
            self._era_ended = True

    @property
    def term(self) -> Position:
        """Position of this host's leader record; zero if it does not lead."""
        return self._term

    @property
    def term_began_at(self) -> float:
        """Monotonic time at which the term began."""
        return self._term_began_at

    @property
    def proof(self) -> ProofOfTerm:
        """Last read in this term; another object in each term."""
        return self._proof

    def begin(self, position: Position, asked_at: float, now: float) -> None:
        """Begin a term after this host's leader record was written.

        Parameters
        ----------
        position : Position
            Position of the record.
        asked_at : float
            Monotonic time before the write was sent.
        now : float
            Current monotonic time in seconds.
        """
        self._term = position
        self._era_ended = False
        self._proved_at = asked_at
        self._term_began_at = now
        # The lease runs since before the record was written.
        self._proof = ProofOfTerm()

    def note_read(self, position: Position, asked_at: float) -> bool:
        """Record a read of the leader record; return whether it is ours."""
        if self._term == NO_POSITION or self._era_ended:
            return False
        if position != self._term:
            self.end()
            return False
        self._proved_at = max(self._proved_at, asked_at)
        self._proof.read_at = max(self._proof.read_at, asked_at)
        return True

    def end(self) -> None:
        """End the term; no more orders may be sent."""
        if not self._era_ended:
            # Another leader may be elected in this era before the lease ends:
            # the record was removed, or this host gives it up.
            self._proof.read_at = NEVER
        self._proof = ProofOfTerm()
        self._term = NO_POSITION
        self._era_ended = False
        self._proved_at = NEVER

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent right now.

        Check this immediately before sending: the process may be suspended
        at any point, and only a clock that keeps running meanwhile shows
        whether the proof is still valid.
        """
        return (
            self._term != NO_POSITION
            and now < self._proved_at + self._durations.proof_life
        )

    def is_certainly_lost(self, now: float) -> bool:
        """Return whether the record must be gone even without notice.

        A host that is refused by the store learns neither that its lease
        has expired nor who the new leader is. If it still considered itself
        the leader, it would accept no updates from the actual one.
        """
        gone = self._durations.proof_life + self._durations.lease
        return self._term != NO_POSITION and now >= self._proved_at + gone

    def choose_hold(self, now: float) -> float:
        """Return the lifetime of a grant that is sent now.

        Long holds bridge an outage of the store; short ones limit the time
        for which the keys of a lost upstream are unavailable.
        """
        if self.is_fresh(now):
            return self._durations.hold
        return self._durations.long_hold

    def is_fresh(self, now: float) -> bool:
        """Return whether the last proof is recent.

        A leader whose proof is overdue may be the only host that the store
        refuses. It may still send orders for a while, but other hosts must
        no longer rely on its view of the store instead of their own reads.
        """
        if self._era_ended:
            return False
        due = _FRESH_VERIFY_INTERVALS * self._durations.verify
        return self._term != NO_POSITION and now - self._proved_at < due

    def find_inherited_hold_end(self) -> float:
        """Return the time until which earlier leaders' grants may be held."""
        return self._term_began_at + self._durations.max_inherited_hold()
