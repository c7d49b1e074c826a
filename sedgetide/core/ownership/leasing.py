"""One keeper's authorization towards one upstream: orders, grants, requests.

The task that owns the connections asks :meth:`UpstreamLease.next_call` what
to send, sends it, and gives the answer back. Nothing here does I/O.
"""

from collections.abc import Callable
import enum

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import NO_EPOCH
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState
from sedgetide.core.ownership.grants import GrantLedger
from sedgetide.core.ownership.grants import Token
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.timing import Timing

NEVER = float("-inf")
ALWAYS = float("inf")


class ControlCallKind(enum.Enum):
    """What a keeper asks of an upstream."""

    STATUS = "status"
    GRANT = "grant"
    RELEASE = "release"


class ControlCall(msgspec.Struct, frozen=True):
    """A control call to be made.

    Parameters
    ----------
    kind : ControlCallKind
        What to ask.
    token : Token or None
        Stamp to give back; None for a status call.
    shards : dict
        Shards the order is about.
    not_after : float
        Own clock time after which it may not be sent.
    """

    kind: ControlCallKind
    token: Token | None = None
    shards: dict[ShardKey, Epoch] = {}
    not_after: float = ALWAYS


class Authorization(msgspec.Struct, frozen=True):
    """What may be acted on.

    Parameters
    ----------
    assignment : Assignment
        Newest version held.
    proved_until : float
        Own clock time up to which it is proved to be the newest.
    """

    assignment: Assignment = EMPTY_ASSIGNMENT
    proved_until: float = NEVER


class ControlAnswer(msgspec.Struct, frozen=True):
    """An upstream's answer to a control call.

    Parameters
    ----------
    token : Token
        Its stamp and the times around the call.
    orderer : str
        Whose grants it held before the call.
    held : float
        Seconds of life left to those.
    refused : frozenset
        Shards it refused: to be granted, for a newer fence; to be given
        up, since a request of them runs.
    """

    token: Token
    orderer: str = ""
    held: float = 0.0
    refused: frozenset[ShardKey] = frozenset()


def _list_taken(
    call: ControlCall, answer: ControlAnswer
) -> dict[ShardKey, Epoch]:
    return {
        key: epoch
        for key, epoch in call.shards.items()
        if key not in answer.refused
    }


class UpstreamReport(msgspec.Struct, frozen=True):
    """What a keeper tells the assigner of its upstream.

    Parameters
    ----------
    alive : bool
        Whether it answers.
    lost : dict
        Shards whose owner is gone, with the epoch it held.
    released : dict
        Shards whose owner confirmed the release, with the fence.
    """

    upstream: UpstreamName
    alive: bool
    lost: dict[ShardKey, Epoch]
    released: dict[ShardKey, Epoch]


