"""Tests of the reports of held keys between leaders of two eras."""

import msgspec
import testtools

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.coding.messages import HeldKeys
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import ServiceHolds
from sedgetide.core.history import Position
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._holdsreporter import HoldsReceiver
from sedgetide.daemons._holdsreporter import HoldsReporter
from sedgetide.daemons._recordkeys import make_leader_key
from tests.daemons.eventcapture import capture_events
from tests.daemons.test_election import FakeRegistry

SERVICE, OTHER = "maps", "mail"
OWN_LINK, LINK, CONFIRMING = "10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"
LEADER = LeaderRecord("h-2", "x", LINK)
FORMER, NEW = Position(5, 30), Position(6, 12)
TABLE = RangeTable(7).assign_first([("u-1", 1)])
KEYS = KeyRange(0, 99)


class ReportCase(testtools.TestCase):
    """This host led in era 5 from 80 s on; era 6 is heard of at 100 s."""

    def setUp(self):
        super().setUp()
        self.durations = Durations()
        self.deployment = DeploymentState(FakeRegistry())
        self.sent = []
        self.receiver = HoldsReceiver(
            self.deployment, OWN_LINK, self.durations.lease
        )
        self.reporter = HoldsReporter(
            self.deployment,
            lambda link, message: self.sent.append((link, message)),
            OWN_LINK,
            self.receiver,
        )
        self.leadership = Leadership(self.durations)
        self.list_items(5, 40)
        self.lead(FORMER, 80.0)
        self.deployment.update_table(SERVICE, TABLE, Position(5, 31), 80.0)

    def list_items(self, era, revision, *items):
        position = Position(era, revision)
        self.deployment.apply_listing(Listing(list(items), position), 80.0)
        self.deployment.record_sync(position, 80.0)

    def lead(self, position, now):
        self.leadership.begin(position, now, now)
        self.term = Term(self.leadership, self.durations)
        self.reporter.note_term(self.term)

    def grant(self, upstream, keys, now, service=SERVICE):
        self.leadership.note_read(self.leadership.term, now)
        self.term.note_arrival(
            self.term.prepare_grant(upstream, keys, now, service), now
        )

    def restore(self, leader=LEADER):
        """Let the host hear of the new era and of its leader."""
        self.leadership.note_era(6)
        self.deployment.note_era(6, 100.0)
        value = msgspec.json.encode(leader)
        self.list_items(6, 20, Item(make_leader_key(6), NEW, value))

    def take_sent(self):
        sent, self.sent = self.sent, []
        return sent


