"""Mutation tests of decisions in passed-in time, without a fault matrix.

Each mutation removes one part of a decision, and names a replay that must
then break a rule. ``python -m sedgetide.testing.rulemutations`` runs all.
"""

from collections.abc import Callable
import sys
from typing import Any
from unittest import mock

import msgspec

from sedgetide.backends.leasestore import Item
from sedgetide.core.history import Era
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Revision
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.requests.pushback import Backoffs
import sedgetide.core.requests.ratelimits as ratelimits
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.ratelimits import TokenBucket
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.platform._registry import PlatformRegistry

_UPSTREAM = IncarnationName("u-1")
_RATE = 2.0
# Requests in some seconds that the platform allows beyond the limit.
_WINDOW = 4.0
_EXCESS = 1.5
_SLACK = 5
_STEP = 0.05


class RuleMutation(msgspec.Struct, frozen=True):
    """A part of a decision to remove, and the replay that must then fail.

    Parameters
    ----------
    name : str
        Description of the removed part.
    target, attribute : object and str
        Object and name of its attribute to replace.
    replacement : object
        Replacement of the attribute.
    replay : callable
        Returns whether the rule holds in a replay.
    """

    name: str
    target: Any
    attribute: str
    replacement: Any
    replay: Callable[[], bool]

    def run(self) -> bool:
        """Return whether the replay finds the missing part."""
        with mock.patch.object(self.target, self.attribute, self.replacement):
            return not self.replay()


def _send_all(bucket: TokenBucket, first: float, last: float) -> list[float]:
    """Send as soon as the bucket allows it; return when."""
    sent = []
    now = first
    while now < last:
        while bucket.find_wait(0, now) <= 0.0:
            bucket.take(now)
            sent.append(now)
        now += _STEP
    return sent


def _count_most(sent: list[float]) -> int:
    return max(
        sum(1 for each in sent if begin <= each <= begin + _WINDOW)
        for begin in sent
    )


def _is_within(sent: list[float], rate: float) -> bool:
    return _count_most(sent) <= _EXCESS * rate * _WINDOW + _SLACK


def keeps_to_limit_after_a_rest() -> bool:
    """Replay an upstream that gets nothing for a minute, then much."""
    bucket = TokenBucket()
    bucket.note(StatedLimit(_RATE, 0.0, 0.0), 0.0)
    return _is_within(_send_all(bucket, 60.0, 70.0), _RATE)


def keeps_to_limit_all_the_time() -> bool:
    """Replay an upstream that is asked for as much as it allows."""
    bucket = TokenBucket()
    bucket.note(StatedLimit(_RATE, 0.0, 0.0), 0.0)
    sent = _send_all(bucket, 0.0, 20.0)
    return _is_within(sent, _RATE)


def keeps_the_later_limit() -> bool:
    """Replay an answer that was overtaken, with a limit that was raised."""
    bucket = TokenBucket()
    bucket.note(StatedLimit(_RATE, 1.0, 2.0), 2.0)
    bucket.note(StatedLimit(None, 0.0, 0.5), 2.1)
    return bucket.rate == _RATE


def keeps_the_stricter_limit() -> bool:
    """Replay two answers that may have been written in either order."""
    bucket = TokenBucket()
    bucket.note(StatedLimit(_RATE, 1.0, 2.0), 2.0)
    bucket.note(StatedLimit(10 * _RATE, 1.5, 2.1), 2.1)
    return bucket.rate == _RATE


def keeps_the_longer_backoff() -> bool:
    """Replay a short backoff that is asked for during a long one."""
    backoffs = Backoffs()
    backoffs.note(_UPSTREAM, 3.0, 0.0)
    backoffs.note(_UPSTREAM, 0.5, 0.1)
    return backoffs.find_remaining(_UPSTREAM, 1.0) > 0.0


def keeps_announced_end() -> bool:
    """Replay an entry that shows a leaving upstream as ready."""
    entry = RegisteredUpstream(_UPSTREAM, "s", "10.0.0.1:80", "dc")
    directory = UpstreamDirectory(grace=2.0)
    directory.put(entry, 0.0)
    directory.note_leaving(entry.name)
    directory.put(entry, 1.0)
    return directory.find_active(entry.name) is None


def takes_what_a_new_era_writes() -> bool:
    """Replay a store that assigns revisions again after a restore."""
    state = DeploymentState(PlatformRegistry())
    positions = [
        Position(Era(0), Revision(9)),
        Position(Era(1), Revision(5)),
    ]
    for position in positions:
        state.apply_items([Item("k", position, b"")], 0.0)
    known = state.find_item("k")
    return known is not None and known.position == positions[-1]


def keeps_what_was_written_later() -> bool:
    """Replay an item that arrives after a later version of itself."""
    state = DeploymentState(PlatformRegistry())
    for revision, value in ((9, b"new"), (5, b"old")):
        position = Position(Era(0), Revision(revision))
        state.apply_items([Item("k", position, value)], 0.0)
    known = state.find_item("k")
    return known is not None and known.value == b"new"


def _refill_without_cap(self: Any, now: float) -> None:
    if self._rate is not None:
        self._tokens += (now - self._filled_at) * self._rate
    self._filled_at = now


def _note_last_backoff(
    self: Any, upstream: IncarnationName, seconds: float, now: float
) -> bool:
    self._until[upstream] = now + seconds
    return True


def _is_not_later(self: Position, other: Position) -> bool:
    return self.revision <= other.revision


RULE_MUTATIONS = [
    RuleMutation(
        "a bucket without a cap",
        TokenBucket,
        "_refill",
        _refill_without_cap,
        keeps_to_limit_after_a_rest,
    ),
    RuleMutation(
        "a send that takes a third of a token",
        TokenBucket,
        "take",
        lambda self, now: setattr(self, "_tokens", self._tokens - 1 / 3),
        keeps_to_limit_all_the_time,
    ),
    RuleMutation(
        "the limit of the answer that arrived last",
        ratelimits,
        "choose_limit",
        lambda known, said: said,
        keeps_the_later_limit,
    ),
    RuleMutation(
        "the larger limit where the order is unknown",
        ratelimits,
        "_get_rate",
        lambda limit: -(limit.rate or 0.0),
        keeps_the_stricter_limit,
    ),
    RuleMutation(
        "a backoff that a shorter one ends",
        Backoffs,
        "note",
        _note_last_backoff,
        keeps_the_longer_backoff,
    ),
    RuleMutation(
        "an announced end that is forgotten",
        UpstreamDirectory,
        "note_leaving",
        lambda self, name: True,
        keeps_announced_end,
    ),
    RuleMutation(
        "revisions compared across eras",
        Position,
        "__le__",
        _is_not_later,
        takes_what_a_new_era_writes,
    ),
    RuleMutation(
        "an older version of an item applied",
        Position,
        "__le__",
        lambda self, other: False,
        keeps_what_was_written_later,
    ),
]


def main() -> int:
    """Print which mutations are found; return 1 if one is not."""
    missed = 0
    for mutation in RULE_MUTATIONS:
        found = mutation.replay() and mutation.run()
        missed += not found
        print(f"{'found' if found else 'MISSED':7} {mutation.name}")
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
