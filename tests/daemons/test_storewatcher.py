"""Tests of how often a host asks the store."""

import contextlib

import gevent
import testtools

from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import Step
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._storewatcher import choose_watch_delay
from sedgetide.daemons._storewatcher import StoreWatcher
from sedgetide.testing.leasestore import LeaseStoreModel
from tests.daemons.test_election import FakeCatalogue
from tests.daemons.test_election import ModelStore


class TestChooseWatchDelay(testtools.TestCase):
    """The leader is lost, and sixty hosts watch the store themselves.

    Upstreams register and warm up, thirty events a second. With a call for
    each event and host the store answers 429 to the one that stands to
    lead, too, and the keys stay dark for longer.
    """

    def test_host_gathers_what_comes_in_quick_succession(self):
        calls = 1.0 / choose_watch_delay(leading=False, news=1)
        self.assertLess(60 * calls, 600)

    def test_nothing_is_put_off_where_there_is_no_news(self):
        self.assertEqual(0.0, choose_watch_delay(leading=False, news=0))

    def test_leader_acts_at_once(self):
        self.assertEqual(0.0, choose_watch_delay(leading=True, news=5))


class LosingStore(ModelStore):
    """Lists what it holds, and remembers no history at all."""

    def __init__(self, model):
        super().__init__(model)
        self.listed = 0

    def list(self, prefix):
        self.listed += 1
        gevent.sleep(0.001)
        return super().list(prefix)

    def watch(self, prefix, since, wait):
        raise HistoryLost(
            ErrorCode.STORE_UNAVAILABLE, Step.WATCH, "store", "gone"
        )


class TestStoreWatcher(testtools.TestCase):
    """What a host asks of the store again and again."""

    def test_history_that_stays_lost_is_asked_for_at_intervals(self):
        # Guards against sixty whole listings a second, of each host.
        store = LosingStore(LeaseStoreModel())
        deployment = DeploymentState(FakeCatalogue())
        watcher = StoreWatcher(
            store, "", deployment, lambda: False, lambda: True
        )
        with contextlib.ExitStack() as stack:
            watcher.start(stack)
            gevent.sleep(0.6)
        self.assertGreaterEqual(store.listed, 2)
        self.assertLess(store.listed, 6)
