"""Tests of a host's sight of its paths to the upstreams."""

import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.paths import PathTracker
from sedgetide.core.membership.paths import Sending
from sedgetide.core.membership.paths import take_silent


def make_upstream(number, data_centre="north"):
    return RegisteredUpstream(
        UpstreamName(f"u-{data_centre}-{number}"),
        ServiceName("map"),
        f"10.0.0.{number}:80",
        DataCentre(data_centre),
    )


NORTH = [make_upstream(number) for number in range(4)]
SOUTH = [make_upstream(number, "south") for number in range(4)]


class TestPathTracker(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = PathTracker()
        for each in NORTH + SOUTH:
            self.tracker.note_answer(each, 99.0)

    def miss(self, upstreams, now=100.0):
        for each in upstreams:
            self.tracker.note_missed(each, now)

    def test_one_missed_upstream_says_nothing_of_the_others(self):
        self.miss(NORTH[:1])
        doubtful = [each for each in NORTH if self.tracker.is_doubtful(each)]
        self.assertEqual(NORTH[:1], doubtful)

    def test_two_missed_in_a_row_put_their_data_centre_in_doubt(self):
        # Guards against a connection timeout for each upstream of a data
        # centre to which the path is lost.
        self.miss(NORTH[:2])
        self.assertTrue(self.tracker.is_doubtful(NORTH[3]))
        self.assertFalse(self.tracker.is_doubtful(SOUTH[0]))

    def test_three_missed_in_a_row_put_all_in_doubt(self):
        # Guards against a connection timeout for each data centre.
        self.miss([*NORTH[:2], SOUTH[0]])
        self.assertTrue(self.tracker.is_cut_off)
        self.assertTrue(self.tracker.is_doubtful(SOUTH[3]))

    def test_an_answer_between_shows_that_upstreams_have_ended(self):
        # Guards against taking crashes of several upstreams for a lost path.
        self.miss(NORTH[:1])
        self.tracker.note_answer(NORTH[3], 100.1)
        self.miss(NORTH[1:2], 100.2)
        self.assertFalse(self.tracker.is_doubtful(NORTH[2]))

    def test_upstream_lives_on_while_new_connections_are_refused(self):
        # Guards against new connections to an upstream that refuses them,
        # because it still answers on an open one.
        self.miss(NORTH[:1])
        self.tracker.note_answer(NORTH[0], 100.1)
        self.assertTrue(self.tracker.is_doubtful(NORTH[0]))

    def test_one_new_connection_ends_the_doubt_of_its_data_centre(self):
        self.miss(NORTH[:3])
        self.tracker.note_connected(NORTH[1], 101.0)
        doubtful = [each for each in NORTH if self.tracker.is_doubtful(each)]
        self.assertEqual([], doubtful)

    def test_upstreams_that_refuse_for_themselves_stay_in_doubt(self):
        # Guards against requests that are refused although other upstreams
        # have room: entries of upstreams that never accepted a connection
        # were tried again after each connection to another one.
        self.miss(NORTH[:2])
        self.tracker.note_connected(NORTH[3], 100.1)
        self.miss(NORTH[:2], 100.2)
        self.assertFalse(self.tracker.is_doubtful(NORTH[2]))
        self.tracker.note_connected(NORTH[3], 100.3)
        doubtful = [each for each in NORTH if self.tracker.is_doubtful(each)]
        self.assertEqual(NORTH[:2], doubtful)

    def test_path_that_is_lost_twice(self):
        # Guards against a second loss of a path that is not seen, as the
        # upstreams were missed in the first one, too.
        self.miss(NORTH[:2])
        self.tracker.note_connected(NORTH[0], 100.1)
        self.tracker.note_answer(NORTH[1], 100.2)
        self.miss(NORTH[:2], 101.0)
        self.assertTrue(self.tracker.is_doubtful(NORTH[3]))
        self.tracker.note_connected(NORTH[0], 101.1)
        self.assertFalse(self.tracker.is_doubtful(NORTH[1]))

    def test_new_connection_ends_the_doubt_of_its_upstream(self):
        # Guards against requests that are passed on for good after a single
        # failed attempt.
        self.miss(NORTH[:1])
        self.tracker.note_connected(NORTH[0], 101.0)
        self.assertFalse(self.tracker.is_doubtful(NORTH[0]))

    def test_new_connection_leaves_ended_upstreams_in_doubt(self):
        self.miss(NORTH[:1])
        self.tracker.note_connected(NORTH[1], 101.0)
        self.assertTrue(self.tracker.is_doubtful(NORTH[0]))

    def test_all_upstreams_of_a_lost_data_centre_that_leave_the_registry(self):
        # Guards against a data centre that stays in doubt for good, since
        # nothing is sent to it and those that were missed are not probed.
        self.miss(NORTH[:2])
        self.tracker.retain({each.name for each in NORTH[2:] + SOUTH})
        self.assertFalse(self.tracker.is_doubtful(NORTH[2]))

    def test_lost_data_centre_is_probed_at_other_upstreams_at_once(self):
        # Guards against a data centre in doubt for seconds, because two of
        # its upstreams have ended.
        self.miss(NORTH[:2])
        due = self.tracker.take_due_probes(NORTH + SOUTH, 100.0)
        self.assertEqual(NORTH[2:], due)
        self.assertEqual(
            [], self.tracker.take_due_probes(NORTH + SOUTH, 100.1)
        )
        due = self.tracker.take_due_probes(NORTH + SOUTH, 100.6)
        self.assertEqual(set(NORTH), set(due))

    def test_probes_at_a_time_are_bounded(self):
        many = [make_upstream(number) for number in range(300)]
        self.miss(many)
        due = self.tracker.take_due_probes(many, 101.0)
        again = self.tracker.take_due_probes(many, 101.2)
        self.assertEqual((8, 8), (len(due), len(again)))
        self.assertEqual(set(), set(due) & set(again))

    def test_time_in_doubt(self):
        self.miss(NORTH[:2], 100.0)
        self.miss(NORTH[:2], 103.0)
        self.assertEqual(4.0, self.tracker.find_doubtful_time(NORTH[0], 104.0))
        self.assertEqual(4.0, self.tracker.find_doubtful_time(NORTH[2], 104.0))
        self.assertEqual(0.0, self.tracker.find_doubtful_time(SOUTH[0], 104.0))


class TestSilence(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.sendings = [Sending(each, 100.0, 0.1) for each in NORTH]

    def test_upstreams_owe_an_answer_and_none_answers(self):
        # Guards against a lost path that is noticed only when the deadlines
        # of requests on kept connections have passed.
        self.assertEqual(NORTH, take_silent(self.sendings, 99.9, 100.5))

    def test_answer_of_another_upstream_shows_that_the_path_is_open(self):
        self.assertEqual([], take_silent(self.sendings, 100.2, 100.6))

    def test_each_request_leads_to_one_probe(self):
        take_silent(self.sendings, 99.9, 100.5)
        self.assertEqual([], take_silent(self.sendings, 99.9, 100.7))

    def test_slow_upstream_has_longer_time(self):
        slow = [Sending(NORTH[0], 100.0, 0.4)]
        self.assertEqual([], take_silent(slow, 99.0, 100.9))
        self.assertEqual(NORTH[:1], take_silent(slow, 99.0, 101.0))
