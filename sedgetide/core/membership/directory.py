"""Upstreams that register and leave by themselves."""

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
from sedgetide.core.membership.incarnations import UNKNOWN_BIRTH

# A registry that comes back has all live entries again within this time.
RETURN_GRACE = 2.3
# A lost upstream's entry lapses within this time.
_FOREIGN_LIFE = 3.0
# Seconds; within them an entry has lapsed that nobody renews.
_REVIVED_LIFE = 4.0
# Upstreams that were ever seen, kept to know late entries of old starts: an
# entry outlives its upstream by seconds, and 4,000 starts are more than any
# deployment sees in that time, at 200 bytes each.
_MOST_SEEN = 4000


class RegisteredUpstream(msgspec.Struct, frozen=True):
    """One start of an upstream's process.

    Parameters
    ----------
    registered_name : UpstreamName
        Name in the registry; another start may come under the same.
    service : ServiceName
        Service it belongs to.
    address : str
        ``IP:port``.
    data_centre : DataCentre
        Where it runs.
    slots : int
        Requests it works on at a time.
    leaving : bool
        Whether it has announced its end.
    warmup : float
        Seconds for which it is still slow.
    born : StartTime
        Which start of the upstream this is.
    """

    registered_name: UpstreamName
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int = 1
    leaving: bool = False
    warmup: float = 0.0
    born: StartTime = UNKNOWN_BIRTH

    @property
    def name(self) -> IncarnationName:
        """Name of this start, unlike that of any other."""
        return name_incarnation(self.registered_name, self.born)


