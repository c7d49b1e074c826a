"""Metrics of a host."""

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

REQUESTS = Counter(
    "sedgetide_requests",
    "Final answers to callers.",
    ["service", "outcome", "failure"],
)
UNANSWERED_REQUESTS = Counter(
    "sedgetide_unanswered_requests",
    "Final answers that are refusals or failures, by why. Without a route: "
    "refused before it was looked up.",
    ["route", "reason"],
)
REQUEST_SECONDS = Histogram(
    "sedgetide_request_seconds",
    "Time from a whole request to its final answer.",
    ["service"],
    buckets=(0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0),
)
HELD_SECONDS = Histogram(
    "sedgetide_request_held_seconds",
    "Time from a whole request to its first send.",
    ["service"],
    buckets=(0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0),
)
ROUTE_HELD_SECONDS = Histogram(
    "sedgetide_route_held_seconds",
    "Time from a whole request to its first send, by route.",
    ["route"],
    buckets=(0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0),
)
SENDS = Counter("sedgetide_sends", "Requests sent to upstreams.", ["service"])
RETRIES = Counter(
    "sedgetide_retries",
    "Second sends by what the budget said.",
    ["service", "verdict"],
)
REPEAT_CONNECTIONS = Counter(
    "sedgetide_repeat_connections",
    "Sends of a request again while a connection that had carried it was "
    "idle, by the one that was used; same: that one, for an idempotent "
    "request; none: no other could be opened.",
    ["service", "source"],
)
PLACES = Counter(
    "sedgetide_places",
    "Places asked for at upstreams, by what the lender said; withdrawn if "
    "the lender or the upstream changed during the wait.",
    ["verdict"],
)
LEADERS_FOUND = Counter(
    "sedgetide_leaders_found",
    "Leaders that this host learnt of from a lender, while the store turned "
    "it away.",
)
DECISIONS = Counter(
    "sedgetide_place_decisions",
    "Decisions of this host as a lender of places, by reason, and by whether "
    "the request can be in time, is late or returns.",
    ["verdict", "reason", "timing"],
)
TRIALS = Counter(
    "sedgetide_trials",
    "Requests under which upstreams have ended that asked to run, by what "
    "the leader's host said.",
    ["verdict"],
)
UPSTREAM_ENDS = Counter(
    "sedgetide_upstream_ends",
    "Requests under which their upstream ended, by how that is known.",
    ["proof"],
)
QUARANTINED = Gauge(
    "sedgetide_quarantined", "Requests that are refused at sight."
)
QUARANTINE_REFUSALS = Counter(
    "sedgetide_quarantine_refusals",
    "Attempts of requests in quarantine, refused unsent.",
    ["service"],
)
FALSE_PROMISES = Counter(
    "sedgetide_false_promises",
    'Answers of upstreams that callers would take for "not run", although '
    "the request may have run; replaced by 502.",
    ["service", "status"],
)
UNREADABLE_LOADS = Counter(
    "sedgetide_unreadable_loads",
    "Answers that said something unreadable of their upstream's load.",
    ["service"],
)
PUSHBACKS = Counter(
    "sedgetide_pushbacks",
    "Answers by what they asked of those who send to their upstream.",
    ["service", "kind"],
)
FORWARDED = Counter(
    "sedgetide_forwarded_requests",
    "Requests passed on by hosts without a path to their upstream: sent to "
    "peers and received from them, by what came of each.",
    ["direction", "result"],
)
MISSED_UPSTREAMS = Gauge(
    "sedgetide_missed_upstreams",
    "Upstreams to which this host could not open its last connection.",
)
REQUESTS_IN_HAND = Gauge(
    "sedgetide_requests_in_hand", "Requests without a final answer."
)
BODY_BYTES_IN_HAND = Gauge(
    "sedgetide_body_bytes_in_hand", "Bytes of callers' bodies that are held."
)
CALLER_CONNECTIONS = Gauge(
    "sedgetide_caller_connections", "Open connections of callers."
)
DEEP_CONNECTIONS = Gauge(
    "sedgetide_deep_connections",
    "Connections of callers with many requests in hand, which wait behind "
    "those of others.",
)
CLOSED_CONNECTIONS = Counter(
    "sedgetide_closed_connections",
    "Connections closed because of what was received on them, by the server "
    "that closed them and the reason.",
    ["listener", "reason"],
)
STORE_CALLS = Counter(
    "sedgetide_store_calls", "Calls to the store.", ["step", "result"]
)
STORE_SILENCE_SECONDS = Gauge(
    "sedgetide_store_silence_seconds",
    "Time since the store was last heard: age of policy, owners, directory.",
)
STORE_ERA = Gauge(
    "sedgetide_store_era",
    "How often the store has come back from an older copy, as it says.",
)
UNREADABLE_ERAS = Gauge(
    "sedgetide_unreadable_eras",
    "Answers of the store since the start whose era could not be read.",
)
POLICY_VERSION = Gauge(
    "sedgetide_policy_version", "Version of the routes in force."
)
UPSTREAMS = Gauge("sedgetide_upstreams", "Registered upstreams.")
EVACUATED = Gauge(
    "sedgetide_evacuated", "Data centres that operators want emptied."
)
LEADING = Gauge("sedgetide_leading", "Whether this host gives orders.")
RANGES = Gauge("sedgetide_ranges", "Ranges of a service's keys.", ["service"])
RANGES_MOVING = Gauge(
    "sedgetide_ranges_moving", "Ranges without an owner.", ["service"]
)
MOVES = Counter(
    "sedgetide_moves", "Ranges that got another owner.", ["service"]
)
MOVES_BY_REASON = Counter(
    "sedgetide_moves_planned",
    "Ranges that the leader started to move, by reason.",
    ["service", "reason"],
)
PLANNED_MOVE_SECONDS = Histogram(
    "sedgetide_planned_move_seconds",
    "Time from the start of a move to the grant of its next owner, for "
    "ranges that their previous owner has released.",
    ["service"],
    buckets=(0.03, 0.06, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 0.8, 1.5, 3.0),
)
MOVES_PER_NOTICE = Histogram(
    "sedgetide_moves_per_notice",
    "Ranges in each notice to the hosts that moves have ended.",
    buckets=(1, 2, 5, 10, 20, 40, 60, 100),
)
ORDERS = Counter(
    "sedgetide_orders", "Orders to upstreams.", ["order", "taken"]
)
FENCES_RAISED = Counter(
    "sedgetide_fences_raised",
    "Ranges that stay with their owners at a new fence, since a later "
    "process may have the owner's name; one count a term and service.",
    ["service"],
)
STOP_PROOFS = Counter(
    "sedgetide_stop_proofs",
    "How it was known that an upstream no longer held keys: of a range that "
    "moves, or all its keys after a restore of the store.",
    ["service", "occasion", "proof"],
)
LOOP_DELAY_SECONDS = Histogram(
    "sedgetide_loop_delay_seconds",
    "By how much a periodic wake of the event loop was late.",
    buckets=(0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0),
)
LOOP_INTERRUPTIONS = Counter(
    "sedgetide_loop_interruptions",
    "Late wakes of the event loop by cause: busy with one task, or paused "
    "without processor time.",
    ["cause"],
)
LOG_LINES_OMITTED = Gauge(
    "sedgetide_log_lines_omitted", "Lines left out since the start."
)
