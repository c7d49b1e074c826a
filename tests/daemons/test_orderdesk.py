"""Tests of the orders of one term, against an upstream on a real socket."""

import gevent
import testtools

from sedgetide.core.identifiers import Revision
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._knowledge import Knowledge
from sedgetide.daemons._orderdesk import OrderDesk
from sedgetide.daemons._orderdesk import OrderLanes
from sedgetide.platform._orders import PlatformOrders
from sedgetide.runtime.clock import read_clock
from tests.daemons.test_campaign import FakeCatalogue
from tests.daemons.test_orders import Upstream

SERVICE = "maps"
TERM = Revision(7)


class TestRestartedOwner(testtools.TestCase):
    """No start of an upstream gets keys at a fence of a start before."""

    def setUp(self):
        super().setUp()
        self.upstream = Upstream()
        self.addCleanup(self.upstream.stop)
        durations = Durations(renew=0.1, order_timeout=0.3)
        leadership = Leadership(durations)
        leadership.begin(TERM, read_clock(), read_clock())
        self.knowledge = Knowledge(FakeCatalogue())
        entry = RegisteredUpstream(
            "u-1", SERVICE, f"127.0.0.1:{self.upstream.port}", "dc", born=5
        )
        self.knowledge.directory.put(entry, read_clock())
        self.table = RangeTable().assign_first([(entry.name, 1)])
        self.knowledge.take_table(
            SERVICE, self.table, Revision(8), read_clock()
        )
        lanes = OrderLanes(PlatformOrders(), durations.order_timeout)
        lanes.note_addresses(self.knowledge.directory)
        self.addCleanup(lanes.forget, ())
        self.desk = OrderDesk(
            Term(leadership, durations),
            self.knowledge,
            lanes,
            durations,
            lambda *_: None,
        )
        self.addCleanup(self.desk.close)

    def wait_for(self, test):
        with gevent.Timeout(5.0):
            while not test():
                gevent.sleep(0.02)

    def test_renewals_stop_before_the_registry_tells(self):
        # The owner crashes and is back before its next renewal. It knows of
        # no fence and would take its former start's keys, while nobody has
        # waited for what that start may still do. The leader gives them anew
        # at a higher fence instead.
        self.desk.follow(SERVICE, self.table)
        self.wait_for(lambda: self.upstream.grants)
        self.upstream.stop()
        self.upstream.grants.clear()
        self.upstream.start()
        fenced = set()

        def is_told():
            fenced.update(self.desk.take_fenced(SERVICE))
            return bool(fenced)

        self.wait_for(is_told)
        gevent.sleep(0.3)
        self.assertEqual([], self.upstream.grants)
        self.assertEqual(set(self.table.tenures), fenced)
