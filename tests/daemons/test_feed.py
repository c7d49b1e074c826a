"""Tests of the feed from the leader to the other hosts."""

import testtools

from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.backends.eras import EraTracker
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.messages import StoreFeed
from sedgetide.core.history import Position
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._feed import FEED_TIMEOUT
from sedgetide.daemons._feed import FeedPublisher
from sedgetide.daemons._feed import FeedReceiver

LINK = "10.0.0.2:1"


def at(revision, era=0):
    """Return a position in the store's history."""
    return Position(era, revision)


class FakeRegistry(RegistryDialect):
    """Registry in which every key is an upstream."""

    def list_prefixes(self):
        return ("",)

    def read(self, key, value):
        if value is None:
            return UpstreamWithdrawn(key)
        return RegisteredUpstream(key, "maps", "a", "dc")


class FeedTest(testtools.TestCase):
    """Base class with a leader and a host."""

    def setUp(self):
        super().setUp()
        self.leader = DeploymentState(FakeRegistry())
        self.host = DeploymentState(FakeRegistry())
        self.eras = EraTracker()
        self.receiver = FeedReceiver(self.host, self.eras)
        self.sent = []
        self.publisher = FeedPublisher(
            self.leader, lambda _, message: self.sent.append(message)
        )

    def update_leader(self, revision, key, value=b"x", now=100.0):
        self.leader.apply_items([Item(key, at(revision), value)], now)
        self.leader.record_sync(at(revision), now)

    def report(self, now):
        self.publisher.note_report(LINK, self.host.as_of, now)

    def deliver(self, now):
        messages, self.sent = self.sent, []
        for message in messages:
            self.receiver.handle_feed(message, now)

    def list_names(self):
        entries = self.host.directory.list_active("maps")
        return sorted(entry.name for entry in entries)


