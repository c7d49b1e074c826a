"""Dispatches an entry's requests to keepers, with retries."""

import contextlib
import itertools
import logging
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
from sedgetide.daemons._heartbeats import HeartbeatHandler
from sedgetide.daemons._heartbeats import Heartbeats
from sedgetide.daemons._metrics import CONFIGURATION_REVISION
from sedgetide.daemons._metrics import ENTRY_RETRIES
from sedgetide.daemons._refusedrecords import log_refused_record
from sedgetide.links import Transport
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.tasks import spawn_vital

_SYNCED_KEEPERS = 2
_LINK_USE_WINDOW = 10.0
_FIRST_PONG_TIMEOUT = 0.3
# Within this time after the deadline, the keeper answers a request that
# expired in its queue.
_ANSWER_GRACE = 0.1
_RETRY_DELAYS = (0.01, 0.03, 0.05)

_log = logging.getLogger(__name__)


class Call(msgspec.Struct):
    """A caller's request with the route that it matched."""

    match: Match
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    operation: OperationId | None
    first_attempt: bool


class _Target(msgspec.Struct, frozen=True):
    """Upstream that a request is to be sent to."""

    upstream: UpstreamName
    data_centre: DataCentre
    shard: ShardKey | None
    epoch: Epoch


class _PendingRequest(msgspec.Struct):
    address: LinkAddress
    result: AsyncResult


