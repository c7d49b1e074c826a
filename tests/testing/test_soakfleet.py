"""Tests of how a soak starts when it can not."""

import pathlib
import tempfile

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
