"""Tests of start, supervision and end of a fleet of processes."""

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
        """Guards against an endless start when the store's port is in use.

        Of two soaks in parallel one may listen on the other's port. The
        second store then exits at once, and the server on the port answers in
        its place and accepts no configuration: the write was retried forever
        and the test suite did not end.
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
        is_new = not self.seen
        self.seen = True
        return is_new

    def start(self):
        self.starts += 1


class TestSupervision(testtools.TestCase):
    def supervise(self, seconds):
        """Supervise a fleet for some seconds and return its upstream."""
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
        # Guards against an upstream that registers in the next fleet's store.
        self.assertEqual(0, self.supervise(0.3).starts)
