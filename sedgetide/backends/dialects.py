"""Interfaces that translate a deployment's protocol to the router's types.

A dialect only translates and makes no decisions. All its methods are pure.
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
    """Metadata that a caller sends in the headers of a request.

    Parameters
    ----------
    request : RequestId
        Unique for each attempt of the caller; empty when absent.
    deadline : float or None
        Seconds that the caller waits for the response.
    key : Key or None
        Key that the request is routed by.
    """

    request: RequestId
    deadline: float | None = None
    key: Key | None = None


class OrderRequest(msgspec.Struct, frozen=True):
    """An order to an upstream as an HTTP POST request.

    Orders grant keys to an upstream or release them.
    """

    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class UpstreamWithdrawn(msgspec.Struct, frozen=True):
    """The registry entry of an upstream was removed."""

    upstream: UpstreamName


class EvacuationRequest(msgspec.Struct, frozen=True):
    """Operators started or cancelled the evacuation of a data centre.

    During an evacuation, the upstreams of the data centre get no new work
    and their keys move elsewhere.
    """

    data_centre: DataCentre
    asked: bool


class UnreadableEntry(InputError):
    """Raised for a registry entry that cannot be parsed.

    Parameters
    ----------
    upstream : UpstreamName
        Upstream that the entry belongs to.
    key : str
        Key of the entry.
    problem : str
        Description of the error.
    """

    def __init__(self, upstream: UpstreamName, key: str, problem: str) -> None:
        super().__init__(ErrorCode.BAD_TEXT, Step.READ, key, problem)
        self.upstream = upstream


class RequestDialect(abc.ABC):
    """Headers of requests and responses."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> CallerFields:
        """Return the metadata of a request.

        Raises
        ------
        ValueError
            If a header is malformed.
        """

    @abc.abstractmethod
    def write_request(
        self,
        headers: Headers,
        fields: CallerFields,
        left: float,
        upstream: UpstreamName,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an upstream.

        Parameters
        ----------
        left : float
            Seconds within which the caller needs the final response: until
            its deadline or the timeout of the route, whichever is earlier.
        upstream : UpstreamName
            The only upstream that may run the request.
        """

    @abc.abstractmethod
    def read_request_id(self, headers: Headers) -> RequestId | None:
        """Return the id of the request that a response belongs to."""

    @abc.abstractmethod
    def classify_answer(self, status: int, headers: Headers) -> Failure:
        """Return the failure of a complete response, NONE on success."""

    @abc.abstractmethod
    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether a response states that the request did not run."""

    @abc.abstractmethod
    def read_load(self, headers: Headers) -> UpstreamLoad | None:
        """Return the load reported in a response, None when absent.

        Raises
        ------
        ValueError
            If the load cannot be parsed.
        """

    @abc.abstractmethod
    def read_pushback(self, status: int, headers: Headers) -> Pushback:
        """Return the rate limit, backoff and leaving notice of a response."""


class OrderDialect(abc.ABC):
    """Orders that grant keys to an upstream or release them."""

    @property
    @abc.abstractmethod
    def id_header(self) -> str:
        """Header with an order's id, which the upstream echoes."""

    @abc.abstractmethod
    def make_grant(
        self,
        upstream: UpstreamName,
        keys: KeyRange,
        fence: Fence,
        hold: float,
        handover: str,
    ) -> OrderRequest:
        """Return the order that grants keys to an upstream.

        Parameters
        ----------
        hold : float
            Seconds after which the grant expires.
        handover : str
            State that the previous owner returned on release, or empty.
        """

    @abc.abstractmethod
    def make_release(
        self, upstream: UpstreamName, keys: KeyRange, fence: Fence
    ) -> OrderRequest:
        """Return the order that releases keys."""

    @abc.abstractmethod
    def read_handover(self, headers: Headers) -> str:
        """Return the state to pass to the next owner after a release."""

    @abc.abstractmethod
    def is_fenced(self, status: int) -> bool:
        """Return whether an order was rejected because of a newer fence."""

    @abc.abstractmethod
    def is_misdirected(self, status: int) -> bool:
        """Return whether another upstream now listens at the address."""


class RegistryDialect(abc.ABC):
    """Registry entries and operators' settings in the store."""

    @abc.abstractmethod
    def list_prefixes(self) -> Sequence[str]:
        """Return the prefixes of all keys to be watched."""

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
        """Parse an item of the store, or return None when it is not used.

        Raises
        ------
        UnreadableEntry
            If a registry entry cannot be parsed.
        InputError
            If any other item cannot be parsed.
        """
