"""Routes and services of fleets of real processes."""

from collections.abc import Iterable
from typing import Any

HOST = "soak.example"
KEYED = "maps"
PLAIN = "archive"


def make_routes(extra: Iterable[str] = ()) -> dict[str, Any]:
    """Return the routes of a fleet, as the operators write them.

    Parameters
    ----------
    extra : iterable of str
        Names of additional routes to the upstreams that own no keys.
    """
    columns = [
        "name",
        "host",
        "path-prefix",
        "kind",
        "timeout-ms",
        "target-latency-ms",
        "max-attempts",
        "service",
    ]
    rows = [
        ["map", HOST, "/map/", "safe", 1500, 500, 2, KEYED],
        ["alert", HOST, "/alert/", "unsafe", 1500, 500, 2, KEYED],
        ["old", HOST, "/archive/", "safe", 1500, 500, 2, PLAIN],
    ]
    rows += [
        [name, HOST, f"/{name}/", "safe", 1500, 500, 2, PLAIN]
        for name in extra
    ]
    return {"columns": columns, "rows": rows}
