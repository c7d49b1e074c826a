"""Tests of the requests in progress on a host that stops, with processes."""

import pathlib
import signal
import tempfile

import gevent
import gevent.socket
import testtools

from sedgetide.platform import _names
from sedgetide.testing.fleetroutes import HOST
from sedgetide.testing.fleetroutes import make_routes
from sedgetide.testing.soakfleet import Fleet
from sedgetide.testing.soakfleet import GRACE
from sedgetide.wire.client import Connection
from sedgetide.wire.messages import Request

CALLERS = 12
# Seconds; longer than the grace time of a host.
TIMEOUT = 20.0
# Mean seconds of work of a request.
WORK = 3.0
KEY = 7


class TestStoppedHost(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fleet = Fleet(folder, 0.0, options=({}, {}), work=WORK)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        routes = make_routes()
        place = routes["columns"].index("timeout-ms")
        for row in routes["rows"]:
            row[place] = row[place + 1] = int(TIMEOUT * 1000)
        document = {
            "version": "r2",
            "routes": routes,
            "services": self.fleet._describe_services(),
        }
        self.fleet.put(_names.CONFIGURATION_KEY, document)
        # Until the hosts know the version, and the keys have owners.
        gevent.sleep(4.0)

    def send(self, number):
        connection = Connection(f"127.0.0.1:{self.host.port}", 1000)
        connection.open(1.0)
        headers = [
            ("Host", HOST),
            (_names.REQUEST_ID, number),
            (_names.DEADLINE_MS, str(int(TIMEOUT * 1000))),
            (_names.SHARD_KEY, str(KEY)),
        ]
        request = Request("POST", "/alert/x", headers, b"")
        return connection.exchange(request, TIMEOUT).status

    def list_runs(self):
        return {
            each.request
            for each in self.fleet.read_events()
            if each.kind == "begin"
        }

    def test_request_that_is_complete_late_in_the_grace_time(self):
        # Guards against a request that is passed on shortly before the end of
        # a planned stop and cut while its upstream works on it.
        self.host = self.fleet.hosts[0]
        address = ("127.0.0.1", self.host.port)
        caller = gevent.socket.create_connection(address)
        self.addCleanup(caller.close)
        caller.sendall(
            f"POST /alert/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{_names.REQUEST_ID}: late\r\n{_names.SHARD_KEY}: {KEY}\r\n"
            "Content-Length: 2\r\n\r\nx".encode()
        )
        self.host.program.signal(signal.SIGTERM)
        gevent.sleep(GRACE - 0.6)
        caller.sendall(b"x")
        with gevent.Timeout(2.0):
            self.assertIn(b" 503 ", caller.recv(1000))
        self.assertNotIn("late", self.list_runs())

    def test_each_request_that_was_read_gets_an_answer(self):
        # Guards against connections that are closed without an answer at the
        # end of a planned stop, while requests wait or upstreams work.
        self.host = self.fleet.hosts[0]
        numbers = [f"r-{each}" for each in range(CALLERS)]
        callers = {each: gevent.spawn(self.send, each) for each in numbers}
        self.addCleanup(gevent.killall, list(callers.values()))
        gevent.sleep(0.5)
        self.host.program.signal(signal.SIGTERM)
        with gevent.Timeout(GRACE + 2.0):
            statuses = {each: callers[each].get() for each in numbers}
        self.assertLessEqual(set(statuses.values()), {200, 503, 504})
        ran = self.list_runs()
        self.assertTrue(ran)
        refused = {each for each in numbers if statuses[each] == 503}
        self.assertTrue(refused)
        self.assertEqual(set(), refused & ran)
