"""Tests of the adapter between the platform and the router."""

import importlib
import pathlib
import subprocess

from hypothesis import given
from hypothesis import strategies
import msgspec
import testtools

from sedgetide.backends.dialects import CallerFields
from sedgetide.backends.dialects import UnreadableEntry
from sedgetide.backends.dialects import UpstreamWithdrawn
from sedgetide.core.errors import InputError
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.pushback import Pushback
from sedgetide.core.requests.windows import UpstreamLoad
from sedgetide.platform._orders import PlatformOrders
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.platform._store import _Page

NAMES = importlib.import_module("sedgetide.platform._names")
ROOT = pathlib.Path(__file__).parents[2]
# Names of headers, endpoints and keys that are specific to the platform.
PLATFORM_NAMES = [
    value
    for name, value in vars(NAMES).items()
    if name.isupper() and isinstance(value, str) and len(value) > 4
]
MAX_LINES = 900


class TestConfinement(testtools.TestCase):
    """Platform-specific names occur only in the platform package."""

    def test_names_stay_in_the_folder(self):
        for path in (ROOT / "sedgetide").rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text()
            for name in PLATFORM_NAMES:
                self.assertNotIn(name, text, f"{path}: {name}")

    def test_folder_stays_small(self):
        paths = (ROOT / "sedgetide" / "platform").glob("*.py")
        lines = sum(len(path.read_text().splitlines()) for path in paths)
        self.assertLess(lines, MAX_LINES)

    def test_only_testing_and_the_folder_import_it(self):
        found = subprocess.run(
            ["git", "grep", "-l", "sedgetide.platform", "--", "sedgetide"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        ).stdout.split()
        allowed = ("sedgetide/platform/", "sedgetide/testing/")
        others = [each for each in found if not each.startswith(allowed)]
        self.assertEqual([], others)


class TestRequests(testtools.TestCase):
    """Headers of requests and responses."""

    def setUp(self):
        super().setUp()
        self.dialect = PlatformRequests()

    def test_read(self):
        fields = self.dialect.read_request(
            [
                ("sedgetide-request-id", "9c41"),
                ("Sedgetide-Deadline-Ms", "1500"),
                ("Sedgetide-Shard-Key", "65535"),
            ]
        )
        self.assertEqual(CallerFields("9c41", 1.5, 65535), fields)

    def test_malformed_numbers_are_refused(self):
        for name, value in (
            ("Sedgetide-Deadline-Ms", "-5"),
            ("Sedgetide-Deadline-Ms", "soon"),
            ("Sedgetide-Shard-Key", "65536"),
        ):
            read = self.dialect.read_request
            self.assertRaises(ValueError, read, [(name, value)])

    def test_write_names_the_instance_and_what_is_left(self):
        headers = self.dialect.write_request(
            [
                ("X-Own", "1"),
                ("Sedgetide-Request-Id", "9c41"),
                ("Sedgetide-Deadline-Ms", "1500"),
                ("Sedgetide-Expect-Instance", "forged"),
            ],
            CallerFields("9c41", 1.5, 7),
            0.4321,
            "i-7",
        )
        self.assertEqual(
            [
                ("X-Own", "1"),
                ("Sedgetide-Request-Id", "9c41"),
                ("Sedgetide-Deadline-Ms", "432"),
                ("Sedgetide-Expect-Instance", "i-7"),
            ],
            headers,
        )

    def classify_answer(self, status, *headers):
        return self.dialect.classify_answer(status, headers)

    def test_success_needs_the_signature(self):
        # Guards against passing a 2xx response to the caller that was not
        # created by an upstream.
        signed = ("Sedgetide-Response-Signature", "3e1b")
        self.assertIs(Failure.NONE, self.classify_answer(200, signed))
        self.assertIs(Failure.BROKEN, self.classify_answer(200))
        encoded = ("Content-Encoding", "gzip")
        self.assertIs(
            Failure.BROKEN, self.classify_answer(200, signed, encoded)
        )

    def test_only_the_marker_says_not_run(self):
        marker = ("Sedgetide-Not-Executed", "1")
        self.assertIs(Failure.BUSY, self.classify_answer(503, marker))
        self.assertIs(Failure.DECLINED, self.classify_answer(429, marker))
        self.assertIs(Failure.NOT_OWNER, self.classify_answer(421, marker))
        for status in (408, 421, 429, 503):
            self.assertIs(Failure.FAILED, self.classify_answer(status))
            self.assertFalse(self.dialect.is_not_run(status, []))
        self.assertIs(Failure.FAILED, self.classify_answer(504))

    def test_own_refusals_of_the_upstream_pass(self):
        self.assertIs(Failure.NONE, self.classify_answer(404))

    def test_load(self):
        self.assertEqual(UpstreamLoad(3, 0, 8), self.read_load("3,0,8"))
        self.assertIsNone(self.dialect.read_load([]))

    def read_limit(self, value):
        return self.dialect.read_pushback(200, [("Server-Limit", value)])

    def test_limit_of_an_upstream(self):
        self.assertEqual(Pushback(), self.dialect.read_pushback(503, []))
        for value, limit in (
            ("2.2", 2.2),
            ("0", 0.0),
            (" 50 ", 50.0),
            (".5", 0.5),
            ("7.", 7.0),
            ("9" * 30, 1_000_000.0),
        ):
            self.assertEqual(Pushback(limit), self.read_limit(value))

    def test_limit_that_can_not_be_read_is_no_limit(self):
        # Guards against dropping a response because of an invalid header.
        for value in ("", "x", "-1", "nan", "inf", "1e3", "1,5", "\u0661"):
            found = self.read_limit(value)
            self.assertIsNone(found.limit)
            self.assertIn("expected", found.problems[0])

    def test_upstream_that_leaves(self):
        for value, leaving in (("1", True), ("0", False)):
            found = self.dialect.read_pushback(
                500, [("Server-Leaving", value)]
            )
            self.assertEqual(Pushback(leaving=leaving), found)
        found = self.dialect.read_pushback(200, [("Server-Leaving", "yes")])
        self.assertFalse(found.leaving)
        self.assertEqual(1, len(found.problems))

    def test_backoff_that_an_upstream_asks_for(self):
        headers = [("Retry-After", "1.5")]
        found = self.dialect.read_pushback(503, headers)
        self.assertEqual(Pushback(backoff=1.5), found)
        # On other statuses, Retry-After is addressed to the caller.
        self.assertEqual(Pushback(), self.dialect.read_pushback(500, headers))
        for value in ("Wed, 21 Oct 2026 07:28:00 GMT", "-1", "soon"):
            found = self.dialect.read_pushback(503, [("Retry-After", value)])
            self.assertIsNone(found.backoff)
            self.assertEqual(1, len(found.problems))

    def read_load(self, value):
        return self.dialect.read_load([("Sedgetide-Server-Load", value)])

    def test_load_with_a_pace_and_more(self):
        """Additional numbers in the load header are accepted.

        An upstream added a fourth number. If the header were rejected,
        hosts would assume an empty queue and go on sending.
        """
        self.assertEqual(
            UpstreamLoad(3, 1, 8, 2.5), self.read_load("3, 1, 8, 250")
        )
        self.assertEqual(
            UpstreamLoad(3, 1, 8, 1.0), self.read_load("3,1,8,100,7,x")
        )

    def test_unreadable_load_is_an_error(self):
        for value in (
            "",
            "3,0",
            "a,b,c",
            "-1,0,8",
            "3,0,8,0",
            "3,0,8,",
            "3,0,8,nan",
            "3,0,8,1e3",
            "3,0," + "9" * 5000,
            "٣,0,8",
        ):
            error = self.assertRaises(ValueError, self.read_load, value)
            self.assertIn("expected", str(error))

    @given(strategies.text(alphabet="0123456789,. -+e٣x", max_size=40))
    def test_any_load_is_read_or_refused(self, value):
        try:
            load = self.read_load(value)
        except ValueError as error:
            self.assertIn("expected", str(error))
            return
        self.assertGreater(load.pace, 0.0)
        self.assertGreaterEqual(load.waiting, 0)


class TestOrders(testtools.TestCase):
    """Orders that grant or release keys."""

    def test_grant(self):
        order = PlatformOrders().make_grant(
            "i-7", KeyRange(4096, 8191), 12, 4.0, "5c0e"
        )
        self.assertEqual("/sedgetide/grant", order.path)
        self.assertEqual(
            {
                "from": 4096,
                "to": 8191,
                "fence": 12,
                "hold-ms": 4000,
                "handover": "5c0e",
            },
            msgspec.json.decode(order.body),
        )
        self.assertIn(("Sedgetide-Expect-Instance", "i-7"), order.headers)

    def test_release_and_its_handover(self):
        orders = PlatformOrders()
        order = orders.make_release("i-7", KeyRange(4096, 8191), 12)
        self.assertEqual(
            {"from": 4096, "to": 8191, "fence": 12},
            msgspec.json.decode(order.body),
        )
        handover = orders.read_handover([("sedgetide-handover", "5c0e")])
        self.assertEqual("5c0e", handover)
        self.assertEqual("", orders.read_handover([]))


class TestRows(testtools.TestCase):
    """Rows of the store's listings."""

    def test_value_that_is_no_base64_hides_no_other(self):
        # One undecodable item of another writer failed the whole listing,
        # so that a starting host never became ready.
        page = msgspec.json.decode(
            b'{"as-of":5,"items":[{"key":"servers/a","revision":4,'
            b'"value":"A"},{"key":"servers/b","revision":5,"value":"eA=="}]}',
            type=_Page,
        )
        values = [row.make_item(FIRST_ERA).value for row in page.items]
        self.assertEqual([b"", b"x"], values)


class TestRegistry(testtools.TestCase):
    """Registry entries and configurations."""

    def setUp(self):
        super().setUp()
        self.registry = PlatformRegistry()

    def test_entry(self):
        entry = self.registry.read(
            "servers/i-7f3a",
            b'{"address":"10.128.0.9:8080","info":{"service":"huvo11a",'
            b'"version":"v1","zone":"sala-milano","slots":2},"status":'
            b'{"state":"draining","sequence":4,"warmup-left-ms":500}}',
        )
        self.assertEqual("i-7f3a", entry.name)
        self.assertEqual("huvo11a", entry.service)
        self.assertEqual(2, entry.slots)
        self.assertTrue(entry.leaving)
        self.assertEqual(0.5, entry.warmup)

    def make_entry(self, path=(), value=None):
        entry = {
            "address": "10.128.0.9:8080",
            "info": {"service": "h", "version": "v1", "zone": "z", "slots": 2},
            "status": {"state": "ready", "sequence": 4, "warmup-left-ms": 0},
            "born": 1_780_000_000_123,
        }
        if path:
            table = entry
            for name in path[:-1]:
                table = table[name]
            table[path[-1]] = value
            if value is None:
                del table[path[-1]]
        return msgspec.json.encode(entry)

    def read_services(self, columns, rows):
        document = {
            "version": "r7",
            "routes": {"columns": [], "rows": []},
            "services": {"columns": columns, "rows": rows},
            "base-version": "r5",
        }
        policy = self.registry.read("op/config", msgspec.json.encode(document))
        return policy.services

    def test_cold_start_numbers_of_a_service(self):
        columns = ["name", "warmup-s", "warmup-per-s", "news"]
        rows = [["a", 3, 4.2, 1], ["b", None, None, None], ["c", 0, 0]]
        found = self.read_services(columns, rows)
        self.assertEqual((3.0, 4.2), (found["a"].cold, found["a"].cold_rate))
        self.assertIsNone(found["b"].cold_rate)
        self.assertEqual(0.0, found["c"].cold_rate)

    def test_invalid_cold_start_numbers_are_reported(self):
        for value in ("4", -1, True, [], 1e300, 2**63):
            error = self.assertRaises(
                InputError,
                self.read_services,
                ["name", "warmup-per-s"],
                [["a", value]],
            )
            self.assertIn("expected", str(error))

    def test_starts_have_names_of_their_own(self):
        first = self.registry.read("servers/i-1", self.make_entry())
        later = self.make_entry(("born",), 1_780_000_009_000)
        second = self.registry.read("servers/i-1", later)
        self.assertNotEqual(first.name, second.name)
        self.assertEqual("i-1", second.registered_name)
        self.assertLess(first.born, second.born)

    def test_entries_of_other_writers_name_no_upstream(self):
        # Missing fields, other types, unknown words, implausible numbers.
        for path, value in (
            (("address",), None),
            (("address",), 7),
            (("address",), "upstream.example:80"),
            (("address",), "10.0.0.1:99999"),
            (("info",), []),
            (("info", "service"), None),
            (("info", "service"), ""),
            (("info", "version"), None),
            (("info", "zone"), None),
            (("info", "slots"), "2"),
            (("info", "slots"), 0),
            (("info", "slots"), -3),
            (("info", "slots"), 10**30),
            (("info", "slots"), 2.5),
            (("status",), None),
            (("status", "state"), "resting"),
            (("status", "state"), None),
            (("status", "sequence"), None),
            (("status", "warmup-left-ms"), None),
            (("status", "warmup-left-ms"), -1),
            (("status", "warmup-left-ms"), 1e300),
            (("born",), "1780000000123"),
            (("born",), 0),
            (("born",), 17.5),
            (("born",), True),
        ):
            entry = self.make_entry(path, value)
            error = self.assertRaises(
                UnreadableEntry, self.registry.read, "servers/i-1", entry
            )
            self.assertEqual("i-1", error.upstream, f"{path} {value}")

    def test_names_that_would_break_a_header(self):
        for name in ("", "i 1", "i\r\nx", "i-\u00e9", "x" * 201):
            self.assertRaises(
                UnreadableEntry,
                self.registry.read,
                f"servers/{name}",
                self.make_entry(),
            )

    def test_bytes_that_can_not_be_read(self):
        for value in (
            b"",
            b"\xff\xfe",
            b"[" * 100_000,
            b'{"x":' * 50_000,
            b'{"address":"\\ud800"}',
            b'{"status":{"warmup-left-ms":NaN}}',
        ):
            self.assertRaises(
                UnreadableEntry, self.registry.read, "servers/i-1", value
            )

    def test_entry_gone(self):
        gone = self.registry.read("servers/i-7f3a", None)
        self.assertEqual(UpstreamWithdrawn("i-7f3a"), gone)

    def test_configuration_with_fractions(self):
        # Limits that scale with the size of a deployment may be fractions;
        # rejecting the policy would leave every host without routes.
        policy = self.registry.read(
            "op/config",
            msgspec.json.encode(
                {
                    "version": "r1",
                    "routes": {
                        "columns": ["name", "host", "path-prefix"]
                        + ["timeout-ms", "max-attempts", "priority"]
                        + ["service"],
                        "rows": [["r", "h", "/", 1500.5, 2.0, 1.0, "a"]],
                    },
                    "services": {
                        "columns": ["name", "max-connections"],
                        "rows": [["a", 51.4]],
                    },
                    "limits": {"max-body-bytes": 1048576.5},
                }
            ),
        )
        (route,) = policy.routes
        self.assertEqual((2, 1), (route.attempts, route.priority))
        self.assertIsInstance(route.priority, int)
        self.assertEqual(1.5005, route.timeout)
        self.assertEqual(51, policy.services["a"].connections)
        self.assertEqual(1048576, policy.limits.body_bytes)

    def test_configuration(self):
        policy = self.registry.read(
            "op/config",
            msgspec.json.encode(
                {
                    "version": "r7",
                    "routes": {
                        "columns": [
                            "name",
                            "host",
                            "path-prefix",
                            "kind",
                            "timeout-ms",
                            "target-latency-ms",
                            "priority",
                            "traffic-split",
                            "max-attempts",
                            "service",
                        ],
                        "rows": [
                            [
                                "r-1",
                                "f.example",
                                "/l/",
                                "safe",
                                1500,
                                500,
                                2,
                                [
                                    {"service": "a", "weight": 90},
                                    {"service": "b", "weight": 10},
                                ],
                                2,
                                None,
                            ],
                            [
                                "r-2",
                                "f.example",
                                "/p/",
                                "unsafe",
                                2000,
                                600,
                                1,
                                None,
                                2,
                                "a",
                            ],
                        ],
                    },
                    "services": {
                        "columns": ["name", "max-connections", "sharded"],
                        "rows": [["a", 130, True], ["b", 60, None]],
                    },
                    "limits": {"idle-timeout-ms": 5000},
                }
            ),
        )
        self.assertEqual(7, policy.version)
        first, second = policy.routes
        self.assertEqual([90, 10], [each.weight for each in first.shares])
        self.assertTrue(first.idempotent)
        self.assertFalse(second.idempotent)
        self.assertEqual(2.0, second.timeout)
        self.assertEqual(["a"], policy.list_keyed())
        self.assertEqual(5.0, policy.limits.idle_timeout)

    def test_unreadable_entries_are_named(self):
        for key in ("servers/i-1", "op/config"):
            error = self.assertRaises(
                InputError, self.registry.read, key, b'{"x": 1}'
            )
            self.assertEqual(key, error.peer)

    def test_other_keys_are_ignored(self):
        self.assertIsNone(self.registry.read("else/where", b"x"))
