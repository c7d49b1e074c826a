"""Measure what the report of a former leader's holds costs.

A leader grants the ranges of each upstream and renews them at the usual
interval for ten seconds, with a longer hold at the end, as it does after a
restore of the store. Then its ledger is reported. Prints for each size the
bytes of one report as sent over a link, the milliseconds of processor time to
build, encode and decode it, and the kilobytes of the kept ledger.

    python -m sedgetide.testing.holdscost
"""

import argparse
import gc
import statistics
import time
import tracemalloc

import msgspec

from sedgetide.coding.messages import decode_envelope
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.coding.messages import HeldKeys
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import ServiceHolds
from sedgetide.core.history import Position
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import Key
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.holds import HoldLedger
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import LAST_KEY

_TERM = Position(1, 100)
_SERVICE = ServiceName("map-tiles")
_LINK = LinkAddress("10.100.100.100:7735")
# Seconds for which grants are renewed, and the tick at which the leader
# removes ended ones.
_RENEWED_TIME = 10.0
_TICK = 0.1
_REPEATS = 20


class ReportCost(msgspec.Struct, frozen=True):
    """Cost of the report of one service.

    Parameters
    ----------
    ranges : int
        Ranges that are granted.
    sent_bytes : int
        Bytes of the report as sent over a link.
    build_ms, encode_ms, decode_ms : float
        Median processor time.
    ledger_kb : float
        Memory of the ledger.
    """

    ranges: int
    sent_bytes: int
    build_ms: float
    encode_ms: float
    decode_ms: float
    ledger_kb: float


def make_ledger(
    upstreams: int, ranges: int, durations: Durations
) -> tuple[HoldLedger, float]:
    """Return a ledger of renewed grants, and the time after the last one.

    Parameters
    ----------
    upstreams : int
        Number of upstreams.
    ranges : int
        Ranges of each of them.
    durations : Durations
        Life of grants, and the interval of their renewals.
    """
    ledger = HoldLedger(0.0)
    count = upstreams * ranges
    width = max(1, (LAST_KEY + 1) // count)
    granted = [
        (
            IncarnationName(f"i-{number % upstreams:010x}@1764831600"),
            KeyRange(
                Key(number * width % LAST_KEY),
                Key(number * width % LAST_KEY + width - 1),
            ),
        )
        for number in range(count)
    ]
    renewed_at = now = 0.0
    while now < _RENEWED_TIME:
        last = now + durations.renew >= _RENEWED_TIME
        if now >= renewed_at:
            hold = durations.long_hold if last else durations.hold
            until = now + durations.max_hold(hold)
            for upstream, keys in granted:
                ledger.note_grant(upstream, keys, until)
            renewed_at = now + durations.renew
        ledger.prune(now)
        now += _TICK
    return ledger, now


def _build(ledger: HoldLedger, now: float) -> HoldsReport:
    holds = [
        HeldKeys(
            each.upstream, each.keys.low, each.keys.high, each.until - now
        )
        for each in ledger.list_held(now)
    ]
    return HoldsReport(_TERM, _TERM, {_SERVICE: ServiceHolds(0.0, holds)})


def measure(upstreams: int, ranges: int) -> ReportCost:
    """Return what a report of so many upstreams and ranges costs.

    Parameters
    ----------
    upstreams : int
        Number of upstreams.
    ranges : int
        Ranges of each of them.
    """
    durations = Durations()
    gc.collect()
    tracemalloc.start()
    ledger, now = make_ledger(upstreams, ranges, durations)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    build, encode, decode = [], [], []
    for _ in range(_REPEATS):
        began = time.process_time()
        report = _build(ledger, now)
        built = time.process_time()
        data = encode_envelope(Envelope(_LINK, [report]))
        encoded = time.process_time()
        decode_envelope(data)
        decoded = time.process_time()
        build.append(built - began)
        encode.append(encoded - built)
        decode.append(decoded - encoded)
    return ReportCost(
        upstreams * ranges,
        len(data),
        *(
            round(1000.0 * statistics.median(each), 2)
            for each in (build, encode, decode)
        ),
        round(size / 1024.0, 1),
    )


def main() -> None:
    """Print the cost for each number of upstreams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upstreams", type=int, action="append")
    parser.add_argument("--ranges", type=int, default=6)
    arguments = parser.parse_args()
    for upstreams in arguments.upstreams or [33, 600, 16_000]:
        print(
            f"{upstreams} upstreams:",
            msgspec.to_builtins(measure(upstreams, arguments.ranges)),
        )


if __name__ == "__main__":
    main()
