"""Events that a host logs, with their fields.

The page docs/logs.md is generated from this list.
"""

import enum
import logging
from typing import Any
from typing import NamedTuple

_log = logging.getLogger("sedgetide")


class Definition(NamedTuple):
    """Definition of an event.

    Parameters
    ----------
    name : str
        Value of ``event=`` in the log line.
    level : int
        Severity, a level of the logging module.
    meaning : str
        Description for the documentation.
    fields : tuple of str
        Names of all fields that the event may have.
    """

    name: str
    level: int
    meaning: str
    fields: tuple[str, ...] = ()


class Event(enum.Enum):
    """All events."""

    STARTED = Definition(
        "started",
        logging.INFO,
        "The host accepts connections.",
        ("listen", "incarnation"),
    )
    STOPPING = Definition(
        "stopping",
        logging.INFO,
        "SIGTERM was received. Callers' connections are closed after their "
        "next response.",
        ("in_hand", "connections"),
    )
    STOPPED = Definition(
        "stopped",
        logging.INFO,
        "The process exits. Running requests (in_hand) are aborted.",
        ("in_hand", "seconds"),
    )
    RELOAD = Definition(
        "reload",
        logging.INFO,
        "SIGHUP was received. Changes of addresses and limits need a restart.",
    )
    OMITTED = Definition(
        "omitted",
        logging.WARNING,
        "Number of log lines dropped in the last second, because of the rate "
        "limit or because standard output was blocked.",
        ("lines",),
    )
    LOOP_STALLED = Definition(
        "loop-stalled",
        logging.WARNING,
        "The event loop did not run for seconds, the longest of the stalls "
        "since the last such line, at most one a second. The cause is busy if "
        "the process used processor time (processor_seconds) meanwhile, and "
        "paused if it was stopped, waited for a processor or a system call, "
        "or the machine was suspended.",
        ("seconds", "processor_seconds", "cause", "stalls"),
    )
    STORE_LOST = Definition(
        "store-lost",
        logging.WARNING,
        "The store gave no usable response. The host continues with the last "
        "known state.",
        ("error",),
    )
    STORE_REACHED = Definition(
        "store-reached",
        logging.INFO,
        "The store responds, for the first time or again.",
        ("revision",),
    )
    HISTORY_LOST = Definition(
        "history-lost",
        logging.WARNING,
        "The store no longer has the changes after a revision. All items are "
        "listed again.",
        ("revision",),
    )
    STORE_RESTORED = Definition(
        "store-restored",
        logging.WARNING,
        "The store was restored from an older copy. Writes acknowledged in "
        "the last seconds before are lost, and revisions are counted anew in "
        "a new era.",
        ("era", "former"),
    )
    RELISTED = Definition(
        "relisted",
        logging.INFO,
        "All items were listed after a restore of the store. Both positions "
        "have the form era/revision.",
        ("revision", "known"),
    )
    ERA_REFUSED = Definition(
        "era-refused",
        logging.ERROR,
        "A response of the store was ignored, because its era cannot be "
        "parsed.",
        ("problem",),
    )
    RECORD_REFUSED = Definition(
        "record-refused",
        logging.ERROR,
        "A record cannot be parsed. Its previous version stays in effect.",
        ("key", "problem"),
    )
    CUT_OFF = Definition(
        "cut-off",
        logging.WARNING,
        "This host reaches neither the store nor other data centres. It can "
        "serve few requests, is not ready, and closes callers' connections "
        "after their next response.",
        ("silence",),
    )
    REJOINED = Definition(
        "rejoined",
        logging.INFO,
        "This host is ready again after a cut-off.",
        ("silence",),
    )
    UPSTREAM_MISSED = Definition(
        "upstream-missed",
        logging.INFO,
        "This host could not open a connection to an upstream. Either it has "
        "ended, or only this host's path to it is lost; other hosts' lines "
        "tell which.",
        ("upstream",),
    )
    UPSTREAM_UNRESPONSIVE = Definition(
        "upstream-unresponsive",
        logging.WARNING,
        "A registered upstream has left all orders and all requests "
        "unanswered for over 2 s. Its keys move to others once its holds are "
        "over.",
        ("upstream",),
    )
    UPSTREAM_RESPONSIVE = Definition(
        "upstream-responsive",
        logging.INFO,
        "An upstream that had left everything unanswered has answered, or its "
        "entry is gone, or half of the service's upstreams seem silent. It "
        "may own keys again if it is registered.",
        ("upstream",),
    )
    UPSTREAM_REACHED = Definition(
        "upstream-reached",
        logging.INFO,
        "This host can open connections to an upstream again, or its entry "
        "was removed.",
        ("upstream",),
    )
    ANSWER_SKIPPED = Definition(
        "answer-skipped",
        logging.WARNING,
        "An answer with the id of another request, or without one, came where "
        "that to an order or a request was expected. It counts for nothing. "
        "skipped_answers of the state has the number by peer.",
        ("peer", "status"),
    )
    READ_CUT = Definition(
        "read-cut",
        logging.WARNING,
        "An answer was not read to its end, because it exceeded a limit. Its "
        "connection was reset. One line a second for each peer and bound; "
        "times: number of answers since the last one.",
        ("peer", "bound", "received", "times", "problem"),
    )
    PATH_LOST = Definition(
        "path-lost",
        logging.WARNING,
        "This host seems to reach no upstream of a data centre. missed: "
        "upstreams that it could not reach, in any data centre.",
        ("data_centre", "missed"),
    )
    PATH_REGAINED = Definition(
        "path-regained",
        logging.WARNING,
        "This host reaches upstreams of a data centre again.",
        ("data_centre", "seconds"),
    )
    ENTRY_REFUSED = Definition(
        "entry-refused",
        logging.ERROR,
        "A registry entry cannot be parsed. Its upstream gets no new requests "
        "and its keys are moved, until a valid entry is written.",
        ("key", "problem"),
    )
    LOAD_REFUSED = Definition(
        "load-refused",
        logging.ERROR,
        "The load stated in a response of an upstream cannot be parsed. The "
        "response is passed on; the load counts as unknown.",
        ("upstream", "problem"),
    )
    LIMITED = Definition(
        "upstream-limited",
        logging.INFO,
        "An upstream has changed or removed its rate limit, in requests per "
        "second of all hosts together.",
        ("upstream", "limit"),
    )
    LEAVING = Definition(
        "upstream-leaving",
        logging.INFO,
        "An upstream has announced in a response, for the first time to this "
        "host, that it is about to end.",
        ("upstream",),
    )
    BACKING_OFF = Definition(
        "upstream-backoff",
        logging.INFO,
        "An upstream has refused a request and asked this host to send "
        "nothing for some seconds. Logged only if no earlier backoff is still "
        "running.",
        ("upstream", "seconds"),
    )
    PUSHBACK_REFUSED = Definition(
        "pushback-refused",
        logging.ERROR,
        "The rate limit, leaving notice or backoff in a response of an "
        "upstream cannot be parsed. The response is passed on; the previous "
        "values stay in effect.",
        ("upstream", "problem"),
    )
    POLICY = Definition(
        "policy",
        logging.INFO,
        "A new version of the routes is in effect on this host.",
        ("version", "routes", "services"),
    )
    UPSTREAM = Definition(
        "upstream",
        logging.INFO,
        "An upstream has registered, or announced its end. The same name "
        "with another start time (born) means a restart; it owns no keys.",
        ("upstream", "born", "service", "address", "leaving"),
    )
    UPSTREAM_WITHDRAWN = Definition(
        "upstream-withdrawn",
        logging.INFO,
        "The entry of an upstream was removed. The upstream gets no new "
        "requests, unless the store had an outage just before.",
        ("upstream",),
    )
    EVACUATION = Definition(
        "evacuation",
        logging.WARNING,
        "Operators have started the evacuation of a data centre. Its "
        "upstreams get no new requests and their keys are moved.",
        ("data_centre",),
    )
    EVACUATED = Definition(
        "evacuated",
        logging.WARNING,
        "No upstream of an evacuated data centre owns keys any longer. "
        "seconds: time since the leader learnt of the evacuation.",
        ("data_centre", "seconds"),
    )
    TAKEN_BACK = Definition(
        "taken-back",
        logging.WARNING,
        "The evacuation of a data centre was cancelled. Its upstreams get "
        "requests again and count as cold at first.",
        ("data_centre", "seconds"),
    )
    UPSTREAM_ENDED = Definition(
        "upstream-ended",
        logging.WARNING,
        "An upstream ended while it ran this request; one line for each "
        "request of this host that it ran. fingerprint: equal for repeats of "
        "a request by any caller. proof=refused: no process listens at its "
        "address any more; proof=withdrawn: its entry was removed within "
        "seconds.",
        (
            "upstream",
            "proof",
            "id",
            "fingerprint",
            "caller",
            "host_header",
            "target",
            "beside",
        ),
    )
    TRIAL = Definition(
        "trial",
        logging.INFO,
        "A request during which upstreams had ended was run once, with no "
        "other copy running at any host. end=well: the request is no longer "
        "suspect; end=broken: no copy is run for a second.",
        ("id", "fingerprint", "end"),
    )
    QUARANTINED = Definition(
        "quarantined",
        logging.ERROR,
        "A request is refused at all hosts from now on, because upstreams "
        "ended during it and its repeats. stay: number of quarantines in a "
        "row.",
        ("fingerprint", "stay", "seconds"),
    )
    QUARANTINE_ENDED = Definition(
        "quarantine-ended",
        logging.WARNING,
        "A request is no longer refused: its quarantine has expired, it has "
        "succeeded at a host, or an operator has lifted the quarantine.",
        ("fingerprint",),
    )
    QUARANTINE_LIFTED = Definition(
        "quarantine-lifted",
        logging.WARNING,
        "An operator has lifted the quarantine of a request at this host, "
        "which informs the others.",
        ("fingerprint",),
    )
    QUARANTINE_UNWRITTEN = Definition(
        "quarantine-unwritten",
        logging.WARNING,
        "The leader could not write the quarantine to the store and will "
        "retry. It is in effect on the hosts nevertheless.",
        ("error",),
    )
    LEADER = Definition(
        "leader",
        logging.INFO,
        "The leader has changed; an empty leader means that there is none.",
        ("leader", "revision"),
    )
    LEADING = Definition(
        "leading",
        logging.INFO,
        "This host was elected leader. The term is the revision of its "
        "leadership record.",
        ("term",),
    )
    LENDERS = Definition(
        "lenders",
        logging.INFO,
        "The hosts that lend places at upstreams have changed. Without "
        "lenders, each host limits its requests by its own windows.",
        ("lenders", "version"),
    )
    PEERS = Definition(
        "peers",
        logging.INFO,
        "The hosts that send requests for upstreams to which this host has no "
        "path have changed.",
        ("peers", "version"),
    )
    NOT_ELECTED = Definition(
        "not-elected",
        logging.WARNING,
        "This host was a candidate for leader, and the store gave no usable "
        "response.",
        ("error",),
    )
    NOT_VERIFIED = Definition(
        "not-verified",
        logging.WARNING,
        "The leader could not read its leadership record. It gives orders "
        "until its last proof of leadership is too old.",
        ("error", "age"),
    )
    LEADING_NO_MORE = Definition(
        "leading-no-more",
        logging.WARNING,
        "This host is no longer the leader and gives no more orders.",
        ("reason",),
    )
    BRIDGING = Definition(
        "bridging",
        logging.WARNING,
        "The store does not respond. All grants are renewed with a longer "
        "lifetime.",
        ("hold",),
    )
    TABLE_WRITTEN = Definition(
        "table-written",
        logging.INFO,
        "A new version of a service's range table was written to the store.",
        ("service", "revision", "ranges", "moving", "fence"),
    )
    RECOVERING = Definition(
        "recovering",
        logging.WARNING,
        "The store was restored from a copy. Keys of a service are granted "
        "only once the former leader has reported which may be held and "
        "upstreams have released theirs, or after most_seconds.",
        ("service", "era", "most_seconds"),
    )
    RECOVERED = Definition(
        "recovered",
        logging.INFO,
        "Keys of a service are granted again. released: number of upstreams "
        "that have released theirs, of which answered and other_instance give "
        "the number by proof; silent: of those that have not; retained: "
        "number of ranges that stay with these. basis: report of the former "
        "leader, first-start of the deployment, or expired, when no grant of "
        "an earlier era can be held any more.",
        (
            "service",
            "era",
            "released",
            "answered",
            "other_instance",
            "silent",
            "retained",
            "basis",
            "seconds",
        ),
    )
    TABLES_UNREAD = Definition(
        "tables-unread",
        logging.WARNING,
        "A new leader could not read the range tables and gives no orders "
        "yet.",
        ("error",),
    )
    TABLE_UNWRITTEN = Definition(
        "table-unwritten",
        logging.WARNING,
        "The write of a new range table was refused or got no response. The "
        "record is read again.",
        ("service", "error"),
    )
    MOVES = Definition(
        "moves",
        logging.INFO,
        "Ranges start to move, in the form from-to>successor.",
        ("service", "reason", "moves"),
    )
    MOVED = Definition(
        "moved",
        logging.INFO,
        "Hosts were told in one message that ranges have new owners. held: "
        "number of ranges that wait until the hold of a lost owner ends; "
        "short: number of hosts that got the short form.",
        ("service", "moves", "held", "hosts", "short"),
    )
    ORDER = Definition(
        "order",
        logging.INFO,
        "An order to an upstream and its result. Grants that were answered "
        "within 0.3 s are not logged. waited: time until it was decided that "
        "the order may be sent, with a connection open. seconds: time from "
        "then until the answer, or until the order was given up. An order is "
        "sent within 0.05 s of the decision, or not at all.",
        (
            "order",
            "upstream",
            "low",
            "high",
            "fence",
            "taken",
            "detail",
            "waited",
            "seconds",
        ),
    )
    ORDER_CONNECTION = Definition(
        "order-connection",
        logging.INFO,
        "The leader's host has opened a connection for orders to an upstream. "
        "port: its own port. session: number of processes that may have been "
        "there so far; grants of an earlier session aren't renewed at their "
        "fences. proven: whether the connection begins the session. Others "
        "carry grants only once an answer has proved that they lead to the "
        "same process. others: number of other connections.",
        ("upstream", "port", "session", "proven", "others"),
    )
    FENCE_RENEWED = Definition(
        "fence-renewed",
        logging.WARNING,
        "A range stays with its owner under a new fence, because the upstream "
        "refused the old one, or may have restarted under the same name.",
        ("service", "upstream", "low", "high", "fence"),
    )
    FENCES_RAISED = Definition(
        "fences-raised",
        logging.INFO,
        "The next table of a service has a new fence for ranges that stay "
        "with their owners, because these may have restarted under the same "
        "name since an earlier leader granted them the ranges. Repeated if "
        "the table could not be written. raised_fences of the leader's state "
        "has the last one of each service.",
        ("service", "term", "ranges", "fence"),
    )
    OWNER_STOPPED = Definition(
        "owner-stopped",
        logging.INFO,
        "A moving range no longer has an owner. proof: how this is known: "
        "answered, other-instance, expired, or unheld if the owner had no "
        "grant of the keys any more when the move began. seconds: time since "
        "then. after_hold: seconds since the end of the owner's hold; "
        "negative if the hold had not ended.",
        (
            "service",
            "upstream",
            "low",
            "high",
            "fence",
            "proof",
            "seconds",
            "after_hold",
        ),
    )
    REQUEST = Definition(
        "request",
        logging.INFO,
        "A request got its final response; status 0: none, as the caller "
        "closed the connection before or the host stopped. The fields after "
        "the times are the basis of the decision: version of the routes, "
        "revision and fence of the owner, "
        "and milliseconds since the last response of the store. rested_ms: "
        "idle time of the connection to the upstream before; 0 for a new "
        "connection. ports: this host's ports of the connections on which it "
        "was sent, in order. failures: of all attempts, in order. "
        "fingerprint: as in "
        "upstream-ended, if the request was looked up in the quarantine. "
        "note: why the request was refused or failed; of an answered one, and "
        "with status 0, what kept it from being sent before. stage: what a "
        "request that was broken off waited for. detail: error "
        "text of the last attempt without a response. no_room_at: upstream "
        "that had no room for it. retry_after: seconds that the caller of a "
        "refused request was told. via: address of the peer that sent it in "
        "place of this host. received_from: host that passed it on to this "
        "one, whose own line has the same id. Lines without them omit these "
        "six.",
        (
            "id",
            "route",
            "service",
            "key",
            "status",
            "outcome",
            "failure",
            "failures",
            "note",
            "stage",
            "detail",
            "no_room_at",
            "retry_after",
            "caller",
            "via",
            "received_from",
            "fingerprint",
            "upstreams",
            "ports",
            "ms",
            "held_ms",
            "rested_ms",
            "version",
            "revision",
            "fence",
            "age_ms",
        ),
    )
    DENIED = Definition(
        "denied",
        logging.INFO,
        "A request was answered without being routed. status=503: the host "
        "has not read the routes yet, or has no memory for the body; note and "
        "retry_after as in request.",
        (
            "id",
            "status",
            "note",
            "retry_after",
            "host_header",
            "path",
            "version",
            "age_ms",
        ),
    )
    CONNECTION_CLOSED = Definition(
        "connection-closed",
        logging.WARNING,
        "A server of this host has closed a connection because of what it "
        "received on it, because responses were not read, or to make room "
        "for other connections (reason=displaced). listener: "
        "callers, hosts (forwarded requests), ready or admin. bytes, "
        "requests: what was received on the connection in all.",
        ("listener", "reason", "peer", "bytes", "requests"),
    )
    UPSTREAM_RELEASED = Definition(
        "upstream-released",
        logging.INFO,
        "After a restore of the store, an upstream counts as holding no keys "
        "granted in an earlier era. proof=answered: it answered a release of "
        "all keys; other-instance: another upstream answered at its address. "
        "seconds: time since the recovery began.",
        ("service", "era", "upstream", "address", "proof", "seconds"),
    )
    GRANTING = Definition(
        "granting",
        logging.INFO,
        "The leader sends its first grants of ranges in a term, in the form "
        "from-to/fence>upstream: up to 100 ranges a line when the term "
        "begins, and each range that moves. Renewals are not logged. The "
        "upstream may hold the keys from now on, until owner-stopped or "
        "upstream-released. raised: number of ranges that are granted at a "
        "fence of this term, as an earlier leader may have granted them at "
        "that of the table.",
        ("service", "term", "ranges", "raised"),
    )
    HOLDS_REPORTED = Definition(
        "holds-reported",
        logging.INFO,
        "The former leader reports to the leader of a new era of the store "
        "which keys upstreams may hold, logged once by each of the two. "
        "term: of the former leader; holds: number of ranges; inherited: "
        "seconds for which other keys may be held as well.",
        ("term", "sender", "receiver", "services", "holds", "inherited"),
    )
    HOLDS_REFUSED = Definition(
        "holds-refused",
        logging.WARNING,
        "A report of held keys is not used or not sent. Without one, keys "
        "are granted again once all earlier grants have expired.",
        ("term", "sender", "problem"),
    )


