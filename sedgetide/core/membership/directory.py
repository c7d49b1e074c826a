"""Directory of upstreams that register and deregister themselves."""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

import msgspec

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import StartTime
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.membership.incarnations import name_incarnation
from sedgetide.core.membership.incarnations import UNKNOWN_START_TIME

# Seconds. Live upstreams renew their entries within this time after an outage
# of the registry.
RETURN_GRACE = 2.3
# Seconds within which the entry of a lost upstream expires.
_FOREIGN_LIFE = 3.0
# Seconds after which an entry that is not renewed has certainly expired.
_RESTORED_LIFE = 4.0
# Maximum number of incarnations remembered in order to recognize late entries
# of old ones. An entry outlives its upstream by seconds, and no deployment
# sees 4,000 starts in that time. Each one takes 200 bytes.
_MAX_REMEMBERED = 4000


class RegisteredUpstream(msgspec.Struct, frozen=True):
    """Registry entry of one incarnation of an upstream.

    Parameters
    ----------
    registered_name : UpstreamName
        Name in the registry; a later incarnation may use the same name.
    service : ServiceName
        Service of the upstream.
    address : str
        Address as ``IP:port``.
    data_centre : DataCentre
        Data centre of the upstream.
    slots : int
        Number of requests that the upstream processes concurrently.
    leaving : bool
        Whether the upstream has announced that it is about to stop.
    warmup : float
        Seconds for which the upstream is still slow.
    born : StartTime
        Start time of this incarnation.
    """

    registered_name: UpstreamName
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int = 1
    leaving: bool = False
    warmup: float = 0.0
    born: StartTime = UNKNOWN_START_TIME

    @property
    def name(self) -> IncarnationName:
        """Unique name of this incarnation."""
        return name_incarnation(self.registered_name, self.born)


