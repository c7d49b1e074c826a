"""Tests of the selection of hosts that lend places at upstreams."""

import testtools

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import UpstreamName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LenderList
from sedgetide.core.membership.lenders import LenderSelector
from sedgetide.core.membership.lenders import LendingHost

NORTH, SOUTH = DataCentre("north"), DataCentre("south")


def make_upstreams(count, data_centre=NORTH, slots=2):
    return [
        RegisteredUpstream(
            UpstreamName(f"{data_centre}-{index}"),
            ServiceName("map"),
            f"10.0.0.{index}:80",
            data_centre,
            slots,
        )
        for index in range(count)
    ]


def make_link(index, data_centre=NORTH):
    return LinkAddress(f"{data_centre}-host-{index}:7000")


class TestLenderSelector(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.selector = LenderSelector(LenderList(), 0.0)

    def report(self, count, now, data_centre=NORTH, weak=()):
        for index in range(count):
            processors = 0.4 if index in weak else 2.0
            self.selector.note(
                make_link(index, data_centre),
                HostStatus(data_centre, processors),
                now,
            )

    def choose(self, upstreams, now):
        return [
            each.link for each in self.selector.choose(upstreams, now).hosts
        ]

    def test_few_hosts_use_their_own_windows(self):
        # The limit is four hosts per slot, including the leader, which does
        # not report.
        self.report(7, 2.0)
        self.assertEqual([], self.choose(make_upstreams(20), 2.0))
        self.report(8, 2.0)
        self.assertEqual([], self.choose(make_upstreams(20, slots=6), 2.0))
        self.assertEqual(2, len(self.choose(make_upstreams(20), 2.0)))

    def test_host_that_stops_and_comes_back_changes_no_queue(self):
        self.report(8, 2.0)
        before = self.choose(make_upstreams(20), 2.0)
        self.report(7, 3.4)
        self.assertEqual(before, self.choose(make_upstreams(20), 3.4))
        self.report(3, 6.0)
        self.assertEqual([], self.choose(make_upstreams(20), 6.0))

    def test_few_hosts_before_cold_upstreams(self):
        # A cold upstream can be crashed by the requests of a few hosts that
        # each use their own window. Lenders therefore count its requests
        # for all hosts, while windows are used for all other upstreams.
        self.report(5, 2.0)
        upstreams = make_upstreams(20, slots=6)
        found = self.selector.choose(upstreams, 2.0, upstreams)
        self.assertEqual(1, len(found.hosts))
        self.assertTrue(found.rate_limited_only)
        # Lending at limited upstreams must not lower the number of hosts
        # from which places are lent at all upstreams.
        self.report(5, 2.4)
        self.assertTrue(
            self.selector.choose(upstreams, 2.4, upstreams).rate_limited_only
        )

    def test_many_hosts_before_cold_upstreams(self):
        self.report(10, 2.0)
        keyed, plain = make_upstreams(20), make_upstreams(3, SOUTH)
        found = self.selector.choose(keyed, 2.0, plain)
        self.assertFalse(found.rate_limited_only)
        self.assertEqual(2, len(found.hosts))

    def test_strong_hosts_near_the_upstreams_lend(self):
        self.report(10, 2.0, weak=range(8))
        self.report(10, 2.0, SOUTH)
        chosen = self.choose(make_upstreams(20), 2.0)
        self.assertEqual([make_link(8), make_link(9)], chosen)

    def test_hosts_with_broad_links_lend(self):
        # On a narrow link, places wait behind large answers to callers.
        for index, link_mbps in enumerate((5.0, 5.0, 100.0)):
            self.selector.note(
                make_link(index),
                HostStatus(NORTH, 2.0 - index / 4, 0, 0, link_mbps),
                2.0,
            )
        self.report(10, 1.9, SOUTH)
        self.assertEqual([make_link(2)], self.choose(make_upstreams(10), 2.0))

    def test_current_lenders_are_kept(self):
        self.report(10, 2.0, weak=range(5))
        before = self.choose(make_upstreams(10), 2.0)
        self.report(10, 2.4)
        self.assertEqual(before, self.choose(make_upstreams(10), 2.4))

    def test_lost_lender_is_replaced(self):
        """A killed lender is replaced after three missed reports.

        Until the leader selects another lender, hosts use their own windows.
        """
        self.report(10, 2.0)
        (lost,) = self.choose(make_upstreams(10), 2.0)
        for now in (2.4, 2.8, 3.2, 3.6):
            for index in range(10):
                if make_link(index) != lost:
                    self.selector.note(
                        make_link(index), HostStatus(NORTH, 2.0), now
                    )
        (chosen,) = self.choose(make_upstreams(10), 3.6)
        self.assertNotEqual(lost, chosen)

    def test_host_about_to_stop_lends_no_more(self):
        self.report(10, 2.0)
        (stopping,) = self.choose(make_upstreams(10), 2.0)
        self.selector.note(stopping, HostStatus(NORTH, 0.0), 2.1)
        self.assertNotIn(stopping, self.choose(make_upstreams(10), 2.1))

    def test_new_leader_keeps_the_lenders_until_all_have_reported(self):
        """A new leader must not move the queues of waiting requests.

        Hosts report to the new leader one after the other. If it selected
        lenders by the first reports, every queue would move.
        """
        named = LenderList((LendingHost(make_link(7), NORTH),))
        self.selector = LenderSelector(named, 10.0)
        self.report(3, 10.4)
        self.assertEqual([make_link(7)], self.choose(make_upstreams(10), 10.4))
        self.report(10, 11.4)
        self.assertEqual([make_link(7)], self.choose(make_upstreams(10), 11.4))


class TestLenderList(testtools.TestCase):
    def setUp(self):
        super().setUp()
        hosts = [
            LendingHost(make_link(index, place), place)
            for place in (NORTH, SOUTH)
            for index in range(2)
        ]
        self.list = LenderList(tuple(hosts))

    def test_upstream_is_lent_in_its_own_data_centre(self):
        for upstream in make_upstreams(20, SOUTH):
            self.assertIn("south", self.list.find(upstream))

    def test_any_lends_where_none_is_near(self):
        (upstream,) = make_upstreams(1, DataCentre("west"))
        self.assertIsNotNone(self.list.find(upstream))
        self.assertIsNone(LenderList().find(upstream))

    def test_version_differs_between_lists(self):
        again = LenderList(tuple(list(self.list.hosts)))
        fewer = LenderList(self.list.hosts[1:])
        self.assertEqual(again.version, self.list.version)
        self.assertNotEqual(fewer.version, self.list.version)
        self.assertEqual(0, LenderList().version)
        rate_limited_only = LenderList(self.list.hosts, True)
        self.assertNotEqual(rate_limited_only.version, self.list.version)
