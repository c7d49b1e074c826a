"""Upper bounds on how long each upstream may hold the keys granted to it."""

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.ranges import KeyRange


class Hold(msgspec.Struct):
    """Keys that an upstream may hold as the result of one grant.

    Parameters
    ----------
    keys : KeyRange
        Granted keys.
    until : float
        Local time after which the grant has certainly expired, however late
        it arrived.
    """

    keys: KeyRange
    until: float


class HoldLedger:
    """Latest expiry of every grant sent by this leader or by earlier ones.

    A grant without an answer counts like an answered one, since the
    upstream may have accepted it or may still do so. Only an answered
    release ends a hold early.

    Parameters
    ----------
    inherited_until : float
        Local time until which grants of earlier leaders may be held.
    """

    def __init__(self, inherited_until: float) -> None:
        self._inherited_until = inherited_until
        self._holds: dict[IncarnationName, list[Hold]] = {}
        self._released: dict[IncarnationName, list[KeyRange]] = {}

    def note_grant(
        self, upstream: IncarnationName, keys: KeyRange, until: float
    ) -> Hold:
        """Record a grant before it is sent.

        Parameters
        ----------
        until : float
            End of the hold if the grant arrives as late as possible.

        Returns
        -------
        Hold
            Its end may be reduced once the grant has arrived or can no
            longer arrive.
        """
        hold = Hold(keys, until)
        self._holds.setdefault(upstream, []).append(hold)
        self._released[upstream] = [
            each
            for each in self._released.get(upstream, [])
            if not each.overlaps(keys)
        ]
        return hold

    def note_release(self, upstream: IncarnationName, keys: KeyRange) -> None:
        """Record that an upstream answered the release of keys."""
        self._holds[upstream] = [
            hold
            for hold in self._holds.get(upstream, [])
            if not keys.covers(hold.keys)
        ]
        self._released.setdefault(upstream, []).append(keys)

    def find_hold_end(
        self,
        upstream: IncarnationName,
        keys: KeyRange,
        inherited_until: float = float("inf"),
    ) -> float:
        """Return the time after which an upstream holds none of the keys.

        Parameters
        ----------
        inherited_until : float
            Tighter bound on grants of these keys by earlier leaders, if one
            is known.
        """
        for released in self._released.get(upstream, []):
            if released.covers(keys):
                return float("-inf")
        ends = [
            hold.until
            for hold in self._holds.get(upstream, [])
            if hold.keys.overlaps(keys)
        ]
        return max([min(self._inherited_until, inherited_until), *ends])

    def prune(self, now: float) -> None:
        """Remove holds that have ended."""
        for upstream, holds in list(self._holds.items()):
            kept = [hold for hold in holds if hold.until > now]
            self._holds[upstream] = kept
