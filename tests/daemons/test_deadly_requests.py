"""A request that ends each upstream that runs it, against real processes."""

import itertools
import pathlib
import tempfile
import time

import gevent
import msgspec
import testtools

from sedgetide.core.errors import UpstreamError
from sedgetide.platform import _names
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import HOST
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import find_header
from sedgetide.wire.messages import Request

DEADLY = "/archive/deadly"
# Seconds; within them a decision of one host is known to all others.
KNOWN_WITHIN = 3.0
# Losses that it may take to know a request for what it is.
LOSSES = 3
# Sends of a request that is known, over all hosts and its whole life.
MOST_SENDS = 3
_DOWN = 1.0
_ASK_EVERY = 0.4
_ASKED_FOR = 14.0


class Reply(msgspec.Struct):
    """What the caller of one attempt saw."""

    at: float
    seconds: float
    status: int
    retry_after: float


class TestDeadlyRequest(testtools.TestCase):
    """One caller repeats, at one host after the other, a read that crashes.

    The first upstream to run it ends, and the host sends it to the second,
    which ends too; both are back a second later, and the caller comes again
    at another host with another id. Each host judged each attempt for itself:
    25 runs in 14 s, 18 of them later than 3 s after the third loss, each with
    `status=502 outcome=unknown failures=broken,broken` and two lines
    `upstream-ended` of one fingerprint, in the log of another host each time.
    """

    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(folder, 0.0, crash_on=DEADLY)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.numbers = itertools.count()

    def supervise(self):
        """Start upstreams again, some time after they have ended."""
        while True:
            gevent.sleep(0.1)
            for upstream in self.fleet.upstreams:
                if not upstream.program.running:
                    gevent.spawn_later(_DOWN, self.start_again, upstream)

    def start_again(self, upstream):
        if not upstream.program.running:
            upstream.start()

    def ask(self, path, host):
        """Send an attempt to a host and return what its caller saw."""
        number = f"{path.rpartition('/')[2]}-{next(self.numbers)}"
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, number),
            (_names.DEADLINE_MS, "1500"),
        ]
        began = time.monotonic()
        connection = Connection(f"127.0.0.1:{host.port}", 65536)
        try:
            connection.open(1.0)
            answer = connection.exchange(
                Request("GET", path, headers, b""), 2.0
            )
        except UpstreamError:
            return Reply(began, time.monotonic() - began, 0, 0.0)
        finally:
            connection.close()
        retry = find_header(answer.headers, "retry-after")
        seconds = time.monotonic() - began
        return Reply(began, seconds, answer.status, float(retry or 0.0))

    def repeat(self, seconds):
        """Ask again and again, each time at another host."""
        replies = []
        hosts = itertools.cycle(self.fleet.hosts)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            replies.append(self.ask(DEADLY, next(hosts)))
            gevent.sleep(_ASK_EVERY)
        return replies

    def list_runs(self):
        """Return when the request was begun, by any upstream."""
        return [
            event.at
            for event in self.fleet.read_events()
            if event.kind == "begin" and event.request.startswith("deadly")
        ]

    def test_it_is_known_after_three_losses_at_all_hosts(self):
        supervisor = gevent.spawn(self.supervise)
        self.addCleanup(supervisor.kill)
        replies = self.repeat(_ASKED_FOR)
        runs = self.list_runs()
        self.assertGreaterEqual(len(runs), LOSSES)
        late = [at for at in runs if at > runs[LOSSES - 1] + KNOWN_WITHIN]
        self.assertLessEqual(len(late), MOST_SENDS, runs)
        last = replies[-3:]
        self.assertEqual([503] * 3, [reply.status for reply in last])
        for reply in last:
            self.assertGreater(reply.retry_after, 1.0)
            self.assertLess(reply.seconds, 0.2)
        # What it did not ask for is served as ever.
        statuses = [
            self.ask("/archive/x", host).status for host in self.fleet.hosts
        ]
        self.assertEqual([200] * 3, statuses)
