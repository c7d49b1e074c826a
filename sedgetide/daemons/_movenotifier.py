"""Notices of the leader to all hosts about moves."""

from collections.abc import Callable
import math

import gevent
import msgspec

from sedgetide.coding.messages import HeldRange
from sedgetide.coding.messages import Moved
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.ownership.movebatches import MoveBatch
from sedgetide.core.ownership.movebatches import MoveBatcher
from sedgetide.core.ownership.ranges import Tenure
from sedgetide.daemons._hostmetrics import MOVES_PER_NOTICE
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds; hosts report every 0.4 s.
_LISTENER_TIMEOUT = 3.0


class _Listener(msgspec.Struct, frozen=True):
    heard_at: float
    short_form: bool


class MoveNotifier:
    """Sends one message for all news about moves at about the same time.

    Parameters
    ----------
    send : callable
        Sends a message to a host.

    Notes
    -----
    All hosts that report are notified, also while the leader doesn't feed
    them because its proof of leadership is not recent. If the store doesn't
    answer, no table can tell them of the moves that end meanwhile.
    """

    def __init__(
        self,
        send: Callable[[LinkAddress, Moved], None],
    ) -> None:
        self._send = send
        self._batcher = MoveBatcher()
        self._listeners: dict[LinkAddress, _Listener] = {}
        self._timer: gevent.Greenlet | None = None

    def note_status(
        self, link: LinkAddress, status: HostStatus, now: float
    ) -> None:
        """Record which form of the notice a host understands."""
        if link not in self._listeners:
            self._prune(now)
        self._listeners[link] = _Listener(now, status.short_moves)

    def _prune(self, now: float) -> None:
        """Forget hosts that don't report any more."""
        self._listeners = {
            link: listener
            for link, listener in self._listeners.items()
            if now - listener.heard_at <= _LISTENER_TIMEOUT
        }

    def note_completed(self, service: ServiceName, tenure: Tenure) -> None:
        """Add a completed move to the next notice."""
        now = read_clock()
        self._batcher.add(service, tenure, now)
        self._start_timer(now)

    def note_held(
        self, service: ServiceName, tenure: Tenure, end: float
    ) -> None:
        """Add until when the owner of a moving range may hold it."""
        now = read_clock()
        self._batcher.add_hold(service, tenure, end, now)
        self._start_timer(now)

    def _start_timer(self, now: float) -> None:
        if self._timer is None or self._timer.ready():
            self._timer = gevent.spawn_later(
                self._batcher.due - now, self._send_due
            )

    def _send_due(self) -> None:
        while self._batcher.due is not None:
            gevent.sleep(max(0.0, self._batcher.due - read_clock()))
            now = read_clock()
            self._notify(self._batcher.take(now), now)

    def flush(self) -> None:
        """Send all collected news now."""
        self._notify(self._batcher.take(math.inf), read_clock())

    def _notify(
        self, batches: dict[ServiceName, MoveBatch], now: float
    ) -> None:
        self._prune(now)
        listeners = self._listeners.items()
        short_forms = sum(each.short_form for _, each in listeners)
        for service, batch in batches.items():
            short = _make_short_notice(service, batch, now)
            long = Moved(service, batch.completed)
            if batch.completed:
                MOVES_PER_NOTICE.observe(len(batch.completed))
            log_event(
                Event.MOVED,
                service=service,
                moves=len(batch.completed),
                held=len(batch.hold_ends),
                hosts=len(listeners),
                short=short_forms,
            )
            for link, listener in listeners:
                if listener.short_form:
                    self._send(link, short)
                elif long.tenures:
                    self._send(link, long)


def _make_short_notice(
    service: ServiceName, batch: MoveBatch, now: float
) -> Moved:
    return Moved(
        service,
        [],
        [each.move_id for each in batch.completed],
        [
            HeldRange(move, round(max(0.0, end - now), 3))
            for move, end in batch.hold_ends.items()
        ],
    )
