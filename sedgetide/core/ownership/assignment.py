"""The assignment of a data centre: shards, their owners and epochs.

The aggregate is immutable; each command returns the next assignment, which
is in force only once a compare-and-swap has put it into the store.
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
    """Who owns a shard.

    While RELEASING, ``upstream`` is the owner that has to stop and
    ``epoch`` already is the fence of the next owner.
    """

    state: ShardState
    upstream: UpstreamName
    epoch: Epoch


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Addresses of a keeper, as ``IP:port``."""

    link: LinkAddress
    admin: str


class Assignment(msgspec.Struct, frozen=True):
    """Members of one data centre and all shards whose home it is.

    Invariants: an epoch never falls; a shard changes its owner only by way
    of RELEASING; the member list changes by one host at a time; each
    change carries its own change id.

    The member list lives in the same record as the shards, so that one
    revision fences both: a host that counts votes by an older list is told
    so by whoever knows the newer one.

    Parameters
    ----------
    change_id : ChangeId
        Unique id of the change that made this version.
    members : dict
        Keepers whose word counts, by host.
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
        """Return the shards that an upstream may serve, with epochs."""
        return {
            key: owner.epoch
            for key, owner in self.shards.items()
            if owner.upstream == upstream and owner.state is ShardState.OWNED
        }

    def list_releasing(self) -> dict[ShardKey, Ownership]:
        """Return the shards that have no owner at present."""
        return {
            key: owner
            for key, owner in self.shards.items()
            if owner.state is ShardState.RELEASING
        }

    def add_member(
        self, host: HostName, member: Member, change_id: ChangeId
    ) -> "Assignment":
        """Add one host to the member list, or change its addresses."""
        members = {**self.members, host: member}
        return Assignment(change_id, members, self.shards)

    def remove_member(
        self, host: HostName, change_id: ChangeId
    ) -> "Assignment":
        """Take one host off the member list.

        Raises
        ------
        RuleError
            When the host is unknown or the last one: an empty list could
            never change again.
        """
        if host not in self.members or len(self.members) == 1:
            raise RuleError(
                Step.ASSIGN,
                f"host {host} can not leave {sorted(self.members)}",
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
        """Give shards that never had an owner their first one.

        Raises
        ------
        RuleError
            When a shard has an owner already.
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
        """Begin to move shards away from their owners.

        Raises
        ------
        RuleError
            When a shard is not OWNED.
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
        """Give released shards their next owners.

        Parameters
        ----------
        owners : mapping
            Next owner by shard.
        fences : mapping
            Epoch at which the old owner is known to have stopped.

        Raises
        ------
        RuleError
            When a shard is not RELEASING at the given fence: the proof that
            the old owner stopped then belongs to an earlier move.
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
