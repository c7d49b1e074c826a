"""Names and status codes defined by the platform."""

REQUEST_ID = "Sedgetide-Request-Id"
DEADLINE_MS = "Sedgetide-Deadline-Ms"
SIGNATURE = "Sedgetide-Response-Signature"
EXPECT_INSTANCE = "Sedgetide-Expect-Instance"
LOAD = "Sedgetide-Server-Load"
NOT_EXECUTED = "Sedgetide-Not-Executed"
SHARD_KEY = "Sedgetide-Shard-Key"
HANDOVER = "Sedgetide-Handover"
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
STORE_ERA = "Store-Era"

READINESS_PATH = "/sedgetide/readiness"
GRANT_PATH = "/sedgetide/grant"
RELEASE_PATH = "/sedgetide/release"
ITEM_PATH = "/sedgetide/kv-key"
RANGE_PATH = "/sedgetide/kv-range"
WATCH_PATH = "/sedgetide/kv-watch"
TRANSACTION_PATH = "/sedgetide/kv-txn"
LEASE_PATH = "/sedgetide/kv-lease"
KEEP_PATH = "/sedgetide/kv-keep"
LEASE_END_PATH = "/sedgetide/kv-lease-end"

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
REGISTRY_PREFIX = "servers/"
ALL_KEYS = ""

MISDIRECTED = 421
UNAVAILABLE = 503
FENCED = 409
