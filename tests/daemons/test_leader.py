"""Tests of the tables that a leader writes."""

import msgspec
import testtools

from sedgetide.backends.leasestore import Write
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.ranges import decode_ranges
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.lenders import LendingHost
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.load import KeyWork
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._leader import Leader
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_ranges_key
from sedgetide.platform._orders import PlatformOrders
from sedgetide.runtime.clock import read_clock
from sedgetide.testing.leasestore import LeaseStoreModel
from tests.daemons.test_election import FakeRegistry
from tests.daemons.test_election import ModelStore

SERVICE = "maps"
LINK = LinkAddress("10.0.0.1:7")
RECORD = LeaderRecord("h-2", "x", LINK)
LEADER_KEY = make_leader_key(FIRST_ERA)
RANGES_KEY = make_ranges_key(FIRST_ERA, SERVICE)
MOVING = (
    RangeTable()
    .assign_first([("u-1", 1)])
    .begin([Move(KeyRange(0, 99), "u-2")])
)


class TestMovesOfAPredecessor(testtools.TestCase):
    """A leader begins its term after its predecessor has completed moves."""

    def setUp(self):
        super().setUp()
        self.store = ModelStore(LeaseStoreModel())
        leadership = Leadership(Durations())
        record = Write(LEADER_KEY, msgspec.json.encode(RECORD))
        term = self.store.transact(FIRST_ERA, {}, [record])
        table = Write(RANGES_KEY, encode_ranges(MOVING))
        self.store.transact(FIRST_ERA, {}, [table])
        leadership.begin(term, read_clock(), read_clock())
        self.deployment = DeploymentState(FakeRegistry())
        for number, name in enumerate(("u-1", "u-2")):
            entry = RegisteredUpstream(name, SERVICE, f"a-{number}", "dc")
            self.deployment.directory.put(entry, read_clock())
        listing = self.store.list("")
        self.deployment.apply_listing(listing, read_clock())
        self.leader = Leader(
            self.store,
            self.deployment,
            PlatformOrders(),
            Election(
                self.store, RECORD, leadership, self.deployment, Durations()
            ),
            leadership,
            Durations(),
            lambda *_: None,
            LendingHost(LINK, DataCentre("dc")),
            PathMonitor(self.deployment.directory, None),
        )
        self.leader._begin_term(term)
        self.addCleanup(lambda: self.leader._executor.close())

    def test_load_of_an_earlier_term_is_forgotten(self):
        # Guards against a leader that is elected again and takes the time in
        # which others led for one without requests.
        report = LoadReport([KeyWork(SERVICE, 5, 0.2)], [])
        now = read_clock()
        self.leader.note_report(report, None, now - 60.0)
        self.leader._begin_term(NO_POSITION)
        self.leader.note_report(report, None, now)
        estimates = self.leader._load_tracker.list_estimates(SERVICE, now)
        rates = [each.rates[5] for each in estimates]
        self.assertGreater(min(rates), 0.9 * max(rates))

    def test_load_is_not_estimated_while_a_hold_has_to_expire(self):
        # Guards against a leader that spends up to a tenth of a second in
        # each tick, for seconds, on the load of keys that can't move.
        self.deployment.directory.remove("u-1", read_clock())
        self.deployment.directory.expire(read_clock() + 60.0)
        tracker = self.leader._load_tracker
        asked = []
        tracker.list_estimates = lambda *args: asked.append(args) or []
        table = MOVING.complete(MOVING.list_moving())
        moving = table.begin([Move(table.find(100).keys, "u-2")])
        self.assertIs(moving, self.compute_next(moving))
        self.assertEqual([], asked)
        self.assertIsNot(table, self.compute_next(table))
        self.assertEqual(1, len(asked))

    def compute_next(self, table):
        return self.leader._compute_next_table(
            SERVICE, table, False, read_clock()
        )

    def test_completed_moves_that_the_record_lacks_are_written(self):
        # Guards against hosts that missed the notice of the former leader,
        # or have started since, and refuse callers of a range that they
        # consider moving until another move begins.
        (tenure,) = MOVING.list_moving()
        self.deployment.complete_moves(SERVICE, [tenure.move_id], read_clock())
        self.leader._update_service(SERVICE, False, read_clock())
        written = decode_ranges(self.store.read(RANGES_KEY).value)
        self.assertEqual([], written.list_moving())
        self.assertEqual("u-2", written.find(0).owner)
