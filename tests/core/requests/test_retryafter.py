"""Tests of the retry delays for refused callers."""

import testtools

from sedgetide.core.ownership.move_observations import MoveObservations
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.health import UpstreamHealth
from sedgetide.core.requests.retryafter import retry_after_full_upstream
from sedgetide.core.requests.retryafter import retry_after_owner_loss
from sedgetide.core.requests.retryafter import retry_after_place
from sedgetide.core.requests.retryafter import retry_after_queue
from sedgetide.core.requests.retryafter import STARTUP_RETRY_DELAY
from sedgetide.core.requests.windows import UpstreamLoad

# Callers of the map service wait for a third of their remaining time at most.
DEADLINE = 4.0
RETRIES = 2


class TestRetryAfter(testtools.TestCase):
    def test_delay_for_an_overloaded_upstream_follows_its_queue(self):
        free = retry_after_full_upstream(UpstreamLoad(1, 0, 2), 0.2)
        full = retry_after_full_upstream(UpstreamLoad(2, 8, 2), 0.2)
        self.assertLess(free, 0.1)
        self.assertGreater(full, 0.8)
        self.assertEqual(0.25, retry_after_full_upstream(None, 0.2))

    def test_queue_delay_is_limited_to_a_second(self):
        self.assertEqual(0.25, retry_after_queue(0.1))
        self.assertEqual(0.62, retry_after_queue(0.617))
        self.assertEqual(1.0, retry_after_queue(7.0))

    def test_place_delay_lets_the_queue_shrink(self):
        self.assertEqual(1.0, retry_after_place(0.2))
        self.assertEqual(1.2, retry_after_place(1.2))
        self.assertEqual(1.5, retry_after_place(9.0))

    def test_retries_last_until_lost_keys_have_an_owner(self):
        """A data centre is cut off; its keys have no owner for 3.5 seconds.

        A caller arrives after 1.5 seconds. With a retry delay of a quarter of
        a second, it had used all its retries half a second later.
        """
        self.assertGreater(
            self.find_last_try(1.5, retry_after_owner_loss), 3.5
        )
        self.assertLess(self.find_last_try(1.5, lambda _: 0.25), 2.1)

    def find_last_try(self, now, compute_delay):
        """Return the time of the last attempt of a refused caller."""
        end = now + DEADLINE
        for _ in range(RETRIES):
            now += min(compute_delay(now), (end - now) / 3)
        return now

    def test_delay_counts_from_the_loss_of_the_owner(self):
        self.assertGreater(retry_after_owner_loss(0.0), 4.0)
        self.assertAlmostEqual(1.2, retry_after_owner_loss(3.0))
        self.assertEqual(STARTUP_RETRY_DELAY, retry_after_owner_loss(9.0))


class TestAbsence(testtools.TestCase):
    """Start times of the absence of an owner and of the move of keys."""

    def test_absence_counts_from_the_first_connection_that_failed(self):
        health = UpstreamHealth()
        self.assertEqual(0.0, health.find_unreachable_time(5.0))
        health.note_unreached(5.0)
        health.note_unreached(6.0)
        self.assertEqual(2.0, health.find_unreachable_time(7.0))
        health.note_success(0.2)
        self.assertEqual(0.0, health.find_unreachable_time(8.0))

    def test_move_is_seen_with_the_first_table_that_has_it(self):
        table = RangeTable().assign_first([("a", 2), ("b", 2)])
        observations = MoveObservations()
        observations.note_table(table, 1.0)
        moving = table.begin([Move(table.tenures[0].keys, "b")])
        (tenure,) = moving.list_moving()
        self.assertIsNone(observations.find_first_seen(tenure))
        observations.note_table(moving, 2.0)
        observations.note_table(moving, 3.0)
        self.assertEqual(2.0, observations.find_first_seen(tenure))
