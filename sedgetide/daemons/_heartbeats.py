"""Heartbeats between processes, and replication of records with them."""

import abc
from collections.abc import Iterable
import logging

from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import Ping
from sedgetide.coding.messages import Pong
from sedgetide.coding.messages import Pull
from sedgetide.coding.messages import Records
from sedgetide.coding.messages import Status
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.liveness import Liveness
from sedgetide.core.membership.liveness import PeerState
from sedgetide.core.timing import Timing
from sedgetide.links import Transport

_log = logging.getLogger(__name__)


class HeartbeatHandler(abc.ABC):
    """Supplies the status to send and receives what peers send."""

    @abc.abstractmethod
    def make_status(self, now: float) -> Status:
        """Return the status sent with each heartbeat."""

    @abc.abstractmethod
    def note_status(
        self, address: LinkAddress, asked_at: float, status: Status
    ) -> None:
        """Handle the status in a peer's answer to a ping."""

    @abc.abstractmethod
    def note_ping(self, address: LinkAddress, status: Status) -> None:
        """Handle the status in a peer's ping."""

    @abc.abstractmethod
    def note_record(self, record: Record) -> None:
        """Handle a newer version of a record."""


class Heartbeats:
    """Pings peers and replicates records between processes.

    Parameters
    ----------
    transport : Transport
        Links to other processes.
    cache : RecordCache
        Records known to this process.
    timing : Timing
        Heartbeat interval and silence timeout.
    handler : HeartbeatHandler
        Supplies the status; notified of peers and records.
    """

    def __init__(
        self,
        transport: Transport,
        cache: RecordCache,
        timing: Timing,
        handler: HeartbeatHandler,
    ) -> None:
        self._transport = transport
        self._cache = cache
        self._timing = timing
        self._handler = handler
        # First and last ping of a series without a gap longer than the
        # silence timeout.
        self._ping_spans: dict[LinkAddress, tuple[float, float]] = {}
        self.liveness = Liveness(timing.silence)
        self.statuses: dict[LinkAddress, Status] = {}
        self._pong_times: dict[LinkAddress, float] = {}

    def ping(self, addresses: Iterable[LinkAddress], now: float) -> None:
        """Send a ping to each peer."""
        status = self._handler.make_status(now)
        for address in addresses:
            first = self._record_ping(address, now)
            silent_seconds = min(
                self.liveness.measure_silence(address, now), now - first
            )
            if silent_seconds <= self._timing.silence:
                silent_seconds = 0
            else:
                self._transport.redial(address, 2 * self._timing.silence)
            self._transport.send(address, Ping(now, silent_seconds, status))

    def _record_ping(self, address: LinkAddress, now: float) -> float:
        """Record a ping; return when the current series of pings began."""
        first, last = self._ping_spans.get(address, (now, now))
        if now - last > self._timing.silence:
            first = now
        self._ping_spans[address] = (first, now)
        return first

    def push(
        self, addresses: Iterable[LinkAddress], records: list[Record]
    ) -> None:
        """Send records to peers that have not requested them."""
        for address in addresses:
            self._transport.send(address, Records(records))

    def find_state(self, address: LinkAddress, now: float) -> PeerState:
        """Return whether a peer is alive, leaving or silent."""
        return self.liveness.find_state(address, now)

    def find_pong_time(self, address: LinkAddress) -> float:
        """Return when the last pong of a peer arrived."""
        return self._pong_times[address]

    def is_known_silent(self, address: LinkAddress, now: float) -> bool:
        """Return whether a peer has left pings unanswered for too long.

        A peer that was not pinged recently is not known to be silent.
        """
        span = self._ping_spans.get(address)
        if span is None or now - span[1] > self._timing.silence:
            return False
        if now - span[0] <= self._timing.silence:
            return False
        return self.find_state(address, now) is PeerState.SILENT

    def handle(self, message: AnyMessage, sender: str, now: float) -> None:
        """Handle a message of this protocol; ignore all others."""
        address = LinkAddress(sender)
        match message:
            case Ping():
                self._answer_ping(message, address, now)
            case Pong():
                self._handle_pong(message, address, now)
            case Pull():
                newer = list(self._cache.list_newer(message.revisions))
                if newer:
                    self._transport.send(sender, Records(newer))
            case Records():
                self.apply(message.records)

    def apply(self, records: Iterable[Record]) -> list[Record]:
        """Apply records; return those that were newer than the cached ones."""
        newer = [each for each in records if self._cache.apply(each)]
        for record in newer:
            _log.info(
                "record applied",
                extra={"key": record.key, "revision": record.revision},
            )
            self._handler.note_record(record)
        return newer

    def _answer_ping(
        self, ping: Ping, address: LinkAddress, now: float
    ) -> None:
        if ping.silent_seconds > self._timing.silence:
            # Our answers may be the ones that get lost, which only the
            # sender of the ping can notice.
            self._transport.redial(address, 2 * self._timing.silence)
        status = self._handler.make_status(now)
        self._transport.send(address, Pong(ping.asked_at, status))
        self._handler.note_ping(address, ping.status)
        self._pull_if_different(ping.status, address)

    def _handle_pong(
        self, pong: Pong, address: LinkAddress, now: float
    ) -> None:
        status = pong.status
        self.statuses[address] = status
        self._pong_times[address] = now
        self.liveness.note_answer(address, pong.asked_at, status.leaving)
        self._handler.note_status(address, pong.asked_at, status)
        self._pull_if_different(status, address)

    def _pull_if_different(self, status: Status, address: LinkAddress) -> None:
        if status.digest and status.digest != self._cache.digest:
            pull = Pull(self._cache.list_revisions())
            self._transport.send(address, pull)
