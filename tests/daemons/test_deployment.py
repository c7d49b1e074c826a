"""Tests of what a host makes of the records that a copy shows."""

import msgspec
import testtools

from sedgetide.backends.dialects import EvacuationRequest
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_quarantine_key
from sedgetide.daemons._recordkeys import make_ranges_key
from tests.daemons.test_election import FakeCatalogue

SERVICE = "maps"
CENTRE = "dc"
WISH = "op/wish"
READY, LEAVING = b"ready", b"leaving"
OLD = RangeTable(3).assign_first([("u-1", 1)])
NEW = RangeTable(8).assign_first([("u-2", 1)])
FIRST = RangeTable(1 << 32).assign_first([("u-3", 1)])
LEADER = msgspec.json.encode(LeaderRecord("h-1", "x", "1.1.1.1:1"))


def make_table(era, table, read_in, revision):
    """Return a table as it is read in some era."""
    key = make_ranges_key(era, SERVICE)
    position = Position(read_in, revision)
    return Item(key, position, encode_ranges(table))


class TestReturn(testtools.TestCase):
    """The store has come back from a copy."""

    def setUp(self):
        super().setUp()
        self.known = DeploymentState(FakeCatalogue())

    def list_items(self, era, *items):
        position = Position(era, 100)
        self.known.apply_listing(Listing(list(items), position), 10.0)
        self.known.record_sync(position, 10.0)

    def test_older_table_of_the_copy_changes_nothing(self):
        # Guards against a host that sends requests where keys were before.
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(NEW, self.known.find_table(SERVICE))
        self.assertIsNone(self.known.find_table_in_era(SERVICE, 1))

    def test_table_of_the_copy_is_a_hint_to_hosts_that_start(self):
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(OLD, self.known.find_table(SERVICE))
        self.assertIsNone(self.known.find_table_in_era(SERVICE, 1))

    def test_table_of_the_era_counts_whatever_its_revision(self):
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(
            1, make_table(0, OLD, 1, 60), make_table(1, FIRST, 1, 30)
        )
        self.assertEqual(FIRST, self.known.find_table_in_era(SERVICE, 1))
        self.assertEqual(FIRST, self.known.find_table(SERVICE))

    def test_leader_of_an_earlier_era_leads_nobody(self):
        # Guards against hosts that report to it, and let nobody stand.
        record = Item(make_leader_key(0), Position(0, 5), LEADER)
        self.list_items(0, record)
        self.known.note_era(1, 9.0)
        self.assertIsNone(self.known.leader)
        self.assertFalse(self.known.has_listed_era)
        self.list_items(1, Item(make_leader_key(0), Position(1, 5), LEADER))
        self.assertIsNone(self.known.leader)
        self.assertTrue(self.known.has_listed_era)
        gone = Item(make_leader_key(0), Position(1, 102), None)
        found = Item(make_leader_key(1), Position(1, 101), LEADER)
        self.known.apply_items([found, gone], 11.0)
        self.assertEqual("h-1", self.known.leader.record.host)

    def test_quarantine_is_to_be_written_again(self):
        # Guards against stays that are forgotten with the next loss of all.
        record = Item(make_quarantine_key(0), Position(0, 5), b"{}")
        self.list_items(0, record)
        self.known.note_era(1, 9.0)
        position = self.known.recorded_quarantine.position
        self.assertEqual(NO_POSITION, position)
        self.list_items(1, Item(make_quarantine_key(0), Position(1, 5), b"{}"))
        position = self.known.recorded_quarantine.position
        self.assertEqual(NO_POSITION, position)

    def test_registry_is_whole_some_seconds_after_the_return(self):
        self.list_items(0)
        self.known.note_era(1, 9.0)
        self.list_items(1)
        self.assertEqual(11.3, self.known.find_reregistration_end())


class Registry(FakeCatalogue):
    """Upstreams whose value tells whether they leave, and a wish."""

    def read(self, key, value):
        if key == WISH:
            return EvacuationRequest(CENTRE, value is not None)
        if value is None:
            return UpstreamWithdrawn(key)
        return RegisteredUpstream(
            key, SERVICE, key, CENTRE, leaving=value == LEAVING
        )


