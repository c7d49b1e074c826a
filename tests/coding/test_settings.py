"""Tests of the settings of a host, rendered from the deploy template."""

import json
import pathlib
import re
import tempfile

from hypothesis import example
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies
import testtools

from sedgetide.coding.settings import HostSettings
from sedgetide.coding.settings import load_settings
from sedgetide.core.errors import InputError
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.requests.coldstart import compute_cold_send_limit

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = (ROOT / "deploy" / "settings.json.template").read_text()
NAMES_AND_ADDRESSES = {
    "node": "host-1",
    "zone": "north",
    "listen.front": "10.1.0.1:80",
    "listen.ready": "10.1.0.1:81",
    "ip": "10.1.0.1",
    "internal-ports.0": 7720,
    "internal-ports.1": 7735,
    "platform.address": "10.1.0.2:90",
}
MINIMUMS = {
    "bounds.grace-s": 0,
    "bounds.max-hold-ms": 1000,
    "bounds.retry-budget-ratio": 0,
    "bounds.retry-budget-slack": 0,
    "bounds.evacuate-ms": 0,
    "bounds.warmup-overrun": 0,
    "bounds.warmup-slack": 0,
    "limits.cpu-share": 0.001,
    "limits.cores": 0.001,
    "limits.memory-mb": 1,
    "limits.link-mbps": 0.001,
}
TYPICAL = {
    "bounds.grace-s": 6,
    "bounds.max-hold-ms": 10_000,
    "bounds.retry-budget-ratio": 0.2,
    "bounds.retry-budget-slack": 62,
    "bounds.evacuate-ms": 5000,
    "bounds.warmup-overrun": 1.5,
    "bounds.warmup-slack": 8,
    "limits.cpu-share": 0.43,
    "limits.cores": 1,
    "limits.memory-mb": 200,
    "limits.link-mbps": 5,
}


def render(numbers):
    """Render the template as the platform does; None means no value."""
    values = {**NAMES_AND_ADDRESSES, **numbers}

    def put(match):
        name, _, form = match[1].partition("|")
        value = values[name]
        return json.dumps(value) if form else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", put, TEMPLATE)


def load(numbers):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(render(numbers))
        file.flush()
        return load_settings(file.name, HostSettings)


def draw_number(minimum):
    """Return a strategy of integers, fractions, huge numbers and None."""
    return strategies.one_of(
        strategies.none(),
        strategies.integers(int(minimum) + 1, 2**70),
        strategies.floats(minimum, 1e300, allow_nan=False),
    )


class TestHostSettings(testtools.TestCase):
    """A host starts with every number that a deployment may set.

    All hosts have the same limits, so that a rejected number would stop all
    of them from starting.
    """

    @effort(max_examples=80, deadline=None, derandomize=True)
    @given(
        strategies.fixed_dictionaries(
            {name: draw_number(minimum) for name, minimum in MINIMUMS.items()}
        )
    )
    @example({**TYPICAL, "bounds.retry-budget-slack": 30.714285714285715})
    @example(dict.fromkeys(MINIMUMS))
    @example(MINIMUMS)
    def test_host_starts_with_any_number_of_a_deployment(self, numbers):
        found = load(numbers)
        durations = found.fit_durations()
        self.assertGreater(durations.renew, 0.3)
        self.assertGreaterEqual(found.available_cores, 0)
        bound = compute_cold_send_limit(
            4.2, found.cold_overrun, found.cold_slack
        )
        self.assertGreaterEqual(bound, 0)
        evacuations = Evacuations(found.evacuate_ms / 1000.0)
        evacuations.start("north", 9.0, 10.0)
        self.assertTrue(evacuations.is_evacuating("north"))

    def test_numbers_reach_their_settings(self):
        found = load({**TYPICAL, "bounds.retry-budget-slack": 30.71})
        self.assertEqual(30.71, found.retry_slack)
        self.assertEqual(6.0, found.grace)
        self.assertAlmostEqual(0.43, found.available_cores)
        self.assertEqual(5.0, found.capacity.link_mbps)
        self.assertEqual(5000.0, found.evacuate_ms)
        self.assertEqual(1.5, found.cold_overrun)
        self.assertEqual(8.0, found.cold_slack)

    def test_port_for_requests_of_other_hosts(self):
        # Guards against hosts that do not start in a deployment with a single
        # port between hosts.
        for port, address in (
            (7735, "10.1.0.1:7735"),
            (7720, None),
            (None, None),
        ):
            found = load({**TYPICAL, "internal-ports.1": port})
            self.assertEqual(address, found.forward_address)

    def test_unusable_number_is_reported(self):
        wrong = (
            ("internal-ports.1", 0, "$.forward_port: 0"),
            ("internal-ports.1", 70_000, "$.forward_port: 70000"),
            ("bounds.retry-budget-slack", True, "$.retry_slack: true"),
            ("bounds.retry-budget-ratio", -0.1, "$.retry_ratio: -0.1"),
            ("bounds.evacuate-ms", -1, "$.evacuate_ms: -1"),
            ("bounds.warmup-slack", "8", '$.cold_slack: "8"'),
            ("bounds.max-hold-ms", 5, "$.max_hold_ms: 5"),
            ("limits.cores", "two", '$.processors: "two"'),
            ("limits.link-mbps", 0, "$.link_mbps: 0"),
        )
        for name, value, shown in wrong:
            error = self.assertRaises(
                InputError, load, {**TYPICAL, name: value}
            )
            self.assertIn(shown, str(error))
            self.assertIn(": expected ", str(error))
