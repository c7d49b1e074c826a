"""Tests of how a fleet of processes starts and ends."""

import pathlib
import tempfile
import types

import gevent
import testtools

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.soakfleet import Fleet
from sedgetide.wire.messages import Answer
from sedgetide.wire.server import Server


class TestStart(testtools.TestCase):
    def test_port_of_the_store_that_another_run_has(self):
        """Two soaks run side by side, and one has the other's port.

        The second store ends at its start. Whatever has the port answers in
        its place and takes no configuration: writing it was repeated for
        good, with no process of the soak left, and the suite never ended.
        """
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(pathlib.Path(folder), 0.0)
            self.addCleanup(fleet.close)
            other = Server(
                lambda _: Answer(404, []), lambda _: True, CallerLimits
            )
            other.start(open_listener("127.0.0.1", fleet.store_port))
            self.addCleanup(other.stop_accepting)
            with gevent.Timeout(10):
                error = self.assertRaises(TimeoutError, fleet.start, 2.0)
            self.assertIn("store", str(error))


class CrashedUpstream:
    """An upstream whose only start has crashed."""

    def __init__(self):
        self.program = types.SimpleNamespace(crashed=True)
        self.seen = False
        self.starts = 0

    def note_crash(self):
        news = not self.seen
        self.seen = True
        return news

    def start(self):
        self.starts += 1


class TestSupervision(testtools.TestCase):
    def supervise(self, seconds):
        """Let a fleet be supervised for a time, and return its upstream."""
        upstream = CrashedUpstream()
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(pathlib.Path(folder), 0.0)
            fleet.upstreams = [upstream]
            supervisor = gevent.spawn(fleet.supervise)
            gevent.sleep(seconds)
            supervisor.kill()
            fleet.close()
        gevent.sleep(1.3)
        return upstream

    def test_crashed_upstream_is_started_again(self):
        self.assertEqual(1, self.supervise(1.3).starts)

    def test_no_upstream_is_started_after_the_fleet_has_ended(self):
        # Guards against one that registers at the store of the next fleet.
        self.assertEqual(0, self.supervise(0.3).starts)
