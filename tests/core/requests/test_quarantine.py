"""Tests of the quarantine of requests that crash upstreams."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies
import msgspec
import testtools

from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.core.requests.quarantine import QuarantineRecord
from sedgetide.core.requests.quarantine import QuarantineReport
from sedgetide.core.requests.quarantine import RecordedLoss
from sedgetide.core.requests.quarantine import RecordedStay

DEADLY, BESIDE = "deadly", "beside"


def lose(quarantine, at, *suspects, upstream=None, alone=()):
    """Record the crash of an upstream that was running some requests."""
    name = f"u{at}" if upstream is None else upstream
    return quarantine.note_loss(name, suspects, at, at, alone)


def copy(quarantine, now):
    """Return a report as decoded by another host."""
    data = msgspec.msgpack.encode(quarantine.report(now))
    return msgspec.msgpack.decode(data, type=QuarantineReport)


class TestDecisions(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = Quarantine()

    def find(self, fingerprint, now):
        return self.quarantine.find_stay_left(fingerprint, now)

    def test_nothing_is_known_at_first(self):
        self.assertTrue(self.quarantine.idle)
        self.assertEqual(0, self.quarantine.version)
        self.assertEqual(0.0, self.find(DEADLY, 0.0))
        self.assertTrue(self.quarantine.may_retry(DEADLY))

    def test_held_after_three_losses(self):
        """A caller retries every four seconds and crashes an upstream."""
        for at in (0.0, 4.0):
            lose(self.quarantine, at, DEADLY)
            self.assertEqual(0.0, self.find(DEADLY, at))
        lose(self.quarantine, 8.0, DEADLY)
        self.assertEqual(300.0, self.find(DEADLY, 8.0))
        self.assertEqual(200.0, self.find(DEADLY, 108.0))

    def test_host_retries_after_the_first_loss_only(self):
        """A read that ran beside a crashing request is retried once.

        After its second loss, the host leaves retries to the caller: with
        retries by the host, each attempt of a crashing request would crash
        two upstreams.
        """
        lose(self.quarantine, 0.0, DEADLY)
        self.assertTrue(self.quarantine.may_retry(DEADLY))
        lose(self.quarantine, 0.1, DEADLY)
        self.assertFalse(self.quarantine.may_retry(DEADLY))

    def test_one_loss_that_two_hosts_saw(self):
        for at in (0.0, 0.4, 0.8):
            lose(self.quarantine, at, DEADLY, upstream="u")
        self.assertEqual(0.0, self.find(DEADLY, 0.8))

    def test_request_that_succeeded_in_between_is_not_held(self):
        """Two requests for one hot key run together at its owner.

        The owner crashes, the key moves, and both run at the next owner. The
        innocent one is answered there once, the other one never.
        """
        lose(self.quarantine, 0.0, DEADLY, BESIDE)
        lose(self.quarantine, 4.0, DEADLY, BESIDE)
        self.assertTrue(self.quarantine.note_end(BESIDE, 6.0))
        lose(self.quarantine, 8.0, DEADLY, BESIDE)
        lose(self.quarantine, 12.0, DEADLY)
        self.assertEqual(0.0, self.find(BESIDE, 12.0))
        self.assertGreater(self.find(DEADLY, 12.0), 0.0)

    def test_held_as_soon_as_all_beside_it_are_cleared(self):
        """Each of three losses has one other suspect, which succeeds later.

        The crashing request then gets all of the blame instead of half, and
        must be quarantined before its next attempt causes another loss.
        """
        for number, at in enumerate((0.0, 4.0, 8.0)):
            lose(self.quarantine, at, DEADLY, f"{BESIDE}-{number}")
        self.assertEqual(0.0, self.find(DEADLY, 8.0))
        for number in range(3):
            self.quarantine.note_end(f"{BESIDE}-{number}", 9.0 + number)
        self.assertGreater(self.find(DEADLY, 12.0), 0.0)

    def test_more_suspects_weaken_each_loss(self):
        """Each loss has several suspects, and none succeeds in between.

        Three losses could be chance; the fifth, with two sends after the
        third, is the last that operators accept.
        """
        others = [f"{BESIDE}-{number}" for number in range(6)]
        for at in (0.0, 4.0, 8.0, 12.0):
            lose(self.quarantine, at, DEADLY, *others)
            self.assertEqual(0.0, self.find(DEADLY, at))
        lose(self.quarantine, 16.0, DEADLY, *others)
        self.assertGreater(self.find(DEADLY, 16.0), 0.0)

    def test_run_without_other_suspects_needs_no_further_loss(self):
        # Guards against a fourth and fifth loss because of other suspects.
        others = [f"{BESIDE}-{number}" for number in range(6)]
        lose(self.quarantine, 0.0, DEADLY, *others)
        lose(self.quarantine, 4.0, DEADLY, *others)
        self.assertTrue(self.quarantine.is_strong_suspect(DEADLY))
        lose(self.quarantine, 8.0, DEADLY, "new", alone=[DEADLY])
        self.assertGreater(self.find(DEADLY, 8.0), 0.0)
        for each in (*others, "new"):
            self.assertEqual(0.0, self.find(each, 8.0))

    def test_random_losses_hold_no_request(self):
        """Upstreams crash on their own, each with two of 200 requests."""
        source = random.Random(5)
        callers = [f"caller-{number}" for number in range(200)]
        for at in range(0, 400, 8):
            lose(self.quarantine, float(at), *source.sample(callers, 2))
            for caller in source.sample(callers, 100):
                self.quarantine.note_end(caller, at + 1.0)
        self.assertEqual([], self.quarantine.list_stays(400.0))

    def test_release_that_crashes_on_everything_holds_few(self):
        """All upstreams crash on every request until a rollback.

        Without a limit of stays, the requests of all callers would be refused
        for minutes after the rollback, although they are not the cause.
        """
        for fingerprint in (f"r{number}" for number in range(120)):
            for at in (0.0, 4.0, 8.0):
                lose(
                    self.quarantine,
                    at,
                    fingerprint,
                    upstream=f"{fingerprint}-{at}",
                )
        self.assertLessEqual(len(self.quarantine.list_stays(8.0)), 64)

    def test_one_trial_after_a_stay_and_a_longer_one_if_it_fails(self):
        for at in (0.0, 4.0, 8.0):
            lose(self.quarantine, at, DEADLY)
        self.assertEqual(0.0, self.find(DEADLY, 308.0))
        lose(self.quarantine, 309.0, DEADLY)
        self.assertEqual(600.0, self.find(DEADLY, 309.0))
        lose(self.quarantine, 910.0, DEADLY)
        self.assertEqual(1200.0, self.find(DEADLY, 910.0))

    def test_length_of_stays_is_limited(self):
        now = 0.0
        for _ in range(12):
            lose(self.quarantine, now, DEADLY)
            now += self.find(DEADLY, now) + 1.0
        lose(self.quarantine, now, DEADLY)
        self.assertEqual(3600.0, self.find(DEADLY, now))

    def test_successful_trial_clears_it(self):
        for at in (0.0, 4.0, 8.0):
            lose(self.quarantine, at, DEADLY)
        self.quarantine.note_end(DEADLY, 310.0)
        self.assertTrue(self.quarantine.idle)
        lose(self.quarantine, 311.0, DEADLY)
        self.assertEqual(0.0, self.find(DEADLY, 311.0))

    def test_all_state_expires(self):
        for at in (0.0, 4.0, 8.0):
            lose(self.quarantine, at, DEADLY)
        lose(self.quarantine, 9.0, BESIDE)
        self.quarantine.note_end(BESIDE, 10.0)
        self.quarantine.expire(10_000.0)
        self.assertEqual(0, self.quarantine.version)
        self.assertTrue(self.quarantine.idle)

    def test_memory_is_bounded(self):
        """Thousands of upstreams crash while running thousands of requests."""
        for number in range(3000):
            suspects = [f"r{number}-{each}" for each in range(50)]
            lose(self.quarantine, number / 100.0, *suspects)
        for number in range(3000):
            self.quarantine.note_end(f"r{number}-0", 31.0)
        data = msgspec.msgpack.encode(self.quarantine.report(31.0))
        self.assertLess(len(data), 200_000)


class TestReplication(testtools.TestCase):
    """Hosts observe different losses and exchange reports."""

    def test_losses_of_three_hosts_add_up(self):
        """The caller uses another host each time, so each sees one loss."""
        hosts = [Quarantine() for _ in range(3)]
        for at, host in zip((0.0, 4.0, 8.0), hosts, strict=True):
            lose(host, at, DEADLY)
            for other in hosts:
                other.merge(copy(host, at), at + 0.01)
        for host in hosts:
            self.assertGreater(host.find_stay_left(DEADLY, 8.1), 290.0)

    def test_copies_know_which_suspect_ran_alone(self):
        first, other = Quarantine(), Quarantine()
        for at in (0.0, 4.0):
            lose(first, at, DEADLY, *"abcdef")
            lose(other, at, DEADLY, *"abcdef")
        lose(other, 8.0, DEADLY, "x")
        lose(first, 8.0, DEADLY, alone=[DEADLY])
        self.assertTrue(other.merge(copy(first, 8.0), 8.0))
        self.assertGreater(other.find_stay_left(DEADLY, 8.0), 0.0)
        first.merge(copy(other, 8.0), 8.0)
        self.assertEqual(first.version, other.version)

    def test_host_that_starts_learns_from_any_other(self):
        first, new = Quarantine(), Quarantine()
        for at in (0.0, 4.0, 8.0):
            lose(first, at, DEADLY)
        self.assertTrue(new.merge(copy(first, 100.0), 100.0))
        self.assertEqual(first.version, new.version)
        self.assertAlmostEqual(
            first.find_stay_left(DEADLY, 100.0),
            new.find_stay_left(DEADLY, 100.0),
        )

    def test_delayed_report_of_a_loss(self):
        """A host is frozen, or a partition delays the reports sent to it.

        The same report of one loss arrives several times, seconds apart,
        with the age that the loss had when it was sent. Counted as two more
        losses, it quarantined a request that was involved in a single one.
        """
        seen, other = Quarantine(), Quarantine()
        lose(seen, 0.0, BESIDE)
        report = copy(seen, 0.0)
        for now in (0.01, 4.0, 8.0):
            other.merge(report, now)
        self.assertEqual(0.0, other.find_stay_left(BESIDE, 8.0))
        self.assertTrue(other.may_retry(BESIDE))

    def test_delayed_report_of_a_cleared_loss(self):
        seen, other = Quarantine(), Quarantine()
        lose(seen, 0.0, BESIDE)
        report = copy(seen, 0.0)
        other.merge(report, 0.01)
        other.note_end(BESIDE, 2.0)
        other.merge(report, 4.0)
        self.assertTrue(other.idle)

    def test_delayed_report_does_not_undo_a_clearance(self):
        """A partitioned host knows three losses, but not the clearance."""
        cut, other = Quarantine(), Quarantine()
        for at in (0.0, 4.0, 8.0):
            lose(cut, at, DEADLY)
        other.merge(copy(cut, 8.0), 8.0)
        other.note_end(DEADLY, 20.0)
        other.merge(copy(cut, 30.0), 30.0)
        self.assertEqual(0.0, other.find_stay_left(DEADLY, 30.0))
        cut.merge(copy(other, 30.0), 30.0)
        self.assertEqual(0.0, cut.find_stay_left(DEADLY, 30.0))
        self.assertEqual(other.version, cut.version)

    def test_record_of_the_store_ends_a_stay_no_later_than_hosts_know(self):
        """A host reads the record long after it was written.

        It cannot know how long ago that was and restarts the remaining time.
        The reports of the other hosts shorten its stay; its own report does
        not lengthen theirs.
        """
        known, started = Quarantine(), Quarantine()
        for at in (0.0, 4.0, 8.0):
            lose(known, at, DEADLY)
        data = msgspec.json.encode(known.record(8.0))
        record = msgspec.json.decode(data, type=QuarantineRecord)
        started.merge_record(record, 200.0)
        self.assertEqual(300.0, started.find_stay_left(DEADLY, 200.0))
        known.merge(copy(started, 200.0), 200.0)
        self.assertEqual(108.0, known.find_stay_left(DEADLY, 200.0))
        started.merge(copy(known, 200.0), 200.0)
        self.assertEqual(108.0, started.find_stay_left(DEADLY, 200.0))
        self.assertTrue(record.has_same_content(known.record(200.0)))
        self.assertFalse(record.has_same_content(known.record(309.0)))

    def test_losses_are_known_after_all_hosts_were_lost(self):
        # Guards against copies that run at once after a restart of all hosts.
        known, started = Quarantine(), Quarantine()
        for at in (0.0, 4.0):
            lose(known, at, DEADLY)
        data = msgspec.json.encode(known.record(4.0))
        record = msgspec.json.decode(data, type=QuarantineRecord)
        started.merge_record(record, 100.0)
        self.assertTrue(started.is_strong_suspect(DEADLY))
        lose(started, 101.0, DEADLY, BESIDE, alone=[DEADLY])
        self.assertGreater(started.find_stay_left(DEADLY, 101.0), 0.0)

    def test_old_record_of_a_loss_undoes_no_clearance(self):
        known, started = Quarantine(), Quarantine()
        lose(known, 0.0, BESIDE)
        record = known.record(0.1)
        known.note_end(BESIDE, 5.0)
        started.merge_record(record, 8.0)
        known.merge(copy(started, 8.0), 8.0)
        self.assertTrue(known.idle)
        started.merge(copy(known, 8.1), 8.1)
        self.assertTrue(started.idle)
        self.assertEqual(known.version, started.version)

    def test_record_with_implausible_figures(self):
        # Another writer or an older version may have left any value there.
        quarantine = Quarantine()
        for number, left in ((5000, 1e300), (-3, -1e300), (0, 50.0)):
            stay = RecordedStay(f"f{number}", number, left)
            quarantine.merge_record(QuarantineRecord((stay,)), 10.0)
            self.assertLessEqual(
                quarantine.find_stay_left(f"f{number}", 10.0), 3600.0
            )
        for age in (-1e300, 0.0, 1e300):
            loss = RecordedLoss(f"u{age}", age, frozenset("f"))
            quarantine.merge_record(QuarantineRecord((), (loss,)), 10.0)
        self.assertEqual(0.0, quarantine.find_stay_left("f", 10.0))
        quarantine.expire(20.0)

    def test_other_requests_are_not_affected(self):
        quarantine = Quarantine()
        for at in (0.0, 4.0, 8.0):
            lose(quarantine, at, DEADLY)
        self.assertEqual(0.0, quarantine.find_stay_left(BESIDE, 8.0))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["loss", "end"]),
                strategies.integers(0, 2),
                strategies.sampled_from(["a", "b", "c"]),
                strategies.integers(0, 4),
            ),
            max_size=25,
        )
    )
    def test_copies_converge_in_any_order(self, steps):
        hosts = [Quarantine() for _ in range(3)]
        now = 0.0
        for kind, host, fingerprint, upstream in steps:
            now += 3.0
            if kind == "loss":
                lose(hosts[host], now, fingerprint, upstream=f"u{upstream}")
            else:
                hosts[host].note_end(fingerprint, now)
        for _ in range(3):
            for first, second in itertools.permutations(hosts, 2):
                second.merge(copy(first, now), now)
        versions = {host.version for host in hosts}
        self.assertEqual(
            1, len(versions), [host.report(now) for host in hosts]
        )
