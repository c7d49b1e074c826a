"""Property tests: no registry entry of another writer stops a host."""

import json
import string

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import testtools

from sedgetide.backends.dialects import UnreadableEntry
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.addresses import split_address
from sedgetide.core.history import Position
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.platform._registry import PlatformRegistry

KEY = "servers/i-1"
GOOD = {
    "address": "10.0.0.7:80",
    "info": {"service": "maps", "version": "v1", "zone": "z", "slots": 2},
    "status": {"state": "ready", "sequence": 4, "warmup-left-ms": 0},
    "born": 1_780_000_000_000,
}
FIELDS = [
    (),
    ("address",),
    ("info",),
    ("info", "service"),
    ("info", "zone"),
    ("info", "slots"),
    ("status",),
    ("status", "state"),
    ("status", "sequence"),
    ("status", "warmup-left-ms"),
    ("born",),
    ("more",),
]
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(10**25), 10**25),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=12),
        strategies.just("10.0.0.7:80"),
        strategies.just("ready"),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.text(string.ascii_lowercase, max_size=6),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=6,
)


def replace_field(path, value):
    """Return a valid entry with one field replaced."""
    entry = {
        name: dict(each) if isinstance(each, dict) else each
        for name, each in GOOD.items()
    }
    if not path:
        return value
    table = entry
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    return entry


class TestForeignEntries(testtools.TestCase):
    """Entries not written by an upstream are rejected as unreadable."""

    def read(self, value):
        """Return the parsed entry, or None when it is unreadable."""
        try:
            return PlatformRegistry().read(KEY, value)
        except UnreadableEntry as error:
            self.assertEqual("i-1", error.upstream)
            return None

    def check(self, value):
        entry = self.read(value)
        if entry is not None:
            self.assertIsInstance(entry, RegisteredUpstream)
            self.assertGreaterEqual(entry.slots, 1)
            self.assertGreaterEqual(entry.born, 0)
            self.assertTrue(entry.service)
            split_address(entry.address)
        deployment = DeploymentState(PlatformRegistry())
        deployment.apply_items(
            [Item(KEY, Position(0, 1), msgspec.json.encode(GOOD))], 1.0
        )
        deployment.apply_items([Item(KEY, Position(0, 2), value)], 2.0)
        if entry is None:
            self.assertEqual([], deployment.directory.list_active("maps"))
            self.assertEqual(1, len(deployment.directory.list_all()))

    def follow(self, key, value):
        """Apply an odd item, then a good entry; return the upstreams."""
        deployment = DeploymentState(PlatformRegistry())
        good = Item(KEY, Position(0, 3), msgspec.json.encode(GOOD))
        items = [Item(key, Position(0, 2), value), good]
        deployment.apply_listing(Listing(items, Position(0, 4)), 1.0)
        deployment.dump_state()
        return [
            each.registered_name for each in deployment.directory.list_all()
        ]

    def test_odd_entry_beside_a_good_one(self):
        # Guards against hosts that end, or stop to follow the registry, as
        # another writer leaves an entry that no upstream writes.
        entry = msgspec.json.encode(GOOD)
        born = str(GOOD["born"]).encode()
        odd = [b"[" * depth + b"]" * depth for depth in (900, 100_000)]
        odd += [
            entry.replace(born, number)
            for number in (b"9" * 20, b"9" * 3001, b"9" * 5000, b"1e400")
        ]
        odd += [entry.replace(born, each) for each in odd[:2]]
        odd.append(entry.replace(b'"sequence":4', b'"sequence":' + b"9" * 30))
        odd += [
            entry.replace(b"10.0.0.7:80", address.encode())
            for address in (
                "10.0.0.7:99999",
                "10.0.0.7:0",
                "10.0.0.7:\uff18\uff10",
                "10.0.0.7:" + "8" * 5000,
                "0.0.0.0:80",
                "224.0.0.1:80",
                "255.255.255.255:80",
                "[::]:80",
                "[ff02::1]:80",
                "[fe80::1%eth0]:80",
            )
        ]
        for value in odd:
            self.assertNotEqual(entry, value)
            found = self.follow("servers/i-2", value)
            self.assertEqual(["i-1"], found, value[:200])

    def test_record_that_is_nested_deeply(self):
        # Guards against hosts that end as another writer leaves a record of
        # theirs in a form that no host writes.
        nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        for name in ("leader", "quarantine", "ranges/maps"):
            self.assertEqual(["i-1"], self.follow("sedgetide/" + name, nested))

    def test_odd_number_in_the_configuration(self):
        # Guards against hosts that end again and again because of a number
        # that is too large for an operation.
        route = ["a", "h", "/", "safe", 10**400, 1, "s"]
        columns = "name host path-prefix kind timeout-ms max-attempts service"
        document = {
            "version": "r1",
            "routes": {"columns": columns.split(), "rows": [route]},
            "services": {"columns": ["name"], "rows": [["s"]]},
        }
        for place, name in ((4, "timeout-ms"), (5, "target-latency-ms")):
            document["routes"]["columns"][place] = name
            value = json.dumps(document).encode()
            self.assertEqual(["i-1"], self.follow("op/config", value))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(strategies.sampled_from(FIELDS), VALUES)
    def test_one_field_is_something_else(self, path, value):
        self.check(msgspec.json.encode(replace_field(path, value)))

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(strategies.binary(max_size=60))
    def test_bytes(self, value):
        self.check(value)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(strategies.data())
    def test_good_entry_cut_or_flipped(self, data):
        value = bytearray(msgspec.json.encode(GOOD))
        place = data.draw(strategies.integers(0, len(value) - 1))
        value[place] = data.draw(strategies.integers(0, 255))
        end = data.draw(strategies.integers(0, len(value)))
        self.check(bytes(value[:end]))


