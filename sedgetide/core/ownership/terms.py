"""Grants that a leader may send in its term, and when earlier ones expire."""

from collections.abc import Collection

import msgspec

from sedgetide.core.history import Era
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.holds import Hold
from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange

ONLY_SERVICE = ServiceName("")


class Grant(msgspec.Struct, frozen=True):
    """Lifetime of one grant and its entry in the hold ledger.

    A grant is an order that makes an upstream the owner of a key range for
    a limited time.

    Parameters
    ----------
    life : float
        Seconds for which the upstream holds the keys.
    hold : Hold
        Entry in the ledger.
    """

    life: float
    hold: Hold


class Term:
    """Grants sent by one leader during its term.

    A term lasts from the write of the leader's record to the loss of that
    record; see :class:`Leadership`.

    Parameters
    ----------
    leadership : Leadership
        Proof that this host is still the leader.
    durations : Durations
        Durations that guarantee single ownership.

    Attributes
    ----------
    inherited_until : float
        Local time at which all grants of earlier leaders have expired.
    """

    def __init__(self, leadership: Leadership, durations: Durations) -> None:
        self._leadership = leadership
        self._position = leadership.term
        self._proof = leadership.proof
        self._durations = durations
        self._began_at = leadership.term_began_at
        self.inherited_until = leadership.find_inherited_hold_end()
        self._ledgers: dict[ServiceName, HoldLedger] = {}
        self._without_inherited: set[ServiceName] = set()

    @property
    def position(self) -> Position:
        """Position of the leader's record."""
        return self._position

    @property
    def began_at(self) -> float:
        """Local time at which the term began."""
        return self._began_at

    @property
    def sole_orders_from(self) -> float:
        """Local time from which no earlier leader can send orders.

        Until then a leader that has lost its record without knowing it
        orders by any table of its era that it reads.
        """
        return self._began_at + self._durations.proof_life

    def find_proof_age(self, at: float) -> float:
        """Return how old the last read of the leader's record is at a time.

        Returns
        -------
        float
            Seconds; infinite if the lease may have ended early.
        """
        return at - self._proof.read_at

    @property
    def longest_hold(self) -> float:
        """Seconds for which a grant of an earlier leader may be held."""
        return self._durations.max_inherited_hold()

    @property
    def era(self) -> Era:
        """Era of the store in which the term began."""
        return self._position.era

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent right now.

        An order prepared in an earlier term of this host must not be sent:
        another leader may have moved the keys in between.
        """
        if self._leadership.term != self._position:
            return False
        return self._leadership.may_order(now)

    def is_over(self, now: float) -> bool:
        """Return whether no order can be sent any more in this term."""
        if self._leadership.term != self._position:
            return True
        ended = self._leadership.era_ended
        return ended and not self._leadership.may_order(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether orders may be sent and the last proof is recent."""
        return self.may_order(now) and self._leadership.is_fresh(now)

    def _find_ledger(self, service: ServiceName) -> HoldLedger:
        """Return the ledger of a service's keys.

        The same numbers of keys of two services are different keys.
        """
        ledger = self._ledgers.get(service)
        if ledger is None:
            ledger = HoldLedger(self.inherited_until)
            self._ledgers[service] = ledger
        return ledger

    def prepare_grant(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        now: float,
        service: ServiceName = ONLY_SERVICE,
    ) -> Grant | None:
        """Record a grant that the caller sends immediately afterwards.

        Parameters
        ----------
        service : ServiceName
            Service whose keys are granted; the same for all other methods if
            there is only one.

        Returns
        -------
        Grant or None
            None if no order may be sent.

        Notes
        -----
        The grant is recorded before it is sent, because the upstream may
        hold the keys from then on even if no answer comes. Its lifetime
        starts when it arrives, so until it is answered the hold is bounded
        by the latest possible time of arrival.
        """
        if not self.may_order(now):
            return None
        life = self._leadership.choose_hold(now)
        latest = now + self._durations.order_timeout
        until = latest + self._durations.max_hold(life)
        ledger = self._find_ledger(service)
        return Grant(life, ledger.note_grant(upstream, keys, until))

    def note_arrival(self, grant: Grant, now: float) -> None:
        """Record that a grant was answered, or was not sent."""
        until = now + self._durations.max_hold(grant.life)
        grant.hold.until = min(grant.hold.until, until)

    def note_release(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        service: ServiceName = ONLY_SERVICE,
    ) -> None:
        """Record that an upstream has answered the release of keys just now.

        Grants of other services' keys to it stand.
        """
        self._find_ledger(service).note_release(upstream, keys)

    def find_hold_end(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        known_since: float,
        service: ServiceName = ONLY_SERVICE,
    ) -> float:
        """Return the time at which an upstream can no longer hold keys.

        Parameters
        ----------
        known_since : float
            Time since which every leader knows of the move of the keys; see
            :class:`MoveObservations`. After it no leader has granted them
            to the previous owner, except one that had lost its record
            before without knowing it yet.
        """
        inherited = known_since + self._durations.max_inherited_hold()
        ledger = self._find_ledger(service)
        return ledger.find_hold_end(upstream, keys, inherited)

    def has_ended(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        known_since: float,
        now: float,
        service: ServiceName = ONLY_SERVICE,
    ) -> bool:
        """Return whether an upstream can no longer hold keys.

        Parameters
        ----------
        known_since : float
            As in :meth:`find_hold_end`.
        """
        end = self.find_hold_end(upstream, keys, known_since, service)
        return now >= end

    def list_held(
        self, now: float, service: ServiceName = ONLY_SERVICE
    ) -> list[UpstreamHold]:
        """Return what upstreams may hold, as in :class:`HoldLedger`."""
        return self._find_ledger(service).list_held(now)

    def replace_inherited(
        self,
        service: ServiceName,
        upstreams: Collection[IncarnationName],
        holds: Collection[UpstreamHold],
    ) -> None:
        """Record all inherited grants of a service's keys.

        Parameters
        ----------
        upstreams : collection of IncarnationName
            Upstreams of the service.
        holds : collection of UpstreamHold
            Keys that they may hold as the result of inherited grants.
        """
        self._without_inherited.add(service)
        self._find_ledger(service).replace_inherited(upstreams, holds)

    def find_inherited_end(self, service: ServiceName) -> float:
        """Return until when grants of unknown keys may be held.

        That is the end of all grants of earlier leaders, or minus infinity
        if those of the service's keys are listed by :meth:`list_held`.
        """
        if service in self._without_inherited:
            return float("-inf")
        return self.inherited_until

    def prune(self, now: float) -> None:
        """Remove holds that have ended."""
        for ledger in self._ledgers.values():
            ledger.prune(now)
