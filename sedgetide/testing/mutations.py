"""Mutation tests of the fault matrix.

A matrix without violations is evidence only if it detects missing safeguards.
Each mutation disables one safeguard and names a cell that must then fail.
"""

import contextlib
from typing import Any
from unittest import mock

import msgspec

from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.membership.datacentre import DataCentreView
import sedgetide.core.ownership.authority as authority
from sedgetide.core.ownership.controlcalls import ControlAnswer
from sedgetide.core.ownership.leasing import UpstreamLease
from sedgetide.core.requests.operations import OperationLog
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.timing import Timing
from sedgetide.testing.matrix import Cell
from sedgetide.testing.matrix import run_cell
from sedgetide.testing.scenarios import Scenario
from sedgetide.testing.storemodel import StoreModel
from sedgetide.testing.storemodel import SwapResult
from sedgetide.testing.upstreammodel import UpstreamModel
from sedgetide.testing.world import World
import sedgetide.testing.worldrequests as worldrequests


class Mutation(msgspec.Struct, frozen=True):
    """A safeguard to disable, and the cell that must then fail.

    Parameters
    ----------
    name : str
        Description of the disabled safeguard.
    promise : str
        Guarantee that it protects.
    target, attribute : object and str
        Object and name of its attribute to replace.
    replacement : object
        Replacement of the attribute.
    faults, step
        Cell that must fail.
    checks_orders : bool
        Whether the upstreams in the cell refuse stale orders.
    """

    name: str
    promise: str
    target: Any
    attribute: str
    replacement: Any
    faults: tuple[str, ...]
    step: str
    checks_orders: bool = True

    def run(self) -> Cell:
        """Run the cell with the safeguard disabled."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                mock.patch.object(
                    self.target, self.attribute, self.replacement
                )
            )
            return run_cell(self.faults, self.step, self.checks_orders)


def _apply_any_revision(self: RecordCache, record: Any) -> bool:
    held = self._records.get(record.key)
    self._records[record.key] = record
    return held is None or held.revision != record.revision


def _swap_unconditionally(
    self: Any, key: str, value: bytes, expected: int, lease: Any = None
) -> Any:
    self.revision += 1
    record = Record(key, self.revision, value)
    self._records[key] = record
    return SwapResult(True, self.revision)


def _list_all_eligible(self: Any, text: Any, now: float) -> Any:
    names = {
        service.name: [each.name for each in service.upstreams]
        for service in text.services
    }
    return names, {name for each in names.values() for name in each}


_note_process = UpstreamLease._note_process


def _trust_process(
    self: UpstreamLease, answer: ControlAnswer, restarted: bool
) -> None:
    orderer = answer.orderer or "k0/1"
    named = msgspec.structs.replace(answer, orderer=orderer)
    _note_process(self, named, restarted)


ONE_OWNER = "one owner"
ONE_PROCESS = "an epoch belongs to one process"
DURABLE_ASSIGNMENT = "acknowledged assignments are not lost"
TRUTHFUL_REFUSAL = "a request refused as not run did not run"
AT_MOST_ONCE = "at most once"
DRAINING = "a draining upstream gets no new requests"
PLANNED_STOP = "a planned stop aborts no request"
MONOTONIC_CONFIGURATION = "configuration revisions never go back"

MUTATIONS = [
    Mutation(
        "no wait before a takeover",
        ONE_OWNER,
        Timing,
        "sum_takeover_wait",
        lambda self, longest_request=0.0: 0.0,
        ("upstream frozen",),
        "renewal",
    ),
    Mutation(
        "a proof without a majority",
        ONE_OWNER,
        authority,
        "count_majority",
        lambda size: 1,
        ("keeper cut from both",),
        "text accepted",
    ),
    Mutation(
        "a grant's life counted from its receipt",
        ONE_OWNER,
        UpstreamModel,
        "find_expiry",
        lambda self, stamp, life, now: now + life,
        ("upstream frozen",),
        "renewal",
    ),
    Mutation(
        "no check of the clock before an order is sent",
        ONE_OWNER,
        World,
        "check_before_send",
        False,
        ("keeper paused",),
        "move: releasing",
        False,
    ),
    Mutation(
        "shards granted to a process that no keeper has ordered",
        ONE_PROCESS,
        UpstreamLease,
        "_note_process",
        _trust_process,
        ("keeper killed", "upstream restarted"),
        "renewal",
    ),
    Mutation(
        "a write without compare-and-swap",
        DURABLE_ASSIGNMENT,
        StoreModel,
        "swap",
        _swap_unconditionally,
        ("assigner paused at a write",),
        "takeover: releasing",
    ),
    Mutation(
        "not-run reported for a request already sent",
        TRUTHFUL_REFUSAL,
        worldrequests,
        "judge_failure",
        lambda phase: Outcome.NOT_RUN,
        ("upstream frozen",),
        "request running",
    ),
    Mutation(
        "the unknown outcome of a first attempt ignored",
        TRUTHFUL_REFUSAL,
        worldrequests,
        "combine_outcomes",
        lambda before, last: last,
        ("centre cut from others",),
        "request running",
    ),
    Mutation(
        "a non-idempotent request sent again",
        AT_MOST_ONCE,
        worldrequests,
        "may_resend",
        lambda outcome, idempotent: outcome is not Outcome.ANSWERED,
        ("keeper killed",),
        "request running",
    ),
    Mutation(
        "operation ids of an earlier keeper accepted",
        AT_MOST_ONCE,
        OperationLog,
        "_may_have_run",
        lambda self, operation, shard, wall: False,
        ("keeper killed",),
        "request running",
    ),
    Mutation(
        "shards assigned to a draining upstream",
        DRAINING,
        DataCentreView,
        "_list_eligible",
        _list_all_eligible,
        ("none",),
        "text accepted",
    ),
    Mutation(
        "a stop without notice to the peers",
        PLANNED_STOP,
        Scenario,
        "stop_notice",
        0.05,
        ("none",),
        "planned stop",
    ),
    Mutation(
        "a lower revision applied",
        MONOTONIC_CONFIGURATION,
        RecordCache,
        "apply",
        _apply_any_revision,
        ("records overtaken",),
        "renewal",
    ),
]
