"""Tests of operations on sets of key ranges."""

import random

import testtools

from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.rangesets import merge_ranges
from sedgetide.core.ownership.rangesets import subtract_ranges

SEED = 5
KEYS = 24


def make_ranges(source, count):
    """Return random ranges of the first keys."""
    lows = [source.randrange(KEYS) for _ in range(count)]
    return [KeyRange(low, source.randrange(low, KEYS)) for low in lows]


def list_keys(ranges):
    """Return the keys of ranges, repeated for each range."""
    return [key for each in ranges for key in range(each.low, each.high + 1)]


class TestRangeSets(testtools.TestCase):
    """The results have the same keys as sets of single keys."""

    def test_union(self):
        source = random.Random(SEED)
        for _ in range(300):
            ranges = make_ranges(source, source.randrange(6))
            merged = list_keys(merge_ranges(ranges))
            self.assertEqual(sorted(set(list_keys(ranges))), merged)

    def test_neighbours_are_joined(self):
        self.assertEqual(
            [KeyRange(0, 19)], merge_ranges([KeyRange(10, 19), KeyRange(0, 9)])
        )

    def test_difference(self):
        source = random.Random(SEED)
        for _ in range(300):
            (keys,) = make_ranges(source, 1)
            removed = make_ranges(source, source.randrange(5))
            left = set(list_keys([keys])) - set(list_keys(removed))
            self.assertEqual(
                sorted(left), list_keys(subtract_ranges(keys, removed))
            )
