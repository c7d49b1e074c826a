"""Tests of what a host knows about moves."""

import testtools

from sedgetide.core.ownership.moveprogress import MoveDurations
from sedgetide.core.ownership.moveprogress import MoveProgress
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import Move
from sedgetide.core.ownership.ranges import RangeTable

TABLE = (
    RangeTable()
    .assign_first([("u-1", 1)])
    .begin([Move(KeyRange(0, 99), "u-2"), Move(KeyRange(200, 299), "u-3")])
)
FIRST, SECOND = TABLE.list_moving()


class TestMoveProgress(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.progress = MoveProgress()
        self.progress.note_table(TABLE, 10.0)

    def complete(self, tenure, now, registered=True):
        moves = [tenure.move_id]
        self.progress.complete(TABLE, moves, lambda _: registered, now)

    def find_usual(self):
        return self.progress.describe(FIRST, True, 11.0).usual

    def test_age_counts_from_the_first_table_with_the_move(self):
        self.progress.note_table(TABLE, 10.5)
        self.assertEqual(1.0, self.progress.describe(FIRST, True, 11.0).age)

    def test_planned_moves_show_how_long_the_next_will_take(self):
        self.complete(FIRST, 10.4)
        self.assertAlmostEqual(0.4, self.find_usual())

    def test_expired_holds_say_nothing_about_planned_moves(self):
        # Guards against callers that are told to return after seconds, and
        # wait for lost owners, because others were lost before.
        before = self.find_usual()
        self.complete(FIRST, 14.0, registered=False)
        self.progress.note_hold(SECOND.move_id, 13.0)
        self.complete(SECOND, 13.0)
        self.assertEqual(before, self.find_usual())

    def test_hold_is_known_until_the_move_ends(self):
        self.progress.note_hold(FIRST.move_id, 13.0)
        found = self.progress.describe(FIRST, True, 11.0)
        self.assertEqual(2.0, found.hold_left)
        table = TABLE.complete([FIRST]).begin([Move(FIRST.keys, "u-4")])
        self.progress.note_table(table, 12.0)
        found = self.progress.describe(table.find(0), True, 12.0)
        self.assertIsNone(found.hold_left)

    def test_hold_may_be_stated_before_the_table_shows_the_move(self):
        later = TABLE.begin([Move(KeyRange(500, 599), "u-2")])
        tenure = later.find(500)
        self.progress.note_hold(tenure.move_id, 13.0)
        self.progress.note_table(later, 11.0)
        found = self.progress.describe(tenure, True, 11.0)
        self.assertEqual(2.0, found.hold_left)


class TestMoveDurations(testtools.TestCase):
    def test_most_moves_do_not_exceed_the_usual_duration(self):
        durations = MoveDurations()
        for number in range(1, 21):
            durations.note(number / 10, 5.0)
        self.assertEqual(1.9, durations.find_usual(6.0))

    def test_old_moves_are_forgotten(self):
        durations = MoveDurations()
        unknown = durations.find_usual(5.0)
        durations.note(3.0, 5.0)
        self.assertEqual(unknown, durations.find_usual(99.0))
