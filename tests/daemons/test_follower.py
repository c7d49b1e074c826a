"""Tests of how often a host asks the store."""

import testtools

from sedgetide.daemons._follower import choose_pause


class TestChoosePause(testtools.TestCase):
    """The leader is lost, and sixty hosts watch the store themselves.

    Upstreams register and warm up, thirty events a second. With a call for
    each event and host the store answers 429 to the one that stands to
    lead, too, and the keys stay dark for longer.
    """

    def test_host_gathers_what_comes_in_quick_succession(self):
        calls = 1.0 / choose_pause(leading=False, news=1)
        self.assertLess(60 * calls, 600)

    def test_nothing_is_put_off_where_there_is_no_news(self):
        self.assertEqual(0.0, choose_pause(leading=False, news=0))

    def test_leader_acts_at_once(self):
        self.assertEqual(0.0, choose_pause(leading=True, news=5))
