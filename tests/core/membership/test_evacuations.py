"""Tests of the evacuation of data centres."""

from hypothesis import given
from hypothesis import strategies
import testtools

from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.directory import UpstreamDirectory
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.requests.attempts import find_owner
from sedgetide.core.requests.attempts import list_candidates
from sedgetide.core.requests.attempts import Target
from sedgetide.core.requests.attempts import Wait

ALLOWED = 5.0
NEVER = float("-inf")


class TestEvacuations(testtools.TestCase):
    """Evacuations are learnt of late, cancelled and started again."""

    def setUp(self):
        super().setUp()
        self.evacuations = Evacuations(ALLOWED)

    def test_owners_serve_for_half_of_the_time(self):
        self.assertTrue(self.evacuations.start("north", 99.9, 100.0))
        self.assertTrue(self.evacuations.is_evacuating("north"))
        self.assertTrue(self.evacuations.may_serve("north", 102.4))
        self.assertFalse(self.evacuations.may_serve("north", 102.5))
        self.assertTrue(self.evacuations.may_serve("south", 102.5))

    def test_host_that_starts_treats_an_evacuation_as_old(self):
        """All hosts restart without state during an evacuation.

        If each treated the evacuation that it finds as a new one, the data
        centre would get requests for some more seconds, long after
        operators consider it empty.
        """
        self.evacuations.start("north", NEVER, 100.0)
        self.assertFalse(self.evacuations.may_serve("north", 100.0))

    def test_evacuation_after_a_silence_is_as_old_as_the_silence(self):
        self.evacuations.start("north", 94.0, 100.0)
        self.assertFalse(self.evacuations.may_serve("north", 100.0))

    def test_repeated_start_changes_nothing(self):
        self.evacuations.start("north", 99.9, 100.0)
        self.assertFalse(self.evacuations.start("north", 102.0, 102.0))
        self.assertFalse(self.evacuations.may_serve("north", 102.6))

    def test_cancelled_and_started_again(self):
        self.evacuations.start("north", 99.9, 100.0)
        self.assertEqual(3.0, self.evacuations.cancel("north", 103.0))
        self.assertTrue(self.evacuations.may_serve("north", 103.0))
        self.assertEqual(103.0, self.evacuations.find_cancelled_at("north"))
        self.evacuations.start("north", 103.4, 103.5)
        self.assertTrue(self.evacuations.may_serve("north", 105.9))
        self.assertFalse(self.evacuations.may_serve("north", 106.0))

    def test_cancelling_an_unknown_evacuation(self):
        self.assertIsNone(self.evacuations.cancel("north", 103.0))
        self.assertEqual(NEVER, self.evacuations.find_cancelled_at("north"))

    def test_no_time_allowed(self):
        evacuations = Evacuations(0.0)
        evacuations.start("north", 100.0, 100.0)
        self.assertFalse(evacuations.may_serve("north", 100.0))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.booleans(),
                strategies.floats(0.0, 4.0),
                strategies.floats(0.0, 30.0),
            ),
            max_size=12,
        )
    )
    def test_never_served_later_than_allowed(self, steps):
        # Evacuations and cancellations in any order and learnt of with any
        # delay: the data centre gets no requests later than allowed after
        # the last evacuation was started.
        evacuations = Evacuations(ALLOWED)
        now, asked_at = 0.0, None
        for asked, delay, pause in steps:
            now += pause
            if asked:
                asked_at = now if asked_at is None else asked_at
                evacuations.start("north", now - delay, now + delay / 2)
                late = asked_at + delay / 2 + ALLOWED
                self.assertFalse(evacuations.may_serve("north", late))
            else:
                asked_at = None
                evacuations.cancel("north", now)
                self.assertTrue(evacuations.may_serve("north", now))


class TestDirectory(testtools.TestCase):
    """Requests and keys that an evacuated data centre still gets."""

    def setUp(self):
        super().setUp()
        self.evacuations = Evacuations(ALLOWED)
        self.directory = UpstreamDirectory(evacuations=self.evacuations)
        for name, data_centre in (("n-1", "north"), ("s-1", "south")):
            self.put(name, data_centre)
        self.table = RangeTable().assign_first([("n-1", 1), ("s-1", 1)])

    def put(self, name, data_centre, warmup=0.0, now=1.0):
        entry = RegisteredUpstream(
            name, "maps", "1.1.1.1:1", data_centre, 2, False, warmup
        )
        self.directory.put(entry, now)
        return entry

    def test_no_new_work_at_once(self):
        self.evacuations.start("north", 10.0, 10.0)
        found = [each.name for each in self.directory.list_active("maps")]
        self.assertEqual(["s-1"], found)
        candidates = list_candidates(self.directory, "maps", (), 10.0)
        self.assertEqual(["s-1"], [each.name for each in candidates])
        self.assertTrue(self.directory.is_evacuated("n-1"))

    def test_owner_serves_until_its_time_is_over(self):
        self.evacuations.start("north", 10.0, 10.0)
        found = find_owner(self.table, 5, self.directory, 12.0)
        self.assertIsInstance(found, Target)
        found = find_owner(self.table, 5, self.directory, 12.6)
        self.assertIs(Wait.OWNER_GONE, found)

    def test_upstream_that_starts_there_meanwhile_gets_nothing(self):
        self.evacuations.start("north", 10.0, 10.0)
        self.put("n-2", "north", now=11.0)
        found = [each.name for each in self.directory.list_active("maps")]
        self.assertEqual(["s-1"], found)

    def test_all_data_centres_at_once(self):
        for name in ("north", "south"):
            self.evacuations.start(name, 10.0, 10.0)
        self.assertEqual([], self.directory.list_active("maps"))
        for key in (5, 65535):
            found = find_owner(self.table, key, self.directory, 12.6)
            self.assertIs(Wait.OWNER_GONE, found)

    def test_returned_upstream_counts_as_cold(self):
        """A returning upstream may be cold before its entry says so.

        If it were treated as warm, it would appear to be the idlest one, and
        requests from all hosts would crash it before its entry is read.
        """
        entry = self.put("n-1", "north")
        self.evacuations.start("north", 10.0, 10.0)
        self.evacuations.cancel("north", 20.0)
        self.assertTrue(self.directory.is_cold(entry, 3.0, 22.9))
        self.assertFalse(self.directory.is_cold(entry, 3.0, 23.0))
        other = self.directory.find("s-1")
        self.assertFalse(self.directory.is_cold(other, 3.0, 21.0))

    def test_cold_until_its_entry_says_otherwise(self):
        entry = self.put("n-1", "north", 2.5, 30.0)
        self.assertTrue(self.directory.is_cold(entry, 3.0, 32.4))
        self.assertFalse(self.directory.is_cold(entry, 3.0, 32.6))
        entry = self.put("n-1", "north", 2.0, 33.0)
        entry = self.put("n-1", "north", 0.0, 33.5)
        self.assertFalse(self.directory.is_cold(entry, 3.0, 33.6))
