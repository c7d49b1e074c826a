"""Authority to act on an assignment: a fresh proof that none is newer.

A renewal of a grant is harmless whoever sends it, as long as nobody has
begun to move the shard. So a host needs no lease of its own; it needs a
proof, younger than ``proof_life``, that no newer assignment exists. The
proof comes from the store or from a majority of the data centre's members.
Whoever moves a shard tells a majority and waits; two majorities share a
member, so an old renewer either hears of the move or has no proof.
"""

from collections.abc import Collection

import msgspec

from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision

NEVER = float("-inf")


def count_majority(size: int) -> int:
    """Return how many members of a list of ``size`` make a majority."""
    return size // 2 + 1


class Acknowledgement(msgspec.Struct, frozen=True):
    """What a member said: it knows nothing newer than ``revision``.

    Parameters
    ----------
    asked_at : float
        Own clock, read before the question was sent.
    revision : Revision
        Newest assignment the member knows of.
    counting : bool
        Whether the member has learnt the newest revision since its start.
    """

    asked_at: float
    revision: Revision
    counting: bool


class Authority:
    """Proofs that one host holds for the assignment of its data centre.

    Parameters
    ----------
    host : HostName
        The host itself.
    proof_life : float
        Seconds for which a proof counts.
    """

    def __init__(self, host: HostName, proof_life: float) -> None:
        self._host = host
        self._proof_life = proof_life
        self._store = Acknowledgement(NEVER, NO_REVISION, False)
        self._members: dict[HostName, Acknowledgement] = {}
        self._counting = False

    @property
    def counting(self) -> bool:
        """Whether this host's word counts towards a majority."""
        return self._counting

    def note_store(self, asked_at: float, revision: Revision) -> None:
        """Take in a read of the record's revision from the store.

        Parameters
        ----------
        asked_at : float
            Own clock before the read was sent; for a read relayed by
            another host, before that host was asked, less the age it gave.
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
        """Take in the answer of a member of the data centre."""
        known = self._members.get(member)
        if known is not None and known.asked_at > asked_at:
            return
        self._members[member] = Acknowledgement(asked_at, revision, counting)

    def store_age(self, now: float) -> float | None:
        """Return the age of the store's word, or None when too old."""
        age = now - self._store.asked_at
        return age if age < self._proof_life else None

    def store_revision(self) -> Revision:
        """Return the revision that goes with :meth:`store_age`."""
        return self._store.revision

    def is_known(
        self, revision: Revision, members: Collection[HostName]
    ) -> bool:
        """Tell whether a majority of members knows a revision.

        The member list may change again only then: of two lists that are
        two changes apart, majorities need not share a member.
        """
        knowing = sum(
            1
            for member, said in self._members.items()
            if member in members
            and member != self._host
            and said.counting
            and said.revision >= revision
        )
        if self._counting and self._host in members:
            knowing += 1
        return knowing >= count_majority(len(members))

    def renew_proof(
        self,
        now: float,
        held: Revision,
        members: Collection[HostName],
    ) -> float:
        """Work out until when this host may act, and whether it counts.

        Parameters
        ----------
        now : float
            Own clock.
        held : Revision
            Newest assignment this host holds.
        members : collection of HostName
            Member list of the data centre as kept in the store.

        Returns
        -------
        float
            Own clock time up to which orders under ``held`` may be sent.

        Notes
        -----
        A host that restarted has forgotten what it was told. Until the
        store or a majority made of others has spoken to it, it counts for
        nobody, itself included. Without this, a member that forgot a
        release could complete the majority of the very host that was to
        be stopped, and two upstreams would answer for one shard.
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
        voices = [
            said.asked_at
            for member, said in self._members.items()
            if member in members
            and member != self._host
            and said.counting
            and said.revision <= held
        ]
        if self._counting and self._host in members:
            voices.append(now)
        needed = count_majority(len(members))
        if len(voices) < needed:
            return NEVER
        voices.sort(reverse=True)
        return voices[needed - 1] + self._proof_life
