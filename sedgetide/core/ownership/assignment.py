"""The assignment of a data centre: shards, their owners and epochs.

Assignments are immutable. Each method that changes one returns the next
version, which takes effect only after a compare-and-swap in the store.
"""

from collections.abc import Mapping
import enum

import msgspec

from sedgetide.core.errors import RuleError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName


class ShardState(enum.Enum):
    """State of one shard in the assignment record."""

    OWNED = "owned"
    RELEASING = "releasing"


class ShardKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A shard of a service."""

    service: ServiceName
    shard: Shard

    def __str__(self) -> str:
        return f"{self.service}/{self.shard}"


class Ownership(msgspec.Struct, frozen=True, array_like=True):
    """Owner of a shard.

    In state RELEASING, ``upstream`` is the previous owner, which has to
    stop serving, and ``epoch`` is already the fencing token of the next one.
    """

    state: ShardState
    upstream: UpstreamName
    epoch: Epoch


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Addresses of a keeper as ``IP:port``.

    A keeper is the process on a host that grants shards to upstreams and
    forwards requests to them.
    """

    link: LinkAddress
    admin: str


class Assignment(msgspec.Struct, frozen=True):
    """Members of one data centre and the shards that belong to it.

    Invariants: an epoch never decreases; a shard changes its owner only
    through RELEASING; the member list changes by one host at a time; each
    change has its own change id.

    The member list is stored in the same record as the shards, so that one
    revision fences both: a host that counts a majority by an outdated list
    learns this from any member that knows the newer revision.

    Parameters
    ----------
    change_id : ChangeId
        Unique id of the change that created this version.
    members : dict
        Keepers that count towards a majority, by host.
    shards : dict
        Ownership by shard.
    """

    change_id: ChangeId
    members: dict[HostName, Member]
    shards: dict[ShardKey, Ownership]

    def find_owner(self, key: ShardKey) -> Ownership | None:
        """Return the ownership of a shard, or None when it has none."""
        return self.shards.get(key)

    def list_owned(self, upstream: UpstreamName) -> dict[ShardKey, Epoch]:
        """Return the shards that an upstream may serve and their epochs."""
        return {
            key: owner.epoch
            for key, owner in self.shards.items()
            if owner.upstream == upstream and owner.state is ShardState.OWNED
        }

    def list_releasing(self) -> dict[ShardKey, Ownership]:
        """Return the shards that are being released."""
        return {
            key: owner
            for key, owner in self.shards.items()
            if owner.state is ShardState.RELEASING
        }

    def add_member(
        self, host: HostName, member: Member, change_id: ChangeId
    ) -> "Assignment":
        """Add a host to the member list or change its addresses."""
        members = {**self.members, host: member}
        return Assignment(change_id, members, self.shards)

    def remove_member(
        self, host: HostName, change_id: ChangeId
    ) -> "Assignment":
        """Remove a host from the member list.

        Raises
        ------
        RuleError
            If the host is not a member or is the last one: an empty member
            list could never be changed again.
        """
        if host not in self.members or len(self.members) == 1:
            raise RuleError(
                Step.ASSIGN,
                f"cannot remove host {host} from members "
                f"{sorted(self.members)}",
            )
        members = {
            name: member
            for name, member in self.members.items()
            if name != host
        }
        return Assignment(change_id, members, self.shards)

    def assign_first(
        self, owners: Mapping[ShardKey, UpstreamName], change_id: ChangeId
    ) -> "Assignment":
        """Assign shards that have never had an owner.

        Raises
        ------
        RuleError
            If a shard already has an owner.
        """
        shards = dict(self.shards)
        for key, upstream in owners.items():
            if key in shards:
                raise RuleError(
                    Step.ASSIGN, f"shard {key} already has an owner"
                )
            shards[key] = Ownership(ShardState.OWNED, upstream, Epoch(1))
        return Assignment(change_id, self.members, shards)

    def release(
        self, keys: list[ShardKey], change_id: ChangeId
    ) -> "Assignment":
        """Start releasing shards from their owners.

        Raises
        ------
        RuleError
            If a shard is not in state OWNED.
        """
        shards = dict(self.shards)
        for key in keys:
            owner = shards.get(key)
            if owner is None or owner.state is not ShardState.OWNED:
                raise RuleError(
                    Step.ASSIGN, f"shard {key} is not owned: {owner}"
                )
            shards[key] = Ownership(
                ShardState.RELEASING, owner.upstream, Epoch(owner.epoch + 1)
            )
        return Assignment(change_id, self.members, shards)

    def complete(
        self,
        owners: Mapping[ShardKey, UpstreamName],
        fences: Mapping[ShardKey, Epoch],
        change_id: ChangeId,
    ) -> "Assignment":
        """Assign released shards to their next owners.

        Parameters
        ----------
        owners : mapping
            Next owner by shard.
        fences : mapping
            Epoch at which the previous owner is known to have stopped.

        Raises
        ------
        RuleError
            If a shard is not RELEASING at the given epoch: the proof that
            the previous owner stopped then belongs to an earlier move.
        """
        shards = dict(self.shards)
        for key, upstream in owners.items():
            owner = shards.get(key)
            if (
                owner is None
                or owner.state is not ShardState.RELEASING
                or owner.epoch != fences.get(key)
            ):
                raise RuleError(
                    Step.ASSIGN,
                    f"shard {key} is not being released at epoch "
                    f"{fences.get(key)}: {owner}",
                )
            shards[key] = Ownership(ShardState.OWNED, upstream, owner.epoch)
        return Assignment(change_id, self.members, shards)


EMPTY_ASSIGNMENT = Assignment(ChangeId(""), {}, {})
