"""Upper bounds on how long each upstream may hold the keys granted to it."""

from collections.abc import Collection
from collections.abc import Iterator

import msgspec

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.rangesets import subtract_ranges

_NEVER = float("-inf")


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


class UpstreamHold(msgspec.Struct, frozen=True):
    """Keys that an upstream may hold, whatever the number of grants.

    Parameters
    ----------
    upstream : IncarnationName
        Upstream that may hold the keys.
    keys : KeyRange
        Keys that it may hold.
    until : float
        Local time after which it certainly holds none of them.
    """

    upstream: IncarnationName
    keys: KeyRange
    until: float


class ReportedHolds(msgspec.Struct, frozen=True):
    """Keys of one service that upstreams may hold, as a leader knows it.

    Parameters
    ----------
    inherited_until : float
        Local time until which upstreams may hold any keys as the result of
        grants of other leaders before it.
    holds : tuple of UpstreamHold
        Keys that upstreams may hold as the result of its own grants.
    """

    inherited_until: float = _NEVER
    holds: tuple[UpstreamHold, ...] = ()


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
        # Has an entry for each upstream to which the bound doesn't apply.
        self._reported: dict[IncarnationName, list[Hold]] = {}

    def replace_inherited(
        self,
        upstreams: Collection[IncarnationName],
        holds: Collection[UpstreamHold],
    ) -> None:
        """Take reported holds in place of the bound on inherited grants.

        Parameters
        ----------
        upstreams : collection of IncarnationName
            Upstreams of which all inherited grants are known.
        holds : collection of UpstreamHold
            Keys that they may hold as the result of inherited grants.
        """
        for upstream in {*upstreams, *(each.upstream for each in holds)}:
            self._reported[upstream] = []
        for each in holds:
            released = self._released.get(each.upstream, [])
            if not any(keys.covers(each.keys) for keys in released):
                self._reported[each.upstream].append(
                    Hold(each.keys, each.until)
                )

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
        for known in (self._holds, self._reported):
            if upstream in known:
                known[upstream] = [
                    hold
                    for hold in known[upstream]
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
                return _NEVER
        ends = [
            hold.until
            for hold in self._iterate_holds(upstream)
            if hold.keys.overlaps(keys)
        ]
        inherited = min(self._inherited_until, inherited_until)
        if upstream in self._reported:
            inherited = _NEVER
        return max([inherited, *ends])

    def _iterate_holds(self, upstream: IncarnationName) -> Iterator[Hold]:
        yield from self._holds.get(upstream, ())
        yield from self._reported.get(upstream, ())

    def list_held(self, now: float) -> list[UpstreamHold]:
        """Return what upstreams may still hold, without inherited grants.

        Returns
        -------
        list of UpstreamHold
            One for each upstream and granted range, with the latest end of
            its grants; several where a part was released. Ranges of one
            upstream may overlap.
        """
        held = []
        for upstream in sorted({*self._holds, *self._reported}):
            released = self._released.get(upstream, [])
            ends: dict[KeyRange, float] = {}
            for hold in self._iterate_holds(upstream):
                if hold.until > now:
                    known = ends.get(hold.keys, now)
                    ends[hold.keys] = max(known, hold.until)
            held += [
                UpstreamHold(upstream, keys, until)
                for granted, until in ends.items()
                for keys in subtract_ranges(granted, released)
            ]
        return held

    def prune(self, now: float) -> None:
        """Remove holds that have ended."""
        for known in (self._holds, self._reported):
            for upstream, holds in known.items():
                known[upstream] = [each for each in holds if each.until > now]
