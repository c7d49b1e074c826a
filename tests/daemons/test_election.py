"""Tests of becoming the leader and of proving to be it."""

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
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import find_election_delay
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._recordkeys import make_leader_key
from sedgetide.runtime.clock import read_clock
from sedgetide.testing.leasestore import LeaseStoreModel

LEADER_KEY = make_leader_key(FIRST_ERA)
AS_OF = Position(FIRST_ERA, 1)


class FakeCatalogue(RegistryDialect):
    """Knows nothing."""

    def list_prefixes(self):
        return ("",)

    def read(self, key, value):
        return None


class ModelStore(LeaseStore):
    """The store's model as a client of it; may be away."""

    def __init__(self, model):
        self.model = model
        self.away = False

    def _reach(self):
        if self.away:
            raise StoreError(
                ErrorCode.STORE_UNAVAILABLE, Step.READ, "store", "away"
            )

    def read(self, key):
        self._reach()
        return self.model.find(key)

    def list(self, prefix):
        self._reach()
        return self.model.list(prefix)

    def watch(self, prefix, since, wait):
        self._reach()
        return self.model.list_changes(prefix, since)

    def transact(self, era, expected, writes):
        self._reach()
        revisions = {key: each.revision for key, each in expected.items()}
        return self.model.transact(revisions, writes)

    def open_lease(self, life):
        self._reach()
        return self.model.open_lease(life, read_clock())

    def renew_lease(self, lease):
        self._reach()
        self.model.renew_lease(lease, read_clock())

    def end_lease(self, lease):
        self._reach()
        self.model.end_lease(lease)

    def close(self):
        pass


class TestCampaign(testtools.TestCase):
    """Steps of one host, with the store's model behind it."""

    def setUp(self):
        super().setUp()
        self.model = LeaseStoreModel()
        self.store = ModelStore(self.model)
        self.durations = Durations(verify=0.001)
        self.leadership = Leadership(self.durations)
        self.deployment = DeploymentState(FakeCatalogue())
        self.campaign = Election(
            self.store,
            LeaderRecord("h-1", "x", "1.1.1.1:1"),
            self.leadership,
            self.deployment,
            self.durations,
        )

    def step(self, later=0.0):
        self.deployment.record_sync(AS_OF, read_clock() + later)
        self.campaign.step(read_clock() + later)

    def stand(self):
        self.step()
        self.step(1.0)
        self.assertTrue(self.leadership.may_order(read_clock()))

    def test_stands_where_nobody_leads(self):
        self.stand()
        self.assertIsNotNone(self.model.find(LEADER_KEY))

    def test_weak_host_lets_stronger_ones_stand_first(self):
        # The leader of ninety hosts is killed. The next one renews some
        # five hundred grants a second: a host with 0.4 of a core falls
        # behind, grants run out and their keys' callers are refused.
        last_of_the_strong = find_election_delay(2.0) + 0.4
        weak = Election(
            self.store,
            LeaderRecord("h-2", "y", "1.1.1.2:1"),
            Leadership(self.durations),
            self.deployment,
            self.durations,
            processors=0.4,
        )
        now = read_clock()
        for later in (0.0, 0.2, 0.3):
            self.deployment.record_sync(AS_OF, now)
            weak.step(now + later)
        self.assertIsNone(self.model.find(LEADER_KEY))
        weak.step(now + last_of_the_strong + find_election_delay(0.4))
        self.assertIsNotNone(self.model.find(LEADER_KEY))

    def test_does_not_stand_on_old_news(self):
        # The host was cut off; that nobody leads is what it knew then.
        self.campaign.step(read_clock())
        self.campaign.step(read_clock() + 1.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_faster_host_wins(self):
        self.model.put(LEADER_KEY, b"{}")
        self.step()
        self.step(1.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def list_own(self):
        self.deployment.apply_items(self.model.list("").items, read_clock())

    def test_takes_over_from_its_own_process_that_was_killed(self):
        # All hosts are killed and back within a second. Were the record of
        # the one that led waited for, no grant would be renewed for the
        # rest of its lease, and keys would go dark.
        former = LeaderRecord("h-1", "before", "1.1.1.1:1")
        self.model.put(LEADER_KEY, msgspec.json.encode(former))
        self.list_own()
        self.step()
        self.assertTrue(self.leadership.may_order(read_clock()))

    def test_leaves_the_record_of_another_host_alone(self):
        # The name was given to a new machine at another address; the old
        # one may be cut off and lead.
        for other in (
            LeaderRecord("h-1", "before", "1.1.1.9:1"),
            LeaderRecord("h-9", "before", "1.1.1.1:1"),
        ):
            self.model.put(LEADER_KEY, msgspec.json.encode(other))
            self.list_own()
            self.step()
            self.step(1.0)
            self.assertEqual(NO_POSITION, self.leadership.term)

    def test_record_taken_away_while_the_lease_goes_on(self):
        self.stand()
        self.model.revoke_all(forget=False)
        self.step(2.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_turned_away_long_enough_it_gives_up(self):
        self.stand()
        self.store.away = True
        self.step(1.0)
        self.assertNotEqual(NO_POSITION, self.leadership.term)
        self.step(10.0)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def return_from_copy(self):
        """Have the store come back, and the host hear of it."""
        self.model.restore(self.model.copy(), read_clock())
        self.leadership.note_era(1)
        self.deployment.note_era(1, read_clock())

    def test_leads_on_the_last_proof_only_after_a_return(self):
        # Guards against a term that goes on by a record from the copy.
        self.stand()
        self.return_from_copy()
        self.step(0.1)
        self.assertTrue(self.leadership.may_order(read_clock()))
        self.step(self.durations.proof_life)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_lease_of_an_earlier_era_is_left_alone(self):
        # Guards against an end to the lease of whoever has its id now.
        self.stand()
        calls = []
        self.store.renew_lease = calls.append
        self.store.end_lease = calls.append
        self.return_from_copy()
        self.step(0.1)
        self.campaign.resign()
        self.assertEqual([], calls)

    def test_lease_of_a_stand_that_a_return_cut_short_is_left_alone(self):
        # Guards against an end to the lease of whoever has its id now.
        ended = []

        def conflict(era, expected, writes):
            self.return_from_copy()
            raise StoreConflict(Step.WRITE, "store", 0, -1)

        self.store.transact = conflict
        self.store.end_lease = ended.append
        self.step()
        self.step(1.0)
        self.assertEqual([], ended)
        self.assertEqual(NO_POSITION, self.leadership.term)

    def test_stands_in_the_new_era_once_it_has_listed_the_store(self):
        # Guards against standing by what was known of the era before.
        self.stand()
        self.return_from_copy()
        self.step(self.durations.proof_life)
        self.step(5.0)
        self.assertIsNone(self.model.find(make_leader_key(1)))
        self.deployment.record_sync(Position(1, 1), read_clock())
        self.step(5.0)
        self.step(6.0)
        self.assertIsNotNone(self.model.find(make_leader_key(1)))
        self.assertEqual(1, self.leadership.term.era)

    def test_resigned_record_is_gone_at_once(self):
        self.stand()
        self.campaign.resign()
        self.assertIsNone(self.model.find(LEADER_KEY))
