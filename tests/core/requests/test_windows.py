"""Tests of the share of an upstream that one host takes."""

import testtools

from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.core.requests.windows import Window


class TestWindow(testtools.TestCase):
    """It grows while nobody waits there and shrinks when many do."""

    def test_grows_to_a_bound(self):
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(1, 0, 2), 1.0)
        self.assertEqual(5, window.limit)

    def test_shrinks_to_one(self):
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(2, 6, 2), 1.0)
        self.assertEqual(1, window.limit)
        window.note_refusal()
        self.assertTrue(window.free)

    def test_what_others_wait_for_is_soon_forgotten(self):
        window = Window(2)
        window.note_load(UpstreamLoad(2, 4, 2), 10.0)
        self.assertEqual(4.0, window.estimate_queue(10.0))
        self.assertEqual(0.0, window.estimate_queue(11.0))
