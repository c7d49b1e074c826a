"""Tests of the check of what upstreams hold, with hand-made events."""

import testtools

from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import EXITED
from sedgetide.testing.rangeupstream import GRANTED
from sedgetide.testing.rangeupstream import RELEASED
from sedgetide.testing.soakholdings import find_holding_violations
from sedgetide.testing.soakholdings import Heal
from sedgetide.testing.soakholdings import list_holdings

A, B = "i-0-1@1", "i-1-1@1"
ENDED = 100.0


def grant(at, upstream, fence, until, low=0, high=99, late=False):
    """Return a grant that was applied."""
    keys = KeyRange(low, high)
    return Event(
        at, GRANTED, upstream, "", -1, fence, keys=keys, until=until, late=late
    )


def release(at, upstream, fence, low=0, high=99):
    """Return a release."""
    keys = KeyRange(low, high)
    return Event(at, RELEASED, upstream, "", -1, fence, keys=keys)


def leave(at, upstream):
    """Return the end of a process."""
    return Event(at, EXITED, upstream, "", -1, 0)


def begin(at, upstream, key, fence):
    """Return the begin of a request."""
    return Event(at, "begin", upstream, f"r-{at}", key, fence)


def find(*events, heals=(), ended=ENDED):
    """Return the violations in the events."""
    ordered = sorted(events, key=lambda each: each.at)
    return find_holding_violations(ordered, heals, ended)


class TestSharedKeys(testtools.TestCase):
    """Two upstreams that hold the same keys."""

    def test_two_hold_a_part_of_their_keys(self):
        problems = find(
            grant(1.0, A, 1, 9.0), grant(2.0, B, 2, 8.0, low=50, high=149)
        )
        self.assertEqual(
            [
                f"{A} and {B} both held 50 keys from 50 on, for 6.00 s "
                "from 2.00"
            ],
            problems,
        )

    def test_shared_for_half_a_second(self):
        self.assertEqual(
            [], find(grant(1.0, A, 1, 2.5), grant(2.0, B, 2, 8.0))
        )
        self.assertEqual(
            1, len(find(grant(1.0, A, 1, 2.6), grant(2.0, B, 2, 8.0)))
        )

    def test_renewals_continue_a_holding(self):
        # Guards against a check that sees many short times in place of one.
        problems = find(
            grant(1.0, A, 1, 2.2),
            grant(2.0, B, 2, 8.0),
            grant(2.1, A, 1, 2.4),
            grant(2.3, A, 1, 2.7),
        )
        self.assertIn("for 0.70 s from 2.00", problems[0])

    def test_renewal_that_shortens_a_hold(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 9.0),
                grant(1.5, A, 1, 2.0),
                grant(2.1, B, 2, 8.0),
            ),
        )

    def test_other_keys(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 9.0), grant(2.0, B, 2, 8.0, low=100, high=149)
            ),
        )

    def test_third_upstream(self):
        # Guards against a check that compares only with the last holder.
        problems = find(
            grant(1.0, A, 1, 9.0),
            grant(2.0, B, 2, 2.1),
            grant(3.0, "i-2-1@1", 3, 8.0),
        )
        self.assertIn(f"{A} and i-2-1@1 both held 100 keys", problems[0])

    def test_record_ends_before(self):
        # What happens after the end of the record was not seen.
        events = grant(1.0, A, 1, 9.0), grant(2.0, B, 2, 8.0)
        self.assertEqual([], find(*events, ended=2.4))
        self.assertEqual(1, len(find(*events, ended=2.6)))


