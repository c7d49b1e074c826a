"""Tests of the timeline and cause of a request."""

import contextlib
import io
import pathlib
import tempfile

import testtools

from sedgetide.command.explain import explain_request
from sedgetide.command.explain import parse_line
from sedgetide.command.explain import read_lines
from sedgetide.command.main import main

LEADER = """\
time="2026-12-02 09:00:00,000" level=WARNING event=upstream-ended host=h-1 \
program=p upstream=u-1 proof=refused id=r-0 fingerprint=f00d beside=0
time="2026-12-02 09:59:00,000" level=WARNING event=upstream-ended host=h-1 \
program=p upstream=u-2 proof=refused id=r-0 fingerprint=beef beside=0
time="2026-12-02 10:00:01,000" level=INFO event=leading host=h-1 program=p \
term=7
time="2026-12-02 10:00:04,500" level=INFO event=owner-stopped host=h-1 \
program=p service=maps upstream=u-3 low=100 high=199 fence=9 proof=ended \
seconds=3.70
time="2026-12-02 10:00:04,600" level=INFO event=owner-stopped host=h-1 \
program=p service=maps upstream=u-4 low=300 high=310 fence=10 proof=done \
seconds=0.10
"""
ENTRY = """\
time="2026-12-02 10:00:02,250" level=INFO event=request host=h-2 program=p \
id=r-1 route=map key=150 status=503 outcome=not-run failure=none note=moving \
upstreams="" ms=250 version=3 revision=41 fence=0 age_ms=120
time="2026-12-02 10:00:05,000" level=INFO event=request host=h-2 program=p \
id=r-2 route=map key=150 status=502 outcome=unknown failure=broken \
note="reset by peer" upstreams=u-5 ms=20 version=3 revision=42 fence=9 \
age_ms=0
time="2026-12-02 10:00:05,500" level=INFO event=request host=h-2 program=p \
id=r-3 route=map key=150 status=503 outcome=not-run failure=none \
note=quarantined fingerprint=f00d upstreams="" ms=0 version=3 revision=42 \
fence=0 age_ms=0
time="2026-12-02 10:00:06,0"""


class TestExplain(testtools.TestCase):
    """Logs of several hosts are combined into one timeline."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = [pathlib.Path(folder.name) / n for n in ("a", "b")]
        self.paths[0].write_text(LEADER)
        self.paths[1].write_text(ENTRY)

    def explain(self, number):
        return list(explain_request(number, read_lines(self.paths)))

    def test_refused_while_its_range_moved(self):
        shown = self.explain("r-1")
        text = "\n".join(shown)
        self.assertIn("no owner while it moved", text)
        self.assertIn("revision 41", text)
        self.assertIn("h-1 leading", text)

    def test_only_what_concerns_its_key(self):
        text = "\n".join(self.explain("r-2"))
        self.assertIn("upstream=u-3", text)
        self.assertNotIn("upstream=u-4", text)
        self.assertIn("broke before the response was complete", text)
        self.assertIn("reset by peer", text)

    def test_refused_since_upstreams_ended_under_it(self):
        # The events that caused a quarantine may be many minutes old.
        text = "\n".join(self.explain("r-3"))
        self.assertIn("upstreams ended during it and its repeats", text)
        self.assertIn("upstream=u-1", text)
        self.assertNotIn("upstream=u-2", text)

    def test_truncated_file_is_read_as_far_as_it_goes(self):
        self.assertEqual(8, len(read_lines(self.paths)))
        self.assertIsNone(parse_line("time=garbage\n"))

    def run_command(self, *arguments):
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            code = main(["explain", *map(str, arguments)])
        return code, output.getvalue()

    def test_unknown_id_and_missing_file(self):
        code, said = self.run_command("r-9", *self.paths)
        self.assertEqual(2, code)
        self.assertIn("r-9", said)
        code, said = self.run_command("r-1", "/does/not/exist")
        self.assertEqual(2, code)
        self.assertIn("/does/not/exist", said)
