"""Control of a keeper: membership, assignment and upstream tasks."""

import contextlib
import logging
from typing import Any
import uuid

import gevent
import msgspec

from sedgetide.backends.httpstore import HttpStore
from sedgetide.backends.httpupstream import HttpUpstream
from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import Cancel
from sedgetide.coding.messages import LossReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Request
from sedgetide.coding.messages import Response
from sedgetide.coding.messages import Status
from sedgetide.coding.settings import KeeperSettings
from sedgetide.coding.text import check_text
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import decode_text
from sedgetide.core.configuration.records import build_assignment_key
from sedgetide.core.configuration.records import CONFIGURATION_KEY
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Upstream
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.datacentre import DataCentreView
from sedgetide.core.membership.datacentre import MemberReport
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.leasing import UpstreamReport
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.daemons._assignmentwriter import AssignmentWriter
from sedgetide.daemons._heartbeats import HeartbeatHandler
from sedgetide.daemons._heartbeats import Heartbeats
from sedgetide.daemons._inspection import Inspectable
from sedgetide.daemons._metrics import CONFIGURATION_REVISION
from sedgetide.daemons._refusedrecords import log_refused_record
from sedgetide.daemons._storetask import StoreListener
from sedgetide.daemons._storetask import StoreTask
from sedgetide.daemons._upstreamtask import UpstreamTask
from sedgetide.links import Transport
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.tasks import spawn_vital

_IDLE_LINK_TIMEOUT = 30.0
_STORE_TIMEOUT = 1.0
_MOVING_RETRY_DELAY = 0.1

_log = logging.getLogger(__name__)


def _log_dropped_message(message: Message) -> None:
    """Log a message that could not be sent.

    It needs no retransmission: heartbeats replicate records again, and
    requests end by their deadline.
    """
    _log.warning("message dropped", extra={"kind": type(message).__name__})


def _decode_report(message: LossReport) -> UpstreamReport:
    return UpstreamReport(
        message.upstream,
        message.alive,
        dict(message.lost),
        dict(message.released),
    )


def _encode_report(report: UpstreamReport) -> LossReport:
    return LossReport(
        report.upstream,
        report.alive,
        list(report.lost.items()),
        list(report.released.items()),
    )


