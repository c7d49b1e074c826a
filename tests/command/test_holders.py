"""Tests of what the logs tell about the holders of a key."""

import contextlib
import datetime
import io
import pathlib
import tempfile

import testtools

from sedgetide.command.explain import explain_request
from sedgetide.command.explain import Line
from sedgetide.command.explain import parse_line
from sedgetide.command.holders import explain_holders
from sedgetide.command.main import main
from sedgetide.core.errors import InputError


def make_line(at, fields):
    """Return the line of an event at a time on one day."""
    line = parse_line(
        f'time="2026-12-02 {at}" level=INFO {fields} program=p\n'
    )
    assert isinstance(line, Line)
    return line


GRANTED = make_line(
    "10:00:00,000",
    "event=granting host=h-1 service=maps term=0/7 "
    'ranges="0-99/1>u-1@5 100-65535/1>u-2@5"',
)
MOVED = (
    make_line(
        "10:00:04,500",
        "event=owner-stopped host=h-1 service=maps upstream=u-1@5 low=50 "
        "high=99 fence=2 proof=expired seconds=3.70 after_hold=0.03",
    ),
    make_line(
        "10:00:04,501",
        "event=granting host=h-1 service=maps term=0/7 ranges=50-99/2>u-2@5",
    ),
)
RESTORED = (
    make_line(
        "10:00:10,000",
        "event=upstream-released host=h-2 service=maps era=1 upstream=u-2@5 "
        "address=10.0.0.2:1 proof=refused seconds=2.50",
    ),
    make_line(
        "10:00:10,100",
        "event=granting host=h-2 service=maps term=1/3 "
        "ranges=0-65535/4294967298>u-1@5",
    ),
)


def explain(key, lines, at=None):
    """Return the holders of a key as one text."""
    return "\n".join(explain_holders("maps", key, lines, at))


