"""Tests of planned stops under a steady load, with real processes."""

import collections
import json
import pathlib

import gevent
import testtools

from sedgetide.testing.callers import Load
from sedgetide.testing.fleet import call
from sedgetide.testing.fleet import Fleet
from sedgetide.testing.fleet import LONG_TIMEOUT_OPTIONS
from sedgetide.testing.fleet import wait_for
from sedgetide.testing.journals import find_repeated_runs
from sedgetide.testing.journals import find_two_owners

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
PATHS = [
    ("GET", "/mappa-fumi/tiles/t{n}"),
    ("POST", "/mappa-fumi/alerts/a{n}"),
    ("GET", "/archivio-pennacchi/plumes/p{n}"),
]
WARM_UP = 0.5


class PlannedStopTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        text = json.loads((EXAMPLES / "lombardia.json").read_text())
        self.fleet = Fleet(text, upstreams=1, options=LONG_TIMEOUT_OPTIONS)
        self.addCleanup(self.fleet.close)
        self.fleet.start(keepers=2, entries=2)
        addresses = [
            entry.settings["listen"] for entry in self.fleet.entries.values()
        ]
        self.load = Load(addresses, PATHS, rate=100.0)
        self.load.start()
        gevent.sleep(WARM_UP)

    def check(self):
        told = self.load.stop()
        outcomes = collections.Counter(
            (each.outcome, each.reason) for each in told
        )
        self.assertEqual({("answered", "")}, set(outcomes), outcomes)
        self.assertTrue(all(each.whole for each in told))
        journal = self.fleet.read_journals()
        self.assertEqual([], find_repeated_runs(journal))
        self.assertEqual([], find_two_owners(journal))

    def test_stop_of_a_keeper_cuts_no_request(self):
        # The stopping keeper tells its peers and refuses new requests as not
        # run; entries send those to the keeper that takes over. Running
        # requests end before the process does, so no caller is affected.
        upstream = next(iter(self.fleet.upstreams))
        keeper = self.fleet.find_keeper(upstream)
        keeper.process.terminate()
        self.assertEqual(0, keeper.process.join())
        gevent.sleep(WARM_UP)
        self.check()

    def test_stop_of_an_entry_cuts_no_request(self):
        # The entry becomes unready first, so that the balancer sends no more
        # requests, and keeps listening until the balancer has noticed.
        entry = self.fleet.entries["sala-milano-1"]
        entry.process.terminate()
        wait_for(lambda: not entry.is_ready(), 10, "unready")
        self.load.addresses.remove(entry.settings["listen"])
        self.assertEqual(0, entry.process.join())
        gevent.sleep(WARM_UP)
        self.check()


class LongRequestTest(testtools.TestCase):
    """Stop of an entry whose requests take longer than it may."""

    def test_request_gets_an_answer_at_the_end(self):
        # Guards against a connection that is closed without an answer while
        # an upstream works on the request.
        text = json.loads((EXAMPLES / "lombardia.json").read_text())
        limits = {"drain": 1.0, "drain_notice": 0.2}
        options = {**LONG_TIMEOUT_OPTIONS, "limits": limits}
        fleet = Fleet(text, upstreams=1, service_ms=2500.0, options=options)
        self.addCleanup(fleet.close)
        fleet.start(keepers=2, entries=1)
        entry = fleet.entries["sala-milano-1"]
        caller = gevent.spawn(
            call,
            entry.settings["listen"],
            "POST",
            "/mappa-fumi/alerts/a1",
            timeout=10.0,
        )
        gevent.sleep(0.5)
        entry.process.terminate()
        answer = caller.get(timeout=5.0)
        self.assertEqual(504, answer.status)
        self.assertEqual("unknown", answer.find_header("sedgetide-outcome"))
        self.assertEqual(0, entry.process.join())
