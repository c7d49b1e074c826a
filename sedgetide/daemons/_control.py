"""The control task of a keeper: what is known, who keeps what."""

import contextlib
import logging
import time
from typing import Any

import gevent

from sedgetide.backends.httpstore import HttpStore
from sedgetide.backends.httpupstream import HttpUpstream
from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import Cancel
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Report
from sedgetide.coding.messages import Request
from sedgetide.coding.messages import Response
from sedgetide.coding.messages import Status
from sedgetide.coding.settings import KeeperSettings
from sedgetide.coding.text import check_text
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import decode_text
from sedgetide.core.assignment import Assignment
from sedgetide.core.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.assignment import Member
from sedgetide.core.authority import Authority
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.liveness import PeerState
from sedgetide.core.outcomes import Outcome
from sedgetide.core.outcomes import Reason
from sedgetide.core.records import CONFIGURATION_KEY
from sedgetide.core.records import name_assignment
from sedgetide.core.records import Record
from sedgetide.core.records import RecordCache
from sedgetide.core.rendezvous import choose_candidate
from sedgetide.core.rendezvous import rank_candidates
from sedgetide.core.services import Service
from sedgetide.core.services import Text
from sedgetide.core.services import Upstream
from sedgetide.daemons._admin import Inspectable
from sedgetide.daemons._assigner import Assigner
from sedgetide.daemons._assigner import Membership
from sedgetide.daemons._beacon import Beacon
from sedgetide.daemons._beacon import BeaconOwner
from sedgetide.daemons._metrics import CONFIGURATION_REVISION
from sedgetide.daemons._storetask import StoreOwner
from sedgetide.daemons._storetask import StoreTask
from sedgetide.daemons._upstreamtask import Standing
from sedgetide.daemons._upstreamtask import UpstreamTask
from sedgetide.links import Mail
from sedgetide.runtime.tasks import spawn_vital

WATCHERS = 2
_ABSENT_AFTER = 60.0
_JOINER_LIFE = 1.0
_UNUSED_LINK = 30.0
_STORE_TIMEOUT = 1.0
_MOVING_RETRY = 0.1

_log = logging.getLogger(__name__)


def _drop_message(message: Message) -> None:
    """Leave a message unsent; heartbeats and deadlines make it good."""
    _log.warning("message dropped", extra={"kind": type(message).__name__})


