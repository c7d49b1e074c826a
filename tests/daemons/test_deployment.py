"""Tests of the deployment state after the store is restored."""

import msgspec
import testtools

from sedgetide.backends.dialects import EvacuationRequest
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.backends.eras import EraTracker
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
from tests.daemons.test_election import FakeRegistry

SERVICE = "maps"
DATA_CENTRE = "dc"
EVACUATION_KEY = "op/wish"
READY, LEAVING = b"ready", b"leaving"
OLD = RangeTable(3).assign_first([("u-1", 1)])
NEW = RangeTable(8).assign_first([("u-2", 1)])
FIRST = RangeTable(1 << 32).assign_first([("u-3", 1)])
LEADER = msgspec.json.encode(LeaderRecord("h-1", "x", "1.1.1.1:1"))


def make_table(era, table, read_in, revision):
    """Return a table written in one era as read in another."""
    key = make_ranges_key(era, SERVICE)
    position = Position(read_in, revision)
    return Item(key, position, encode_ranges(table))


class TestRecordsAfterRestore(testtools.TestCase):
    """Records read after the store was restored from a backup."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(FakeRegistry())

    def list_items(self, era, *items):
        position = Position(era, 100)
        self.deployment.apply_listing(Listing(list(items), position), 10.0)
        self.deployment.record_sync(position, 10.0)

    def test_older_table_of_the_backup_changes_nothing(self):
        # Guards against requests to former owners of keys.
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(NEW, self.deployment.find_table(SERVICE))
        self.assertIsNone(self.deployment.find_table_in_era(SERVICE, 1))

    def test_table_of_the_backup_is_a_hint_to_hosts_that_start(self):
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertEqual(OLD, self.deployment.find_table(SERVICE))
        self.assertIsNone(self.deployment.find_table_in_era(SERVICE, 1))

    def test_table_of_the_new_era_is_used_whatever_its_revision(self):
        self.list_items(0, make_table(0, NEW, 0, 50))
        self.list_items(
            1, make_table(0, OLD, 1, 60), make_table(1, FIRST, 1, 30)
        )
        self.assertEqual(FIRST, self.deployment.find_table_in_era(SERVICE, 1))
        self.assertEqual(FIRST, self.deployment.find_table(SERVICE))

    def test_leader_of_an_earlier_era_is_ignored(self):
        # Guards against hosts that report to the former leader and so never
        # elect another.
        record = Item(make_leader_key(0), Position(0, 5), LEADER)
        self.list_items(0, record)
        self.deployment.note_era(1, 9.0)
        self.assertIsNone(self.deployment.leader)
        self.assertFalse(self.deployment.has_listed_era)
        self.list_items(1, Item(make_leader_key(0), Position(1, 5), LEADER))
        self.assertIsNone(self.deployment.leader)
        self.assertTrue(self.deployment.has_listed_era)
        gone = Item(make_leader_key(0), Position(1, 102), None)
        found = Item(make_leader_key(1), Position(1, 101), LEADER)
        self.deployment.apply_items([found, gone], 11.0)
        self.assertEqual("h-1", self.deployment.leader.record.host)

    def test_quarantine_has_to_be_written_again(self):
        # Guards against stays in quarantine that are lost when all hosts are
        # restarted, since they weren't written in the new era.
        record = Item(make_quarantine_key(0), Position(0, 5), b"{}")
        self.list_items(0, record)
        self.deployment.note_era(1, 9.0)
        position = self.deployment.recorded_quarantine.position
        self.assertEqual(NO_POSITION, position)
        self.list_items(1, Item(make_quarantine_key(0), Position(1, 5), b"{}"))
        position = self.deployment.recorded_quarantine.position
        self.assertEqual(NO_POSITION, position)

    def test_registrations_end_some_seconds_after_the_restore(self):
        self.list_items(0)
        self.deployment.note_era(1, 9.0)
        self.list_items(1)
        self.assertEqual(11.3, self.deployment.find_reregistration_end())

    def test_new_host_hears_of_the_era_with_its_first_listing(self):
        self.list_items(6)
        self.assertEqual(10.0, self.deployment.era_began_at)
        self.deployment.note_era(7, 15.0)
        self.assertEqual(15.0, self.deployment.era_began_at)


class TestRecordsOfEarlierEras(testtools.TestCase):
    """What tells a restore from a first start, and the last leader."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(FakeRegistry())

    def list_items(self, era, *items):
        position = Position(era, 100)
        self.deployment.apply_listing(Listing(list(items), position), 10.0)
        self.deployment.record_sync(position, 10.0)

    def has_earlier(self, era):
        return self.deployment.records.has_earlier(era)

    def test_nothing_at_the_first_start(self):
        self.list_items(6)
        self.assertFalse(self.has_earlier(6))
        self.assertEqual(NO_POSITION, self.deployment.former_leader)

    def test_host_that_has_seen_an_earlier_era(self):
        # Guards against granting all keys as at the first start, while
        # upstreams that are cut off from the store hold some: the backup is
        # older than the first record, and the era before was only seen in a
        # refused answer.
        eras = EraTracker()
        eras.subscribe(lambda era: self.deployment.note_era(era, 9.0))
        eras.note(6)
        self.assertFalse(self.has_earlier(6))
        eras.note(7)
        self.list_items(7)
        self.assertTrue(self.has_earlier(7))

    def test_former_leader_is_kept_when_an_era_begins(self):
        # Guards against using a report of a leader that had been replaced.
        self.list_items(0, Item(make_leader_key(0), Position(0, 5), LEADER))
        self.assertEqual(NO_POSITION, self.deployment.former_leader)
        self.deployment.note_era(1, 11.0)
        self.assertEqual(Position(0, 5), self.deployment.former_leader)
        self.assertEqual(Position(0, 5), self.deployment.read_leader)
        self.list_items(1, Item(make_leader_key(1), Position(1, 3), LEADER))
        self.assertEqual(Position(0, 5), self.deployment.former_leader)
        self.assertTrue(self.has_earlier(1))

    def test_removed_record_counts_as_one_of_a_later_leader(self):
        # Guards against a leader of which only the end is seen in a listing.
        self.list_items(0, Item(make_leader_key(0), Position(0, 5), LEADER))
        gone = Item(make_leader_key(0), Position(0, 102), None)
        self.deployment.apply_items([gone], 11.0)
        self.deployment.note_era(1, 12.0)
        self.assertEqual(Position(0, 102), self.deployment.former_leader)

    def test_former_leader_of_a_notice(self):
        self.list_items(0)
        record = LeaderRecord("h-2", "y", "1.1.1.2:1")
        self.deployment.note_leader(record, Position(0, 120))
        self.deployment.note_era(1, 12.0)
        self.assertEqual(Position(0, 120), self.deployment.former_leader)
        self.assertEqual(NO_POSITION, self.deployment.read_leader)

    def test_backup_shows_the_leader_to_a_host_that_starts(self):
        # Guards against taking a restore for the first start.
        self.list_items(1, Item(make_leader_key(0), Position(1, 5), LEADER))
        self.assertTrue(self.has_earlier(1))
        self.assertEqual(Position(0, 5), self.deployment.former_leader)
        self.assertEqual(NO_POSITION, self.deployment.read_leader)

    def test_backup_shows_a_table_to_a_host_that_starts(self):
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.assertTrue(self.has_earlier(1))

    def test_former_table_is_remembered_after_the_first_of_the_era(self):
        self.list_items(1, make_table(0, OLD, 1, 20))
        self.deployment.update_table(SERVICE, FIRST, Position(1, 110), 11.0)
        self.assertTrue(self.has_earlier(1))


