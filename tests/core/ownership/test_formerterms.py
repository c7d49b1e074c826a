"""Tests of which report about the former era counts."""

import msgspec
import testtools

from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.ownership.formerterms import RecordHistory
from sedgetide.core.ownership.formerterms import TermReport
from sedgetide.core.ownership.formerterms import TermReports
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.ranges import KeyRange

SERVICE, OTHER = "maps", "mail"
OWN_LINK, SENDER, LINK = "10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"
LEASE = 2.0
FIRST = ReportedHolds(holds=(UpstreamHold("u-1", KeyRange(0, 9), 105.0),))
LATER = ReportedHolds(holds=(UpstreamHold("u-2", KeyRange(0, 9), 106.0),))


def make_report(term, holds=FIRST, known_leader=NO_POSITION, service=SERVICE):
    """Return a report about one service."""
    return TermReport(term, known_leader, {service: holds}, SENDER)


class TestRecordHistory(testtools.TestCase):
    """Leaders and records of earlier eras."""

    def setUp(self):
        super().setUp()
        self.history = RecordHistory()

    def test_nothing_is_known_at_the_first_start(self):
        self.assertFalse(self.history.has_earlier(6))
        self.assertEqual(NO_POSITION, self.history.find_former_leader(6))
        self.history.note_leader(Position(6, 3))
        self.history.note_era(6)
        self.assertFalse(self.history.has_earlier(6))
        self.assertEqual(NO_POSITION, self.history.find_former_leader(6))

    def test_table_shows_that_there_was_a_leader(self):
        self.history.note_era(5)
        self.assertTrue(self.history.has_earlier(6))
        self.assertFalse(self.history.has_earlier(5))

    def test_change_of_the_era_shows_that_there_was_another_one(self):
        # Guards against granting all keys as at the first start when the
        # backup is older than the first record.
        self.history.note_later_era(6)
        self.assertFalse(self.history.has_earlier(5))
        self.assertTrue(self.history.has_earlier(6))
        self.assertTrue(self.history.has_earlier(7))

    def test_last_leader_of_each_era_is_kept(self):
        for position in (Position(4, 90), Position(5, 30), Position(5, 20)):
            self.history.note_leader(position)
        self.assertTrue(self.history.has_earlier(6))
        self.assertEqual(Position(5, 30), self.history.find_former_leader(6))
        self.assertEqual(Position(4, 90), self.history.find_last_leader(4))
        self.assertEqual(NO_POSITION, self.history.find_last_leader(6))

    def test_leader_that_was_only_heard_of_was_not_read(self):
        self.history.note_read_leader(Position(5, 30))
        self.history.note_leader(Position(5, 40))
        self.assertEqual(Position(5, 40), self.history.find_former_leader(6))
        self.assertEqual(Position(5, 30), self.history.find_read_leader(6))
        self.assertEqual(NO_POSITION, self.history.find_read_leader(5))


