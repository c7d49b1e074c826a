"""State of one keeper's authority over one upstream.

The task that owns the connections obtains the next control call from
:meth:`UpstreamLease.next_call`, sends it, and passes the answer back. This
module does no I/O.
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
from sedgetide.core.ownership.controlcalls import ControlAnswer
from sedgetide.core.ownership.controlcalls import ControlCall
from sedgetide.core.ownership.controlcalls import ControlCallKind
from sedgetide.core.ownership.grants import GrantLedger
from sedgetide.core.ownership.grants import Token
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.timing import Timing

NEVER = float("-inf")


class Authorization(msgspec.Struct, frozen=True):
    """An assignment and the time for which it is proved to be the newest.

    Parameters
    ----------
    assignment : Assignment
        Newest version held.
    proved_until : float
        Local time until which it is proved to be the newest.
    """

    assignment: Assignment = EMPTY_ASSIGNMENT
    proved_until: float = NEVER


def _list_accepted(
    call: ControlCall, answer: ControlAnswer
) -> dict[ShardKey, Epoch]:
    return {
        key: epoch
        for key, epoch in call.shards.items()
        if key not in answer.refused
    }


class UpstreamReport(msgspec.Struct, frozen=True):
    """Report of a keeper to the assigner about one of its upstreams.

    Parameters
    ----------
    upstream : UpstreamName
        Upstream that the report is about.
    alive : bool
        Whether the upstream answers.
    lost : dict
        Shards whose owner is gone, with the epoch it held.
    released : dict
        Shards whose owner confirmed the release, with the new epoch.
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
    """Orders and requests that one keeper may send to one upstream.

    A process of the upstream that no keeper has ordered may have restarted
    since another keeper granted it the shards. It has no fences, and would
    accept the epochs of its former process, so that these shards are
    released as after any loss of an owner. As long as some of them are not
    being released yet, a keeper grants nothing. So a process that has been
    ordered has no shard at an epoch of a former one, and another keeper
    that takes over may renew its grants.

    Parameters
    ----------
    upstream : UpstreamName
        Name of the upstream.
    orderer : str
        Host and incarnation of the keeper.
    checks_orders : bool
        Whether the upstream rejects stale orders.
    timing : Timing
        Durations shared by all hosts.
    outranks : callable
        Returns whether the keeper with a given orderer name takes
        precedence over this one.
    now : float
        Current monotonic time in seconds.
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
        self._lost_by_restart: dict[ShardKey, Epoch] = {}
        # Whether the shards of former processes are known to be lost.
        self._checked = False
        self._answered_at = now
        self._granted_at = NEVER
        self._unsure_until = NEVER
        self._standing_back = True

    @property
    def standing_back(self) -> bool:
        """Whether this keeper leaves all requests to another keeper."""
        return self._standing_back

    @property
    def token(self) -> Token | None:
        """Latest stamp of the upstream."""
        return self._ledger.token

    def update(self, authorization: Authorization) -> bool:
        """Set the authorization; return whether the assignment changed."""
        known, self._authorization = self._authorization, authorization
        return known.assignment is not authorization.assignment

    def retire(self) -> None:
        """Leave all requests to other keepers from now on."""
        self._standing_back = True

    # Requests

    def find_refusal_reason(
        self, shard: ShardKey | None, expires: float, now: float
    ) -> Reason | None:
        """Return why a request may not be sent right now, or None.

        Check this immediately before sending: the task may have been
        suspended at any earlier point, and the proof may have expired.
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
        """Return the epoch to send with a request."""
        if shard is None:
            return NO_EPOCH
        return self._authorization.assignment.find_owner(shard).epoch

    def find_send_deadline(
        self, shard: ShardKey | None, expires: float
    ) -> float:
        """Return the local time after which a request may not be sent."""
        if shard is None:
            return expires
        return min(expires, self._authorization.proved_until)

    def begin_request(self, shard: ShardKey | None) -> None:
        """Record that a request is about to be sent to the upstream."""
        if shard is not None:
            self._in_flight[shard] = self._in_flight.get(shard, 0) + 1

    def end_request(self, shard: ShardKey | None) -> None:
        """Record that a request has ended, successfully or not."""
        if shard is None:
            return
        self._in_flight[shard] -= 1
        if not self._in_flight[shard]:
            del self._in_flight[shard]

    # Control calls

    def next_call(self, now: float) -> ControlCall:
        """Return the control call to send now."""
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
            # Without a proof only a health check may be sent.
            return ControlCall(ControlCallKind.STATUS)
        if not self._checked or self._list_lost_by_restart():
            return ControlCall(ControlCallKind.STATUS)
        return ControlCall(
            ControlCallKind.GRANT,
            self._ledger.token,
            self._authorization.assignment.list_owned(self.upstream),
            self._authorization.proved_until,
        )

    def note_answer(self, call: ControlCall, answer: ControlAnswer) -> bool:
        """Record the answer to a call.

        Returns
        -------
        bool
            Whether operations may have run under another keeper, so that
            this keeper's operation log is incomplete.
        """
        self._answered_at = answer.token.received_at
        self.health = Health.ALIVE
        restarted = self._ledger.note_token(answer.token)
        self._note_process(answer, restarted)
        if restarted:
            return True
        foreign = answer.orderer not in ("", self._orderer)
        yields_to_other = (
            foreign and answer.held > 0 and self._outranks(answer.orderer)
        )
        if call.kind is ControlCallKind.STATUS:
            # Leave the upstream to a keeper that takes precedence and still
            # renews its grants. If two keepers kept overriding each other,
            # the upstream would alternately refuse the requests of both.
            self._standing_back = yields_to_other
            return False
        if call.kind is ControlCallKind.RELEASE:
            self._released.update(_list_accepted(call, answer))
        else:
            self._ledger.note_granted(call.token, _list_accepted(call, answer))
        self._standing_back = yields_to_other
        return self._may_hide_other(call, answer) or foreign

    def _note_process(self, answer: ControlAnswer, restarted: bool) -> None:
        """Record which shards former processes of the upstream have lost.

        Only with a proof is the assignment known to list them all.
        """
        if self._checked and not restarted:
            return
        if restarted or not answer.orderer:
            self._lost_by_restart.update(
                self._authorization.assignment.list_owned(self.upstream)
            )
        proved_until = self._authorization.proved_until
        self._checked = answer.token.asked_at < proved_until

    def _may_hide_other(
        self, call: ControlCall, answer: ControlAnswer
    ) -> bool:
        """Return whether orders of another keeper may be unknown here.

        An answer names the keeper of the last grant that the upstream has
        applied. If that is an unanswered one of this keeper, it hides those
        of another keeper before it, until one that was sent after it can no
        longer be applied has been answered.
        """
        granted_at = self._granted_at
        if call.kind is ControlCallKind.GRANT:
            self._granted_at = answer.token.asked_at
        return granted_at < self._unsure_until

    def note_failure(
        self, now: float, sent: ControlCall | None = None
    ) -> bool:
        """Record that a call got no answer.

        A failed call closes its connection, so a second failure occurs on a
        new one. A single broken connection does not count as a loss.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        sent : ControlCall or None
            The call; None if it certainly was not sent.

        Returns
        -------
        bool
            Whether operations may have run under another keeper; see
            :meth:`note_answer`.
        """
        if now - self._answered_at > self._timing.silence:
            self.health = Health.LOST
        if sent is None or sent.kind is not ControlCallKind.GRANT:
            return False
        # The upstream counts the life of the grant from the stamp.
        life = self._timing.grant_life * (1.0 + self._timing.clock_error)
        self._unsure_until = sent.token.received_at + life
        return True

    def list_granted(self, now: float) -> dict[ShardKey, Epoch]:
        """Return the shards for which the upstream certainly holds grants."""
        return self._ledger.list_held(now)

    # Reports

    def needs_report(self) -> bool:
        """Return whether there is anything to report to the assigner."""
        lost = self.health is Health.LOST
        return lost or bool(self.list_lost() or self.list_released())

    def make_report(self) -> UpstreamReport:
        """Return the report for the assigner."""
        return UpstreamReport(
            self.upstream,
            self.health is not Health.LOST,
            self.list_lost(),
            self.list_released(),
        )

    def list_lost(self) -> dict[ShardKey, Epoch]:
        """Return the shards whose owner has restarted or does not answer."""
        owned = self._authorization.assignment.list_owned(self.upstream)
        if self.health is Health.LOST:
            return owned
        return self._list_lost_by_restart()

    def _list_lost_by_restart(self) -> dict[ShardKey, Epoch]:
        owned = self._authorization.assignment.list_owned(self.upstream)
        return {
            key: epoch
            for key, epoch in self._lost_by_restart.items()
            if owned.get(key) == epoch
        }

    def list_released(self) -> dict[ShardKey, Epoch]:
        """Return the shards whose release the upstream has confirmed."""
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
        """Return the shards to release now.

        A shard is released only after its running requests have ended, so
        that a planned move interrupts none. Only an upstream that checks
        epochs is asked: any other could accept a late renewal from a
        suspended keeper after confirming the release.
        """
        if not self.checks_orders or self.health is Health.LOST:
            return {}
        return {
            key: epoch
            for key, epoch in self._list_releasing().items()
            if self._released.get(key) != epoch and key not in self._in_flight
        }