class UpstreamDirectory:
    """Upstreams known from the registry, tolerant of its outages.

    An entry that disappears during an outage of the registry does not imply
    that its upstream is gone: it may have expired because it could not be
    renewed. Moving the keys at once would interrupt all upstreams after each
    outage, so such an entry is kept for a grace period after the outage.

    An upstream that restarts under its name is a new incarnation; late
    entries of older incarnations are ignored.

    Parameters
    ----------
    grace : float
        Seconds after an outage for which missing entries are kept.
    evacuations : Evacuations or None
        Data centres that get no new work; no evacuations if None.
    """

    def __init__(
        self,
        grace: float = RETURN_GRACE,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._grace = grace
        self.evacuations = evacuations or Evacuations(0.0)
        self._cold_until: dict[IncarnationName, float] = {}
        self._entries: dict[IncarnationName, RegisteredUpstream] = {}
        self._current: dict[UpstreamName, IncarnationName] = {}
        self._born: dict[UpstreamName, StartTime] = {}
        self._seen: dict[IncarnationName, None] = {}
        self._missing: set[IncarnationName] = set()
        self._unreadable: set[IncarnationName] = set()
        self._foreign: dict[IncarnationName, float] = {}
        self._announced: dict[IncarnationName, None] = {}
        self._restored: dict[IncarnationName, float] = {}
        self._outage_until = float("-inf")
        self.changed_at = float("-inf")

    def note_registry_outage(
        self, now: float, seconds: float | None = None
    ) -> None:
        """Record that the registry gave no usable answer.

        Parameters
        ----------
        seconds : float or None
            Seconds for which missing entries are kept; the grace period if
            None.
        """
        until = now + (self._grace if seconds is None else seconds)
        self._outage_until = max(self._outage_until, until)

    def begin_era(self, now: float) -> None:
        """Record that the registry was restored from a backup.

        It may now be older than what is known: entries of recently started
        upstreams are missing until they register again, and upstreams that
        had announced that they leave appear ready.
        """
        self.note_registry_outage(now)
        for name, entry in self._entries.items():
            if entry.leaving:
                self._announced[name] = None

    def find_outage_grace(self, now: float) -> float:
        """Return for how many more seconds missing entries are kept."""
        return max(0.0, self._outage_until - now)

    def put(
        self, entry: RegisteredUpstream, now: float, from_backup: bool = False
    ) -> None:
        """Record an entry unless a later incarnation is known.

        Parameters
        ----------
        from_backup : bool
            Whether the entry comes from a backup from which the registry
            was restored. An upstream that had already gone then counts as
            leaving until its entry must have expired, unless it changes
            its entry.
        """
        known = self._born.get(entry.registered_name, UNKNOWN_START_TIME)
        if entry.born == UNKNOWN_START_TIME != known:
            self.mark_unreadable(entry.registered_name, now)
            return
        if entry.born < known:
            return
        name = entry.name
        former = self._current.get(entry.registered_name)
        if former is not None and former != name:
            self._drop(former, now)
        self._note_restored(name, from_backup, now)
        self._note_seen(entry)
        if entry.warmup > 0:
            self._cold_until[name] = now + entry.warmup
        else:
            self._cold_until.pop(name, None)
        self._missing.discard(name)
        if self._entries.get(name) == entry and name not in self._unreadable:
            return
        self._unreadable.discard(name)
        self._entries[name] = entry
        self._current[entry.registered_name] = name
        self.changed_at = now

    def _note_restored(
        self, name: IncarnationName, from_backup: bool, now: float
    ) -> None:
        gone = name in self._seen and name not in self._entries
        if from_backup and gone:
            self._restored[name] = now + _RESTORED_LIFE
        elif not from_backup:
            self._restored.pop(name, None)

    def _note_seen(self, entry: RegisteredUpstream) -> None:
        self._born[entry.registered_name] = entry.born
        self._seen.setdefault(entry.name)
        _forget_oldest(self._born, self._current)
        _forget_oldest(self._seen, self._entries)

    def mark_unreadable(self, upstream: UpstreamName, now: float) -> None:
        """Record that an upstream's entry cannot be interpreted.

        The entry provides no upstream to send work to. The upstream known
        before may still run and hold keys, so it counts as leaving rather
        than gone: its keys move once it has released them.
        """
        name = self._current.get(upstream)
        if name is None or name in self._unreadable:
            return
        self._unreadable.add(name)
        self.changed_at = now

    def remove(self, upstream: UpstreamName, now: float) -> None:
        """Record that an entry has disappeared."""
        name = self._current.get(upstream)
        if name is None:
            return
        entry = self._entries[name]
        expected = entry.leaving or name in self._restored
        if now < self._outage_until and not expected:
            self._missing.add(name)
            return
        self._drop(name, now)

    def replace(
        self, upstreams: Iterable[RegisteredUpstream], now: float
    ) -> None:
        """Replace all entries after the registry's history was lost."""
        present = {each.registered_name: each for each in upstreams}
        for upstream in list(self._current):
            if upstream not in present:
                self.remove(upstream, now)
        for each in present.values():
            self.put(each, now)

    def expire(self, now: float) -> bool:
        """Apply expired deadlines; return whether anything changed.

        Missing entries are dropped at the end of the grace period. An
        upstream whose entry reappeared from a backup is considered running
        if the entry has not been removed since, because a running upstream
        need not change its entry.
        """
        back = [name for name, end in self._restored.items() if end <= now]
        for name in back:
            del self._restored[name]
            self.changed_at = now
        if now < self._outage_until or not self._missing:
            return bool(back)
        for name in list(self._missing):
            self._drop(name, now)
        return True

    def note_foreign(self, name: IncarnationName, now: float) -> None:
        """Record that another upstream answered at an entry's address.

        The entry of a lost upstream remains until it expires, and its
        address may be reused earlier. The new process at that address
        refuses everything within a millisecond, so it would appear to be
        the fastest upstream and attract every request and retry.
        """
        self._foreign[name] = now + _FOREIGN_LIFE

    def is_foreign(self, name: IncarnationName, now: float) -> bool:
        """Return whether another upstream recently answered at its address."""
        return now < self._foreign.get(name, float("-inf"))

    def note_leaving(self, name: IncarnationName) -> bool:
        """Record an upstream's own announcement that it is about to stop.

        The announcement is final and overrides newer entries: an entry that
        shows the upstream ready was written earlier, or by a writer that
        does not know of the announcement yet.

        Returns
        -------
        bool
            Whether the announcement was not known before.
        """
        if name in self._announced:
            return False
        self._announced[name] = None
        _forget_oldest(self._announced, self._entries)
        return True

    def list_announced(self) -> list[IncarnationName]:
        """Return the registered upstreams that announced that they leave."""
        return sorted(self._announced.keys() & self._entries.keys())

    def is_leaving(self, name: IncarnationName) -> bool:
        """Return whether an upstream is known to be leaving."""
        entry = self._entries.get(name)
        if entry is not None and entry.leaving:
            return True
        return name in self._announced or name in self._restored

    def _drop(self, name: IncarnationName, now: float) -> None:
        self._foreign.pop(name, None)
        self._cold_until.pop(name, None)
        self._missing.discard(name)
        self._restored.pop(name, None)
        self._unreadable.discard(name)
        entry = self._entries.pop(name, None)
        if (
            entry is not None
            and self._current.get(entry.registered_name) == name
        ):
            del self._current[entry.registered_name]
        self.changed_at = now

    def find(self, name: IncarnationName) -> RegisteredUpstream | None:
        """Return an entry, or None if it is gone."""
        return self._entries.get(name)

    def find_current(
        self, upstream: UpstreamName
    ) -> RegisteredUpstream | None:
        """Return the entry of an upstream's latest incarnation, or None."""
        name = self._current.get(upstream)
        return None if name is None else self._entries[name]

    def is_cold(
        self, entry: RegisteredUpstream, cold_time: float, now: float
    ) -> bool:
        """Return whether an upstream is cold and handles less load.

        Parameters
        ----------
        cold_time : float
            Seconds for which a cold upstream of its service stays cold.
            Upstreams count as cold for this time after an evacuation, since
            they may be cold and their entries say so up to two seconds
            later.
        """
        returned_at = self.evacuations.find_cancelled_at(entry.data_centre)
        if now < returned_at + cold_time:
            return True
        return now < self._cold_until.get(entry.name, float("-inf"))

    def _is_usable(self, entry: RegisteredUpstream) -> bool:
        if self.is_leaving(entry.name):
            return False
        return entry.name not in self._unreadable

    def _is_active(self, entry: RegisteredUpstream) -> bool:
        evacuated = self.evacuations.is_evacuating(entry.data_centre)
        return self._is_usable(entry) and not evacuated

    def find_active(self, name: IncarnationName) -> RegisteredUpstream | None:
        """Return the entry if it may get new work, otherwise None."""
        entry = self._entries.get(name)
        return entry if entry is not None and self._is_active(entry) else None

    def find_serving(
        self, name: IncarnationName, now: float
    ) -> RegisteredUpstream | None:
        """Return the entry if it may get requests for its keys, or None."""
        entry = self._entries.get(name)
        if entry is None or not self._is_usable(entry):
            return None
        may_serve = self.evacuations.may_serve(entry.data_centre, now)
        return entry if may_serve else None

    def is_evacuated(self, name: IncarnationName) -> bool:
        """Return whether a usable upstream is being evacuated."""
        entry = self._entries.get(name)
        if entry is None or not self._is_usable(entry):
            return False
        return self.evacuations.is_evacuating(entry.data_centre)

    def list_active(self, service: ServiceName) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that may get new work."""
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and self._is_active(entry)
        ]

    def list_all(self) -> list[RegisteredUpstream]:
        """Return all entries."""
        return list(self._entries.values())


def _forget_oldest(seen: dict[Any, Any], kept: Collection[Any]) -> None:
    """Limit the number of entries remembered for upstreams that are gone.

    With a limit for all entries, each new one of a large deployment would
    search all others.
    """
    if len(seen) <= len(kept) + _MAX_REMEMBERED:
        return
    gone = [name for name in seen if name not in kept]
    for name in gone[: len(gone) // 2]:
        del seen[name]
