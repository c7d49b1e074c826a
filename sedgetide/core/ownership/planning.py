"""What the assigner of a data centre changes next."""

import collections
from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState


class PlanningInput(msgspec.Struct, frozen=True):
    """All that the next change of an assignment depends on.

    Parameters
    ----------
    wanted : dict
        Shards that must have an owner, by service.
    takers : dict
        Upstreams that may be given shards, by service.
    evicted : frozenset
        Upstreams that must give up their shards in a planned way.
    lost : dict
        Shards whose owner is gone, with the epoch it held.
    stopped : dict
        Released shards whose old owner has stopped, with their fences.
    pins : dict
        Owners chosen by the operators that can own now.
    joiners : dict
        Hosts that answer but are not on the member list.
    absent : frozenset
        Members that have been silent for long.
    member_list_known : bool
        Whether a majority knows the present member list.
    """

    wanted: Mapping[ServiceName, list[ShardKey]]
    takers: Mapping[ServiceName, list[UpstreamName]]
    evicted: Collection[UpstreamName] = frozenset()
    lost: Mapping[ShardKey, Epoch] = {}
    stopped: Mapping[ShardKey, Epoch] = {}
    pins: Mapping[ShardKey, UpstreamName] = {}
    joiners: Mapping[HostName, Member] = {}
    absent: Collection[HostName] = frozenset()
    member_list_known: bool = False


def _spread(
    keys: Collection[ShardKey],
    assignment: Assignment,
    situation: PlanningInput,
) -> dict[ShardKey, UpstreamName]:
    """Give each shard to its pin or the upstream that owns the fewest."""
    counts: collections.Counter[UpstreamName] = collections.Counter(
        owner.upstream
        for owner in assignment.shards.values()
        if owner.state is ShardState.OWNED
    )
    owners = {}
    for key in sorted(keys):
        candidates = situation.takers.get(key.service, [])
        if key in situation.pins:
            candidates = [situation.pins[key]]
        if not candidates:
            continue
        chosen = min(candidates, key=lambda name: (counts[name], name))
        counts[chosen] += 1
        owners[key] = chosen
    return owners


def _plan_completion(
    assignment: Assignment, situation: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    owners = _spread(situation.stopped, assignment, situation)
    if not owners:
        return None
    return assignment.complete(owners, situation.stopped, change_id)


def _plan_first(
    assignment: Assignment, situation: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    missing = [
        key
        for keys in situation.wanted.values()
        for key in keys
        if key not in assignment.shards
    ]
    owners = _spread(missing, assignment, situation)
    return assignment.assign_first(owners, change_id) if owners else None


def _plan_release(
    assignment: Assignment, situation: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    keys = [
        key
        for key, owner in assignment.shards.items()
        if owner.state is ShardState.OWNED
        and (
            situation.lost.get(key) == owner.epoch
            or situation.pins.get(key, owner.upstream) != owner.upstream
            or (
                owner.upstream in situation.evicted
                and situation.takers.get(key.service)
            )
        )
    ]
    return assignment.release(keys, change_id) if keys else None


def _plan_members(
    assignment: Assignment, situation: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    if assignment.members and not situation.member_list_known:
        return None
    for host in sorted(situation.joiners):
        if assignment.members.get(host) != situation.joiners[host]:
            return assignment.add_member(
                host, situation.joiners[host], change_id
            )
    for host in sorted(situation.absent):
        if host in assignment.members and len(assignment.members) > 1:
            return assignment.remove_member(host, change_id)
    return None


def plan_change(
    assignment: Assignment, situation: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    """Return the next version of an assignment, or None when it is right.

    Parameters
    ----------
    assignment : Assignment
        Version in force.
    situation : PlanningInput
        What is known at present.
    change_id : ChangeId
        Unique id for the change.

    Returns
    -------
    Assignment or None
        Dark shards come first, then the member list, which all waiting
        depends on, then moves.
    """
    plans = [_plan_completion, _plan_first, _plan_release, _plan_members]
    if not assignment.members:
        # Without a member nobody is entitled to make the next change.
        plans = [_plan_members]
    for plan in plans:
        changed = plan(assignment, situation, change_id)
        if changed is not None:
            return changed
    return None
