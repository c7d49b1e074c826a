"""Tests of the load balancing among upstreams."""

import collections
import random

import testtools

from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.loadbalancing import Candidate
from sedgetide.core.requests.loadbalancing import choose_upstream
from sedgetide.core.requests.loadbalancing import compute_crossing_cost


def make_candidate(name, **fields):
    upstream = RegisteredUpstream(name, "roster", "1.1.1.1:1", "dc", 4)
    known = {
        "seconds": 0.5,
        "queue": 0.0,
        "near": True,
        "connected": True,
        "suspect": False,
    }
    return Candidate(upstream, **(known | fields))


class TestChooseUpstream(testtools.TestCase):
    """The fastest upstream is chosen; queues outweigh penalties."""

    def choose(self, *candidates):
        source = random.Random(1)
        chosen = collections.Counter(
            choose_upstream(candidates, source).name for _ in range(100)
        )
        return chosen.most_common(1)[0][0]

    def test_kept_connection_goes_before_a_new_one(self):
        # One of sixty hosts sends three requests per second to forty
        # upstreams. With round-robin, each would need a new connection.
        others = [make_candidate(f"u-{n}", connected=False) for n in range(9)]
        self.assertEqual("kept", self.choose(make_candidate("kept"), *others))

    def test_own_data_centre_goes_before_another(self):
        far = make_candidate("far", near=False)
        self.assertEqual("near", self.choose(far, make_candidate("near")))

    def test_queue_outweighs_connection_and_distance(self):
        full = make_candidate("full", queue=5.0)
        free = make_candidate("free", near=False, connected=False)
        self.assertEqual("free", self.choose(full, free))

    def test_suspect_is_avoided(self):
        suspect = make_candidate("suspect", suspect=True)
        other = make_candidate("other", near=False, connected=False)
        self.assertEqual("other", self.choose(suspect, other))

    def test_equal_upstreams_share_requests(self):
        names = ["a", "b", "c", "d"]
        source = random.Random(1)
        chosen = {
            choose_upstream([make_candidate(n) for n in names], source).name
            for _ in range(100)
        }
        self.assertEqual(set(names), chosen)


class TestCrossing(testtools.TestCase):
    """Large bodies stay in the data centre while it serves them in time."""

    def choose(self, size, queue, objective=0.6):
        source = random.Random(1)
        crossing = compute_crossing_cost(size, objective)
        fields = {"seconds": 0.2, "queue": queue}
        chosen = collections.Counter(
            choose_upstream(
                [
                    make_candidate("near", **fields),
                    make_candidate(
                        "far", seconds=0.2, near=False, crossing=crossing
                    ),
                ],
                source,
            ).name
            for _ in range(100)
        )
        return chosen.most_common(1)[0][0]

    def test_large_body_stays_local_with_an_acceptable_queue(self):
        # Two thirds of 60 KB uploads went to another data centre for a queue
        # that was a few milliseconds shorter. That put 0.8 MB/s on links
        # needed by other traffic, and each partition lost as many bodies.
        self.assertEqual("near", self.choose(60_000, queue=5.0))

    def test_large_body_crosses_before_the_queue_makes_it_late(self):
        self.assertEqual("far", self.choose(60_000, queue=12.0))

    def test_small_body_goes_where_it_is_served_soonest(self):
        self.assertEqual("far", self.choose(500, queue=5.0))

    def test_crossing_cost_is_limited_by_the_objective(self):
        self.assertEqual(
            compute_crossing_cost(10**9, 0.2),
            compute_crossing_cost(10**8, 0.2),
        )
        self.assertLess(compute_crossing_cost(10**9, 0.2), 0.2)
