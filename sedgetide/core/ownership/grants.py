"""Grants as their sender sees them: never longer than the upstream does."""

from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey


class Token(msgspec.Struct, frozen=True):
    """A stamp an upstream issued and the bounds of its time of issue.

    Parameters
    ----------
    stamp : str
        Opaque; the upstream finds its own clock in it.
    asked_at : float
        Own clock before the call that brought the stamp was sent.
    received_at : float
        Own clock when the stamp came.
    incarnation : str
        Start of the upstream's process that issued it.
    """

    stamp: str
    asked_at: float
    received_at: float
    incarnation: str


class GrantLedger:
    """Grants that one keeper has given to one upstream.

    The upstream counts a grant's life from a token that it issued itself
    and the grant echoes. An order that sat in a socket buffer therefore
    does not lengthen a grant: the older the token, the less life is left.

    Parameters
    ----------
    grant_life : float
        Seconds of life the grants are given.
    clock_error : float
        Largest share by which the upstream's clock may run fast.
    """

    def __init__(self, grant_life: float, clock_error: float) -> None:
        self._life = grant_life * (1.0 - clock_error)
        self.token: Token | None = None
        self._held: dict[ShardKey, tuple[Epoch, float]] = {}

    def note_token(self, token: Token) -> bool:
        """Take in a token; return True when the upstream restarted."""
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
        """Take in that the upstream accepted grants made with a token."""
        until = token.asked_at + self._life
        for key, epoch in shards.items():
            self._held[key] = (epoch, until)

    def drop(self, key: ShardKey) -> None:
        """Forget the grant of a shard."""
        self._held.pop(key, None)

    def covers(self, key: ShardKey, epoch: Epoch, now: float) -> bool:
        """Tell whether the upstream certainly holds a grant."""
        held = self._held.get(key)
        return held is not None and held[0] == epoch and now < held[1]

    def list_held(self, now: float) -> dict[ShardKey, Epoch]:
        """Return the shards whose grants are alive, with epochs."""
        return {
            key: epoch
            for key, (epoch, until) in self._held.items()
            if now < until
        }
