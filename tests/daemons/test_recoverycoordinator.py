"""Tests of the recovery of ownership in a new era of the store."""

import gevent
from prometheus_client import REGISTRY
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
from tests.daemons.eventcapture import capture_events
from tests.daemons.test_election import FakeRegistry

SERVICE = "maps"
FIRST = 1 << 32


class FakeClient:
    """Order client of an upstream that can be unreachable."""

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
    """Clients by name; those of upstreams that have left included."""

    def __init__(self, names):
        self.clients = {name: FakeClient() for name in names}
        self.addresses = {}

    def list_seen(self, service, since):
        return list(self.clients)

    def find(self, name):
        return self.clients.get(name)

    def find_address(self, name):
        return self.addresses.get(name, "")


class TestRecoveryCoordinator(testtools.TestCase):
    """Recovery in a new era; the last known table is of the former one."""

    def setUp(self):
        super().setUp()
        self.durations = Durations()
        self.deployment = DeploymentState(FakeRegistry())
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

    def run_recovery(self, seconds=2.0):
        """Advance the recovery until it is complete or time is up."""
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

    def test_all_release_all_keys_at_a_fence_of_the_era(self):
        # Guards against two owners of a key whose move is missing in the
        # backup.
        self.begin()
        table = self.run_recovery()
        self.assertEqual(RangeTable(FIRST, self.table.tenures), table)
        for client in self.clients.clients.values():
            self.assertEqual([(ALL_KEYS, FIRST + 1)], client.released)
        # Earlier grants needn't be waited for any more.
        now = read_clock()
        self.assertTrue(self.term.has_ended("u-3", ALL_KEYS, now, now))

    def test_nobody_releases_while_one_is_unreachable(self):
        # Guards against keys that are unavailable because one upstream is
        # partitioned.
        self.clients.clients["u-3"].reachable = False
        self.begin()
        self.assertIsNone(self.run_recovery(0.7))
        self.assertEqual(0, sum(self.count_released().values()))
        self.clients.clients["u-3"].reachable = True
        self.leadership.note_read(self.leadership.term, read_clock())
        self.assertIsNotNone(self.run_recovery())

    def test_nobody_releases_while_the_store_is_unavailable(self):
        # Guards against keys that are unavailable because no table can be
        # written.
        self.begin()
        silent = read_clock() - 2.1 * self.durations.verify
        self.leadership.begin(self.leadership.term, silent, read_clock())
        self.assertTrue(self.term.may_order(read_clock()))
        self.assertIsNone(self.run_recovery(0.5))
        self.assertEqual(0, sum(self.count_released().values()))
        self.leadership.note_read(self.leadership.term, read_clock())
        self.assertIsNotNone(self.run_recovery())

    def test_unanswered_release_is_repeated(self):
        self.clients.clients["u-2"].taken = OrderOutcome.UNKNOWN
        self.begin()
        self.assertIsNone(self.run_recovery(0.7))
        self.assertGreater(self.count_released()["u-2"], 1)
        self.assertEqual(1, self.count_released()["u-1"])

    def test_recovery_ends_when_all_grants_have_expired(self):
        self.clients.clients["u-3"].reachable = False
        self.begin(took_over=self.durations.max_inherited_hold())
        self.assertIsNotNone(self.run_recovery())
        self.assertEqual(0, sum(self.count_released().values()))

    def test_owner_whose_address_is_reused_has_ended(self):
        now = read_clock()
        self.clients.clients["u-3"].reachable = False
        self.clients.addresses["u-3"] = "1.1.1.3:1"
        entry = RegisteredUpstream("u-9", SERVICE, "1.1.1.3:1", "dc")
        self.deployment.directory.put(entry, now)
        self.begin()
        self.assertIsNotNone(self.run_recovery())

    def test_owner_at_whose_address_nobody_listens_has_ended(self):
        # Guards against keys that are unavailable for ten seconds after a
        # crash.
        self.clients.clients["u-3"].reachable = False
        self.clients.addresses["u-3"] = "127.0.0.1:1"
        self.begin()
        self.assertIsNotNone(self.run_recovery())

    def test_nobody_is_asked_before_all_have_registered_again(self):
        # Guards against missing a young upstream that isn't in the backup.
        self.deployment.note_era(1, read_clock())
        self.begin()
        self.assertIsNone(self.run_recovery(0.5))
        self.assertEqual(0, sum(self.count_released().values()))

    def test_leader_whose_proof_has_ended_asks_nobody(self):
        self.begin()
        self.leadership.end()
        self.assertIsNone(self.run_recovery(0.5))
        self.assertEqual(0, sum(self.count_released().values()))

    def count_proofs(self, proof):
        labels = {"service": SERVICE, "occasion": "restore", "proof": proof}
        name = "sedgetide_stop_proofs_total"
        return REGISTRY.get_sample_value(name, labels) or 0

    def test_lines_and_counters_name_the_proof_for_each_upstream(self):
        # Guards against a recovery whose log doesn't tell which upstream
        # answered, and which only refused a connection.
        events = capture_events(self)
        kinds = ("answered", "other-instance", "refused", "address-reused")
        before = [self.count_proofs(kind) for kind in kinds]
        self.clients.clients["u-2"].taken = OrderOutcome.FOREIGN
        self.clients.clients["u-3"].reachable = False
        self.clients.addresses["u-3"] = "127.0.0.1:1"
        self.clients.clients["u-4"] = FakeClient()
        self.clients.addresses["u-4"] = "1.1.1.4:1"
        entry = RegisteredUpstream("u-9", SERVICE, "1.1.1.4:1", "dc")
        self.deployment.directory.put(entry, read_clock())
        self.begin()
        self.assertIsNotNone(self.run_recovery())
        lines = [e for e in events if e["msg"] == "upstream-released"]
        self.assertEqual(
            [
                ("u-1", "", "answered"),
                ("u-2", "", "other-instance"),
                ("u-3", "127.0.0.1:1", "refused"),
            ],
            sorted((e["upstream"], e["address"], e["proof"]) for e in lines),
        )
        (end,) = (e for e in events if e["msg"] == "recovered")
        self.assertEqual(
            (3, 1, 1, 1, 1, 0),
            (
                end["released"],
                end["answered"],
                end["other_instance"],
                end["refused"],
                end["left_out"],
                end["unreleased"],
            ),
        )
        after = [self.count_proofs(kind) for kind in kinds]
        self.assertEqual([each + 1 for each in before], after)

    def test_unreleased_upstreams_are_counted(self):
        # Guards against "recovered" after a wait that reads like one after
        # releases.
        events = capture_events(self)
        before = self.count_proofs("expired")
        self.begin(took_over=self.durations.max_inherited_hold())
        self.assertIsNotNone(self.run_recovery())
        (end,) = (e for e in events if e["msg"] == "recovered")
        self.assertEqual((0, 3), (end["released"], end["unreleased"]))
        self.assertEqual(before + 3, self.count_proofs("expired"))

    def test_state_shows_what_the_recovery_waits_for(self):
        # Guards against a recovery that waits without showing for whom.
        self.clients.clients["u-3"].reachable = False
        self.begin()
        self.assertIsNone(self.run_recovery(0.3))
        state = self.coordinator.dump_state(read_clock())[SERVICE]
        self.assertEqual(["u-1", "u-2", "u-3"], state["pending"])
        self.assertEqual(["u-1", "u-2"], state["reachable"])
        self.assertEqual({}, state["released"])
        self.assertAlmostEqual(
            self.durations.max_inherited_hold() - 0.3,
            state["earlier_grants_s"],
            delta=0.25,
        )
        self.clients.clients["u-3"].reachable = True
        self.assertIsNotNone(self.run_recovery())
        self.assertEqual({}, self.coordinator.dump_state(read_clock()))

    def test_first_era_needs_no_recovery(self):
        self.begin(era=0)
        self.assertEqual(self.table, self.coordinator.recover_table(SERVICE))

    def test_recovery_runs_once_in_a_term(self):
        self.begin()
        self.run_recovery()
        self.assertIsNotNone(self.coordinator.recover_table(SERVICE))
        self.assertEqual({1}, set(self.count_released().values()))
