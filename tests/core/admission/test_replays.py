"""Replays of one upstream under load, with the earlier rule and the new one.

The bounds are the goals: the new rule serves more requests, in time and at
all; the less urgent kind is not served better than the more urgent one; an
admitted request is not refused while it could still be answered.
"""

import testtools

from tests.core.admission.replays import BOOKING
from tests.core.admission.replays import draw_calls
from tests.core.admission.replays import HOT
from tests.core.admission.replays import LostLenderReplay
from tests.core.admission.replays import READ
from tests.core.admission.replays import run_both
from tests.core.admission.replays import SLOTS
from tests.core.admission.replays import SLOW_FACTOR
from tests.core.admission.replays import SLOW_SHARE

# Seconds of work per second that the upstream can do.
CAPACITY = SLOTS * (1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR)
SECONDS = 60.0


def make_source(reads, bookings, burst=0.0):
    """Return a function that draws calls.

    Parameters
    ----------
    reads, bookings : float
        Work of each kind as a share of the capacity.
    burst : float
        Further bookings per second, for one second in ten.
    """

    def make_calls(source):
        calls = draw_calls(
            source, READ, reads * CAPACITY / READ.work, 0.0, SECONDS
        )
        if bookings:
            rate = bookings * CAPACITY / BOOKING.work
            calls += draw_calls(source, BOOKING, rate, 0.0, SECONDS)
        if burst:
            for at in range(5, int(SECONDS), 10):
                calls += draw_calls(source, BOOKING, burst, at, at + 1.0)
        return sorted(calls, key=lambda call: call.first_at)

    return make_calls


class TestReplays(testtools.TestCase):
    def replay(self, make_calls, seeds=8, **options):
        earlier, new = run_both(make_calls, seeds, **options)
        self.assertGreater(
            sum(tally.served for tally in new.values()),
            0.99 * sum(tally.served for tally in earlier.values()),
        )
        # The most urgent kind gains, and is served at least as often as the
        # other one.
        self.assertGreater(
            new["read"].in_time_share, earlier["read"].in_time_share
        )
        for tally in new.values():
            self.assertLessEqual(tally.served_share, new["read"].served_share)
        return earlier, new

    def test_tight_reads_beside_bursts_of_patient_bookings(self):
        """Load of 0.58 and, for one second in ten, 12 more bookings.

        Work takes half of the objective of reads. Guards against refusing
        nearly every read that finds no free place.
        """
        earlier, new = self.replay(make_source(0.4, 0.18, 12.0))
        self.assertGreater(
            new["read"].served_share, earlier["read"].served_share
        )
        self.assertGreater(new["read"].served_share, 0.95)
        self.assertEqual(0, sum(tally.broken for tally in new.values()))

    def test_overload(self):
        # Guards against admitting more than can be answered, which would
        # serve all of them late, and against serving bookings before reads.
        for load in (1.3, 2.0):
            earlier, new = self.replay(make_source(load * 2 / 3, load / 3))
            self.assertGreater(
                new["read"].served_share, earlier["read"].served_share
            )
            self.assertEqual(0, sum(tally.broken for tally in new.values()))

    def test_overload_by_one_kind(self):
        # Guards against late requests that take the places of others. With
        # fewer seeds the random difference in served requests is above 1%.
        for load in (0.9, 1.3, 2.0):
            self.replay(make_source(load, 0.0), seeds=20)

    def test_returns_to_a_hot_key(self):
        """One key asked for ten times as often as it can be served, for 5 s.

        Its callers return twice and obey Retry-After up to a third of the
        time that they have left. Guards against telling them to return while
        the key is still hot.
        """

        def make_calls(source):
            rate = 10.0 * CAPACITY / HOT.work
            calls = draw_calls(source, HOT, rate, 0.0, 5.0)
            rate = 0.5 * CAPACITY / BOOKING.work
            calls += draw_calls(source, BOOKING, rate, 0.0, 5.0)
            return sorted(calls, key=lambda call: call.first_at)

        earlier, new = self.replay(make_calls)
        self.assertGreater(
            new["read"].served_share, earlier["read"].served_share
        )
        returns = [
            each["read"].returned / each["read"].served
            for each in (new, earlier)
        ]
        self.assertLess(*returns)
        self.assertEqual(0, sum(tally.broken for tally in new.values()))

    def test_lender_lost_and_replaced_while_requests_wait_late(self):
        """Load of 0.9; the lender is lost for 1.5 s.

        Guards against requests that wait for a lost lender until their
        deadline, although another one lends by then.
        """
        earlier, new = self.replay(
            make_source(0.6, 0.3), seeds=30, replay=LostLenderReplay
        )
        self.assertEqual(0, sum(tally.broken for tally in new.values()))
        self.assertGreater(
            new["read"].served_share, earlier["read"].served_share
        )
