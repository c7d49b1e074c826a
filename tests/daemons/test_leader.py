"""Tests of the tables that a leader writes."""

import types

import gevent
import msgspec
import testtools

from sedgetide.backends.leasestore import Write
from sedgetide.coding.messages import HeldKeys
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import ServiceHolds
from sedgetide.coding.ranges import decode_ranges
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
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
OTHER_LINK = LinkAddress("10.0.0.4:7")
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

    def test_successor_that_is_not_registered_is_kept(self):
        # Guards against a holder whose address is forgotten while its grants
        # are tried, so that it can't be asked to release them.
        self.leader._clients.update_entries(
            self.deployment.directory, read_clock()
        )
        self.deployment.policy = types.SimpleNamespace(
            list_keyed=lambda: [SERVICE]
        )
        self.deployment.directory.remove("u-2", read_clock())
        self.deployment.directory.expire(read_clock() + 60.0)
        self.leader._forget_departed(read_clock())
        self.assertIsNotNone(self.leader._clients.find("u-2"))

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


def list_holds(*holds):
    """Return a report about the holds of the leader of era 5."""
    term = Position(Era(5), 30)
    keys = [HeldKeys(*each, 5.0) for each in holds]
    return HoldsReport(term, term, {SERVICE: ServiceHolds(0.0, keys)})


