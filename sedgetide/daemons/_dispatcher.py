"""The dispatcher of an entry: from a caller's request to its outcome."""

import contextlib
import itertools
import logging
import time
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
import msgspec

from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import Cancel
from sedgetide.coding.messages import Headers
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Request
from sedgetide.coding.messages import Response
from sedgetide.coding.messages import Status
from sedgetide.coding.settings import EntrySettings
from sedgetide.coding.text import check_text
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import decode_text
from sedgetide.core.configuration.records import ASSIGNMENT_PREFIX
from sedgetide.core.configuration.records import CONFIGURATION_KEY
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import OperationId
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.liveness import PeerState
from sedgetide.core.membership.rendezvous import rank_candidates
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.assignment import ShardState
from sedgetide.core.ownership.keyspace import find_home
from sedgetide.core.ownership.keyspace import find_shard
from sedgetide.core.requests.outcomes import combine_outcomes
from sedgetide.core.requests.outcomes import may_resend
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.outcomes import TRANSIENT_REASONS
from sedgetide.core.requests.outcomes import UNCERTAIN_REASONS
from sedgetide.core.requests.retries import RetryBudget
from sedgetide.core.requests.routing import Match
from sedgetide.core.requests.routing import Router
from sedgetide.daemons._heartbeats import Heartbeats
from sedgetide.daemons._heartbeats import HeartbeatsOwner
from sedgetide.daemons._metrics import CONFIGURATION_REVISION
from sedgetide.daemons._metrics import ENTRY_RETRIES
from sedgetide.links import Transport
from sedgetide.runtime.tasks import spawn_vital

_SYNCHRONISED_WITH = 2
_LINK_USED = 10.0
_GREETING_TIME = 0.3
# The keeper answers a request that lapsed in its queue within this time.
_ANSWER_GRACE = 0.1
_PAUSES = (0.01, 0.03, 0.05)

_log = logging.getLogger(__name__)


class Call(msgspec.Struct):
    """A caller's request with its rule."""

    match: Match
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    operation: OperationId | None
    first_attempt: bool


class _Target(msgspec.Struct, frozen=True):
    """Where a request goes next."""

    upstream: UpstreamName
    data_centre: DataCentre
    shard: ShardKey | None
    epoch: Epoch


class _Pending(msgspec.Struct):
    address: LinkAddress
    result: AsyncResult


