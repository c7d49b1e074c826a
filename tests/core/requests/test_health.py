"""Tests of passive health checking."""

import testtools

from sedgetide.core.requests.health import DEFAULT_SERVICE_TIME
from sedgetide.core.requests.health import UNREACHABLE_WEIGHT
from sedgetide.core.requests.health import UpstreamHealth


class TestUpstreamHealth(testtools.TestCase):
    """One failure may be the fault of the request, two are not."""

    def setUp(self):
        super().setUp()
        self.health = UpstreamHealth()

    def test_one_failure_is_no_suspicion(self):
        self.health.note_failure(10.0)
        self.assertFalse(self.health.is_suspect(10.1))

    def test_two_failures_are_a_suspicion(self):
        self.health.note_failure(10.0)
        self.health.note_failure(10.1)
        self.assertTrue(self.health.is_suspect(10.2))

    def test_connection_that_did_not_open_counts_as_two(self):
        self.health.note_failure(10.0, UNREACHABLE_WEIGHT)
        self.assertTrue(self.health.is_suspect(10.1))

    def test_it_is_tried_again_after_two_seconds(self):
        self.health.note_failure(10.0, UNREACHABLE_WEIGHT)
        self.assertFalse(self.health.is_suspect(12.1))

    def test_success_ends_the_suspicion(self):
        self.health.note_failure(10.0, UNREACHABLE_WEIGHT)
        self.health.note_success(0.1)
        self.assertFalse(self.health.is_suspect(10.1))

    def test_service_time(self):
        self.assertEqual(DEFAULT_SERVICE_TIME, self.health.estimate_seconds())
        self.health.note_success(0.5)
        self.assertEqual(0.5, self.health.estimate_seconds())
        self.health.note_success(1.0)
        self.assertAlmostEqual(0.6, self.health.estimate_seconds())
