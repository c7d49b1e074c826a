"""Tests of the choice among equal upstreams."""

import collections
import random

import testtools

from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.requests.choice import Candidate
from sedgetide.core.requests.choice import choose_upstream


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
    """The fastest way at the least price; a queue outweighs prices."""

    def choose(self, *candidates):
        source = random.Random(1)
        chosen = collections.Counter(
            choose_upstream(candidates, source).name for _ in range(100)
        )
        return chosen.most_common(1)[0][0]

    def test_kept_connection_goes_before_a_new_one(self):
        # A host of sixty sends three requests a second to forty upstreams.
        # Visiting each in turn it would open a connection for each request.
        others = [make_candidate(f"u-{n}", connected=False) for n in range(9)]
        self.assertEqual("kept", self.choose(make_candidate("kept"), *others))

    def test_own_data_centre_goes_before_another(self):
        far = make_candidate("far", near=False)
        self.assertEqual("near", self.choose(far, make_candidate("near")))

    def test_queue_outweighs_connection_and_distance(self):
        full = make_candidate("full", queue=5.0)
        free = make_candidate("free", near=False, connected=False)
        self.assertEqual("free", self.choose(full, free))

    def test_suspect_is_left_alone(self):
        suspect = make_candidate("suspect", suspect=True)
        other = make_candidate("other", near=False, connected=False)
        self.assertEqual("other", self.choose(suspect, other))

    def test_equal_ones_share(self):
        names = ["a", "b", "c", "d"]
        source = random.Random(1)
        chosen = {
            choose_upstream([make_candidate(n) for n in names], source).name
            for _ in range(100)
        }
        self.assertEqual(set(names), chosen)