class Health(enum.Enum):
    """Whether an upstream answers."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    LOST = "lost"


class UpstreamLease:
    """What one keeper may order of one upstream, and send to it.

    Parameters
    ----------
    upstream : UpstreamName
        The upstream.
    orderer : str
        Host and incarnation of the keeper.
    checks_orders : bool
        Whether the upstream refuses stale orders.
    timing : Timing
        Durations.
    outranks : callable
        Tells whether the keeper of an orderer name comes before this one.
    now : float
        Own clock.
    """

    def __init__(
        self,
        upstream: UpstreamName,
        orderer: str,
        checks_orders: bool,
        timing: Timing,
        outranks: Callable[[str], bool],
        now: float,
    ) -> None:
        self.upstream = upstream
        self.health = Health.UNKNOWN
        self.checks_orders = checks_orders
        self._orderer = orderer
        self._timing = timing
        self._outranks = outranks
        self._authorization = Authorization()
        self._ledger = GrantLedger(timing.grant_life, timing.clock_error)
        self._in_flight: dict[ShardKey, int] = {}
        self._released: dict[ShardKey, Epoch] = {}
        self._gone: dict[ShardKey, Epoch] = {}
        self._answered_at = now
        self._standing_back = True

    @property
    def standing_back(self) -> bool:
        """Whether requests are left to another keeper."""
        return self._standing_back

    @property
    def token(self) -> Token | None:
        """Newest stamp of the upstream."""
        return self._ledger.token

    def update(self, authorization: Authorization) -> bool:
        """Take in what may be acted on; return whether it has news."""
        known, self._authorization = self._authorization, authorization
        return known.assignment is not authorization.assignment

    def retire(self) -> None:
        """Leave all requests to others from now on."""
        self._standing_back = True

    # Requests

    def find_refusal_reason(
        self, shard: ShardKey | None, expires: float, now: float
    ) -> Reason | None:
        """Return why a request may not be sent at this very moment.

        The task may have been paused anywhere before; only a look at the
        clock right before the send shows whether the proof still holds.
        """
        if now >= expires:
            return Reason.DEADLINE
        if self._standing_back:
            return Reason.NOT_KEEPER
        if shard is None:
            return None
        if now >= self._authorization.proved_until:
            return Reason.NO_GRANT
        owner = self._authorization.assignment.find_owner(shard)
        if owner is None or owner.upstream != self.upstream:
            return Reason.STALE_EPOCH
        if owner.state is not ShardState.OWNED:
            return Reason.MOVING
        if not self._ledger.covers(shard, owner.epoch, now):
            return Reason.NO_GRANT
        return None

    def find_epoch(self, shard: ShardKey | None) -> Epoch:
        """Return the epoch under which a request goes out."""
        if shard is None:
            return NO_EPOCH
        return self._authorization.assignment.find_owner(shard).epoch

    def find_send_deadline(
        self, shard: ShardKey | None, expires: float
    ) -> float:
        """Return the clock time after which a request may not be sent."""
        if shard is None:
            return expires
        return min(expires, self._authorization.proved_until)

    def begin_request(self, shard: ShardKey | None) -> None:
        """Note that a request is being handed to the upstream."""
        if shard is not None:
            self._in_flight[shard] = self._in_flight.get(shard, 0) + 1

    def end_request(self, shard: ShardKey | None) -> None:
        """Note that a request has ended, however."""
        if shard is None:
            return
        self._in_flight[shard] -= 1
        if not self._in_flight[shard]:
            del self._in_flight[shard]

    # Control calls

    def next_call(self, now: float) -> ControlCall:
        """Return the control call to make now."""
        if self._ledger.token is None or self._standing_back:
            return ControlCall(ControlCallKind.STATUS)
        ready = self._find_releasable()
        if ready:
            for key in ready:
                self._ledger.drop(key)
            return ControlCall(
                ControlCallKind.RELEASE, self._ledger.token, ready
            )
        if now >= self._authorization.proved_until:
            # Without authority the call only shows whether it is alive.
            return ControlCall(ControlCallKind.STATUS)
        return ControlCall(
            ControlCallKind.GRANT,
            self._ledger.token,
            self._find_grantable(),
            self._authorization.proved_until,
        )

    def note_answer(self, call: ControlCall, answer: ControlAnswer) -> bool:
        """Take in the answer to a call.

        Returns
        -------
        bool
            Whether operations may have run under another keeper, so that
            the log of operations no longer tells the whole.
        """
        self._answered_at = answer.token.received_at
        self.health = Health.ALIVE
        if self._ledger.note_token(answer.token):
            # The process that held these grants is gone with its state.
            # The shards go through a release, as after any loss.
            self._gone.update(
                self._authorization.assignment.list_owned(self.upstream)
            )
            return True
        foreign = answer.orderer not in ("", self._orderer)
        yields = foreign and answer.held > 0 and self._outranks(answer.orderer)
        if call.kind is ControlCallKind.STATUS:
            # Another keeper that comes first and still renews is left
            # alone: two that outdid each other would have the upstream
            # refuse the requests of both by turns.
            self._standing_back = yields
            return False
        if call.kind is ControlCallKind.RELEASE:
            self._released.update(_list_taken(call, answer))
        else:
            self._ledger.note_granted(call.token, _list_taken(call, answer))
        self._standing_back = yields
        return foreign

    def note_failure(self, now: float) -> None:
        """Take in that a call got no answer.

        A failed call closes its connection, so a second failure was on a
        new one: a connection that went silent is not taken for a loss.
        """
        if now - self._answered_at > self._timing.silence:
            self.health = Health.LOST

    def list_granted(self, now: float) -> dict[ShardKey, Epoch]:
        """Return shards the upstream certainly holds grants for."""
        return self._ledger.list_held(now)

    # Reports

    def has_news(self) -> bool:
        """Tell whether the assigner has to hear of this upstream."""
        lost = self.health is Health.LOST
        return lost or bool(self.list_lost() or self.list_released())

    def make_report(self) -> UpstreamReport:
        """Return what the assigner has to hear."""
        return UpstreamReport(
            self.upstream,
            self.health is not Health.LOST,
            self.list_lost(),
            self.list_released(),
        )

    def list_lost(self) -> dict[ShardKey, Epoch]:
        """Return shards whose owner's process is gone or silent."""
        owned = self._authorization.assignment.list_owned(self.upstream)
        if self.health is Health.LOST:
            return owned
        return {
            key: epoch
            for key, epoch in self._gone.items()
            if owned.get(key) == epoch
        }

    def list_released(self) -> dict[ShardKey, Epoch]:
        """Return shards the upstream confirmed to have given up."""
        releasing = self._list_releasing()
        return {
            key: epoch
            for key, epoch in self._released.items()
            if releasing.get(key) == epoch
        }

    def _list_releasing(self) -> dict[ShardKey, Epoch]:
        releasing = self._authorization.assignment.list_releasing()
        return {
            key: owner.epoch
            for key, owner in releasing.items()
            if owner.upstream == self.upstream
        }

    def _find_releasable(self) -> dict[ShardKey, Epoch]:
        """Return shards to be given up now.

        A request that runs is let end, so that a planned move cuts none.
        Only an upstream that remembers the fence is asked: another would
        take a late renewal of a paused keeper after its confirmation.
        """
        if not self.checks_orders or self.health is Health.LOST:
            return {}
        return {
            key: epoch
            for key, epoch in self._list_releasing().items()
            if self._released.get(key) != epoch and key not in self._in_flight
        }

    def _find_grantable(self) -> dict[ShardKey, Epoch]:
        owned = self._authorization.assignment.list_owned(self.upstream)
        return {
            key: epoch
            for key, epoch in owned.items()
            if self._gone.get(key) != epoch
        }
