"""All events that a host logs, with their fields.

The page docs/logs.md is made from this list.
"""

import enum
import logging
from typing import Any
from typing import NamedTuple

_log = logging.getLogger("sedgetide")


class Definition(NamedTuple):
    """One kind of line.

    Parameters
    ----------
    name : str
        What stands behind ``event=``.
    level : int
        Severity, as of the logging module.
    meaning : str
        When it is written, for people.
    fields : tuple of str
        All that it may carry.
    """

    name: str
    level: int
    meaning: str
    fields: tuple[str, ...] = ()


class Event(enum.Enum):
    """Kinds of lines."""

    STARTED = Definition(
        "started", logging.INFO, "The host listens.", ("listen", "incarnation")
    )
    STOPPING = Definition(
        "stopping",
        logging.INFO,
        "SIGTERM came; callers are asked to go elsewhere.",
        ("in_hand", "connections"),
    )
    STOPPED = Definition(
        "stopped",
        logging.INFO,
        "The process ends; what is in hand is cut.",
        ("in_hand", "seconds"),
    )
    RELOAD = Definition(
        "reload",
        logging.INFO,
        "SIGHUP came; addresses and limits stay until a restart.",
    )
    OMITTED = Definition(
        "omitted",
        logging.WARNING,
        "Lines left out in the last second: the bound was reached or the "
        "reader of standard output did not read.",
        ("lines",),
    )
    STORE_LOST = Definition(
        "store-lost",
        logging.WARNING,
        "The store gave no usable answer; what is known grows old.",
        ("error",),
    )
    STORE_REACHED = Definition(
        "store-reached",
        logging.INFO,
        "The store answers, for the first time or again.",
        ("revision",),
    )
    HISTORY_LOST = Definition(
        "history-lost",
        logging.WARNING,
        "The store forgot what came after a revision; all is listed anew.",
        ("revision",),
    )
    STORE_RESTORED = Definition(
        "store-restored",
        logging.WARNING,
        "The store has come back from an older copy; what it acknowledged "
        "in the last seconds is gone, and its revisions count anew.",
        ("era", "former"),
    )
    RELISTED = Definition(
        "relisted",
        logging.INFO,
        "All that the store holds has been taken in after its return from a "
        "copy. Both positions are era/revision.",
        ("revision", "known"),
    )
    ERA_REFUSED = Definition(
        "era-refused",
        logging.ERROR,
        "An answer of the store names an era that can not be read; the "
        "answer counts for nothing.",
        ("problem",),
    )
    RECORD_REFUSED = Definition(
        "record-refused",
        logging.ERROR,
        "A record can not be read; what was known before stays in force.",
        ("key", "problem"),
    )
    CUT_OFF = Definition(
        "cut-off",
        logging.WARNING,
        "This host hears neither the store nor other data centres and serves "
        "little: it is not ready, and sends its callers elsewhere.",
        ("silence",),
    )
    REJOINED = Definition(
        "rejoined",
        logging.INFO,
        "This host is ready again after it was cut off.",
        ("silence",),
    )
    ENTRY_REFUSED = Definition(
        "entry-refused",
        logging.ERROR,
        "A registry entry can not be read. Its upstream gets no new work "
        "and its keys move, until a readable entry comes.",
        ("key", "problem"),
    )
    LOAD_REFUSED = Definition(
        "load-refused",
        logging.ERROR,
        "What an upstream says of its load with an answer can not be read. "
        "The answer is passed on; its load counts as unknown.",
        ("upstream", "problem"),
    )
    LIMITED = Definition(
        "upstream-limited",
        logging.INFO,
        "An upstream has named another limit of requests a second for all "
        "hosts together than before, or none any more.",
        ("upstream", "limit"),
    )
    LEAVING = Definition(
        "upstream-leaving",
        logging.INFO,
        "An upstream says in an answer that it is about to end, for the "
        "first time here.",
        ("upstream",),
    )
    BACKING_OFF = Definition(
        "upstream-backoff",
        logging.INFO,
        "An upstream has turned a request away and wants nothing from this "
        "host for so long. Said again only when no earlier backoff goes on.",
        ("upstream", "seconds"),
    )
    PUSHBACK_REFUSED = Definition(
        "pushback-refused",
        logging.ERROR,
        "What an upstream asks of its senders with an answer can not be "
        "read. The answer is passed on; what it asked before holds.",
        ("upstream", "problem"),
    )
    POLICY = Definition(
        "policy",
        logging.INFO,
        "A version of the routes is in force on this host.",
        ("version", "routes", "services"),
    )
    UPSTREAM = Definition(
        "upstream",
        logging.INFO,
        "An upstream has registered, or announced its end. The same name "
        "with another birth is a restart: it holds no keys.",
        ("upstream", "born", "service", "address", "leaving"),
    )
    UPSTREAM_WITHDRAWN = Definition(
        "upstream-withdrawn",
        logging.INFO,
        "An upstream's entry has disappeared. It gets no new work, unless "
        "the store was disturbed just before.",
        ("upstream",),
    )
    EVACUATION = Definition(
        "evacuation",
        logging.WARNING,
        "Operators want a data centre emptied: its upstreams get no new work "
        "and their keys move.",
        ("data_centre",),
    )
    EVACUATED = Definition(
        "evacuated",
        logging.WARNING,
        "No upstream of an evacuated data centre owns keys any longer. "
        "seconds: since the leader knew of the wish.",
        ("data_centre", "seconds"),
    )
    TAKEN_BACK = Definition(
        "taken-back",
        logging.WARNING,
        "An evacuated data centre gets work again. Its upstreams count as "
        "cold at first.",
        ("data_centre", "seconds"),
    )
    UPSTREAM_ENDED = Definition(
        "upstream-ended",
        logging.WARNING,
        "An upstream ended while it had this request; one line for each that "
        "it had from this host. fingerprint: the same for each repeat, "
        "whoever asks. proof=refused: nobody listens at its address any more; "
        "proof=withdrawn: its entry disappeared within seconds.",
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
        "A request under which upstreams had ended was let run, the only copy "
        "of it at all hosts. end=well: nothing speaks against it any more; "
        "end=broken: no copy runs for a second.",
        ("id", "fingerprint", "end"),
    )
    QUARANTINED = Definition(
        "quarantined",
        logging.ERROR,
        "A request is refused at all hosts from now on, since upstreams ended "
        "under it and its repeats; stay: how many times in a row.",
        ("fingerprint", "stay", "seconds"),
    )
    QUARANTINE_ENDED = Definition(
        "quarantine-ended",
        logging.WARNING,
        "A request is let through again: its time is over, it has ended well "
        "on some host, or an operator has lifted it.",
        ("fingerprint",),
    )
    QUARANTINE_LIFTED = Definition(
        "quarantine-lifted",
        logging.WARNING,
        "An operator lets a request through at this host, which tells the "
        "others.",
        ("fingerprint",),
    )
    QUARANTINE_UNWRITTEN = Definition(
        "quarantine-unwritten",
        logging.WARNING,
        "The leader could not write the quarantine to the store; hosts know "
        "it, and it is tried again.",
        ("error",),
    )
    LEADER = Definition(
        "leader",
        logging.INFO,
        "Another host leads, or none.",
        ("leader", "revision"),
    )
    LEADING = Definition(
        "leading",
        logging.INFO,
        "This host leads; the term is the revision of its record.",
        ("term",),
    )
    LENDERS = Definition(
        "lenders",
        logging.INFO,
        "Other hosts lend places at upstreams; none: each host goes by its "
        "own windows.",
        ("lenders", "version"),
    )
    NOT_ELECTED = Definition(
        "not-elected",
        logging.WARNING,
        "This host stood to lead, and the store gave no usable answer.",
        ("error",),
    )
    NOT_VERIFIED = Definition(
        "not-verified",
        logging.WARNING,
        "The leader could not read its record; it orders until its last "
        "proof is too old.",
        ("error", "age"),
    )
    LEADING_NO_MORE = Definition(
        "leading-no-more",
        logging.WARNING,
        "This host gives no more orders.",
        ("reason",),
    )
    BRIDGING = Definition(
        "bridging",
        logging.WARNING,
        "The store is silent; all grants are renewed with a longer life.",
        ("hold",),
    )
    TABLE_WRITTEN = Definition(
        "table-written",
        logging.INFO,
        "A new version of a service's owners is in the store.",
        ("service", "revision", "ranges", "moving", "fence"),
    )
    RECOVERING = Definition(
        "recovering",
        logging.WARNING,
        "The store has come back from a copy: nobody gets keys of a service "
        "before all upstreams have given back theirs, or most_seconds have "
        "passed.",
        ("service", "era", "most_seconds"),
    )
    RECOVERED = Definition(
        "recovered",
        logging.INFO,
        "Keys of a service are granted again; released: upstreams that have "
        "given back theirs.",
        ("service", "era", "released"),
    )
    TABLES_UNREAD = Definition(
        "tables-unread",
        logging.WARNING,
        "A new leader could not read the owners and gives no orders yet.",
        ("error",),
    )
    TABLE_UNWRITTEN = Definition(
        "table-unwritten",
        logging.WARNING,
        "A new version was refused or not answered; the record is read anew.",
        ("service", "error"),
    )
    MOVES = Definition(
        "moves",
        logging.INFO,
        "Ranges begin to move: from-to>successor.",
        ("service", "reason", "moves"),
    )
    ORDER = Definition(
        "order",
        logging.INFO,
        "An order to an upstream and what became of it; grants that were "
        "obeyed are left out.",
        ("order", "upstream", "low", "high", "fence", "taken", "detail"),
    )
    FENCE_RENEWED = Definition(
        "fence-renewed",
        logging.WARNING,
        "A range stays with its owner at a new fence: the upstream refused "
        "the old one, or may have started again under its name.",
        ("service", "upstream", "low", "high", "fence"),
    )
    OWNER_STOPPED = Definition(
        "owner-stopped",
        logging.INFO,
        "A moving range has no owner any more, and how that is known.",
        ("service", "upstream", "low", "high", "fence", "proof", "seconds"),
    )
    REQUEST = Definition(
        "request",
        logging.INFO,
        "A caller's request got its final answer; status 0: the caller left "
        "first. The fields after the times are what decided: version of the "
        "routes, revision and fence of the owner, and for how many "
        "milliseconds nothing was heard from the store. rested_ms: how long "
        "the connection to the upstream had been idle; 0 on a new one. "
        "failures: of all attempts, in order. fingerprint: where it was "
        "looked for in the quarantine, as in upstream-ended.",
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
            "caller",
            "fingerprint",
            "upstreams",
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
        "A request was answered without a route.",
        ("id", "status", "host_header", "path", "version", "age_ms"),
    )


_FIELDS = {event: frozenset(event.value.fields) for event in Event}


def log_event(event: Event, **fields: Any) -> None:
    """Log an event.

    Raises
    ------
    ValueError
        When a field is not among those of the event.
    """
    definition = event.value
    if not _log.isEnabledFor(definition.level):
        return
    unknown = fields.keys() - _FIELDS[event]
    if unknown:
        raise ValueError(
            f"{definition.name}: {sorted(unknown)}: accepted are "
            f"{definition.fields}"
        )
    _log.log(definition.level, definition.name, extra=fields)


def make_page() -> str:
    """Return the page that documents all events."""
    lines = [
        "# Logs",
        "",
        "One line of `key=value` pairs for each event on standard output:",
        "`time`, `level`, `event`, `host`, `program`, then the event's own.",
        "This page is made from `sedgetide/runtime/events.py` by",
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