class TestLeaderNotice(testtools.TestCase):
    """Leader's record that another host has read."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(FakeRegistry())
        items = [Item(make_leader_key(0), Position(0, 7), LEADER)]
        self.deployment.apply_listing(Listing(items, Position(0, 9)), 1.0)
        self.deployment.record_sync(Position(0, 9), 1.0)
        self.successor = LeaderRecord("h-2", "y", "1.1.1.2:1")

    def find_leader(self):
        return self.deployment.leader.record.host

    def test_newer_leader_replaces_the_known_one(self):
        # Guards against reports to a leader that has been replaced while the
        # store turned this host away.
        self.assertTrue(
            self.deployment.note_leader(self.successor, Position(0, 12))
        )
        self.assertEqual("h-2", self.find_leader())

    def test_notice_older_than_the_state_is_ignored(self):
        # Guards against a late notice that undoes what the store has said.
        for revision in (6, 7, 9):
            position = Position(0, revision)
            self.assertFalse(
                self.deployment.note_leader(self.successor, position)
            )
        self.assertEqual("h-1", self.find_leader())

    def test_older_record_does_not_replace_the_leader_of_a_notice(self):
        # Guards against reports to a former leader: the host reads late that
        # the record before the one in the notice was removed, or written.
        self.deployment.note_leader(self.successor, Position(0, 12))
        for revision, value in ((10, None), (11, LEADER)):
            item = Item(make_leader_key(0), Position(0, revision), value)
            self.deployment.apply_items([item], 2.0)
            self.assertEqual("h-2", self.find_leader())
        gone = Item(make_leader_key(0), Position(0, 13), None)
        self.deployment.apply_items([gone], 2.0)
        self.assertIsNone(self.deployment.leader)

    def test_leader_of_a_notice_ends_with_a_listing_without_it(self):
        # Guards against a host that never stands for election, because it
        # did not read the record that a later listing lacks.
        gone = Item(make_leader_key(0), Position(0, 10), None)
        self.deployment.apply_items([gone], 2.0)
        self.deployment.note_leader(self.successor, Position(0, 12))
        self.deployment.apply_listing(Listing([], Position(0, 11)), 3.0)
        self.assertEqual("h-2", self.find_leader())
        self.deployment.apply_listing(Listing([], Position(0, 20)), 3.0)
        self.assertIsNone(self.deployment.leader)

    def test_notice_of_another_era_is_ignored(self):
        # A record of an earlier era proves nothing, and a later era is
        # learnt from the store or from the feed.
        self.deployment.note_era(1, 2.0)
        self.assertFalse(
            self.deployment.note_leader(self.successor, Position(0, 12))
        )
        self.assertIsNone(self.deployment.leader)


class Registry(FakeRegistry):
    """Upstreams that are ready or leaving, and an evacuation request."""

    def read(self, key, value):
        if key == EVACUATION_KEY:
            return EvacuationRequest(DATA_CENTRE, value is not None)
        if value is None:
            return UpstreamWithdrawn(key)
        return RegisteredUpstream(
            key, SERVICE, key, DATA_CENTRE, leaving=value == LEAVING
        )


class TestWritesLostInRestore(testtools.TestCase):
    """Recent writes are missing in the backup and are written again."""

    def setUp(self):
        super().setUp()
        self.deployment = DeploymentState(Registry(), Evacuations(5.0))
        self.revision = 0

    def write(self, now, key, value, era=0):
        self.revision += 1
        position = Position(era, self.revision)
        self.deployment.apply_items([Item(key, position, value)], now)
        self.deployment.record_sync(position, now)

    def restore_store(self, now, **items):
        """Let the host list the items of a backup."""
        self.revision = 3
        position = Position(1, self.revision)
        shown = [
            Item(key.replace("_", "/"), position, value)
            for key, value in items.items()
        ]
        self.deployment.note_era(1, now)
        self.deployment.apply_listing(Listing(shown, position), now)
        self.deployment.record_sync(position, now)

    def list_active(self):
        found = self.deployment.directory.list_active(SERVICE)
        return sorted(each.name for each in found)

    def test_upstream_that_leaves_is_not_ready_again(self):
        # Guards against requests to an upstream that announced its shutdown.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", LEAVING)
        self.restore_store(5.0, u1=READY)
        self.assertEqual([], self.list_active())
        self.write(6.0, "u1", READY, era=1)
        self.assertEqual([], self.list_active())
        self.assertEqual(["u1"], self.deployment.directory.list_announced())

    def test_withdrawn_upstream_is_not_active_again(self):
        # Guards against requests to an upstream that removed its entry.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.restore_store(5.0, u1=READY)
        self.assertEqual([], self.list_active())
        self.write(6.5, "u1", None, era=1)
        self.assertIsNone(self.deployment.directory.find("u1"))

    def test_upstream_that_writes_its_entry_again_is_back(self):
        # Guards against excluding an upstream for good after a partition.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.restore_store(5.0, u1=READY)
        self.write(6.0, "u1", READY, era=1)
        self.assertEqual(["u1"], self.list_active())

    def test_upstream_whose_entry_does_not_expire_is_back(self):
        # Guards against excluding a live upstream whose entry was missing in
        # one backup, is in the next, and needn't be written again.
        self.write(1.0, "u1", READY)
        self.write(2.0, "u1", None)
        self.restore_store(5.0, u1=READY)
        self.deployment.directory.expire(8.9)
        self.assertEqual([], self.list_active())
        self.assertTrue(self.deployment.directory.expire(9.1))
        self.assertEqual(["u1"], self.list_active())

    def test_missing_upstream_is_kept_for_two_seconds(self):
        # Guards against moving the keys of all upstreams that registered
        # after the backup was made.
        self.write(1.0, "u1", READY)
        self.restore_store(5.0)
        self.deployment.directory.expire(7.0)
        self.assertEqual(["u1"], self.list_active())
        self.deployment.directory.expire(7.4)
        self.assertEqual([], self.list_active())

    def test_upstream_of_the_new_era_is_active_at_once(self):
        self.restore_store(5.0, u1=READY)
        self.assertEqual(["u1"], self.list_active())

    def list_evacuated(self):
        return list(self.deployment.directory.evacuations.list_evacuating())

    def test_evacuation_goes_on_until_it_is_written_again(self):
        # Guards against an evacuation that is interrupted for a second.
        self.write(1.0, EVACUATION_KEY, b"{}")
        self.restore_store(5.0)
        self.deployment.apply_pending_evacuations(7.0)
        self.assertEqual([DATA_CENTRE], self.list_evacuated())
        self.write(7.1, EVACUATION_KEY, b"{}", era=1)
        self.deployment.apply_pending_evacuations(9.0)
        self.assertEqual([DATA_CENTRE], self.list_evacuated())

    def test_cancelled_evacuation_does_not_start_again(self):
        # Guards against keys that leave a data centre and return to cold
        # upstreams.
        self.write(1.0, EVACUATION_KEY, b"{}")
        self.write(2.0, EVACUATION_KEY, None)
        self.restore_store(5.0, op_wish=b"{}")
        self.assertEqual([], self.list_evacuated())
        self.write(6.0, EVACUATION_KEY, None, era=1)
        self.deployment.apply_pending_evacuations(9.0)
        self.assertEqual([], self.list_evacuated())

    def test_evacuation_missing_in_the_backup_ends_after_a_while(self):
        self.write(1.0, EVACUATION_KEY, b"{}")
        self.restore_store(5.0)
        self.deployment.apply_pending_evacuations(7.4)
        self.assertEqual([], self.list_evacuated())

    def test_starting_host_applies_the_backup_at_once(self):
        self.restore_store(5.0, op_wish=b"{}")
        self.assertEqual([DATA_CENTRE], self.list_evacuated())
