"""Tests of the wait for a key that is being moved."""

import testtools

from sedgetide.core.ownership.moveprogress import MovingRange
from sedgetide.core.requests.movewaits import decide_move_wait
from sedgetide.core.requests.retryafter import retry_after_owner_loss

NOW = 50.0
USEFUL = 0.47


def decide(useful=USEFUL, **move):
    """Return the seconds to wait and the Retry-After."""
    move = {"age": 0.0, "owner_registered": True, "usual": 0.3, **move}
    wait = decide_move_wait(MovingRange(**move), NOW + useful, NOW)
    return round(wait.until - NOW, 3), wait.retry_after


class TestPlannedMove(testtools.TestCase):
    """The previous owner is registered and releases the range."""

    def test_caller_waits_while_an_answer_is_useful(self):
        # Guards against refusals in a move that ends within a short time.
        self.assertEqual(USEFUL, decide()[0])
        self.assertEqual(USEFUL, decide(age=0.5)[0])

    def test_caller_that_can_wait_no_longer_is_told_the_rest(self):
        self.assertEqual((0.0, 0.25), decide(0.0, age=0.4))
        self.assertEqual((0.0, 0.8), decide(0.0, age=0.1, usual=0.9))

    def test_move_that_lasts_too_long_counts_as_a_loss(self):
        # Guards against callers that wait for a frozen owner: it is still
        # registered, and its hold has to expire.
        expected = (0.0, retry_after_owner_loss(1.0))
        self.assertEqual(expected, decide(age=1.0))

    def test_slow_releases_are_no_losses(self):
        # Guards against refusals where releases wait for long requests.
        self.assertEqual(USEFUL, decide(age=1.0, usual=0.8)[0])


class TestLostOwner(testtools.TestCase):
    """The previous owner is lost, and its hold has to expire."""

    def test_caller_is_told_at_once_if_it_can_not_wait(self):
        lost = {"age": 0.4, "hold_left": 1.2}
        for registered in (True, False):
            found = decide(owner_registered=registered, **lost)
            self.assertEqual((0.0, 1.3), found)

    def test_caller_waits_for_the_end_of_the_hold(self):
        # Guards against refusals right before the key has an owner again.
        self.assertEqual(USEFUL, decide(age=0.4, hold_left=0.3)[0])
        self.assertEqual(USEFUL, decide(age=9.0, hold_left=0.0)[0])

    def test_leader_of_an_older_version_states_no_hold(self):
        expected = (0.0, retry_after_owner_loss(0.3))
        self.assertEqual(expected, decide(age=0.3, owner_registered=False))

    def test_withdrawn_owner_may_still_release(self):
        # Guards against refusals in planned moves: an upstream that removes
        # its entry before it stops still answers the release.
        seconds, _ = decide(age=0.05, owner_registered=False, hold_left=3.0)
        self.assertEqual(0.2, seconds)
        seconds, _ = decide(0.1, age=0.05, owner_registered=False)
        self.assertEqual(0.1, seconds)
