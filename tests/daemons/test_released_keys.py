"""Tests of what upstreams hold while owners are lost, with real processes."""

import pathlib
import shutil
import signal
import tempfile
import time

import gevent
import testtools

from sedgetide.testing.gateways import Path
from sedgetide.testing.proxies import Mode
from sedgetide.testing.rangeupstream import GRANTED
from sedgetide.testing.soakcallers import Caller
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakholdings import find_holding_violations

HOSTS = 5
CALLERS = 8
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
# Seconds; the keys of a killed upstream have moved to the others.
MOVED_WITHIN = 10.0
# Seconds from the loss of the store until all hosts are killed; the leader
# has sent the long grants of an outage before.
KILLED_AFTER = 1.2
SHORT_OUTAGE = 2.0
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

    def list_grants(self, name):
        """Return the grants that an upstream has applied."""
        return [
            event
            for event in self.fleet.read_events()
            if event.kind == GRANTED and event.upstream.startswith(name)
        ]

    def start_late(self):
        """Start an upstream after a copy was made, until it has keys."""
        # It gets keys only when there is load.
        callers = [Caller(each, self.fleet, 1) for each in range(CALLERS)]
        tasks = [gevent.spawn(each.run) for each in callers]
        self.addCleanup(gevent.killall, tasks)
        late = self.fleet.upstreams[3]
        late.program.close()
        gevent.sleep(MOVED_WITHIN)
        began = time.monotonic()
        late.start()
        while not self.list_grants(late.name):
            self.assertLess(time.monotonic(), began + MOVED_WITHIN)
            gevent.sleep(0.05)
        return late, began

    def test_new_leader_that_never_heard_of_an_upstream(self):
        # Guards against keys that are granted to others while an upstream
        # holds them that is missing in the copy, and can't register again.
        late, began = self.start_late()
        former = self.fleet.hosts[0].read_leader()
        self.fleet.restore_store(
            time.monotonic() - began + BACKUP_AGE, SHORT_OUTAGE
        )
        late.store.mode = Mode.REFUSE
        late.store.reset_all()
        gevent.sleep(KILLED_AFTER)
        for host in self.fleet.hosts:
            host.program.close()
        for host in self.fleet.hosts:
            if host.name != former:
                host.program.start()
        gevent.sleep(SHORT_OUTAGE - KILLED_AFTER + OBSERVED)
        self.check_holdings()
