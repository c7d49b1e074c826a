"""Simulated hosts and upstreams for the benchmark of planned moves.

One process runs many of them. Hosts report load to the leader, and print the
fence of each move and the time at which they hear that it has ended.
"""

import argparse
import os
import random
import time

import gevent

from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import Moved
from sedgetide.coding.messages import StoreFeed
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.history import NO_POSITION
from sedgetide.core.identifiers import Key
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.ownership.load import KeyWork
from sedgetide.core.ownership.ranges import LAST_KEY
from sedgetide.links import Transport
from sedgetide.platform import _names
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing import rangeupstream
from sedgetide.testing.soakfleet import KEYED
from sedgetide.wire.messages import Request
from sedgetide.wire.server import Server

_REPORT_INTERVAL = 0.4
_WORK = 0.19
_PARENT_CHECK_INTERVAL = 1.0
# Requests use every fourth key: 16,384 keys, about as many as the leader of a
# deployment with 91 hosts remembers (15,000).
_KEY_STEP = 4


def _draw_key() -> Key:
    return Key(random.randrange(0, LAST_KEY, _KEY_STEP))


def _run_host(link: str, leader: str, rate: float) -> None:
    position = NO_POSITION

    def handle(message: object, _: str) -> None:
        nonlocal position
        if isinstance(message, StoreFeed):
            position = max(position, message.as_of)
        elif isinstance(message, Moved):
            for move in message.list_completed():
                print(move.fence, read_clock(), flush=True)

    transport = Transport(link, 1 << 20, handle, lambda _: None)
    transport.start()
    status = HostStatus("dc-1", 0.3, short_moves=True)
    while True:
        gevent.sleep(random.uniform(0.9, 1.1) * _REPORT_INTERVAL)
        count = int(rate * _REPORT_INTERVAL + random.random())
        keys = [KeyWork(KEYED, _draw_key(), _WORK) for _ in range(count)]
        transport.send(leader, LoadReport(keys, [], position, status))


def _start_upstream(port: int, store: str) -> rangeupstream.RangeUpstream:
    arguments = (
        f"--name=u-{port} --service={KEYED} --port={port} --store={store} "
        f"--address=127.0.0.1:{port} --slots=3 --work={_WORK} --keyed"
    )
    upstream = rangeupstream.RangeUpstream(
        rangeupstream.make_parser().parse_args(arguments.split())
    )
    gevent.spawn(upstream.heartbeat_loop)
    server = Server(upstream.serve, lambda _: True, CallerLimits)
    server.start(open_listener("127.0.0.1", port))
    return upstream


def _run_requests(
    upstreams: list[rangeupstream.RangeUpstream], rate: float
) -> None:
    """Run requests with random keys at the upstreams that hold them."""
    while rate:
        gevent.sleep(random.expovariate(rate))
        key = _draw_key()
        headers = [
            (_names.REQUEST_ID.lower(), str(time.monotonic_ns())),
            (_names.SHARD_KEY.lower(), str(key)),
        ]
        for upstream in upstreams:
            if upstream.holds(key):
                request = Request("GET", "/", headers, b"")
                gevent.spawn(upstream.serve, request)


def _exit_with_parent(parent: int) -> None:
    """End this process with its parent; a killed benchmark can't stop it."""
    while os.getppid() == parent:
        gevent.sleep(_PARENT_CHECK_INTERVAL)
    os._exit(1)


def main() -> None:
    """Run hosts or upstreams until the process or its parent is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--leader", help="run hosts that report to it")
    parser.add_argument("--store", help="run upstreams that register there")
    parser.add_argument(
        "--rate",
        type=float,
        default=0.0,
        help="requests per second of each host, or of all upstreams",
    )
    parser.add_argument("ports", type=int, nargs="+")
    options = parser.parse_args()
    if options.leader:
        for port in options.ports:
            link = f"127.0.0.1:{port}"
            gevent.spawn(_run_host, link, options.leader, options.rate)
    else:
        upstreams = [
            _start_upstream(port, options.store) for port in options.ports
        ]
        gevent.spawn(_run_requests, upstreams, options.rate)
    gevent.spawn(_exit_with_parent, os.getppid())
    gevent.get_hub().join()


if __name__ == "__main__":
    main()