class TestHoldsReporter(ReportCase):
    """Reports to another host that leads in the next era."""

    def test_holds_are_reported_once_the_term_is_over(self):
        # Guards against a report that lacks a later grant of its sender.
        self.grant("u-1", KEYS, 99.0)
        self.restore()
        self.reporter.run_periodic(100.7)
        self.assertEqual([], self.sent)
        self.reporter.run_periodic(101.0)
        ((link, report),) = self.sent
        self.assertEqual(LINK, link)
        self.assertEqual((FORMER, FORMER), (report.term, report.known_leader))
        self.assertEqual([SERVICE], list(report.services))
        reported = report.services[SERVICE]
        self.assertEqual(0.0, reported.inherited)
        ((held),) = reported.holds
        self.assertEqual(("u-1", 0, 99), (held.upstream, held.low, held.high))
        left = 99.0 + self.durations.max_hold(self.durations.hold) - 101.0
        self.assertAlmostEqual(left, held.seconds)

    def test_last_proof_is_counted_to_the_next_era(self):
        # Guards against a report that takes long to arrive and reads as if
        # there had been no time to elect another leader.
        self.grant("u-1", KEYS, 99.0)
        self.restore()
        self.reporter.run_periodic(105.0)
        ((_, report),) = self.sent
        self.assertEqual(1.0, report.proved)

    def test_record_that_was_given_up_is_no_proof(self):
        # Guards against a leader that resigns, so that another one is elected
        # at once, and reports its own holds as the last ones.
        self.grant("u-1", KEYS, 99.0)
        self.leadership.end()
        self.restore()
        self.reporter.run_periodic(102.0)
        ((_, report),) = self.sent
        self.assertEqual(float("inf"), report.proved)

    def test_report_is_repeated_until_the_table_is_seen(self):
        self.restore()
        self.reporter.run_periodic(102.0)
        self.reporter.run_periodic(102.1)
        self.assertEqual(1, len(self.take_sent()))
        self.reporter.run_periodic(102.4)
        self.assertEqual(1, len(self.take_sent()))
        self.deployment.update_table(SERVICE, TABLE, Position(6, 25), 102.5)
        self.reporter.run_periodic(102.9)
        self.assertEqual([], self.sent)

    def test_report_ends_with_all_grants(self):
        self.restore()
        longest = self.durations.max_inherited_hold()
        self.reporter.run_periodic(100.0 + longest)
        self.assertEqual([], self.sent)

    def test_later_leader_of_the_new_era_is_told_at_once(self):
        self.restore()
        self.reporter.run_periodic(102.0)
        record = LeaderRecord("h-3", "y", "10.0.0.3:7")
        self.deployment.note_leader(record, Position(6, 44))
        self.reporter.run_periodic(102.1)
        self.assertEqual([LINK, "10.0.0.3:7"], [link for link, _ in self.sent])

    def test_host_that_has_not_led_reports_nothing(self):
        self.reporter._terms.clear()
        self.restore()
        self.reporter.run_periodic(102.0)
        self.assertEqual([], self.sent)

    def test_term_of_an_era_before_the_last_is_not_reported(self):
        # Guards against holds that a leader of the era between may have
        # changed.
        self.restore()
        self.deployment.note_era(7, 103.0)
        record = LeaderRecord("h-3", "y", "10.0.0.3:7")
        self.deployment.note_leader(record, Position(7, 44))
        self.reporter.run_periodic(104.0)
        self.assertEqual([], self.sent)

    def test_term_before_a_term_of_the_new_era_is_reported(self):
        # Guards against a host that leads for a moment in the new era, and
        # forgets what it knew of the former one.
        self.grant("u-1", KEYS, 99.0)
        self.restore()
        self.lead(Position(6, 22), 102.0)
        self.leadership.end()
        record = LeaderRecord("h-3", "y", "10.0.0.3:7")
        self.deployment.note_leader(record, Position(6, 44))
        self.reporter.run_periodic(102.1)
        ((_, report),) = self.sent
        self.assertEqual(FORMER, report.term)
        self.assertEqual(1, len(report.services[SERVICE].holds))

    def test_grants_of_earlier_leaders_are_reported_as_inherited(self):
        self.lead(Position(5, 35), 98.0)
        self.restore()
        self.reporter.run_periodic(102.0)
        ((_, report),) = self.sent
        left = 98.0 + self.durations.max_inherited_hold() - 102.0
        self.assertAlmostEqual(left, report.services[SERVICE].inherited)

    def test_service_without_a_table_of_the_era_is_not_reported(self):
        # Guards against a report that shows no holds of a service in which
        # the sender has not recovered the keys of the era before.
        self.deployment.update_table(OTHER, TABLE, Position(4, 9), 80.0)
        self.restore()
        self.reporter.run_periodic(102.0)
        ((_, report),) = self.sent
        self.assertEqual([SERVICE], list(report.services))

    def test_services_are_reported_apart(self):
        # Guards against a hold in the reports of two services, one of which
        # then asks an upstream of the other to release all its keys.
        self.deployment.update_table(OTHER, TABLE, Position(5, 33), 80.0)
        self.grant("u-1", KEYS, 99.0)
        self.grant("m-1", KEYS, 99.0, OTHER)
        # Not registered any more.
        self.grant("x-1", KEYS, 99.0, OTHER)
        self.restore()
        self.reporter.run_periodic(102.0)
        found = {
            service: {held.upstream for held in holds.holds}
            for _, report in self.sent
            for service, holds in report.services.items()
        }
        expected = {SERVICE: {"u-1"}, OTHER: {"m-1", "x-1"}}
        self.assertEqual(expected, found)

    def test_report_that_is_too_long_is_not_sent(self):
        # Guards against a link that is closed at each report, since the
        # receiver takes messages up to a size only.
        events = capture_events(self)
        name = "u" * 200
        for low in range(5_000):
            self.grant(name, KeyRange(low, low), 99.0)
        self.restore()
        self.reporter.run_periodic(102.0)
        self.assertEqual([], self.sent)
        (line,) = [x for x in events if x["msg"] == "holds-refused"]
        self.assertEqual(
            f"{5_000 * 218} bytes, expected up to 1000000", line["problem"]
        )

    def test_long_report_is_below_the_size_limit(self):
        name = "u" * 200
        for low in range(4_500):
            self.grant(name, KeyRange(60_000 + low, 65_535), 99.0)
        self.restore()
        self.reporter.run_periodic(102.0)
        ((_, report),) = self.sent
        size = len(encode_envelope(Envelope(OWN_LINK, [report])))
        self.assertLess(900_000, size)
        self.assertLess(size, 1024 * 1024)

    def test_known_later_leader_is_stated(self):
        # Guards against a leader that had been replaced and reports holds
        # that its successor has changed.
        later = Position(5, 38)
        self.deployment.note_leader(LEADER, later)
        self.deployment.records.note_leader(later)
        self.leadership.end()
        self.restore()
        self.reporter.run_periodic(102.0)
        ((_, report),) = self.sent
        self.assertEqual((FORMER, later), (report.term, report.known_leader))

    def test_own_term_is_known_before_its_record_is_read(self):
        # Guards against a load report that hides the last leader, its sender,
        # from the leader of the next era.
        self.deployment.note_era(6, 100.0)
        self.assertEqual(FORMER, self.deployment.former_leader)

    def test_host_that_leads_again_uses_its_own_ledger(self):
        self.grant("u-1", KEYS, 99.0)
        self.restore(LeaderRecord("h-1", "x", OWN_LINK))
        self.lead(NEW, 102.0)
        self.reporter.run_periodic(102.0)
        self.assertEqual([], self.sent)
        until = 99.0 + self.durations.max_hold(self.durations.hold)
        report = self.receiver.reports.find(SERVICE, 6)
        (held,) = report.holds
        self.assertEqual(("u-1", KEYS), (held.upstream, held.keys))
        self.assertAlmostEqual(until, held.until)

    def test_own_ledger_has_to_be_confirmed(self):
        # Guards against two owners of a key that a later leader has moved
        # while this host was frozen, when all who knew have started again.
        self.grant("u-1", KEYS, 96.0)
        self.restore(LeaderRecord("h-1", "x", OWN_LINK))
        self.deployment.records.note_read_leader(FORMER)
        self.lead(NEW, 102.0)
        self.reporter.run_periodic(102.0)
        reports = self.receiver.reports
        self.assertIsNone(reports.find(SERVICE, 6))
        self.receiver.note_confirmation(OWN_LINK, FORMER)
        self.assertIsNone(reports.find(SERVICE, 6))
        self.receiver.note_confirmation(LINK, FORMER)
        self.assertIsNotNone(reports.find(SERVICE, 6))


