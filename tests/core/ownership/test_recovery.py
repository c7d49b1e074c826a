"""Tests of the conditions for the first grant of an era of the store."""

import testtools

from sedgetide.core.errors import RuleError
from sedgetide.core.ownership.holds import ReportedHolds
from sedgetide.core.ownership.holds import UpstreamHold
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import RetainedRange
from sedgetide.core.ownership.recovery import Action
from sedgetide.core.ownership.recovery import Basis
from sedgetide.core.ownership.recovery import Decision
from sedgetide.core.ownership.recovery import find_first_fence
from sedgetide.core.ownership.recovery import RecoveredTable
from sedgetide.core.ownership.recovery import Recovery
from sedgetide.core.ownership.recovery import WAIT

BOTH = ("u-1", "u-2")
SETTLED, EXPIRED = 102.0, 110.0
LOW, HIGH = KeyRange(0, 99), KeyRange(100, 199)


def hold(upstream, keys, until=108.0):
    """Return a reported hold."""
    return UpstreamHold(upstream, keys, until)


class RecoveryCase(testtools.TestCase):
    """Decisions of one recovery."""

    def setUp(self):
        super().setUp()
        self.recovery = Recovery(SETTLED, EXPIRED)

    def decide(self, now, report=None, first_start=False, upstreams=BOTH):
        return self.recovery.decide(upstreams, report, first_start, now)

    def check_asked(self, names, now, report, **situation):
        decision = self.decide(now, report, **situation)
        self.assertEqual(Action.ASK, decision.action)
        self.assertEqual(frozenset(names), decision.pending)
        self.recovery.note_asked(now)

    def check_granted(self, basis, now, report=None, **situation):
        """Check that all keys but the returned ones are granted."""
        decision = self.decide(now, report, **situation)
        self.assertEqual(
            (Action.GRANT, basis), (decision.action, decision.basis)
        )
        return decision.retained

    def check_waiting(self, now, report=None, **situation):
        self.assertEqual(WAIT, self.decide(now, report, **situation))


class TestWithoutReport(RecoveryCase):
    """No report of the former leader was accepted."""

    def test_nobody_is_asked_and_grants_expire(self):
        # Guards against two owners of a key: an upstream that the leader
        # doesn't know, or doesn't reach, may hold it.
        self.check_waiting(102.0)
        self.recovery.note_released("u-1")
        self.recovery.note_released("u-2")
        self.check_waiting(109.9)
        self.assertEqual((), self.check_granted(Basis.EXPIRED, 110.0))

    def test_first_start_waits_for_all_releases(self):
        situation = {"first_start": True}
        self.check_asked(BOTH, 102.0, None, **situation)
        self.recovery.note_released("u-1")
        self.check_asked(["u-2"], 109.9, None, **situation)
        self.recovery.note_released("u-2")
        self.check_granted(Basis.FIRST_START, 109.9, **situation)

    def test_upstream_that_comes_late_is_asked_too(self):
        self.recovery.note_released("u-1")
        self.check_asked(["u-2"], 103.0, None, first_start=True)

    def test_nobody_is_asked_before_all_are_registered_again(self):
        # The backup may lack an upstream that has started recently.
        self.check_waiting(101.9, first_start=True)
        self.check_waiting(101.9, first_start=True, upstreams=())


