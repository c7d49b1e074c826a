"""What one leader may order in its term, and what it must wait for."""

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.holds import Hold
from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange


class Grant(msgspec.Struct, frozen=True):
    """Terms of one grant.

    Parameters
    ----------
    life : float
        Seconds for which the upstream holds the keys.
    hold : Hold
        Its place in the ledger.
    """

    life: float
    hold: Hold


class Term:
    """Grants of one leader, from the write of its record to its end.

    Parameters
    ----------
    leadership : Leadership
        Proof that the record is still the own one.
    durations : Durations
        On which single ownership rests.

    Attributes
    ----------
    inherited_until : float
        When orders of earlier leaders have certainly run out.
    """

    def __init__(self, leadership: Leadership, durations: Durations) -> None:
        self._leadership = leadership
        self._position = leadership.term
        self._durations = durations
        self.inherited_until = leadership.bound_inherited()
        self._holds = HoldLedger(self.inherited_until)

    @property
    def longest_hold(self) -> float:
        """Seconds for which an order of an earlier leader may hold."""
        return self._durations.max_inherited_hold()

    @property
    def era(self) -> Era:
        """Era of the store in which the term began."""
        return self._position.era

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be sent at this very moment.

        An order prepared in an earlier term of the same host knows nothing
        of what another leader did in between.
        """
        if self._leadership.term != self._position:
            return False
        return self._leadership.may_order(now)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last proof came when it was due."""
        return self.may_order(now) and self._leadership.is_fresh(now)

    def prepare_grant(
        self, upstream: IncarnationName, keys: KeyRange, now: float
    ) -> Grant | None:
        """Return the terms of a grant that is sent right after.

        Returns
        -------
        Grant or None
            None when no order may be sent.

        Notes
        -----
        The grant is noted before it is sent: whether or not an answer
        comes, the upstream may hold the keys from then on. Its life begins
        when it arrives, so until its answer is here the latest moment at
        which it can arrive counts.
        """
        if not self.may_order(now):
            return None
        life = self._leadership.choose_hold(now)
        latest = now + self._durations.order_timeout
        until = latest + self._durations.bound_hold(life)
        return Grant(life, self._holds.note_grant(upstream, keys, until))

    def note_arrival(self, grant: Grant, now: float) -> None:
        """Take in that a grant was answered, or taken back unanswered."""
        until = now + self._durations.bound_hold(grant.life)
        grant.hold.until = min(grant.hold.until, until)

    def note_release(self, upstream: IncarnationName, keys: KeyRange) -> None:
        """Take in that an upstream answered the release of keys."""
        self._holds.note_release(upstream, keys)

    def find_hold_end(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        known_since: float,
    ) -> float:
        """Return when an upstream can not hold keys any longer.

        Parameters
        ----------
        known_since : float
            Since when each leader knows that they move; see
            :class:`MoveObservations`. After that none has granted them to
            their old owner, but for one that had lost its record before
            and did not know it yet.
        """
        inherited = known_since + self._durations.max_inherited_hold()
        return self._holds.find_hold_end(upstream, keys, inherited)

    def has_ended(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        known_since: float,
        now: float,
    ) -> bool:
        """Tell whether an upstream can not hold keys any longer.

        Parameters
        ----------
        known_since : float
            As in :meth:`find_hold_end`.
        """
        return now >= self.find_hold_end(upstream, keys, known_since)

    def prune(self, now: float) -> None:
        """Forget holds that have ended."""
        self._holds.prune(now)