class TestFeed(FeedTest):
    """Hosts receive all changes from the leader, without gaps."""

    def test_host_gets_what_it_lacks(self):
        self.update_leader(5, "u-1")
        self.update_leader(6, "u-2")
        self.report(100.1)
        self.deliver(100.1)
        self.assertEqual(["u-1", "u-2"], self.list_names())
        self.assertEqual(at(6), self.host.as_of)
        self.assertTrue(self.receiver.is_fresh(100.2))

    def test_host_learns_how_many_there_are(self):
        # The retry budget is divided among all hosts. A host that is
        # partitioned from the leader keeps using its share, so it still has
        # to be counted.
        self.update_leader(5, "u-1")
        self.publisher.note_report("10.0.0.3:1", at(0), 100.0)
        self.report(100.0)
        self.deliver(100.0)
        self.assertEqual(3, self.host.hosts)
        self.assertEqual(3, self.leader.hosts)
        self.publisher.publish(104.0)
        self.report(104.0)
        self.deliver(104.0)
        self.assertEqual(3, self.host.hosts)

    def test_many_small_items_are_fed(self):
        # At startup the entries of all upstreams change. Together they are
        # larger than a large item, but shouldn't make each host list the
        # store.
        for number in range(1, 300):
            self.update_leader(number, f"u-{number}", b"x" * 200)
        self.report(100.0)
        self.deliver(100.0)
        self.assertTrue(self.receiver.is_fresh(100.0))

    def feed_versions(self, *values):
        for revision, value in enumerate(values, 5):
            self.update_leader(revision, "u-1", value)
            self.publisher.publish(100.0)

    def test_change_of_a_long_item_is_sent_as_a_patch(self):
        value = bytes(range(256)) * 20
        changed = value[:2000] + b"moved" + value[2005:]
        self.report(100.0)
        self.feed_versions(value, changed)
        first, second = self.sent
        self.assertEqual([], second.items)
        self.assertLess(len(second.patches[0].data), 200)
        self.deliver(100.0)
        self.assertEqual(changed, self.host.find_item("u-1").value)

    def test_patch_of_an_unknown_version_sends_the_host_to_the_store(self):
        # The leader assumes a newer version than the host has. Applied to the
        # older one, the patch would produce a table that was never written.
        value = bytes(range(256)) * 20
        self.report(100.0)
        self.feed_versions(value, value + b"a")
        first, second = self.sent
        self.host.apply_items([Item("u-1", at(4), value)], 100.0)
        self.host.record_sync(at(5), 100.0)
        self.sent = [second]
        self.deliver(100.0)
        self.assertEqual(4, self.host.find_item("u-1").position.revision)
        self.assertEqual(at(5), self.host.as_of)
        self.assertFalse(self.receiver.is_fresh(100.0))

    def test_changes_are_pushed_once(self):
        self.report(100.0)
        self.deliver(100.0)
        self.update_leader(5, "u-1")
        self.publisher.publish(100.1)
        self.publisher.publish(100.2)
        self.assertEqual(1, len(self.sent))

    def test_lost_message_leaves_no_gap(self):
        # A message is lost and the next one arrives. If the host applied it,
        # it would count as synced without ever learning of u-1.
        self.report(100.0)
        self.deliver(100.0)
        self.update_leader(5, "u-1")
        self.publisher.publish(100.1)
        self.sent.clear()
        self.update_leader(6, "u-2")
        self.publisher.publish(100.2)
        self.deliver(100.2)
        self.assertEqual([], self.list_names())
        self.assertEqual(at(0), self.host.as_of)
        self.report(100.4)
        self.deliver(100.4)
        self.assertEqual(["u-1", "u-2"], self.list_names())

    def test_removal_is_passed_on(self):
        self.update_leader(5, "u-1")
        self.report(100.0)
        self.deliver(100.0)
        self.update_leader(7, "u-1", None)
        self.publisher.publish(100.1)
        self.deliver(100.1)
        self.assertEqual([], self.list_names())

    def test_late_message_does_not_revert_the_host(self):
        self.update_leader(5, "u-1")
        self.report(100.0)
        old = list(self.sent)
        self.deliver(100.0)
        self.update_leader(7, "u-1", None)
        self.publisher.publish(100.1)
        self.deliver(100.1)
        self.sent = old
        self.deliver(100.2)
        self.assertEqual([], self.list_names())
        self.assertEqual(at(7), self.host.as_of)

    def test_silence_ends_the_feed(self):
        # The leader is lost or partitioned, so the host watches again.
        self.report(100.0)
        self.update_leader(5, "u-1")
        self.publisher.publish(100.0)
        self.deliver(100.0)
        self.assertFalse(self.receiver.is_fresh(100.0 + FEED_TIMEOUT))

    def test_leader_without_store_contact_sends_no_feed(self):
        # The leader's own watch is stuck. If it kept sending messages, no
        # host would call the store itself.
        self.update_leader(5, "u-1")
        self.report(110.0)
        self.assertEqual([], self.sent)

    def test_resigning_leader_ends_the_feed(self):
        self.update_leader(5, "u-1")
        self.report(100.0)
        self.deliver(100.0)
        self.publisher.end()
        self.deliver(100.1)
        self.assertFalse(self.receiver.is_fresh(100.1))

    def test_large_item_is_left_to_the_store(self):
        # The operators add 1,400 routes. The leader's link takes a tenth of a
        # second for one copy: sending one to each of ninety hosts would
        # delay orders and other changes for seconds. Each host is referred
        # to the store instead, which can serve them all.
        self.report(100.0)
        self.deliver(100.0)
        self.update_leader(5, "u-1", b"x" * 140_000)
        self.publisher.publish(100.1)
        self.assertEqual([[]], [each.items for each in self.sent])
        self.deliver(100.1)
        self.assertFalse(self.receiver.is_fresh(100.1))
        self.assertEqual(at(0), self.host.as_of)

    def test_host_refused_by_the_store_gets_the_large_item(self):
        # The store refuses two of the hosts, which therefore can't read the
        # large policy there. Until they have it they would receive no other
        # changes either, and would send requests to former owners.
        other = "10.0.0.3:1"
        self.update_leader(5, "u-1", b"x" * 140_000)
        for moment in (100.0, 100.4, 100.8, 101.2, 101.3):
            self.leader.record_sync(at(5), moment)
            self.report(moment)
            self.publisher.note_report(other, at(0), moment)
        large = [each for each in self.sent if each.items]
        self.assertEqual(1, len(large))
        self.leader.record_sync(at(5), 101.6)
        self.publisher.note_report(other, at(0), 101.6)
        large = [each for each in self.sent if each.items]
        self.assertEqual(2, len(large))
        self.deliver(101.6)
        self.assertEqual(["u-1"], self.list_names())

    def test_host_that_read_the_large_item_is_fed_again(self):
        self.update_leader(5, "u-1", b"x" * 1_000_000)
        self.report(100.0)
        self.deliver(100.0)
        self.assertFalse(self.receiver.is_fresh(100.0))
        self.host.record_sync(at(5), 100.1)
        self.update_leader(6, "u-2", now=100.2)
        self.report(100.3)
        self.deliver(100.3)
        self.assertTrue(self.receiver.is_fresh(100.3))
        self.assertEqual(["u-2"], self.list_names())

    def test_outage_seen_by_the_leader_protects_entries(self):
        # Registry entries expire in an outage that this host didn't notice,
        # and are written again two seconds later.
        self.update_leader(5, "u-1")
        self.report(100.0)
        self.deliver(100.0)
        self.leader.directory.note_registry_outage(101.0)
        self.update_leader(7, "u-1", None, 101.0)
        self.publisher.publish(101.0)
        self.deliver(101.0)
        self.assertEqual(["u-1"], self.list_names())


