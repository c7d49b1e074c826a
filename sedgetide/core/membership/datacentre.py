"""A keeper's view of its data centre and the decisions based on it.

The view covers the members and their liveness, the assigner, the hosts that
watch the store, the keeper of each upstream, and the next change of the
assignment. This module does no I/O.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text
from sedgetide.core.configuration.services import Upstream
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.liveness import Liveness
from sedgetide.core.membership.liveness import PeerState
from sedgetide.core.membership.rendezvous import choose_candidate
from sedgetide.core.membership.rendezvous import rank_candidates
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.assignment import Member
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.authority import Authority
from sedgetide.core.ownership.handover import ReleaseTracker
from sedgetide.core.ownership.keyspace import list_shards
from sedgetide.core.ownership.leasing import Authorization
from sedgetide.core.ownership.leasing import UpstreamReport
from sedgetide.core.ownership.planning import plan_change
from sedgetide.core.ownership.planning import PlanningInput
from sedgetide.core.timing import Timing

WATCHER_COUNT = 2
# Seconds. Keepers repeat their reports, and joining hosts their requests, with
# each heartbeat.
_REPORT_LIFE = 1.0
_ABSENT_AFTER = 60.0


class MemberReport(msgspec.Struct, frozen=True):
    """Statement of a member about the state that it knows.

    Parameters
    ----------
    revision : Revision
        Newest assignment that the member knows.
    counting : bool
        Whether the member counts towards a majority.
    store_age : float or None
        Age of the store read that the member passes on.
    store_revision : Revision
        Revision found by that read.
    store_unavailable : bool
        Whether the member's own last call to the store failed.
    """

    revision: Revision
    counting: bool
    store_age: float | None = None
    store_revision: Revision = NO_REVISION
    store_unavailable: bool = False


class AssignmentChange(msgspec.Struct, frozen=True):
    """A change to be written by compare-and-swap.

    Parameters
    ----------
    assignment : Assignment
        Next version.
    expected : Revision
        Revision on which it is based.
    """

    assignment: Assignment
    expected: Revision


def _list_pins(
    text: Text, eligible: Mapping[ServiceName, list[UpstreamName]]
) -> dict[ShardKey, UpstreamName]:
    """Return the pins to upstreams that are eligible now."""
    return {
        ShardKey(ServiceName(service.name), Shard(pin.shard)): UpstreamName(
            pin.upstream
        )
        for service in text.services
        for pin in service.pins
        if pin.upstream in eligible[ServiceName(service.name)]
    }


class DataCentreView:
    """State and decisions of one keeper about its data centre.

    Parameters
    ----------
    host : HostName
        Host of the keeper.
    data_centre : DataCentre
        Data centre of the keeper.
    member : Member
        Addresses of the keeper.
    timing : Timing
        Durations shared by all hosts.
    liveness : Liveness
        Liveness of peers by link address.
    now : float
        Monotonic time at the start of the process.
    """

    def __init__(
        self,
        host: HostName,
        data_centre: DataCentre,
        member: Member,
        timing: Timing,
        liveness: Liveness,
        now: float,
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.text: Text | None = None
        self.assignment = EMPTY_ASSIGNMENT
        self.revision = NO_REVISION
        self.leaving = False
        self.store_unavailable = False
        self._hosts_without_store: set[HostName] = set()
        self.authority = Authority(host, timing.proof_life)
        self.tracker = ReleaseTracker(host)
        self._member = member
        self._timing = timing
        self._liveness = liveness
        self._started_at = now
        self._joiners: dict[HostName, tuple[float, Member]] = {}
        self._reports: dict[UpstreamName, tuple[float, UpstreamReport]] = {}

    # Updates

    def apply_configuration(self, text: Text) -> None:
        """Apply a new configuration."""
        self.text = text
        self._follow_releases()

    def apply_assignment(
        self, assignment: Assignment, revision: Revision
    ) -> None:
        """Apply an assignment; an older one is ignored."""
        if revision <= self.revision:
            return
        self.assignment = assignment
        self.revision = revision
        self._follow_releases()

    def _follow_releases(self) -> None:
        longest = {}
        for key in self.assignment.list_releasing():
            service = self._find_service(key.service)
            if service is not None and not service.checks_orders:
                longest[key] = service.find_longest_deadline()
        self.tracker.follow(self.revision, self.assignment, longest)

    def _find_service(self, name: ServiceName) -> Service | None:
        return None if self.text is None else self.text.find_service(name)

    def note_member_report(
        self,
        host: HostName,
        asked_at: float,
        member_report: MemberReport,
        now: float,
    ) -> None:
        """Record the answer of a member to a request sent at ``asked_at``."""
        self.authority.note_member(
            host, asked_at, member_report.revision, member_report.counting
        )
        if member_report.store_unavailable:
            self._hosts_without_store.add(host)
        else:
            self._hosts_without_store.discard(host)
        if member_report.store_age is not None:
            # The request was sent before the answer was created, so this
            # time is never later than the read itself.
            self.authority.note_store(
                asked_at - member_report.store_age,
                member_report.store_revision,
            )
        self.tracker.note_member(
            now,
            host,
            member_report.revision,
            member_report.counting,
            self.assignment.members,
        )

    def note_joiner(self, host: HostName, member: Member, now: float) -> None:
        """Record that a keeper of this data centre asks to join."""
        self._joiners[host] = (now, member)

    def note_report(self, report: UpstreamReport, now: float) -> None:
        """Record a keeper's report about its upstream."""
        self._reports[report.upstream] = (now, report)

    def make_member_report(self, now: float) -> MemberReport:
        """Return this keeper's statement about the state that it knows."""
        return MemberReport(
            self.revision,
            self.authority.counting,
            self.authority.store_age(now),
            self.authority.store_revision(),
            self.store_unavailable,
        )

    # Decisions

    def renew(self, now: float) -> Authorization:
        """Return the current assignment and how long it may be acted on."""
        until = self.authority.renew_proof(
            now, self.revision, self.assignment.members
        )
        self.tracker.note_member(
            now,
            self.host,
            self.revision,
            self.authority.counting,
            self.assignment.members,
        )
        return Authorization(self.assignment, until)

    def has_heard_peers(self, now: float) -> bool:
        """Return whether every running peer has had time to answer."""
        return now - self._started_at >= self._timing.silence

    def list_alive(self, now: float) -> list[HostName]:
        """Return live members that are not leaving, including this one."""
        alive = []
        for host, member in self.assignment.members.items():
            if host == self.host:
                if not self.leaving:
                    alive.append(host)
                continue
            state = self._liveness.find_state(member.link, now)
            if state is PeerState.ALIVE:
                alive.append(host)
        return alive

    def _list_with_store(self, now: float) -> list[HostName]:
        """Return the live members that can reach the store.

        If none can, all live members are returned, as any of them may be
        the first to reach it again.
        """
        alive = self.list_alive(now)
        without_store = self._hosts_without_store | (
            {self.host} if self.store_unavailable else set()
        )
        return [host for host in alive if host not in without_store] or alive

    def list_links(self) -> set[LinkAddress]:
        """Return the link addresses of all members."""
        return {member.link for member in self.assignment.members.values()}

    def is_watching(self, now: float) -> bool:
        """Return whether this keeper watches the store for the members."""
        if self.host not in self.assignment.members or self.store_unavailable:
            return True
        ranked = rank_candidates("watch", self._list_with_store(now))
        return self.host in ranked[:WATCHER_COUNT]

    def find_assigner(self, now: float) -> HostName | None:
        """Return the member that changes the assignment."""
        return choose_candidate("assigner", self._list_with_store(now))

    def list_kept(
        self, now: float
    ) -> dict[UpstreamName, tuple[Service, Upstream]]:
        """Return the upstreams that this keeper is responsible for."""
        if self.text is None or self.leaving or not self.has_heard_peers(now):
            return {}
        alive = self.list_alive(now)
        return {
            UpstreamName(upstream.name): (service, upstream)
            for service in self.text.services
            for upstream in service.upstreams
            if upstream.data_centre == self.data_centre
            and choose_candidate(upstream.name, alive) == self.host
        }

    def outranks(
        self, orderer: str, upstream: UpstreamName, now: float
    ) -> bool:
        """Return whether another keeper takes precedence over this one.

        A keeper that seems lost retains its precedence until its grants
        have expired, since it may be alive but unreachable from this host.
        """
        host = HostName(orderer.partition("/")[0])
        member = self.assignment.members.get(host)
        if member is None or host == self.host:
            return False
        state = self._liveness.find_state(member.link, now)
        if state is PeerState.LEAVING:
            return False
        return choose_candidate(upstream, [host, self.host]) == host

    def plan(self, now: float, change_id: ChangeId) -> AssignmentChange | None:
        """Return the change that this keeper has to write now, or None."""
        if not self.has_heard_peers(now) or self.leaving:
            return None
        if self.revision and self.find_assigner(now) != self.host:
            return None
        if not self.revision and not self._may_create_record(now):
            return None
        changed = plan_change(
            self.assignment, self._make_planning_input(now), change_id
        )
        return (
            None
            if changed is None
            else AssignmentChange(changed, self.revision)
        )

    def _may_create_record(self, now: float) -> bool:
        """Return whether the data centre certainly has no record yet."""
        age = self.authority.store_age(now)
        return age is not None and not self.authority.store_revision()

    def _list_reports(self, now: float) -> Iterable[UpstreamReport]:
        for at, report in self._reports.values():
            if now - at < _REPORT_LIFE:
                yield report

    def _make_planning_input(self, now: float) -> PlanningInput:
        text = self.text or Text(self.data_centre, (), (), ())
        lost: dict[ShardKey, Epoch] = {}
        for report in self._list_reports(now):
            lost.update(report.lost)
            self._record_confirmations(report)
        eligible, active = self._list_eligible(text, now)
        owners = {each.upstream for each in self.assignment.shards.values()}
        return PlanningInput(
            wanted=self._list_required_shards(text),
            eligible=eligible,
            evicted=owners - active,
            lost=lost,
            stopped=self.tracker.list_stopped(
                now, self._timing.sum_takeover_wait
            ),
            pins=_list_pins(text, eligible),
            joiners=self._list_joiners(now),
            absent=self._list_absent(now),
            member_list_known=self.authority.is_known(
                self.revision, self.assignment.members
            ),
        )

    def _record_confirmations(self, report: UpstreamReport) -> None:
        for key, epoch in report.released.items():
            owner = self.assignment.find_owner(key)
            if owner is not None and owner.upstream == report.upstream:
                self.tracker.confirm(key, epoch)

    def _list_required_shards(
        self, text: Text
    ) -> dict[ServiceName, list[ShardKey]]:
        return {
            ServiceName(service.name): [
                ShardKey(ServiceName(service.name), shard)
                for shard in list_shards(
                    self.data_centre, service.homes, service.shards
                )
            ]
            for service in text.services
            if service.keyed
        }

    def _list_eligible(
        self, text: Text, now: float
    ) -> tuple[dict[ServiceName, list[UpstreamName]], set[UpstreamName]]:
        """Return upstreams that may get shards, and all that may keep theirs.

        Lost upstreams get no shards, but are not evicted: their shards are
        released as lost.
        """
        lost = {
            report.upstream
            for report in self._list_reports(now)
            if not report.alive
        }
        active = {
            ServiceName(service.name): [
                UpstreamName(upstream.name)
                for upstream in service.upstreams
                if upstream.data_centre == self.data_centre
                and upstream.state is UpstreamState.ACTIVE
            ]
            for service in text.services
        }
        eligible = {
            service: [name for name in names if name not in lost]
            for service, names in active.items()
        }
        return eligible, {name for names in active.values() for name in names}

    def _list_joiners(self, now: float) -> dict[HostName, Member]:
        joiners = {
            host: member
            for host, (at, member) in self._joiners.items()
            if now - at < _REPORT_LIFE
        }
        joiners[self.host] = self._member
        return joiners

    def _list_absent(self, now: float) -> set[HostName]:
        if now - self._started_at <= _ABSENT_AFTER:
            return set()
        return {
            host
            for host, member in self.assignment.members.items()
            if host != self.host
            and self._liveness.measure_silence(member.link, now)
            > _ABSENT_AFTER
        }
