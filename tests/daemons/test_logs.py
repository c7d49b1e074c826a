"""Tests of the logs: limited in number, non-blocking and documented."""

import logging
import os
import pathlib

import testtools

from sedgetide.daemons._logs import BoundedHandler
from sedgetide.daemons._logs import format_logfmt
from sedgetide.daemons._logs import LineRateLimit
from sedgetide.daemons._logs import make_formatter
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.events import make_page

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "logs.md"


class TestFormat(testtools.TestCase):
    """Values with spaces or quotes are quoted."""

    def test_pairs(self):
        line = format_logfmt({"event": "a b", "n": 3, "q": 'x"\n', "e": ""})
        self.assertEqual('event="a b" n=3 q="x\\"\\n" e=""', line)


class TestLineRateLimit(testtools.TestCase):
    """Lines of answered requests are omitted first."""

    def test_failures_are_kept_before_successes(self):
        rate_limit = LineRateLimit(10, 4)
        kept = [rate_limit.admit(True, 5.0) for _ in range(20)]
        self.assertEqual(6, sum(kept))
        kept = [rate_limit.admit(False, 5.1) for _ in range(20)]
        self.assertEqual(4, sum(kept))
        self.assertEqual(30, rate_limit.take_omitted())
        self.assertTrue(rate_limit.admit(True, 6.0))


class TestBoundedHandler(testtools.TestCase):
    """Writing never blocks, whatever the reader does."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = BoundedHandler(self.writer, LineRateLimit(10**6, 0))
        self.handler.setFormatter(make_formatter("h-1", "p"))

    def emit(self, count):
        for number in range(count):
            self.handler.emit(logging.makeLogRecord({"msg": f"line {number}"}))

    def read_all(self):
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                block = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data
            data += block

    def test_reader_that_stops(self):
        # The reader stops and the pipe fills up. Guards against a blocking
        # write, which would stop every request of the host.
        self.emit(20_000)
        first = self.read_all()
        self.assertIn(b"line 0", first)
        # It reads again: lines are complete, and omitted ones are counted.
        self.handler._omitted_logged_at = 0.0
        while True:
            self.emit(1)
            more = self.read_all()
            first += more
            if b"event=omitted" in first:
                break
        lines = first.split(b"\n")
        self.assertTrue(all(b"event=" in line for line in lines[:-1]))

    def test_reader_that_is_gone(self):
        self.emit(1)
        os.dup2(os.open(os.devnull, os.O_RDONLY), self.writer)
        self.emit(10)


class TestVocabulary(testtools.TestCase):
    """Events and fields match the documentation page."""

    def test_page_is_up_to_date(self):
        self.assertEqual(make_page(), PAGE.read_text())

    def test_unknown_field_is_refused(self):
        log = logging.getLogger("sedgetide")
        level = log.level
        self.addCleanup(log.setLevel, level)
        log.setLevel(logging.INFO)
        self.assertRaises(ValueError, log_event, Event.LEADING, color="red")

    def test_names_are_unique(self):
        names = [event.value.name for event in Event]
        self.assertEqual(len(names), len(set(names)))
