"""Tests of how long a kept connection may rest."""

import testtools

from sedgetide.core.requests.idleconnections import IdleLimit


class TestRestBound(testtools.TestCase):
    """Upstreams forget idle connections sooner than they announce.

    An alert goes out on a connection that rested for 0.4 s and is reset:
    it may have run, so nobody may send it again. The next one must not
    meet the same end.
    """

    def test_any_rest_is_trusted_at_first(self):
        self.assertEqual(float("inf"), IdleLimit().find_max_idle(1.0))

    def test_reset_after_a_rest_brings_the_bound_below_it(self):
        bound = IdleLimit()
        bound.note_reset(0.5, 10.0)
        self.assertLess(bound.find_max_idle(10.1), 0.5)
        bound.note_reset(0.3, 11.0)
        self.assertLess(bound.find_max_idle(11.1), 0.3)

    def test_longer_rest_does_not_widen_it(self):
        bound = IdleLimit()
        bound.note_reset(0.5, 10.0)
        bound.note_reset(4.0, 11.0)
        self.assertLess(bound.find_max_idle(11.1), 0.5)

    def test_reset_in_full_use_tells_nothing_of_rests(self):
        bound = IdleLimit()
        bound.note_reset(0.01, 10.0)
        self.assertEqual(float("inf"), bound.find_max_idle(10.0))

    def test_it_is_forgotten(self):
        bound = IdleLimit()
        bound.note_reset(0.5, 10.0)
        self.assertEqual(float("inf"), bound.find_max_idle(41.0))