class Dispatcher(HeartbeatHandler):
    """Sends each request to the keeper of the upstream that owns its key.

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
        self._configuration: Text | None = None
        self._router: Router | None = None
        self._assignments: dict[DataCentre, Assignment] = {}
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._numbers = itertools.count()
        self._ending = False
        self._last_used: dict[LinkAddress, float] = {}
        self._pong_events: dict[LinkAddress, Event] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._round_robin = itertools.count()
        self._ranked_links: dict[
            tuple[UpstreamName, int], list[LinkAddress]
        ] = {}
        self._transport = Transport(
            settings.link,
            settings.limits.body_bytes,
            self._handle,
            self._fail_unsent,
        )
        self._heartbeats = Heartbeats(
            self._transport, self._cache, self._timing, self
        )
        self._stack = contextlib.ExitStack()
        self._stack.callback(self._transport.close)

    def start(self) -> None:
        """Start the link listener and the heartbeats to keepers."""
        self._transport.start()
        spawn_vital(self._loop, self._stack)

    def close(self) -> None:
        """Stop the heartbeats and close all links."""
        self._stack.close()

    # Known configuration and keepers

    @property
    def configured(self) -> bool:
        """Whether the configuration and the local members are known."""
        known = self._settings.home in self._assignments
        return self._router is not None and known

    def has_keeper(self, now: float) -> bool:
        """Return whether any keeper is alive."""
        return bool(self._heartbeats.liveness.list_alive(now))

    def match(self, method: str, path: str) -> Match | None:
        """Find the route of a request; see :meth:`Router.match`."""
        if self._router is None:
            return None
        return self._router.match(method, path)

    def dump_state(self) -> dict[str, Any]:
        """Return the fields of the state dump."""
        now = read_clock()
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
        event = self._pong_events.pop(address, None)
        if event is not None:
            event.set()

    def note_ping(self, address: LinkAddress, status: Status) -> None:
        """Do nothing: nobody pings an entry."""

    def note_record(self, record: Record) -> None:
        try:
            self._apply_record(record)
        except msgspec.MsgspecError as error:
            log_refused_record(record, error)

    def _apply_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            content = decode_text(record.value).text.encode()
            configuration, problems = check_text(content)
            if configuration is None:
                _log.error(
                    "text refused",
                    extra={"problem": problems[0]},
                )
                return
            self._configuration = configuration
            self._router = Router(configuration)
            CONFIGURATION_REVISION.set(record.revision)
        elif record.key.startswith(ASSIGNMENT_PREFIX):
            data_centre = DataCentre(
                record.key.removeprefix(ASSIGNMENT_PREFIX)
            )
            self._assignments[data_centre] = decode_assignment(record.value)
            self._ranked_links.clear()

    # Links

    def _loop(self) -> None:
        while True:
            now = read_clock()
            self._heartbeats.ping(self._list_ping_targets(now), now)
            self._fail_requests_to_silent(now)
            gevent.sleep(self._timing.heartbeat)

    def _list_ping_targets(self, now: float) -> list[LinkAddress]:
        """Return the keepers to ping.

        These are the keepers in use, and two of the local data centre that
        keep the records of this entry up to date.
        """
        for address, at in list(self._last_used.items()):
            if now - at > _LINK_USE_WINDOW:
                del self._last_used[address]
        home = self._assignments.get(self._settings.home, EMPTY_ASSIGNMENT)
        hosts = rank_candidates(self._settings.host, home.members)
        links = [home.members[host].link for host in hosts]
        alive = [
            link
            for link in links
            if self._heartbeats.find_state(link, now) is not PeerState.SILENT
        ]
        targets = set(self._last_used)
        targets.update((alive or links)[:_SYNCED_KEEPERS])
        if not alive:
            targets.update(LinkAddress(a) for a in self._settings.keepers)
        return sorted(targets)

    def _fail_requests_to_silent(self, now: float) -> None:
        """Fail at once the requests whose keeper has gone silent."""
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
            # The request of a late response is no longer pending.
            if pending is not None:
                pending.result.set(message)
            return
        self._heartbeats.handle(message, sender, read_clock())

    def _fail_unsent(self, message: Message) -> None:
        """Fail a request that the transport dropped unsent."""
        if not isinstance(message, Request):
            return
        pending = self._pending.get(message.number)
        if pending is not None:
            pending.result.set(self._refuse(Reason.OVERLOAD))

    def _wait_for_pong(self, address: LinkAddress, deadline: float) -> bool:
        """Return whether a keeper is alive; wait for its first pong if needed.

        A request carries the keeper's incarnation, and its expiry by the
        keeper's clock; both are taken from a pong.
        """
        now = read_clock()
        self._last_used[address] = now
        state = self._heartbeats.find_state(address, now)
        if state is not PeerState.SILENT:
            return state is PeerState.ALIVE
        if self._heartbeats.is_known_silent(address, now):
            # Another wait would only delay the refusal.
            return False
        event = self._pong_events.get(address)
        if event is None:
            event = self._pong_events[address] = Event()
            self._heartbeats.ping([address], now)
        event.wait(min(_FIRST_PONG_TIMEOUT, max(0.0, deadline - now)))
        now = read_clock()
        return self._heartbeats.find_state(address, now) is PeerState.ALIVE

    # Requests

    def dispatch(self, call: Call) -> Response:
        """Send a request, with retries, and return its final outcome.

        Parameters
        ----------
        call : Call
            Request of a caller.

        Returns
        -------
        Response
            Returned at the latest shortly after the deadline.
        """
        budget = self._find_budget(call.match.service.name)
        budget.note_request()
        declined: set[LinkAddress] = set()
        outcome = Outcome.NOT_RUN
        for attempt in itertools.count():
            response = self._attempt(call, declined)
            outcome = combine_outcomes(outcome, response.outcome)
            response = msgspec.structs.replace(response, outcome=outcome)
            if not self._may_repeat(call, response, budget):
                return response
            delay = _RETRY_DELAYS[min(attempt, len(_RETRY_DELAYS) - 1)]
            if read_clock() + delay >= call.deadline:
                return response
            ENTRY_RETRIES.labels(
                call.match.service.name, response.reason.value
            ).inc()
            gevent.sleep(delay)
        raise AssertionError("unreachable")

    def end_requests(self) -> None:
        """Give the requests in progress their final outcome.

        A keeper may have sent them, so that only the caller can tell whether
        they may be repeated.
        """
        self._ending = True
        for number, each in list(self._pending.items()):
            self._transport.send(each.address, Cancel(number))
            each.result.set(Response(number, Outcome.UNKNOWN, Reason.SILENT))

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def _may_repeat(
        self, call: Call, response: Response, budget: RetryBudget
    ) -> bool:
        if response.outcome is Outcome.ANSWERED or self._ending:
            return False
        if not may_resend(response.outcome, call.match.route.idempotent):
            return False
        if response.reason in TRANSIENT_REASONS:
            # This attempt did not run, so a retry costs only the wait for a
            # handover. Any other refusal is final and returned at once.
            return True
        return response.reason in UNCERTAIN_REASONS and budget.spend()

    def _attempt(self, call: Call, declined: set[LinkAddress]) -> Response:
        target = self._find_target(call)
        if isinstance(target, Reason):
            return self._refuse(target)
        address = self._find_keeper(target, call.deadline, declined)
        if address is None:
            return self._refuse(self._find_unreachable_reason(target))
        if address in declined:
            # All keepers have declined; start over with the first one.
            declined.clear()
        status = self._heartbeats.statuses[address]
        response = self._send_request(call, target, address, status)
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
            return self._choose_round_robin(service)
        shard = find_shard(call.match.key, service.shards)
        data_centre = find_home(shard, service.homes)
        key = ShardKey(ServiceName(service.name), shard)
        assignment = self._assignments.get(data_centre, EMPTY_ASSIGNMENT)
        owner = assignment.find_owner(key)
        if owner is None:
            return Reason.NO_OWNER
        if owner.state is ShardState.RELEASING:
            return Reason.MOVING
        return _Target(owner.upstream, data_centre, key, owner.epoch)

    def _choose_round_robin(self, service: Service) -> _Target | Reason:
        """Choose an upstream of a service without keys, by round-robin.

        Upstreams of the local data centre are preferred.
        """
        active = [
            each
            for each in service.upstreams
            if each.state is UpstreamState.ACTIVE
        ]
        local = [
            each
            for each in active
            if each.data_centre == self._settings.data_centre
        ]
        if not active:
            return Reason.NO_OWNER
        choice = local or active
        upstream = choice[next(self._round_robin) % len(choice)]
        return _Target(
            UpstreamName(upstream.name),
            DataCentre(upstream.data_centre),
            None,
            Epoch(0),
        )

    def _find_keeper(
        self, target: _Target, deadline: float, declined: set[LinkAddress]
    ) -> LinkAddress | None:
        """Return the link of the first keeper that is alive.

        Parameters
        ----------
        declined : set of LinkAddress
            Keepers that answered this request with not-keeper; they are
            tried last.
        """
        assignment = self._assignments.get(
            target.data_centre, EMPTY_ASSIGNMENT
        )
        links = self._rank_links(target.upstream, assignment)
        for link in sorted(links, key=declined.__contains__):
            if self._wait_for_pong(link, deadline):
                return link
        return None

    def _find_unreachable_reason(self, target: _Target) -> Reason:
        """Return the reason why no keeper of a data centre is alive.

        The data centre counts as cut off only when all its keepers have left
        pings unanswered for too long. A keeper whose first pong is merely
        late is worth a retry within the deadline.
        """
        assignment = self._assignments.get(
            target.data_centre, EMPTY_ASSIGNMENT
        )
        now = read_clock()
        links = self._rank_links(target.upstream, assignment)
        if not links:
            # The assignment of the data centre is not known yet.
            return Reason.NO_OWNER
        silent = all(
            self._heartbeats.is_known_silent(link, now) for link in links
        )
        return Reason.CUT_OFF if silent else Reason.UNREACHABLE

    def _rank_links(
        self, upstream: UpstreamName, assignment: Assignment
    ) -> list[LinkAddress]:
        """Return the keepers' links, best first, cached per assignment."""
        key = (upstream, id(assignment))
        links = self._ranked_links.get(key)
        if links is None:
            hosts = rank_candidates(upstream, assignment.members)
            links = [assignment.members[host].link for host in hosts]
            self._ranked_links[key] = links
        return links

    def _send_request(
        self,
        call: Call,
        target: _Target,
        address: LinkAddress,
        status: Status,
    ) -> Response:
        number = RequestId(f"{self._incarnation}-{next(self._numbers)}")
        now = read_clock()
        request = self._make_request(call, target, status, number, address)
        pending = _PendingRequest(address, AsyncResult())
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
            self._convert_deadline(call.deadline, address, status),
            self._configuration.find_priority(route.priority_class),
            route.idempotent,
            call.method,
            call.path,
            call.headers,
            call.body,
            call.operation,
            call.first_attempt,
        )

    def _convert_deadline(
        self, deadline: float, address: LinkAddress, status: Status
    ) -> float:
        """Convert a deadline from the local clock to a keeper's clock.

        The keeper read its clock before its pong arrived, so the result is
        never later than the deadline: a request delayed in a buffer is not
        begun after its caller has received the outcome.
        """
        received = self._heartbeats.find_pong_time(address)
        return status.clock + (deadline - received)
