"""Peak memory of a host whose upstreams send bodies without end.

python -m sedgetide.testing.endlessmemory --upstreams 14 --rate 60
"""

import argparse
import contextlib
import itertools
import pathlib
import subprocess
import sys
import tempfile

import gevent
import msgspec

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.endless import Kind
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.fleetroutes import PLAIN
from sedgetide.testing.soakfleet import Fleet
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

MEMORY_MB = 300
_TIMEOUT = 4.0
_HEARTBEAT = 0.5
_SETTLED = 2.0


class Peak(msgspec.Struct, frozen=True):
    """What a run has shown.

    Parameters
    ----------
    megabytes : float
        Peak of the resident memory of the host.
    cuts : int
        Answers of which the host has not read the end.
    running : bool
        Whether the host process still runs.
    """

    megabytes: float
    cuts: int
    running: bool


class EndlessMemory:
    """One host, and upstreams of which all answers are without end.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and process output.
    upstreams : int
        Number of upstreams.
    """

    def __init__(self, folder: pathlib.Path, upstreams: int) -> None:
        self._stack = contextlib.ExitStack()
        self._fleet = Fleet(folder, 0.0, ({"memory_mb": MEMORY_MB},))
        # One with keys, so that the host becomes ready.
        del self._fleet.upstreams[1:]
        self._stack.callback(self._fleet.close)
        self._host = self._fleet.hosts[0]
        self._addresses = [self._start_upstream() for _ in range(upstreams)]

    def _start_upstream(self) -> str:
        process = subprocess.Popen(
            [sys.executable, "-m", "sedgetide.testing.endless"],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process.stdout.readline().strip()

    def start(self) -> None:
        """Start the processes and register the upstreams."""
        self._fleet.start()
        route = ["all", HOST, "/", "safe", int(_TIMEOUT * 1000), 800, 2, PLAIN]
        columns = "name host path-prefix kind timeout-ms target-latency-ms"
        document = {
            "version": "r2",
            "routes": {
                "columns": [*columns.split(), "max-attempts", "service"],
                "rows": [route],
            },
            "services": {"columns": ["name"], "rows": [[PLAIN]]},
        }
        self._fleet.put(_names.CONFIGURATION_KEY, document)
        task = gevent.spawn(self._register)
        self._stack.callback(task.kill)
        gevent.sleep(_SETTLED)

    def _register(self) -> None:
        for sequence in itertools.count(1):
            for number, address in enumerate(self._addresses):
                info = {"service": PLAIN, "zone": "dc-0", "slots": 4}
                status = {"state": "ready", "sequence": sequence}
                entry = {
                    "address": address,
                    "born": 1,
                    "info": {**info, "version": "v1"},
                    "status": {**status, "warmup-left-ms": 0},
                }
                self._fleet.put_entry(f"i-{number}", entry)
            gevent.sleep(_HEARTBEAT)

    def run(self, kind: Kind, rate: float, seconds: float) -> Peak:
        """Send requests at a rate, and return what the host has needed."""
        callers = []
        for number in range(int(rate * seconds)):
            callers.append(gevent.spawn(self._ask, kind, number))
            gevent.sleep(1.0 / rate)
        gevent.joinall(callers)
        program = self._host.program
        running = program.running
        peak = _read_peak(program.process_id) if running else float("inf")
        cuts = program.output.read_text().count("event=read-cut")
        return Peak(peak, cuts, running)

    def _ask(self, kind: Kind, number: int) -> None:
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, f"r-{number}"),
            (_names.DEADLINE_MS, str(int(_TIMEOUT * 1000))),
        ]
        connection = Connection(f"127.0.0.1:{self._host.port}", 1 << 24)
        with contextlib.suppress(UpstreamError):
            connection.open(1.0)
            request = Request("GET", f"/{kind.value}", headers, b"")
            connection.exchange(request, _TIMEOUT + 1.0)
        connection.close()

    def close(self) -> None:
        """End all processes."""
        self._stack.close()


def _read_peak(process_id: int) -> float:
    """Return the peak of the resident memory of a process, in megabytes."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    (kilobytes,) = (
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("VmHWM:")
    )
    return int(kilobytes) / 1024


def main() -> int:
    """Print the peak of one run."""
    parser = argparse.ArgumentParser(description=__doc__)
    kinds = [kind.value for kind in Kind]
    parser.add_argument("--kind", choices=kinds, default=Kind.LENGTH.value)
    parser.add_argument("--upstreams", type=int, default=1)
    parser.add_argument("--rate", type=float, default=80.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as s:
        fleet = EndlessMemory(pathlib.Path(folder), options.upstreams)
        s.callback(fleet.close)
        fleet.start()
        peak = fleet.run(Kind(options.kind), options.rate, options.seconds)
    print(peak)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
