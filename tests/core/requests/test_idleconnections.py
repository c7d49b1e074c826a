"""Tests of the limit of the idle time of connections."""

import testtools

from sedgetide.core.requests.idleconnections import IdleLimit


class TestIdleLimit(testtools.TestCase):
    """Upstreams drop idle connections earlier than they announce.

    An alert is sent on a connection that was idle for 0.4 s and is reset. It
    may have run, so it cannot be sent again. The next one must not be lost
    in the same way.
    """

    def test_no_limit_at_first(self):
        self.assertEqual(float("inf"), IdleLimit().find_max_idle(1.0))

    def test_reset_lowers_the_limit_below_the_idle_time(self):
        limit = IdleLimit()
        limit.note_reset(0.5, 10.0)
        self.assertLess(limit.find_max_idle(10.1), 0.5)
        limit.note_reset(0.3, 11.0)
        self.assertLess(limit.find_max_idle(11.1), 0.3)

    def test_longer_idle_time_does_not_raise_it(self):
        limit = IdleLimit()
        limit.note_reset(0.5, 10.0)
        limit.note_reset(4.0, 11.0)
        self.assertLess(limit.find_max_idle(11.1), 0.5)

    def test_reset_of_a_busy_connection_is_ignored(self):
        limit = IdleLimit()
        limit.note_reset(0.01, 10.0)
        self.assertEqual(float("inf"), limit.find_max_idle(10.0))

    def test_it_is_forgotten(self):
        limit = IdleLimit()
        limit.note_reset(0.5, 10.0)
        self.assertEqual(float("inf"), limit.find_max_idle(41.0))
