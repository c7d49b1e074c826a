"""Tests of the sessions that are kept across the terms of a host."""

import testtools

from sedgetide.daemons._ordersessions import OrderSessions

GRANT = ("u-1", 7)


class TestOrderSessions(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sessions = OrderSessions()
        self.sessions.is_restarted(GRANT, 1, 100.0)

    def test_restart_in_a_short_break(self):
        # Guards against keys of a former process at its fence.
        self.sessions.begin_term(104.0)
        self.assertFalse(self.sessions.is_restarted(GRANT, 1, 104.0))
        self.assertTrue(self.sessions.is_restarted(GRANT, 2, 104.0))

    def test_connections_that_idled_away_in_a_long_break(self):
        # Guards against a new fence for all keys of all upstreams, whose
        # connections have only ended because they were idle.
        self.sessions.begin_term(106.0)
        self.assertFalse(self.sessions.is_restarted(GRANT, 2, 106.0))

    def test_grants_that_are_no_longer_current(self):
        # Guards against memory that grows with each move.
        self.sessions.is_restarted(("u-1", 8), 1, 100.0)
        self.sessions.retain({("u-1", 8)})
        self.assertFalse(self.sessions.is_restarted(GRANT, 2, 101.0))
        self.assertTrue(self.sessions.is_restarted(("u-1", 8), 2, 101.0))