class TestEras(FeedTest):
    """The store is restored from a backup and reassigns its revisions."""

    def restore_store(self, names, now=101.0):
        """Let the leader list the store in its second era."""
        items = [Item(name, at(3, 1), b"x") for name in names]
        self.leader.apply_listing(Listing(items, at(4, 1)), now)
        self.leader.record_sync(at(4, 1), now)

    def feed_both(self):
        self.update_leader(50, "u-1")
        self.report(100.0)
        self.deliver(100.0)

    def feed_full_state(self):
        """Report until a host that doesn't read the store gets everything."""
        for moment in (101.0, 101.4, 102.2):
            self.leader.record_sync(at(4, 1), moment)
            self.report(moment)

    def test_host_of_an_earlier_era_gets_the_full_state(self):
        # Guards against hosts that wait for a revision of the former era.
        self.feed_both()
        self.restore_store(["u-1", "u-2"])
        self.feed_full_state()
        self.deliver(102.2)
        self.assertEqual(["u-1", "u-2"], self.list_names())
        self.assertEqual(at(4, 1), self.host.as_of)
        self.assertEqual(1, self.eras.newest)

    def test_former_leader_announces_the_era(self):
        # Guards against a host that the store refuses for long, and that keeps
        # reporting to the former leader.
        self.feed_both()
        self.restore_store(["u-2"])
        for moment in (101.0, 101.4, 101.8):
            self.publisher.announce_era(LINK, self.host.as_of, moment)
        self.assertEqual([], self.sent)
        self.leader.record_sync(at(4, 1), 102.1)
        self.publisher.announce_era(LINK, self.host.as_of, 102.1)
        self.deliver(102.1)
        self.assertEqual(at(4, 1), self.host.as_of)
        self.publisher.announce_era(LINK, self.host.as_of, 102.5)
        self.assertEqual([], self.sent)

    def test_host_is_referred_to_the_store_first(self):
        # Guards against a leader that sends the full state to each host.
        self.feed_both()
        self.restore_store(["u-1"])
        self.publisher.publish(101.0)
        self.assertEqual([[]], [each.items for each in self.sent])
        self.deliver(101.0)
        self.assertFalse(self.receiver.is_fresh(101.0))
        self.assertEqual(at(50), self.host.as_of)

    def test_part_of_a_later_era_is_not_applied(self):
        # Guards against a host that counts as synced with a part of the era.
        self.feed_both()
        part = StoreFeed(
            at(4, 1), at(5, 1), 0.0, 0.0, [Item("u-2", at(5, 1), b"x")]
        )
        self.receiver.handle_feed(part, 101.0)
        self.assertEqual(["u-1"], self.list_names())
        self.assertEqual(at(50), self.host.as_of)

    def test_feed_of_a_former_era_is_ignored(self):
        # Guards against applying messages of the former era, whose revisions
        # are higher.
        self.feed_both()
        items = [Item("u-2", at(3, 1), b"x")]
        self.host.apply_listing(Listing(items, at(4, 1)), 101.0)
        self.host.record_sync(at(4, 1), 101.0)
        self.update_leader(60, "u-3", now=101.0)
        self.publisher.publish(101.0)
        self.deliver(101.0)
        self.assertNotIn("u-3", self.list_names())
        self.report(101.1)
        self.assertEqual([], self.sent)
        self.assertEqual(at(4, 1), self.host.as_of)


class TestListing(testtools.TestCase):
    """A listing of the store that arrives after other changes."""

    def test_newer_entry_survives_an_older_listing(self):
        # The listing was read before u-2 registered, and arrives after the
        # feed has added it.
        known = DeploymentState(FakeRegistry())
        known.apply_items(
            [Item("u-1", at(3), b"x"), Item("u-2", at(9), b"x")], 1.0
        )
        known.apply_listing(Listing([Item("u-3", at(4), b"x")], at(5)), 2.0)
        names = [each.name for each in known.directory.list_all()]
        self.assertEqual(["u-2", "u-3"], sorted(names))

    def test_low_revision_of_a_later_era_is_applied(self):
        # Guards against ignoring a policy version, a withdrawal or a new
        # upstream.
        known = DeploymentState(FakeRegistry())
        known.apply_items([Item("u-1", at(200), b"x")], 1.0)
        known.record_sync(at(200), 1.0)
        known.apply_listing(
            Listing([Item("u-1", at(3, 1), b"x")], at(9, 1)), 2
        )
        known.record_sync(at(9, 1), 2.0)
        known.apply_items(
            [Item("u-2", at(10, 1), b"x"), Item("u-1", at(11, 1), None)], 9.0
        )
        names = [each.name for each in known.directory.list_all()]
        self.assertEqual(["u-2"], names)

    def test_high_revision_of_an_earlier_era_is_ignored(self):
        # Guards against an answer that was sent before the restore.
        known = DeploymentState(FakeRegistry())
        known.apply_listing(Listing([], at(9, 1)), 2.0)
        known.record_sync(at(9, 1), 2.0)
        known.apply_items([Item("u-1", at(200), b"x")], 3.0)
        self.assertEqual([], known.directory.list_all())
