"""Tests of the notices that moves have ended, also to older hosts."""

import gevent
import msgspec
import testtools

from sedgetide.coding.messages import decode_envelope
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.core.history import Position
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._movenotifier import MoveNotifier
from sedgetide.runtime.clock import read_clock
from tests.daemons.test_election import FakeRegistry

SERVICE = "maps"
OLD, NEW = "10.0.0.1:1", "10.0.0.2:1"
TABLE = RangeTable().assign_first([("u-1", 1)])
FIRST = TABLE.begin([Move(KeyRange(0, 99), "u-2")])
SECOND = FIRST.begin([Move(KeyRange(200, 299), "u-3")])


class OldMessage(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base of messages as the previous version decodes them."""


class OldMoved(OldMessage, tag="moved"):
    """Notice as the previous version decodes it."""

    service: str
    tenures: list[Tenure]


class OldEnvelope(msgspec.Struct, array_like=True):
    """Envelope as the previous version decodes it."""

    sender: str
    messages: list[OldMoved]


class OldStatus(msgspec.Struct, array_like=True):
    """Status as the previous version encodes and decodes it."""

    data_centre: str = "dc"
    processors: float = 1.0
    lenders: int = 0
    quarantine: int = 0
    link_mbps: float = 1000.0


def make_host(table):
    deployment = DeploymentState(FakeRegistry())
    deployment.update_table(SERVICE, table, Position(0, 5), 1.0)
    return deployment


class TestMixedFleet(testtools.TestCase):
    """A leader and hosts of the previous and of this version."""

    def setUp(self):
        super().setUp()
        self.sent = {}
        self.notifier = MoveNotifier(self.note_sent)
        old = msgspec.msgpack.encode(OldStatus())
        self.report(OLD, msgspec.msgpack.decode(old, type=HostStatus))
        self.report(NEW, HostStatus(short_moves=True))

    def report(self, link, status, age=0.0):
        self.notifier.note_status(link, status, read_clock() - age)

    def note_sent(self, link, message):
        data = encode_envelope(Envelope("leader", [message]))
        self.sent.setdefault(link, []).append(data)

    def complete(self, table):
        for tenure in table.list_moving():
            self.notifier.note_completed(SERVICE, tenure)

    def test_each_host_gets_one_message_that_it_understands(self):
        # Guards against hosts that wait for the next table, up to two
        # seconds later, and against a message for each move.
        self.complete(SECOND)
        gevent.sleep(0.05)
        (old,), (new,) = self.sent[OLD], self.sent[NEW]
        (moved,) = msgspec.msgpack.decode(old, type=OldEnvelope).messages
        self.assertEqual(SECOND.list_moving(), moved.tenures)
        (moved,) = decode_envelope(new).messages
        host = make_host(SECOND)
        host.complete_moves(SERVICE, moved.list_completed(), 2.0)
        self.assertEqual([], host.find_table(SERVICE).list_moving())

    def test_notice_of_an_older_leader_is_applied(self):
        moved = OldMoved(SERVICE, SECOND.list_moving())
        data = msgspec.msgpack.encode(OldEnvelope("leader", [moved]))
        (moved,) = decode_envelope(data).messages
        host = make_host(SECOND)
        host.complete_moves(SERVICE, moved.list_completed(), 2.0)
        self.assertEqual([], host.find_table(SERVICE).list_moving())

    def test_status_is_understood_by_an_older_leader(self):
        data = msgspec.msgpack.encode(HostStatus(short_moves=True))
        status = msgspec.msgpack.decode(data, type=OldStatus)
        self.assertEqual(1000.0, status.link_mbps)

    def test_short_form_does_no_harm_at_an_older_host(self):
        # Guards against a lost envelope: a host that was replaced by one of
        # the older version gets the short form until its first report.
        self.report(OLD, HostStatus(short_moves=True))
        self.complete(FIRST)
        self.notifier.flush()
        (data,) = self.sent[OLD]
        (moved,) = msgspec.msgpack.decode(data, type=OldEnvelope).messages
        self.assertEqual([], moved.tenures)

    def test_host_that_goes_back_to_the_older_version(self):
        self.report(NEW, HostStatus())
        self.complete(FIRST)
        self.notifier.flush()
        self.assertEqual(self.sent[OLD], self.sent[NEW])

    def test_holds_are_stated_to_hosts_of_this_version_only(self):
        (tenure,) = FIRST.list_moving()
        self.notifier.note_held(SERVICE, tenure, read_clock() + 3.0)
        self.notifier.flush()
        self.assertNotIn(OLD, self.sent)
        (moved,) = decode_envelope(self.sent[NEW][0]).messages
        self.assertEqual([tenure.move_id], [each.move for each in moved.held])
        self.assertAlmostEqual(3.0, moved.held[0].seconds, 1)

    def test_host_that_does_not_report_gets_no_notice(self):
        # Guards against ever more links to hosts that are gone.
        self.report(OLD, HostStatus(), age=3.5)
        self.complete(FIRST)
        self.notifier.flush()
        self.assertEqual({NEW}, set(self.sent))

    def test_moves_in_hand_are_sent_when_the_leader_resigns(self):
        self.complete(FIRST)
        self.notifier.flush()
        self.assertEqual({OLD, NEW}, set(self.sent))


class TestLateNotices(testtools.TestCase):
    """A notice and the table that it refers to arrive in any order."""

    def test_notice_before_its_table(self):
        # Guards against callers that wait for the next table: the table that
        # shows the move may come later, and another one before it.
        host = make_host(TABLE)
        (tenure,) = [each for each in SECOND.list_moving() if each.low == 200]
        host.complete_moves(SERVICE, [tenure.move_id], 2.0)
        host.update_table(SERVICE, FIRST, Position(0, 6), 2.0)
        host.update_table(SERVICE, SECOND, Position(0, 7), 3.0)
        self.assertEqual("u-3", host.find_table(SERVICE).find(200).owner)
        self.assertTrue(host.find_table(SERVICE).find(0).moving)

    def test_notice_of_a_range_that_has_moved_again(self):
        # Guards against requests to an owner that has been replaced.
        (tenure,) = FIRST.list_moving()
        again = FIRST.complete([tenure]).begin([Move(KeyRange(0, 99), "u-3")])
        host = make_host(again)
        host.complete_moves(SERVICE, [tenure.move_id], 2.0)
        self.assertTrue(host.find_table(SERVICE).find(0).moving)
