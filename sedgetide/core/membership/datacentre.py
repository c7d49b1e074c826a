"""What one keeper knows of its data centre, and what it may do about it.

Members, who is alive, who assigns, who watches, who keeps which upstream,
and the next change of the assignment. Nothing here does I/O.
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

WATCHERS = 2
# A keeper repeats a report, and a joiner its question, with each heartbeat.
_REPORT_LIFE = 1.0
_ABSENT_AFTER = 60.0


class MemberReport(msgspec.Struct, frozen=True):
    """What a member says of its knowledge.

    Parameters
    ----------
    revision : Revision
        Newest assignment it knows of.
    counting : bool
        Whether its word counts.
    store_age : float or None
        Age of the store's word it passes on.
    store_revision : Revision
        Revision that word named.
    store_unavailable : bool
        Whether its last own call to the store failed.
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
        Revision it was made from.
    """

    assignment: Assignment
    expected: Revision


def _list_pins(
    text: Text, takers: Mapping[ServiceName, list[UpstreamName]]
) -> dict[ShardKey, UpstreamName]:
    """Return the pins to upstreams that may be given shards now."""
    return {
        ShardKey(ServiceName(service.name), Shard(pin.shard)): UpstreamName(
            pin.upstream
        )
        for service in text.services
        for pin in service.pins
        if pin.upstream in takers[ServiceName(service.name)]
    }


class DataCentreView:
    """Decisions of one keeper about its data centre.

    Parameters
    ----------
    host : HostName
        Host of the keeper.
    data_centre : DataCentre
        Its data centre.
    member : Member
        Its addresses.
    timing : Timing
        Durations.
    liveness : Liveness
        Who answers, by link address.
    now : float
        Own clock at the start of the process.
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
        self._away: set[HostName] = set()
        self.authority = Authority(host, timing.proof_life)
        self.tracker = ReleaseTracker(host)
        self._member = member
        self._timing = timing
        self._liveness = liveness
        self._started_at = now
        self._joiners: dict[HostName, tuple[float, Member]] = {}
        self._reports: dict[UpstreamName, tuple[float, UpstreamReport]] = {}

    # What is learnt

    def apply_configuration(self, text: Text) -> None:
        """Put a text in force."""
        self.text = text
        self._follow_releases()

    def take_assignment(
        self, assignment: Assignment, revision: Revision
    ) -> None:
        """Put an assignment in force; an older one changes nothing."""
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
        self, host: HostName, asked_at: float, said: MemberReport, now: float
    ) -> None:
        """Take in the answer of a member to a question of ``asked_at``."""
        self.authority.note_member(
            host, asked_at, said.revision, said.counting
        )
        if said.store_unavailable:
            self._away.add(host)
        else:
            self._away.discard(host)
        if said.store_age is not None:
            # The question was sent before the answer was made, so this is
            # never later than the read it tells of.
            self.authority.note_store(
                asked_at - said.store_age, said.store_revision
            )
        self.tracker.note_member(
            now, host, said.revision, said.counting, self.assignment.members
        )

    def note_joiner(self, host: HostName, member: Member, now: float) -> None:
        """Take in that a keeper of this data centre has asked."""
        self._joiners[host] = (now, member)

    def note_report(self, report: UpstreamReport, now: float) -> None:
        """Take in what a keeper says of its upstream."""
        self._reports[report.upstream] = (now, report)

    def make_member_report(self, now: float) -> MemberReport:
        """Return what this keeper says of its knowledge."""
        return MemberReport(
            self.revision,
            self.authority.counting,
            self.authority.store_age(now),
            self.authority.store_revision(),
            self.store_unavailable,
        )

    # What may be done

    def renew(self, now: float) -> Authorization:
        """Work out what may be acted on from now."""
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

    def is_warm(self, now: float) -> bool:
        """Tell whether every living peer has had time to answer."""
        return now - self._started_at >= self._timing.silence

    def list_alive(self, now: float) -> list[HostName]:
        """Return members that answer, with this one, without leavers."""
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

    def _list_connected(self, now: float) -> list[HostName]:
        """Return living members, without those the store is away from.

        When it is away from all, any may be the first to reach it again.
        """
        alive = self.list_alive(now)
        away = self._away | ({self.host} if self.store_unavailable else set())
        return [host for host in alive if host not in away] or alive

    def list_links(self) -> set[LinkAddress]:
        """Return the link addresses of all members."""
        return {member.link for member in self.assignment.members.values()}

    def is_watching(self, now: float) -> bool:
        """Tell whether this keeper watches the store for the others."""
        if self.host not in self.assignment.members or self.store_unavailable:
            return True
        ranked = rank_candidates("watch", self._list_connected(now))
        return self.host in ranked[:WATCHERS]

    def find_assigner(self, now: float) -> HostName | None:
        """Return the member that changes the assignment."""
        return choose_candidate("assigner", self._list_connected(now))

    def list_kept(
        self, now: float
    ) -> dict[UpstreamName, tuple[Service, Upstream]]:
        """Return the upstreams this keeper keeps."""
        if self.text is None or self.leaving or not self.is_warm(now):
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
        """Tell whether another keeper comes before this one.

        Also one that seems lost does, until its grants have run out: it
        may be alive and only out of this process's reach.
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
        """Return the change this keeper is to write now, if any."""
        if not self.is_warm(now) or self.leaving:
            return None
        if self.revision and self.find_assigner(now) != self.host:
            return None
        if not self.revision and not self._may_found(now):
            return None
        changed = plan_change(self.assignment, self._describe(now), change_id)
        return (
            None
            if changed is None
            else AssignmentChange(changed, self.revision)
        )

    def _may_found(self, now: float) -> bool:
        """Tell whether the data centre certainly has no record yet."""
        age = self.authority.store_age(now)
        return age is not None and not self.authority.store_revision()

    def _list_reports(self, now: float) -> Iterable[UpstreamReport]:
        for at, report in self._reports.values():
            if now - at < _REPORT_LIFE:
                yield report

    def _describe(self, now: float) -> PlanningInput:
        text = self.text or Text(self.data_centre, (), (), ())
        lost: dict[ShardKey, Epoch] = {}
        for report in self._list_reports(now):
            lost.update(report.lost)
            self._confirm(report)
        takers, active = self._list_takers(text, now)
        owners = {each.upstream for each in self.assignment.shards.values()}
        return PlanningInput(
            wanted=self._list_wanted(text),
            takers=takers,
            evicted=owners - active,
            lost=lost,
            stopped=self.tracker.list_stopped(
                now, self._timing.sum_takeover_wait
            ),
            pins=_list_pins(text, takers),
            joiners=self._list_joiners(now),
            absent=self._list_absent(now),
            member_list_known=self.authority.is_known(
                self.revision, self.assignment.members
            ),
        )

    def _confirm(self, report: UpstreamReport) -> None:
        for key, epoch in report.released.items():
            owner = self.assignment.find_owner(key)
            if owner is not None and owner.upstream == report.upstream:
                self.tracker.confirm(key, epoch)

    def _list_wanted(self, text: Text) -> dict[ServiceName, list[ShardKey]]:
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

    def _list_takers(
        self, text: Text, now: float
    ) -> tuple[dict[ServiceName, list[UpstreamName]], set[UpstreamName]]:
        """Return upstreams to give shards to, and all that may keep some."""
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
        takers = {
            service: [name for name in names if name not in lost]
            for service, names in active.items()
        }
        return takers, {name for names in active.values() for name in names}

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
