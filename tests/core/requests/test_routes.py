"""Tests of the choice of a route and a service, and of request times."""

import collections
import random

import testtools

from sedgetide.core.configuration.policy import Policy
from sedgetide.core.configuration.policy import RouteRule
from sedgetide.core.configuration.policy import Share
from sedgetide.core.requests.routes import choose_service
from sedgetide.core.requests.routes import compute_times
from sedgetide.core.requests.routes import RouteTable

ONE_SHARE = (Share("maps", 1.0),)


def make_route(name, host, prefix, shares=ONE_SHARE):
    return RouteRule(name, host, prefix, True, 1.5, 0.5, 2, 1, shares)


class TestRouteTable(testtools.TestCase):
    """Matches the host, then the longest prefix that ends with a slash."""

    def setUp(self):
        super().setUp()
        self.routes = RouteTable(
            Policy(
                1,
                (
                    make_route("all", "a.example", "/"),
                    make_route("map", "a.example", "/map/"),
                    make_route("tile", "a.example", "/map/tile/"),
                    make_route("other", "b.example", "/map/"),
                ),
                {},
            )
        )

    def match(self, host, path):
        route = self.routes.match(host, path)
        return None if route is None else route.name

    def test_longest_prefix(self):
        self.assertEqual("tile", self.match("a.example", "/map/tile/7"))
        self.assertEqual("map", self.match("a.example", "/map/tiles"))
        self.assertEqual("all", self.match("a.example", "/map"))

    def test_host_decides_first(self):
        self.assertEqual("other", self.match("B.example:8080", "/map/x"))
        self.assertIsNone(self.match("b.example", "/x"))
        self.assertIsNone(self.match("c.example", "/map/x"))


class TestChooseService(testtools.TestCase):
    """Shares follow the weights; all hosts choose the same service."""

    def test_weights(self):
        shares = (Share("old", 90), Share("new", 10))
        route = make_route("r", "a", "/", shares)
        counts = collections.Counter(
            choose_service(route, f"id-{number}") for number in range(4000)
        )
        self.assertAlmostEqual(0.1, counts["new"] / 4000, delta=0.02)

    def test_weight_of_zero_gets_nothing(self):
        route = make_route("r", "a", "/", (Share("x", 0), Share("y", 1)))
        chosen = {choose_service(route, f"id-{n}") for n in range(200)}
        self.assertEqual({"y"}, chosen)


class TestTimes(testtools.TestCase):
    """The final answer is due at the deadline or the timeout."""

    def test_the_earlier_one_counts(self):
        route = make_route("r", "a", "/")
        self.assertEqual(101.5, compute_times(route, 3.0, 100.0).final)
        self.assertEqual(100.2, compute_times(route, 0.2, 100.0).final)
        self.assertEqual(101.5, compute_times(route, None, 100.0).final)

    def test_hold_leaves_time_for_a_retry(self):
        route = make_route("r", "a", "/")
        self.assertEqual(
            100.25, compute_times(route, 3.0, 100.0).find_hold_deadline()
        )
        self.assertEqual(
            100.1, compute_times(route, 0.2, 100.0).find_hold_deadline()
        )


class TestSharesOfWindows(testtools.TestCase):
    """Deviation of random shares from their weights over 200 requests.

    The hash of the request id decides, so that hosts need no shared state;
    therefore shares vary at random. A deviation above 0.2 would violate a
    guarantee; one above 0.1 is a fault, of which a few are tolerated.
    """

    WINDOW = 200
    WINDOWS = 1000

    def list_deviations(self, weight):
        shares = (Share("a", weight), Share("b", 100.0 - weight))
        route = make_route("r", "a.example", "/", shares)
        source = random.Random(11)
        deviations = []
        for _ in range(self.WINDOWS):
            ids = (f"{source.getrandbits(64):016x}" for _ in range(200))
            chosen = sum(choose_service(route, each) == "a" for each in ids)
            deviations.append(abs(chosen / self.WINDOW - weight / 100.0))
        return deviations

    def test_even_shares(self):
        deviations = self.list_deviations(50.0)
        self.assertLess(max(deviations), 0.2)
        far = sum(deviation > 0.1 for deviation in deviations)
        self.assertLess(far / self.WINDOWS, 0.01)

    def test_small_share(self):
        self.assertLess(max(self.list_deviations(10.0)), 0.1)
