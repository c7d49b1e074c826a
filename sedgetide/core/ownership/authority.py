"""Proof that the assignment held by a host is the newest one.

Any host may safely renew a grant as long as no move of the shard has
started. A host therefore needs no lease of its own, only a proof younger
than ``proof_life`` that no newer assignment exists. The proof comes from the
store or from a majority of the members of the data centre. Before a shard is
moved, a majority is informed and a wait follows; as any two majorities share
a member, a host with an outdated assignment either hears of the move or gets
no proof.
"""

from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

NEVER = float("-inf")


def count_majority(size: int) -> int:
    """Return the number of members that form a majority of ``size``."""
    return size // 2 + 1


class Acknowledgement(msgspec.Struct, frozen=True):
    """Statement of a member that it knows nothing newer than ``revision``.

    Parameters
    ----------
    asked_at : float
        Monotonic time before the request was sent.
    revision : Revision
        Newest assignment that the member knows.
    counting : bool
        Whether the member has learnt the newest revision since its start
        and so counts towards a majority.
    """

    asked_at: float
    revision: Revision
    counting: bool


class Authority:
    """Proofs of one host that its assignment is the newest one.

    Parameters
    ----------
    host : HostName
        The local host.
    proof_life : float
        Seconds for which a proof is valid.
    """

    def __init__(self, host: HostName, proof_life: float) -> None:
        self._host = host
        self._proof_life = proof_life
        self._store = Acknowledgement(NEVER, NO_REVISION, False)
        self._members: dict[HostName, Acknowledgement] = {}
        self._counting = False

    @property
    def counting(self) -> bool:
        """Whether this host counts towards a majority."""
        return self._counting

    def note_store(self, asked_at: float, revision: Revision) -> None:
        """Record a read of the assignment's revision from the store.

        Parameters
        ----------
        asked_at : float
            Monotonic time before the read was sent; for a read relayed by
            another host, the time before that host was asked minus the age
            that it reported.
        revision : Revision
            Revision that was read.
        """
        if asked_at >= self._store.asked_at:
            self._store = Acknowledgement(asked_at, revision, True)

    def note_member(
        self,
        member: HostName,
        asked_at: float,
        revision: Revision,
        counting: bool,
    ) -> None:
        """Record the answer of a member of the data centre."""
        known = self._members.get(member)
        if known is not None and known.asked_at > asked_at:
            return
        self._members[member] = Acknowledgement(asked_at, revision, counting)

    def store_age(self, now: float) -> float | None:
        """Return the age of the last store read, or None if expired."""
        age = now - self._store.asked_at
        return age if age < self._proof_life else None

    def store_revision(self) -> Revision:
        """Return the revision that goes with :meth:`store_age`."""
        return self._store.revision

    def is_known(
        self, revision: Revision, members: Collection[HostName]
    ) -> bool:
        """Return whether a majority of the members knows a revision.

        Only then may the member list change again: majorities of two lists
        that are two changes apart need not share a member.
        """
        count = sum(
            1
            for member, ack in self._members.items()
            if member in members
            and member != self._host
            and ack.counting
            and ack.revision >= revision
        )
        if self._counting and self._host in members:
            count += 1
        return count >= count_majority(len(members))

    def renew_proof(
        self,
        now: float,
        held: Revision,
        members: Collection[HostName],
    ) -> float:
        """Update the proof and whether this host counts towards a majority.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        held : Revision
            Newest assignment that this host holds.
        members : collection of HostName
            Member list of the data centre as kept in the store.

        Returns
        -------
        float
            Local time until which orders under ``held`` may be sent.

        Notes
        -----
        A restarted host has lost what it knew. Until it has heard from the
        store or from a majority made up of other members, it counts
        towards no majority, not even its own. Otherwise a member that
        forgot a release could complete the majority of the host that the
        release was meant to stop, and two upstreams would serve one shard.
        """
        by_store = self._prove_by_store(held)
        by_members = self._prove_by_members(now, held, members)
        until = max(by_store, by_members)
        if until > now:
            self._counting = True
        return until

    def _prove_by_store(self, held: Revision) -> float:
        if self._store.revision > held:
            return NEVER
        return self._store.asked_at + self._proof_life

    def _prove_by_members(
        self, now: float, held: Revision, members: Collection[HostName]
    ) -> float:
        acknowledged_at = [
            ack.asked_at
            for member, ack in self._members.items()
            if member in members
            and member != self._host
            and ack.counting
            and ack.revision <= held
        ]
        if self._counting and self._host in members:
            acknowledged_at.append(now)
        needed = count_majority(len(members))
        if len(acknowledged_at) < needed:
            return NEVER
        acknowledged_at.sort(reverse=True)
        return acknowledged_at[needed - 1] + self._proof_life