class TestFirstTableOfAnEra(testtools.TestCase):
    """The store was restored; connections to all upstreams are refused."""

    def setUp(self):
        super().setUp()
        self.store = ModelStore(LeaseStoreModel(era=Era(6)))
        self.key = make_ranges_key(Era(6), SERVICE)
        self.sent = []
        self.deployment = DeploymentState(FakeRegistry())
        for name in ("u-1", "u-2"):
            address = "127.0.0.1:1"
            entry = RegisteredUpstream(name, SERVICE, address, "dc")
            self.deployment.directory.put(entry, read_clock())
        former = RangeTable().assign_first([("u-1", 1), ("u-2", 1)])
        self.deployment.update_table(
            SERVICE, former, Position(Era(5), 40), read_clock()
        )
        self.leadership = Leadership(Durations())
        self.leader = self.make_leader()
        self.addCleanup(lambda: self.leader._executor.close())
        self.addCleanup(lambda: self.leader._recovery.close())

    def make_leader(self):
        return Leader(
            self.store,
            self.deployment,
            PlatformOrders(),
            Election(
                self.store,
                RECORD,
                self.leadership,
                self.deployment,
                Durations(),
            ),
            self.leadership,
            Durations(),
            lambda link, message: self.sent.append((link, message)),
            LendingHost(LINK, DataCentre("dc")),
            PathMonitor(self.deployment.directory, None),
        )

    def lead(self):
        """Begin a term that began a second ago."""
        key = make_leader_key(Era(6))
        record = Write(key, msgspec.json.encode(RECORD))
        term = self.store.transact(Era(6), {}, [record])
        now = read_clock()
        self.leadership.begin(term, now, now - 1.0)
        self.leader._begin_term(term)
        self.leader._clients.update_entries(self.deployment.directory, now)

    def handle_holds(self, *holds):
        """Take a report whose leader another host knows as the last one."""
        report = list_holds(*holds)
        load = LoadReport([], [], read_leader=report.term)
        self.leader.note_report(load, OTHER_LINK, read_clock())
        self.leader.handle_holds(report, LINK, read_clock())

    def find_table(self, seconds):
        """Return the first table; None if none is written in time."""
        with gevent.Timeout(seconds, False):
            while self.store.read(self.key) is None:
                now = read_clock()
                self.leadership.note_read(self.leadership.term, now)
                self.leader._update_service(SERVICE, False, now)
                gevent.sleep(0.05)
            return decode_ranges(self.store.read(self.key).value)
        return None

    def test_nothing_is_granted_without_a_report(self):
        # Guards against two owners of a key: a refused connection doesn't
        # show that an upstream has ended.
        self.lead()
        self.assertIsNone(self.find_table(1.2))

    def test_keys_that_may_be_held_stay_with_their_holders(self):
        self.lead()
        self.handle_holds(("u-2", 100, 199), ("u-9", 200, 299))
        table = self.find_table(5.0)
        self.assertEqual(
            ["u-1", "u-2", "u-9", "u-1"],
            [table.find(key).owner for key in (99, 100, 299, 300)],
        )
        self.assertEqual({table.fence}, {each.fence for each in table.tenures})

    def test_keys_of_a_holder_that_is_not_registered_move(self):
        # Guards against keys that nobody renews: the holder has ended, or
        # is cut off from the store for long.
        self.lead()
        self.handle_holds(("u-9", 200, 299))
        table = self.find_table(5.0)
        (moving,) = self.leader._compute_next_table(
            SERVICE, table, False, read_clock()
        ).list_moving()
        self.assertEqual(("u-9", 200), (moving.owner, moving.low))
        now = read_clock()
        term = self.leader._executor.term
        self.assertFalse(term.has_ended("u-9", moving.keys, now, now, SERVICE))
        self.assertTrue(
            term.has_ended("u-9", moving.keys, now, now + 5.0, SERVICE)
        )

    def test_held_keys_stay_although_no_table_is_known(self):
        # Guards against two owners of a key when the backup is older than
        # the first table, and no host of the new era has seen it.
        self.deployment = DeploymentState(FakeRegistry())
        entry = RegisteredUpstream("u-1", SERVICE, "127.0.0.1:1", "dc")
        self.deployment.directory.put(entry, read_clock())
        self.leader = self.make_leader()
        self.lead()
        self.handle_holds(("u-9", 200, 299))
        table = self.find_table(5.0)
        self.assertEqual(
            ["u-1", "u-9", "u-1"], [each.owner for each in table.tenures]
        )

    def test_later_leader_that_a_host_knows_voids_the_report(self):
        # Guards against two owners of a key that the later leader has moved.
        self.lead()
        self.handle_holds()
        report = LoadReport([], [], former_leader=Position(Era(5), 31))
        self.leader.note_report(report, None, read_clock())
        self.assertIsNone(self.find_table(1.2))

    def test_report_of_a_leader_that_no_other_host_has_seen(self):
        # Guards against two owners of a key that a later leader has moved,
        # when all hosts that knew of it have started again.
        self.lead()
        report = list_holds()
        self.leader.handle_holds(report, LINK, read_clock())
        load = LoadReport([], [], former_leader=report.term)
        self.leader.note_report(load, OTHER_LINK, read_clock())
        load = LoadReport([], [], read_leader=report.term)
        self.leader.note_report(load, LINK, read_clock())
        self.assertIsNone(self.find_table(1.2))

    def test_ledger_is_kept_after_the_term(self):
        # Guards against a leader of the next era that isn't told which keys
        # upstreams may hold.
        self.lead()
        term = self.leader._executor.term
        term.prepare_grant("u-1", KeyRange(0, 9), read_clock(), SERVICE)
        self.deployment.update_table(
            SERVICE, MOVING, Position(Era(6), 9), read_clock()
        )
        self.leadership.end()
        self.leader._begin_term(NO_POSITION)
        self.deployment.note_era(Era(7), read_clock())
        record = LeaderRecord("h-3", "y", LinkAddress("10.0.0.3:7"))
        self.deployment.note_leader(record, Position(Era(7), 3))
        self.leader._holds_reporter.run_periodic(read_clock())
        ((link, report),) = self.sent
        self.assertEqual(record.link, link)
        self.assertEqual(term.position, report.term)
        (held,) = report.services[SERVICE].holds
        self.assertEqual(("u-1", 0, 9), (held.upstream, held.low, held.high))

    def test_state_dump_shows_the_recovery(self):
        self.lead()
        self.leader._update_service(SERVICE, False, read_clock())
        recovery = self.leader.dump_state()["recovery"]
        self.assertEqual("wait", recovery[SERVICE]["action"])