class Dispatcher(HeartbeatsOwner):
    """Knows owners and keepers, and sends each request to the right one.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    incarnation : str
        Unique id of this process.
    """

    def __init__(self, settings: EntrySettings, incarnation: str) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._incarnation = incarnation
        self._cache = RecordCache()
        self._text: Text | None = None
        self._router: Router | None = None
        self._assignments: dict[DataCentre, Assignment] = {}
        self._pending: dict[RequestId, _Pending] = {}
        self._numbers = itertools.count()
        self._used: dict[LinkAddress, float] = {}
        self._answered: dict[LinkAddress, Event] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._turns = itertools.count()
        self._ranks: dict[tuple[UpstreamName, int], list[LinkAddress]] = {}
        self._transport = Transport(
            settings.link,
            settings.limits.body_bytes,
            self._handle,
            self._drop,
        )
        self._heartbeats = Heartbeats(
            self._transport, self._cache, self._timing, self
        )
        self._stack = contextlib.ExitStack()
        self._stack.callback(self._transport.close)

    def start(self) -> None:
        """Listen and begin to learn from keepers."""
        self._transport.start()
        spawn_vital(self._loop, self._stack)

    def close(self) -> None:
        """End all loops and close all links."""
        self._stack.close()

    # What is known

    @property
    def configured(self) -> bool:
        """Whether a text and the own data centre's members are known."""
        known = self._settings.home in self._assignments
        return self._router is not None and known

    def has_keeper(self, now: float) -> bool:
        """Tell whether any keeper answers."""
        return bool(self._heartbeats.liveness.list_alive(now))

    def match(self, method: str, path: str) -> Match | None:
        """Find the rule of a request; see :meth:`Router.match`."""
        if self._router is None:
            return None
        return self._router.match(method, path)

    def dump_state(self) -> dict[str, Any]:
        """Return the state for the dump."""
        now = time.monotonic()
        return {
            "revisions": self._cache.list_revisions(),
            "in_hand": len(self._pending),
            "alive": sorted(self._heartbeats.liveness.list_alive(now)),
            "links": self._transport.list_peers(),
            "traffic": self._transport.traffic,
            "data_centres": sorted(self._assignments),
        }

    def make_status(self, now: float) -> Status:
        return Status(
            self._settings.host_name,
            self._incarnation,
            self._settings.home,
            now,
        )

    def note_status(
        self, address: LinkAddress, asked_at: float, status: Status
    ) -> None:
        event = self._answered.pop(address, None)
        if event is not None:
            event.set()

    def note_ping(self, address: LinkAddress, status: Status) -> None:
        """Entries are not asked; there is nothing to take in."""

    def note_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            content = decode_text(record.value).text.encode()
            text, problems = check_text(content)
            if text is None:
                _log.error("text refused", extra={"problem": problems[0]})
                return
            self._text = text
            self._router = Router(text)
            CONFIGURATION_REVISION.set(record.revision)
        elif record.key.startswith(ASSIGNMENT_PREFIX):
            centre = DataCentre(record.key.removeprefix(ASSIGNMENT_PREFIX))
            self._assignments[centre] = decode_assignment(record.value)
            self._ranks.clear()

    # Links

    def _loop(self) -> None:
        while True:
            now = time.monotonic()
            self._heartbeats.ping(self._list_asked(now), now)
            self._fail_silent(now)
            gevent.sleep(self._timing.heartbeat)

    def _list_asked(self, now: float) -> list[LinkAddress]:
        """Return keepers in use, and two of the own data centre."""
        for address, at in list(self._used.items()):
            if now - at > _LINK_USED:
                del self._used[address]
        home = self._assignments.get(self._settings.home, EMPTY_ASSIGNMENT)
        hosts = rank_candidates(self._settings.host, home.members)
        links = [home.members[host].link for host in hosts]
        alive = [
            link
            for link in links
            if self._heartbeats.find_state(link, now) is not PeerState.SILENT
        ]
        asked = set(self._used)
        asked.update((alive or links)[:_SYNCHRONISED_WITH])
        if not alive:
            asked.update(LinkAddress(a) for a in self._settings.keepers)
        return sorted(asked)

    def _fail_silent(self, now: float) -> None:
        """End requests whose keeper fell silent; they need not wait."""
        silent = set()
        for address in {each.address for each in self._pending.values()}:
            if self._heartbeats.find_state(address, now) is PeerState.SILENT:
                silent.add(address)
        for number, each in list(self._pending.items()):
            if each.address in silent:
                each.result.set(
                    Response(number, Outcome.UNKNOWN, Reason.LINK_LOST)
                )

    def _handle(self, message: AnyMessage, sender: str) -> None:
        if isinstance(message, Response):
            pending = self._pending.get(message.number)
            # An answer that comes late has nobody left to go to.
            if pending is not None:
                pending.result.set(message)
            return
        self._heartbeats.handle(message, sender, time.monotonic())

    def _drop(self, message: Message) -> None:
        """End a request that was never handed over."""
        if not isinstance(message, Request):
            return
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.result.set(self._refuse(Reason.OVERLOAD))

    def _greet(self, address: LinkAddress, deadline: float) -> bool:
        """Make sure that a keeper answers before a request is sent to it.

        Its clock and incarnation are needed for the request's expiry.
        """
        now = time.monotonic()
        self._used[address] = now
        state = self._heartbeats.find_state(address, now)
        if state is not PeerState.SILENT:
            return state is PeerState.ALIVE
        if self._heartbeats.is_known_silent(address, now):
            # Waiting once more would only delay the refusal.
            return False
        event = self._answered.get(address)
        if event is None:
            event = self._answered[address] = Event()
            self._heartbeats.ping([address], now)
        event.wait(min(_GREETING_TIME, max(0.0, deadline - now)))
        now = time.monotonic()
        return self._heartbeats.find_state(address, now) is PeerState.ALIVE

    # Requests

    def dispatch(self, call: Call) -> Response:
        """Bring a request to its final outcome.

        Parameters
        ----------
        call : Call
            Request of a caller.

        Returns
        -------
        Response
            Never later than shortly after the deadline.
        """
        budget = self._find_budget(call.match.service.name)
        budget.note_request()
        declined: set[LinkAddress] = set()
        outcome = Outcome.NOT_RUN
        for turn in itertools.count():
            response = self._attempt(call, declined)
            outcome = combine_outcomes(outcome, response.outcome)
            response = msgspec.structs.replace(response, outcome=outcome)
            if not self._may_repeat(call, response, budget):
                return response
            pause = _PAUSES[min(turn, len(_PAUSES) - 1)]
            if time.monotonic() + pause >= call.deadline:
                return response
            ENTRY_RETRIES.labels(
                call.match.service.name, response.reason.value
            ).inc()
            gevent.sleep(pause)
        raise AssertionError("unreachable")

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def _may_repeat(
        self, call: Call, response: Response, budget: RetryBudget
    ) -> bool:
        if response.outcome is Outcome.ANSWERED:
            return False
        if not may_resend(response.outcome, call.match.route.idempotent):
            return False
        if response.reason in TRANSIENT_REASONS:
            # This attempt did not run, so the only cost is the wait for a
            # handover; any other refusal is final and goes back at once.
            return True
        return response.reason in UNCERTAIN_REASONS and budget.spend()

    def _attempt(self, call: Call, declined: set[LinkAddress]) -> Response:
        target = self._find_target(call)
        if isinstance(target, Reason):
            return self._refuse(target)
        address = self._find_keeper(target, call.deadline, declined)
        if address is None:
            return self._refuse(self._explain_absence(target))
        if address in declined:
            # All have declined; ask from the first one again.
            declined.clear()
        status = self._heartbeats.statuses[address]
        response = self._exchange(call, target, address, status)
        if response.reason is Reason.NOT_KEEPER:
            declined.add(address)
        return response

    def _refuse(self, reason: Reason) -> Response:
        return Response(
            RequestId(""),
            Outcome.NOT_RUN,
            reason,
            retry_after=self._timing.silence,
        )

    def _find_target(self, call: Call) -> _Target | Reason:
        service = call.match.service
        if not service.keyed:
            return self._choose_any(service)
        shard = find_shard(call.match.key, service.shards)
        centre = find_home(shard, service.homes)
        key = ShardKey(ServiceName(service.name), shard)
        assignment = self._assignments.get(centre, EMPTY_ASSIGNMENT)
        owner = assignment.find_owner(key)
        if owner is None:
            return Reason.NO_OWNER
        if owner.state is ShardState.RELEASING:
            return Reason.MOVING
        return _Target(owner.upstream, centre, key, owner.epoch)

    def _choose_any(self, service: Service) -> _Target | Reason:
        """Choose an upstream of a service without keys, in turn.

        Those of the own data centre come first.
        """
        active = [
            each
            for each in service.upstreams
            if each.state is UpstreamState.ACTIVE
        ]
        near = [
            each
            for each in active
            if each.data_centre == self._settings.data_centre
        ]
        if not active:
            return Reason.NO_OWNER
        choice = near or active
        upstream = choice[next(self._turns) % len(choice)]
        return _Target(
            UpstreamName(upstream.name),
            DataCentre(upstream.data_centre),
            None,
            Epoch(0),
        )

    def _find_keeper(
        self, target: _Target, deadline: float, declined: set[LinkAddress]
    ) -> LinkAddress | None:
        """Return the link of the first keeper that answers.

        Parameters
        ----------
        declined : set of LinkAddress
            Keepers that said in this call that they do not keep the
            upstream; they come last.
        """
        assignment = self._assignments.get(
            target.data_centre, EMPTY_ASSIGNMENT
        )
        links = self._rank_links(target.upstream, assignment)
        for link in sorted(links, key=declined.__contains__):
            if self._greet(link, deadline):
                return link
        return None

    def _explain_absence(self, target: _Target) -> Reason:
        """Return why no keeper of a data centre answers.

        Only one that was asked for long counts as cut off; a first answer
        that is slow to come is worth another try within the deadline.
        """
        assignment = self._assignments.get(
            target.data_centre, EMPTY_ASSIGNMENT
        )
        now = time.monotonic()
        links = self._rank_links(target.upstream, assignment)
        if not links:
            # Nothing has been heard of the data centre yet.
            return Reason.NO_OWNER
        silent = all(
            self._heartbeats.is_known_silent(link, now) for link in links
        )
        return Reason.CUT_OFF if silent else Reason.UNREACHABLE

    def _rank_links(
        self, upstream: UpstreamName, assignment: Assignment
    ) -> list[LinkAddress]:
        """Return the keepers' links, best first, remembered per version."""
        key = (upstream, id(assignment))
        links = self._ranks.get(key)
        if links is None:
            hosts = rank_candidates(upstream, assignment.members)
            links = [assignment.members[host].link for host in hosts]
            self._ranks[key] = links
        return links

    def _exchange(
        self,
        call: Call,
        target: _Target,
        address: LinkAddress,
        status: Status,
    ) -> Response:
        number = RequestId(f"{self._incarnation}-{next(self._numbers)}")
        now = time.monotonic()
        request = self._make_request(call, target, status, number, address)
        pending = _Pending(address, AsyncResult())
        self._pending[number] = pending
        try:
            self._transport.send(address, request)
            return pending.result.get(
                timeout=call.deadline + _ANSWER_GRACE - now
            )
        except gevent.Timeout:
            self._transport.send(address, Cancel(number))
            return Response(number, Outcome.UNKNOWN, Reason.SILENT)
        finally:
            del self._pending[number]

    def _make_request(
        self,
        call: Call,
        target: _Target,
        status: Status,
        number: RequestId,
        address: LinkAddress,
    ) -> Request:
        route = call.match.route
        return Request(
            number,
            status.incarnation,
            ServiceName(call.match.service.name),
            target.upstream,
            target.shard,
            target.epoch,
            self._translate(call.deadline, address, status),
            self._text.find_priority(route.priority_class),
            route.idempotent,
            call.method,
            call.path,
            call.headers,
            call.body,
            call.operation,
            call.first_attempt,
        )

    def _translate(
        self, deadline: float, address: LinkAddress, status: Status
    ) -> float:
        """Return a time of the own clock by a keeper's clock.

        The keeper read its clock before its answer came here, so this never
        is later than the deadline: a request that waited in a buffer is not
        begun after its caller was told the outcome.
        """
        received = self._heartbeats.find_receipt(address)
        return status.clock + (deadline - received)