class Control(BeaconOwner, StoreOwner, Inspectable):
    """Everything of a keeper but the work on single upstreams.

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
        self._host = settings.host_name
        self._incarnation = incarnation
        self._key = name_assignment(settings.data_centre)
        self._member = Member(LinkAddress(settings.link), settings.admin)
        self._cache = RecordCache()
        self._authority = Authority(self._host, self._timing.proof_life)
        self._text: Text | None = None
        self._assignment: Assignment = EMPTY_ASSIGNMENT
        self._proved_until = float("-inf")
        self._joiners: dict[HostName, tuple[float, Member]] = {}
        self._tasks: dict[UpstreamName, UpstreamTask] = {}
        self._retired: list[UpstreamTask] = []
        self._leaving = False
        self._started_at = time.monotonic()
        self._pinged_at = float("-inf")
        self._stack = contextlib.ExitStack()
        self._mail = Mail(
            settings.link,
            settings.limits.body_bytes,
            self._handle,
            _drop_message,
        )
        self._stack.callback(self._mail.close)
        self._beacon = Beacon(self._mail, self._cache, self._timing, self)
        self._store = StoreTask(
            self._open_store(), self._key, self._timing.heartbeat, self
        )
        writer = self._open_store()
        self._stack.callback(writer.close)
        self._assigner = Assigner(
            self._host,
            settings.home,
            writer,
            self._key,
            self._timing,
            self._take_written,
        )
        self._stack.callback(self._assigner.close)

    def _open_store(self) -> HttpStore:
        return HttpStore(self._settings.stores, _STORE_TIMEOUT)

    def start(self) -> None:
        """Listen and begin all loops."""
        self._mail.start()
        self._store.start(self._stack)
        spawn_vital(self._loop, self._stack)

    def close(self) -> None:
        """End all tasks and close all connections."""
        for task in [*self._tasks.values(), *self._retired]:
            task.close()
        self._stack.close()

    def begin_leaving(self) -> None:
        """Tell the peers that this process is about to stop."""
        self._leaving = True
        self._tick(time.monotonic())

    @property
    def idle(self) -> bool:
        """Whether no request is in hand."""
        tasks = [*self._tasks.values(), *self._retired]
        return all(task.idle for task in tasks)

    # What this process says of itself

    def make_status(self, now: float) -> Status:
        age = self._authority.store_age(now)
        return Status(
            self._host,
            self._incarnation,
            self._settings.home,
            now,
            self._cache.digest,
            self._cache.find_revision(self._key),
            self._authority.counting,
            age,
            self._authority.store_revision(),
            self._leaving,
            self._member,
        )

    def is_ready(self) -> bool:
        return self._text is not None and not self._leaving

    def dump_state(self) -> dict[str, Any]:
        now = time.monotonic()
        return {
            "host": self._host,
            "incarnation": self._incarnation,
            "data_centre": self._settings.data_centre,
            "leaving": self._leaving,
            "revisions": self._cache.list_revisions(),
            "counting": self._authority.counting,
            "proved_for": self._proved_until - now,
            "store_error": self._store.last_error,
            "members": sorted(self._assignment.members),
            "alive": self._list_alive(now),
            "watching": self.is_watching(),
            "assigner": self._is_assigner(now),
            "releasing": len(self._assignment.list_releasing()),
            "links": self._mail.list_peers(),
            "upstreams": [task.dump_state() for task in self._tasks.values()],
        }

    # What others say

    def _handle(self, message: AnyMessage, sender: str) -> None:
        now = time.monotonic()
        match message:
            case Request():
                self._take_request(message, sender, now)
            case Cancel():
                for task in self._tasks.values():
                    task.cancel(message.number)
            case Report():
                self._assigner.note_report(message, now)
            case _:
                self._beacon.handle(message, sender, now)

    def note_status(
        self, address: LinkAddress, asked_at: float, status: Status
    ) -> None:
        if status.data_centre != self._settings.home:
            return
        self._authority.note_member(
            status.host, asked_at, status.revision, status.counting
        )
        if status.store_age is not None:
            self._authority.note_store(
                asked_at - status.store_age, status.store_revision
            )
        self._assigner.tracker.note_member(
            time.monotonic(),
            status.host,
            status.revision,
            status.counting,
            self._assignment.members,
        )

    def note_ping(self, address: LinkAddress, status: Status) -> None:
        if status.member is None or status.leaving:
            return
        if status.data_centre == self._settings.home:
            now = time.monotonic()
            self._joiners[status.host] = (now, status.member)

    def note_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            self._take_text(record)
        elif record.key == self._key:
            self._assignment = decode_assignment(record.value)
            self._follow()

    def _take_text(self, record: Record) -> None:
        text, problems = check_text(decode_text(record.value).text.encode())
        if text is None:
            _log.error(
                "text refused",
                extra={
                    "revision": record.revision,
                    "problem": str(problems[0]),
                },
            )
            return
        self._text = text
        CONFIGURATION_REVISION.set(record.revision)
        self._follow()

    def _follow(self) -> None:
        """Put the newest assignment and text in force at once."""
        if self._text is not None:
            self._assigner.follow(
                self._cache.find_revision(self._key),
                self._assignment,
                self._text,
            )
        self._tick(time.monotonic())

    # The store

    def is_watching(self) -> bool:
        now = time.monotonic()
        ranked = rank_candidates("watch", self._list_alive(now))
        return self._host in ranked[:WATCHERS] or not self._is_member()

    def take_records(self, records: list[Record]) -> None:
        newer = self._beacon.apply(records)
        if newer:
            self._beacon.push(self._list_peers(), newer)

    def take_proof(
        self, asked_at: float, revision: Revision, record: Record | None
    ) -> None:
        if record is not None:
            self.take_records([record])
        self._authority.note_store(asked_at, revision)
        self._renew_proof(time.monotonic())

    def _take_written(self, record: Record) -> None:
        self.take_records([record])

    # The loop

    def _loop(self) -> None:
        while True:
            now = time.monotonic()
            if now - self._pinged_at >= self._timing.heartbeat:
                self._pinged_at = now
                self._ping(now)
            self._tick(now)
            gevent.sleep(self._timing.heartbeat / 3)

    def _ping(self, now: float) -> None:
        self._beacon.ping(self._list_peers(), now)
        self._mail.close_unused(_UNUSED_LINK)
        self._report(now)

    def _list_peers(self) -> list[LinkAddress]:
        addresses = {
            member.link for member in self._assignment.members.values()
        }
        addresses.update(LinkAddress(a) for a in self._settings.keepers)
        addresses.discard(LinkAddress(self._settings.link))
        return sorted(addresses)

    def _report(self, now: float) -> None:
        assigner = self._find_assigner(now)
        member = self._assignment.members.get(assigner)
        if member is None:
            return
        for task in self._tasks.values():
            lost, released = task.list_lost(), task.list_released()
            if not lost and not released:
                continue
            report = Report(task.name, lost, released)
            if assigner == self._host:
                self._assigner.note_report(report, now)
            else:
                self._mail.send(member.link, report)

    def _tick(self, now: float) -> None:
        self._renew_proof(now)
        self._assigner.tracker.note_member(
            now,
            self._host,
            self._cache.find_revision(self._key),
            self._authority.counting,
            self._assignment.members,
        )
        self._claim_upstreams(now)
        self._assign(now)

    def _renew_proof(self, now: float) -> None:
        self._proved_until = self._authority.renew_proof(
            now,
            self._cache.find_revision(self._key),
            self._assignment.members,
        )
        standing = Standing(self._assignment, self._proved_until)
        for task in self._tasks.values():
            task.update(standing)

    def _is_member(self) -> bool:
        return self._host in self._assignment.members

    def _list_alive(self, now: float) -> list[HostName]:
        """Return members that answer, with this one, without leavers."""
        alive = []
        for host, member in self._assignment.members.items():
            if host == self._host:
                if not self._leaving and self._is_member():
                    alive.append(host)
                continue
            state = self._beacon.find_state(member.link, now)
            if state is PeerState.ALIVE:
                alive.append(host)
        return alive

    def _find_assigner(self, now: float) -> HostName | None:
        return choose_candidate("assigner", self._list_alive(now))

    def _is_assigner(self, now: float) -> bool:
        return self._find_assigner(now) == self._host

    # Duties

    def _assign(self, now: float) -> None:
        if now - self._started_at < self._timing.silence:
            return
        revision = self._cache.find_revision(self._key)
        if revision and not self._is_assigner(now):
            return
        if not revision and not self._may_found():
            return
        text = self._text
        if text is None:
            text = Text(self._settings.data_centre, (), (), ())
        self._assigner.work(
            revision,
            self._assignment,
            text,
            self._describe_members(revision, now),
            now,
        )

    def _may_found(self) -> bool:
        """Tell whether the data centre certainly has no record yet."""
        age = self._authority.store_age(time.monotonic())
        return age is not None and self._authority.store_revision() == 0

    def _describe_members(self, revision: Revision, now: float) -> Membership:
        members = self._assignment.members
        joiners = {
            host: member
            for host, (at, member) in self._joiners.items()
            if now - at < _JOINER_LIFE
        }
        joiners[self._host] = self._member
        absent = {
            host
            for host, member in members.items()
            if host != self._host
            and now - self._started_at > _ABSENT_AFTER
            and self._beacon.liveness.measure_silence(member.link, now)
            > _ABSENT_AFTER
        }
        known = self._authority.is_known(revision, members)
        return Membership(joiners, absent, known)

    def _claim_upstreams(self, now: float) -> None:
        wanted = self._list_kept(now)
        for name, task in list(self._tasks.items()):
            if name not in wanted:
                self._tasks.pop(name).retire()
                self._retired.append(task)
            elif wanted[name] != (task.service, task.upstream):
                self._reconfigure(task, *wanted[name])
        for name, (service, upstream) in wanted.items():
            if name not in self._tasks:
                self._start_task(service, upstream)
        for task in [each for each in self._retired if each.idle]:
            self._retired.remove(task)
            task.close()

    def _list_kept(
        self, now: float
    ) -> dict[UpstreamName, tuple[Service, Upstream]]:
        if self._text is None or self._leaving:
            return {}
        if now - self._started_at < self._timing.silence:
            return {}
        alive = self._list_alive(now)
        return {
            UpstreamName(upstream.name): (service, upstream)
            for service in self._text.services
            for upstream in service.upstreams
            if upstream.data_centre == self._settings.data_centre
            and choose_candidate(upstream.name, alive) == self._host
        }

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

    def _start_task(self, service: Service, upstream: Upstream) -> None:
        client = self._open_upstream(upstream)
        task = UpstreamTask(
            f"{self._host}/{self._incarnation}",
            service,
            upstream,
            client,
            self._timing,
            self._settings.limits,
        )
        self._tasks[task.name] = task
        task.update(Standing(self._assignment, self._proved_until))
        task.start(lambda orderer: self._outranks(orderer, task.name))

    def _outranks(self, orderer: str, upstream: UpstreamName) -> bool:
        """Tell whether another keeper comes before this one.

        Also one that seems lost does, until its grants have run out: it
        may be alive and only out of this process's reach.
        """
        host = HostName(orderer.partition("/")[0])
        member = self._assignment.members.get(host)
        if member is None or host == self._host:
            return False
        state = self._beacon.find_state(member.link, time.monotonic())
        if state is PeerState.LEAVING:
            return False
        return choose_candidate(upstream, [host, self._host]) == host

    # Requests

    def _take_request(self, request: Request, sender: str, now: float) -> None:
        def reply(response: Response) -> None:
            self._mail.send(sender, response)

        task = self._tasks.get(request.upstream)
        stranger = request.addressee != self._incarnation
        if task is None or stranger or self._leaving:
            reply(
                Response(
                    request.number,
                    Outcome.NOT_RUN,
                    Reason.NOT_KEEPER,
                    retry_after=_MOVING_RETRY,
                )
            )
            return
        task.submit(request, reply, now)