class TestWhatTheCopyShowsUndone(testtools.TestCase):
    """Operators and upstreams wrote it, and it is lost for some seconds."""

    def setUp(self):
        super().setUp()
        self.known = DeploymentState(Registry(), Evacuations(5.0))
        self.revision = 0

    def write(self, now, key, value, era=0):
        self.revision += 1
        position = Position(era, self.revision)
        self.known.apply_items([Item(key, position, value)], now)
        self.known.record_sync(position, now)

    def return_from_copy(self, now, **items):
        """Let the host list what a copy shows."""
        self.revision = 3
        position = Position(1, self.revision)
        shown = [
            Item(key.replace("_", "/"), position, value)
            for key, value in items.items()
        ]
        self.known.note_era(1, now)
        self.known.apply_listing(Listing(shown, position), now)
        self.known.record_sync(position, now)

    def list_active(self):
        found = self.known.directory.list_active(SERVICE)
        return sorted(each.name for each in found)

    def test_upstream_that_leaves_is_not_ready_again(self):
        # Guards against requests to whoever has said that it leaves.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", LEAVING)
        self.return_from_copy(5.0, u1=READY)
        self.assertEqual([], self.list_active())
        self.write(6.0, "u1", READY, era=1)
        self.assertEqual([], self.list_active())
        self.assertEqual(["u1"], self.known.directory.list_announced())

    def test_upstream_that_had_gone_is_not_back(self):
        # Guards against requests to whoever took its entry away.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.return_from_copy(5.0, u1=READY)
        self.assertEqual([], self.list_active())
        self.write(6.5, "u1", None, era=1)
        self.assertIsNone(self.known.directory.find("u1"))

    def test_upstream_that_writes_its_entry_again_is_back(self):
        # Guards against one that was cut off and is left out for good.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.return_from_copy(5.0, u1=READY)
        self.write(6.0, "u1", READY, era=1)
        self.assertEqual(["u1"], self.list_active())

    def test_upstream_whose_entry_does_not_lapse_is_back(self):
        # Guards against one that lives, was missing in one copy for long,
        # stands in the next, and has no reason to change its entry.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.return_from_copy(5.0, u1=READY)
        self.known.directory.expire(8.9)
        self.assertEqual([], self.list_active())
        self.assertTrue(self.known.directory.expire(9.1))
        self.assertEqual(["u1"], self.list_active())

    def test_upstream_that_is_missing_has_two_seconds(self):
        # Guards against keys taken from all that registered lately.
        self.write(1.0, "u1", READY)
        self.return_from_copy(5.0)
        self.known.directory.expire(7.0)
        self.assertEqual(["u1"], self.list_active())
        self.known.directory.expire(7.4)
        self.assertEqual([], self.list_active())

    def test_upstream_of_the_new_era_is_taken_at_once(self):
        self.return_from_copy(5.0, u1=READY)
        self.assertEqual(["u1"], self.list_active())

    def list_evacuated(self):
        return list(self.known.directory.evacuations.list_evacuating())

    def test_evacuation_goes_on_until_it_is_written_again(self):
        # Guards against work that goes back to a data centre for a second.
        self.write(1.0, WISH, b"{}")
        self.return_from_copy(5.0)
        self.known.apply_pending_evacuations(7.0)
        self.assertEqual([CENTRE], self.list_evacuated())
        self.write(7.1, WISH, b"{}", era=1)
        self.known.apply_pending_evacuations(9.0)
        self.assertEqual([CENTRE], self.list_evacuated())

    def test_evacuation_that_was_taken_back_does_not_begin_again(self):
        # Guards against keys that leave a data centre and come back, cold.
        self.write(1.0, WISH, b"{}")
        self.write(2.0, WISH, None)
        self.return_from_copy(5.0, op_wish=b"{}")
        self.assertEqual([], self.list_evacuated())
        self.write(6.0, WISH, None, era=1)
        self.known.apply_pending_evacuations(9.0)
        self.assertEqual([], self.list_evacuated())

    def test_what_nobody_writes_again_is_taken_in_the_end(self):
        self.write(1.0, WISH, b"{}")
        self.return_from_copy(5.0)
        self.known.apply_pending_evacuations(7.4)
        self.assertEqual([], self.list_evacuated())

    def test_host_that_starts_takes_what_there_is(self):
        self.return_from_copy(5.0, op_wish=b"{}")
        self.assertEqual([CENTRE], self.list_evacuated())
