"""Until when each upstream may hold what it was granted."""

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.ranges import KeyRange


class Hold(msgspec.Struct):
    """Keys that an upstream may hold because of one grant.

    Parameters
    ----------
    keys : KeyRange
        What was granted.
    until : float
        When it certainly is over, however late the grant arrived.
    """

    keys: KeyRange
    until: float


class HoldLedger:
    """Latest end of every grant that this leader sent or inherited.

    A grant that got no answer counts like one that did: it may have been
    taken, or may still be. Only a release that was answered ends a hold
    early.

    Parameters
    ----------
    inherited_until : float
        Until when orders of earlier leaders may hold.
    """

    def __init__(self, inherited_until: float) -> None:
        self._inherited_until = inherited_until
        self._holds: dict[IncarnationName, list[Hold]] = {}
        self._released: dict[IncarnationName, list[KeyRange]] = {}

    def note_grant(
        self, upstream: IncarnationName, keys: KeyRange, until: float
    ) -> Hold:
        """Take in, before it is sent, that keys are granted.

        Parameters
        ----------
        until : float
            End of the hold if the grant arrives at the last moment.

        Returns
        -------
        Hold
            Its end may be set closer once the grant has certainly arrived
            or never will.
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
        """Take in that an upstream answered the release of keys."""
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
        """Return when an upstream certainly holds none of some keys.

        Parameters
        ----------
        inherited_until : float
            Closer bound of what earlier leaders gave of these keys, if one
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
        """Forget what has ended."""
        for upstream, holds in list(self._holds.items()):
            kept = [hold for hold in holds if hold.until > now]
            self._holds[upstream] = kept
