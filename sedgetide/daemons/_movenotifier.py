"""Notices of the leader to all hosts that moves have ended."""

from collections.abc import Callable
import math

import gevent

from sedgetide.coding.messages import Moved
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.ownership.movebatches import MoveBatcher
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.runtime.clock import read_clock


class MoveNotifier:
    """Sends one message for all moves that end at about the same time.

    Parameters
    ----------
    send : callable
        Sends a message to a host.
    list_links : callable
        Returns the addresses of the hosts to notify.
    """

    def __init__(
        self,
        send: Callable[[LinkAddress, Moved], None],
        list_links: Callable[[], list[LinkAddress]],
    ) -> None:
        self._send = send
        self._list_links = list_links
        self._batcher = MoveBatcher()
        self._short_form: set[LinkAddress] = set()
        self._timer: gevent.Greenlet | None = None

    def note_status(self, link: LinkAddress, status: HostStatus) -> None:
        """Record which form of the notice a host understands."""
        if status.short_moves:
            self._short_form.add(link)
        else:
            self._short_form.discard(link)

    def note_completed(self, service: ServiceName, tenure: Tenure) -> None:
        """Add a completed move to the next notice."""
        now = read_clock()
        self._batcher.add(service, tenure, now)
        if self._timer is None or self._timer.ready():
            self._timer = gevent.spawn_later(
                self._batcher.due - now, self._send_due
            )

    def _send_due(self) -> None:
        while self._batcher.due is not None:
            gevent.sleep(max(0.0, self._batcher.due - read_clock()))
            self._notify(self._batcher.take(read_clock()))

    def flush(self) -> None:
        """Send all collected moves now."""
        self._notify(self._batcher.take(math.inf))

    def _notify(self, moves: dict[ServiceName, list[Tenure]]) -> None:
        links = self._list_links()
        self._short_form.intersection_update(links)
        for service, tenures in moves.items():
            move_ids = [each.move_id for each in tenures]
            short, long = Moved(service, [], move_ids), Moved(service, tenures)
            for link in links:
                self._send(link, short if link in self._short_form else long)