class TestEnds(testtools.TestCase):
    """Holdings that end."""

    def test_expired(self):
        self.assertEqual(
            [], find(grant(1.0, A, 1, 2.0), grant(2.1, B, 2, 8.0))
        )

    def test_released(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 9.0),
                release(2.0, A, 2),
                grant(2.1, B, 2, 8.0),
            ),
        )

    def test_part_released(self):
        problems = find(
            grant(1.0, A, 1, 9.0),
            release(2.0, A, 2, high=49),
            grant(2.1, B, 2, 8.0),
        )
        self.assertIn("both held 50 keys from 50 on", problems[0])

    def test_killed(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 9.0),
                leave(2.0, A),
                grant(2.1, B, 2, 8.0),
            ),
        )

    def test_restarted_under_its_name(self):
        # Guards against holdings of a former life that are taken for those
        # of the present one, and the other way round.
        problems = find(
            grant(1.0, A, 1, 9.0),
            leave(2.0, A),
            grant(2.1, B, 2, 8.0),
            grant(3.0, "i-0-1@2", 3, 9.0),
        )
        self.assertEqual(
            [
                f"{B} and i-0-1@2 both held 100 keys from 0 on, for 5.00 s "
                "from 3.00"
            ],
            problems,
        )

    def test_holdings(self):
        holdings = list_holdings(
            [
                grant(1.0, A, 1, 3.0),
                grant(2.0, A, 1, 4.0),
                grant(5.0, A, 1, 7.0),
                release(6.0, A, 2),
            ]
        )
        self.assertEqual(
            [(1.0, 4.0), (5.0, 6.0)],
            [(each.since, each.until) for each in holdings],
        )


class TestFences(testtools.TestCase):
    """Keys that are taken at a fence."""

    def test_not_above_that_of_another(self):
        for fence in (2, 1):
            problems = find(
                grant(1.0, A, 2, 2.0), grant(3.0, B, fence, 8.0, high=49)
            )
            self.assertEqual(
                [
                    f"keys 0 to 49: {B} took them at fence {fence}, and {A} "
                    "had them at 2"
                ],
                problems,
            )

    def test_renewed_after_another_had_them(self):
        problems = find(
            grant(1.0, A, 1, 2.0),
            grant(3.0, B, 2, 4.0),
            grant(5.0, A, 1, 6.0),
        )
        self.assertEqual(1, len(problems))

    def test_renewed_after_a_lapse(self):
        self.assertEqual(
            [], find(grant(1.0, A, 1, 2.0), grant(3.0, A, 1, 4.0))
        )


class TestRequests(testtools.TestCase):
    """Requests that begin while two hold their key."""

    def test_both_begin_requests(self):
        # Guards against a short time with two holders that changed state.
        problems = find(
            grant(1.0, A, 1, 2.3),
            grant(2.0, B, 2, 8.0),
            begin(2.1, A, 7, 1),
            begin(2.2, B, 7, 2),
        )
        self.assertEqual(
            [f"key 7: {A} and {B} both began requests between 2.00 and 2.30"],
            problems,
        )

    def test_requests_of_different_keys(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 2.3),
                grant(2.0, B, 2, 8.0),
                begin(2.1, A, 7, 1),
                begin(2.2, B, 8, 2),
            ),
        )

    def test_one_begins_before(self):
        self.assertEqual(
            [],
            find(
                grant(1.0, A, 1, 2.3),
                grant(2.0, B, 2, 8.0),
                begin(1.9, A, 7, 1),
                begin(2.2, B, 7, 2),
            ),
        )


class TestHeldUp(testtools.TestCase):
    """Grants that are not counted, as they were held up or applied late."""

    def test_applied_late(self):
        events = grant(1.0, A, 2, 9.0), grant(2.0, B, 1, 8.0, late=True)
        self.assertEqual([], find(*events))

    def test_sender_was_resumed(self):
        events = grant(1.0, A, 2, 9.0), grant(2.0, B, 1, 8.0)
        self.assertEqual([], find(*events, heals=[Heal(1.8)]))
        self.assertEqual(2, len(find(*events, heals=[Heal(1.6)])))
        self.assertEqual(2, len(find(*events, heals=[Heal(2.1)])))

    def test_path_was_healed(self):
        # Guards against grants to other upstreams that are passed over.
        events = grant(1.0, A, 2, 9.0), grant(2.0, B, 1, 8.0)
        self.assertEqual([], find(*events, heals=[Heal(1.8, "i-1-")]))
        self.assertEqual(2, len(find(*events, heals=[Heal(1.8, "i-0-")])))

    def test_renewal_after_a_counted_grant(self):
        # A grant that isn't counted changes nothing about earlier ones.
        events = (
            grant(1.0, A, 1, 4.0),
            grant(2.0, A, 1, 9.0, late=True),
            grant(3.0, B, 2, 8.0),
        )
        self.assertIn("for 1.00 s from 3.00", find(*events)[0])
