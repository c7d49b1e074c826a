"""Tests of the keys of the hosts' own records."""

import testtools

from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.daemons._recordkeys import make_quarantine_key
from sedgetide.daemons._recordkeys import make_ranges_key
from sedgetide.daemons._recordkeys import make_ranges_prefix
from sedgetide.daemons._recordkeys import parse_key


class TestRecords(testtools.TestCase):
    """One set of keys for each era."""

    def test_keys_are_read_back(self):
        for era in (0, 1, 70000):
            leader = parse_key(make_leader_key(era))
            self.assertEqual((era, True), (leader.era, leader.is_leader))
            quarantine = parse_key(make_quarantine_key(era))
            self.assertTrue(quarantine.is_quarantine)
            ranges = parse_key(make_ranges_key(era, "a/b"))
            self.assertEqual((era, "a/b"), (ranges.era, ranges.service))
            self.assertIsNone(leader.service)

    def test_eras_share_no_key(self):
        # Guards against a late write that takes effect in a later era.
        keys = {make_ranges_key(era, "eras/1/x") for era in range(3)}
        self.assertEqual(3, len(keys))
        for era in range(3):
            prefix = make_ranges_prefix(era)
            found = [key for key in keys if key.startswith(prefix)]
            self.assertEqual(1, len(found))

    def test_keys_of_other_writers_are_not_parsed(self):
        for key in ("op/config", "leader", "sedgetide/eras/x/leader"):
            self.assertIsNone(parse_key(key))
