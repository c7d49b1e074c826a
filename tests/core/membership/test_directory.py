"""Tests of which registered upstreams are believed in."""

import testtools

from sedgetide.core.membership.directory import Directory
from sedgetide.core.membership.directory import RegisteredUpstream


def make_upstream(name, leaving=False):
    return RegisteredUpstream(name, "maps", "10.0.0.1:80", "dc", 2, leaving)


class TestDirectory(testtools.TestCase):
    """Entries come, announce their end, and disappear."""

    def setUp(self):
        super().setUp()
        self.directory = Directory(grace=2.0)
        self.directory.put(make_upstream("u-1"), 100.0)
        self.directory.put(make_upstream("u-2"), 100.0)

    def list_names(self):
        return [each.name for each in self.directory.list_active("maps")]

    def test_leaver_gets_nothing_new(self):
        self.directory.put(make_upstream("u-1", leaving=True), 101.0)
        self.assertEqual(["u-2"], self.list_names())
        self.assertIsNotNone(self.directory.find("u-1"))

    def test_disappeared_entry_is_gone_at_once_in_calm_times(self):
        self.directory.remove("u-1", 101.0)
        self.assertEqual(["u-2"], self.list_names())

    def test_entry_that_lapsed_in_an_outage_stays(self):
        # The store was away, no upstream could renew its entry, and the
        # store shows them all as gone when it is back. Believed at once,
        # every key would lose its owner though all owners are well.
        self.directory.note_disturbance(110.0)
        self.directory.remove("u-1", 110.1)
        self.directory.remove("u-2", 110.1)
        self.assertEqual(["u-1", "u-2"], self.list_names())
        self.directory.put(make_upstream("u-1"), 111.0)
        self.assertTrue(self.directory.expire(112.1))
        self.assertEqual(["u-1"], self.list_names())

    def test_announced_end_needs_no_grace(self):
        self.directory.put(make_upstream("u-1", leaving=True), 109.0)
        self.directory.note_disturbance(110.0)
        self.directory.remove("u-1", 110.1)
        self.assertIsNone(self.directory.find("u-1"))

    def test_whole_registry_replaces_what_was_known(self):
        self.directory.replace([make_upstream("u-3")], 120.0)
        self.assertEqual(["u-3"], self.list_names())

    def test_address_given_to_another(self):
        # The owner crashed; its keys wait until its grant has run out. Its
        # address is given to another service's upstream meanwhile, which
        # proves that its process has ended.
        address = "10.0.0.1:80"
        self.directory.remove("u-1", 101.0)
        self.directory.remove("u-2", 101.0)
        self.assertFalse(self.directory.has_successor("u-1", address))
        self.directory.put(make_upstream("u-9"), 103.0)
        self.assertTrue(self.directory.has_successor("u-1", address))

    def test_present_owner_has_no_successor(self):
        self.assertFalse(self.directory.has_successor("u-1", "10.0.0.1:80"))
