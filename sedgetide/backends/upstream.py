"""Interface of an upstream, as used by its keeper.

A keeper is the process that grants shards to an upstream and proxies
requests to it.
"""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from sedgetide.backends._connection import HttpAnswer
from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey


class OrderContext(msgspec.Struct, frozen=True):
    """Origin and validity of an order to an upstream.

    Parameters
    ----------
    orderer : str
        Process of the keeper.
    stamp : str
        Opaque clock value issued by the upstream; the lifetime of a grant
        counts from it.
    not_after : float
        Time by the keeper's monotonic clock after which the order may not
        be sent. An upstream that does not check orders would obey it
        however late it arrives.
    incarnation : str
        Process of the upstream that issued the stamp.
    """

    orderer: str
    stamp: str
    not_after: float
    incarnation: str = ""


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Response of an upstream to any control call.

    Parameters
    ----------
    incarnation : str
        Identifier of this start of the upstream's process.
    stamp : str
        Current clock value of the upstream, opaque.
    orderer : str
        Orderer of the grants that it held before this call.
    held_ms : float
        Remaining lifetime of those grants before this call.
    refused : list of ShardKey
        Shards whose order was refused because of a newer fence.
    load : float
        Reported load; may lag and be inaccurate.
    """

    incarnation: str
    stamp: str
    orderer: str = ""
    held_ms: float = 0.0
    refused: list[ShardKey] = []
    load: float = 0.0


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request to be sent to an upstream.

    Parameters
    ----------
    number : str
        Id of the request; the response has to repeat it.
    shard : ShardKey or None
        Shard of the key.
    epoch : Epoch
        Epoch in which the upstream owns the shard.
    life : float
        Seconds from the stamp within which the request may be started.
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
    """Result of a request to an upstream.

    Parameters
    ----------
    answer : HttpAnswer
        Complete response.
    declined : str
        Reason why the upstream did not start the request; empty if it did.
    """

    answer: HttpAnswer
    declined: str


class UpstreamClient(abc.ABC):
    """Client of one upstream.

    Each call raises UpstreamError when it gets no complete response.
    """

    @abc.abstractmethod
    def fetch_status(self, timeout: float) -> UpstreamStatus:
        """Fetch a stamp and the state of the process."""

    @abc.abstractmethod
    def grant(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        life: float,
        timeout: float,
    ) -> UpstreamStatus:
        """Grant shards for ``life`` seconds, or renew their grants.

        If another process than that of the order answers, it is granted
        nothing, and the answer lists all shards as refused.
        """

    @abc.abstractmethod
    def release(
        self,
        order: OrderContext,
        shards: Mapping[ShardKey, Epoch],
        timeout: float,
    ) -> UpstreamStatus:
        """Release shards; the upstream refuses older epochs from then on."""

    @abc.abstractmethod
    def cancel(self, number: str, timeout: float) -> bool:
        """Cancel a request; return True if it had not been started."""

    @abc.abstractmethod
    def run(
        self,
        order: OrderContext,
        request: UpstreamRequest,
        timeout: float,
        fresh: bool,
    ) -> UpstreamResult:
        """Send a request once and return its complete response.

        Parameters
        ----------
        fresh : bool
            Use a new connection or one that received a response recently.
            After a send on a lost connection, it would be unknown whether
            the request ran.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
