"""An upstream as its keeper needs it."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey


class OrderContext(msgspec.Struct, frozen=True):
    """Who gives an order, and by which of the upstream's own stamps.

    Parameters
    ----------
    orderer : str
        Keeper's process.
    stamp : str
        Stamp the upstream issued; the life of what is ordered counts from
        it.
    not_after : float
        Own monotonic clock time after which the order may not be sent. An
        upstream that checks no orders would obey it however late.
    """

    orderer: str
    stamp: str
    not_after: float


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Answer of an upstream to any control call.

    Parameters
    ----------
    incarnation : str
        Start of the upstream's process.
    stamp : str
        Its clock now, opaque.
    orderer : str
        Whose grants it held before this call.
    held_ms : float
        Life left to those grants before this call.
    refused : list of ShardKey
        Shards whose order it refused, for a newer fence.
    load : float
        Load it reports; lags and may mislead.
    """

    incarnation: str
    stamp: str
    orderer: str = ""
    held_ms: float = 0.0
    refused: list[ShardKey] = []
    load: float = 0.0


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request as it goes to an upstream.

    Parameters
    ----------
    number : str
        Id of the request; the answer has to repeat it.
    shard : ShardKey or None
        Shard of the key.
    epoch : Epoch
        Epoch under which the upstream owns the shard.
    life : float
        Seconds from the stamp during which it may be begun.
    """

    number: str
    method: str
    path: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    shard: ShardKey | None
    epoch: Epoch
    life: float


class UpstreamResult(msgspec.Struct, frozen=True):
    """Answer of an upstream to a request.

    Parameters
    ----------
    answer : HttpAnswer
        Whole answer.
    declined : str
        Why the upstream did not begin the request; empty when it ran it.
    """

    answer: HttpAnswer
    declined: str


class UpstreamClient(abc.ABC):
    """Calls to one upstream; each raises UpstreamError when unanswered."""

    @abc.abstractmethod
    def fetch_status(self, timeout: float) -> UpstreamStatus:
        """Ask for a stamp and the state of the process."""

    @abc.abstractmethod
    def grant(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        life: float,
        timeout: float,
    ) -> UpstreamStatus:
        """Grant shards, or renew their grants, for ``life`` seconds."""

    @abc.abstractmethod
    def release(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        timeout: float,
    ) -> UpstreamStatus:
        """Have the upstream give shards up and refuse older epochs."""

    @abc.abstractmethod
    def cancel(self, number: str, timeout: float) -> bool:
        """Cancel a request; return True when it had not begun."""

    @abc.abstractmethod
    def run(
        self,
        order: OrderContext,
        work: UpstreamRequest,
        timeout: float,
        fresh: bool,
    ) -> UpstreamResult:
        """Send a request once and return its whole answer.

        Parameters
        ----------
        fresh : bool
            Use a connection that answered recently or a new one, since a
            silent one could not tell whether the request ran.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
