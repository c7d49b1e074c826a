"""Tests of what a host makes of the records that a copy shows."""

import msgspec
import testtools

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.ranges import encode_ranges
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._records import make_leader_key
from sedgetide.daemons._records import make_quarantine_key
from sedgetide.daemons._records import make_ranges_key
from tests.daemons.test_campaign import FakeCatalogue

SERVICE = "maps"
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
        self.known = Knowledge(FakeCatalogue())

    def list_items(self, era, *items):
        position = Position(era, 100)
        self.known.take_listing(Listing(list(items), position), 10.0)
        self.known.note_heard(position, 10.0)

    def test_older_table_of_the_copy_changes_nothing(self):
        # Guards against a host that sends requests where keys were before.
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(NEW, self.known.find_table(SERVICE))
        self.assertIsNone(self.known.find_table_of(SERVICE, 1))

    def test_table_of_the_copy_is_a_hint_to_hosts_that_start(self):
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(OLD, self.known.find_table(SERVICE))
        self.assertIsNone(self.known.find_table_of(SERVICE, 1))

    def test_table_of_the_era_counts_whatever_its_revision(self):
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(
            1, make_table(0, OLD, 1, 60), make_table(1, FIRST, 1, 30)
        )
        self.assertEqual(FIRST, self.known.find_table_of(SERVICE, 1))
        self.assertEqual(FIRST, self.known.find_table(SERVICE))

    def test_leader_of_an_earlier_era_leads_nobody(self):
        # Guards against hosts that report to it, and let nobody stand.
        record = Item(make_leader_key(0), Position(0, 5), LEADER)
        self.list_items(0, record)
        self.known.note_era(1, 9.0)
        self.assertIsNone(self.known.leader)
        self.assertFalse(self.known.follows_era)
        self.list_items(1, Item(make_leader_key(0), Position(1, 5), LEADER))
        self.assertIsNone(self.known.leader)
        self.assertTrue(self.known.follows_era)
        gone = Item(make_leader_key(0), Position(1, 102), None)
        found = Item(make_leader_key(1), Position(1, 101), LEADER)
        self.known.take_items([found, gone], 11.0)
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
        self.assertEqual(11.3, self.known.find_settled_at())
