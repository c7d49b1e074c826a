"""Upstreams that answer nothing, and so are to own no keys."""

from collections.abc import Sequence

import gevent

from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.directory import RegisteredUpstream
from sedgetide.core.ownership.ranges import KeyRange
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.core.ownership.terms import Term
from sedgetide.daemons._orderclient import OrderClient
from sedgetide.daemons._orderexecutor import OrderClients
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds between the probes of an upstream.
_PROBE_INTERVAL = 1.0


class SilentUpstreams:
    """Registered upstreams that answer neither orders nor requests.

    Their keys move to others once their holds are over, and they get none
    until they answer. As no request and no other order is sent to an upstream
    without keys, it is probed by an order that changes nothing.

    Parameters
    ----------
    clients : OrderClients
        Clients of the upstreams.
    """

    def __init__(self, clients: OrderClients) -> None:
        self._clients = clients
        self._silent: dict[ServiceName, set[IncarnationName]] = {}
        self._probed_at: dict[IncarnationName, float] = {}

    def drop(
        self, service: ServiceName, active: Sequence[RegisteredUpstream]
    ) -> list[RegisteredUpstream]:
        """Return the upstreams of a service without the silent ones.

        If half of them or more seem silent, it may be this host that doesn't
        get their answers, and too few would be left for all keys.
        """
        silent = {e.name for e in active if self._clients.is_silent(e.name)}
        if 2 * len(silent) >= len(active):
            silent = set()
        before = self._silent.get(service, set())
        for name in sorted(silent - before):
            log_event(Event.UPSTREAM_UNRESPONSIVE, upstream=name)
        for name in sorted(before - silent):
            log_event(Event.UPSTREAM_RESPONSIVE, upstream=name)
            self._probed_at.pop(name, None)
        self._silent[service] = silent
        return [each for each in active if each.name not in silent]

    def probe(
        self, service: ServiceName, table: RangeTable, term: Term, now: float
    ) -> None:
        """Send the probes that are due to silent upstreams without keys.

        A probe releases a key that another upstream owns, at that one's
        fence. Later grants of the key have higher fences.
        """
        settled = [each for each in table.tenures if not each.moving]
        holders = {each.owner for each in table.tenures}
        holders.update(each.successor for each in table.tenures)
        for name in self._silent.get(service, set()) - holders:
            client = self._clients.find(name)
            last = self._probed_at.get(name, float("-inf"))
            if settled and client and now - last >= _PROBE_INTERVAL:
                self._probed_at[name] = now
                gevent.spawn(_probe, client, settled[0], term)


def _probe(client: OrderClient, tenure: Tenure, term: Term) -> None:
    def may_send() -> bool:
        return client.silence.lasting and term.may_order(read_clock())

    client.release(KeyRange(tenure.low, tenure.low), tenure.fence, may_send)
