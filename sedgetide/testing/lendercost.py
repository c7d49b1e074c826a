"""Measure the decisions per second of one lender on one core.

Hosts ask for the places of 16 upstreams of two slots in simulated time, and
return each place after 0.22 s. Only the lender's own work is timed, without
its messages.

    python -m sedgetide.testing.lendercost --load 1.5
"""

import argparse
import heapq
import random
import time

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.places import Decision
from sedgetide.core.requests.places import Lender
from sedgetide.core.requests.places import rank_request
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict

_UPSTREAMS = 16
_SLOTS = 2
_HOSTS = 100
_WORK = 0.22
_EXPIRY_INTERVAL = 0.2
# Priority, useful time, final deadline and caller's deadline.
_KINDS = ((0, 0.47, 1.5, 3.07), (2, 1.84, 2.0, 4.07))


def measure(load: float, seconds: float) -> dict[str, float]:
    """Return the figures of one run.

    Parameters
    ----------
    load : float
        Work of the requests as a share of what the upstreams can do.
    seconds : float
        Simulated time.
    """
    source = random.Random(1)
    lender = Lender()
    ends: list[tuple[float, int, Ticket]] = []
    decided = spent = now = 0.0
    most_waiting = 0
    number = 0
    expired_at = 0.0

    def count(decisions: list[Decision], began: float) -> None:
        nonlocal decided, spent
        spent += time.process_time() - began
        decided += len(decisions)
        for each in decisions:
            if each.verdict is Verdict.GRANTED:
                end = now + _WORK * 1.5
                heapq.heappush(ends, (end, each.ticket.number, each.ticket))

    while now < seconds:
        arrival = now + source.expovariate(load * _UPSTREAMS * _SLOTS / _WORK)
        while ends and ends[0][0] <= arrival:
            now, _, ticket = heapq.heappop(ends)
            began = time.process_time()
            count(lender.end(ticket, _WORK * 1.5, 1, now), began)
        now = arrival
        if now >= expired_at + _EXPIRY_INTERVAL:
            expired_at = now
            began = time.process_time()
            count(lender.expire(now), began)
        number += 1
        host = LinkAddress(f"host-{source.randrange(_HOSTS)}")
        upstream = IncarnationName(f"map-{source.randrange(_UPSTREAMS)}")
        priority, useful, final, deadline = source.choice(_KINDS)
        rank = rank_request(priority, source.random() < 0.2)
        began = time.process_time()
        decisions = lender.ask(
            Ticket(host, number),
            upstream,
            _SLOTS,
            rank,
            useful,
            now,
            final=final,
            deadline=deadline,
        )
        count(decisions, began)
        most_waiting = max(most_waiting, len(lender._upstreams))
    return {
        "decisions": decided,
        "processor_seconds": round(spent, 3),
        "decisions_per_second": round(decided / spent),
        "most_tickets": most_waiting,
    }


def main() -> None:
    """Print the figures as one line per load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--seconds", type=float, default=60.0)
    arguments = parser.parse_args()
    for load in arguments.load or [0.9, 1.5, 10.0]:
        print(load, measure(load, arguments.seconds))


if __name__ == "__main__":
    main()
