"""Grants of shards as tracked by the keeper that sent them.

The keeper never considers a grant valid for longer than the upstream does.
"""

from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey


class Token(msgspec.Struct, frozen=True):
    """A timestamp issued by an upstream, with bounds on its time of issue.

    Parameters
    ----------
    stamp : str
        Opaque text from which the upstream recovers its own clock.
    asked_at : float
        Monotonic time before the call that returned the stamp was sent.
    received_at : float
        Monotonic time when the stamp was received.
    incarnation : str
        Incarnation of the upstream's process that issued the stamp.
    """

    stamp: str
    asked_at: float
    received_at: float
    incarnation: str


class GrantLedger:
    """Grants that one keeper has sent to one upstream.

    The lifetime of a grant counts from the token that the upstream issued
    and that the grant echoes. A grant that was delayed in a socket buffer
    is therefore not extended: the older the token, the less time is left.

    Parameters
    ----------
    grant_life : float
        Lifetime of a grant in seconds.
    clock_error : float
        Largest relative rate by which the upstream's clock may run fast.
    """

    def __init__(self, grant_life: float, clock_error: float) -> None:
        self._life = grant_life * (1.0 - clock_error)
        self.token: Token | None = None
        self._held: dict[ShardKey, tuple[Epoch, float]] = {}

    def note_token(self, token: Token) -> bool:
        """Record a token; return whether the upstream has restarted."""
        restarted = (
            self.token is not None
            and self.token.incarnation != token.incarnation
        )
        if restarted:
            self._held.clear()
        self.token = token
        return restarted

    def note_granted(
        self, token: Token, shards: Mapping[ShardKey, Epoch]
    ) -> None:
        """Record that the upstream accepted grants based on a token."""
        until = token.asked_at + self._life
        for key, epoch in shards.items():
            self._held[key] = (epoch, until)

    def drop(self, key: ShardKey) -> None:
        """Forget the grant of a shard."""
        self._held.pop(key, None)

    def covers(self, key: ShardKey, epoch: Epoch, now: float) -> bool:
        """Return whether the upstream certainly holds a valid grant."""
        held = self._held.get(key)
        return held is not None and held[0] == epoch and now < held[1]

    def list_held(self, now: float) -> dict[ShardKey, Epoch]:
        """Return the shards with valid grants and their epochs."""
        return {
            key: epoch
            for key, (epoch, until) in self._held.items()
            if now < until
        }