class TestHolders(testtools.TestCase):
    def test_owner_of_a_move(self):
        shown = explain("50", [GRANTED, *MOVED]).splitlines()
        self.assertEqual(
            [
                "2026-12-02 10:00:00,000 u-1@5 fence 1, granted by h-1 in "
                "term 0/7; stopped 2026-12-02 10:00:04,500 by expired, 0.03 "
                "s after the end of its hold (h-1 owner-stopped)",
                "2026-12-02 10:00:04,501 u-2@5 fence 2, granted by h-1 in "
                "term 0/7; no proof in these files",
            ],
            shown,
        )

    def test_part_of_a_range_that_does_not_move(self):
        # Guards against the end of a holding whose key has not moved.
        (shown,) = explain("49", [GRANTED, *MOVED]).splitlines()
        self.assertIn("u-1@5", shown)
        self.assertIn("no proof in these files", shown)

    def test_release_after_a_restore(self):
        # Guards against a refused connection that can't be told from an
        # answered release.
        lines = [GRANTED, *MOVED, *RESTORED]
        shown = explain("100", lines).splitlines()
        self.assertIn("u-2@5 fence 1", shown[0])
        self.assertIn("by refused (h-2 upstream-released)", shown[0])
        self.assertIn("u-1@5 fence 4294967298, granted by h-2", shown[1])
        self.assertEqual(2, len(shown))

    def test_two_holders(self):
        # Guards against two holders that the logs show and nobody sees.
        lines = [GRANTED, RESTORED[1]]
        self.assertIn(
            "two upstreams may have held key 100 from 2026-12-02 "
            "10:00:10,100: u-2@5 and u-1@5",
            explain("100", lines),
        )

    def test_wait_until_all_grants_have_expired(self):
        waited = make_line(
            "10:00:10,050",
            "event=recovered host=h-2 service=maps era=1 basis=expired "
            "released=0",
        )
        shown = explain("100", [GRANTED, waited, RESTORED[1]]).splitlines()
        self.assertEqual(2, len(shown))
        self.assertIn("by expired (h-2 recovered)", shown[0])

    def test_keys_that_a_report_shows_as_free(self):
        # Guards against two holders where the former leader has reported
        # that the first one's hold had ended.
        by_report = make_line(
            "10:00:10,050",
            "event=recovered host=h-2 service=maps era=1 basis=report "
            "released=1 silent=1 retained=0",
        )
        shown = explain("100", [GRANTED, by_report, RESTORED[1]]).splitlines()
        self.assertEqual(2, len(shown))
        self.assertIn("by not among the holds that were reported", shown[0])

    def test_keys_that_stay_with_a_silent_upstream(self):
        # Guards against a holder that is taken for stopped because the
        # recovery went on without its answer.
        by_report = make_line(
            "10:00:10,050",
            "event=recovered host=h-2 service=maps era=1 basis=report "
            "released=1 silent=1 retained=1",
        )
        retained = make_line(
            "10:00:10,100",
            "event=granting host=h-2 service=maps term=1/3 "
            "ranges=100-65535/9>u-2@5",
        )
        moved = make_line(
            "10:00:11,100",
            "event=granting host=h-2 service=maps term=1/3 "
            "ranges=100-65535/10>u-1@5",
        )
        lines = [GRANTED, by_report, retained]
        (shown,) = explain("100", lines).splitlines()
        self.assertIn("u-2@5", shown)
        self.assertIn("no proof in these files", shown)
        self.assertIn("two upstreams", explain("100", [*lines, moved]))

    def test_other_services_do_not_count(self):
        other = make_line(
            "10:00:05,000",
            "event=upstream-released host=h-2 service=files era=1 "
            "upstream=u-2@5 proof=answered",
        )
        self.assertIn("no proof", explain("100", [GRANTED, other]))

    def test_hold_that_is_cut_short(self):
        # Guards against a reused address that can't be told from an expired
        # hold.
        stopped = make_line(
            "10:00:04,500",
            "event=owner-stopped host=h-1 service=maps upstream=u-1@5 low=50 "
            "high=99 fence=2 proof=address-reused after_hold=-2.50",
        )
        self.assertIn(
            "by address-reused, 2.50 s before the end of its hold",
            explain("50", [GRANTED, stopped]),
        )

    def test_line_of_an_earlier_version(self):
        stopped = make_line(
            "10:00:04,500",
            "event=owner-stopped host=h-1 service=maps upstream=u-1@5 low=50 "
            "high=99 fence=2 proof=ended seconds=3.70",
        )
        shown = explain("50", [GRANTED, stopped])
        self.assertIn("by expired or address-reused (h-1", shown)

    def test_holders_at_a_time(self):
        at = datetime.datetime(2026, 12, 2, 10, 0, 3)
        shown = explain("50", [GRANTED, *MOVED], at)
        self.assertIn("u-1@5", shown)
        self.assertNotIn("u-2@5", shown)

    def test_key_without_a_grant(self):
        for key in ("65536", "k"):
            self.assertRaises(InputError, explain, key, [GRANTED])

    def test_timeline_of_a_request_shows_the_range_of_its_key(self):
        # Guards against lines of 100 ranges in a timeline.
        request = make_line(
            "10:00:05,000",
            "event=request host=h-2 id=r key=50 status=503 outcome=not-run "
            'note=moving upstreams="" ms=250',
        )
        lines = [GRANTED, *MOVED, *RESTORED[:1], request]
        shown = "\n".join(explain_request("r", lines))
        self.assertIn("ranges=0-99/1>u-1@5\n", shown)
        self.assertIn("ranges=50-99/2>u-2@5", shown)


class TestCommand(testtools.TestCase):
    def run_command(self, *arguments):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "log"
        fields = " ".join(
            f'{name}="{value}"' for name, value in GRANTED.fields.items()
        )
        path.write_text(fields + "\n")
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = main(["holders", "maps", *arguments, str(path)])
        return code, output.getvalue()

    def test_holders_are_printed(self):
        code, said = self.run_command("7", "--at", "2026-12-02 10:00:01,000")
        self.assertEqual(0, code)
        self.assertIn("u-1@5", said)

    def test_key_out_of_range(self):
        code, said = self.run_command("65536")
        self.assertEqual(2, code)
        self.assertIn("a key from 0 to 65535", said)

    def test_invalid_time(self):
        error = self.assertRaises(
            SystemExit, self.run_command, "7", "--at", "noon"
        )
        self.assertEqual(2, error.code)
