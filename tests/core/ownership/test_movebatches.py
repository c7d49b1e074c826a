"""Tests of collecting completed moves for one notice."""

import testtools

from sedgetide.core.ownership.movebatches import MoveBatch
from sedgetide.core.ownership.movebatches import MoveBatcher
from sedgetide.core.ownership.ranges import Tenure

FIRST = Tenure(0, 9, "u-1", 4, "u-2")
SECOND = Tenure(10, 19, "u-1", 5, "u-3")


class TestMoveBatcher(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.batcher = MoveBatcher(0.02)

    def test_moves_wait_for_others(self):
        # Guards against a message for each move to each host.
        self.batcher.add("maps", FIRST, 5.0)
        self.batcher.add("maps", SECOND, 5.015)
        self.assertEqual({}, self.batcher.take(5.01))
        taken = self.batcher.take(5.02)
        self.assertEqual({"maps": MoveBatch([FIRST, SECOND])}, taken)

    def test_first_move_determines_when_the_batch_is_due(self):
        # Guards against moves that are never announced while others end.
        for step in range(3):
            self.batcher.add("maps", FIRST, 5.0 + step * 0.015)
        self.assertEqual(5.02, self.batcher.due)

    def test_batch_is_taken_once(self):
        self.batcher.add("maps", FIRST, 5.0)
        self.batcher.take(6.0)
        self.assertIsNone(self.batcher.due)
        self.assertEqual({}, self.batcher.take(7.0))

    def test_services_are_kept_apart(self):
        self.batcher.add("maps", FIRST, 5.0)
        self.batcher.add_hold("seats", FIRST, 8.0, 5.0)
        held = MoveBatch([], {FIRST.move_id: 8.0})
        taken = self.batcher.take(6.0)
        self.assertEqual({"maps": MoveBatch([FIRST]), "seats": held}, taken)
