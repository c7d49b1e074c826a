"""What a deployment's callers, upstreams and registry call things.

The project decides; a dialect only translates. Each method is pure.
"""

import abc
from collections.abc import Sequence

import msgspec

from sedgetide.core.configuration.policy import Policy
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Fence
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.pushback import Pushback
from sedgetide.core.requests.windows import UpstreamLoad

Headers = Sequence[tuple[str, str]]


class CallerFields(msgspec.Struct, frozen=True):
    """What a caller says besides its request.

    Parameters
    ----------
    request : RequestId
        Unique for each attempt of the caller; empty when unsaid.
    deadline : float or None
        Seconds that it waits.
    key : Key or None
        Key that the request is about.
    """

    request: RequestId
    deadline: float | None = None
    key: Key | None = None


class OrderRequest(msgspec.Struct, frozen=True):
    """An order as an HTTP request."""

    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class UpstreamWithdrawn(msgspec.Struct, frozen=True):
    """An entry of the registry has disappeared."""

    upstream: UpstreamName


class EvacuationRequest(msgspec.Struct, frozen=True):
    """Operators want a data centre emptied, or want it no longer."""

    data_centre: DataCentre
    asked: bool


class UnreadableEntry(InputError):
    """An entry of the registry that names no upstream to use.

    Parameters
    ----------
    upstream : UpstreamName
        Under whose name it stands.
    key : str
        Its key.
    problem : str
        What is wrong with it.
    """

    def __init__(self, upstream: UpstreamName, key: str, problem: str) -> None:
        super().__init__(ErrorCode.BAD_TEXT, Step.READ, key, problem)
        self.upstream = upstream


class RequestDialect(abc.ABC):
    """Headers of requests and answers."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> CallerFields:
        """Return what a caller says; raises ValueError when malformed."""

    @abc.abstractmethod
    def write_request(
        self,
        headers: Headers,
        fields: CallerFields,
        left: float,
        upstream: UpstreamName,
    ) -> list[tuple[str, str]]:
        """Return the headers of a send.

        Parameters
        ----------
        left : float
            Seconds within which the answer is still wanted.
        upstream : UpstreamName
            The only one that may run the request.
        """

    @abc.abstractmethod
    def read_request_id(self, headers: Headers) -> RequestId | None:
        """Return the id of the request that an answer belongs to."""

    @abc.abstractmethod
    def classify_answer(self, status: int, headers: Headers) -> Failure:
        """Return what is wrong with a whole answer; NONE when nothing."""

    @abc.abstractmethod
    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Tell whether an answer says that the request did not run."""

    @abc.abstractmethod
    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return what an upstream says of its load; None when nothing.

        Raises
        ------
        ValueError
            When it says something that can not be read.
        """

    @abc.abstractmethod
    def read_pushback(self, status: int, headers: Headers) -> Pushback:
        """Return what an answer asks of those who send to its upstream."""


class OrderDialect(abc.ABC):
    """Grants and releases of keys."""

    @abc.abstractmethod
    def make_grant(
        self,
        upstream: UpstreamName,
        keys: KeyRange,
        fence: Fence,
        hold: float,
        handover: str,
    ) -> OrderRequest:
        """Return the order that gives keys to an upstream."""

    @abc.abstractmethod
    def make_release(
        self, upstream: UpstreamName, keys: KeyRange, fence: Fence
    ) -> OrderRequest:
        """Return the order that takes keys back."""

    @abc.abstractmethod
    def read_handover(self, headers: Headers) -> str:
        """Return the state that a release hands to the next owner."""

    @abc.abstractmethod
    def is_fenced(self, status: int) -> bool:
        """Tell whether an answer says that a higher fence was seen."""

    @abc.abstractmethod
    def is_misdirected(self, status: int) -> bool:
        """Tell whether another upstream has the address now."""


class RegistryDialect(abc.ABC):
    """The registry and the operators' routes, as they lie in the store."""

    @abc.abstractmethod
    def list_prefixes(self) -> Sequence[str]:
        """Return the beginnings of all keys to be read."""

    @abc.abstractmethod
    def read(
        self, key: str, value: bytes | None
    ) -> (
        RegisteredUpstream
        | UpstreamWithdrawn
        | EvacuationRequest
        | Policy
        | None
    ):
        """Return what an item says; None when nothing.

        Raises
        ------
        UnreadableEntry
            When it is an entry of the registry that can not be read.
        InputError
            When it is anything else that can not be read.
        """
