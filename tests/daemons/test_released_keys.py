"""Tests of what upstreams hold while owners are lost, with real processes."""

import pathlib
import shutil
import signal
import tempfile
import time

import gevent
import testtools

from sedgetide.testing.gateways import Path
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakholdings import find_holding_violations

HOSTS = 5
# Seconds; all upstreams have got their keys, and copies were made since.
SETTLED = 4.0
# Seconds between the loss of the store, of the paths to an upstream, and the
# departure of this upstream.
PATHS_LOST_AFTER = 1.7
LEAVES_AFTER = 0.3
BACKUP_AGE = 1.5
OUTAGE = 3.0
# Seconds after the restore; all earlier holds end before.
OBSERVED = 10.0
_SAVED_OUTPUT = pathlib.Path("build")


class TestRestoredStore(testtools.TestCase):
    """Keys held by upstreams after the restore of the store."""

    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.addOnException(lambda _: self.save_output(folder))
        self.fleet = Fleet(
            folder, 0.0, ({},) * HOSTS, era=6, with_gateways=True
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        gevent.sleep(SETTLED)

    def save_output(self, folder):
        """Save the output of all processes of a failed test."""
        shutil.copytree(folder, _SAVED_OUTPUT / self.id(), dirs_exist_ok=True)

    def check_holdings(self):
        """Check that one upstream at a time has held a key."""
        events = self.fleet.read_events()
        heals = self.fleet.list_heals()
        problems = find_holding_violations(events, heals, time.monotonic())
        self.assertEqual([], problems)

    def test_paths_of_all_hosts_to_an_upstream_are_refused(self):
        # Guards against a refused connection that is taken for the end of
        # the process, whose keys are then granted to others.
        lost = self.fleet.upstreams[0]
        self.fleet.restore_store(BACKUP_AGE, OUTAGE)
        gevent.sleep(PATHS_LOST_AFTER)
        for host in self.fleet.hosts:
            host.gateway.set_path(Path.RESETTING, lost.address.__eq__)
        gevent.sleep(LEAVES_AFTER)
        lost.program.signal(signal.SIGUSR1)
        gevent.sleep(OUTAGE - PATHS_LOST_AFTER - LEAVES_AFTER + OBSERVED)
        self.check_holdings()
