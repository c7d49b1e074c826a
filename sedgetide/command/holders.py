"""Upstreams that may have held a key, read off the logs of all hosts.

A leader's line ``granting`` begins the time in which an upstream may hold a
key; ``owner-stopped``, ``upstream-released`` or ``recovered`` ends it and says
by what proof.
"""

from collections.abc import Iterator
import datetime

import msgspec

from sedgetide.command.explain import concerns_key
from sedgetide.command.explain import find_granted
from sedgetide.command.explain import Line
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step

# Proofs in the lines of earlier versions.
_FORMER_PROOFS = {
    "done": "answered",
    "foreign": "other-instance",
    "ended": "expired or address-reused",
}
_NO_PROOF = "no proof in these files"


class Holding(msgspec.Struct):
    """Time in which an upstream may have held a key.

    Parameters
    ----------
    upstream : str
        Incarnation that was granted the key.
    fence : str
        Fence of the grant.
    granted : Line
        Line of the grant.
    stopped : Line or None
        Line that shows its end.
    proof : str
        How the end is known.
    recovered : Line or None
        End of a recovery by the report of the former leader, in which the
        upstream has not released its keys.
    """

    upstream: str
    fence: str
    granted: Line
    stopped: Line | None = None
    proof: str = _NO_PROOF
    recovered: Line | None = None

    def includes(self, at: datetime.datetime) -> bool:
        """Return whether the upstream may have held the key at a time."""
        open_ended = self.stopped is None or at < self.stopped.at
        return self.granted.at <= at and open_ended

    def overlaps(self, other: "Holding") -> bool:
        """Return whether both may have held the key at the same time."""
        return self.includes(other.granted.at) or other.includes(
            self.granted.at
        )


def _find_stopped(line: Line, key: str, upstream: str) -> str:
    """Return the proof that an upstream has stopped; empty if none."""
    event, proof = line.find("event"), line.find("proof")
    if event == "recovered":
        # Without a basis: a line of an earlier version.
        return "expired" if line.find("basis") in ("", "expired") else ""
    if line.find("upstream") != upstream:
        return ""
    if event == "upstream-released":
        return proof
    if event == "owner-stopped" and concerns_key(line, key):
        return _FORMER_PROOFS.get(proof, proof)
    return ""


def list_holdings(service: str, key: str, lines: list[Line]) -> list[Holding]:
    """Return when upstreams may have held a key, in the order of grants.

    Parameters
    ----------
    service : str
        Service of the key.
    key : str
        Key, as in the lines of requests.
    lines : list of Line
        Events of all hosts, sorted by time.
    """
    holdings: list[Holding] = []
    for line in lines:
        if line.find("service") != service:
            continue
        running = [each for each in holdings if each.stopped is None]
        for each in running:
            proof = _find_stopped(line, key, each.upstream)
            if proof:
                each.stopped, each.proof = line, proof
            elif line.find("event") == "recovered":
                each.recovered = line
        granted = find_granted(line, key)
        if granted is None:
            continue
        for each in running:
            # Keys that the report shows as held are granted to their holder.
            if each.recovered and each.upstream != granted.upstream:
                each.stopped = each.recovered
                each.proof = "not among the holds that were reported"
            each.recovered = None
        held = [each.upstream for each in holdings if each.stopped is None]
        if granted.upstream not in held:
            holdings.append(Holding(granted.upstream, granted.fence, line))
    return holdings


def _describe(holding: Holding) -> str:
    granted, stopped = holding.granted, holding.stopped
    text = (
        f"{granted.find('time')} {holding.upstream} fence {holding.fence}, "
        f"granted by {granted.find('host')} in term {granted.find('term')}; "
    )
    if stopped is None:
        return text + _NO_PROOF
    after = stopped.find("after_hold")
    if after.startswith("-"):
        after = f", {after[1:]} s before the end of its hold"
    elif after:
        after = f", {after} s after the end of its hold"
    return (
        f"{text}stopped {stopped.find('time')} by {holding.proof}{after} "
        f"({stopped.find('host')} {stopped.find('event')})"
    )


def explain_holders(
    service: str,
    key: str,
    lines: list[Line],
    at: datetime.datetime | None = None,
) -> Iterator[str]:
    """Yield which upstreams may have held a key and how each has stopped.

    Parameters
    ----------
    service : str
        Service of the key.
    key : str
        Key, as in the lines of requests.
    lines : list of Line
        Events of all hosts, sorted by time.
    at : datetime.datetime or None
        Time of interest; all times if None.

    Raises
    ------
    InputError
        If no line grants the key.
    """
    holdings = list_holdings(service, key, lines)
    if not holdings:
        raise InputError(
            ErrorCode.BAD_TEXT,
            Step.READ,
            f"{service} {key}",
            "not granted in these files: expected a keyed service and a key "
            "from 0 to 65535, and the logs of all hosts that have led",
        )
    shown = [each for each in holdings if at is None or each.includes(at)]
    for each in shown:
        yield _describe(each)
    for index, later in enumerate(shown):
        for each in shown[:index]:
            if each.overlaps(later):
                yield (
                    f"two upstreams may have held key {key} from "
                    f"{later.granted.find('time')}: {each.upstream} and "
                    f"{later.upstream}"
                )
