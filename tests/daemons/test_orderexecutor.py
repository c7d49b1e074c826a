"""Tests of the orders of one term, against an upstream on a real socket."""

import gevent
from gevent.event import Event
import testtools

from sedgetide.core.history import Position
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._orderclient import OrderOutcome
from sedgetide.daemons._orderclient import OrderResult
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.daemons._orderexecutor import OrderExecutor
from sedgetide.platform._orders import PlatformOrders
from sedgetide.runtime.clock import read_clock
from tests.daemons.test_election import FakeCatalogue
from tests.daemons.test_orderclient import Upstream

SERVICE = "maps"
TERM = Position(0, 7)


class TestRestartedOwner(testtools.TestCase):
    """No start of an upstream gets keys at a fence of a start before."""

    def setUp(self):
        super().setUp()
        self.upstream = Upstream()
        self.addCleanup(self.upstream.stop)
        durations = Durations(renew=0.1, order_timeout=0.3)
        leadership = Leadership(durations)
        leadership.begin(TERM, read_clock(), read_clock())
        self.deployment = DeploymentState(FakeCatalogue())
        entry = RegisteredUpstream(
            "u-1", SERVICE, f"127.0.0.1:{self.upstream.port}", "dc", born=5
        )
        self.deployment.directory.put(entry, read_clock())
        self.table = RangeTable().assign_first([(entry.name, 1)])
        self.deployment.update_table(
            SERVICE, self.table, Position(0, 8), read_clock()
        )
        clients = OrderClients(PlatformOrders(), durations.order_timeout)
        clients.update_entries(self.deployment.directory, read_clock())
        self.addCleanup(clients.forget, ())
        self.executor = OrderExecutor(
            Term(leadership, durations),
            self.deployment,
            clients,
            durations,
            lambda *_: None,
        )
        self.addCleanup(self.executor.close)

    def wait_for(self, test):
        with gevent.Timeout(5.0):
            while not test():
                gevent.sleep(0.02)

    def test_renewals_stop_before_the_registry_tells(self):
        # The owner crashes and is back before its next renewal. It knows of
        # no fence and would take its former start's keys, while nobody has
        # waited for what that start may still do. The leader gives them anew
        # at a higher fence instead.
        self.executor.reconcile(SERVICE, self.table)
        self.wait_for(lambda: self.upstream.grants)
        self.upstream.stop()
        self.upstream.grants.clear()
        self.upstream.start()
        fenced = set()

        def is_told():
            fenced.update(self.executor.pop_fenced(SERVICE))
            return bool(fenced)

        self.wait_for(is_told)
        gevent.sleep(0.3)
        self.assertEqual([], self.upstream.grants)
        self.assertEqual(set(self.table.tenures), fenced)


class SlowClient:
    """Way to an upstream whose connection opens when the test says so."""

    session = 0

    def __init__(self, sent):
        self.opened = Event()
        self.waiting = Event()
        self._sent = sent

    def _send(self, kind, keys, fence, may_send):
        self.waiting.set()
        self.opened.wait(5.0)
        if not may_send():
            return OrderResult(OrderOutcome.UNSENT)
        self._sent.append((kind, keys.low, fence))
        return OrderResult(OrderOutcome.DONE)

    def grant(self, keys, fence, handover, prepare):
        return self._send("grant", keys, fence, prepare)

    def release(self, keys, fence, may_send):
        return self._send("release", keys, fence, may_send)


class SlowClients:
    """One slow way to each upstream."""

    def __init__(self, names):
        self.sent = {name: [] for name in names}
        self.clients = {name: SlowClient(self.sent[name]) for name in names}

    def find(self, upstream):
        return self.clients[upstream]

    def find_address(self, upstream):
        return ""


class TestOrdersHeldUpOnTheirWay(testtools.TestCase):
    """No order leaves once the table has moved on, however late it can."""

    def setUp(self):
        super().setUp()
        durations = Durations(renew=60.0)
        leadership = Leadership(durations)
        # Whatever an earlier leader granted has run out.
        leadership.begin(TERM, read_clock(), read_clock() - 60.0)
        self.deployment = DeploymentState(FakeCatalogue())
        self.clients = SlowClients(("u-1", "u-2", "u-3"))
        self.moved = []
        self.executor = OrderExecutor(
            Term(leadership, durations),
            self.deployment,
            self.clients,
            durations,
            lambda _, tenure: self.moved.append(tenure),
        )
        self.addCleanup(self.executor.close)
        self.revision = 8
        self.table = RangeTable().assign_first([("u-1", 1)])

    def put_in_force(self, table):
        self.revision += 1
        self.table = table
        self.deployment.update_table(
            SERVICE, table, Position(0, self.revision), read_clock()
        )

    def reconcile(self, table):
        self.put_in_force(table)
        self.executor.reconcile(SERVICE, table)

    def move(self, successor):
        keys = KeyRange(0, 99)
        return self.table.begin([Move(keys, successor)])

    def let_through(self, name):
        self.clients.clients[name].opened.set()
        gevent.sleep(0.01)

    def test_renewal_does_not_follow_the_grant_of_the_next_owner(self):
        # Two owners of one key at once: the renewal is begun in time, and
        # its connection opens after its range has gone to another.
        self.reconcile(self.table)
        self.assertTrue(self.clients.clients["u-1"].waiting.wait(1.0))
        # Nothing was sent to the owner, so nothing has to be waited for.
        self.reconcile(self.move("u-2"))
        self.let_through("u-2")
        self.assertEqual([("grant", 0, 2)], self.clients.sent["u-2"])
        self.let_through("u-1")
        self.assertNotIn(("grant", 0, 1), self.clients.sent["u-1"])

    def test_owners_of_a_later_era_get_no_orders_of_this_term(self):
        # Guards against two owners: the next leader counts on its own grants
        # only, once an upstream has given back all keys.
        self.deployment.update_table(
            SERVICE, self.table, Position(1, 2), read_clock()
        )
        self.executor.reconcile(SERVICE, self.table)
        self.let_through("u-1")
        self.assertEqual([], self.clients.sent["u-1"])

    def test_grant_of_a_move_that_was_overtaken_stays_here(self):
        # Two owners of one key at once: the successor of a move that the
        # table no longer has is reached after the next one has the keys.
        self.put_in_force(self.move("u-2"))
        tenure = self.table.find(0)
        task = gevent.spawn(self.executor._grant, SERVICE, "u-2", tenure, "")
        self.addCleanup(task.kill)
        self.assertTrue(self.clients.clients["u-2"].waiting.wait(1.0))
        self.put_in_force(self.table.complete([tenure]))
        self.put_in_force(self.move("u-3"))
        self.let_through("u-2")
        self.assertEqual([], self.clients.sent["u-2"])

    def test_release_of_a_move_that_was_overtaken_stays_here(self):
        # Keys go dark: a release sent late takes back what the same
        # upstream has got again since.
        self.put_in_force(self.move("u-2"))
        tenure = self.table.find(0)
        task = gevent.spawn(self.executor._release, SERVICE, tenure)
        self.addCleanup(task.kill)
        self.assertTrue(self.clients.clients["u-1"].waiting.wait(1.0))
        self.put_in_force(self.table.complete([tenure]))
        self.put_in_force(self.move("u-1"))
        self.put_in_force(self.table.complete([self.table.find(0)]))
        self.let_through("u-1")
        self.assertEqual([], self.clients.sent["u-1"])
        self.assertIsNone(task.get())