class TestTermReports(testtools.TestCase):
    """Reports to the leader of era 6."""

    def setUp(self):
        super().setUp()
        self.history = RecordHistory()
        self.reports = TermReports(self.history, OWN_LINK, LEASE)
        self.term = Position(5, 30)
        self.reports.note_confirmation(LINK, self.term)

    def test_report_of_the_last_leader_counts(self):
        self.history.note_leader(self.term)
        self.reports.note_report(make_report(self.term))
        self.assertEqual(FIRST, self.reports.find(SERVICE, 6))
        self.assertIsNone(self.reports.find(OTHER, 6))

    def test_report_of_another_era_does_not_count(self):
        # Guards against holds of a leader two eras ago, since which another
        # one may have led.
        self.reports.note_report(make_report(self.term))
        self.assertIsNone(self.reports.find(SERVICE, 7))
        self.assertIsNone(self.reports.find(SERVICE, 5))

    def test_report_of_the_highest_term_counts(self):
        self.reports.note_confirmation(LINK, Position(5, 40))
        self.reports.note_report(make_report(Position(5, 40), LATER))
        self.reports.note_report(make_report(self.term))
        self.assertEqual(LATER, self.reports.find(SERVICE, 6))

    def test_later_leader_known_here(self):
        # Guards against two owners of a key that a later leader has moved
        # before it was lost.
        self.reports.note_report(make_report(self.term))
        self.history.note_leader(Position(5, 31))
        self.assertIsNone(self.reports.find(SERVICE, 6))

    def test_later_leader_known_to_the_sender(self):
        later = Position(5, 31)
        self.reports.note_report(make_report(self.term, known_leader=later))
        self.assertIsNone(self.reports.find(SERVICE, 6))
        self.reports.note_confirmation(LINK, later)
        self.reports.note_report(make_report(later, LATER))
        self.assertEqual(LATER, self.reports.find(SERVICE, 6))

    def test_leader_of_the_new_era_is_no_later_one(self):
        self.reports.note_report(make_report(self.term))
        self.history.note_leader(Position(6, 31))
        self.assertEqual(FIRST, self.reports.find(SERVICE, 6))

    def test_services_of_one_term_may_be_reported_apart(self):
        self.reports.note_report(make_report(self.term))
        self.reports.note_report(make_report(self.term, LATER, service=OTHER))
        self.assertEqual(FIRST, self.reports.find(SERVICE, 6))
        self.assertEqual(LATER, self.reports.find(OTHER, 6))
        self.reports.note_report(make_report(self.term, LATER))
        self.assertEqual(LATER, self.reports.find(SERVICE, 6))

    def test_report_shows_that_this_is_no_first_start(self):
        # Guards against granting all keys as at the first start when the
        # backup is older than the first record.
        self.reports.note_report(make_report(Position(4, 3)))
        self.assertTrue(self.history.has_earlier(6))

    def test_reason_of_a_refusal(self):
        report = make_report(self.term)
        self.assertEqual("", self.reports.find_refusal(report, 6))
        self.assertIn("of era 5", self.reports.find_refusal(report, 7))
        self.history.note_leader(Position(5, 31))
        self.assertIn("5/31", self.reports.find_refusal(report, 6))


class TestConfirmations(testtools.TestCase):
    """The reporting leader may have been frozen when another was elected."""

    def setUp(self):
        super().setUp()
        self.history = RecordHistory()
        self.reports = TermReports(self.history, OWN_LINK, LEASE)
        self.term = Position(5, 30)

    def is_used(self, proved=LEASE):
        report = make_report(self.term)
        report = msgspec.structs.replace(report, proved=proved)
        self.reports.note_report(report)
        return self.reports.find(SERVICE, 6) is not None

    def test_report_alone_is_not_used(self):
        # Guards against two owners of a key that a later leader has moved,
        # when all hosts that knew of it have started again.
        self.assertFalse(self.is_used())
        self.assertIn("no other host", self.find_refusal())

    def find_refusal(self):
        return self.reports.find_refusal(make_report(self.term), 6)

    def test_record_in_the_restored_copy_confirms_nothing(self):
        # Guards against hosts that have started again and know the leader
        # from a copy that was made before the next one was elected.
        self.history.note_leader(self.term)
        self.assertFalse(self.is_used())

    def test_own_reading_confirms(self):
        self.history.note_read_leader(self.term)
        self.assertTrue(self.is_used())

    def test_own_reading_of_a_former_leader_confirms_nothing(self):
        # Guards against a report that confirms itself, since this host knows
        # its leader from the report only.
        self.history.note_read_leader(Position(5, 20))
        self.assertFalse(self.is_used())

    def test_another_host_confirms(self):
        self.reports.note_confirmation(LINK, self.term)
        self.assertTrue(self.is_used())
        self.assertEqual("", self.find_refusal())

    def test_reporting_host_does_not_confirm_its_own_report(self):
        # Guards against a leader that has been replaced without knowing it.
        self.reports.note_confirmation(SENDER, self.term)
        self.assertFalse(self.is_used())

    def test_confirmation_of_another_leader(self):
        for revision in (20, 29):
            self.reports.note_confirmation(LINK, Position(5, revision))
        self.reports.note_confirmation(LINK, NO_POSITION)
        self.assertFalse(self.is_used())

    def test_no_later_leader_within_the_lease(self):
        self.assertTrue(self.is_used(proved=LEASE - 0.1))
        self.history.note_leader(Position(5, 31))
        self.assertFalse(self.is_used(proved=LEASE - 0.1))
