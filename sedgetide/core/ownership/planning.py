"""Planning of the next change of a data centre's assignment.

The assigner is the keeper of a data centre that writes these changes.
"""

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
    """State on which the next change of an assignment depends.

    Parameters
    ----------
    wanted : dict
        Shards that must have an owner, by service.
    eligible : dict
        Upstreams to which shards may be assigned, by service.
    evicted : frozenset
        Upstreams that must give up their shards by planned moves.
    lost : dict
        Shards whose owner is gone, with the epoch it held.
    stopped : dict
        Released shards whose previous owner has stopped, with their epochs.
    pins : dict
        Owners configured by the operators that are eligible now.
    joiners : dict
        Addresses of hosts that answer, by host. A host that is not on the
        member list, or is listed with other addresses, is added.
    absent : frozenset
        Members that have been silent for a long time.
    member_list_known : bool
        Whether a majority knows the current member list.
    """

    wanted: Mapping[ServiceName, list[ShardKey]]
    eligible: Mapping[ServiceName, list[UpstreamName]]
    evicted: Collection[UpstreamName] = frozenset()
    lost: Mapping[ShardKey, Epoch] = {}
    stopped: Mapping[ShardKey, Epoch] = {}
    pins: Mapping[ShardKey, UpstreamName] = {}
    joiners: Mapping[HostName, Member] = {}
    absent: Collection[HostName] = frozenset()
    member_list_known: bool = False


def _assign_owners(
    keys: Collection[ShardKey],
    assignment: Assignment,
    inputs: PlanningInput,
) -> dict[ShardKey, UpstreamName]:
    """Assign each shard to its pin or to the upstream with the fewest."""
    counts: collections.Counter[UpstreamName] = collections.Counter(
        owner.upstream
        for owner in assignment.shards.values()
        if owner.state is ShardState.OWNED
    )
    owners = {}
    for key in sorted(keys):
        candidates = inputs.eligible.get(key.service, [])
        if key in inputs.pins:
            candidates = [inputs.pins[key]]
        if not candidates:
            continue
        chosen = min(candidates, key=lambda name: (counts[name], name))
        counts[chosen] += 1
        owners[key] = chosen
    return owners


def _plan_completion(
    assignment: Assignment, inputs: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    owners = _assign_owners(inputs.stopped, assignment, inputs)
    if not owners:
        return None
    return assignment.complete(owners, inputs.stopped, change_id)


def _plan_first_owners(
    assignment: Assignment, inputs: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    missing = [
        key
        for keys in inputs.wanted.values()
        for key in keys
        if key not in assignment.shards
    ]
    owners = _assign_owners(missing, assignment, inputs)
    return assignment.assign_first(owners, change_id) if owners else None


def _plan_release(
    assignment: Assignment, inputs: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    keys = [
        key
        for key, owner in assignment.shards.items()
        if owner.state is ShardState.OWNED
        and (
            inputs.lost.get(key) == owner.epoch
            or inputs.pins.get(key, owner.upstream) != owner.upstream
            or (
                owner.upstream in inputs.evicted
                and inputs.eligible.get(key.service)
            )
        )
    ]
    return assignment.release(keys, change_id) if keys else None


def _plan_members(
    assignment: Assignment, inputs: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    if assignment.members and not inputs.member_list_known:
        return None
    for host in sorted(inputs.joiners):
        if assignment.members.get(host) != inputs.joiners[host]:
            return assignment.add_member(host, inputs.joiners[host], change_id)
    for host in sorted(inputs.absent):
        if host in assignment.members and len(assignment.members) > 1:
            return assignment.remove_member(host, change_id)
    return None


def plan_change(
    assignment: Assignment, inputs: PlanningInput, change_id: ChangeId
) -> Assignment | None:
    """Return the next version of an assignment, or None if it is up to date.

    Parameters
    ----------
    assignment : Assignment
        Current version.
    inputs : PlanningInput
        Current state of the data centre.
    change_id : ChangeId
        Unique id for the change.

    Returns
    -------
    Assignment or None
        The first change that is due: next or first owners of shards that
        have none, then releases, then the member list, on which all waits
        for a majority depend.
    """
    plans = [
        _plan_completion,
        _plan_first_owners,
        _plan_release,
        _plan_members,
    ]
    if not assignment.members:
        # Without members no host may write the next change.
        plans = [_plan_members]
    for plan in plans:
        changed = plan(assignment, inputs, change_id)
        if changed is not None:
            return changed
    return None