_FIELDS = {event: frozenset(event.value.fields) for event in Event}


def log_event(event: Event, **fields: Any) -> None:
    """Log an event.

    Raises
    ------
    ValueError
        If the event does not have a field of this name.
    """
    definition = event.value
    if not _log.isEnabledFor(definition.level):
        return
    unknown = fields.keys() - _FIELDS[event]
    if unknown:
        raise ValueError(
            f"event {definition.name}: unknown fields {sorted(unknown)}, "
            f"expected {definition.fields}"
        )
    _log.log(definition.level, definition.name, extra=fields)


def make_page() -> str:
    """Return the Markdown page that documents all events."""
    lines = [
        "# Logs",
        "",
        "Each event is one line of `key=value` pairs on standard output:",
        "`time`, `level`, `event`, `host`, `program`, then its own fields.",
        "This page is generated from `sedgetide/runtime/events.py` by",
        "`python -m sedgetide.runtime.events`.",
        "",
        "| event | level | when | fields |",
        "| --- | --- | --- | --- |",
    ]
    for event in Event:
        name, level, meaning, fields = event.value
        shown = ", ".join(f"`{field}`" for field in fields)
        level_name = logging.getLevelName(level).lower()
        lines.append(f"| `{name}` | {level_name} | {meaning} | {shown} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(make_page(), end="")
