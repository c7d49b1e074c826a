"""Messages between the project's own processes, as MessagePack."""

import msgspec

from sedgetide.backends.leasestore import Item
from sedgetide.core.configuration.records import Record
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import LinkError
from sedgetide.core.errors import Step
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import OperationId
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.load import KeyWork
from sedgetide.core.ownership.load import UpstreamWork
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.quarantine import QuarantineReport
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.trials import TrialEnd

Headers = list[tuple[str, str]]


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base of all messages; the class name is the wire tag."""


class Status(msgspec.Struct, array_like=True, frozen=True):
    """What a process says of itself with each heartbeat.

    Parameters
    ----------
    host, data_centre : str
        Who is speaking.
    incarnation : str
        Start of its process.
    clock : float
        Its monotonic clock; requests give their expiry by it.
    digest : int
        Fingerprint of the records it holds.
    revision : Revision
        Newest assignment of its data centre that it knows.
    counting : bool
        Whether its word counts towards a majority.
    store_age : float or None
        Age of the store's word it passes on.
    store_revision : Revision
        Revision that word named.
    store_unavailable : bool
        Whether its last own call to the store failed.
    leaving : bool
        Whether it is about to stop.
    member : Member or None
        Addresses of a keeper that is not on the member list with them.
    """

    host: HostName
    incarnation: str
    data_centre: DataCentre
    clock: float
    digest: int = 0
    revision: Revision = Revision(0)
    counting: bool = False
    store_age: float | None = None
    store_revision: Revision = Revision(0)
    store_unavailable: bool = False
    leaving: bool = False
    member: Member | None = None


class Ping(Message, tag="ping"):
    """A heartbeat.

    Parameters
    ----------
    asked_at : float
        Sender's monotonic clock; the answer echoes it.
    unheard : float
        Seconds since the sender last heard the receiver, when that is too
        long; else 0.
    """

    asked_at: float
    silent_seconds: float
    status: Status


class Pong(Message, tag="pong"):
    """The answer to a heartbeat, with the clock value it carried."""

    asked_at: float
    status: Status


class Pull(Message, tag="pull"):
    """Ask for the records newer than the given revisions."""

    revisions: dict[str, Revision]


class Records(Message, tag="records"):
    """Records the receiver may lack."""

    records: list[Record]


class LossReport(Message, tag="loss-report"):
    """A keeper tells the assigner of shards without a living owner.

    Parameters
    ----------
    upstream : UpstreamName
        Upstream the report is about.
    alive : bool
        Whether it answers.
    lost : list
        Shards and epochs whose owner is gone.
    released : list
        Shards whose owner confirmed the release at the epoch.
    """

    upstream: UpstreamName
    alive: bool
    lost: list[tuple[ShardKey, Epoch]]
    released: list[tuple[ShardKey, Epoch]]


class Request(Message, tag="request"):
    """A caller's request on its way to the keeper of an upstream.

    Parameters
    ----------
    number : RequestId
        Unique; pairs it with its answer.
    addressee : str
        Incarnation of the keeper it was meant for. A successor at the same
        address may get it from a buffer and could not read its expiry.
    service, upstream : str
        Where it goes.
    shard : ShardKey or None
        Shard of its key; None for a service without keys.
    epoch : Epoch
        Epoch by which the sender chose the upstream.
    expires : float
        Time by the keeper's clock after which it may not be started.
    priority : int
        Lower is more urgent.
    first_attempt : bool
        The caller vouches that it sends the operation id for the first
        time.
    """

    number: RequestId
    addressee: str
    service: ServiceName
    upstream: UpstreamName
    shard: ShardKey | None
    epoch: Epoch
    expires: float
    priority: int
    idempotent: bool
    method: str
    path: str
    headers: Headers
    body: bytes
    operation: OperationId | None = None
    first_attempt: bool = False


class Response(Message, tag="response"):
    """Outcome of a request."""

    number: RequestId
    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    owner: UpstreamName = UpstreamName("")
    epoch: Epoch = Epoch(0)
    retry_after: float = 0.0


class Cancel(Message, tag="cancel"):
    """The sender no longer waits for a request."""

    number: RequestId


class LoadReport(Message, tag="load"):
    """A host tells the leader what its requests were about.

    Parameters
    ----------
    keys : list of KeyWork
        Work asked for since the last report.
    upstreams : list of UpstreamWork
        What was seen of upstreams since then.
    position : Position
        Up to which the host knows what the store holds.
    standing : HostStatus
        What the host says of itself.
    leaving : list of IncarnationName
        Upstreams that have told the host that they are about to end; the
        registry may not know for long.
    limits : dict
        Limits that the host counts as a lender, in requests a second.
    """

    keys: list[KeyWork]
    upstreams: list[UpstreamWork]
    position: Position = NO_POSITION
    standing: HostStatus = HostStatus()
    leaving: list[IncarnationName] = []
    limits: dict[IncarnationName, float] = {}


class Patch(msgspec.Struct, frozen=True, array_like=True):
    """A newer version of an item as a change of an older one.

    Parameters
    ----------
    key : str
        Key of the item.
    position, base : Position
        Of the newer and of the older version.
    data : bytes
        The newer value, deflated with the older one as dictionary.
    """

    key: str
    position: Position
    base: Position
    data: bytes


class StoreFeed(Message, tag="feed"):
    """The leader passes on what the store told it.

    Parameters
    ----------
    since, as_of : Position
        The items are all that changed between these.
    age : float
        Seconds since the leader heard from the store.
    disturbed : float
        Seconds for which missing entries of the registry are not to be
        believed yet.
    items : list of Item
        Newest versions.
    hosts : int
        Number of hosts that the leader hears of, itself included; zero
        when it does not say.
    patches : list of Patch
        Newest versions of items that the host has in older ones.
    """

    since: Position
    as_of: Position
    age: float
    distrust_seconds: float
    items: list[Item]
    hosts: int = 0
    patches: list[Patch] = []


class Moved(Message, tag="moved"):
    """The leader tells hosts that moves have ended.

    The record in the store follows with the next change.
    """

    service: ServiceName
    tenures: list[Tenure]


class Lenders(Message, tag="lenders"):
    """The leader names the hosts that lend places at upstreams."""

    named: LenderList


class Quarantined(Message, tag="quarantine"):
    """All that a host knows of requests under which upstreams ended.

    Parameters
    ----------
    version : int
        Of the sender's quarantine; the receiver answers with its own report
        when that is another one.
    report : QuarantineReport
        What it holds.
    """

    version: int
    report: QuarantineReport


class AskPlace(Message, tag="ask-place"):
    """A host asks for a place at an upstream.

    Parameters
    ----------
    number : int
        The sender's own; pairs the question with its answers.
    upstream : IncarnationName
        Where.
    slots : int
        Requests that the upstream works on at a time.
    priority : int
        Lower is more urgent.
    left : float
        Seconds within which the request's answer is needed.
    cold_bound : int or None
        Most sends that its lender may allow while it is cold; None when the
        sender takes it for warm.
    limit : StatedLimit or None
        Limit that the sender has heard of, by a clock that shows zero when
        this is sent; None for none.
    """

    number: int
    upstream: IncarnationName
    slots: int
    priority: int
    left: float
    cold_bound: int | None = None
    limit: StatedLimit | None = None


class PlaceVerdict(Message, tag="place"):
    """A lender's word on a question; a queued one gets a second.

    Parameters
    ----------
    number : int
        Of the question.
    verdict : Verdict
        What the host may do.
    retry_after : float
        Seconds after which a refused caller does well to come again.
    """

    number: int
    verdict: Verdict
    retry_after: float = 0.0


class EndPlace(Message, tag="end-place"):
    """A host gives a place back, or waits for it no longer.

    Parameters
    ----------
    number : int
        Of the question.
    seconds : float or None
        How long the upstream took; None without an answer.
    waiting : int
        Requests that waited at the upstream itself, as it said.
    said : StatedLimit or None
        What the answer said of the upstream's limit, by a clock that shows
        zero when this is sent; None without an answer.
    """

    number: int
    seconds: float | None = None
    waiting: int = 0
    said: StatedLimit | None = None


class AskTrial(Message, tag="ask-trial"):
    """A host asks for leave to run a request that upstreams ended under.

    Parameters
    ----------
    number : int
        The sender's own; pairs the question with its answers.
    fingerprint : Fingerprint
        Which request.
    left : float
        Seconds until its caller gets a final answer at the latest.
    service : ServiceName
        Where it goes.
    grave : bool
        Whether one more loss may decide about it, as far as the sender
        knows.
    """

    number: int
    fingerprint: Fingerprint
    left: float
    service: ServiceName
    grave: bool = False


class TrialVerdict(Message, tag="trial"):
    """An answer to a question; a queued one gets a second.

    Parameters
    ----------
    number : int
        Of the question.
    verdict : Verdict
        What the host may do.
    retry_after : float
        Seconds after which a refused caller does well to come again.
    alone : bool
        Whether no other grave suspect of its service runs meanwhile.
    """

    number: int
    verdict: Verdict
    retry_after: float = 0.0
    alone: bool = False


class EndTrial(Message, tag="end-trial"):
    """A host tells what became of a run, or waits for it no longer.

    Parameters
    ----------
    number : int
        Of the question.
    end : TrialEnd
        What became of it.
    """

    number: int
    end: TrialEnd


AnyMessage = (
    Ping
    | Pong
    | Pull
    | Records
    | LossReport
    | Request
    | Response
    | Cancel
    | LoadReport
    | Moved
    | StoreFeed
    | Lenders
    | Quarantined
    | AskPlace
    | PlaceVerdict
    | EndPlace
    | AskTrial
    | TrialVerdict
    | EndTrial
)


class Envelope(msgspec.Struct, array_like=True):
    """Messages that go together, with the link address of their sender."""

    sender: str
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the wire form of messages."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Read the wire form of messages.

    Raises
    ------
    LinkError
        When the data is no messages of this project.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise LinkError(
            ErrorCode.BAD_ANSWER, Step.READ, "", str(error)
        ) from error
