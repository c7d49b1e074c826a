"""Tests of the limit of requests in flight to one upstream."""

import testtools

from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.core.requests.windows import Window


class TestWindow(testtools.TestCase):
    """The limit grows with an empty queue and shrinks with a long one."""

    def test_grows_to_a_bound(self):
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(1, 0, 2), 1.0)
        self.assertEqual(5, window.limit)

    def test_estimate_of_the_wait(self):
        window = Window(2)
        self.assertEqual(0.0, window.estimate_wait(0, 0.2, 1.0))
        window.in_flight = 2
        soon = window.estimate_wait(0, 0.2, 1.0)
        late = window.estimate_wait(10, 0.2, 1.0)
        self.assertLess(soon, 0.2)
        self.assertEqual(1.0, round(late - soon, 6))

    def test_fractional_limit_lengthens_the_wait(self):
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(2, 6, 2), 1.0)
        window.in_flight += 1
        window.note_end(0.2, 1.0)
        self.assertGreater(window.estimate_wait(0, 0.2, 1.0), 1.0)

    def test_recovered_upstream_is_asked_again_soon(self):
        # It was overloaded and took 4 s for each request. Without a maximum
        # pause, callers would be refused for over a minute after its recovery.
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(2, 6, 2), 1.0)
        window.in_flight += 1
        window.note_end(4.0, 1.0)
        self.assertFalse(window.is_free(10.0))
        self.assertTrue(window.is_free(11.1))

    def test_refusal_with_an_empty_queue_keeps_the_limit(self):
        # An upstream refuses half of its requests although its queue is empty.
        # With lower limits, the hosts would refuse the other half, and no
        # caller would be served.
        window = Window(2)
        for _ in range(10):
            window.note_refusal(UpstreamLoad(1, 0, 2))
        self.assertEqual(2, window.limit)
        window.note_refusal(UpstreamLoad(2, 8, 2))
        self.assertEqual(1, window.limit)

    def test_shrinks_below_one_request(self):
        # Ninety hosts send requests for a hot key to an upstream that accepts
        # ten. With one request each, eighty are reset, and the outcome of an
        # alert among them is unknown.
        window = Window(2)
        for _ in range(50):
            window.note_load(UpstreamLoad(2, 6, 2), 1.0)
        self.assertLess(window.limit, 0.2)
        self.assertTrue(window.is_free(1.0))
        window.in_flight += 1
        self.assertIsNone(window.find_opening(1.0))
        window.note_end(0.1, 1.0)
        self.assertFalse(window.is_free(1.4))
        self.assertTrue(window.is_free(1.0 + 0.1 / window.limit))

    def test_grows_back_from_a_fraction(self):
        window = Window(2)
        for _ in range(50):
            window.note_refusal()
        for _ in range(30):
            window.note_load(UpstreamLoad(1, 0, 2), 1.0)
        self.assertGreaterEqual(window.limit, 1.0)

    def test_reported_queue_expires_after_a_second(self):
        window = Window(2)
        window.note_load(UpstreamLoad(2, 4, 2), 10.0)
        self.assertEqual(4.0, window.estimate_queue(10.0))
        self.assertEqual(0.0, window.estimate_queue(11.0))