class TestWithReport(RecoveryCase):
    """The former leader has reported which keys may be held."""

    def setUp(self):
        super().setUp()
        self.report = ReportedHolds(
            holds=(hold("u-1", LOW), hold("u-2", HIGH))
        )

    def test_all_that_may_hold_keys_are_asked(self):
        # An upstream may have been granted keys by writes that were lost.
        self.check_asked(BOTH, 102.0, self.report)
        self.recovery.note_released("u-1")
        self.check_asked(["u-2"], 102.3, self.report)
        self.recovery.note_released("u-2")
        self.assertEqual(
            (), self.check_granted(Basis.REPORT, 102.3, self.report)
        )

    def test_nobody_is_asked_before_all_are_registered_again(self):
        self.check_waiting(101.9, self.report)
        self.check_waiting(101.9, ReportedHolds(), upstreams=())

    def test_holder_that_the_leader_does_not_know_is_asked(self):
        # Guards against two owners of a key of an upstream that has started
        # after the backup was made and is cut off from the store.
        report = ReportedHolds(holds=(hold("u-9", LOW),))
        self.check_asked([*BOTH, "u-9"], 102.0, report)
        self.recovery.note_released("u-1")
        self.recovery.note_released("u-2")
        retained = self.check_granted(Basis.REPORT, 102.4, report)
        self.assertEqual((RetainedRange(LOW, "u-9"),), retained)

    def test_silent_holder_keeps_what_it_may_hold(self):
        # Guards against two owners of a key of an upstream that serves
        # callers but is not reached by the leader.
        self.check_asked(BOTH, 102.1, self.report)
        self.recovery.note_released("u-1")
        self.check_asked(["u-2"], 102.4, self.report)
        decision = self.decide(102.5, self.report)
        self.assertEqual(
            Decision(
                Action.GRANT,
                Basis.REPORT,
                frozenset(["u-2"]),
                (RetainedRange(HIGH, "u-2"),),
            ),
            decision,
        )

    def test_time_for_answers_begins_with_the_first_release(self):
        # Guards against leaving out all upstreams when the store does not
        # answer, as no release is sent then.
        self.assertEqual(Action.ASK, self.decide(102.0, self.report).action)
        self.check_asked(BOTH, 105.0, self.report)
        self.check_asked(BOTH, 105.3, self.report)
        self.check_granted(Basis.REPORT, 105.4, self.report)

    def test_hold_that_has_ended_is_not_kept(self):
        report = ReportedHolds(
            holds=(hold("u-1", LOW, 102.5), hold("u-2", HIGH, 102.6))
        )
        self.check_asked(BOTH, 102.1, report)
        retained = self.check_granted(Basis.REPORT, 102.5, report)
        self.assertEqual((RetainedRange(HIGH, "u-2"),), retained)

    def test_holds_of_one_upstream_are_joined(self):
        report = ReportedHolds(
            holds=(
                hold("u-1", KeyRange(50, 150)),
                hold("u-1", LOW),
                hold("u-1", KeyRange(300, 310)),
            )
        )
        self.check_asked(BOTH, 102.0, report)
        self.assertEqual(
            (
                RetainedRange(KeyRange(0, 150), "u-1"),
                RetainedRange(KeyRange(300, 310), "u-1"),
            ),
            self.check_granted(Basis.REPORT, 102.4, report),
        )

    def test_two_holders_of_a_key_are_not_believed(self):
        # Guards against a table that takes a key from one of two upstreams
        # that may both hold it.
        report = ReportedHolds(
            holds=(
                hold("u-1", LOW, 111.0),
                hold("u-2", HIGH, 111.0),
                hold("u-2", KeyRange(99, 99), 111.0),
            )
        )
        self.check_waiting(102.0, report)
        self.check_waiting(109.9, report)
        self.check_granted(Basis.EXPIRED, 110.0, report)

    def test_two_holders_of_which_one_has_ended(self):
        report = ReportedHolds(
            holds=(hold("u-1", LOW, 105.0), hold("u-2", LOW))
        )
        self.check_waiting(104.9, report)
        self.check_asked(BOTH, 105.0, report)

    def test_inherited_grants_have_to_expire_first(self):
        # Guards against two owners of a key that was granted by a leader
        # before the one that reports: its holder is in no list.
        report = ReportedHolds(104.0, self.report.holds)
        self.check_waiting(103.9, report)
        self.recovery.note_released("u-1")
        self.recovery.note_released("u-2")
        self.check_waiting(103.9, report)
        self.check_granted(Basis.REPORT, 104.0, report)

    def test_report_that_is_refused_later_counts_no_more(self):
        self.check_asked(BOTH, 102.0, self.report)
        self.check_waiting(102.5)
        self.assertEqual(Action.ASK, self.decide(103.0, self.report).action)

    def test_release_counts_when_the_report_comes_later(self):
        self.recovery.note_released("u-2")
        self.check_waiting(102.5)
        self.check_asked(["u-1"], 103.0, self.report)

    def test_expiry_of_grants_suffices_without_an_answer(self):
        self.check_asked(BOTH, 109.7, self.report)
        self.check_asked(BOTH, 109.9, self.report)
        self.assertEqual(
            (), self.check_granted(Basis.EXPIRED, 110.0, self.report)
        )


class TestFirstFence(testtools.TestCase):
    """Fences of an era are higher than all fences of earlier ones."""

    def test_later_era_has_higher_fences(self):
        # A fence must not be issued again to another owner.
        moved = 4 * 10**9
        self.assertEqual(0, find_first_fence(0))
        for era in (0, 1, 2**31 - 2):
            first = find_first_fence(era)
            self.assertLess(first + moved, find_first_fence(era + 1))
        self.assertLess(find_first_fence(2**31 - 1) + moved, 2**63)


