"""Tests of the detection of network partitions."""

import testtools

from sedgetide.core.membership.partitions import PartitionDetector


class TestPartitionDetector(testtools.TestCase):
    """A host withdraws only while others can serve what it cannot."""

    def setUp(self):
        super().setUp()
        self.detector = PartitionDetector("here")
        self.detector.note_reached("there", 99.9)

    def fail(self, count=30, data_centre="there"):
        for _ in range(count):
            self.detector.note_unreached(data_centre)
            self.detector.note_end(False)

    def test_cut_data_centre_sends_its_callers_away(self):
        # The data centre is cut off from the store and from all others, but
        # its callers still reach it. Their requests were refused for the
        # whole partition: first two thirds, which are owned elsewhere, then
        # nearly all.
        self.fail()
        self.assertFalse(self.detector.should_withdraw(100.0, 101.0))
        self.assertTrue(self.detector.should_withdraw(100.0, 101.6))

    def test_host_without_paths_sends_its_callers_away(self):
        # Guards against a cut off data centre whose hosts stay ready, because
        # requests for others are refused at once and no attempt fails.
        for _ in range(30):
            self.detector.note_end(False)
        self.assertFalse(self.detector.should_withdraw(100.0, 101.6, False))
        self.assertTrue(self.detector.should_withdraw(100.0, 101.6, True))

    def test_it_is_back_as_soon_as_it_hears_the_store(self):
        self.fail()
        self.detector.should_withdraw(100.0, 102.0)
        self.assertFalse(self.detector.should_withdraw(105.0, 105.1))

    def test_lost_store_alone_is_no_reason(self):
        # No host reaches the store, but all of them reach all upstreams, so
        # no other host could serve more.
        self.fail()
        self.detector.note_reached("there", 102.0)
        self.fail(1)
        self.assertFalse(self.detector.should_withdraw(100.0, 102.5))
        self.assertFalse(self.detector.should_withdraw(100.0, 109.0))

    def test_cut_neighbour_alone_is_no_reason(self):
        self.fail()
        self.assertFalse(self.detector.should_withdraw(104.8, 105.0))

    def test_lost_upstreams_of_the_own_data_centre_are_no_reason(self):
        self.fail(data_centre="here")
        self.assertFalse(self.detector.should_withdraw(100.0, 105.0))

    def test_it_stays_while_it_serves_most(self):
        self.fail(5)
        for _ in range(40):
            self.detector.note_end(True)
        self.assertFalse(self.detector.should_withdraw(100.0, 105.0))

    def test_when_all_are_cut_off_it_comes_back(self):
        # If all data centres withdrew for good, callers would be served by
        # none.
        self.fail()
        self.assertTrue(self.detector.should_withdraw(100.0, 102.0))
        self.assertTrue(self.detector.should_withdraw(100.0, 111.9))
        self.assertFalse(self.detector.should_withdraw(100.0, 112.1))
        self.assertFalse(self.detector.should_withdraw(100.0, 141.0))
        self.assertTrue(self.detector.should_withdraw(100.0, 142.2))
