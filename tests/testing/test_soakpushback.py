"""Tests of the checks that hosts comply with pushback of upstreams."""

import random

import testtools

from sedgetide.testing.pushbackscript import Script
from sedgetide.testing.rangeupstream import ARRIVED
from sedgetide.testing.rangeupstream import Event
from sedgetide.testing.rangeupstream import SAID
from sedgetide.testing.soakcallers import RequestRecord
from sedgetide.testing.soakpushback import draw_scripts
from sedgetide.testing.soakpushback import find_pushback_violations
from sedgetide.testing.soakpushback import HostOutage

UPSTREAM = "i-0-1@1"


class TestFindPushbackViolations(testtools.TestCase):
    """The checks report violations, and only violations."""

    def setUp(self):
        super().setUp()
        self.records = []
        self.events = []

    def ask(self, at, host=0, said=None):
        number = f"r-{len(self.records)}"
        self.records.append(RequestRecord(number, False, at, host))
        for seconds, kind, pushback in (
            (0.01, ARRIVED, {}),
            (0.02, SAID, said or {}),
        ):
            event = Event(
                at + seconds, kind, UPSTREAM, number, -1, 0, pushback
            )
            self.events.append(event)

    def find(self, *outages):
        return len(
            find_pushback_violations(self.events, self.records, outages)
        )

    def ask_often(self, count, said, host=0):
        for step in range(count):
            self.ask(10.0 + step * 0.2, host, said)

    def test_limit(self):
        self.ask_often(60, {"limit": "0.5"})
        self.assertEqual(1, self.find())
        self.assertEqual(0, self.find(HostOutage((0,), 10.0, 30.0)))
        self.assertEqual(1, self.find(HostOutage((1,), 10.0, 30.0)))
        other = HostOutage((0,), 10.0, 30.0, "i-3-")
        self.assertEqual(1, self.find(other))

    def test_limit_that_is_kept_or_has_ended(self):
        self.ask_often(60, {"limit": "5"})
        self.assertEqual(0, self.find())
        self.ask_often(60, {})
        self.assertEqual(0, self.find())

    def test_limit_binds_hosts_that_have_heard_it(self):
        self.ask(10.0, 0, {"limit": "0.5"})
        for step in range(20):
            self.ask(15.0, 1 + step, {"limit": "0.5"})
        self.assertEqual(0, self.find())

    def test_leaving(self):
        self.ask(10.0, 0, {"leaving": "1"})
        self.ask(11.9, 0)
        self.ask(13.0, 1)
        self.assertEqual(0, self.find())
        self.ask(12.2, 0)
        self.assertEqual(1, self.find())
        self.assertEqual(0, self.find(HostOutage((0,), 10.5, 11.0)))
        self.assertEqual(1, self.find(HostOutage((0,), 9.0, 9.5)))

    def test_backoff(self):
        self.ask(10.0, 0, {"backoff": "3"})
        for at in (10.1, 10.2, 10.3, 11.0, 12.0, 14.0):
            self.ask(at)
        for at in (11.0, 12.0):
            self.ask(at, 1)
        self.assertEqual(0, self.find())
        self.ask(12.5)
        self.assertEqual(1, self.find())


class TestScripts(testtools.TestCase):
    def test_every_drawn_script_can_be_played(self):
        for seed in range(50):
            for lines in draw_scripts(random.Random(seed)).values():
                Script(lines)

    def test_unknown_kind(self):
        error = self.assertRaises(ValueError, Script, ["1:colour:red"])
        self.assertIn("accepted are", str(error))