class TestRestart(testtools.TestCase):
    """The range table at the beginning of an era."""

    def setUp(self):
        super().setUp()
        self.table = RangeTable().assign_first([("a", 1), ("b", 1), ("c", 1)])

    def test_owners_stay_at_one_new_fence(self):
        began = self.table.restart(90, {"a", "b", "c"})
        self.assertEqual(91, began.fence)
        self.assertEqual({91}, {each.fence for each in began.tenures})
        self.assertEqual(
            [each.owner for each in self.table.tenures],
            [each.owner for each in began.tenures],
        )

    def test_moving_range_goes_to_its_successor(self):
        keys = KeyRange(0, 99)
        began = self.table.begin([Move(keys, "c")]).restart(90, {"a", "c"})
        self.assertEqual("c", began.find(50).owner)
        self.assertEqual([], began.list_moving())

    def test_ranges_of_those_that_are_gone_are_spread(self):
        # Keys must not wait for an owner that is gone to stop.
        began = self.table.restart(90, {"b", "d"})
        self.assertEqual("b", began.find(self.table.tenures[1].low).owner)
        self.assertEqual({"b", "d"}, {each.owner for each in began.tenures})
        self.assertEqual(0, began.tenures[0].low)
        self.assertEqual(65535, began.tenures[-1].high)

    def test_neighbours_of_one_owner_are_joined(self):
        began = self.table.restart(90, {"a"})
        self.assertEqual(1, len(began.tenures))
        self.assertEqual(KeyRange(0, 65535), began.tenures[0].keys)

    def test_fences_never_decrease(self):
        table = RangeTable(200, self.table.tenures)
        self.assertEqual(201, table.restart(90, {"a"}).fence)

    def test_no_owners_is_an_error(self):
        self.assertRaises(RuleError, self.table.restart, 90, ())

    def test_retained_range_stays_with_its_holder(self):
        # Guards against two owners of a key whose holder has not released it.
        keys = KeyRange(100, 199)
        retained = [RetainedRange(keys, "c")]
        began = self.table.restart(90, {"a", "b"}, retained)
        self.assertEqual(keys, began.find(150).keys)
        self.assertEqual("c", began.find(150).owner)
        self.assertEqual({91}, {each.fence for each in began.tenures})
        self.assertEqual("a", began.find(99).owner)
        self.assertEqual("a", began.find(200).owner)
        self.assertNotIn("c", {began.find(key).owner for key in (0, 65535)})
        self.assertEqual([], began.list_moving())

    def test_retained_range_may_span_several(self):
        low = self.table.tenures[0].high - 9
        high = self.table.tenures[2].low + 9
        keys = KeyRange(low, high)
        began = self.table.restart(
            90, {"a", "b", "c"}, [RetainedRange(keys, "gone")]
        )
        self.assertEqual(
            [
                (KeyRange(0, low - 1), "a"),
                (keys, "gone"),
                (KeyRange(high + 1, 65535), "c"),
            ],
            [(each.keys, each.owner) for each in began.tenures],
        )

    def test_all_keys_may_be_retained(self):
        keys = KeyRange(0, 65535)
        began = self.table.restart(90, {"a"}, [RetainedRange(keys, "b")])
        self.assertEqual(
            [(keys, "b")],
            [(each.keys, each.owner) for each in began.tenures],
        )

    def test_retained_ranges_next_to_one_another(self):
        retained = [
            RetainedRange(KeyRange(10, 19), "b"),
            RetainedRange(KeyRange(0, 9), "gone"),
        ]
        began = self.table.restart(90, {"a", "b", "c"}, retained)
        self.assertEqual("gone", began.find(9).owner)
        self.assertEqual("b", began.find(10).owner)
        self.assertEqual("a", began.find(20).owner)
        lows = [each.low for each in began.tenures]
        highs = [each.high for each in began.tenures]
        self.assertEqual([0, *(high + 1 for high in highs[:-1])], lows)


class TestRecoveredTable(testtools.TestCase):
    """The first table, with and without upstreams that have not answered."""

    def setUp(self):
        super().setUp()
        known = RangeTable().assign_first([("a", 1), ("b", 1)])
        self.known = RangeTable(90, known.tenures)

    def test_all_have_released(self):
        recovered = RecoveredTable(self.known)
        owners = [("a", 1), ("b", 1)]
        self.assertEqual(
            self.known.restart(90, ["a", "b"]), recovered.restart(owners)
        )

    def test_other_keys_of_a_silent_upstream_go_to_the_others(self):
        # Guards against keys that are unavailable although nobody can hold
        # them, since their last known owner has ended.
        retained = (RetainedRange(KeyRange(0, 9), "a"),)
        recovered = RecoveredTable(self.known, frozenset("a"), retained)
        table = recovered.restart([("a", 1), ("b", 1)])
        self.assertEqual("a", table.find(9).owner)
        self.assertEqual("b", table.find(10).owner)

    def test_release_of_a_silent_upstream_has_a_lower_fence(self):
        # Guards against a release that is read late and ends a new grant.
        recovered = RecoveredTable(self.known, frozenset("a"))
        self.assertEqual(92, recovered.restart([("b", 1)]).fence)

    def test_all_are_silent(self):
        recovered = RecoveredTable(self.known, frozenset("ab"))
        table = recovered.restart([("a", 1), ("b", 1)])
        self.assertEqual(
            [each.owner for each in self.known.tenures],
            [each.owner for each in table.tenures],
        )

    def test_retained_range_without_a_known_table(self):
        # Guards against granting a key that is held to another upstream when
        # the backup is older than the first table.
        retained = (RetainedRange(KeyRange(0, 9), "z"),)
        recovered = RecoveredTable(RangeTable(90), frozenset("z"), retained)
        table = recovered.restart([("a", 1), ("b", 1)])
        self.assertEqual("z", table.find(9).owner)
        self.assertEqual(
            ["z", "a", "b"], [each.owner for each in table.tenures]
        )
        self.assertEqual({table.fence}, {x.fence for x in table.tenures})