class TestEvacuationRequests(testtools.TestCase):
    """Evacuation requests with arbitrary names and values."""

    @given(
        strategies.text(max_size=40),
        strategies.one_of(strategies.none(), strategies.binary(max_size=20)),
    )
    def test_any_evacuation_request_is_accepted(self, name, value):
        deployment = DeploymentState(PlatformRegistry())
        key = "op/evacuate/" + name
        deployment.apply_items([Item(key, Position(0, 5), value)], 1.0)
        evacuations = deployment.directory.evacuations
        self.assertEqual(value is not None, evacuations.is_evacuating(name))
        deployment.apply_items([Item(key, Position(0, 6), None)], 2.0)
        self.assertEqual([], evacuations.list_evacuating())

    def test_starting_host_applies_evacuation_before_it_sends(self):
        """All hosts restart during an evacuation and honour it at once.

        Their first listing has the upstreams, the owners and the evacuation
        request. Requests sent before the latter is read would reach the data
        centre long after the deadline by which it has to be empty.
        """
        deployment = DeploymentState(PlatformRegistry(), Evacuations(5.0))
        items = [
            Item("op/evacuate/z", Position(0, 5), b"{}"),
            Item(KEY, Position(0, 4), msgspec.json.encode(GOOD)),
        ]
        deployment.apply_listing(Listing(items, Position(0, 6)), 100.0)
        name = deployment.directory.list_all()[0].name
        self.assertIsNone(deployment.directory.find_serving(name, 100.0))

    def test_evacuation_cancelled_while_history_is_lost(self):
        deployment = DeploymentState(PlatformRegistry(), Evacuations(5.0))
        deployment.apply_items(
            [Item("op/evacuate/z", Position(0, 5), b"{}")], 1.0
        )
        deployment.apply_listing(Listing([], Position(0, 9)), 4.0)
        self.assertEqual(
            [], deployment.directory.evacuations.list_evacuating()
        )

    def test_older_evacuation_request_is_ignored(self):
        deployment = DeploymentState(PlatformRegistry(), Evacuations(5.0))
        deployment.apply_items(
            [Item("op/evacuate/z", Position(0, 7), None)], 1.0
        )
        deployment.apply_items(
            [Item("op/evacuate/z", Position(0, 5), b"{}")], 2.0
        )
        self.assertEqual(
            [], deployment.directory.evacuations.list_evacuating()
        )
