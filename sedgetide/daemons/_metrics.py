"""Metrics of the daemons."""

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

ENTRY_REQUESTS = Counter(
    "sedgetide_entry_requests",
    "Requests of callers by what they were told.",
    ["service", "outcome", "reason"],
)
ENTRY_SECONDS = Histogram(
    "sedgetide_entry_seconds",
    "Time from a request to its final answer.",
    ["service"],
    buckets=(0.001, 0.002, 0.005, 0.01, 0.015, 0.03, 0.1, 0.3, 1, 3, 10),
)
ENTRY_RETRIES = Counter(
    "sedgetide_entry_retries",
    "Requests sent once more, by why.",
    ["service", "reason"],
)
ENTRY_IN_HAND = Gauge(
    "sedgetide_entry_in_hand", "Requests that have no final answer yet."
)
KEEPER_REQUESTS = Counter(
    "sedgetide_keeper_requests",
    "Requests at the keeper of an upstream by outcome.",
    ["upstream", "outcome", "reason"],
)
UPSTREAM_ERRORS = Counter(
    "sedgetide_upstream_errors",
    "Calls to an upstream without a whole answer.",
    ["upstream", "code"],
)
CONFIGURATION_REVISION = Gauge(
    "sedgetide_configuration_revision",
    "Revision of the operators' text in force.",
)
ASSIGNMENT_CHANGES = Counter(
    "sedgetide_assignment_changes",
    "Changes of the assignment written by this keeper.",
)
