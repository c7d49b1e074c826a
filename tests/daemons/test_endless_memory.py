"""Tests of the memory of a host whose upstreams answer without end."""

import pathlib
import tempfile

import testtools

from sedgetide.testing.endless import Kind
from sedgetide.testing.endlessmemory import EndlessMemory
from sedgetide.testing.endlessmemory import MEMORY_MB

SECONDS = 6.0


class TestEndlessMemory(testtools.TestCase):
    def measure(self, upstreams, rate):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        fleet = EndlessMemory(folder, upstreams)
        self.addCleanup(fleet.close)
        fleet.start()
        peak = fleet.run(Kind.TO_CLOSE, rate, SECONDS)
        self.assertTrue(peak.running)
        self.assertGreater(peak.cuts, 0)
        return peak.megabytes

    def test_one_upstream(self):
        # Guards against a host that keeps all that one upstream sends.
        self.assertLess(self.measure(1, 80.0), MEMORY_MB / 2)

    def test_many_upstreams(self):
        # Guards against a host that runs out of memory, as each upstream
        # stays within its own limit.
        self.assertLess(self.measure(14, 60.0), MEMORY_MB)
