"""Tests of a store that is restored from a backup, with real processes."""

import pathlib
import shutil
import signal
import tempfile

import gevent
import testtools

from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakcallers import DEADLINE
from sedgetide.testing.soakchecks import SoakChecks
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakleaving import DRAINED_WITHIN
from sedgetide.testing.soakleaving import find_late_sends

CALLERS = 8
KEYED, PLAIN = 1, 5
# Writes that are lost and not repeated, so that it takes long until the store
# assigns their revisions again.
LOST_WRITES = 200
# Seconds; the backup was made before the lost writes.
BACKUP_AGE = 1.5
OUTAGE = 0.7
APPLIED_WITHIN = 2.0
# Seconds; before that, a removed entry is taken for one missing in the backup.
STABLE_AFTER = 3.0
RECOVERED_WITHIN = 8.0
_KEPT = pathlib.Path("build")


class TestRestoredStore(testtools.TestCase):
    """Behaviour observed by callers after the restore."""

    def start(self, era):
        """Start hosts, upstreams and callers."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.addOnException(
            lambda _: shutil.copytree(
                folder, _KEPT / self.id(), dirs_exist_ok=True
            )
        )
        self.fleet = Fleet(folder, 0.0, era=era)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.callers = [Caller(each, self.fleet, 1) for each in range(CALLERS)]
        tasks = [gevent.spawn(each.run) for each in self.callers]
        self.addCleanup(gevent.killall, tasks)

    def lose_writes(self):
        """Restore the store from a backup that lacks the last writes."""
        gevent.sleep(BACKUP_AGE)
        for number in range(LOST_WRITES):
            self.fleet.put(f"other/{number}", number)
        self.fleet.configure(2, ())
        self.fleet.restore_store(BACKUP_AGE, OUTAGE)

    def check_later_version(self, era):
        """Check that every host gets a version written after the restore."""
        self.start(era)
        self.lose_writes()
        gevent.sleep(OUTAGE)
        self.fleet.configure(3, ("fresh",))
        gevent.sleep(APPLIED_WITHIN)
        checks = SoakChecks(self.fleet, 0.0)
        checks.check_configuration(["fresh"])
        self.assertEqual([], checks.problems)

    def test_version_after_the_restore(self):
        # Guards against ignoring a version because of its low revision.
        self.check_later_version(6)

    def test_version_after_the_first_restore(self):
        # Guards against the same fault when the store had no era before.
        self.check_later_version(0)

    def test_leaving_after_the_restore(self):
        # Guards against sends to upstreams whose announced shutdown is ignored
        # because of its low revision.
        self.start(6)
        self.lose_writes()
        gevent.sleep(OUTAGE)
        self.fleet.upstreams[KEYED].program.signal(signal.SIGUSR1)
        gevent.sleep(STABLE_AFTER)
        self.fleet.upstreams[PLAIN].program.signal(signal.SIGUSR2)
        gevent.sleep(2 * DRAINED_WITHIN)
        events = self.fleet.read_events()
        self.assertEqual(2, sum(each.kind == "left" for each in events))
        self.assertEqual([], find_late_sends(events, []))

    def test_leaving_that_is_lost(self):
        # Guards against sends to upstreams that are ready in the backup.
        self.start(6)
        gevent.sleep(BACKUP_AGE)
        self.fleet.upstreams[KEYED].program.signal(signal.SIGUSR1)
        self.fleet.upstreams[PLAIN].program.signal(signal.SIGUSR2)
        gevent.sleep(DRAINED_WITHIN)
        for _ in range(2):
            self.fleet.restore_store(BACKUP_AGE + DRAINED_WITHIN, 0.1)
            gevent.sleep(1.0)
        events = self.fleet.read_events()
        self.assertEqual(2, sum(each.kind == "left" for each in events))
        self.assertEqual([], find_late_sends(events, []))

    def test_callers_are_served_through_a_restore(self):
        # Guards against keys that are unavailable until all earlier grants
        # have expired.
        self.start(6)
        self.fleet.restore_store(BACKUP_AGE, OUTAGE)
        gevent.sleep(RECOVERED_WITHIN)
        records = [ask for each in self.callers for ask in each.records]
        late = [ask for ask in records if ask.at < records[-1].at - DEADLINE]
        served = sum(ask.status == 200 for ask in late)
        self.assertGreater(served, 0.9 * len(late))
        checks = SoakChecks(self.fleet, 0.0)
        checks.check_owners(self.fleet.read_events())
        self.assertEqual([], checks.problems)
