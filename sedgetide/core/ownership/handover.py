"""Proof that the previous owners of released shards have stopped serving."""

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


class _MajorityWait(msgspec.Struct):
    """Releases of one revision, waiting until a majority knows it.

    The takeover wait starts at ``known_at``, when a majority of the members
    is known to have learnt the revision.
    """

    revision: Revision
    epochs: dict[ShardKey, Epoch]
    longest_request: float
    known_by: set[HostName] = msgspec.field(default_factory=set)
    known_at: float | None = None


class ReleaseTracker:
    """Determines when released shards may be assigned to another upstream.

    The previous owner has stopped if it confirmed the release at its epoch,
    or if a majority of the members has known of the release for longer than
    any proof of authority and any grant is valid. The state is not
    persistent: after a restart or on another host the wait starts again.

    Parameters
    ----------
    host : HostName
        The local host.
    """

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._waits: list[_MajorityWait] = []
        self._tracked: dict[ShardKey, Epoch] = {}
        self._confirmed: dict[ShardKey, Epoch] = {}

    def follow(
        self,
        revision: Revision,
        assignment: Assignment,
        longest_requests: Mapping[ShardKey, float],
    ) -> None:
        """Update the tracked releases to those of the newest assignment.

        Parameters
        ----------
        revision : Revision
            Revision of the assignment in the store.
        assignment : Assignment
            Newest version that this host holds.
        longest_requests : mapping
            Longest request deadline by shard, for shards of upstreams that
            do not reject stale orders. Missing shards count as zero.
        """
        releasing = {
            key: owner.epoch
            for key, owner in assignment.list_releasing().items()
        }
        self._forget_ended(releasing)
        fresh = {
            key: epoch
            for key, epoch in releasing.items()
            if self._tracked.get(key) != epoch
        }
        if not fresh:
            return
        self._tracked.update(fresh)
        longest = max(longest_requests.get(key, 0.0) for key in fresh)
        self._waits.append(_MajorityWait(revision, fresh, longest))

    def _forget_ended(self, releasing: Mapping[ShardKey, Epoch]) -> None:
        for record in (self._tracked, self._confirmed):
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
        """Record that a member knows a revision.

        Members that do not count towards a majority are ignored: a member
        that has just restarted has not yet learnt the newest revision and
        could lose this one again.
        """
        if not counting or member not in members:
            return
        for wait in self._waits:
            if revision < wait.revision:
                continue
            wait.known_by.add(member)
            known_by = wait.known_by & set(members)
            if wait.known_at is None and len(known_by) >= count_majority(
                len(members)
            ):
                wait.known_at = now

    def confirm(self, key: ShardKey, epoch: Epoch) -> None:
        """Record that the previous owner confirmed the release."""
        self._confirmed[key] = epoch

    def list_stopped(
        self, now: float, takeover_wait: Callable[[float], float]
    ) -> dict[ShardKey, Epoch]:
        """Return shards whose previous owner has stopped, with their epochs.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        takeover_wait : callable
            Returns the seconds to wait for a given longest request
            deadline; see :meth:`Timing.sum_takeover_wait`.
        """
        stopped = {
            key: epoch
            for key, epoch in self._confirmed.items()
            if self._tracked.get(key) == epoch
        }
        for wait in self._waits:
            if wait.known_at is None:
                continue
            if now >= wait.known_at + takeover_wait(wait.longest_request):
                stopped.update(wait.epochs)
        return stopped

    @property
    def waiting(self) -> bool:
        """Whether releases are being tracked."""
        return bool(self._waits)
