"""Proof that an old owner has stopped, for shards being released."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.authority import count_majority


class _Wait(msgspec.Struct):
    """One revision a majority has to know before the clock starts."""

    revision: Revision
    epochs: dict[ShardKey, Epoch]
    longest_request: float
    told: set[HostName] = msgspec.field(default_factory=set)
    known_at: float | None = None


class ReleaseTracker:
    """Finds out when released shards may be given to another upstream.

    Two ways prove that the old owner stopped: it confirmed the release at
    the fence, or a majority of members has known of the release for longer
    than any proof of authority and any grant can live. The tracker keeps
    nothing across a restart: a successor begins the wait anew.

    Parameters
    ----------
    host : HostName
        The host itself, which knows what it holds.
    """

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._waits: list[_Wait] = []
        self._covered: dict[ShardKey, Epoch] = {}
        self._confirmed: dict[ShardKey, Epoch] = {}

    def follow(
        self,
        revision: Revision,
        assignment: Assignment,
        longest_requests: Mapping[ShardKey, float],
    ) -> None:
        """Take in the newest assignment.

        Parameters
        ----------
        revision : Revision
            Revision of the assignment in the store.
        assignment : Assignment
            Newest version this host holds.
        longest_requests : mapping
            Longest request deadline for shards of upstreams that do not
            check orders; zero for the others.
        """
        releasing = {
            key: owner.epoch
            for key, owner in assignment.list_releasing().items()
        }
        self._forget_ended(releasing)
        fresh = {
            key: epoch
            for key, epoch in releasing.items()
            if self._covered.get(key) != epoch
        }
        if not fresh:
            return
        self._covered.update(fresh)
        longest = max(longest_requests.get(key, 0.0) for key in fresh)
        self._waits.append(_Wait(revision, fresh, longest))

    def _forget_ended(self, releasing: Mapping[ShardKey, Epoch]) -> None:
        for record in (self._covered, self._confirmed):
            for key in list(record):
                if releasing.get(key) != record[key]:
                    del record[key]
        for wait in self._waits:
            for key in list(wait.epochs):
                if releasing.get(key) != wait.epochs[key]:
                    del wait.epochs[key]
        self._waits = [wait for wait in self._waits if wait.epochs]

    def note_member(
        self,
        now: float,
        member: HostName,
        revision: Revision,
        counting: bool,
        members: Collection[HostName],
    ) -> None:
        """Take in that a member knows of a revision.

        Only a counting member is noted: one that has just restarted may
        forget again what it has not yet been able to compare.
        """
        if not counting or member not in members:
            return
        for wait in self._waits:
            if revision < wait.revision:
                continue
            wait.told.add(member)
            told = wait.told & set(members)
            if wait.known_at is None and len(told) >= count_majority(
                len(members)
            ):
                wait.known_at = now

    def confirm(self, key: ShardKey, epoch: Epoch) -> None:
        """Take in that the old owner itself gave the shard up."""
        self._confirmed[key] = epoch

    def list_stopped(
        self, now: float, wait_of: Callable[[float], float]
    ) -> dict[ShardKey, Epoch]:
        """Return shards whose old owner has stopped, with their fences.

        Parameters
        ----------
        now : float
            Own clock.
        wait_of : callable
            Gives the wait in seconds for a longest request deadline; see
            :meth:`Timing.sum_takeover_wait`.
        """
        stopped = {
            key: epoch
            for key, epoch in self._confirmed.items()
            if self._covered.get(key) == epoch
        }
        for wait in self._waits:
            if wait.known_at is None:
                continue
            if now >= wait.known_at + wait_of(wait.longest_request):
                stopped.update(wait.epochs)
        return stopped

    @property
    def waiting(self) -> bool:
        """Whether any shard is being released."""
        return bool(self._waits)
