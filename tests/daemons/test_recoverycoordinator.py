"""Tests of how a leader has all upstreams give back their keys."""

import gevent
import testtools

from sedgetide.core.history import Position
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import ALL_KEYS
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._orderclient import OrderOutcome
from sedgetide.daemons._orderclient import OrderResult
from sedgetide.daemons._recoverycoordinator import RecoveryCoordinator
from sedgetide.runtime.clock import read_clock
from tests.daemons.test_election import FakeCatalogue

SERVICE = "maps"
FIRST = 1 << 32


class FakeClient:
    """Way to an upstream that can be reached, or not."""

    def __init__(self):
        self.reachable = True
        self.taken = OrderOutcome.DONE
        self.released = []

    def connect(self):
        return self.reachable

    def release(self, keys, fence, may_send):
        if not may_send():
            return OrderResult(OrderOutcome.UNSENT)
        self.released.append((keys, fence))
        return OrderResult(self.taken)


class FakeClients:
    """Ways by name; upstreams that are gone stand among the seen ones."""

    def __init__(self, names):
        self.clients = {name: FakeClient() for name in names}
        self.addresses = {}

    def list_seen(self, service, since):
        return list(self.clients)

    def find(self, name):
        return self.clients.get(name)

    def find_address(self, name):
        return self.addresses.get(name, "")


class TestRecoveryDesk(testtools.TestCase):
    """A new era; the last table known is one of the era before."""

    def setUp(self):
        super().setUp()
        self.durations = Durations()
        self.deployment = DeploymentState(FakeCatalogue())
        self.table = RangeTable(5).assign_first([("u-1", 1), ("u-2", 1)])
        self.deployment.update_table(SERVICE, self.table, Position(0, 8), 1.0)
        self.clients = FakeClients(("u-1", "u-2", "u-3"))
        self.leadership = Leadership(self.durations)

    def begin(self, era=1, took_over=0.0):
        now = read_clock()
        self.leadership.begin(Position(era, 7), now, now - took_over)
        term = Term(self.leadership, self.durations)
        self.coordinator = RecoveryCoordinator(
            term, self.deployment, self.clients
        )
        self.addCleanup(self.coordinator.close)
        self.term = term

    def drive(self, seconds=2.0):
        """Ask for the table until it is there, or for some seconds."""
        with gevent.Timeout(seconds, False):
            while True:
                table = self.coordinator.recover_table(SERVICE)
                if table is not None:
                    return table
                gevent.sleep(0.02)
        return None

    def count_released(self):
        return {
            name: len(client.released)
            for name, client in self.clients.clients.items()
        }

    def test_all_give_back_all_keys_at_a_fence_of_the_era(self):
        # Guards against a key that moved in the seconds that were lost.
        self.begin()
        table = self.drive()
        self.assertEqual(RangeTable(FIRST, self.table.tenures), table)
        for client in self.clients.clients.values():
            self.assertEqual([(ALL_KEYS, FIRST + 1)], client.released)
        # What they held before need not be waited for any more.
        now = read_clock()
        self.assertTrue(self.term.has_ended("u-3", ALL_KEYS, now, now))

    def test_nobody_gives_back_while_one_can_not_be_reached(self):
        # Guards against keys that are dark for an upstream that is cut off.
        self.clients.clients["u-3"].reachable = False
        self.begin()
        self.assertIsNone(self.drive(0.7))
        self.assertEqual(0, sum(self.count_released().values()))
        self.clients.clients["u-3"].reachable = True
        self.leadership.note_read(self.leadership.term, read_clock())
        self.assertIsNotNone(self.drive())

    def test_nobody_gives_back_while_the_store_is_silent(self):
        # Guards against keys that are dark since no table can be written.
        self.begin()
        silent = read_clock() - 2.1 * self.durations.verify
        self.leadership.begin(self.leadership.term, silent, read_clock())
        self.assertTrue(self.term.may_order(read_clock()))
        self.assertIsNone(self.drive(0.5))
        self.assertEqual(0, sum(self.count_released().values()))
        self.leadership.note_read(self.leadership.term, read_clock())
        self.assertIsNotNone(self.drive())

    def test_unanswered_release_is_none(self):
        self.clients.clients["u-2"].taken = OrderOutcome.UNKNOWN
        self.begin()
        self.assertIsNone(self.drive(0.7))
        self.assertGreater(self.count_released()["u-2"], 1)
        self.assertEqual(1, self.count_released()["u-1"])

    def test_time_proves_what_nobody_answers(self):
        self.clients.clients["u-3"].reachable = False
        self.begin(took_over=self.durations.max_inherited_hold())
        self.assertIsNotNone(self.drive())
        self.assertEqual(0, sum(self.count_released().values()))

    def test_owner_whose_address_another_has_has_ended(self):
        now = read_clock()
        self.clients.clients["u-3"].reachable = False
        self.clients.addresses["u-3"] = "1.1.1.3:1"
        entry = RegisteredUpstream("u-9", SERVICE, "1.1.1.3:1", "dc")
        self.deployment.directory.put(entry, now)
        self.begin()
        self.assertIsNotNone(self.drive())

    def test_owner_at_whose_address_nobody_listens_has_ended(self):
        # Guards against keys that are dark for ten seconds after a crash.
        self.clients.clients["u-3"].reachable = False
        self.clients.addresses["u-3"] = "127.0.0.1:1"
        self.begin()
        self.assertIsNotNone(self.drive())

    def test_nobody_is_asked_before_the_registry_is_whole(self):
        # Guards against a young upstream that is missing in the copy.
        self.deployment.note_era(1, read_clock())
        self.begin()
        self.assertIsNone(self.drive(0.5))
        self.assertEqual(0, sum(self.count_released().values()))

    def test_leader_whose_proof_has_ended_asks_nobody(self):
        self.begin()
        self.leadership.end()
        self.assertIsNone(self.drive(0.5))
        self.assertEqual(0, sum(self.count_released().values()))

    def test_store_without_eras_needs_none(self):
        self.begin(era=0)
        self.assertEqual(self.table, self.coordinator.recover_table(SERVICE))

    def test_it_is_done_once_in_a_term(self):
        self.begin()
        self.drive()
        self.assertIsNotNone(self.coordinator.recover_table(SERVICE))
        self.assertEqual({1}, set(self.count_released().values()))
