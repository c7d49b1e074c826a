"""Tests of the allocation of ports for processes."""

import subprocess
import sys

import testtools

_COUNT = 300
_SCRIPT = (
    "from sedgetide.testing.ports import find_port\n"
    f"print(*[find_port() for _ in range({_COUNT})], flush=True)\n"
    "input()\n"
)


class TestPorts(testtools.TestCase):
    def test_processes_side_by_side_get_ports_of_their_own(self):
        # Test suites that are started together have neighbouring process ids,
        # and each needs some hundreds of ports. Only one of them can bind a
        # port that both choose; calls of the other reach a foreign process.
        runs = [
            subprocess.Popen(
                [sys.executable, "-c", _SCRIPT],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(3)
        ]
        chosen = [run.stdout.readline().split() for run in runs]
        for run in runs:
            run.communicate("\n", timeout=20)
        ports = [port for each in chosen for port in each]
        self.assertEqual(3 * _COUNT, len(ports))
        self.assertEqual(len(ports), len(set(ports)))
