"""Tests of the command line against a store in this process."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from sedgetide.backends.httpstore import HttpStore
from sedgetide.command import configuration
from sedgetide.command.main import main
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import Revision
from sedgetide.daemons._admin import make_application
from sedgetide.daemons._inspection import Inspectable
from sedgetide.testing.serving import serve
from sedgetide.testing.store import StoreApplication

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "lombardia.json"


class LosingStore(HttpStore):
    """Loses the response to a change after it took effect."""

    before_loss = staticmethod(lambda: None)

    def swap(self, key, value, expected):
        super().swap(key, value, expected)
        self.before_loss()
        raise StoreError(ErrorCode.STORE_UNCERTAIN, Step.WRITE, "", "lost")


class Process(Inspectable):
    """Has one request in its quarantine."""

    held = "0123456789abcdef" * 2

    def is_ready(self):
        return True

    def dump_state(self):
        return {}

    def lift_quarantine(self, fingerprint):
        return fingerprint == self.held


class LiftTest(testtools.TestCase):
    """Lifting the quarantine of a request."""

    def run_lift(self, fingerprint):
        out, err = io.StringIO(), io.StringIO()
        pages = make_application(Process(), "/readyz")
        with (
            serve(pages) as address,
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                code = main(["lift", address, fingerprint])
            except SystemExit as error:
                code = error.code
        return code, out.getvalue() + err.getvalue()

    def test_lifted(self):
        self.assertEqual((0, "lifted\n"), self.run_lift(Process.held))

    def test_request_that_is_not_held(self):
        code, said = self.run_lift("f" * 32)
        self.assertEqual(2, code)
        self.assertIn("expected a fingerprint", said)

    def test_no_fingerprint(self):
        code, said = self.run_lift("../state")
        self.assertEqual(2, code)
        self.assertIn("32 hexadecimal digits", said)


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.file = pathlib.Path(folder) / "text.json"
        self.file.write_text(EXAMPLE.read_text())
        self.address = stack.enter_context(serve(StoreApplication()))
        self.store = HttpStore([self.address], 5.0)
        stack.callback(self.store.close)

    def run_command(self, *arguments):
        """Return exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = main(list(arguments))
            except SystemExit as error:
                code = error.code
        return code, out.getvalue(), err.getvalue()

    def apply(self, base):
        return self.run_command(
            "config",
            "apply",
            str(self.file),
            "--base",
            str(base),
            "--store",
            self.address,
        )

    def test_apply_and_show(self):
        self.assertEqual((0, "revision 1\n", ""), self.apply(0))
        code, shown, _ = self.run_command(
            "config", "show", "--store", self.address
        )
        self.assertEqual(0, code)
        self.assertEqual(json.loads(EXAMPLE.read_text()), json.loads(shown))

    def test_loser_of_a_race_is_told_both_revisions(self):
        # Two operators edit revision 1. The second one to apply must not
        # silently revert the change of the first.
        self.apply(0)
        self.apply(1)
        code, _, err = self.apply(1)
        self.assertEqual(1, code)
        self.assertIn("revision 1", err)
        self.assertIn("revision 2", err)

    def test_check_prints_every_problem(self):
        document = json.loads(EXAMPLE.read_text())
        document["services"][0]["slots"] = 0
        document["services"][1]["prefix"] = 5
        self.file.write_text(json.dumps(document))
        code, _, err = self.run_command("config", "check", str(self.file))
        self.assertEqual(2, code)
        self.assertEqual(2, len(err.splitlines()))

    def test_missing_file(self):
        code, _, err = self.run_command("config", "check", "/nowhere")
        self.assertEqual(2, code)
        self.assertEqual(1, len(err.splitlines()))

    def test_drain_and_undo(self):
        self.apply(0)
        options = ["--store", self.address]
        self.run_command("drain", "mf-03", *options)
        text = configuration.require_text(self.store)
        states = {u.name: u.state.value for u in text.services[0].upstreams}
        self.assertEqual("draining", states["mf-03"])
        code, _, _ = self.run_command("drain", "mf-03", "--undo", *options)
        self.assertEqual(0, code)
        code, _, err = self.run_command("drain", "nobody", *options)
        self.assertEqual(2, code)
        self.assertIn('"nobody"', err)

    def test_owner_of_a_key(self):
        self.apply(0)
        code, out, _ = self.run_command(
            "owner", "mappa-fumi", "bormio", "--store", self.address
        )
        self.assertEqual(0, code)
        self.assertIsNone(json.loads(out)["owner"])

    def test_store_unavailable(self):
        code, _, err = self.run_command(
            "config", "show", "--store", "127.0.0.1:1"
        )
        self.assertEqual(3, code)
        self.assertIn("127.0.0.1:1", err)

    def test_lost_answer_of_an_own_change_is_success(self):
        # Guards against reporting a failure although the change took
        # effect: the operator would edit again from the wrong base. The
        # change id identifies the change.
        store = LosingStore([self.address], 5.0)
        self.addCleanup(store.close)
        content = EXAMPLE.read_bytes()
        revision = configuration.apply_text(store, content, Revision(0))
        self.assertEqual(1, revision)

    def test_lost_answer_hides_no_conflict(self):
        # Another edit is applied between the change and the read-back. Its
        # revision must not be reported as that of the first change.
        store = LosingStore([self.address], 5.0)
        self.addCleanup(store.close)
        store.before_loss = lambda: self.apply(1)
        self.assertRaises(
            StoreConflict,
            configuration.apply_text,
            store,
            EXAMPLE.read_bytes(),
            Revision(0),
        )
