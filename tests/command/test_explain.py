"""Tests of the timeline and cause of a request."""

import contextlib
import io
import pathlib
import tempfile

import testtools

from sedgetide.command._reasons import EXPLANATIONS
from sedgetide.command.explain import explain_request
from sedgetide.command.explain import parse_line
from sedgetide.command.explain import read_lines
from sedgetide.command.main import main
from sedgetide.core.requests.refusals import RefusalReason

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


def explain_line(fields):
    """Return the explanation of a request whose line has these fields."""
    line = parse_line(
        'time="2026-12-02 10:00:02,250" event=request host=h-2 program=p '
        f"id=r route=map service=maps key=150 {fields} version=3 "
        "revision=41 fence=0 age_ms=5\n"
    )
    return list(explain_request("r", [line]))


class TestReasons(testtools.TestCase):
    """Refusals say what was awaited, who decided, and what was promised."""

    def test_every_reason_is_explained(self):
        # Guards against a reason that is logged but not explained.
        self.assertEqual(set(RefusalReason), set(EXPLANATIONS))
        self.assertEqual(
            len(RefusalReason),
            len({each.cause for each in EXPLANATIONS.values()}),
        )
        for reason in RefusalReason:
            shown = explain_line(
                "status=503 outcome=not-run failure=none "
                f'note="{reason.value}" '
                'upstreams="" ms=250 retry_after=1.25'
            )
            expected = EXPLANATIONS[reason]
            self.assertIn(f"cause: {expected.cause}", shown)
            self.assertIn(f"decided by: {expected.decider}", shown)
            self.assertIn(
                f"waited for: {expected.awaited}; 250 ms, never sent", shown
            )
            self.assertIn("request: route map, service maps, key 150", shown)
            self.assertIn(
                "told: 503, it has not run and never will, retry after 1.25 s",
                shown,
            )

    def test_upstream_without_room_and_earlier_failure(self):
        shown = explain_line(
            'status=503 outcome=not-run failure=busy note="no place" '
            "no_room_at=map-2@7 upstreams=map-1 ms=400 held_ms=90"
        )
        text = "\n".join(shown)
        self.assertIn("upstream map-2@7; 90 ms before its first send", text)
        self.assertIn("before, the upstream reported that it was full", text)

    def test_line_of_an_earlier_version(self):
        # Guards against "unknown" for lines with an empty reason.
        for failure in ("busy", "unreachable", "not-owner"):
            shown = explain_line(
                f'status=503 outcome=not-run failure={failure} note="" '
                "upstreams=map-1,map-1 ms=250"
            )
            cause = EXPLANATIONS[RefusalReason(failure)].cause
            self.assertIn(f"cause: {cause}", shown)
            self.assertIn("told: 503, it has not run and never will", shown)

    def test_request_that_may_have_run(self):
        shown = explain_line(
            "status=502 outcome=unknown failure=broken note=broken "
            'detail="reset by peer" upstreams=map-1 ms=250'
        )
        self.assertIn("told: 502, it may have run", shown)
        self.assertIn("reset by peer", shown[1])

    def test_events_of_the_upstream_without_room(self):
        # Guards against events that are missed because they have the
        # registered name and the request has that of the incarnation.
        request = parse_line(
            'time="2026-12-02 10:00:02,250" event=request host=h-2 id=r '
            "status=503 outcome=not-run note=limited no_room_at=map-2@7 "
            'upstreams="" ms=1\n'
        )
        limited = parse_line(
            'time="2026-12-02 10:00:01,000" event=upstream-limited host=h-2 '
            "upstream=map-2 limit=2.2\n"
        )
        shown = list(explain_request("r", [limited, request]))
        self.assertIn("limit=2.2", shown[0])

    def test_host_without_routes(self):
        line = parse_line(
            'time="2026-12-02 10:00:02,250" event=denied host=h-2 id=r '
            "status=503 note=no-routes retry_after=0.5\n"
        )
        text = "\n".join(explain_request("r", [line]))
        self.assertIn("had not read the routes", text)
        self.assertIn("retry after 0.5 s", text)


class TestHops(testtools.TestCase):
    def test_request_that_was_passed_on(self):
        # Guards against two lines with one id that seem to be two attempts.
        answered = "status=200 outcome=answered failure=none ms=9"
        sender = explain_line(f"{answered} via=10.0.0.2:7735")
        peer = explain_line(f"{answered} received_from=h-1")
        self.assertIn(
            "passed on to the host that listens at 10.0.0.2:7735, because the "
            "path of h-2 to the upstream is lost",
            sender,
        )
        self.assertIn(
            "passed on by h-1, whose path to the upstream is lost", peer
        )
