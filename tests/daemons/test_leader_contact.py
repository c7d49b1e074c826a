"""Test of hosts that the store turns away, with real processes."""

import pathlib
import tempfile
import time

import gevent
import testtools

from sedgetide.testing.proxies import Mode
from sedgetide.testing.soakfleet import Fleet

HOSTS = 5
# Seconds; the lease of a leader that the store turns away ends within two,
# and the election takes up to one.
ELECTED_WITHIN = 8.0
# Seconds; a silent host asks one lender every 0.4 s.
FOUND_WITHIN = 4.0


class TestLeaderContact(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(folder, 0.0, options=[{}] * HOSTS)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def wait_for_leader(self, host, accepted, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            leader = host.read_leader()
            if leader is not None and accepted(leader):
                return leader
            gevent.sleep(0.1)
        raise AssertionError(
            f"{host.name} knows {host.read_leader()} as the leader"
        )

    def turn_away(self, host):
        host.store.mode = Mode.REFUSE
        host.store.reset_all()

    def test_host_that_the_store_turns_away_finds_the_next_leader(self):
        # Guards against hosts that send requests to replaced owners until
        # the store answers them again, while all others know the new ones.
        gevent.sleep(2.0)
        hosts = {each.name: each for each in self.fleet.hosts}
        first = self.wait_for_leader(self.fleet.hosts[0], bool, 5.0)
        others = [each for name, each in hosts.items() if name != first]
        cut_off, in_contact = others[0], others[1]
        self.turn_away(hosts[first])
        self.turn_away(cut_off)
        second = self.wait_for_leader(
            in_contact, lambda name: name != first, ELECTED_WITHIN
        )
        self.wait_for_leader(
            cut_off, lambda name: name == second, FOUND_WITHIN
        )