class UpstreamDirectory:
    """Upstreams as the registry shows them, and when to believe it.

    An entry that disappears while the registry is disturbed need not mean
    that its upstream is gone: the registry may have let it lapse while
    nobody could renew it. Taking its keys away at once would stop a whole
    fleet after each outage, so such an entry stays for a grace period
    after the registry is back.

    An upstream that starts again under its name is another incarnation,
    and an entry of an older one that arrives late changes nothing.

    Parameters
    ----------
    grace : float
        Seconds for which entries may be missing after the return.
    evacuations : Evacuations or None
        Data centres that get no new work; none of them when None.
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
        self._first_seen: dict[IncarnationName, float] = {}
        self._missing: set[IncarnationName] = set()
        self._unreadable: set[IncarnationName] = set()
        self._foreign: dict[IncarnationName, float] = {}
        self._announced: dict[IncarnationName, None] = {}
        self._revived: dict[IncarnationName, float] = {}
        self._disturbed_until = float("-inf")
        self.changed_at = float("-inf")

    def note_registry_outage(
        self, now: float, seconds: float | None = None
    ) -> None:
        """Take in that the registry gave no usable answer just now.

        Parameters
        ----------
        seconds : float or None
            For how long missing entries are not believed; the grace when
            None.
        """
        until = now + (self._grace if seconds is None else seconds)
        self._disturbed_until = max(self._disturbed_until, until)

    def begin_era(self, now: float) -> None:
        """Take in that the registry has come back from an older copy.

        What it shows from then on may be older than what is known: entries
        of young upstreams are missing until these have written them again,
        and who had said that it leaves is shown as ready.
        """
        self.note_registry_outage(now)
        for name, entry in self._entries.items():
            if entry.leaving:
                self._announced[name] = None

    def find_outage_grace(self, now: float) -> float:
        """Return for how long missing entries are not believed yet."""
        return max(0.0, self._disturbed_until - now)

    def put(
        self, entry: RegisteredUpstream, now: float, from_backup: bool = False
    ) -> None:
        """Take in an entry, unless a later start of its upstream is known.

        Parameters
        ----------
        copied : bool
            Whether a copy shows it, from which the registry has come back.
            An upstream that had gone by then counts as leaving until its
            entry must have lapsed, unless it changes its entry.
        """
        known = self._born.get(entry.registered_name, UNKNOWN_BIRTH)
        if entry.born == UNKNOWN_BIRTH != known:
            self.mark_unreadable(entry.registered_name, now)
            return
        if entry.born < known:
            return
        name = entry.name
        former = self._current.get(entry.registered_name)
        if former is not None and former != name:
            self._drop(former, now)
        self._note_revived(name, from_backup, now)
        self._note_seen(entry, now)
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

    def _note_revived(
        self, name: IncarnationName, from_backup: bool, now: float
    ) -> None:
        gone = name in self._first_seen and name not in self._entries
        if from_backup and gone:
            self._revived[name] = now + _REVIVED_LIFE
        elif not from_backup:
            self._revived.pop(name, None)

    def _note_seen(self, entry: RegisteredUpstream, now: float) -> None:
        self._born[entry.registered_name] = entry.born
        self._first_seen.setdefault(entry.name, now)
        _forget_oldest(self._born, self._current)
        _forget_oldest(self._first_seen, self._entries)

    def mark_unreadable(self, upstream: UpstreamName, now: float) -> None:
        """Take in that an upstream's entry says nothing that can be used.

        Whoever wrote it, it names no upstream to send work to. What was
        known may still run and hold keys, so it counts as leaving, not as
        gone: its keys move once it has given them back.
        """
        name = self._current.get(upstream)
        if name is None or name in self._unreadable:
            return
        self._unreadable.add(name)
        self.changed_at = now

    def remove(self, upstream: UpstreamName, now: float) -> None:
        """Take in that an entry has disappeared."""
        name = self._current.get(upstream)
        if name is None:
            return
        entry = self._entries[name]
        expected = entry.leaving or name in self._revived
        if now < self._disturbed_until and not expected:
            self._missing.add(name)
            return
        self._drop(name, now)

    def replace(
        self, upstreams: Iterable[RegisteredUpstream], now: float
    ) -> None:
        """Take in the whole registry, after its history was lost."""
        present = {each.registered_name: each for each in upstreams}
        for upstream in list(self._current):
            if upstream not in present:
                self.remove(upstream, now)
        for each in present.values():
            self.put(each, now)

    def expire(self, now: float) -> bool:
        """Take in that time has passed; return whether it changed anything.

        Entries whose grace is over are dropped. Upstreams that had gone, and
        whose entries a copy shows and nobody took away since, are back: a
        live one need not change its entry for it.
        """
        back = [name for name, end in self._revived.items() if end <= now]
        for name in back:
            del self._revived[name]
            self.changed_at = now
        if now < self._disturbed_until or not self._missing:
            return bool(back)
        for name in list(self._missing):
            self._drop(name, now)
        return True

    def note_foreign(self, name: IncarnationName, now: float) -> None:
        """Take in that another upstream answered at an entry's address.

        A lost upstream stands in the registry until its entry lapses, and
        its address may be given away before. Whoever has it now refuses
        everything within a millisecond, so that it seems the fastest of
        all and would get every request and every retry.
        """
        self._foreign[name] = now + _FOREIGN_LIFE

    def is_foreign(self, name: IncarnationName, now: float) -> bool:
        """Tell whether another upstream answered at its address lately."""
        return now < self._foreign.get(name, float("-inf"))

    def note_leaving(self, name: IncarnationName) -> bool:
        """Take in an upstream's own word that it is about to end.

        It holds for good, also against newer entries: those that show the
        upstream ready were written before, or by a writer that does not
        know yet.

        Returns
        -------
        bool
            Whether it is news.
        """
        if name in self._announced:
            return False
        self._announced[name] = None
        _forget_oldest(self._announced, self._entries)
        return True

    def list_announced(self) -> list[IncarnationName]:
        """Return the registered upstreams that said themselves they leave."""
        return sorted(self._announced.keys() & self._entries.keys())

    def is_leaving(self, name: IncarnationName) -> bool:
        """Tell whether an upstream has announced its end in any way."""
        entry = self._entries.get(name)
        if entry is not None and entry.leaving:
            return True
        return name in self._announced or name in self._revived

    def _drop(self, name: IncarnationName, now: float) -> None:
        self._foreign.pop(name, None)
        self._cold_until.pop(name, None)
        self._missing.discard(name)
        self._revived.pop(name, None)
        self._unreadable.discard(name)
        entry = self._entries.pop(name, None)
        if (
            entry is not None
            and self._current.get(entry.registered_name) == name
        ):
            del self._current[entry.registered_name]
        self.changed_at = now

    def find(self, name: IncarnationName) -> RegisteredUpstream | None:
        """Return an entry, or None when it is gone."""
        return self._entries.get(name)

    def find_current(
        self, upstream: UpstreamName
    ) -> RegisteredUpstream | None:
        """Return the entry of an upstream's last start, or None."""
        name = self._current.get(upstream)
        return None if name is None else self._entries[name]

    def is_cold(
        self, entry: RegisteredUpstream, warming: float, now: float
    ) -> bool:
        """Tell whether an upstream bears less than usual.

        Parameters
        ----------
        warming : float
            Seconds for which upstreams of its service are cold once they
            are. What comes back from an evacuation may be: its entry says
            so up to two seconds later.
        """
        returned_at = self.evacuations.find_cancelled_at(entry.data_centre)
        if now < returned_at + warming:
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
        """Return an entry that may get new work, or None."""
        entry = self._entries.get(name)
        return entry if entry is not None and self._is_active(entry) else None

    def find_serving(
        self, name: IncarnationName, now: float
    ) -> RegisteredUpstream | None:
        """Return an entry that may get requests for keys it owns, or None."""
        entry = self._entries.get(name)
        if entry is None or not self._is_usable(entry):
            return None
        may_serve = self.evacuations.may_serve(entry.data_centre, now)
        return entry if may_serve else None

    def is_evacuated(self, name: IncarnationName) -> bool:
        """Tell whether an upstream is to be emptied, and could serve."""
        entry = self._entries.get(name)
        if entry is None or not self._is_usable(entry):
            return False
        return self.evacuations.is_evacuating(entry.data_centre)

    def is_address_reused(self, name: IncarnationName, address: str) -> bool:
        """Tell whether another upstream has taken over an address.

        An address is given away only after the process that had it has
        ended, so an entry that is gone while a younger one shows its
        address is gone for good. An older one proves nothing: entries of
        ended upstreams come back for seconds when a writer that was cut off
        delivers them late, while the upstream that has the address now may
        be cut off from the registry and serve.
        """
        if name in self._entries:
            return False
        seen = self._first_seen.get(name, float("-inf"))
        return any(
            entry.address == address
            and self._first_seen.get(entry.name, seen) > seen
            for entry in self._entries.values()
        )

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
    """Bound what is remembered of upstreams that are gone."""
    if len(seen) <= _MOST_SEEN:
        return
    gone = [name for name in seen if name not in kept]
    for name in gone[: len(gone) // 2]:
        del seen[name]
