"""Tests of how the store's era is parsed from response headers."""

import testtools

from sedgetide.core.history import FIRST_ERA
from sedgetide.platform._storeeras import LAST_ERA
from sedgetide.platform._storeeras import read_era


class TestEra(testtools.TestCase):
    """Headers of the store's responses."""

    def test_era_with_and_without_the_prefix(self):
        for name in ("Store-Era", "store-era", "Sedgetide-Store-Era"):
            self.assertEqual(7, read_era([("Host", "x"), (name, "7")]))

    def test_answer_without_an_era(self):
        self.assertEqual(FIRST_ERA, read_era([("Content-Type", "x")]))

    def test_era_that_is_named_twice(self):
        self.assertEqual(4, read_era([("Store-Era", "4"), ("Store-Era", "4")]))
        self.assertEqual(4, read_era([("Store-Era", "4, 4")]))

    def test_era_that_can_not_be_read_is_an_error(self):
        # Guards against guessing the era of a response.
        for value in (
            "",
            "x",
            "-1",
            "1.5",
            "4, 5",
            "\u0661",
            str(LAST_ERA + 1),
            "9" * 5000,
        ):
            self.assertRaises(ValueError, read_era, [("Store-Era", value)])
        self.assertRaises(
            ValueError,
            read_era,
            [("Store-Era", "4"), ("Sedgetide-Store-Era", "5")],
        )
