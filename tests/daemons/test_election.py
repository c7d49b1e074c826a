"""Tests of leader election."""

import msgspec
import testtools

from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.membership.capacity import HostCapacity
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import find_election_delay
from sedgetide.core.ownership.leadership import find_path_delay
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.runtime.clock import read_clock
from sedgetide.testing.leasestore import LeaseStoreModel

LEADER_KEY = make_leader_key(FIRST_ERA)
AS_OF = Position(FIRST_ERA, 1)
STRONG = HostCapacity(2.0, 100.0)


class FakeRegistry(RegistryDialect):
    """Registry without entries."""

    def list_prefixes(self):
        return ("",)

    def read(self, key, value):
        return None


class ModelStore(LeaseStore):
    """Client of the store's model; can be made unavailable."""

    def __init__(self, model):
        self.model = model
        self.unavailable = False

    def _check_available(self):
        if self.unavailable:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE,
                Step.READ,
                "store",
                "not available",
            )

    def read(self, key):
        self._check_available()
        return self.model.find(key)

    def list(self, prefix):
        self._check_available()
        return self.model.list(prefix)

    def watch(self, prefix, since, wait):
        self._check_available()
        return self.model.list_changes(prefix, since)

    def transact(self, era, expected, writes):
        self._check_available()
        revisions = {key: each.revision for key, each in expected.items()}
        return self.model.transact(revisions, writes)

    def open_lease(self, life):
        self._check_available()
        return self.model.open_lease(life, read_clock())

    def renew_lease(self, lease):
        self._check_available()
        self.model.renew_lease(lease, read_clock())

    def end_lease(self, lease):
        self._check_available()
        self.model.end_lease(lease)

    def close(self):
        pass