class Control(HeartbeatHandler, StoreListener, Inspectable):
    """Runs a keeper: membership, the assignment, and one task per upstream.

    Parameters
    ----------
    settings : KeeperSettings
        Checked settings.
    incarnation : str
        Unique id of this process.
    """

    def __init__(self, settings: KeeperSettings, incarnation: str) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._incarnation = incarnation
        self._key = build_assignment_key(settings.data_centre)
        self._member = Member(LinkAddress(settings.link), settings.admin)
        self._cache = RecordCache()
        self._tasks: dict[UpstreamName, UpstreamTask] = {}
        self._retired: list[UpstreamTask] = []
        self._pinged_at = float("-inf")
        self._stack = contextlib.ExitStack()
        self._transport = Transport(
            settings.link,
            settings.limits.body_bytes,
            self._handle,
            _log_dropped_message,
        )
        self._stack.callback(self._transport.close)
        self._heartbeats = Heartbeats(
            self._transport, self._cache, self._timing, self
        )
        self._view = DataCentreView(
            settings.host_name,
            settings.home,
            self._member,
            self._timing,
            self._heartbeats.liveness,
            read_clock(),
        )
        self._store = StoreTask(
            self._open_store(), self._key, self._timing.heartbeat, self
        )
        writer = self._open_store()
        self._stack.callback(writer.close)
        self._writer = AssignmentWriter(writer, self._key, self)
        self._stack.callback(self._writer.close)

    def _open_store(self) -> HttpStore:
        return HttpStore(self._settings.stores, _STORE_TIMEOUT)

    def start(self) -> None:
        """Start the link listener, the store loops and the control loop."""
        self._transport.start()
        self._store.start(self._stack)
        spawn_vital(self._loop, self._stack)

    def close(self) -> None:
        """Stop all tasks and close all connections."""
        for task in [*self._tasks.values(), *self._retired]:
            task.close()
        self._stack.close()

    def begin_leaving(self) -> None:
        """Announce to the peers that this process is about to stop."""
        self._view.leaving = True
        self._tick(read_clock())

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        tasks = [*self._tasks.values(), *self._retired]
        return all(task.idle for task in tasks)

    # Status of this process

    def make_status(self, now: float) -> Status:
        member_report = self._view.make_member_report(now)
        # The addresses of a listed member are known to its peers; leaving
        # them out keeps heartbeats short.
        listed_member = self._view.assignment.members.get(self._view.host)
        announced_member = (
            None if listed_member == self._member else self._member
        )
        return Status(
            self._view.host,
            self._incarnation,
            self._settings.home,
            now,
            self._cache.digest,
            member_report.revision,
            member_report.counting,
            member_report.store_age,
            member_report.store_revision,
            member_report.store_unavailable,
            self._view.leaving,
            announced_member,
        )

    def is_ready(self) -> bool:
        return self._view.text is not None and not self._view.leaving

    def dump_state(self) -> dict[str, Any]:
        now = read_clock()
        view = self._view
        return {
            "host": view.host,
            "incarnation": self._incarnation,
            "data_centre": view.data_centre,
            "leaving": view.leaving,
            "revisions": self._cache.list_revisions(),
            "counting": view.authority.counting,
            "proved_for": view.renew(now).proved_until - now,
            "store_error": self._store.last_error,
            "members": sorted(view.assignment.members),
            "alive": view.list_alive(now),
            "watching": view.is_watching(now),
            "assigner": view.find_assigner(now) == view.host,
            "releasing": len(view.assignment.list_releasing()),
            "links": self._transport.list_peers(),
            "traffic": self._transport.traffic,
            "upstreams": [task.dump_state() for task in self._tasks.values()],
        }

    # Messages from peers

    def _handle(self, message: AnyMessage, sender: str) -> None:
        now = read_clock()
        match message:
            case Request():
                self._handle_request(message, sender, now)
            case Cancel():
                for task in self._tasks.values():
                    task.cancel(message.number)
            case LossReport():
                self._view.note_report(_decode_report(message), now)
            case _:
                self._heartbeats.handle(message, sender, now)

    def note_status(
        self, address: LinkAddress, asked_at: float, status: Status
    ) -> None:
        if status.data_centre != self._settings.home:
            return
        member_report = MemberReport(
            status.revision,
            status.counting,
            status.store_age,
            status.store_revision,
            status.store_unavailable,
        )
        self._view.note_member_report(
            status.host, asked_at, member_report, read_clock()
        )

    def note_ping(self, address: LinkAddress, status: Status) -> None:
        if status.member is None or status.leaving:
            return
        if status.data_centre == self._settings.home:
            self._view.note_joiner(status.host, status.member, read_clock())

    def note_record(self, record: Record) -> None:
        try:
            if record.key == CONFIGURATION_KEY:
                self._apply_configuration(record)
            elif record.key == self._key:
                self._apply_assignment(record)
        except msgspec.MsgspecError as error:
            log_refused_record(record, error)
        self._tick(read_clock())

    def _apply_assignment(self, record: Record) -> None:
        assignment = decode_assignment(record.value)
        self._view.apply_assignment(assignment, record.revision)
        if assignment.list_releasing():
            # The wait for the old owner begins when a majority has confirmed
            # the new assignment; an immediate ping saves up to a heartbeat.
            self._heartbeats.ping(self._list_peers(), read_clock())

    def _apply_configuration(self, record: Record) -> None:
        configuration, problems = check_text(
            decode_text(record.value).text.encode()
        )
        if configuration is None:
            _log.error(
                "text refused",
                extra={
                    "revision": record.revision,
                    "problem": str(problems[0]),
                },
            )
            return
        self._view.apply_configuration(configuration)
        CONFIGURATION_REVISION.set(record.revision)

    # The store

    def is_watching(self) -> bool:
        return self._view.is_watching(read_clock())

    def handle_records(self, records: list[Record]) -> None:
        newer = self._heartbeats.apply(records)
        if newer:
            self._heartbeats.push(self._list_peers(), newer)

    def handle_proof(
        self, asked_at: float, revision: Revision, record: Record | None
    ) -> None:
        if record is not None:
            self.handle_records([record])
        self._view.authority.note_store(asked_at, revision)
        self._renew(read_clock())

    def set_store_unavailable(self, unavailable: bool) -> None:
        self._view.store_unavailable = unavailable

    # The loop

    def _loop(self) -> None:
        while True:
            now = read_clock()
            if now - self._pinged_at >= self._timing.heartbeat * 0.9:
                self._pinged_at = now
                self._heartbeats.ping(self._list_peers(), now)
                self._transport.close_unused(_IDLE_LINK_TIMEOUT)
                self._send_reports(now)
            self._tick(now)
            # The wait of a takeover can end between two heartbeats.
            waiting = self._view.tracker.waiting
            gevent.sleep(self._timing.heartbeat / (3 if waiting else 1))

    def _list_peers(self) -> list[LinkAddress]:
        addresses = self._view.list_links()
        addresses.update(LinkAddress(a) for a in self._settings.keepers)
        addresses.discard(LinkAddress(self._settings.link))
        return sorted(addresses)

    def _send_reports(self, now: float) -> None:
        assigner = self._view.find_assigner(now)
        member = self._view.assignment.members.get(assigner)
        if member is None:
            return
        for task in self._tasks.values():
            if not task.lease.needs_report():
                continue
            report = task.lease.make_report()
            if assigner == self._view.host:
                self._view.note_report(report, now)
            else:
                self._transport.send(member.link, _encode_report(report))

    def _tick(self, now: float) -> None:
        self._renew(now)
        self._update_tasks(now)
        if self._writer.busy:
            return
        change = self._view.plan(now, ChangeId(uuid.uuid4().hex))
        if change is not None:
            self._writer.write(change)

    def _renew(self, now: float) -> None:
        authorization = self._view.renew(now)
        for task in self._tasks.values():
            task.update(authorization)

    # Upstreams

    def _update_tasks(self, now: float) -> None:
        wanted = self._view.list_kept(now)
        for name, task in list(self._tasks.items()):
            if name not in wanted:
                self._tasks.pop(name).retire()
                self._retired.append(task)
            elif wanted[name] != (task.service, task.upstream):
                self._reconfigure(task, *wanted[name])
        for name, (service, upstream) in wanted.items():
            if name not in self._tasks:
                self._start_task(service, upstream, now)
        for task in [each for each in self._retired if each.idle]:
            self._retired.remove(task)
            task.close()

    def _open_upstream(self, upstream: Upstream) -> HttpUpstream:
        return HttpUpstream(
            upstream.address,
            self._settings.limits.body_bytes,
            self._timing.silence / 2,
        )

    def _reconfigure(
        self, task: UpstreamTask, service: Service, upstream: Upstream
    ) -> None:
        client = None
        if upstream.address != task.upstream.address:
            client = self._open_upstream(upstream)
        task.reconfigure(service, upstream, client)

    def _start_task(
        self, service: Service, upstream: Upstream, now: float
    ) -> None:
        name = UpstreamName(upstream.name)
        task = UpstreamTask(
            f"{self._view.host}/{self._incarnation}",
            service,
            upstream,
            self._open_upstream(upstream),
            self._settings,
            lambda orderer: self._view.outranks(orderer, name, read_clock()),
            lambda: self._send_reports(read_clock()),
        )
        self._tasks[name] = task
        task.update(self._view.renew(now))
        task.start()

    # Requests

    def _handle_request(
        self, request: Request, sender: str, now: float
    ) -> None:
        def reply(response: Response) -> None:
            self._transport.send(sender, response)

        task = self._tasks.get(request.upstream)
        misdirected = request.receiver_incarnation != self._incarnation
        if task is None or misdirected or self._view.leaving:
            reply(
                Response(
                    request.number,
                    Outcome.NOT_RUN,
                    Reason.NOT_KEEPER,
                    retry_after=_MOVING_RETRY_DELAY,
                )
            )
            return
        task.submit(request, reply, now)
