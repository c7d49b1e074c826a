"""Tests of ports for processes that are about to be started."""

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
        # Two suites started together have neighbouring process ids, and
        # each needs some hundred ports. One that both choose is bound by
        # one of them only; calls of the other reach a stranger.
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