class TestElection(testtools.TestCase):
    """Steps of one host against a model of the store."""

    def setUp(self):
        super().setUp()
        self.model = LeaseStoreModel()
        self.store = ModelStore(self.model)
        self.durations = Durations(verify=0.001)
        self.leadership = Leadership(self.durations)
        self.deployment = DeploymentState(FakeRegistry())
        self.election = Election(
            self.store,
            LeaderRecord("h-1", "x", "1.1.1.1:1"),
            self.leadership,
            self.deployment,
            self.durations,
        )

    def step(self, later=0.0):
        self.deployment.record_sync(AS_OF, read_clock() + later)
        self.election.step(read_clock() + later)

    def become_leader(self):
        self.step()
        self.step(1.0)
        self.assertTrue(self.leadership.may_order(read_clock()))

    def test_runs_when_there_is_no_leader(self):
        self.become_leader()
        self.assertIsNotNone(self.model.find(LEADER_KEY))

    def test_weak_host_lets_stronger_ones_run_first(self):
        # The leader of ninety hosts renews some five hundred grants a second.
        # A leader with 0.4 of a core falls behind: grants expire and callers
        # of their keys are refused.
        self.check_lets_stronger_ones_run_first(HostCapacity(0.4))

    def test_host_with_a_narrow_link_lets_stronger_ones_run_first(self):
        # A leader on a link of 5 Mbit/s was busy for a second with each large
        # answer to a caller: grants timed out and its lease expired.
        self.check_lets_stronger_ones_run_first(HostCapacity(2.0, 5.0))

    def test_host_without_paths_lets_others_run_first(self):
        # Guards against a leader that resigns because it reaches no upstream
        # and is elected again at once, or followed by one like it.
        lost_share = 0.0
        cut_off = Election(
            self.store,
            LeaderRecord("h-2", "y", "1.1.1.2:1"),
            Leadership(self.durations),
            self.deployment,
            self.durations,
            find_lost_share=lambda: lost_share,
        )
        now = read_clock()
        self.deployment.record_sync(AS_OF, now)
        cut_off.step(now)
        lost_share = 1.0
        for later in (0.5, 1.5, find_path_delay(1.0) - 0.1):
            cut_off.step(now + later)
        self.assertIsNone(self.model.find(LEADER_KEY))
        cut_off.step(now + find_path_delay(1.0))
        self.assertIsNotNone(self.model.find(LEADER_KEY))

    def test_host_that_resigns_waits_like_any_other(self):
        self.become_leader()
        self.election.resign("reaches no upstream")
        self.sync_deployment()
        self.step(2.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def check_lets_stronger_ones_run_first(self, capacity):
        latest_strong_delay = find_election_delay(STRONG) + 0.4
        weak = Election(
            self.store,
            LeaderRecord("h-2", "y", "1.1.1.2:1"),
            Leadership(self.durations),
            self.deployment,
            self.durations,
            capacity,
        )
        now = read_clock()
        for later in (0.0, 0.2, 0.3):
            self.deployment.record_sync(AS_OF, now)
            weak.step(now + later)
        self.assertIsNone(self.model.find(LEADER_KEY))
        weak.step(now + latest_strong_delay + find_election_delay(capacity))
        self.assertIsNotNone(self.model.find(LEADER_KEY))

    def test_does_not_run_on_outdated_state(self):
        # Guards against an election by a partitioned host, whose state of
        # the deployment is outdated.
        self.election.step(read_clock())
        self.election.step(read_clock() + 1.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_first_writer_of_the_record_wins(self):
        self.model.put(LEADER_KEY, b"{}")
        self.step()
        self.step(1.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def sync_deployment(self):
        self.deployment.apply_items(self.model.list("").items, read_clock())

    def test_takes_over_from_its_own_process_that_was_killed(self):
        # All hosts are killed and restarted within a second. If the new
        # process waited for the old one's lease to expire, no grant would be
        # renewed meanwhile and keys would become unavailable.
        former = LeaderRecord("h-1", "before", "1.1.1.1:1")
        self.model.put(LEADER_KEY, msgspec.json.encode(former))
        self.sync_deployment()
        self.step()
        self.assertTrue(self.leadership.may_order(read_clock()))

    def test_leaves_the_record_of_another_host_alone(self):
        # The host name was reassigned to a machine at another address. The
        # old one may be partitioned and still lead.
        for other in (
            LeaderRecord("h-1", "before", "1.1.1.9:1"),
            LeaderRecord("h-9", "before", "1.1.1.1:1"),
        ):
            self.model.put(LEADER_KEY, msgspec.json.encode(other))
            self.sync_deployment()
            self.step()
            self.step(1.0)
            self.assertEqual(NO_POSITION, self.leadership.term)

    def test_record_removed_while_the_lease_is_renewed(self):
        self.become_leader()
        self.model.revoke_all(forget=False)
        self.step(2.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_unavailable_store_ends_the_term(self):
        self.become_leader()
        self.store.unavailable = True
        self.step(1.0)
        self.assertNotEqual(NO_POSITION, self.leadership.term)
        self.step(10.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def restore_store(self):
        """Restore the store from a backup and notify the host."""
        self.model.restore(self.model.copy(), read_clock())
        self.leadership.note_era(1)
        self.deployment.note_era(1, read_clock())

    def test_leads_on_the_last_proof_only_after_a_restore(self):
        # Guards against a term prolonged by the record in the backup.
        self.become_leader()
        self.restore_store()
        self.step(0.1)
        self.assertTrue(self.leadership.may_order(read_clock()))
        self.step(self.durations.proof_life)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_lease_of_an_earlier_era_is_left_alone(self):
        # Guards against ending the lease of another host, to which the store
        # gave the same id after the restore.
        self.become_leader()
        calls = []
        self.store.renew_lease = calls.append
        self.store.end_lease = calls.append
        self.restore_store()
        self.step(0.1)
        self.election.resign()
        self.assertEqual([], calls)

    def test_lease_of_an_attempt_interrupted_by_a_restore_is_left_alone(self):
        # Guards against ending the lease of another host, to which the store
        # gave the same id after a restore during the election.
        ended = []

        def conflict(era, expected, writes):
            self.restore_store()
            raise StoreConflict(Step.WRITE, "store", 0, -1)

        self.store.transact = conflict
        self.store.end_lease = ended.append
        self.step()
        self.step(1.0)
        self.assertEqual([], ended)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_runs_in_the_new_era_once_it_has_listed_the_store(self):
        # Guards against an election by state read before the restore.
        self.become_leader()
        self.restore_store()
        self.step(self.durations.proof_life)
        self.step(5.0)
        self.assertIsNone(self.model.find(make_leader_key(1)))
        self.deployment.record_sync(Position(1, 1), read_clock())
        self.step(5.0)
        self.step(6.0)
        self.assertIsNotNone(self.model.find(make_leader_key(1)))
        self.assertEqual(1, self.leadership.term.era)

    def test_resigned_record_is_gone_at_once(self):
        self.become_leader()
        self.election.resign()
        self.assertIsNone(self.model.find(LEADER_KEY))