class TestHoldsReceiver(ReportCase):
    """Reports of another host to this one."""

    def setUp(self):
        super().setUp()
        self.restore()
        self.receiver.note_confirmation(CONFIRMING, FORMER)

    def receive(self, now, term=FORMER, inherited=0.0, known_leader=FORMER):
        holds = ServiceHolds(inherited, [HeldKeys("u-1", 0, 99, 4.5)])
        report = HoldsReport(term, known_leader, {SERVICE: holds})
        self.receiver.handle_report(report, LINK, now)

    def test_times_count_from_the_receipt(self):
        # Guards against taking a hold for ended since the report was late.
        self.receive(102.0, inherited=1.5)
        report = self.receiver.reports.find(SERVICE, 6)
        self.assertEqual(103.5, report.inherited_until)
        held = UpstreamHold("u-1", KEYS, 106.5)
        self.assertEqual((held,), report.holds)

    def test_report_before_the_era_is_heard_of_is_kept(self):
        events = capture_events(self)
        self.receiver.note_confirmation(CONFIRMING, Position(6, 18))
        self.receive(102.0, term=Position(6, 18), known_leader=NEW)
        self.assertNotIn("holds-refused", [each["msg"] for each in events])
        self.assertIsNone(self.receiver.reports.find(SERVICE, 6))
        self.assertIsNotNone(self.receiver.reports.find(SERVICE, 7))

    def test_each_report_is_logged_once(self):
        events = capture_events(self)
        for now in (102.0, 102.4):
            self.receive(now)
        (line,) = [x for x in events if x["msg"] == "holds-reported"]
        self.assertEqual(
            (FORMER, LINK, SERVICE, 1, "0.0"),
            tuple(
                line[field]
                for field in (
                    "term",
                    "sender",
                    "services",
                    "holds",
                    "inherited",
                )
            ),
        )

    def test_refusal_is_logged_once(self):
        events = capture_events(self)
        for now in (102.0, 102.4):
            self.receive(now, known_leader=Position(5, 38))
        (line,) = [x for x in events if x["msg"] == "holds-refused"]
        self.assertIn("5/38", line["problem"])
