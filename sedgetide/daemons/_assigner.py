"""The assigner's duty of a keeper: keep the assignment right."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import logging
import uuid

import gevent
import msgspec

from sedgetide.backends.store import Store
from sedgetide.coding.messages import Report
from sedgetide.core.assignment import Assignment
from sedgetide.core.assignment import Member
from sedgetide.core.assignment import ShardKey
from sedgetide.core.handover import ReleaseTracker
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import HostName
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.keyspace import list_shards
from sedgetide.core.planning import plan_change
from sedgetide.core.planning import Situation
from sedgetide.core.records import Record
from sedgetide.core.services import Text
from sedgetide.core.services import UpstreamState
from sedgetide.core.timing import Timing
from sedgetide.daemons._metrics import ASSIGNMENT_CHANGES
from sedgetide.daemons._storetask import swap_assignment

# A keeper repeats its report with each heartbeat.
_REPORT_LIFE = 1.0

_log = logging.getLogger(__name__)


class _Reported(msgspec.Struct):
    at: float
    report: Report


class Membership(msgspec.Struct, frozen=True):
    """What the assigner knows of the hosts of its data centre.

    Parameters
    ----------
    joiners : dict
        Keepers that answer but are not on the list as they are now.
    absent : frozenset
        Members silent for long.
    list_known : bool
        Whether a majority knows the present list.
    """

    joiners: Mapping[HostName, Member]
    absent: Collection[HostName]
    list_known: bool


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


class Assigner:
    """Plans changes of one data centre's assignment and writes them.

    Parameters
    ----------
    host : HostName
        Host of this keeper.
    data_centre : DataCentre
        Data centre it assigns for.
    store : Store
        Client for writes, owned by the caller.
    key : str
        Key of the assignment.
    timing : Timing
        Durations.
    take_record : callable
        Given each version found in the store.
    """

    def __init__(
        self,
        host: HostName,
        data_centre: DataCentre,
        store: Store,
        key: str,
        timing: Timing,
        take_record: Callable[[Record], None],
    ) -> None:
        self._data_centre = data_centre
        self._store = store
        self._key = key
        self._timing = timing
        self._take_record = take_record
        self._reports: dict[UpstreamName, _Reported] = {}
        self._writer: gevent.Greenlet | None = None
        self.tracker = ReleaseTracker(host)

    def note_report(self, report: Report, now: float) -> None:
        """Take in what a keeper says of its upstream."""
        self._reports[report.upstream] = _Reported(now, report)

    def list_lost(self, now: float) -> list[UpstreamName]:
        """Return upstreams with shards reported lost of late."""
        return [
            name
            for name, each in self._reports.items()
            if now - each.at < _REPORT_LIFE and each.report.lost
        ]

    def follow(
        self, revision: Revision, assignment: Assignment, text: Text
    ) -> None:
        """Take in the newest assignment."""
        longest = {}
        for key in assignment.list_releasing():
            service = text.find_service(key.service)
            if service is not None and not service.checks_orders:
                longest[key] = service.find_longest_deadline()
        self.tracker.follow(revision, assignment, longest)

    def work(
        self,
        revision: Revision,
        assignment: Assignment,
        text: Text,
        membership: Membership,
        now: float,
    ) -> None:
        """Plan the next change and begin to write it."""
        if self._writer is not None and not self._writer.dead:
            return
        situation = self._describe(assignment, text, membership, now)
        change_id = ChangeId(uuid.uuid4().hex)
        changed = plan_change(assignment, situation, change_id)
        if changed is None:
            return
        self._writer = gevent.spawn(self._write, changed, revision)

    def close(self) -> None:
        """Stop a write that is under way."""
        if self._writer is not None:
            self._writer.kill()

    def _write(self, changed: Assignment, expected: Revision) -> None:
        record = swap_assignment(self._store, self._key, changed, expected)
        if record is None:
            return
        ASSIGNMENT_CHANGES.inc()
        _log.info(
            "assignment written",
            extra={
                "revision": record.revision,
                "members": len(changed.members),
                "shards": len(changed.shards),
                "releasing": len(changed.list_releasing()),
            },
        )
        self._take_record(record)

    def _describe(
        self,
        assignment: Assignment,
        text: Text,
        membership: Membership,
        now: float,
    ) -> Situation:
        lost: dict[ShardKey, Epoch] = {}
        for name, each in self._reports.items():
            if now - each.at > _REPORT_LIFE:
                continue
            lost.update(each.report.lost)
            for key, epoch in each.report.released:
                owner = assignment.find_owner(key)
                if owner is not None and owner.upstream == name:
                    self.tracker.confirm(key, epoch)
        takers, evicted = self._sort_upstreams(assignment, text, now)
        return Situation(
            wanted=self._list_wanted(text),
            takers=takers,
            evicted=evicted,
            lost=lost,
            stopped=self.tracker.list_stopped(
                now, self._timing.sum_takeover_wait
            ),
            pins=_list_pins(text, takers),
            joiners=membership.joiners,
            absent=membership.absent,
            list_known=membership.list_known,
        )

    def _list_wanted(self, text: Text) -> dict[ServiceName, list[ShardKey]]:
        wanted = {}
        for service in text.services:
            if not service.keyed:
                continue
            name = ServiceName(service.name)
            wanted[name] = [
                ShardKey(name, shard)
                for shard in list_shards(
                    self._data_centre, service.homes, service.shards
                )
            ]
        return wanted

    def _sort_upstreams(
        self, assignment: Assignment, text: Text, now: float
    ) -> tuple[dict[ServiceName, list[UpstreamName]], set[UpstreamName]]:
        lost = set(self.list_lost(now))
        takers: dict[ServiceName, list[UpstreamName]] = {}
        listed = set()
        for service in text.services:
            names = []
            for upstream in service.upstreams:
                if upstream.data_centre != self._data_centre:
                    continue
                if upstream.state is not UpstreamState.ACTIVE:
                    continue
                listed.add(upstream.name)
                if upstream.name not in lost:
                    names.append(UpstreamName(upstream.name))
            takers[ServiceName(service.name)] = names
        owners = {each.upstream for each in assignment.shards.values()}
        return takers, {name for name in owners if name not in listed}
