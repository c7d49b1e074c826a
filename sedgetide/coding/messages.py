"""Messages between sedgetide processes, encoded as MessagePack."""

from typing import Annotated
from typing import ClassVar

import msgspec

from sedgetide.backends.leasestore import Item
from sedgetide.coding.decoding import decode_msgpack
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
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import OperationId
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.membership.peers import PeerList
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.load import KeyWork
from sedgetide.core.ownership.load import UpstreamWork
from sedgetide.core.ownership.ranges import MoveId
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.quarantine import QuarantineReport
from sedgetide.core.requests.ratelimits import StatedLimit
from sedgetide.core.requests.trials import TrialEnd

Headers = list[tuple[str, str]]


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base class of all messages; the tag identifies the type on the wire.

    Attributes
    ----------
    separate : bool
        Whether the message is sent without others. Hosts of a version that
        doesn't know its tag refuse all messages that are sent with it.
    """

    separate: ClassVar[bool] = False


class Status(msgspec.Struct, array_like=True, frozen=True):
    """State of a process, sent with each heartbeat.

    Parameters
    ----------
    host, data_centre : str
        Host and data centre of the sender.
    incarnation : str
        Identifier of this start of its process.
    clock : float
        Its monotonic clock; expiry times of requests to it refer to it.
    digest : int
        Hash of the records that it holds.
    revision : Revision
        Newest assignment of its data centre that it has.
    counting : bool
        Whether the sender counts towards a majority.
    store_age : float or None
        Age in seconds of the newest response of the store that it relays.
    store_revision : Revision
        Revision named by that response.
    store_unavailable : bool
        Whether the sender's last own call to the store failed.
    leaving : bool
        Whether it is about to stop.
    member : Member or None
        Addresses of a keeper, if the member list lacks them.
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
        Monotonic clock of the sender; echoed by the reply.
    silent_seconds : float
        Seconds since the sender last received a message of the receiver, if
        that is too long; else 0.
    """

    asked_at: float
    silent_seconds: float
    status: Status


class Pong(Message, tag="pong"):
    """Reply to a heartbeat, with the clock value of the heartbeat."""

    asked_at: float
    status: Status


class Pull(Message, tag="pull"):
    """Request for the records newer than the given revisions."""

    revisions: dict[str, Revision]


class Records(Message, tag="records"):
    """Records that the receiver may not have."""

    records: list[Record]


class LossReport(Message, tag="loss-report"):
    """Report of a keeper to the assigner about shards without an owner.

    Parameters
    ----------
    upstream : UpstreamName
        Upstream that owned the shards.
    alive : bool
        Whether it responds.
    lost : list
        Shards whose owner is gone, with their epochs.
    released : list
        Shards whose owner confirmed the release, with their epochs.
    """

    upstream: UpstreamName
    alive: bool
    lost: list[tuple[ShardKey, Epoch]]
    released: list[tuple[ShardKey, Epoch]]


class Request(Message, tag="request"):
    """A caller's request, forwarded to the keeper of an upstream.

    Parameters
    ----------
    number : RequestId
        Unique id that the response repeats.
    receiver_incarnation : str
        Incarnation of the keeper that the request is meant for. A buffer
        may deliver it to a later process at the same address, whose clock
        ``expires`` does not refer to.
    service, upstream : str
        Destination of the request.
    shard : ShardKey or None
        Shard of its key; None for a service without keys.
    epoch : Epoch
        Epoch in which the sender chose the upstream.
    expires : float
        Time by the keeper's clock after which it may not be started.
    priority : int
        Lower is more urgent.
    first_attempt : bool
        Whether the caller states that the operation id was not sent before.
    """

    number: RequestId
    receiver_incarnation: str
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
    """Outcome of a forwarded request."""

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
    """Notice that the sender no longer waits for a request."""

    number: RequestId


class LoadReport(Message, tag="load"):
    """Periodic report of a host to the leader.

    Parameters
    ----------
    keys : list of KeyWork
        Work requested per key since the last report.
    upstreams : list of UpstreamWork
        Measurements of upstreams since the last report.
    position : Position
        Position up to which the host has read the store.
    standing : HostStatus
        Status of the host.
    leaving : list of IncarnationName
        Upstreams that have announced their end to the host. The registry
        may reflect this only much later.
    limits : dict
        Rate limits that the host enforces as a lender, in requests per
        second.
    leader : Position or None
        Asks the receiver for a leader elected after this position; None if
        the host is in contact with the store or the leader. Hosts of earlier
        versions ignore it.
    former_leader : Position
        Last leader before this era of the store that the host knows.
    read_leader : Position
        Last leader before this era whose record the host has read while its
        era lasted, from the store or from a leader's feed.
    """

    keys: list[KeyWork]
    upstreams: list[UpstreamWork]
    position: Position = NO_POSITION
    standing: HostStatus = HostStatus()
    leaving: list[IncarnationName] = []
    limits: dict[IncarnationName, float] = {}
    leader: Position | None = None
    former_leader: Position = NO_POSITION
    read_leader: Position = NO_POSITION


class HeldKeys(msgspec.Struct, frozen=True, array_like=True):
    """Keys that an upstream may hold.

    Parameters
    ----------
    upstream : IncarnationName
        Upstream that may hold them.
    low, high : Key
        First and last key.
    seconds : float
        Seconds until it certainly holds none of them.
    """

    upstream: IncarnationName
    low: Key
    high: Key
    seconds: float


class ServiceHolds(msgspec.Struct, frozen=True, array_like=True):
    """Keys of a service that upstreams may hold, as a former leader knows it.

    Parameters
    ----------
    inherited : float
        Seconds for which any keys may be held as the result of grants of
        leaders before it; zero if none.
    holds : list of HeldKeys
        Keys that may be held as the result of its own grants.
    """

    inherited: float
    holds: list[HeldKeys]


class HoldsReport(Message, tag="holds"):
    """Report of a leader of the former era to the leader of the new one.

    Sent after the sender's term has ended. Times of holds count from the
    send.

    Parameters
    ----------
    term : Position
        Position of the sender's record in the former era.
    known_leader : Position
        Position of the last leader of that era that the sender knows.
    services : dict
        Keyed services of which the sender had a table in that era. Several
        messages may report services of the same term.
    proved : float
        Seconds from the sender's last read of its record until it heard of
        the next era.
    """

    separate: ClassVar[bool] = True

    term: Position
    known_leader: Position
    services: dict[ServiceName, ServiceHolds]
    proved: float = float("inf")


class LeaderNotice(Message, tag="leader"):
    """Answer to a host that has lost contact with the leader and the store.

    Parameters
    ----------
    record : LeaderRecord
        Record of the leader that the sender knows.
    position : Position
        Position of the record in the history of the store.
    """

    record: LeaderRecord
    position: Position


class Patch(msgspec.Struct, frozen=True, array_like=True):
    """A version of an item, encoded relative to an older version.

    Parameters
    ----------
    key : str
        Key of the item.
    position, base : Position
        Positions of this version and of the older one.
    data : bytes
        Value, compressed with Deflate and the older value as dictionary.
    """

    key: str
    position: Position
    base: Position
    data: bytes


class StoreFeed(Message, tag="feed"):
    """Changes of the store that the leader forwards to a host.

    Parameters
    ----------
    since, as_of : Position
        Positions between which the items are all changes.
    age : float
        Seconds since the last response of the store to the leader.
    distrust_seconds : float
        Seconds for which a missing registry entry is not yet taken for the
        end of its upstream, because of a recent outage of the registry.
    items : list of Item
        Newest versions of the changed items.
    hosts : int
        Number of hosts that report to the leader, itself included; zero if
        unknown.
    patches : list of Patch
        Newest versions of items of which the host has an older one.
    """

    since: Position
    as_of: Position
    age: float
    distrust_seconds: float
    items: list[Item]
    hosts: int = 0
    patches: list[Patch] = []


class HeldRange(msgspec.Struct, frozen=True, array_like=True):
    """A moving range that its previous owner has not released.

    Parameters
    ----------
    move : MoveId
        The move.
    seconds : float
        Seconds until the hold of the previous owner has certainly ended.
    """

    move: MoveId
    seconds: float


class Moved(Message, tag="moved"):
    """Notice of the leader to hosts about moves that have ended or are held.

    The record in the store is updated with the next change. A message
    contains either the long or the short form of each move. Hosts whose
    status does not announce the short form ignore ``completed``.

    Parameters
    ----------
    service : ServiceName
        Service whose ranges have moved.
    tenures : list of Tenure
        Long form: tenures of the ranges while they were moving.
    completed : list of MoveId
        Short form; hosts know the rest from the range table.
    held : list of HeldRange
        Moves that wait for the hold of a lost owner to end. Only sent with
        the short form.
    """

    service: ServiceName
    tenures: list[Tenure]
    completed: list[MoveId] = []
    held: list[HeldRange] = []

    def list_completed(self) -> list[MoveId]:
        """Return the ended moves of both forms."""
        return [*self.completed, *(each.move_id for each in self.tenures)]


class Lenders(Message, tag="lenders"):
    """Notice of the leader that names the lenders.

    A lender is a host that limits the requests of all hosts to an upstream:
    it lends them places at the upstream, one for each running request.
    """

    named: LenderList


class Peers(Message, tag="peers"):
    """Notice of the leader that names the peers of the receiver.

    A peer takes requests for upstreams to which the receiver has no path.
    """

    named: PeerList


class Quarantined(Message, tag="quarantine"):
    """Quarantine of the sender, synchronized between hosts.

    A quarantine records the requests during which upstreams ended.

    Parameters
    ----------
    version : int
        Version of the sender's quarantine. The receiver replies with its
        own report if its version differs.
    report : QuarantineReport
        Content of the quarantine.
    """

    version: int
    report: QuarantineReport


class AskPlace(Message, tag="ask-place"):
    """Request of a host to a lender for a place at an upstream.

    Parameters
    ----------
    number : int
        Id chosen by the sender; replies repeat it.
    upstream : IncarnationName
        Upstream at which the place is requested.
    slots : int
        Number of requests that the upstream runs concurrently.
    priority : int
        Lower is more urgent.
    left : float
        Seconds within which the response to the request is needed.
    cold_bound : int or None
        Maximum number of sends that the lender may allow while the upstream
        is cold; None if the sender considers it warm.
    limit : StatedLimit or None
        Newest rate limit of the upstream that the sender has received, with
        times relative to the sending of this message; None without one.
    final : float or None
        Seconds until the route timeout or the caller's deadline, whichever is
        first. None from hosts of an older version, and if the request is to
        wait only while an answer within ``left`` is expected.
    deadline : float or None
        Seconds until the caller's own deadline; None when not stated.
    """

    number: int
    upstream: IncarnationName
    slots: int
    priority: int
    left: float
    cold_bound: int | None = None
    limit: StatedLimit | None = None
    final: float | None = None
    deadline: float | None = None


class PlaceVerdict(Message, tag="place"):
    """Reply of a lender to AskPlace; a queued request gets a second one.

    Parameters
    ----------
    number : int
        Id of the request for the place.
    verdict : Verdict
        Decision of the lender.
    retry_after : float
        Seconds after which a refused caller should retry.
    service_time : float or None
        Typical service time in seconds at the upstream, for a request that
        waits or has waited and has stated its final deadline. None otherwise,
        and from hosts of an older version, which let it wait only while it
        can be in time.
    promised : bool
        Whether the lender counts on the return of a refused caller after
        ``retry_after``. False from hosts of an older version.
    """

    number: int
    verdict: Verdict
    retry_after: float = 0.0
    service_time: float | None = None
    promised: bool = False


class EndPlace(Message, tag="end-place"):
    """Return of a place to its lender, or cancellation of the request for it.

    Parameters
    ----------
    number : int
        Id of the request for the place.
    seconds : float or None
        Service time of the upstream; None without a response.
    waiting : int
        Requests waiting at the upstream, as stated in the response.
    said : StatedLimit or None
        Rate limit stated in the response, with times relative to the
        sending of this message; None without a response.
    """

    number: int
    seconds: float | None = None
    waiting: int = 0
    said: StatedLimit | None = None


class AskTrial(Message, tag="ask-trial"):
    """Request for a trial: a single run of a suspect request.

    Upstreams have ended during earlier runs of the request.

    Parameters
    ----------
    number : int
        Id chosen by the sender; replies repeat it.
    fingerprint : Fingerprint
        Fingerprint of the suspect request.
    left : float
        Seconds until the caller gets a final response at the latest.
    service : ServiceName
        Service that the request is sent to.
    strong_suspect : bool
        Whether, according to the sender, one more loss of an upstream may
        quarantine the request.
    """

    number: int
    fingerprint: Fingerprint
    left: float
    service: ServiceName
    strong_suspect: bool = False


class TrialVerdict(Message, tag="trial"):
    """Reply to AskTrial; a queued request gets a second one.

    Parameters
    ----------
    number : int
        Id of the request for the trial.
    verdict : Verdict
        Decision of the receiver.
    retry_after : float
        Seconds after which a refused caller should retry.
    alone : bool
        Whether no other strong suspect of its service runs meanwhile; that
        is a request that one more loss may quarantine.
    """

    number: int
    verdict: Verdict
    retry_after: float = 0.0
    alone: bool = False


class EndTrial(Message, tag="end-trial"):
    """Result of a trial, or cancellation of the request for it.

    Parameters
    ----------
    number : int
        Id of the request for the trial.
    end : TrialEnd
        Result of the trial.
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
    | HoldsReport
    | LeaderNotice
    | Moved
    | StoreFeed
    | Lenders
    | Peers
    | Quarantined
    | AskPlace
    | PlaceVerdict
    | EndPlace
    | AskTrial
    | TrialVerdict
    | EndTrial
)


# Messages that are sent together. Of short ones, 100,000 take a fifth of a
# second to decode, during which the whole process stands.
MAX_SENT_TOGETHER = 1024
# Peers of earlier versions send all messages of an iteration together.
_MAX_RECEIVED_TOGETHER = 16 * MAX_SENT_TOGETHER


class Envelope(msgspec.Struct, array_like=True):
    """Messages sent together, with the link address of their sender."""

    sender: str
    messages: Annotated[
        list[AnyMessage], msgspec.Meta(max_length=_MAX_RECEIVED_TOGETHER)
    ]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode messages for the wire."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode messages from the wire.

    Raises
    ------
    LinkError
        If the data is not a valid envelope.
    """
    try:
        return decode_msgpack(data, _decoder)
    except msgspec.MsgspecError as error:
        raise LinkError(
            ErrorCode.BAD_ANSWER, Step.READ, "", str(error)
        ) from error
