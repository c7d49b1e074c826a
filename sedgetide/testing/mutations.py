"""Weakened safeguards: the matrix has to catch each one.

A matrix that finds nothing proves something only if it would find a missing
safeguard. Each mutation takes one away, and names a cell that must break.
"""

import contextlib
from typing import Any
from unittest import mock

import msgspec

from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.membership.datacentre import DataCentreView
import sedgetide.core.ownership.authority as authority
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
    """One safeguard taken away.

    Parameters
    ----------
    name : str
        What is weakened.
    promise : str
        Which promise it guards.
    target, attribute : object and str
        What is replaced.
    replacement : object
        By what.
    faults, step
        Cell that has to break.
    checks_orders : bool
        Kind of upstreams in the cell.
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
        """Run the cell without the safeguard."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                mock.patch.object(
                    self.target, self.attribute, self.replacement
                )
            )
            return run_cell(self.faults, self.step, self.checks_orders)


def _apply_any(self: RecordCache, record: Any) -> bool:
    held = self._records.get(record.key)
    self._records[record.key] = record
    return held is None or held.revision != record.revision


def _swap_blindly(
    self: Any, key: str, value: bytes, expected: int, lease: Any = None
) -> Any:
    self.revision += 1
    record = Record(key, self.revision, value)
    self._records[key] = record
    return SwapResult(True, self.revision)


def _list_all_takers(self: Any, text: Any, now: float) -> Any:
    names = {
        service.name: [each.name for each in service.upstreams]
        for service in text.services
    }
    return names, {name for each in names.values() for name in each}


ONE_OWNER = "one owner"
KEPT = "acknowledged assignments stay"
TRUE_REFUSAL = "a refusal is true"
ONCE = "at most once"
LEAVING = "a leaving upstream gets nothing new"
STOP = "a planned stop cuts no request"
TEXT = "an accepted text never goes back"

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
        "no look at the clock before an order is sent",
        ONE_OWNER,
        World,
        "check_before_send",
        False,
        ("keeper paused",),
        "move: releasing",
        False,
    ),
    Mutation(
        "a write without compare-and-swap",
        KEPT,
        StoreModel,
        "swap",
        _swap_blindly,
        ("assigner paused at a write",),
        "takeover: releasing",
    ),
    Mutation(
        "not-run said after the hand-over",
        TRUE_REFUSAL,
        worldrequests,
        "judge_failure",
        lambda phase: Outcome.NOT_RUN,
        ("upstream frozen",),
        "request running",
    ),
    Mutation(
        "an unsure first attempt forgotten",
        TRUE_REFUSAL,
        worldrequests,
        "combine_outcomes",
        lambda before, last: last,
        ("centre cut from others",),
        "request running",
    ),
    Mutation(
        "a non-idempotent request sent again",
        ONCE,
        worldrequests,
        "may_resend",
        lambda outcome, idempotent: outcome is not Outcome.ANSWERED,
        ("keeper killed",),
        "request running",
    ),
    Mutation(
        "operation ids of a predecessor run",
        ONCE,
        OperationLog,
        "_may_have_run",
        lambda self, operation, shard, wall: False,
        ("keeper killed",),
        "request running",
    ),
    Mutation(
        "a draining upstream still given shards",
        LEAVING,
        DataCentreView,
        "_list_takers",
        _list_all_takers,
        ("none",),
        "text accepted",
    ),
    Mutation(
        "a stop without a notice",
        STOP,
        Scenario,
        "stop_notice",
        0.05,
        ("none",),
        "planned stop",
    ),
    Mutation(
        "a lower revision taken",
        TEXT,
        RecordCache,
        "apply",
        _apply_any,
        ("records overtaken",),
        "renewal",
    ),
]
